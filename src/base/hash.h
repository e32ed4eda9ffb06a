// Hashing. No hash here guards against an enemy; they only spread (§6.1).
#pragma once
#include <cstdint>
#include <string_view>

namespace pipit {

// Spreads all bits of a number over 64 bits.
inline std::uint64_t hash_bits(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ull;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebull;
  x ^= x >> 31;
  return x;
}

// The 64-bit hash of a text, equal in every process.
inline std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ull) {
  std::uint64_t h = seed;
  for (char const c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return hash_bits(h);
}

}  // namespace pipit
