#include "base/random_seed.h"

#include <glib.h>

namespace pipit {

std::uint64_t random_seed() {
  std::uint64_t const high = g_random_int();
  std::uint64_t const low = g_random_int();
  return (high << 32) | low;
}

}  // namespace pipit
