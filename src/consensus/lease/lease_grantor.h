// Issues leases on singleton roles, on the replicas (§5.7).
#pragma once
#include <map>
#include <string>

#include "consensus/lease/lease_term.h"

namespace pipit {

// Issues leases on behalf of one replica. A candidate holds the lease on a role once a majority of the replicas has
// granted it.
//
// State: the leases in force, in memory only. A replica that has just started therefore issues no lease for a full
// term, since it may have granted a lease just before its last process ended. Called from the node's loop only.
//
// Invariant: at any time this replica has leased a role to at most one candidate.
class LeaseGrantor {
 public:
  // `started_at` is when this process started.
  explicit LeaseGrantor(Micros started_at) : started_at_(started_at) {}
  // Issues or extends the lease on a role for `term` microseconds, at most `lease_term`; a term of 0 releases it.
  // False when the lease was released, when another candidate holds it, when the term is out of range, or during the
  // first term after the start.
  bool handle_request(std::string const& candidate, std::string const& role, Micros term, Micros now);

 private:
  struct Lease {
    std::string candidate;
    Micros expires_at = 0;
  };
  Micros const started_at_;
  std::map<std::string, Lease> leases_;  // by role
};

}  // namespace pipit
