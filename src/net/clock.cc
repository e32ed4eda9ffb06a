#include "net/clock.h"

#include <glib.h>

namespace pipit {

namespace {
thread_local Micros told = -1;  // by a test
}

Micros loop_time() { return told >= 0 ? told : g_get_monotonic_time(); }

ManualTime::ManualTime(Micros start) { told = start; }
ManualTime::~ManualTime() { told = -1; }
void ManualTime::advance(Micros span) { told += span; }

}  // namespace pipit
