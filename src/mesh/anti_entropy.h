// When two nodes whose digests differ exchange everything they know, in a large fleet (§3.6).
//
// Job: keeps full exchanges rare, and holds them back while a change is still spreading, because digests differ then by
// themselves.
// State: this node's digest with when it last changed, and when the last exchange was.
// Thread: the node's loop only.
// Invariant: two exchanges are at least 'calm' apart, and 'gap' while this node's own digest is changing.
#pragma once
#include <cstdint>

#include "base/micros.h"

namespace pipit {

class AntiEntropyLimiter {
 public:
  // Whether to exchange everything now with a peer of digest 'peer_digest'; if so, the time counts as the last exchange.
  bool allow_exchange(std::uint64_t own_digest, std::uint64_t peer_digest, Micros now);

 private:
  std::uint64_t digest_ = 0;
  Micros changed_at_ = 0;
  Micros last_exchange_ = -seconds(60);
};

}  // namespace pipit
