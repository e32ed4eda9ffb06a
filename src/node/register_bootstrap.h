// Writes the register's initial set of replicas, once for a fleet (§5.4, §12.3).
//
// State: whether this initial member already waited for the initial set in an earlier incarnation.
// Invariants: at most one initial set is ever chosen. It is proposed only by an initial member whose own replica holds
// no copy of the register, and only while every initial member answers from a blank disk; after a restart, only while
// the disks carry the marks of the first start, since a wiped disk looks blank as well.
// Thread: the node's loop.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "consensus/register/acceptor.h"
#include "consensus/register/learner.h"
#include "consensus/register/membership.h"
#include "mesh/mesh.h"
#include "node/node_plan.h"
#include "node/replica_directory.h"

namespace pipit {

// Proposes the initial replica set. The references must outlive the object.
class RegisterBootstrap {
 public:
  // 'started_at': when this node started, in microseconds on its own clock.
  RegisterBootstrap(NodePlan const& plan, Mesh const& mesh, Learner const& learner,
                    std::optional<Acceptor> const& acceptor, ReplicaDirectory const& directory, Micros started_at);

  // Marks a blank disk of an initial member as waiting for the initial set. Called once, before the node answers any
  // message.
  void mark_awaiting_bootstrap(std::optional<Acceptor>& acceptor);
  // Appends a proposal of the initial set to each of its members, if this node may make one now.
  void propose_initial_membership(Micros now, std::vector<OutgoingMessage>& outgoing) const;

 private:
  // The initial set that this node learned from others, or that it may write itself; nothing while it may not.
  std::optional<Membership> initial_membership(Micros now) const;
  // The set of these members; nothing unless all of them answered recently from blank disks.
  std::optional<Membership> membership_of_blank_replicas(std::vector<std::string> const& names, Micros now) const;
  // The names of the nodes whose replicas form the initial set; empty while that is undecided.
  std::vector<std::string> initial_replica_names(Micros now) const;

  NodePlan const& plan_;
  Mesh const& mesh_;
  Learner const& learner_;
  std::optional<Acceptor> const& acceptor_;
  ReplicaDirectory const& directory_;
  Micros const started_at_;
  bool restarted_ = false;  // the disk was marked as waiting by an earlier incarnation
};

}  // namespace pipit
