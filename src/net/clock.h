// The time that connections, callers and requests go by: the monotonic clock, or in a test what the test says.
#pragma once
#include "base/micros.h"

namespace pipit {

// In microseconds; it never goes back.
Micros loop_time();

// While one of these incarnations in a test, time stands still but for what it is told.
class ManualTime {
 public:
  explicit ManualTime(Micros start);
  ~ManualTime();
  ManualTime(ManualTime const&) = delete;
  ManualTime& operator=(ManualTime const&) = delete;
  void advance(Micros span);
};

}  // namespace pipit
