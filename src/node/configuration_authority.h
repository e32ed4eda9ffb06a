// Confirms that the configuration held here is the newest one, which keys and the handing out of quota need
// (docs/tenants.md).
//
// Owns the two leases on the configuration, the questions to peers that are not answered yet, and what peers confirmed
// of revisions that are not held here yet. A lease is only ever confirmed as of a moment at which nothing newer than
// the value held here had been chosen; all moments are of this node's monotonic clock.
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

// How long a confirmation of the configuration holds, in microseconds.
struct ConfigurationSpans {
  Micros revocation = 0;  // for keys; 0: they need no lease
  Micros in_force = 0;    // for refusing for good what the configuration does not know
  Micros quota = 0;       // for handing out quota
};

class ConfigurationAuthority {
 public:
  // 'next_request_id' numbers the questions to peers. The references must outlive this object.
  ConfigurationAuthority(ConfigurationSpans const& spans, Mesh const& mesh, Learner const& learner,
                         PeerRotation& rotation, std::function<std::uint64_t()> next_request_id);

  // The lease that requests with keys need.
  ConfigurationLease const& key_lease() const { return key_lease_; }
  // Whether the configuration is confirmed for handing out quota.
  bool may_issue_quota(Micros now) const { return quota_lease_.valid(now); }

  // Takes over what the learner's polls and the peers' replies have confirmed so far.
  void update_confirmations();
  // Renews the leases: appends questions to peers when it is time for them. Without 'keys_required' none are asked.
  void renew_leases(bool keys_required, Micros now, std::vector<OutgoingMessage>& outgoing);
  // Answers a peer's question: the revision held here, and how long ago it was confirmed as the newest.
  wire::NewestReplyT answer_request(std::uint64_t request_id, Micros now) const;
  // Takes a peer's reply; may append a request for the newer value that the peer holds.
  void take_reply(std::string const& from, wire::NewestReplyT const& reply, Micros now,
                  std::vector<OutgoingMessage>& outgoing);

 private:
  // Whom to ask in the present turn: a replica, and another peer where that is urgent or no replica is reachable.
  std::vector<std::string> select_targets(Micros now);
  void confirm_leases(Micros at);

  Mesh const& mesh_;
  Learner const& learner_;
  PeerRotation& rotation_;
  std::function<std::uint64_t()> const next_request_id_;
  ConfigurationLease key_lease_;
  ConfigurationLease quota_lease_;
  std::map<std::uint64_t, Micros> open_requests_;  // by id: when a question that may still be answered was sent
  // By revision that is not held here yet: a moment at which nothing above it had been chosen.
  std::map<std::uint64_t, Micros> confirmed_revisions_;
  Micros next_request_at_ = 0;
};

}  // namespace pipit
