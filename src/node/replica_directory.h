// What this node knows of the register's replicas: where they are, on which disk they answered last, who leaves.
//
// State: none of its own. It reads the mesh's members, the learner's observations and this node's own acceptor, and
// asks the node through ReplicaDirectory::LocalStatus what only the node can say of itself.
// Invariants: it changes nothing that it reads; an answer holds for the moment at which it was asked.
// Thread: the node's loop.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "consensus/register/acceptor.h"
#include "consensus/register/learner.h"
#include "mesh/mesh.h"
#include "node/node_plan.h"

namespace pipit {

class ReplicaDirectory {
 public:
  // What the node says of itself.
  struct LocalStatus {
    std::function<bool()> leaving;          // it drains, and will end
    std::function<bool()> retiring;         // a stop is planned, and a replica connected_here is to be replaced
    std::function<Micros()> poll_interval;  // between two polls of the replicas, in microseconds
  };

  ReplicaDirectory(NodePlan const& plan, Mesh const& mesh, Learner const& learner,
                   std::optional<Acceptor> const& acceptor, LocalStatus status);

  // The mesh's address of a peer; empty for one that is not known.
  std::string address_of(std::string const& name) const;
  // The names of all nodes that may hold a copy and are connected, this one with them; sorted.
  std::vector<std::string> connected_replicas() const;
  // The disk that a replica last answered from; nothing when that was not max_age the given microseconds.
  std::optional<std::uint64_t> recent_disk(std::string const& name, Micros max_age, Micros now) const;
  // Whether a replica left or is about to, though its process may still answer.
  bool is_leaving(std::string const& name) const;
  // Whether a replica of the set is connected and alive, and was last seen on the disk that belongs to the set.
  bool is_reachable(wire::ReplicaT const& replica) const;
  // Whether more than half of these replicas answered max_age the given microseconds, each from its own disk.
  bool majority_answered(std::vector<wire::ReplicaT> const& replicas, Micros max_age, Micros now) const;
  // Whether every member of the set answered the last poll.
  bool all_members_answered(Micros now) const;
  // Whether a quorum answered lately and is still connected; without one operators' changes are refused at once
  // (docs/control.md).
  bool has_quorum_contact(Micros now) const;
  // The replica that proposes changes for all nodes, so that proposers do not outbid each other (§12.8); empty when
  // none is reachable.
  std::string proposing_replica() const;

 private:
  NodePlan const& plan_;
  Mesh const& mesh_;
  Learner const& learner_;
  std::optional<Acceptor> const& acceptor_;
  LocalStatus const status_;
};

}  // namespace pipit
