#include "node/replica_set_manager.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "base/events.h"

namespace pipit {

namespace {
constexpr char const* repair_duty = "mend";  // the role's name in lease requests
constexpr Micros repair_gap = seconds(3);
constexpr Micros replica_lost = seconds(3);
constexpr Micros repair_calm = seconds(1);   // without a change, before copies that differ are repaired
constexpr Micros spare_seen = seconds(2);    // how lately a replica must have answered to be given a place
constexpr Micros evict_after = seconds(20);  // since a router node left, or since its address refuses
constexpr Micros unsure_for = seconds(1);    // how long a majority may show no newest value before copies are repaired
constexpr std::size_t least_replicas = 3;    // a set of more than these may shrink
constexpr std::size_t most_replicas = 7;

Change reading() {
  Change out;
  out.type = Change::Type::read;
  return out;
}

std::string describe(Change const& members) {
  if (members.type == Change::Type::admit) return "admit " + members.replica.name;
  if (members.type == Change::Type::dismiss) return "dismiss " + members.replica.name;
  return "replace " + members.replaced_replica.name + " by " + members.replica.name;
}

void remove_replica(std::vector<wire::ReplicaT>& replicas, wire::ReplicaT const& lost) {
  replicas.erase(std::remove_if(replicas.begin(), replicas.end(),
                                [&lost](wire::ReplicaT const& replica) {
                                  return replica.name == lost.name && replica.disk == lost.disk;
                                }),
                 replicas.end());
}
}  // namespace

ReplicaSetManager::ReplicaSetManager(NodePlan const& plan, Mesh const& mesh, Learner const& learner,
                                     std::optional<Acceptor> const& acceptor, ReplicaDirectory const& directory,
                                     ReplicaDirectory::Status status, Micros started_at, std::uint64_t seed)
    : plan_(plan),
      mesh_(mesh),
      learner_(learner),
      acceptor_(acceptor),
      directory_(directory),
      status_(std::move(status)),
      started_at_(started_at),
      lease_(repair_duty, seed) {}

void ReplicaSetManager::renew_lease(Micros now, std::vector<OutgoingMessage>& outgoing) {
  // A member that holds nothing yet gets no lease, but the others may wait for it to read the register.
  if (status_.leaving() || !acceptor_ || !acceptor_->durable_state().formed) return;
  lease_.tick(now, learner_.membership(), outgoing);
}

void ReplicaSetManager::take_lease_reply(std::string const& from, wire::LeaseReplyT const& reply, Micros now) {
  lease_.handle_reply(from, reply, now, learner_.membership());
}

void ReplicaSetManager::release_lease(std::vector<OutgoingMessage>& outgoing) {
  lease_.release(learner_.membership(), outgoing);
}

std::optional<Change> ReplicaSetManager::next_change(Micros now) {
  bool const has_lease = lease_.holds(now);
  if (has_lease != had_lease_) log_event(has_lease ? Event::lease_acquired : Event::lease_released, repair_duty);
  had_lease_ = has_lease;
  if (change_under_way_) return std::nullopt;
  std::optional<Change> change;
  if (has_lease) change = change_by_lease(now);
  if (!change) change = read_without_lease(now);
  change_under_way_ = change.has_value();
  return change;
}

bool ReplicaSetManager::lacks_successor(Micros now) const { return !spare_replica(now) && !set_may_shrink(); }

std::optional<Change> ReplicaSetManager::change_by_lease(Micros now) {
  // A joint set that was left behind is completed by any change (docs/control.md).
  if (learner_.membership().is_joint()) return reading();
  if (std::optional<Change> members = change_members(now)) {
    log_event(Event::replica_set_changed, describe(*members) + " epoch " + std::to_string(members->expected));
    return members;
  }
  if (std::optional<Change> eviction = evict_router(now)) {
    log_event(Event::router_evicted, eviction->registration.name);
    return eviction;
  }
  return repair_copies(now);
}

// Not oftener than once in a gap: each round outbids what others have under way, and a slow disk never catches up with
// a storm. Nor while changes go by: each of them rewrites the copies, and a second proposer only delays them.
std::optional<Change> ReplicaSetManager::repair_copies(Micros now) {
  bool const calm = learner_.value_changed_at < 0 || now - learner_.value_changed_at > repair_calm;
  if (!learner_.replicas_differ || !calm || now - repaired_at_ <= repair_gap) return std::nullopt;
  repaired_at_ = now;
  log_event(Event::replicas_repaired, "epoch " + std::to_string(learner_.membership().epoch));
  return reading();
}

// Copies that differ after a loss leave no ballot that a majority shows; then nobody gets ready by polls alone. The
// replica that proposes for all reads the register, which repairs them.
std::optional<Change> ReplicaSetManager::read_without_lease(Micros now) {
  Micros const unsure = now - std::max(started_at_, learner_.confirmed_at);
  if (unsure <= unsure_for + status_.poll_interval() || now - repaired_at_ <= repair_gap) return std::nullopt;
  if (status_.leaving() || directory_.proposing_replica() != plan_.name) return std::nullopt;
  repaired_at_ = now;
  log_event(Event::replicas_repaired, "no majority shows one ballot");
  return reading();
}

// §5.8: a replica that is lost gives its place to one that is here, in one change; the set grows to the wanted size.
std::optional<Change> ReplicaSetManager::change_members(Micros now) const {
  Membership const& members = learner_.membership();
  std::optional<wire::ReplicaT> const spare = spare_replica(now);
  std::optional<wire::ReplicaT> const lost = lost_replica(now);
  // A set that grew for successors shrinks again when those that they succeed have ended.
  bool const shrinks = lost && !spare && set_may_shrink();
  if (!spare && !shrinks) return std::nullopt;
  // A set does not grow while one of its members may be lost: with a dead member a set of four needs all the others,
  // and the one that should take the dead one's place would only add to them.
  bool const grows = !lost && members.replicas.size() < replicas_wanted() && directory_.all_members_answered(now);
  if (!lost && !grows) return std::nullopt;
  Change change;
  change.expected = members.epoch;
  change.type = grows ? Change::Type::admit : shrinks ? Change::Type::dismiss : Change::Type::replace;
  std::vector<wire::ReplicaT> next = members.replicas;
  if (spare) change.replica = *spare;
  if (lost) {
    (shrinks ? change.replica : change.replaced_replica) = *lost;
    remove_replica(next, *lost);
  }
  if (spare) next.push_back(*spare);
  // Else the last vote would be given away with no way back.
  if (!directory_.majority_answered(next, spare_seen, now)) return std::nullopt;
  return change;
}

std::optional<Change> ReplicaSetManager::evict_router(Micros now) const {
  if (!learner_.value) return std::nullopt;
  for (std::unique_ptr<wire::RouterRegistrationT> const& registration : learner_.value->registrations) {
    if (!has_ended(*registration, now)) continue;
    Change change;
    change.type = Change::Type::evict_router;
    change.registration = *registration;
    return change;
  }
  return std::nullopt;
}

bool ReplicaSetManager::has_ended(wire::RouterRegistrationT const& registration, Micros now) const {
  std::map<std::string, Peer>::const_iterator const position = mesh_.members.peers.find(registration.name);
  if (position == mesh_.members.peers.end()) return false;
  Peer const& peer = position->second;
  // A later incarnation is there, and is about to register.
  if (peer.connection != 0 || peer.member.incarnation > registration.incarnation) return false;
  bool const left =
      peer.state() == State::leaving && now - std::max(peer.state_since, peer.disconnected_since) > evict_after;
  bool const refuses = peer.dial_refused && now - peer.dial_refused_at > evict_after;
  return left || refuses;
}

std::optional<wire::ReplicaT> ReplicaSetManager::spare_replica(Micros now) const {
  std::optional<wire::ReplicaT> out;
  for (std::pair<std::string const, Learner::Observation> const& item : learner_.observations) {
    bool const here = now - item.second.at < spare_seen;
    if (!here || directory_.is_leaving(item.first)) continue;
    if (learner_.membership().contains(item.first, item.second.disk)) continue;
    out.emplace();
    out->name = item.first;
    out->disk = item.second.disk;
    out->address = directory_.address_of(item.first);
  }
  return out;
}

// A member is lost when it said goodbye, came back on another disk, or is away for long. Who can't come back as what it
// was goes first.
std::optional<wire::ReplicaT> ReplicaSetManager::lost_replica(Micros now) const {
  std::optional<wire::ReplicaT> away;
  for (wire::ReplicaT const& replica : learner_.membership().replicas) {
    std::optional<std::uint64_t> const disk = directory_.recent_disk(replica.name, replica_lost, now);
    if (disk && *disk != replica.disk) return replica;
    if (directory_.is_leaving(replica.name)) return replica;
    if (!disk && !away && now - started_at_ > replica_lost) away = replica;
  }
  return away;
}

// §5.8, §12.3: an odd number of all replicas, so that no disk more makes the set no stronger; seven at most.
std::size_t ReplicaSetManager::replicas_wanted() const {
  if (!plan_.registered) return std::max<std::size_t>(1, plan_.initial_members.size());
  std::size_t all = plan_.replica && !directory_.is_leaving(plan_.name) ? 1 : 0;
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
    State const state = item.second.state();
    bool const stays = (state == State::alive || state == State::suspected) && !directory_.is_leaving(item.first);
    if (item.second.member.replica && stays) ++all;
  }
  std::size_t const most = std::min(most_replicas, all);
  return std::max<std::size_t>(1, most % 2 == 0 ? most - 1 : most);
}

// So many members that a majority is left when as many disks are lost as are tolerated: whoever is merely without power
// comes back with what was acknowledged, so that nothing smaller may ever hold it alone.
std::size_t ReplicaSetManager::replicas_needed() const {
  return std::clamp(2 * plan_.tolerated + 1, least_replicas, most_replicas);
}

// Whether the set has more members than are wanted: then one that is lost need not be replaced.
bool ReplicaSetManager::set_may_shrink() const {
  return learner_.membership().replicas.size() > std::max(replicas_needed(), replicas_wanted());
}

}  // namespace pipit
