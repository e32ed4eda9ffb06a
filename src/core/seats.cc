// Seats of router nodes in the register (§5.9), and how old a node's knowledge of the list is (§4.3).
#include "base/events.h"
#include "base/guards.h"
#include "core/node.h"

namespace pipit {

namespace {
constexpr Micros seat_gap = millis(150);
constexpr Micros newcomer_span = seconds(2);
constexpr Micros behind_gap = millis(300);
constexpr Micros alone_after = millis(1700);
constexpr Micros catch_up = millis(1500);
constexpr Micros strike_after = seconds(20);
}  // namespace

bool Node::seated() const {
  if (!guard(Guard::seats) || plan.registered) return true;
  if (!learner.value) return false;
  wire::SeatT const* const seat = seat_of(*learner.value, plan.name);
  return seat != nullptr && seat->incarnation == mesh.members.self.incarnation;
}

void Node::ask_seat(Micros now, NodeOut& out) {
  if (seat_busy || leaving || now < seat_next) return;
  seat_busy = true;
  seat_next = now + seat_gap;
  Change change;
  change.type = Change::Type::seat;
  change.seat.name = plan.name;
  change.seat.address = plan.address;
  change.seat.incarnation = mesh.members.self.incarnation;
  operate(0, std::move(change), now, out);
}

// What the register says of seats, this node's own among them.
void Node::look_seat(Micros now, NodeOut& out) {
  if (!learner.value) return;
  for (std::unique_ptr<wire::SeatT> const& seat : learner.value->seats) mesh.members.seat(*seat, now);
  mesh.members.strike(learner.value->struck);
  if (plan.role != Role::passage) return;
  wire::SeatT const* const own = seat_of(*learner.value, plan.name);
  if (own != nullptr && own->incarnation > mesh.members.self.incarnation) {
    // A former life had a later clock.
    mesh.members.self.incarnation = own->incarnation + 1;
    mesh.announce_self(out.mesh);
  }
  if (own != nullptr && own->incarnation != mesh.members.self.incarnation) seat_known = true;
  if (seated()) {
    if (seat_at < 0) log_event(Event::seat_taken, std::to_string(mesh.members.self.incarnation));
    if (seat_at < 0) seat_at = now;
    if (!seat_had) {
      seat_had = true;
      look_hold();
    }
  } else if (seat_had) {
    // It was struck, though it lives: it places nothing until it has a seat again, and then begins as a newcomer.
    seat_had = false;
    seat_known = false;
    seat_at = -1;
    look_hold();
  }
}

// §5.5: a peer announces a newer revision than is held here, and no push or poll has brought it: the peer itself is
// asked, so that a chosen value gets round though its proposer and the keepers are gone.
void Node::ask_newer(Micros now, std::vector<OutgoingMessage>& outgoing) {
  std::string from;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (item.second.wire != 0 && item.second.member.revision > learner.revision()) from = item.first;
  if (from.empty() || !guard(Guard::spread)) {
    behind_since = -1;
  } else if (behind_since < 0) {
    behind_since = now;
  } else if (now - behind_since > behind_gap) {
    behind_since = now;
    wire::BehindT ask;
    ask.revision = learner.revision();
    outgoing.push_back(message_to(from, std::move(ask)));
  }
}

// §5.9: for a while others still divide the bounds of cold workers among fewer.
// Its start changes everybody's share of a cold worker's bound; where workers register there are no such shares.
bool Node::newcomer(Micros now) const {
  if (plan.registered) return false;
  return plan.role == Role::passage && !seat_known && seat_at >= 0 && now - seat_at < newcomer_span;
}

void Node::look_hold() {
  if (plan.role != Role::passage) return;
  dispatcher.hold(stale_from >= 0);
  bool const lost = guard(Guard::seats) && able && seat_at < 0 && learner.value && struck_self();
  desk.hold(stale_from >= 0 || lost);
}

bool Node::struck_self() const {
  for (std::unique_ptr<wire::SeatT> const& item : learner.value->struck)
    if (item->name == plan.name && item->incarnation >= mesh.members.self.incarnation) return true;
  return false;
}

// Whether an 'empty' still waits for this node's word.
bool Node::owes(Waiting const& item, std::string const& name) const {
  if (item.sure.count(name)) return false;
  wire::SeatT const* const seat = learner.value ? seat_of(*learner.value, name) : nullptr;
  std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
  bool const known = peer != mesh.members.peers.end();
  // That it left, or refuses a dial, says nothing of a later life.
  if (seat != nullptr && (!known || peer->second.member.incarnation < seat->incarnation)) return true;
  return !mesh.gone(name);
}

std::optional<Fault> Node::keeps(std::string const& name) const {
  bool const known = learner.value && seat_of(*learner.value, name) != nullptr;
  std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
  bool const here = name == plan.name || (peer != mesh.members.peers.end() && peer->second.wire != 0);
  if (here) return Fault{Kind::node_alive, "the node '" + name + "' is alive", ""};
  if (!known) return Fault{Kind::unknown_node, "no router node '" + name + "' has a seat", ""};
  return std::nullopt;
}

// A router node that said goodbye, or whose address has refused for long, is struck by whoever holds the duty.
bool Node::strike_due(Micros now, Change& change) const {
  if (!learner.value) return false;
  for (std::unique_ptr<wire::SeatT> const& seat : learner.value->seats) {
    std::map<std::string, Peer>::const_iterator const spot = mesh.members.peers.find(seat->name);
    if (spot == mesh.members.peers.end() || spot->second.member.incarnation > seat->incarnation) continue;
    Peer const& peer = spot->second;
    bool const left = peer.state() == State::leaving && now - std::max(peer.since, peer.bare_since) > strike_after;
    bool const dead = peer.refused && now - peer.refused_at > strike_after;
    if (peer.wire != 0 || (!left && !dead)) continue;
    change.type = Change::Type::strike;
    change.seat = *seat;
    return true;
  }
  return false;
}

// §4.3: who knows no late reading of the list cannot know which workers are marked. Unless the list itself is down,
// so that nobody can have read any more: its own address says so, or half of all members have no news either. That
// holds on from what was known before; a node that was alone must first hear from half of them for a while.
bool Node::is_up_to_date(Micros now) {
  Micros const half_at = mesh.half_heard(now);
  bool const half = half_at >= 0 && now - half_at <= alone_after;
  if (!half)
    half_since = -1;
  else if (half_since < 0)
    half_since = now;
  up_to_date_at = std::max(up_to_date_at, news_at);
  Micros const word = std::max(half_at, list_said_at);
  bool const held = up_to_date_at >= 0 && word - up_to_date_at <= alone_after;
  if (held || (half && now - half_since > catch_up)) up_to_date_at = std::max(up_to_date_at, word);
  return now - up_to_date_at <= alone_after;
}

void Node::hear(Micros age, Micros now) {
  // What lay in a wire while this node stood still is older than it says.
  if (age >= 0 && stale_from < 0) news_at = std::max(news_at, now - age);
}

}  // namespace pipit
