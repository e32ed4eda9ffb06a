// 128-bit digests by xxHash: two texts that share one do not occur in practice (they are no guard against an enemy).
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

// The digest of a text, equal in every process.
Digest digest_of(std::string_view text);
// 32 hexadecimal digits.
std::string to_hex(Digest const& digest);

}  // namespace pipit
