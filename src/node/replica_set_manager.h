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
                    ReplicaDirectory::Status status, Micros started_at, std::uint64_t seed);

  // Asks for the lease, or for more of it, when that is due; only a replica that holds a copy does.
  void renew_lease(Micros now, std::vector<OutgoingMessage>& outgoing);
  void take_lease_reply(std::string const& from, wire::LeaseReplyT const& reply, Micros now);
  // Lets the next holder begin at once: this node is about to end.
  void release_lease(std::vector<OutgoingMessage>& outgoing);

  // What is to be proposed now; nothing when all is well, or while the last one is under way. The caller proposes it
  // and says by change_ended() when it has ended.
  std::optional<Change> next_change(Micros now);
  void change_ended() { change_under_way_ = false; }

  // Whether nobody is here to take the place of a replica that ends, and the set cannot do without it.
  bool lacks_successor(Micros now) const;

 private:
  // What the holder of the lease has to do.
  std::optional<Change> change_by_lease(Micros now);
  // A reading that repairs copies of which no ballot has a majority; it needs no lease.
  std::optional<Change> read_without_lease(Micros now);
  // A reading by the lease's holder that repairs copies that differ.
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
  std::size_t replicas_wanted() const;
  // The least size at which the set outlives as many lost disks as are tolerated.
  std::size_t replicas_needed() const;
  bool set_may_shrink() const;

  NodePlan const& plan_;
  Mesh const& mesh_;
  Learner const& learner_;
  std::optional<Acceptor> const& acceptor_;
  ReplicaDirectory const& directory_;
  ReplicaDirectory::Status const status_;
  Micros const started_at_;
  LeaseCandidate lease_;
  bool had_lease_ = false;  // when next_change() last looked
  bool change_under_way_ = false;
  Micros repaired_at_ = -seconds(60);
};

}  // namespace pipit
