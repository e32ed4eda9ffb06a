// A seeded random number generator: the same seed gives the same numbers in every process.
#pragma once
#include <cstdint>

#include "base/hash.h"

namespace pipit {

// Generates pseudo-random numbers. Not for secrets: they can be predicted from the seed. Not thread-safe.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed + 0x9e3779b97f4a7c15ull) {}
  // Returns 64 random bits.
  std::uint64_t next() {
    state_ += 0x9e3779b97f4a7c15ull;
    return hash_bits(state_);
  }
  // Returns a number from 0 to n - 1; 0 for n = 0.
  std::uint64_t below(std::uint64_t n) { return n == 0 ? 0 : next() % n; }
  // Returns true with the probability p, from 0 to 1.
  bool chance(double p) { return static_cast<double>(next() >> 11) * 0x1.0p-53 < p; }

 private:
  std::uint64_t state_;
};

}  // namespace pipit
