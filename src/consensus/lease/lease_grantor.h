// Leases on singleton roles, on the side of the replicas that give them (§5.7).
#pragma once
#include <map>
#include <string>

#include "consensus/lease/lease_term.h"

namespace pipit {

// Gives leases on singleton roles, which one node has at a time, for one replica. A candidate has the lease when a
// majority of the replicas gave it.
//
// State: the leases that are in force, in memory only. Therefore a replica that just began gives nothing for a whole
// term, since it may have given one just before it ended. Called from the node's loop only.
//
// Invariant: at any time a role is leased to one candidate at most.
class LeaseGrantor {
 public:
  explicit LeaseGrantor(Micros started_at) : started_at_(started_at) {}
  // Gives, or extends, the lease on a role for a term in microseconds, lease_term at most; false when another
  // candidate has it. A term of 0 gives the lease back.
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
