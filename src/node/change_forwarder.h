// Changes that one replica proposes for all nodes, so that proposers do not outbid each other (§12.8).
//
// Any node may still propose: a change that is not answered in time is proposed here under the same id, and the
// register takes it once.
//
// State: the changes that another node was asked to propose, those that this node proposes for others, and whose turn
// it is among the peers that are asked when no replica is heard.
// Invariants: a change that was forwarded ends in exactly one reply, by the other node's answer or by a proposal here;
// who forwarded a change is answered once.
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

class ChangeForwarder {
 public:
  // What the node does for it.
  struct Actions {
    std::function<std::uint64_t()> next_request_id;  // of any message that this node sends
    std::function<void(std::uint64_t id, Change change, Micros now, NodeEffects& out)> propose;
    // Takes a value that is known to be chosen.
    std::function<void(wire::ValueT const& value, Micros now, NodeEffects& out)> adopt_value;
  };

  ChangeForwarder(NodePlan const& plan, Mesh& mesh, Learner const& learner, ReplicaDirectory const& directory,
                  Actions actions);

  // Asks another node to propose a change; false when this node is to propose it itself.
  bool forward_change(std::uint64_t id, Change const& change, Micros now, NodeEffects& out);
  // Proposes a change for the node that forwarded it.
  void handle_forwarded_change(std::string const& from, wire::ForwardedChangeT const& request, Micros now, NodeEffects& out);
  // What became of a change that was forwarded.
  void handle_reply(std::string const& from, wire::ForwardedChangeReplyT const& reply, Micros now, NodeEffects& out);
  // Sends the replies in 'out' that other nodes wait for, and proposes what was not answered in time.
  void tick(Micros now, NodeEffects& out);

 private:
  struct PendingForward {
    std::uint64_t id = 0;
    std::string proposer;  // the node that was asked
    Change change;
    Micros deadline = 0;
  };
  struct Requester {
    std::string name;
    std::uint64_t request_id = 0;
    std::uint64_t revision = 0;  // what it held when it asked
  };

  // The peer that is asked next when this node hears no quorum; empty when there is none.
  std::string next_relay_peer();
  void encode_text(std::string const& text, wire::ForwardedChangeT& request) const;
  std::optional<std::string> decode_text(wire::ForwardedChangeT const& request) const;
  void request_full_text(std::string const& from, std::uint64_t request_id, NodeEffects& out);
  void send_full_text(std::string const& to, std::uint64_t request_id, Change const& change, NodeEffects& out);
  Reply reply_to_caller(PendingForward const& item, wire::ForwardedChangeReplyT const& reply, Micros now, NodeEffects& out);
  void answer_requester(Requester const& requester, Outcome const& outcome, NodeEffects& out);
  void answer_requesters(NodeEffects& out);
  void propose_timed_out(Micros now, NodeEffects& out);

  NodePlan const& plan_;
  Mesh& mesh_;
  Learner const& learner_;
  ReplicaDirectory const& directory_;
  Actions const actions_;
  std::uint64_t relay_rotation_ = 0;
  std::map<std::uint64_t, PendingForward> pending_forwards_;   // by request number
  std::map<std::uint64_t, Requester> requesters_;  // by the id under which this node proposes
};

}  // namespace pipit
