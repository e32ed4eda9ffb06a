// What one replica does for all: the first set, the replacement of replicas, the sweep (§5.4, §5.8).
#include <algorithm>

#include "base/events.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros repair_gap = seconds(3);
constexpr Micros replica_lost = seconds(3);
constexpr Micros repair_calm = seconds(1);     // without a change, before copies that differ are mended
constexpr Micros answer_slack = millis(300);   // beyond a poll, for an answer on its way
constexpr Micros spare_seen = seconds(2);      // how lately a replica must have answered to be given a place
constexpr Micros bootstrap_turn = seconds(1);  // how long each initial member waits for the one before it
constexpr std::size_t least_replicas = 3;      // a set of more than these may shrink
constexpr std::size_t most_replicas = 7;
constexpr std::size_t seeds_most = 3;  // that a node is given
constexpr Micros lost_seed_after = seconds(5);
constexpr Micros unsure_for = seconds(1);  // how long a majority may show no newest value before copies are mended
}  // namespace

// The first set that this node saw somewhere, or that it may write itself; nothing while it may not.
std::optional<Membership> Node::initial_set(Micros now) const {
  std::uint64_t const disk = acceptor->durable_state().disk;
  if (learner.bootstrap_set().holds(plan.name, disk)) return learner.bootstrap_set();
  std::vector<std::string> initial_members = plan.registered ? initial_replicas(now) : plan.initial_members;
  std::sort(initial_members.begin(), initial_members.end());
  std::vector<std::string>::const_iterator const own =
      std::find(initial_members.begin(), initial_members.end(), plan.name);
  if (own == initial_members.end()) return std::nullopt;
  // The first by name writes it; another only when that one has had its time, for it may have lost its disk.
  if (now - started_at_ < bootstrap_turn * (own - initial_members.begin())) return std::nullopt;
  Membership first;
  first.epoch = 1;
  for (std::string const& name : initial_members) {
    // §5.4: the first set is written only while every initial member answers and every one of them is blank.
    std::map<std::string, Learner::Observation>::const_iterator const observation = learner.observations.find(name);
    if (observation == learner.observations.end() || observation->second.formed ||
        now - observation->second.at > seconds(2))
      return std::nullopt;
    // After a restart a blank disk may also be a wiped one: only the marks of the first start tell them apart. A set
    // that was chosen has left a majority of the initial members without them (docs/control.md, "Point 3").
    if (resumes_bootstrap && !observation->second.awaits_bootstrap) return std::nullopt;
    wire::ReplicaT replica;
    replica.name = name;
    replica.disk = observation->second.disk;
    replica.address = name == plan.name ? plan.address : address_of(name);
    first.replicas.push_back(std::move(replica));
  }
  log_event(Event::register_bootstrapped, std::to_string(first.replicas.size()) + " keepers");
  return first;
}

void Node::bootstrap(Micros now, std::vector<OutgoingMessage>& outgoing) {
  if (!acceptor || acceptor->durable_state().formed) return;
  std::optional<Membership> const first = initial_set(now);
  if (!first) return;
  for (wire::ReplicaT const& to : first->replicas) {
    wire::BootstrapT update;
    for (wire::ReplicaT const& replica : first->replicas)
      update.replicas.push_back(std::make_unique<wire::ReplicaT>(replica));
    outgoing.push_back(message_to(to.name, std::move(update)));
  }
}

std::string Node::address_of(std::string const& name) const {
  std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
  return peer == mesh.members.peers.end() ? std::string() : peer->second.member.address;
}

// §12.3: at the very first start all nodes are given the same seeds, and these are up. Those of them that keep are the
// first set, once every seed is heard; where none keeps, the first three that do. The set grows by the duty.
//
// A seed that is lost before the first set was written may never come back. After a while it is left out, as long as
// two of three seeds keep and are heard: the quorums of any two such sets meet, so no more than one of them is chosen.
std::vector<std::string> Node::initial_replicas(Micros now) const {
  std::vector<std::string> out;
  if (plan.bootstrap_seeds.empty() || !acceptor) return out;
  bool all_heard = true;
  for (std::string const& address : plan.bootstrap_seeds) {
    if (address == plan.address) {
      out.push_back(plan.name);
      continue;
    }
    bool heard = false;
    for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
      if (item.second.connection == 0 || item.second.member.address != address) continue;
      heard = true;
      if (item.second.member.replica) out.push_back(item.first);
    }
    all_heard = all_heard && heard;
  }
  if (!all_heard) {
    bool const enough = plan.bootstrap_seeds.size() == seeds_most && out.size() > seeds_most / 2;
    return enough && now - started_at_ > lost_seed_after ? out : std::vector<std::string>();
  }
  if (out.empty()) {
    out = replicas();
    if (out.size() > 3) out.resize(3);
  }
  return out;
}

