#include "net/clock.h"

#include <glib.h>

namespace pipit {

namespace {
thread_local Micros manual_now = -1;  // time set by ManualTime; -1 while the monotonic clock is used
}

Micros loop_time() { return manual_now >= 0 ? manual_now : g_get_monotonic_time(); }

ManualTime::ManualTime(Micros start) { manual_now = start; }
ManualTime::~ManualTime() { manual_now = -1; }
void ManualTime::advance(Micros span) { manual_now += span; }

}  // namespace pipit
