// Random fault schedules: groups of two or three overlapping faults, drawn from a seed.
#pragma once
#include <cstdint>
#include <string>

namespace pipit::platform_fleet {

// Returns a schedule in the notation of faults.h. All faults end `calm` seconds before the end of the experiment, so
// that recovery can be judged. At most one fault of a schedule loses a disk.
std::string soak_schedule(std::uint64_t seed, double seconds, double calm);

}  // namespace pipit::platform_fleet
