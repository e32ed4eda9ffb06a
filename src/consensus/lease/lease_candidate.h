// Acquires and renews leases on singleton roles, on the nodes that want such a role (§5.7).
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

// Requests the lease on one role from the replicas, and renews the lease while this node holds it.
//
// State: the replicas that granted the last request, and the expiry of the lease. Called from the node's loop only.
//
// Invariant: the lease expires here before it expires at any replica that granted it.
class LeaseCandidate {
 public:
  // The seed must differ from node to node: request ids and the backoff after a split vote are drawn from it.
  LeaseCandidate(std::string role, std::uint64_t seed)
      : role_(std::move(role)), random_(derived_seed(seed, role_)), request_id_(random_.next() >> 8) {}
  // Appends the requests that are due to `out`: to acquire or renew the lease, or to release the leases given in a
  // split vote.
  void tick(Micros now, Membership const& members, std::vector<OutgoingMessage>& out);
  // Releases the lease, so that the next candidate can acquire it at once. The messages are appended to `out`.
  void release(Membership const& members, std::vector<OutgoingMessage>& out);
  // Counts a lease given by a replica. Ignores replies to earlier requests, for other roles, and from outside
  // `members`.
  void handle_reply(std::string const& from, wire::LeaseReplyT const& reply, Micros now, Membership const& members);
  // Whether this node holds the lease. The lease expires here a fifth of the term earlier than at the grantors, to
  // allow for clocks that run at different rates.
  bool holds(Micros now) const { return now < expires_at_; }

 private:
  // A term of 0 releases the lease.
  void send_requests(Micros term, Membership const& members, std::vector<OutgoingMessage>& out);

  std::string const role_;
  RandomSource random_;
  std::uint64_t request_id_;  // of the last request
  Micros next_request_at_ = 0;
  Micros requested_at_ = -1;  // when the last request was sent; -1 after a release
  Micros expires_at_ = -1;    // -1 while this node has no lease
  Voters granted_by_;         // replicas that granted the last request
};

}  // namespace pipit
