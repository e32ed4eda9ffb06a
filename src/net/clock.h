// The monotonic clock of the network code, which tests can replace by one that they advance by hand.
#pragma once
#include "base/micros.h"

namespace pipit {

// Current monotonic time in microseconds. It never goes back while one clock is in use.
Micros loop_time();

// Test clock: while an object exists, loop_time() on its thread returns the time set here and moves only by advance().
class ManualTime {
 public:
  // 'start': the first time that loop_time() returns, in microseconds, not negative.
  explicit ManualTime(Micros start);
  ~ManualTime();
  ManualTime(ManualTime const&) = delete;
  ManualTime& operator=(ManualTime const&) = delete;
  // Moves loop_time() forward by 'span' microseconds.
  void advance(Micros span);
};

}  // namespace pipit
