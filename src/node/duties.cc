// What one replica does for all: the replacement of replicas, the sweep (§5.8).
#include <algorithm>

#include "base/events.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros repair_gap = seconds(3);
constexpr Micros replica_lost = seconds(3);
constexpr Micros repair_calm = seconds(1);  // without a change, before copies that differ are mended
constexpr Micros spare_seen = seconds(2);   // how lately a replica must have answered to be given a place
constexpr std::size_t least_replicas = 3;   // a set of more than these may shrink
constexpr std::size_t most_replicas = 7;
constexpr Micros unsure_for = seconds(1);  // how long a majority may show no newest value before copies are mended
}  // namespace

// §5.8, §12.3: an odd number of all that keep, so that no disk more makes the set no stronger; seven at most.
std::size_t Node::replicas_wanted() const {
  if (!plan.registered) return std::max<std::size_t>(1, plan.initial_members.size());
  std::size_t all = plan.replica && !replica_directory_.is_leaving(plan.name) ? 1 : 0;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
    State const state = item.second.state();
    bool const stays =
        (state == State::alive || state == State::suspected) && !replica_directory_.is_leaving(item.first);
    if (item.second.member.replica && stays) ++all;
  }
  std::size_t const most = std::min(most_replicas, all);
  return std::max<std::size_t>(1, most % 2 == 0 ? most - 1 : most);
}

// One that is here and not in the set.
std::optional<wire::ReplicaT> Node::spare_replica(Micros now) const {
  std::optional<wire::ReplicaT> out;
  for (std::pair<std::string const, Learner::Observation> const& item : learner.observations) {
    bool const here = now - item.second.at < spare_seen;
    if (!here || replica_directory_.is_leaving(item.first) || learner.membership().holds(item.first, item.second.disk))
      continue;
    out.emplace();
    out->name = item.first;
    out->disk = item.second.disk;
    out->address = replica_directory_.address_of(item.first);
  }
  return out;
}

// One of the set that is lost: it said goodbye, came back on another disk, or is away for long. Who can't come back as
// what it was goes first.
std::optional<wire::ReplicaT> Node::lost_replica(Micros now) const {
  std::optional<wire::ReplicaT> away;
  for (wire::ReplicaT const& replica : learner.membership().replicas) {
    std::optional<std::uint64_t> const disk = replica_directory_.recent_disk(replica.name, replica_lost, now);
    if (disk && *disk != replica.disk) return replica;
    if (replica_directory_.is_leaving(replica.name)) return replica;
    if (!disk && !away && now - started_at_ > replica_lost) away = replica;
  }
  return away;
}

// So many members that a majority is left when as many disks are lost as are allowed: whoever is merely without power
// comes back with what was acknowledged, so that nothing smaller may ever hold it alone.
std::size_t Node::replicas_needed() const { return std::clamp(2 * plan.tolerated + 1, least_replicas, most_replicas); }

// Whether the set has more members than are wanted: then one that is lost need not be replaced.
bool Node::set_may_shrink() const {
  return learner.membership().replicas.size() > std::max(replicas_needed(), replicas_wanted());
}

// §5.8: a replica that is lost gives its place to one that is here, in one change; the set grows to the wanted size.
std::optional<Change> Node::member_change(Micros now) const {
  Membership const& members = learner.membership();
  std::optional<wire::ReplicaT> const spare = spare_replica(now);
  std::optional<wire::ReplicaT> const lost = lost_replica(now);
  // A set that grew for successors shrinks again when those that they succeed are gone.
  bool const shrinks = lost && !spare && set_may_shrink();
  if (!spare && !shrinks) return std::nullopt;
  Change change;
  change.expected = members.epoch;
  if (spare) change.replica = *spare;
  std::vector<wire::ReplicaT> next = members.replicas;
  if (lost) {
    change.type = shrinks ? Change::Type::dismiss : Change::Type::replace;
    (shrinks ? change.replica : change.leaving) = *lost;
    next.erase(std::remove_if(next.begin(), next.end(),
                              [&lost](wire::ReplicaT const& replica) {
                                return replica.name == lost->name && replica.disk == lost->disk;
                              }),
               next.end());
    // A set does not grow while one of its members may be lost: with a dead member a set of four needs all the others,
    // and the one that should take the dead one's place would only add to them.
  } else if (members.replicas.size() < replicas_wanted() && replica_directory_.all_members_answered(now)) {
    change.type = Change::Type::admit;
  } else {
    return std::nullopt;
  }
  if (spare) next.push_back(*spare);
  // Else the last vote would be given away with no way back.
  if (!replica_directory_.majority_answered(next, spare_seen, now)) return std::nullopt;
  return change;
}

namespace {
std::string words_of(Change const& members) {
  if (members.type == Change::Type::admit) return "admit " + members.replica.name;
  if (members.type == Change::Type::dismiss) return "dismiss " + members.replica.name;
  return "replace " + members.leaving.name + " by " + members.replica.name;
}
}  // namespace

// What this replica, which holds the duty, has to do next; nothing when all is well.
std::optional<Change> Node::duty_due(Micros now) {
  Change change;
  change.type = Change::Type::read;
  // A joint set that was left behind is completed by any change (docs/control.md).
  if (learner.membership().joint()) return change;
  if (std::optional<Change> members = member_change(now)) {
    log_event(Event::replica_set_changed, words_of(*members) + " epoch " + std::to_string(members->expected));
    return members;
  }
  if (eviction_due(now, change)) {
    log_event(Event::router_evicted, change.registration.name);
    return change;
  }
  // Not oftener: each round outbids what others have under way, and a slow disk never catches up with a storm. Nor
  // while changes go by: each of them rewrites the copies, and a second proposer only delays them.
  bool const calm = learner.changed_at < 0 || now - learner.changed_at > repair_calm;
  if (!learner.split || !calm || now - repaired_at_ <= repair_gap) return std::nullopt;
  repaired_at_ = now;
  log_event(Event::replicas_repaired, "epoch " + std::to_string(learner.membership().epoch));
  return change;
}

void Node::duties(Micros now, NodeEffects& out) {
  if (!acceptor) return;
  // A member that holds nothing yet gets no lease, but the others may wait for it to read the register.
  bool const formed = acceptor->held().formed;
  std::vector<OutgoingMessage> outgoing;
  if (!leaving_ && formed) repair_lease_.tick(now, learner.membership(), outgoing);
  dispatch(outgoing, now, out);
  bool const holds = repair_lease_.holds(now);
  if (holds != had_duty_) log_event(holds ? Event::lease_acquired : Event::lease_released, "mend");
  had_duty_ = holds;
  if (duty_busy_) return;
  std::optional<Change> change;
  if (holds) change = duty_due(now);
  if (!change) change = catch_up_read(now);
  if (!change) return;
  duty_busy_ = true;
  operate(0, std::move(*change), now, out);
}

// Copies that differ after a loss leave no ballot that a majority shows; then nobody gets ready by polls alone. The
// replica that proposes for all reads the register, which repairs them, and needs no lease for it.
std::optional<Change> Node::catch_up_read(Micros now) {
  bool const behind = now - std::max(started_at_, learner.sure) > unsure_for + poll_span();
  if (!behind || now - repaired_at_ <= repair_gap || leaving_ || replica_directory_.proposing_replica() != plan.name)
    return std::nullopt;
  repaired_at_ = now;
  log_event(Event::replicas_repaired, "no majority shows one ballot");
  Change read;
  read.type = Change::Type::read;
  return read;
}

}  // namespace pipit
