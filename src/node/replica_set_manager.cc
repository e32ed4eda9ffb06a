#include "node/replica_set_manager.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "base/events.h"

namespace pipit {

namespace {
constexpr char const* lease_name = "mend";  // the role in lease requests
constexpr Micros min_repair_interval = seconds(3);
constexpr Micros lost_replica_timeout = seconds(3);
constexpr Micros quiet_period_before_repair = seconds(1);  // without a change, before copies that differ are repaired
constexpr Micros max_spare_answer_age = seconds(2);        // an older answer does not qualify a replica to join the set
constexpr Micros eviction_delay = seconds(20);      // since a router node left, or since its address refuses dials
constexpr Micros unconfirmed_timeout = seconds(1);  // without a newest value held by a majority, before a read
constexpr std::size_t min_replicas = 3;             // only larger sets may shrink
constexpr std::size_t max_replicas = 7;

Change make_read_change() {
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
                                     ReplicaDirectory::LocalStatus status, Micros started_at, std::uint64_t seed)
    : plan_(plan),
      mesh_(mesh),
      learner_(learner),
      acceptor_(acceptor),
      directory_(directory),
      status_(std::move(status)),
      started_at_(started_at),
      lease_(lease_name, seed) {}

void ReplicaSetManager::renew_lease(Micros now, std::vector<OutgoingMessage>& outgoing) {
  // A member that holds no copy yet requests no lease, although the others may be waiting for it to read the register.
  if (status_.leaving() || !acceptor_ || !acceptor_->durable_state().formed) return;
  lease_.tick(now, learner_.membership(), outgoing);
}

void ReplicaSetManager::handle_lease_reply(std::string const& from, wire::LeaseReplyT const& reply, Micros now) {
  lease_.handle_reply(from, reply, now, learner_.membership());
}

void ReplicaSetManager::release_lease(std::vector<OutgoingMessage>& outgoing) {
  lease_.release(learner_.membership(), outgoing);
}

std::optional<Change> ReplicaSetManager::next_change(Micros now) {
  bool const has_lease = lease_.holds(now);
  if (has_lease != had_lease_) log_event(has_lease ? Event::lease_acquired : Event::lease_released, lease_name);
  had_lease_ = has_lease;
  if (change_in_flight_) return std::nullopt;
  std::optional<Change> change;
  if (has_lease) change = next_change_with_lease(now);
  if (!change) change = next_read_without_lease(now);
  change_in_flight_ = change.has_value();
  return change;
}

bool ReplicaSetManager::lacks_replacement(Micros now) const { return !spare_replica(now) && !set_may_shrink(); }

std::optional<Change> ReplicaSetManager::next_change_with_lease(Micros now) {
  // Any change completes a joint set that its proposer left unfinished (docs/control.md).
  if (learner_.membership().is_joint()) return make_read_change();
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

// At most once in 'min_repair_interval': each repair outbids the ballots of proposals in flight, and a slow disk never
// catches up with frequent repairs. Not while changes are being made either: each of them rewrites the copies, and a
// second proposer only delays them.
std::optional<Change> ReplicaSetManager::repair_copies(Micros now) {
  bool const calm = learner_.value_changed_at < 0 || now - learner_.value_changed_at > quiet_period_before_repair;
  if (!learner_.replicas_differ || !calm || now - repaired_at_ <= min_repair_interval) return std::nullopt;
  repaired_at_ = now;
  log_event(Event::replicas_repaired, "epoch " + std::to_string(learner_.membership().epoch));
  return make_read_change();
}

// Copies that differ after a loss can leave no ballot that a majority holds, and then polls alone make no node ready.
// The replica that proposes for all nodes reads the register, which repairs the copies.
std::optional<Change> ReplicaSetManager::next_read_without_lease(Micros now) {
  Micros const unconfirmed_for = now - std::max(started_at_, learner_.confirmed_at);
  if (unconfirmed_for <= unconfirmed_timeout + status_.poll_interval() || now - repaired_at_ <= min_repair_interval)
    return std::nullopt;
  if (status_.leaving() || directory_.proposing_replica() != plan_.name) return std::nullopt;
  repaired_at_ = now;
  log_event(Event::replicas_repaired, "no ballot is held by a majority of the replicas");
  return make_read_change();
}

// §5.8: a lost replica is replaced by a spare one in a single change; the set grows up to its target size.
std::optional<Change> ReplicaSetManager::change_members(Micros now) const {
  Membership const& members = learner_.membership();
  std::optional<wire::ReplicaT> const spare = spare_replica(now);
  std::optional<wire::ReplicaT> const lost = lost_replica(now);
  // A set that grew for replacements shrinks again when the replaced members have ended.
  bool const shrinks = lost && !spare && set_may_shrink();
  if (!spare && !shrinks) return std::nullopt;
  // A set does not grow while one of its members may be lost: a set of four with one dead member needs all of the other
  // three, and the new member would enlarge the set instead of replacing the dead one.
  bool const grows = !lost && members.replicas.size() < target_replica_count() && directory_.all_members_answered(now);
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
  // Otherwise the change could leave a set without a reachable majority, which no later change could repair.
  if (!directory_.majority_answered(next, max_spare_answer_age, now)) return std::nullopt;
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
  // A later incarnation is running and is about to register.
  if (peer.connection != 0 || peer.member.incarnation > registration.incarnation) return false;
  bool const left = peer.state() == MemberState::leaving &&
                    now - std::max(peer.state_since, peer.disconnected_since) > eviction_delay;
  bool const refuses = peer.dial_refused && now - peer.dial_refused_at > eviction_delay;
  return left || refuses;
}

std::optional<wire::ReplicaT> ReplicaSetManager::spare_replica(Micros now) const {
  std::optional<wire::ReplicaT> out;
  for (std::pair<std::string const, Learner::Observation> const& item : learner_.observations) {
    bool const answered = now - item.second.at < max_spare_answer_age;
    if (!answered || directory_.is_leaving(item.first)) continue;
    if (learner_.membership().contains(item.first, item.second.disk)) continue;
    out.emplace();
    out->name = item.first;
    out->disk = item.second.disk;
    out->address = directory_.address_of(item.first);
  }
  return out;
}

// A member is lost when it announced its departure, answers from another disk, or has not answered for
// 'lost_replica_timeout'. A member that cannot return with its old disk is chosen before one that is merely silent.
std::optional<wire::ReplicaT> ReplicaSetManager::lost_replica(Micros now) const {
  std::optional<wire::ReplicaT> silent;
  for (wire::ReplicaT const& replica : learner_.membership().replicas) {
    std::optional<std::uint64_t> const disk = directory_.recent_disk(replica.name, lost_replica_timeout, now);
    if (disk && *disk != replica.disk) return replica;
    if (directory_.is_leaving(replica.name)) return replica;
    if (!disk && !silent && now - started_at_ > lost_replica_timeout) silent = replica;
  }
  return silent;
}

// §5.8, §12.3: the largest odd number of the available replicas, at most seven; a set of the next even size tolerates
// no more losses.
std::size_t ReplicaSetManager::target_replica_count() const {
  if (!plan_.workers_self_register) return std::max<std::size_t>(1, plan_.initial_members.size());
  std::size_t all = plan_.is_replica && !directory_.is_leaving(plan_.name) ? 1 : 0;
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
    MemberState const state = item.second.state();
    bool const stays =
        (state == MemberState::alive || state == MemberState::suspected) && !directory_.is_leaving(item.first);
    if (item.second.member.replica && stays) ++all;
  }
  std::size_t const limit = std::min(max_replicas, all);
  return std::max<std::size_t>(1, limit % 2 == 0 ? limit - 1 : limit);
}

// A majority must remain after the loss of as many disks as are tolerated. Members that merely lost power return with
// all that they acknowledged, so acknowledged changes must never be held by a smaller set alone.
std::size_t ReplicaSetManager::required_replica_count() const {
  return std::clamp(2 * plan_.tolerated_losses + 1, min_replicas, max_replicas);
}

bool ReplicaSetManager::set_may_shrink() const {
  return learner_.membership().replicas.size() > std::max(required_replica_count(), target_replica_count());
}

}  // namespace pipit
