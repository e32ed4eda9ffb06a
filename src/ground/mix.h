// Hashing and seeded chance. No hash here guards against an enemy; they only spread (§6.1).
#pragma once
#include <cstdint>
#include <string_view>

namespace pipit {

inline std::uint64_t stir(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ull;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebull;
  x ^= x >> 31;
  return x;
}

inline std::uint64_t mix(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ull) {
  std::uint64_t h = seed;
  for (char const c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return stir(h);
}

// The seed of one consumer of a node's random numbers. The steps are one-way on purpose: seeds that were combined by
// XOR alone cancelled each other out, and all nodes drew the same numbers.
inline std::uint64_t derived_seed(std::uint64_t seed, std::string_view consumer) {
  return mix(consumer, stir(seed + 0x9e3779b97f4a7c15ull));
}

class Dice {
 public:
  explicit Dice(std::uint64_t seed) : state(seed + 0x9e3779b97f4a7c15ull) {}
  std::uint64_t roll() {
    state += 0x9e3779b97f4a7c15ull;
    return stir(state);
  }
  std::uint64_t below(std::uint64_t n) { return n == 0 ? 0 : roll() % n; }
  bool chance(double p) { return static_cast<double>(roll() >> 11) * 0x1.0p-53 < p; }

 private:
  std::uint64_t state;
};

}  // namespace pipit
