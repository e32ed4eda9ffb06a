#include "node/worker_departures.h"

#include <algorithm>
#include <utility>

#include "base/invariants.h"

namespace pipit {

namespace {
constexpr Micros acknowledgement_timeout = millis(600);  // workers time out after one second
}  // namespace

WorkerDepartures::WorkerDepartures(std::string self, Mesh const& mesh, Learner const& learner,
                                   std::function<bool(Micros)> has_quorum)
    : self_(std::move(self)), mesh_(mesh), learner_(learner), has_quorum_(std::move(has_quorum)) {}

void WorkerDepartures::add_call(std::uint64_t id, std::string const& worker, Micros now,
                                std::vector<DepartureAnswer>& answers) {
  pending_calls_[id] = PendingCall{worker, now + acknowledgement_timeout};
  answer_calls(now, answers);
}

void WorkerDepartures::answer_calls(Micros now, std::vector<DepartureAnswer>& answers) {
  for (std::map<std::uint64_t, PendingCall>::iterator it = pending_calls_.begin(); it != pending_calls_.end();) {
    PendingCall const& call = it->second;
    bool const quorum = reached_quorum(call.worker);
    bool const complete = quorum && reached_all_connected(call.worker);
    if (!complete && now < call.deadline) {
      ++it;
      continue;
    }
    if (quorum) check_acknowledgement(call.worker);
    answers.push_back(DepartureAnswer{it->first, quorum});
    it = pending_calls_.erase(it);
  }
}

bool WorkerDepartures::is_pending(std::string const& worker) const {
  return std::any_of(
      pending_calls_.begin(), pending_calls_.end(),
      [&](std::pair<std::uint64_t const, PendingCall> const& item) { return item.second.worker == worker; });
}

bool WorkerDepartures::is_connected(Micros now) {
  if (has_quorum_(now)) {
    record_known_nodes();
    return true;
  }
  return known_nodes_ && reaches_half_of_known_nodes();
}

void WorkerDepartures::record_known_nodes() {
  MemberTable const& members = mesh_.members;
  bool const unchanged = known_nodes_ && known_nodes_version_ == members.version;
  if (unchanged && known_nodes_->size() == members.peers.size()) return;
  known_nodes_version_ = members.version;
  known_nodes_.emplace();
  for (std::pair<std::string const, Peer> const& item : members.peers)
    known_nodes_->insert(known_nodes_->end(), item.first);
}

bool WorkerDepartures::reaches_half_of_known_nodes() const {
  std::set<std::string> nodes = *known_nodes_;
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) nodes.insert(item.first);
  std::size_t all = 1;
  std::size_t connected = 1;
  for (std::string const& name : nodes) {
    if (mesh_.members.cannot_be_serving(name)) continue;
    ++all;
    std::map<std::string, Peer>::const_iterator const peer = mesh_.members.peers.find(name);
    if (peer != mesh_.members.peers.end() && peer->second.connection != 0) ++connected;
  }
  return connected * 2 >= all;
}

bool WorkerDepartures::reached_all_connected(std::string const& worker) const {
  return std::all_of(mesh_.members.peers.begin(), mesh_.members.peers.end(),
                     [&](std::pair<std::string const, Peer> const& item) {
                       bool const connected = item.second.connection != 0 && item.second.state() == MemberState::alive;
                       return !connected || mesh_.entry_replication.is_replicated(item.first, worker);
                     });
}

// Each replica forwards the entry, so an entry held by a quorum of the replicas spreads to every node that is
// reachable.
bool WorkerDepartures::reached_quorum(std::string const& worker) const {
  Membership const& members = learner_.newest_known_membership();
  if (members.empty()) return false;
  Voters voters;
  for (std::vector<wire::ReplicaT> const* const part : {&members.replicas, &members.former})
    for (wire::ReplicaT const& replica : *part)
      if (replica.name == self_ || mesh_.entry_replication.is_replicated(replica.name, worker))
        voters[replica.name] = replica.disk;
  return members.is_quorum(voters);
}

void WorkerDepartures::check_acknowledgement(std::string const& worker) const {
  Membership const& members = learner_.newest_known_membership();
  bool alone = !members.empty();
  bool replicated = false;
  for (std::vector<wire::ReplicaT> const* const part : {&members.replicas, &members.former})
    for (wire::ReplicaT const& replica : *part) {
      alone = alone && replica.name == self_;
      replicated = replicated || mesh_.entry_replication.is_replicated(replica.name, worker);
    }
  check_invariant(alone || replicated, Invariant::end_is_known, [&] {
    return worker + ", " + std::to_string(members.replicas.size()) + " replicas known, " +
           std::to_string(mesh_.open_connections()) + " connections";
  });
}

}  // namespace pipit
