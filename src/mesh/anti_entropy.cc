#include "mesh/anti_entropy.h"

namespace pipit {

namespace {
constexpr Micros min_interval = seconds(1);  // between two exchanges
constexpr Micros quiet_period = seconds(1);  // a digest that changed within it counts as still changing
constexpr Micros min_interval_while_changing = millis(1500);
}  // namespace

bool AntiEntropyLimiter::allow_exchange(std::uint64_t own_digest, std::uint64_t peer_digest, Micros now) {
  if (own_digest != digest_) {
    digest_ = own_digest;
    changed_at_ = now;
  }
  if (own_digest == peer_digest || now - last_exchange_ < min_interval) return false;
  if (now - changed_at_ < quiet_period && now - last_exchange_ < min_interval_while_changing) return false;
  last_exchange_ = now;
  return true;
}

}  // namespace pipit
