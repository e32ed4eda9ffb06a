// Digests of callers' keys. A key itself is compared nowhere and kept nowhere beside the operators' own text; logs,
// errors and status pages show the first digits of its digest at most.
#pragma once
#include <string>
#include <string_view>

#include "base/digest.h"

namespace pipit {

// The first 128 bits of the key's SHA-256: unlike digest_of(), it gives nothing of the key away.
Digest key_digest_of(std::string_view key);
// Eight hexadecimal digits that name a key in logs, errors and status pages.
std::string abbreviated_digest(Digest const& key);

}  // namespace pipit
