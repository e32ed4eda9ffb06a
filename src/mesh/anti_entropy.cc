#include "mesh/anti_entropy.h"

namespace pipit {

namespace {
constexpr Micros calm = seconds(1);
constexpr Micros gap = millis(1500);
}  // namespace

bool AntiEntropyLimiter::admit(std::uint64_t own, std::uint64_t theirs, Micros now) {
  if (own != digest_) {
    digest_ = own;
    changed_at_ = now;
  }
  if (own == theirs || now - last_exchange_ < calm) return false;
  if (now - changed_at_ < calm && now - last_exchange_ < gap) return false;
  last_exchange_ = now;
  return true;
}

}  // namespace pipit
