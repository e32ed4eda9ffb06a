// A read-only view of the register's replicas as this node sees them: their addresses, the disk each one last answered
// from, and which of them are leaving.
//
// State: none. It reads the mesh's members, the learner's observations and this node's own acceptor, and the node's own
// status through ReplicaDirectory::LocalStatus.
// Invariants: it modifies none of these; a result describes the time of the call.
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

// The references passed to the constructor must outlive the object.
class ReplicaDirectory {
 public:
  // The status of this node itself, read at each use.
  struct LocalStatus {
    std::function<bool()> leaving;          // the node is draining and will stop
    std::function<bool()> retiring;         // a stop is planned, and this node's replica is to be replaced first
    std::function<Micros()> poll_interval;  // between two polls of the replicas, in microseconds
  };

  ReplicaDirectory(NodePlan const& plan, Mesh const& mesh, Learner const& learner,
                   std::optional<Acceptor> const& acceptor, LocalStatus status);

  // The mesh address of a peer; empty for an unknown name.
  std::string address_of(std::string const& name) const;
  // The names of all connected nodes that may hold a copy of the register, this node included if it has a replica;
  // sorted.
  std::vector<std::string> connected_replicas() const;
  // The id of the disk that a replica last answered from; nothing when its last answer is 'max_age' microseconds old or
  // older.
  std::optional<std::uint64_t> recent_disk(std::string const& name, Micros max_age, Micros now) const;
  // Whether a replica has left or is about to leave, even though its process may still answer.
  bool is_leaving(std::string const& name) const;
  // Whether a replica of the set is connected and alive, and last answered from the disk that belongs to the set.
  bool is_reachable(wire::ReplicaT const& replica) const;
  // Whether more than half of these replicas answered within the last 'max_age' microseconds, each from its own disk.
  bool majority_answered(std::vector<wire::ReplicaT> const& replicas, Micros max_age, Micros now) const;
  // Whether every member of the set answered the last poll.
  bool all_members_answered(Micros now) const;
  // Whether a quorum answered recently and is still connected. Without one, operators' changes are refused at once
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
