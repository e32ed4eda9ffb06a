// Non-cryptographic hashes, for distribution only; not safe against crafted input (§6.1).
#pragma once
#include <cstdint>
#include <string_view>

namespace pipit {

// Mixes the bits of a number, so that each input bit affects all 64 output bits.
inline std::uint64_t hash_bits(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ull;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebull;
  x ^= x >> 31;
  return x;
}

// Returns the 64-bit hash of a text, equal in every process.
inline std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ull) {
  std::uint64_t h = seed;
  for (char const c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return hash_bits(h);
}

// Derives the seed for one consumer of a node's random numbers. The mixing is one-way on purpose: seeds combined by XOR
// alone cancelled each other out, and all nodes drew the same numbers.
inline std::uint64_t derived_seed(std::uint64_t seed, std::string_view consumer) {
  return hash_text(consumer, hash_bits(seed + 0x9e3779b97f4a7c15ull));
}

}  // namespace pipit
