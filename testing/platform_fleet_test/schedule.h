// Schedules by chance: two or three troubles that overlap, several times in an experiment, drawn from a seed.
#pragma once
#include <cstdint>
#include <string>

namespace pipit::platform_fleet {

// In the notation of faults.h. All faults are over 'calm' seconds before the end, so that recovery can be judged;
// no more disks are lost than one.
std::string soak_schedule(std::uint64_t seed, double seconds, double calm);

}  // namespace pipit::platform_fleet