// §5.8, §12.3: an odd number of all that keep, so that no disk more makes the set no stronger; seven at most.
std::size_t Node::replicas_wanted() const {
  if (!plan.registered) return std::max<std::size_t>(1, plan.initial_members.size());
  std::size_t all = plan.replica && !replica_leaves(plan.name) ? 1 : 0;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
    State const state = item.second.state();
    bool const stays = (state == State::alive || state == State::suspected) && !replica_leaves(item.first);
    if (item.second.member.replica && stays) ++all;
  }
  std::size_t const most = std::min(most_replicas, all);
  return std::max<std::size_t>(1, most % 2 == 0 ? most - 1 : most);
}

// A replica that is here, and on which disk: what it last answered, if that was lately.
std::optional<std::uint64_t> Node::disk_here(std::string const& name, Micros within, Micros now) const {
  std::map<std::string, Learner::Observation>::const_iterator const observation = learner.observations.find(name);
  if (observation == learner.observations.end() || now - observation->second.at >= within) return std::nullopt;
  return observation->second.disk;
}

// A replica that said goodbye, or that it is about to, though its process may still answer.
bool Node::replica_leaves(std::string const& name) const {
  if (name == plan.name) return leaving_ || retiring_;
  std::map<std::string, Learner::Observation>::const_iterator const observation = learner.observations.find(name);
  if (observation != learner.observations.end() && observation->second.retiring) return true;
  std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
  return peer != mesh.members.peers.end() && peer->second.state() == State::leaving;
}

// One that is here and not in the set.
std::optional<wire::ReplicaT> Node::spare_replica(Micros now) const {
  std::optional<wire::ReplicaT> out;
  for (std::pair<std::string const, Learner::Observation> const& item : learner.observations) {
    bool const here = now - item.second.at < spare_seen;
    if (!here || replica_leaves(item.first) || learner.membership().holds(item.first, item.second.disk)) continue;
    out.emplace();
    out->name = item.first;
    out->disk = item.second.disk;
    out->address = address_of(item.first);
  }
  return out;
}

// One of the set that is lost: it said goodbye, came back on another disk, or is away for long. Who can't come back as
// what it was goes first.
std::optional<wire::ReplicaT> Node::lost_replica(Micros now) const {
  std::optional<wire::ReplicaT> away;
  for (wire::ReplicaT const& replica : learner.membership().replicas) {
    std::optional<std::uint64_t> const disk = disk_here(replica.name, replica_lost, now);
    if (disk && *disk != replica.disk) return replica;
    if (replica_leaves(replica.name)) return replica;
    if (!disk && !away && now - started_at_ > replica_lost) away = replica;
  }
  return away;
}

// Whether a set has its majority here and now: else the last vote would be given away with no way back.
bool Node::majority_here(std::vector<wire::ReplicaT> const& replicas, Micros now) const {
  std::size_t here = 0;
  for (wire::ReplicaT const& replica : replicas) {
    std::optional<std::uint64_t> const disk = disk_here(replica.name, spare_seen, now);
    if (disk && *disk == replica.disk) ++here;
  }
  return here >= replicas.size() / 2 + 1;
}

// So many members that a majority is left when as many disks are lost as are allowed: whoever is merely without power
// comes back with what was acknowledged, so that nothing smaller may ever hold it alone.
std::size_t Node::replicas_needed() const { return std::clamp(2 * plan.tolerated + 1, least_replicas, most_replicas); }

// Whether the set has more members than are wanted: then one that is lost need not be replaced.
bool Node::set_may_shrink() const {
  return learner.membership().replicas.size() > std::max(replicas_needed(), replicas_wanted());
}

// Whether every member answered the last poll. A set does not grow while one of them may be lost: with a dead member a
// set of four needs all the others, and the one that should take the dead one's place would only add to them.
bool Node::members_answer(Micros now) const {
  std::vector<wire::ReplicaT> const& replicas = learner.membership().replicas;
  return std::all_of(replicas.begin(), replicas.end(), [this, now](wire::ReplicaT const& replica) {
    std::optional<std::uint64_t> const disk = disk_here(replica.name, poll_span() + answer_slack, now);
    return disk && *disk == replica.disk;
  });
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
  } else if (members.replicas.size() < replicas_wanted() && members_answer(now)) {
    change.type = Change::Type::admit;
  } else {
    return std::nullopt;
  }
  if (spare) next.push_back(*spare);
  if (!majority_here(next, now)) return std::nullopt;
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
  if (!learner.replicas_differ || !calm || now - repaired_at_ <= repair_gap) return std::nullopt;
  repaired_at_ = now;
  log_event(Event::replicas_repaired, "epoch " + std::to_string(learner.membership().epoch));
  return change;
}

void Node::duties(Micros now, NodeEffects& out) {
  if (!acceptor) return;
  // A member that holds nothing yet gets no lease, but the others may wait for it to read the register.
  bool const formed = acceptor->durable_state().formed;
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
  bool const behind = now - std::max(started_at_, learner.confirmed_at) > unsure_for + poll_span();
  if (!behind || now - repaired_at_ <= repair_gap || leaving_ || proposing_replica() != plan.name) return std::nullopt;
  repaired_at_ = now;
  log_event(Event::replicas_repaired, "no majority shows one ballot");
  Change read;
  read.type = Change::Type::read;
  return read;
}

}  // namespace pipit
