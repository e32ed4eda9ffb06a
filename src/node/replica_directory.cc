#include "node/replica_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pipit {

namespace {
constexpr Micros reply_margin = millis(300);    // added to one poll interval for replies in flight
constexpr Micros contact_margin = millis(300);  // added to two poll intervals for replies in flight
}  // namespace

ReplicaDirectory::ReplicaDirectory(NodePlan const& plan, Mesh const& mesh, Learner const& learner,
                                   std::optional<Acceptor> const& acceptor, LocalStatus status)
    : plan_(plan), mesh_(mesh), learner_(learner), acceptor_(acceptor), status_(std::move(status)) {}

std::string ReplicaDirectory::address_of(std::string const& name) const {
  std::map<std::string, Peer>::const_iterator const peer = mesh_.members.peers.find(name);
  return peer == mesh_.members.peers.end() ? std::string() : peer->second.member.address;
}

std::vector<std::string> ReplicaDirectory::connected_replicas() const {
  std::set<std::string> out;
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers)
    if ((item.second.role() == MemberRole::config_store || item.second.member.replica) && item.second.connection != 0)
      out.insert(item.first);
  if (acceptor_) out.insert(plan_.name);
  return std::vector<std::string>(out.begin(), out.end());
}

std::optional<std::uint64_t> ReplicaDirectory::recent_disk(std::string const& name, Micros max_age, Micros now) const {
  std::map<std::string, Learner::Observation>::const_iterator const observation = learner_.observations.find(name);
  if (observation == learner_.observations.end() || now - observation->second.at >= max_age) return std::nullopt;
  return observation->second.disk;
}

bool ReplicaDirectory::is_leaving(std::string const& name) const {
  if (name == plan_.name) return status_.leaving() || status_.retiring();
  std::map<std::string, Learner::Observation>::const_iterator const observation = learner_.observations.find(name);
  if (observation != learner_.observations.end() && observation->second.retiring) return true;
  std::map<std::string, Peer>::const_iterator const peer = mesh_.members.peers.find(name);
  return peer != mesh_.members.peers.end() && peer->second.state() == MemberState::leaving;
}

bool ReplicaDirectory::is_reachable(wire::ReplicaT const& replica) const {
  if (replica.name == plan_.name)
    return acceptor_ && acceptor_->durable_state().disk == replica.disk && !status_.leaving();
  std::map<std::string, Learner::Observation>::const_iterator const observation =
      learner_.observations.find(replica.name);
  if (observation != learner_.observations.end() && observation->second.disk != replica.disk) return false;
  std::map<std::string, Peer>::const_iterator const peer = mesh_.members.peers.find(replica.name);
  return peer != mesh_.members.peers.end() && peer->second.connection != 0 &&
         peer->second.state() == MemberState::alive;
}

bool ReplicaDirectory::majority_answered(std::vector<wire::ReplicaT> const& replicas, Micros max_age,
                                         Micros now) const {
  std::size_t answered = 0;
  for (wire::ReplicaT const& replica : replicas) {
    std::optional<std::uint64_t> const disk = recent_disk(replica.name, max_age, now);
    if (disk && *disk == replica.disk) ++answered;
  }
  return answered >= replicas.size() / 2 + 1;
}

bool ReplicaDirectory::all_members_answered(Micros now) const {
  std::vector<wire::ReplicaT> const& replicas = learner_.membership().replicas;
  Micros const max_age = status_.poll_interval() + reply_margin;
  return std::all_of(replicas.begin(), replicas.end(), [this, max_age, now](wire::ReplicaT const& replica) {
    std::optional<std::uint64_t> const disk = recent_disk(replica.name, max_age, now);
    return disk && *disk == replica.disk;
  });
}

bool ReplicaDirectory::has_quorum_contact(Micros now) const {
  Micros const max_age = 2 * status_.poll_interval() + contact_margin;
  if (learner_.last_quorum_poll_at() < 0 || now - learner_.last_quorum_poll_at() > max_age) return false;
  Voters connected;
  for (wire::ReplicaT const& replica : learner_.membership().replicas) {
    std::map<std::string, Peer>::const_iterator const peer = mesh_.members.peers.find(replica.name);
    bool const connected_here =
        replica.name == plan_.name || (peer != mesh_.members.peers.end() && peer->second.connection != 0);
    if (connected_here) connected[replica.name] = replica.disk;
  }
  return learner_.membership().empty() || connected.size() >= learner_.membership().majority_size();
}

std::string ReplicaDirectory::proposing_replica() const {
  std::string best;
  for (wire::ReplicaT const& replica : learner_.newest_known_membership().replicas)
    if (is_reachable(replica) && (best.empty() || replica.name < best)) best = replica.name;
  return best;
}

}  // namespace pipit
