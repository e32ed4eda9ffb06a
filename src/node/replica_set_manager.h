// Maintains the register's replica set, on one node at a time for the whole fleet: adds, replaces and removes replicas,
// evicts router nodes that have ended, and repairs copies that differ (§5.7, §5.8).
//
// State: the lease on this role, whether a change of this manager is in flight, and when copies were last repaired.
// Invariants: at most one change of this manager is in flight; it changes neither the set nor the registrations without
// the lease; it proposes no set that lacks a majority of members that answered recently.
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

// The references passed to the constructor must outlive the object.
class ReplicaSetManager {
 public:
  // 'started_at': when this node started, in microseconds on its own clock; 'seed': for the random delays between lease
  // requests.
  ReplicaSetManager(NodePlan const& plan, Mesh const& mesh, Learner const& learner,
                    std::optional<Acceptor> const& acceptor, ReplicaDirectory const& directory,
                    ReplicaDirectory::LocalStatus status, Micros started_at, std::uint64_t seed);

  // Appends requests to acquire or renew the lease when they are due. A node whose replica holds no copy of the
  // register requests no lease.
  void renew_lease(Micros now, std::vector<OutgoingMessage>& outgoing);
  // Handles a replica's reply to a lease request.
  void handle_lease_reply(std::string const& from, wire::LeaseReplyT const& reply, Micros now);
  // Releases the lease because this node is about to stop, so that the next holder need not wait for its expiry.
  void release_lease(std::vector<OutgoingMessage>& outgoing);

  // The change to propose now; nothing when none is needed or the last one is still in flight. The caller proposes it,
  // and calls finish_change() when it has ended.
  std::optional<Change> next_change(Micros now);
  // Reports that the change returned by next_change() has ended, with whatever outcome.
  void finish_change() { change_in_flight_ = false; }

  // Whether no spare replica is available to replace one that stops, and the set may not shrink instead.
  bool lacks_replacement(Micros now) const;

 private:
  // The next change that requires the lease.
  std::optional<Change> next_change_with_lease(Micros now);
  // A read that repairs the copies when no ballot has a majority; it needs no lease.
  std::optional<Change> next_read_without_lease(Micros now);
  // A read by the lease's holder that repairs copies that differ.
  std::optional<Change> repair_copies(Micros now);
  std::optional<Change> change_members(Micros now) const;
  std::optional<Change> evict_router(Micros now) const;
  // Whether the router node with this registration left, or its address refused dials, longer than the eviction delay
  // ago.
  bool has_ended(wire::RouterRegistrationT const& registration, Micros now) const;
  // A replica that answered recently and is not in the set.
  std::optional<wire::ReplicaT> spare_replica(Micros now) const;
  // A member of the set that left, lost its disk, or has not answered for longer than the timeout.
  std::optional<wire::ReplicaT> lost_replica(Micros now) const;
  // The size that the set should have, given the replicas that are not leaving.
  std::size_t target_replica_count() const;
  // The smallest size at which the set survives the loss of as many disks as are tolerated.
  std::size_t required_replica_count() const;
  // Whether the set has more members than are wanted, so that a lost one need not be replaced.
  bool set_may_shrink() const;

  NodePlan const& plan_;
  Mesh const& mesh_;
  Learner const& learner_;
  std::optional<Acceptor> const& acceptor_;
  ReplicaDirectory const& directory_;
  ReplicaDirectory::LocalStatus const status_;
  Micros const started_at_;
  LeaseCandidate lease_;
  bool had_lease_ = false;  // at the last call of next_change()
  bool change_in_flight_ = false;
  Micros repaired_at_ = -seconds(60);  // of the last repair; far enough in the past that the first one need not wait
};

}  // namespace pipit
