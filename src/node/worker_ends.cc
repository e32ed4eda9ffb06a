// Words of workers that bind all nodes: when their end may be acknowledged, and whether a heartbeat may be
// (docs/control.md, "Ends of workers").
#include <algorithm>

#include "base/invariants.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros told_within = millis(600);  // a worker waits a second for its answer
}  // namespace

// Whether this node reaches a quorum of the replicas, or at least half of the nodes that may be there.
bool Node::hears_others(Micros now) const {
  if (quorum_heard(now)) return true;
  std::size_t all = 1;
  std::size_t reached = 1;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
    if (mesh.members.cannot_be_serving(item.first)) continue;
    ++all;
    if (item.second.connection != 0) ++reached;
  }
  return reached * 2 >= all;
}

// Whether every peer that is reached has the entry.
bool Node::told_all_reached(std::string const& worker) const {
  return std::all_of(mesh.members.peers.begin(), mesh.members.peers.end(),
                     [&](std::pair<std::string const, Peer> const& item) {
                       bool const reached = item.second.connection != 0 && item.second.state() == State::alive;
                       return !reached || mesh.entry_replication.is_replicated(item.first, worker);
                     });
}

// Whether so many have the entry that it reaches every node which others reach: a quorum of the replicas, who pass it
// on; where no set is known yet, more than half of all nodes.
bool Node::told_enough(std::string const& worker) const {
  Membership const& members = learner.membership();
  if (members.empty()) {
    std::size_t all = 1;
    std::size_t told = 1;
    for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
      if (mesh.members.cannot_be_serving(item.first)) continue;
      ++all;
      if (mesh.entry_replication.is_replicated(item.first, worker)) ++told;
    }
    return told * 2 > all;
  }
  Voters told;
  for (std::vector<wire::ReplicaT> const* const part : {&members.replicas, &members.former})
    for (wire::ReplicaT const& replica : *part)
      if (replica.name == plan.name || mesh.entry_replication.is_replicated(replica.name, worker))
        told[replica.name] = replica.disk;
  return members.quorum(told);
}

void Node::await_end(std::uint64_t id, std::string const& worker, Micros now, NodeEffects& out) {
  worker_ends_[id] = WorkerEnd{worker, now + told_within};
  settle_ends(now, out);
}

void Node::settle_ends(Micros now, NodeEffects& out) {
  for (std::map<std::uint64_t, WorkerEnd>::iterator it = worker_ends_.begin(); it != worker_ends_.end();) {
    WorkerEnd const& end = it->second;
    bool const enough = told_enough(end.worker);
    bool const known = enough && told_all_reached(end.worker);
    if (!known && now < end.due) {
      ++it;
      continue;
    }
    if (enough) check_end(end.worker);
    out.end_answers.push_back(EndAnswer{it->first, enough});
    it = worker_ends_.erase(it);
  }
}

// Somebody else has it, or there is nobody else.
void Node::check_end(std::string const& worker) const {
  bool alone = true;
  bool told = false;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
    alone = alone && mesh.members.cannot_be_serving(item.first);
    told = told || mesh.entry_replication.is_replicated(item.first, worker);
  }
  check_invariant(alone || told, Invariant::end_is_known, [&] {
    return worker + ", " + std::to_string(mesh.members.peers.size()) + " peers, " +
           std::to_string(mesh.open_connections()) + " connections";
  });
}

}  // namespace pipit
