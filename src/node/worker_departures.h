// Departures of workers that registered themselves: decides when the end of a worker may be acknowledged to the caller
// that reported it (docs/control.md, "Ends of workers").
//
// Owns the calls that are waiting for their acknowledgement. Each call is answered exactly once: as soon as the
// worker's entry has reached a quorum of the replicas and every connected peer, or at the call's deadline, and then
// positively only if a quorum has the entry. A node that knows no replica set yet acknowledges nothing: the peers that
// it knows need not be all that run. The mesh and the learner are only read.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "consensus/register/learner.h"
#include "mesh/mesh.h"

namespace pipit {

// The answer to a call that reported the end of a worker.
struct DepartureAnswer {
  std::uint64_t id = 0;       // of the call
  bool acknowledged = false;  // whether a quorum of nodes has the entry of the ended worker
};

// Tracks the calls that report the ends of workers.
class WorkerDepartures {
 public:
  // 'self' is this node's name; 'has_quorum' returns whether a quorum of the replicas is connected. The mesh and the
  // learner must outlive this object.
  WorkerDepartures(std::string self, Mesh const& mesh, Learner const& learner, std::function<bool(Micros)> has_quorum);

  // Adds a call that reported the end of 'worker', and appends its answer if it can be answered at once.
  void add_call(std::uint64_t id, std::string const& worker, Micros now, std::vector<DepartureAnswer>& answers);
  // Appends the answers of all calls that can be answered at 'now' (microseconds), and removes these calls.
  void answer_calls(Micros now, std::vector<DepartureAnswer>& answers);
  // Whether a call that reported the end of 'worker' waits for its answer.
  bool is_pending(std::string const& worker) const;
  // Whether this node is connected to a quorum of the replicas, or to at least half of the nodes that may be running,
  // itself included: only then do the reports of workers to this node spread through the fleet. Nodes are counted from
  // the last contact with a quorum on; without one since the start, this node is not connected.
  bool is_connected(Micros now);

 private:
  struct PendingCall {
    std::string worker;
    Micros deadline = 0;
  };

  // Whether every connected peer that is alive has the worker's entry.
  bool reached_all_connected(std::string const& worker) const;
  // Whether enough replicas have the worker's entry for it to spread to every node that others reach.
  bool reached_quorum(std::string const& worker) const;
  // Checks the invariant of a positive answer: a replica set is known, and a replica other than this node has the entry
  // unless this node is the whole set.
  void check_acknowledgement(std::string const& worker) const;
  // Takes the peers of the member table as those that may be running.
  void record_known_nodes();
  // Whether at least half of the nodes that may be running are connected, itself included.
  bool reaches_half_of_known_nodes() const;

  std::string const self_;
  Mesh const& mesh_;
  Learner const& learner_;
  std::function<bool(Micros)> const has_quorum_;
  std::map<std::uint64_t, PendingCall> pending_calls_;  // by the call's id
  // The peers in the member table at the last contact with a quorum; nullopt before the first one. The table itself may
  // lack nodes that run: it is empty after a start, and peers that stay unreachable are removed from it.
  std::optional<std::set<std::string>> known_nodes_;
  std::uint64_t known_nodes_version_ = 0;  // of the member table when they were taken
};

}  // namespace pipit
