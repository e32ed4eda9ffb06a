// Schedules by chance: two or three troubles that overlap, several times in an experiment, drawn from a seed.
#pragma once
#include <cstdint>
#include <string>

namespace pipit::stage {

// In the notation of troubles.h. All troubles are over 'calm' seconds before the end, so that recovery can be judged;
// no more disks are lost than one.
std::string soak_schedule(std::uint64_t seed, double seconds, double calm);

}  // namespace pipit::stage
