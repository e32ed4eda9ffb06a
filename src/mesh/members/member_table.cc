#include "mesh/members/member_table.h"

#include <tuple>

#include "base/events.h"
#include "base/hash.h"

namespace pipit {

char const* state_name(State state) {
  static char const* const words[] = {"alive", "suspected", "down", "leaving"};
  return words[static_cast<std::size_t>(state) & 3];
}

namespace {
std::tuple<std::uint64_t, std::uint64_t, std::uint8_t> rank(wire::MemberT const& m) {
  return {m.incarnation, m.bump, m.state};
}
std::uint64_t print_of(wire::MemberT const& m) {
  return hash_text(m.name, hash_bits(m.incarnation ^ hash_bits((m.bump << 2) + m.state)));
}
void announce(std::string const& name, State state) {
  switch (state) {
    case State::alive:
      log_event(Event::peer_alive, name);
      break;
    case State::suspected:
      log_event(Event::peer_suspected, name);
      break;
    case State::down:
      log_event(Event::peer_down, name);
      break;
    case State::leaving:
      log_event(Event::peer_leaving, name);
      break;
  }
}
}  // namespace

MemberTable::MergeResult MemberTable::merge(wire::MemberT const& item, Micros now) {
  if (item.name.empty() || item.state > 3) return MergeResult::none;
  if (item.name == self.name) {
    // §3.3: news about this node itself. An older incarnation's record only raises the incarnation; a wrong state is
    // refuted.
    bool const elder = item.incarnation > self.incarnation;
    bool const wrong = item.incarnation == self.incarnation && item.bump >= self.bump && item.state != self.state;
    if (!elder && !wrong) return MergeResult::none;
    if (elder) self.incarnation = item.incarnation + 1;
    self.bump = std::max(self.bump, item.bump) + 1;
    log_event(Event::suspicion_refuted, "incarnation " + std::to_string(self.incarnation));
    return MergeResult::refuted;
  }
  std::map<std::string, std::uint64_t>::const_iterator const gone = evicted.find(item.name);
  if (gone != evicted.end() && item.incarnation <= gone->second) return MergeResult::none;
  std::map<std::string, Peer>::iterator const position = peers.find(item.name);
  if (position == peers.end()) {
    Peer peer;
    peer.member = item;
    peer.since = now;
    peer.bare_since = now;
    peer.version = ++version;
    peers.emplace(item.name, std::move(peer));
    announce(item.name, static_cast<State>(item.state));
    return MergeResult::fresh;
  }
  Peer& peer = position->second;
  if (rank(item) <= rank(peer.member)) return MergeResult::none;
  State const old = peer.state();
  if (item.incarnation > peer.member.incarnation) peer.refuse(false, now);
  // A higher bump alone, as with each change of the register, is told by the peer itself to whom it has a connection.
  if (item.incarnation != peer.member.incarnation || item.state != peer.member.state ||
      item.address != peer.member.address)
    peer.version = ++version;
  if (item.address != peer.member.address) {
    peer.next_dial = 0;
    peer.dialling = false;  // what is under way goes to the old address, and its end will not be known for this peer's
  }
  peer.member = item;
  if (peer.state() != old) {
    peer.since = now;
    announce(item.name, peer.state());
  }
  return MergeResult::fresh;
}

void MemberTable::mark(Peer& peer, State state, Micros now) {
  if (peer.state() == state) return;
  peer.member.state = static_cast<std::uint8_t>(state);
  peer.since = now;
  peer.version = ++version;
  announce(peer.member.name, state);
}

void MemberTable::register_router(wire::RouterRegistrationT const& item, Micros now) {
  if (item.name == self.name) return;
  std::map<std::string, Peer>::iterator const position = peers.find(item.name);
  if (position != peers.end() && position->second.member.incarnation >= item.incarnation) return;
  // A incarnation that this node has not heard of: dialled on, and no older proof that nobody is there holds for it.
  Peer& peer = peers[item.name];
  bool const fresh = peer.member.name.empty();
  if (fresh || peer.connection == 0 || peer.member.address != item.address) peer.version = ++version;
  if (fresh) {
    peer.member.name = item.name;
    peer.member.role = static_cast<std::uint8_t>(Role::router);
    peer.member.state = static_cast<std::uint8_t>(State::down);
    peer.since = peer.bare_since = now;
  }
  if (peer.member.address != item.address) {
    peer.member.address = item.address;
    peer.next_dial = 0;
    peer.dialling = false;
  }
  if (peer.connection == 0) {
    if (peer.state() == State::leaving) mark(peer, State::down, now);
    peer.member.incarnation = item.incarnation;
    peer.member.bump = 0;
    peer.refuse(false, now);
  }
}

void MemberTable::evict(std::vector<std::unique_ptr<wire::RouterRegistrationT>> const& list) {
  evicted.clear();
  for (std::unique_ptr<wire::RouterRegistrationT> const& item : list) {
    std::map<std::string, Peer>::iterator const position = peers.find(item->name);
    if (position != peers.end() &&
        (position->second.connection != 0 || position->second.member.incarnation > item->incarnation))
      continue;
    if (position != peers.end()) peers.erase(position);
    evicted[item->name] = item->incarnation;
  }
}

std::vector<std::unique_ptr<wire::MemberT>> MemberTable::table(std::uint64_t since) const {
  std::vector<std::unique_ptr<wire::MemberT>> out;
  out.push_back(std::make_unique<wire::MemberT>(self));
  for (std::pair<std::string const, Peer> const& item : peers)
    if (since == 0 || item.second.version > since) out.push_back(std::make_unique<wire::MemberT>(item.second.member));
  return out;
}

std::uint64_t MemberTable::digest() const {
  std::uint64_t out = 0;
  out ^= print_of(self);
  for (std::pair<std::string const, Peer> const& item : peers) out ^= print_of(item.second.member);
  return out;
}

void MemberTable::forget(Micros now, Micros age) {
  for (std::map<std::string, Peer>::iterator it = peers.begin(); it != peers.end();) {
    Peer const& peer = it->second;
    bool const out = peer.state() == State::down || peer.state() == State::leaving;
    if (out && peer.connection == 0 && now - peer.since > age)
      it = peers.erase(it);
    else
      ++it;
  }
}

std::size_t MemberTable::known(Role role) const {
  std::size_t n = static_cast<Role>(self.role) == role ? 1 : 0;
  for (std::pair<std::string const, Peer> const& item : peers)
    if (item.second.role() == role) ++n;
  return n;
}

}  // namespace pipit
