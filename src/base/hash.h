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

// The seed of one consumer of a node's random numbers. The steps are one-way on purpose: seeds that were combined by
// XOR alone cancelled each other out, and all nodes drew the same numbers.
inline std::uint64_t derived_seed(std::uint64_t seed, std::string_view consumer) {
  return hash_text(consumer, hash_bits(seed + 0x9e3779b97f4a7c15ull));
}

}  // namespace pipit
