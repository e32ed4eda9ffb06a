// Confirms that the configuration held by this node is the newest one, which is required to accept API keys, to
// allocate quota (docs/tenants.md), and to refuse a path for good (docs/control.md).
//
// Owns the leases on the configuration, the requests to peers that are in flight, and the peers' confirmations of
// revisions that this node does not hold yet. A lease is only ever confirmed as of a time at which no value newer than
// the one held here had been chosen; all times are on this node's monotonic clock.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/micros.h"
#include "consensus/register/acceptor.h"
#include "consensus/register/learner.h"
#include "mesh/mesh.h"
#include "node/peer_selection.h"
#include "routing/tenants/configuration_lease.h"

namespace pipit {

// How long a confirmation of the configuration stays valid, in microseconds, for each of its uses.
struct ConfigurationLeaseDurations {
  Micros revocation = 0;  // for accepting keys; 0: keys need no lease
  Micros in_force = 0;    // for permanently refusing a name that the configuration does not contain; 0: no limit
  Micros quota = 0;       // for granting quota
};

// Keeps the leases on the configuration renewed, and answers peers that renew theirs.
class ConfigurationAuthority {
 public:
  // 'next_request_id' returns the ids of the requests to peers. The references must outlive this object.
  ConfigurationAuthority(ConfigurationLeaseDurations const& durations, Mesh const& mesh, Learner const& learner,
                         PeerRotation& rotation, std::function<std::uint64_t()> next_request_id);

  // The lease that requests with keys need.
  ConfigurationLease const& key_lease() const { return key_lease_; }
  // Whether the configuration is confirmed recently enough to allocate quota.
  bool may_issue_quota(Micros now) const { return quota_lease_.valid(now); }

  // Extends the leases by what the learner's polls and the peers' replies have confirmed so far.
  void update_confirmations();
  // Records whether a peer has announced a newer revision than the one held here.
  void set_superseded(bool superseded) { key_lease_.set_superseded(superseded); }
  // Appends requests to peers when the leases need renewal; the one for allocating quota counts only with
  // 'keys_required'.
  void renew_leases(bool keys_required, Micros now, std::vector<OutgoingMessage>& outgoing);
  // Builds the reply to a peer's request: the revision held here, and how many microseconds ago it was confirmed as the
  // newest.
  wire::NewestReplyT answer_request(std::uint64_t request_id, Micros now) const;
  // Handles a peer's reply. A reply to an unknown request, or one without an age, confirms nothing. A newer value that
  // the peer holds is requested by CatchUp.
  void handle_reply(wire::NewestReplyT const& reply);

 private:
  // The peers to query now: one replica, and one other peer when renewal is urgent or no replica is reachable.
  std::vector<std::string> select_peers_to_query(Micros now);
  // Confirms all leases as of the time 'at'.
  void confirm_leases(Micros at);
  bool renewal_due(bool keys_required, Micros now) const;
  bool renewal_urgent(Micros now) const;

  Mesh const& mesh_;
  Learner const& learner_;
  PeerRotation& rotation_;
  std::function<std::uint64_t()> const next_request_id_;
  ConfigurationLease key_lease_;
  ConfigurationLease quota_lease_;
  ConfigurationLease in_force_lease_;
  std::map<std::uint64_t, Micros> open_requests_;  // send times of the requests in flight, by request id
  // By revision not held here yet: a time at which no higher revision had been chosen.
  std::map<std::uint64_t, Micros> confirmed_revisions_;
  Micros next_request_at_ = 0;
};

}  // namespace pipit
