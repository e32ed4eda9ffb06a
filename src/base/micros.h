// Times and durations in whole microseconds. Points in time are readings of a monotonic clock that callers pass in, so
// that simulators can use their own (docs/design.md §2.2).
#pragma once
#include <cstdint>

namespace pipit {
// A point in time or a duration, in microseconds.
using Micros = std::int64_t;
// A duration of n milliseconds.
constexpr Micros millis(std::int64_t n) { return n * 1000; }
// A duration of n seconds.
constexpr Micros seconds(std::int64_t n) { return n * 1000000; }
}  // namespace pipit
