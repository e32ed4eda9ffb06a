// Digests of API keys. Keys are compared by digest only and stored only in the operators' own configuration text; logs,
// errors and status pages show at most the first digits of the digest.
#pragma once
#include <string>
#include <string_view>

#include "base/digest.h"

namespace pipit {

// Returns the first 128 bits of the key's SHA-256, which, unlike digest_of(), reveals nothing about the key.
Digest key_digest_of(std::string_view key);
// Returns the first eight hexadecimal digits, which identify a key in logs, errors and status pages.
std::string abbreviated_digest(Digest const& key);

}  // namespace pipit
