// Limits how often nodes of a large fleet whose digests differ exchange all of their records (§3.6).
//
// Job: keeps full exchanges rare, and delays them while a change is still spreading, because digests differ during that
// time without any record being lost.
// State: this node's digest and the time of its last change, and the time of the last exchange.
// Thread: the node's loop only.
// Invariant: two exchanges are at least 'min_interval' apart, and 'min_interval_while_changing' if this node's own
// digest changed within 'quiet_period'.
#pragma once
#include <cstdint>

#include "base/micros.h"

namespace pipit {

// A rate limiter for full exchanges of one kind of record.
class AntiEntropyLimiter {
 public:
  // Whether to start a full exchange now with a peer that reported 'peer_digest'. If so, 'now' is recorded as the time
  // of the last exchange.
  bool allow_exchange(std::uint64_t own_digest, std::uint64_t peer_digest, Micros now);

 private:
  std::uint64_t digest_ = 0;
  Micros changed_at_ = 0;
  Micros last_exchange_ = -seconds(60);
};

}  // namespace pipit
