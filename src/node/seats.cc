// Registrations of router nodes in the register (§5.9), and how old a node's knowledge of the list is (§4.3).
#include "base/events.h"
#include "base/guards.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros registration_interval = millis(150);
constexpr Micros newcomer_span = seconds(2);
constexpr Micros behind_gap = millis(300);
constexpr Micros alone_after = millis(1700);
constexpr Micros catch_up = millis(1500);
constexpr Micros evict_after = seconds(20);
}  // namespace

bool Node::is_registered() const {
  if (!guard(Guard::registrations) || plan.registered) return true;
  if (!learner.value) return false;
  wire::RouterRegistrationT const* const registration = registration_of(*learner.value, plan.name);
  return registration != nullptr && registration->incarnation == mesh.members.self.incarnation;
}

void Node::request_registration(Micros now, NodeEffects& out) {
  if (registration_pending_ || leaving_ || now < next_registration_) return;
  registration_pending_ = true;
  next_registration_ = now + registration_interval;
  Change change;
  change.type = Change::Type::register_router;
  change.registration.name = plan.name;
  change.registration.address = plan.address;
  change.registration.incarnation = mesh.members.self.incarnation;
  operate(0, std::move(change), now, out);
}

// What the register says of registrations, this node's own among them.
void Node::update_registration(Micros now, NodeEffects& out) {
  if (!learner.value) return;
  for (std::unique_ptr<wire::RouterRegistrationT> const& registration : learner.value->registrations)
    mesh.members.register_router(*registration, now);
  mesh.members.evict(learner.value->evicted);
  if (plan.role != Role::router) return;
  wire::RouterRegistrationT const* const own = registration_of(*learner.value, plan.name);
  if (own != nullptr && own->incarnation > mesh.members.self.incarnation) {
    // A former incarnation had a later clock.
    mesh.members.self.incarnation = own->incarnation + 1;
    mesh.announce_self(out.mesh);
  }
  if (own != nullptr && own->incarnation != mesh.members.self.incarnation) registered_before_ = true;
  if (is_registered()) {
    if (registered_at_ < 0) log_event(Event::router_registered, std::to_string(mesh.members.self.incarnation));
    if (registered_at_ < 0) registered_at_ = now;
    if (!was_registered_) {
      was_registered_ = true;
      update_hold();
    }
  } else if (was_registered_) {
    // It was evicted, though it incarnations: it places nothing until it has a registration again, and then begins as a
    // newcomer.
    was_registered_ = false;
    registered_before_ = false;
    registered_at_ = -1;
    update_hold();
  }
}

// §5.5: a peer announces a newer revision than is held here, and no push or poll has brought it: the peer itself is
// asked, so that a chosen value gets round though its proposer and the replicas are gone.
void Node::ask_newer(Micros now, std::vector<OutgoingMessage>& outgoing) {
  std::string from;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (item.second.connection != 0 && item.second.member.revision > learner.revision()) from = item.first;
  if (from.empty() || !guard(Guard::spread)) {
    behind_since_ = -1;
  } else if (behind_since_ < 0) {
    behind_since_ = now;
  } else if (now - behind_since_ > behind_gap) {
    behind_since_ = now;
    wire::CatchUpRequestT ask;
    ask.revision = learner.revision();
    outgoing.push_back(message_to(from, std::move(ask)));
  }
}

// §5.9: for a while others still divide the bounds of cold workers among fewer.
// Its start changes everybody's share of a cold worker's bound; where workers register there are no such shares.
bool Node::newcomer(Micros now) const {
  if (plan.registered) return false;
  return plan.role == Role::router && !registered_before_ && registered_at_ >= 0 &&
         now - registered_at_ < newcomer_span;
}

void Node::update_hold() {
  if (plan.role != Role::router) return;
  dispatcher.hold(stale_from_ >= 0);
  bool const lost = guard(Guard::registrations) && ready_now_ && registered_at_ < 0 && learner.value && self_evicted();
  chat_dispatcher.hold(stale_from_ >= 0 || lost);
}

bool Node::self_evicted() const {
  for (std::unique_ptr<wire::RouterRegistrationT> const& item : learner.value->evicted)
    if (item->name == plan.name && item->incarnation >= mesh.members.self.incarnation) return true;
  return false;
}

// Whether an 'empty' still waits for this node's word.
bool Node::owes(Waiting const& item, std::string const& name) const {
  if (item.sure.count(name)) return false;
  wire::RouterRegistrationT const* const registration = learner.value ? registration_of(*learner.value, name) : nullptr;
  std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
  bool const known = peer != mesh.members.peers.end();
  // That it left, or refuses a dial, says nothing of a later incarnation.
  if (registration != nullptr && (!known || peer->second.member.incarnation < registration->incarnation)) return true;
  return !mesh.members.cannot_be_serving(name);
}

std::optional<Error> Node::keeps(std::string const& name) const {
  bool const known = learner.value && registration_of(*learner.value, name) != nullptr;
  std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
  bool const here = name == plan.name || (peer != mesh.members.peers.end() && peer->second.connection != 0);
  if (here) return Error{ErrorCode::node_alive, "the node '" + name + "' is alive", ""};
  if (!known) return Error{ErrorCode::unknown_node, "no router node '" + name + "' has a seat", ""};
  return std::nullopt;
}

// A router node that said goodbye, or whose address has refused for long, is evicted by whoever holds the duty.
bool Node::eviction_due(Micros now, Change& change) const {
  if (!learner.value) return false;
  for (std::unique_ptr<wire::RouterRegistrationT> const& registration : learner.value->registrations) {
    std::map<std::string, Peer>::const_iterator const position = mesh.members.peers.find(registration->name);
    if (position == mesh.members.peers.end() || position->second.member.incarnation > registration->incarnation)
      continue;
    Peer const& peer = position->second;
    bool const left =
        peer.state() == State::leaving && now - std::max(peer.state_since, peer.disconnected_since) > evict_after;
    bool const dead = peer.dial_refused && now - peer.dial_refused_at > evict_after;
    if (peer.connection != 0 || (!left && !dead)) continue;
    change.type = Change::Type::evict_router;
    change.registration = *registration;
    return true;
  }
  return false;
}

// §4.3: who knows no late reading of the list cannot know which workers are marked. Unless the list itself is down,
// so that nobody can have read any more: its own address says so, or half of all members have no news either. That
// holds on from what was known before; a node that was alone must first hear from half of them for a while.
bool Node::is_up_to_date(Micros now) {
  Micros const half_at = mesh.last_heard_from_half(now);
  bool const half = half_at >= 0 && now - half_at <= alone_after;
  if (!half)
    half_since_ = -1;
  else if (half_since_ < 0)
    half_since_ = now;
  up_to_date_at_ = std::max(up_to_date_at_, list_known_at_);
  Micros const word = std::max(half_at, list_said_at_);
  bool const held = up_to_date_at_ >= 0 && word - up_to_date_at_ <= alone_after;
  if (held || (half && now - half_since_ > catch_up)) up_to_date_at_ = std::max(up_to_date_at_, word);
  return now - up_to_date_at_ <= alone_after;
}

void Node::hear(Micros age, Micros now) {
  // What lay in a connection while this node stood still is older than it says.
  if (age >= 0 && stale_from_ < 0) list_known_at_ = std::max(list_known_at_, now - age);
}

}  // namespace pipit
