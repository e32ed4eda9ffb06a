// 128-bit xxHash digests. Accidental collisions do not occur in practice; not safe against crafted input.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace pipit {

// A 128-bit digest as two halves; ordered, for use as a key.
struct Digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(Digest const& other) const { return high == other.high && low == other.low; }
  bool operator<(Digest const& other) const { return high != other.high ? high < other.high : low < other.low; }
};

// Returns the digest of a text, equal in every process.
Digest digest_of(std::string_view text);
// Returns the digest as 32 hexadecimal digits.
std::string to_hex(Digest const& digest);

}  // namespace pipit
