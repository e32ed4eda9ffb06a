// Asks for and hands out parts of tenants' limits (docs/tenants.md): joins the node's dispatcher, the client that asks
// the limits' owners, and this node's own part where it is an owner.
//
// Owns the client, the buckets of this node's part and the shares by which the replicas divide the limits. Quota is
// only granted while the configuration is confirmed and this node's share is above 0; every question is answered,
// passed on once, or granted by nobody.
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

struct QuotaAuthorityPlan {
  std::string self;  // this node's name
  QuotaTerms terms;
  std::uint64_t first_request = 0;    // numbers the client's questions of this incarnation
  Micros fence = 0;                   // for how long a node may go by a set of replicas that was left behind
  std::uint64_t settled_members = 0;  // fingerprint of the set that an earlier incarnation saw settled, 0 for none
};

// The other parts of the node that quota needs; they must outlive the QuotaAuthority.
struct QuotaCollaborators {
  Mesh const& mesh;
  Learner const& learner;
  std::optional<Acceptor>& acceptor;
  ConfigurationAuthority& configuration;
  PeerRotation& rotation;
  Dispatcher& dispatcher;
};

class QuotaAuthority {
 public:
  QuotaAuthority(QuotaAuthorityPlan plan, QuotaCollaborators const& collaborators);

  QuotaOwner const& owner() const { return owner_; }
  QuotaClient const& client() const { return client_; }

  // Notes the set of replicas in force, forgets idle buckets, and asks again what was not answered in time.
  void tick(Micros now, std::vector<OutgoingMessage>& outgoing);
  // Asks for what the dispatcher needs, gives back what it needs no more, and brings it the results. The needs and
  // drops are removed from 'effects'; what the results lead to is added to it.
  void process_needs(DispatchEffects& effects, Micros now, std::vector<OutgoingMessage>& outgoing);
  // Takes a peer's question: decides it, or passes it on to an owner that this node reaches.
  void take_request(std::string const& from, wire::QuotaRequestT const& request, Micros now,
                    std::vector<OutgoingMessage>& outgoing);
  // Takes a reply to this node's client, or passes it on to the node that asked.
  void take_reply(std::string const& from, wire::QuotaReplyT& reply, Micros now,
                  std::vector<OutgoingMessage>& outgoing);

 private:
  QuotaPeers select_peers() const;
  void begin_request(QuotaClaim const& need, QuotaPeers const& peers, Micros now,
                     std::vector<OutgoingMessage>& outgoing);
  // Whether the question was passed on to an owner, since this node is none.
  bool pass_on(wire::QuotaRequestT const& request, std::vector<OutgoingMessage>& outgoing);
  QuotaDecision decide_request(wire::QuotaRequestT const& request, Micros now);
  bool is_owner() const;

  QuotaAuthorityPlan const plan_;
  QuotaCollaborators const collaborators_;
  QuotaOwner owner_;
  QuotaClient client_;
  QuotaShares shares_;
};

}  // namespace pipit
