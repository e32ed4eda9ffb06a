#include "mesh/mesh.h"

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"

namespace pipit {

namespace {
constexpr std::uint64_t whole_table = 16;  // one in so many tables of pings and answers is whole
}  // namespace

Mesh::Mesh(MeshPlan plan, wire::MemberT const& self, std::uint64_t seed)
    : members(self), entry_table(self.name), plan_(std::move(plan)), random_(seed) {
  for (std::string const& address : plan_.seeds)
    if (address != self.address) seeds_.push_back({address, 0, 0, false});
}

void Mesh::reseed(std::vector<std::string> const& addresses) {
  std::vector<Seed> fresh;
  for (std::string const& address : addresses) {
    if (address == members.self.address) continue;
    Seed made{address, 0, 0, false};
    for (Seed const& old : seeds_)
      if (old.address == address) made = old;
    fresh.push_back(std::move(made));
  }
  seeds_ = std::move(fresh);
}

void Mesh::announce_self(ConnectionEffects& out) {
  ++members.self.bump;
  announce_member(members.self, out);
}

void Mesh::leave(ConnectionEffects& out) {
  members.self.state = static_cast<std::uint8_t>(State::leaving);
  announce_self(out);
}

void Mesh::announce_member(wire::MemberT const& member, ConnectionEffects& out) {
  for (std::pair<std::string const, Peer> const& item : members.peers) {
    if (item.second.connection == 0) continue;
    wire::MembershipUpdateT update;
    update.table.push_back(std::make_unique<wire::MemberT>(member));
    post(item.first, std::move(update), out);
  }
}

// §3.6: what this node found out about another goes to some peers at once and to the rest on pings. All who find the
// same at the same time would else tell everybody, each.
void Mesh::find_member(wire::MemberT const& member, ConnectionEffects& out) {
  if (!wide()) return announce_member(member, out);
  int rounds = 3;
  for (std::size_t n = members.peers.size(); n > 0; n >>= 1) rounds += 3;
  rumoured_[member.name] = rounds;
  std::vector<std::string> hands;
  for (std::pair<std::string const, Peer> const& item : members.peers)
    if (item.second.connection != 0 && item.first != member.name) hands.push_back(item.first);
  for (std::size_t n = 0; n < plan_.told && !hands.empty(); ++n) {
    std::size_t const pick = random_.below(hands.size());
    wire::MembershipUpdateT update;
    update.table.push_back(std::make_unique<wire::MemberT>(member));
    post(hands[pick], std::move(update), out);
    hands[pick] = hands.back();
    hands.pop_back();
  }
}

// What goes along with a ping or its answer.
std::vector<std::unique_ptr<wire::MemberT>> Mesh::rumours() {
  std::vector<std::unique_ptr<wire::MemberT>> out;
  for (std::map<std::string, int>::iterator it = rumoured_.begin(); it != rumoured_.end() && out.size() < 12;) {
    std::map<std::string, Peer>::const_iterator const peer = members.peers.find(it->first);
    if (peer != members.peers.end()) out.push_back(std::make_unique<wire::MemberT>(peer->second.member));
    it = peer == members.peers.end() || --it->second <= 0 ? rumoured_.erase(it) : std::next(it);
  }
  return out;
}

namespace {
constexpr Micros repair_calm = seconds(1);  // without a change here, before everything is compared
constexpr Micros repair_gap = millis(1500);
}  // namespace

bool Mesh::Repair::due(std::uint64_t own, std::uint64_t theirs, Micros now) {
  if (own != digest) {
    digest = own;
    changed = now;
  }
  if (own == theirs || now - last < repair_calm) return false;
  if (now - changed < repair_calm && now - last < repair_gap) return false;
  last = now;
  return true;
}

void Mesh::repair_entries(std::string const& name, std::uint64_t theirs, Micros now, ConnectionEffects& out) {
  if (!wide() || !entries_repair_.due(entry_table.digest(), theirs, now)) return;
  entry_table.owe_all(name);
  wire::EntriesT batch = entry_table.batch(name, false);
  if (!batch.list.empty()) post(name, std::move(batch), out);
}

// What a peer says of itself on frames that pass anyway.
void Mesh::heard(std::string const& name, std::uint64_t revision, std::uint64_t serial, bool ready) {
  std::map<std::string, Peer>::iterator const who = members.peers.find(name);
  if (who == members.peers.end()) return;
  who->second.member.revision = std::max(who->second.member.revision, revision);
  who->second.member.serial = std::max(who->second.member.serial, serial);
  who->second.member.ready = ready;
}

bool Mesh::gone(std::string const& name) const {
  std::map<std::string, Peer>::const_iterator const position = members.peers.find(name);
  if (position == members.peers.end()) return false;
  Peer const& peer = position->second;
  return peer.connection == 0 && (peer.refused || peer.state() == State::leaving);
}

std::string Mesh::zone_of(ConnectionId id) const {
  std::map<ConnectionId, Connection>::const_iterator const connection = connections_.find(id);
  if (connection == connections_.end()) return "";
  std::map<std::string, Peer>::const_iterator const peer = members.peers.find(connection->second.peer);
  return peer == members.peers.end() ? "" : peer->second.member.zone;
}

Micros Mesh::half_heard(Micros now) const {
  std::vector<Micros> heard{now};
  for (std::pair<std::string const, Peer> const& item : members.peers) {
    if (gone(item.first)) continue;
    std::map<ConnectionId, Connection>::const_iterator const connection = connections_.find(item.second.connection);
    heard.push_back(item.second.connection == 0 || connection == connections_.end() ? -1 : connection->second.heard);
  }
  std::sort(heard.rbegin(), heard.rend());
  return heard[(heard.size() + 1) / 2 - 1];
}

std::vector<std::unique_ptr<wire::MemberT>> Mesh::table_for(ConnectionId id, bool whole) {
  // A connection keeps its order and loses nothing, so what was told on it need not be told again; the whole table once
  // in a while repairs what a peer has dropped since (§3.3).
  std::map<ConnectionId, Connection>::iterator const connection = connections_.find(id);
  if (connection == connections_.end()) return members.table();
  std::uint64_t const since = whole || ++tables_ % whole_table == 0 ? 0 : connection->second.told;
  connection->second.told = members.version;
  return members.table(since);
}

void Mesh::flush_entries(ConnectionEffects& out, bool again) {
  for (std::pair<std::string const, Peer> const& item : members.peers) {
    if (item.second.connection == 0) continue;
    wire::EntriesT batch = entry_table.batch(item.first, again);
    while (!batch.list.empty()) {
      post(item.first, std::move(batch), out);
      batch = entry_table.batch(item.first, false);
    }
  }
}

void Mesh::take_table(std::vector<std::unique_ptr<wire::MemberT>> const& table, Micros now, ConnectionEffects& out) {
  for (std::unique_ptr<wire::MemberT> const& item : table) {
    MemberTable::MergeResult const update = members.merge(*item, now);
    if (update == MemberTable::MergeResult::refuted) announce_member(members.self, out);
    // A peer that incarnations anew cannot have the connection of its former incarnation.
    if (update != MemberTable::MergeResult::fresh) continue;
    if (wide() && table.size() <= 12) rumoured_[item->name] = 6;
    std::map<std::string, Peer>::const_iterator const who = members.peers.find(item->name);
    if (who != members.peers.end() && who->second.connection != 0 &&
        connections_[who->second.connection].incarnation < item->incarnation)
      drop(who->second.connection, now, out);
  }
}

}  // namespace pipit
