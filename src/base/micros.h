// Time: whole microseconds on a monotonic clock, which the process passes in, so that simulators can pass their own
// (§2.2).
#pragma once
#include <cstdint>

namespace pipit {
// A time or a span, in microseconds.
using Micros = std::int64_t;
// A span of n milliseconds.
constexpr Micros millis(std::int64_t n) { return n * 1000; }
// A span of n seconds.
constexpr Micros seconds(std::int64_t n) { return n * 1000000; }
}  // namespace pipit
