// Which nodes hand out tenants' limits, and which part each: the members of the register's set of replicas, in equal
// parts. A set that was left behind still counts for a while, since a member that was cut off may go by it for as long
// as its lease on the configuration lasts: until then a node hands out the smallest of the parts that it had.
#pragma once
#include <string>
#include <vector>

#include "base/micros.h"
#include "consensus/register/membership.h"

namespace pipit {

class QuotaShares {
 public:
  // 'superseded_lifetime': for how long a node may go by a set after a newer one was chosen.
  // 'stored_fingerprint': the fingerprint of a set that an earlier incarnation of this node saw settled() with, 0 for
  // none.
  QuotaShares(std::string self, Micros superseded_lifetime, std::uint64_t stored_fingerprint = 0)
      : self_(std::move(self)), superseded_lifetime_(superseded_lifetime), stored_fingerprint_(stored_fingerprint) {}

  // The set that is in force now.
  void note(Membership const& members, Micros now);
  // This node's part of every limit, 0 to 1.
  double share(Micros now);
  // Since when its part has been above 0 without a break; -1 when it is 0.
  Micros active_since(Micros now);
  // The fingerprint of the set in force, once nobody may go by an older one any more; 0 before.
  std::uint64_t settled(Micros now);
  // Whoever may be asked: the members of the newest set.
  std::vector<std::string> const& owners() const { return owners_; }

 private:
  struct TimedShare {
    double share = 0;
    Micros until = -1;  // -1: it is one of the set that is in force
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
