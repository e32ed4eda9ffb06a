// Which nodes own tenants' limits, and what share each has: the members of the register's replica set, in equal shares.
// A superseded set still counts for a while, since a member that is cut off may act on it for as long as its lease on
// the configuration lasts: until then a node uses the smallest of the shares that it had.
#pragma once
#include <string>
#include <vector>

#include "base/micros.h"
#include "consensus/register/membership.h"

namespace pipit {

// This node's share of every tenant's limit.
class QuotaShares {
 public:
  // 'superseded_lifetime': how long a node may act on a set after a newer one was chosen. 'stored_fingerprint': the
  // result of settled() that an earlier incarnation of this node stored; 0: none.
  QuotaShares(std::string self, Micros superseded_lifetime, std::uint64_t stored_fingerprint = 0)
      : self_(std::move(self)), superseded_lifetime_(superseded_lifetime), stored_fingerprint_(stored_fingerprint) {}

  // Applies the replica set now in force.
  void note(Membership const& members, Micros now);
  // This node's share of every limit, 0 to 1.
  double share(Micros now);
  // Since when the share has been above 0 without interruption; -1 if it is 0.
  Micros active_since(Micros now);
  // Fingerprint of the set in force if no node can act on an older one any more; otherwise 0.
  std::uint64_t settled(Micros now);
  // The owners of quota: the members of the newest set.
  std::vector<std::string> const& owners() const { return owners_; }

 private:
  struct TimedShare {
    double share = 0;
    Micros until = -1;  // when it stops to count; -1: it belongs to the set in force
  };
  double share_in(std::vector<wire::ReplicaT> const& replicas) const;

  std::string const self_;
  Micros const superseded_lifetime_;
  std::uint64_t const stored_fingerprint_;
  std::uint64_t fingerprint_ = 0;
  bool known_ = false;
  std::vector<TimedShare> shares_;
  std::vector<std::string> owners_;
  Micros active_since_ = -1;
};

}  // namespace pipit
