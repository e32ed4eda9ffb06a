#include "base/digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>

namespace pipit {

Digest digest_of(std::string_view text) {
  XXH128_hash_t const hash = XXH3_128bits(text.data(), text.size());
  return Digest{hash.high64, hash.low64};
}

std::string to_hex(Digest const& digest) {
  char out[33];
  std::snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(digest.high),
                static_cast<unsigned long long>(digest.low));
  return out;
}

}  // namespace pipit
