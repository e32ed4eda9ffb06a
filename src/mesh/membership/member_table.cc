#include "mesh/membership/member_table.h"

#include <algorithm>
#include <tuple>

#include "base/events.h"
#include "base/hash.h"

namespace pipit {

char const* state_name(MemberState state) {
  static char const* const names[] = {"alive", "suspected", "down", "leaving"};
  return names[static_cast<std::size_t>(state) & 3];
}

namespace {
std::tuple<std::uint64_t, std::uint64_t, std::uint8_t> precedence(wire::MemberT const& record) {
  return {record.incarnation, record.bump, record.state};
}
std::uint64_t fingerprint(wire::MemberT const& record) {
  return hash_text(record.name, hash_bits(record.incarnation ^ hash_bits((record.bump << 2) + record.state)));
}
void log_state(std::string const& name, MemberState state) {
  switch (state) {
    case MemberState::alive:
      log_event(Event::peer_alive, name);
      break;
    case MemberState::suspected:
      log_event(Event::peer_suspected, name);
      break;
    case MemberState::down:
      log_event(Event::peer_down, name);
      break;
    case MemberState::leaving:
      log_event(Event::peer_leaving, name);
      break;
  }
}
}  // namespace

// §3.3: merges a record of this node itself. A record of a later incarnation makes this node use a still later one; a
// record with a wrong state is refuted by a higher bump.
MemberTable::MergeResult MemberTable::merge_self(wire::MemberT const& record) {
  bool const later = record.incarnation > self.incarnation;
  bool const wrong = record.incarnation == self.incarnation && record.bump >= self.bump && record.state != self.state;
  if (!later && !wrong) return MergeResult::unchanged;
  if (later) self.incarnation = record.incarnation + 1;
  self.bump = std::max(self.bump, record.bump) + 1;
  log_event(Event::suspicion_refuted, "incarnation " + std::to_string(self.incarnation));
  return MergeResult::refuted;
}

MemberTable::MergeResult MemberTable::add(wire::MemberT const& record, Micros now) {
  Peer peer;
  peer.member = record;
  peer.state_since = now;
  peer.disconnected_since = now;
  peer.version = ++version;
  peers.emplace(record.name, std::move(peer));
  log_state(record.name, static_cast<MemberState>(record.state));
  return MergeResult::changed;
}

MemberTable::MergeResult MemberTable::merge(wire::MemberT const& record, Micros now) {
  if (record.name.empty() || record.state > static_cast<std::uint8_t>(MemberState::leaving))
    return MergeResult::unchanged;
  if (record.name == self.name) return merge_self(record);
  std::map<std::string, std::uint64_t>::const_iterator const eviction = evicted.find(record.name);
  if (eviction != evicted.end() && record.incarnation <= eviction->second) return MergeResult::unchanged;
  std::map<std::string, Peer>::iterator const position = peers.find(record.name);
  if (position == peers.end()) return add(record, now);
  Peer& peer = position->second;
  if (precedence(record) <= precedence(peer.member)) return MergeResult::unchanged;
  MemberState const old = peer.state();
  if (record.incarnation > peer.member.incarnation) peer.set_dial_refused(false, now);
  // A change of the bump alone, as after each change of the register, does not count: the peer itself sends it to all
  // peers to which it is connected.
  if (record.incarnation != peer.member.incarnation || record.state != peer.member.state ||
      record.address != peer.member.address)
    peer.version = ++version;
  if (record.address != peer.member.address) {
    peer.next_dial = 0;
    peer.dialling =
        false;  // the dial in progress is to the old address, so its result will not be matched to this peer
  }
  peer.member = record;
  if (peer.state() != old) {
    peer.state_since = now;
    log_state(record.name, peer.state());
  }
  return MergeResult::changed;
}

void MemberTable::set_state(Peer& peer, MemberState state, Micros now) {
  if (peer.state() == state) return;
  peer.member.state = static_cast<std::uint8_t>(state);
  peer.state_since = now;
  peer.version = ++version;
  log_state(peer.member.name, state);
}

void MemberTable::apply_registration(wire::RouterRegistrationT const& registration, Micros now) {
  if (registration.name == self.name) return;
  std::map<std::string, Peer>::iterator const position = peers.find(registration.name);
  if (position != peers.end() && position->second.member.incarnation >= registration.incarnation) return;
  // This incarnation is new to this node: it is dialled, and a refused dial of an earlier incarnation no longer counts.
  Peer& peer = peers[registration.name];
  bool const added = peer.member.name.empty();
  if (added || peer.connection == 0 || peer.member.address != registration.address) peer.version = ++version;
  if (added) {
    peer.member.name = registration.name;
    peer.member.role = static_cast<std::uint8_t>(MemberRole::router);
    peer.member.state = static_cast<std::uint8_t>(MemberState::down);
    peer.state_since = peer.disconnected_since = now;
  }
  if (peer.member.address != registration.address) {
    peer.member.address = registration.address;
    peer.next_dial = 0;
    peer.dialling = false;
  }
  if (peer.connection == 0) {
    if (peer.state() == MemberState::leaving) set_state(peer, MemberState::down, now);
    peer.member.incarnation = registration.incarnation;
    peer.member.bump = 0;
    peer.set_dial_refused(false, now);
  }
}

void MemberTable::apply_evictions(std::vector<std::unique_ptr<wire::RouterRegistrationT>> const& list) {
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

std::vector<std::unique_ptr<wire::MemberT>> MemberTable::records_since(std::uint64_t since) const {
  std::vector<std::unique_ptr<wire::MemberT>> out;
  out.push_back(std::make_unique<wire::MemberT>(self));
  for (std::pair<std::string const, Peer> const& item : peers)
    if (since == 0 || item.second.version > since) out.push_back(std::make_unique<wire::MemberT>(item.second.member));
  return out;
}

std::uint64_t MemberTable::digest() const {
  std::uint64_t out = 0;
  out ^= fingerprint(self);
  for (std::pair<std::string const, Peer> const& item : peers) out ^= fingerprint(item.second.member);
  return out;
}

void MemberTable::remove_expired(Micros now, Micros age) {
  for (std::map<std::string, Peer>::iterator it = peers.begin(); it != peers.end();) {
    Peer const& peer = it->second;
    bool const ended = peer.state() == MemberState::down || peer.state() == MemberState::leaving;
    if (ended && peer.connection == 0 && now - peer.state_since > age)
      it = peers.erase(it);
    else
      ++it;
  }
}

void MemberTable::update_status(std::string const& name, std::uint64_t revision, std::uint64_t serial, bool ready) {
  std::map<std::string, Peer>::iterator const position = peers.find(name);
  if (position == peers.end()) return;
  wire::MemberT& record = position->second.member;
  record.revision = std::max(record.revision, revision);
  record.serial = std::max(record.serial, serial);
  record.ready = ready;
}

bool MemberTable::holds_newer(wire::MemberT const& record) const {
  std::map<std::string, Peer>::const_iterator const position = peers.find(record.name);
  return position != peers.end() && precedence(position->second.member) > precedence(record);
}

void MemberTable::note_revision(std::string const& name, std::uint64_t revision) {
  std::map<std::string, Peer>::iterator const position = peers.find(name);
  if (position != peers.end()) position->second.member.revision = std::max(position->second.member.revision, revision);
}

bool MemberTable::cannot_be_serving(std::string const& name) const {
  std::map<std::string, Peer>::const_iterator const position = peers.find(name);
  if (position == peers.end()) return false;
  Peer const& peer = position->second;
  return peer.connection == 0 && (peer.dial_refused || peer.state() == MemberState::leaving);
}

std::size_t MemberTable::count(MemberRole role) const {
  std::size_t n = static_cast<MemberRole>(self.role) == role ? 1 : 0;
  for (std::pair<std::string const, Peer> const& item : peers)
    if (item.second.role() == role) ++n;
  return n;
}

}  // namespace pipit
