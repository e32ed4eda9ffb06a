// Processor time of the calling thread.
#pragma once
#include <time.h>

#include <cstdint>

namespace pipit {

// Nanoseconds.
inline std::int64_t processor() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<std::int64_t>(t.tv_sec) * 1000000000 + t.tv_nsec;
}

}  // namespace pipit
