// Leases on singleton roles, on the side of the nodes that want them (§5.7).
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/micros.h"
#include "base/random.h"
#include "consensus/lease/lease_term.h"
#include "consensus/register/membership.h"
#include "consensus/register/outgoing_message.h"

namespace pipit {

// Asks the replicas for the lease on one role, and extends it while it has it.
//
// State: the replies to the last request and until when the lease lasts. Called from the node's loop only.
//
// Invariant: the lease ends here before it ends at any replica that gave it.
class LeaseCandidate {
 public:
  // The seed differs from node to node: request numbers and the backoff after a split come from it.
  LeaseCandidate(std::string role, std::uint64_t seed)
      : role_(std::move(role)), random_(derived_seed(seed, role_)), request_id_(random_.next() >> 8) {}
  // Sends a request when one is due.
  void tick(Micros now, Membership const& members, std::vector<OutgoingMessage>& out);
  // Gives the lease back, so that the next candidate may begin at once.
  void release(Membership const& members, std::vector<OutgoingMessage>& out);
  void handle_reply(std::string const& from, wire::LeaseReplyT const& reply, Micros now, Membership const& members);
  // Whether this node has the lease. It ends here a fifth of the term earlier than at the grantors, for clocks that run
  // at different rates.
  bool holds(Micros now) const { return now < expires_at_; }

 private:
  void send_requests(Micros term, Membership const& members, std::vector<OutgoingMessage>& out);

  std::string const role_;
  RandomSource random_;
  std::uint64_t request_id_;
  Micros next_request_at_ = 0;
  Micros requested_at_ = -1;  // when the last request was sent; -1 once it is given back
  Micros expires_at_ = -1;
  Voters granted_by_;
};

}  // namespace pipit
