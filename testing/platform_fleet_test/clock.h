// Time in an experiment: whole microseconds on a clock that never steps back, and calls in later turns of the loop.
#pragma once
#include <glib.h>

#include <algorithm>
#include <functional>

#include "base/micros.h"

namespace pipit::platform_fleet {

inline Micros now() { return g_get_monotonic_time(); }

// Once, about that much later. Whatever it refers to lives as long as the loop runs.
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

// Again and again, as long as it says so.
inline void run_every(Micros span, std::function<bool()> call) {
  g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(std::max<Micros>(1, span / 1000)),
      [](gpointer data) -> gboolean { return (*static_cast<std::function<bool()>*>(data))() ? TRUE : FALSE; },
      new std::function<bool()>(std::move(call)),
      [](gpointer data) { delete static_cast<std::function<bool()>*>(data); });
}

}  // namespace pipit::platform_fleet
