// Requests and allocates quota, parts of the tenants' rate limits (docs/tenants.md). It connects the node's dispatcher,
// the client that requests quota from the owners of the limits, and this node's own part of them where it is an owner.
//
// Owns the client, the token buckets of this node's part, and the shares by which the replicas divide the limits. Quota
// is granted only while the configuration is confirmed and this node's share is above 0; every request for quota is
// answered here or forwarded once.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/micros.h"
#include "consensus/register/acceptor.h"
#include "consensus/register/learner.h"
#include "mesh/mesh.h"
#include "node/configuration_authority.h"
#include "node/peer_selection.h"
#include "routing/dispatch/dispatcher.h"
#include "routing/tenants/quota_client.h"
#include "routing/tenants/quota_owner.h"
#include "routing/tenants/quota_shares.h"

namespace pipit {

// Fixed for one incarnation of the node.
struct QuotaAuthorityOptions {
  std::string self;  // this node's name
  QuotaTerms terms;
  std::uint64_t first_request_id = 0;    // request ids of this incarnation's client start here
  Micros fence = 0;                      // how long, in microseconds, a node may still act on a superseded replica set
  std::uint64_t settled_membership = 0;  // fingerprint of the set that an earlier incarnation saw settled; 0 for none
};

// The other parts of the node that quota depends on; they must outlive the QuotaAuthority.
struct QuotaDependencies {
  Mesh const& mesh;
  Learner const& learner;
  std::optional<Acceptor>& acceptor;
  ConfigurationAuthority& configuration;
  PeerRotation& rotation;
  Dispatcher& dispatcher;
};

// One node's quota client and quota owner.
class QuotaAuthority {
 public:
  QuotaAuthority(QuotaAuthorityOptions options, QuotaDependencies const& dependencies);

  QuotaOwner const& owner() const { return owner_; }
  QuotaClient const& client() const { return client_; }

  // Records the replica set in force, drops idle buckets, and resends requests that timed out.
  void tick(Micros now, std::vector<OutgoingMessage>& outgoing);
  // Requests the quota that the dispatcher needs, cancels requests that it no longer needs, and passes it the results.
  // The needs and cancellations are removed from 'effects'; the effects of the results are added to it.
  void process_dispatch_effects(DispatchEffects& effects, Micros now, std::vector<OutgoingMessage>& outgoing);
  // Handles a peer's request: decides it here, or forwards it to an owner that this node reaches. Debits and returns of
  // quota get no reply.
  void handle_request(std::string const& from, wire::QuotaRequestT const& request, Micros now,
                      std::vector<OutgoingMessage>& outgoing);
  // Handles a reply to this node's client, or forwards it to the node that sent the request.
  void handle_reply(std::string const& from, wire::QuotaReplyT& reply, Micros now,
                    std::vector<OutgoingMessage>& outgoing);

 private:
  QuotaPeers select_peers() const;
  void begin_request(QuotaClaim const& need, QuotaPeers const& peers, Micros now,
                     std::vector<OutgoingMessage>& outgoing);
  // Forwards the request to a reachable owner; false when this node is an owner, the request was forwarded before, or
  // no owner is reachable.
  bool forward_to_owner(wire::QuotaRequestT const& request, std::vector<OutgoingMessage>& outgoing);
  QuotaDecision decide_request(wire::QuotaRequestT const& request, Micros now);
  bool is_owner() const;

  QuotaAuthorityOptions const options_;
  QuotaDependencies const dependencies_;
  QuotaOwner owner_;
  QuotaClient client_;
  QuotaShares shares_;
};

}  // namespace pipit
