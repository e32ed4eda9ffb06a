// Departures of workers that registered themselves: when the end of one may be acknowledged to its caller
// (docs/control.md, "Ends of workers").
//
// Owns the calls that wait for their acknowledgement. Each call is answered exactly once: as soon as the entry has
// reached a quorum and every connected peer, or at the call's deadline, and then positively only if a quorum has it.
// What the fleet knows is read from the mesh and the learner, and is never changed here.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/micros.h"
#include "consensus/register/learner.h"
#include "mesh/mesh.h"

namespace pipit {

// Answers a call that reported the end of a worker.
struct DepartureAnswer {
  std::uint64_t id = 0;  // of the call
  bool acknowledged = false;    // whether the other nodes know of the end, so that it may be acknowledged
};

class WorkerDepartures {
 public:
  // 'self' is this node's name; 'has_quorum' says whether a quorum of the replicas is connected. The mesh and the
  // learner must outlive this object.
  WorkerDepartures(std::string self, Mesh const& mesh, Learner const& learner, std::function<bool(Micros)> has_quorum);

  // Registers a call that reported the end of 'worker'; it is answered at once if that is possible.
  void add_call(std::uint64_t id, std::string const& worker, Micros now, std::vector<DepartureAnswer>& answers);
  // Appends the answers of all calls that can be answered at 'now' (microseconds), and removes these calls.
  void answer_calls(Micros now, std::vector<DepartureAnswer>& answers);
  // Whether this node is connected to a quorum of the replicas, or to at least half of the nodes that may be running,
  // itself included: only then does what a worker says here spread through the fleet.
  bool is_connected(Micros now) const;

 private:
  struct PendingCall {
    std::string worker;
    Micros deadline = 0;
  };

  // Whether every connected peer that is alive has the worker's entry.
  bool reached_all_connected(std::string const& worker) const;
  // Whether enough nodes have the worker's entry for it to spread to every node that others reach.
  bool reached_quorum(std::string const& worker) const;
  // Where no membership is acknowledged yet: whether more than half of the nodes that may be running have the entry.
  bool reached_majority_of_nodes(std::string const& worker) const;
  // Invariant of a positive answer: another node has the entry, or there is no other node.
  void check_acknowledgement(std::string const& worker) const;

  std::string const self_;
  Mesh const& mesh_;
  Learner const& learner_;
  std::function<bool(Micros)> const has_quorum_;
  std::map<std::uint64_t, PendingCall> pending_calls_;  // by the call's id
};

}  // namespace pipit
