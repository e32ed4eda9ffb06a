// Forwards operators' changes to the one replica that proposes for all nodes, so that proposers do not outbid each
// other (§12.8), and proposes the changes that other nodes forward to this one.
//
// Any node may still propose: a change that is not answered in time is proposed by this node under the same change id,
// and the register applies it once.
//
// State: the changes that were forwarded to other nodes, the changes proposed here for other nodes, and the rotation
// among the peers that relay a change while no quorum of replicas is in contact.
// Invariants: a forwarded change ends in exactly one reply, from the other node's answer or from a proposal here; the
// node that forwarded a change is answered once.
// Thread: the node's loop.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "consensus/register/learner.h"
#include "consensus/register/proposer.h"
#include "mesh/mesh.h"
#include "node/node_effects.h"
#include "node/node_plan.h"
#include "node/replica_directory.h"

namespace pipit {

// The references passed to the constructor must outlive the object.
class ChangeForwarder {
 public:
  // Callbacks into the node.
  struct Actions {
    // Returns the next id of a request that this node sends; the ids are shared by all of its messages.
    std::function<std::uint64_t()> next_request_id;
    // Proposes a change at this node; its outcome is added to NodeEffects::replies under 'id'.
    std::function<void(std::uint64_t id, Change change, Micros now, NodeEffects& out)> propose;
    // Adopts a value that is known to be chosen and that the peer 'from' sent.
    std::function<void(std::string const& from, wire::ValueT const& value, Micros now, NodeEffects& out)> adopt_value;
  };

  ChangeForwarder(NodePlan const& plan, Mesh& mesh, Learner const& learner, ReplicaDirectory const& directory,
                  Actions actions);

  // Forwards a change to another node. Returns false when this node must propose the change itself: the change did not
  // come from an operator, no other node is available, or this node is the proposing replica.
  bool forward_change(std::uint64_t id, Change const& change, Micros now, NodeEffects& out);
  // Proposes a change that the node 'from' forwarded; its reply is sent by a later tick().
  void handle_forwarded_change(std::string const& from, wire::ForwardedChangeT const& request, Micros now,
                               NodeEffects& out);
  // Handles the reply to a change that this node forwarded. Replies from any other node are ignored.
  void handle_reply(std::string const& from, wire::ForwardedChangeReplyT const& reply, Micros now, NodeEffects& out);
  // Sends other nodes the replies in 'out' that belong to their changes, and removes these from 'out'; proposes here
  // the forwarded changes whose deadline has passed.
  void tick(Micros now, NodeEffects& out);

 private:
  struct PendingForward {
    std::uint64_t id = 0;  // of the operator's call
    std::string proposer;  // the node that the change was forwarded to
    Change change;
    Micros forwarded_at = 0;
    Micros deadline = 0;  // after which this node proposes the change itself
  };
  struct Requester {
    std::string name;              // the node that forwarded the change
    std::uint64_t request_id = 0;  // its id of the request
    std::uint64_t revision = 0;    // the revision that it held when it forwarded the change
  };

  // The peer that relays the next change while this node has no contact with a quorum; empty when there is none.
  std::string next_relay_peer();
  void encode_text(std::string const& text, wire::ForwardedChangeT& request) const;
  std::optional<std::string> decode_text(wire::ForwardedChangeT const& request) const;
  void request_full_text(std::string const& from, std::uint64_t request_id, NodeEffects& out);
  void send_full_text(std::string const& to, std::uint64_t request_id, Change const& change, NodeEffects& out);
  ChangeReply reply_to_caller(PendingForward const& item, wire::ForwardedChangeReplyT const& reply, Micros now,
                              NodeEffects& out);
  void answer_requester(Requester const& requester, Outcome const& outcome, NodeEffects& out);
  void answer_requesters(NodeEffects& out);
  void propose_timed_out(Micros now, NodeEffects& out);

  NodePlan const& plan_;
  Mesh& mesh_;
  Learner const& learner_;
  ReplicaDirectory const& directory_;
  Actions const actions_;
  std::uint64_t relay_rotation_ = 0;                          // counts the changes sent to relaying peers
  std::map<std::uint64_t, PendingForward> pending_forwards_;  // by request id
  std::map<std::uint64_t, Requester> requesters_;             // by the id under which this node proposes the change
};

}  // namespace pipit
