// Times are whole microseconds on a clock that never steps back (§2.2).
#pragma once
#include <cstdint>

namespace pipit {
using Micros = std::int64_t;
constexpr Micros millis(std::int64_t n) { return n * 1000; }
constexpr Micros seconds(std::int64_t n) { return n * 1000000; }
}  // namespace pipit
