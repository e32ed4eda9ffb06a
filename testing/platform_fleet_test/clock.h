// Time of a test run: a monotonic clock in microseconds, and timers on the GLib main loop.
#pragma once
#include <glib.h>

#include <algorithm>
#include <functional>

#include "base/micros.h"

namespace pipit::platform_fleet {

// Monotonic time in microseconds.
inline Micros now() { return g_get_monotonic_time(); }

// Calls once after `span`, rounded up to milliseconds. The timer cannot be cancelled: what the call refers to must
// live until the loop ends.
inline void run_after(Micros span, std::function<void()> call) {
  g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(std::max<Micros>(0, (span + 999) / 1000)),
      [](gpointer data) -> gboolean {
        (*static_cast<std::function<void()>*>(data))();
        return G_SOURCE_REMOVE;
      },
      new std::function<void()>(std::move(call)),
      [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
}

// Calls every `span` (whole milliseconds, at least 1) until the call returns false.
inline void run_every(Micros span, std::function<bool()> call) {
  g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(std::max<Micros>(1, span / 1000)),
      [](gpointer data) -> gboolean { return (*static_cast<std::function<bool()>*>(data))() ? TRUE : FALSE; },
      new std::function<bool()>(std::move(call)),
      [](gpointer data) { delete static_cast<std::function<bool()>*>(data); });
}

}  // namespace pipit::platform_fleet
