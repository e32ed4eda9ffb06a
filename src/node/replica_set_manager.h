// What one node at a time does for the whole fleet: it adds, replaces and removes replicas of the register, evicts
// router nodes that ended, and repairs copies that differ (§5.7, §5.8).
//
// State: the lease on that role, whether a change of this manager is under way, and when copies were last repaired.
// Invariants: one change of its own at a time; none of the set or of registrations without the lease; none that would
// leave the next set without a majority that answers now.
// Thread: the node's loop.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/lease/lease_candidate.h"
#include "consensus/register/acceptor.h"
#include "consensus/register/learner.h"
#include "consensus/register/proposer.h"
#include "mesh/mesh.h"
#include "node/node_plan.h"
#include "node/replica_directory.h"

namespace pipit {

class ReplicaSetManager {
 public:
  // 'started_at': when this node began, by its own clock; 'seed': for the lease's random pauses.
  ReplicaSetManager(NodePlan const& plan, Mesh const& mesh, Learner const& learner,
                    std::optional<Acceptor> const& acceptor, ReplicaDirectory const& directory,
                    ReplicaDirectory::LocalStatus status, Micros started_at, std::uint64_t seed);

  // Asks for the lease, or for more of it, when that is due; only a replica that holds a copy does.
  void renew_lease(Micros now, std::vector<OutgoingMessage>& outgoing);
  void handle_lease_reply(std::string const& from, wire::LeaseReplyT const& reply, Micros now);
  // Lets the next holder begin at once: this node is about to end.
  void release_lease(std::vector<OutgoingMessage>& outgoing);

  // What is to be proposed now; nothing when all is well, or while the last one is under way. The caller proposes it
  // and says by finish_change() when it has ended.
  std::optional<Change> next_change(Micros now);
  void finish_change() { change_in_flight_ = false; }

  // Whether nobody is here to take the place of a replica that ends, and the set cannot do without it.
  bool lacks_replacement(Micros now) const;

 private:
  // What the holder of the lease has to do.
  std::optional<Change> next_change_with_lease(Micros now);
  // A make_read_change that repairs copies of which no ballot has a majority; it needs no lease.
  std::optional<Change> next_read_without_lease(Micros now);
  // A make_read_change by the lease's holder that repairs copies that differ.
  std::optional<Change> repair_copies(Micros now);
  std::optional<Change> change_members(Micros now) const;
  std::optional<Change> evict_router(Micros now) const;
  // Whether a router node with this registration left, or its address has refused for long.
  bool has_ended(wire::RouterRegistrationT const& registration, Micros now) const;
  // A replica that answers and is not in the set.
  std::optional<wire::ReplicaT> spare_replica(Micros now) const;
  // A member of the set that is lost.
  std::optional<wire::ReplicaT> lost_replica(Micros now) const;
  // The size that the set should have, by the replicas that stay.
  std::size_t target_replica_count() const;
  // The least size at which the set outlives as many lost disks as are tolerated.
  std::size_t required_replica_count() const;
  bool set_may_shrink() const;

  NodePlan const& plan_;
  Mesh const& mesh_;
  Learner const& learner_;
  std::optional<Acceptor> const& acceptor_;
  ReplicaDirectory const& directory_;
  ReplicaDirectory::LocalStatus const status_;
  Micros const started_at_;
  LeaseCandidate lease_;
  bool had_lease_ = false;  // when next_change() last looked
  bool change_in_flight_ = false;
  Micros repaired_at_ = -seconds(60);
};

}  // namespace pipit
