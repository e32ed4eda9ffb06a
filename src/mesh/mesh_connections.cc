// The mesh: connections to peers are dialled, greeted, and given up (§3.2).
#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "mesh/mesh.h"

namespace pipit {

void Mesh::opened(ConnectionId id, bool outbound, std::string const& address, Micros now, ConnectionEffects& out) {
  connections_[id] = Connection{"", outbound, address, now, now, 0};
  if (outbound) {
    for (Seed& seed : seeds_)
      if (seed.address == address) seed.dialling = false;
    for (std::pair<std::string const, Peer>& item : members.peers)
      if (item.second.member.address == address) item.second.dialling = false;
  }
  wire::HelloT hello;
  hello.digest = members.digest();
  hello.entry_digest = entry_table.digest();
  hello.cluster = plan_.cluster;
  hello.format = frame_format;
  hello.members = static_cast<std::uint32_t>(members.peers.size());
  hello.entries = static_cast<std::uint32_t>(entry_table.all().size());
  hello.self = std::make_unique<wire::MemberT>(members.self);
  out.sends.push_back({id, encode_body(std::move(hello))});
}

void Mesh::unbind(ConnectionId id, Micros now) {
  std::map<ConnectionId, Connection>::iterator const position = connections_.find(id);
  if (position == connections_.end()) return;
  std::string const name = position->second.peer;
  connections_.erase(position);
  if (name.empty()) return;
  log_event(Event::connection_closed, name);
  std::map<std::string, Peer>::iterator const who = members.peers.find(name);
  if (who == members.peers.end() || who->second.connection != id) return;
  who->second.connection = 0;
  for (std::pair<ConnectionId const, Connection> const& item : connections_)
    if (item.second.peer == name) who->second.connection = item.first;
  if (who->second.connection != 0) return;
  who->second.bare_since = now;
  who->second.next_dial = now;  // §3.4: a connection that ends is a hint; look at once
  who->second.pause = 0;
  entry_table.drop(name);
}

void Mesh::drop(ConnectionId id, Micros now, ConnectionEffects& out) {
  out.shuts.push_back(id);
  unbind(id, now);
}

void Mesh::shut(ConnectionId id, Micros now, ConnectionEffects& out) {
  std::map<ConnectionId, Connection>::const_iterator const position = connections_.find(id);
  if (position == connections_.end()) return;
  std::string const name = position->second.peer;
  unbind(id, now);
  std::map<std::string, Peer>::iterator const who = members.peers.find(name);
  if (who == members.peers.end() || who->second.connection != 0) return;
  State const state = who->second.state();
  if (state == State::alive || state == State::suspected) probe(who->second, now, out);
}

void Mesh::dial_failed(std::string const& address, bool refused, Micros now, ConnectionEffects& out) {
  for (Seed& seed : seeds_)
    if (seed.address == address) seed.dialling = false;
  for (std::pair<std::string const, Peer>& item : members.peers) {
    Peer& peer = item.second;
    if (peer.member.address != address) continue;
    peer.dialling = false;
    if (peer.connection != 0) continue;
    peer.refuse(refused, now);
    // A refusal is proof that no process is there: the probe need not run out its time.
    if (refused && (peer.state() == State::alive || peer.state() == State::suspected)) {
      for (std::map<std::uint64_t, Probe>::iterator it = probes_.begin(); it != probes_.end();)
        it = it->second.peer == item.first ? probes_.erase(it) : std::next(it);
      probe_failed(item.first, now, out);
    }
  }
}

Micros Mesh::knock_span() const {
  return wide() ? std::max(plan_.knock_most, static_cast<Micros>(members.peers.size()) * millis(50)) : plan_.knock_most;
}

void Mesh::dial(Peer& peer, Micros now, ConnectionEffects& out) {
  if (peer.dialling || peer.connection != 0 || now < peer.next_dial) return;
  for (Seed const& seed : seeds_)
    if (seed.dialling && seed.address == peer.member.address) return;
  peer.pause = std::clamp(peer.pause * 2, plan_.knock, std::max(plan_.knock, knock_span()));
  peer.next_dial = now + peer.pause;
  // An entry machine was exchanged: another name answers at this address, so this one is no more (§3.3).
  for (std::pair<std::string const, Peer> const& item : members.peers)
    if (item.second.connection != 0 && item.second.member.address == peer.member.address) {
      peer.refuse(true, now);
      return;
    }
  peer.dialling = true;
  out.dials.push_back(peer.member.address);
}

void Mesh::dials(Micros now, ConnectionEffects& out) {
  for (std::pair<std::string const, Peer>& item : members.peers) {
    Peer& peer = item.second;
    if (peer.connection != 0 || peer.state() == State::leaving) continue;
    if (peer.state() == State::down && !guard(Guard::redial)) continue;
    // §3.2: the name that sorts first opens the pair's connection; the other steps in when none has come.
    if (members.self.name < item.first || now - peer.bare_since > plan_.round) dial(peer, now, out);
  }
  for (Seed& seed : seeds_) {
    if (seed.dialling || now < seed.next_dial || (seed.pause > 0 && !guard(Guard::redial))) continue;
    bool known = false;
    for (std::pair<std::string const, Peer> const& item : members.peers)
      if (item.second.member.address == seed.address && item.second.state() != State::leaving) known = true;
    for (std::pair<ConnectionId const, Connection> const& item : connections_)
      if (item.second.outbound && item.second.address == seed.address) known = true;
    for (std::pair<std::string const, Peer> const& item : members.peers)
      if (item.second.dialling && item.second.member.address == seed.address) known = true;
    if (known) continue;
    seed.pause = std::clamp(seed.pause * 2, plan_.knock, plan_.knock_most);
    seed.next_dial = now + seed.pause;
    seed.dialling = true;
    out.dials.push_back(seed.address);
  }
}

void Mesh::greet(ConnectionId id, wire::HelloT const& hello, Micros now, ConnectionEffects& out) {
  if (hello.format != frame_format) {
    log_event(Event::foreign_cluster, "frames of format " + std::to_string(hello.format));
    drop(id, now, out);
    return;
  }
  if (hello.cluster != plan_.cluster || !hello.self || hello.self->name.empty() ||
      hello.self->name == members.self.name) {
    log_event(Event::foreign_cluster, hello.cluster);
    drop(id, now, out);
    return;
  }
  std::string const& name = hello.self->name;
  connections_[id].peer = name;
  connections_[id].incarnation = hello.self->incarnation;
  members.readmit(name);
  if (members.merge(*hello.self, now) == MemberTable::MergeResult::fresh) find_member(*hello.self, out);
  Peer& peer = members.peers.at(name);
  peer.refuse(false, now);
  if (peer.connection != 0 && peer.connection != id) {
    // §3.2: of two connections the one stays that the name sorting first opened. Of two by the same opener only the
    // opener ends one: the two sides may have seen them in different orders.
    bool const old_mine = connections_[peer.connection].outbound;
    bool const new_mine = connections_[id].outbound;
    bool const self_first = members.self.name < name;
    // A peer dials only when it has no connection. So an older one is a remnant, of a former incarnation or of a cut,
    // unless both sides dialled in the same moment.
    bool const remnant = connections_[peer.connection].incarnation != hello.self->incarnation ||
                         now - connections_[peer.connection].opened > plan_.round;
    if (remnant) {
      out.shuts.push_back(peer.connection);
      connections_.erase(peer.connection);
    } else if (old_mine == new_mine) {
      if (new_mine) {
        out.shuts.push_back(peer.connection);
        connections_.erase(peer.connection);
      }
    } else {
      ConnectionId const loser = old_mine == self_first ? id : peer.connection;
      out.shuts.push_back(loser);
      connections_.erase(loser);
      if (loser == id) return;
    }
  } else {
    log_event(Event::connection_opened, name);
  }
  peer.connection = id;
  peer.pause = 0;
  // The greeting answers a probe that was waiting for a connection.
  for (std::map<std::uint64_t, Probe>::iterator it = probes_.begin(); it != probes_.end();)
    it = it->second.peer == name ? probes_.erase(it) : std::next(it);
  entry_table.meet(name);
  owe_entries(name, hello);
  tell_met(id, name, hello, out);
  flush_entries(out);
}

// Where many meet one that has just started, or that was cut off, not each of them tells it everything: its seeds do
// when it knows nothing yet, and every node tells what it owns. What an owner that is gone has said is repaired by
// pings.
void Mesh::owe_entries(std::string const& name, wire::HelloT const& hello) {
  if (!wide() || hello.entries == 0) {
    entry_table.owe_all(name);
  } else if (hello.entry_digest != entry_table.digest()) {
    entry_table.owe_own(name);
  }
}

// §3.3: the peer learns what is said of it, and answers with a higher bump if it is wrong.
void Mesh::tell_met(ConnectionId id, std::string const& name, wire::HelloT const& hello, ConnectionEffects& out) {
  if (wide() && hello.digest == members.digest()) return;
  bool const whole = !wide() || hello.members < members.peers.size() / 2;
  wire::MembershipUpdateT update;
  update.table = whole ? table_for(id, true) : rumours();
  if (!whole) update.table.push_back(std::make_unique<wire::MemberT>(members.peers.at(name).member));
  post(name, std::move(update), out);
}

}  // namespace pipit
