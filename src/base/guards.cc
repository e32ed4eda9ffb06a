#include "base/guards.h"

#include <iterator>

namespace pipit {

namespace {
GuardRow const rows[] = {
#define GUARD(name, point, text) {#name, point, text},
    PIPIT_GUARDS(GUARD)
#undef GUARD
};
}  // namespace

GuardRow const* guard_rows(std::size_t& count) {
  count = std::size(rows);
  return rows;
}

Guard& disabled_guard() {
  thread_local Guard off = Guard::none;
  return off;
}

}  // namespace pipit
