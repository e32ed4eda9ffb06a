#include "mesh/connections/connection_table.h"

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"

namespace pipit {

namespace {
constexpr Micros hello_timeout = seconds(5);     // since the connection opened
constexpr Micros backoff_per_peer = millis(50);  // in a large fleet, bounds the rate of dials to lost peers
}  // namespace

ConnectionTable::ConnectionTable(MeshSettings const& settings, MemberTable& members, EntryReplication& replication)
    : settings_(settings), members_(members), replication_(replication) {
  set_seeds(settings.seeds);
}

void ConnectionTable::set_seeds(std::vector<std::string> const& addresses) {
  std::vector<Seed> seeds;
  for (std::string const& address : addresses) {
    if (address == members_.self.address) continue;
    Seed seed{address, 0, 0, false};
    for (Seed const& old : seeds_)
      if (old.address == address) seed = old;
    seeds.push_back(std::move(seed));
  }
  seeds_ = std::move(seeds);
}

void ConnectionTable::add(ConnectionId id, bool outbound, std::string const& address, Micros now) {
  connections_[id] = Connection{"", outbound, address, now, now, 0, 0};
  if (!outbound) return;
  end_seed_dial(address);
  for (std::pair<std::string const, Peer>& item : members_.peers)
    if (item.second.member.address == address) item.second.dialling = false;
}

std::string ConnectionTable::remove(ConnectionId id, Micros now) {
  std::map<ConnectionId, Connection>::iterator const position = connections_.find(id);
  if (position == connections_.end()) return "";
  std::string const name = position->second.peer;
  connections_.erase(position);
  if (name.empty()) return "";
  log_event(Event::connection_closed, name);
  std::map<std::string, Peer>::iterator const found = members_.peers.find(name);
  if (found == members_.peers.end() || found->second.connection != id) return name;
  Peer& peer = found->second;
  peer.connection = 0;
  for (std::pair<ConnectionId const, Connection> const& item : connections_)
    if (item.second.peer == name) peer.connection = item.first;
  if (peer.connection != 0) return name;
  peer.disconnected_since = now;
  peer.next_dial = now;  // the peer may have failed, so it is dialled at once (§3.4)
  peer.dial_backoff = 0;
  replication_.remove_peer(name);
  return name;
}

void ConnectionTable::close(ConnectionId id, Micros now, ConnectionEffects& out) {
  out.closed_connections.push_back(id);
  remove(id, now);
}

void ConnectionTable::close_idle(Micros now, ConnectionEffects& out) {
  std::vector<ConnectionId> idle;
  for (std::pair<ConnectionId const, Connection> const& item : connections_) {
    bool const awaits_hello = item.second.peer.empty() && now - item.second.opened_at > hello_timeout;
    if (awaits_hello || now - item.second.last_received > settings_.idle_timeout) idle.push_back(item.first);
  }
  for (ConnectionId const id : idle) close(id, now, out);
}

void ConnectionTable::drop_duplicate(ConnectionId id, ConnectionEffects& out) {
  out.closed_connections.push_back(id);
  connections_.erase(id);
}

// §3.2: of two connections the one opened by the node whose name sorts first is kept. If the same node opened both,
// only that node closes one of them, because the two sides may have seen them in different orders.
bool ConnectionTable::resolve_duplicate(ConnectionId id, Peer& peer, Micros now, ConnectionEffects& out) {
  Connection const& present = connections_.at(peer.connection);
  Connection const& added = connections_.at(id);
  // A peer dials only when it has no connection. So an older connection is left over from a previous incarnation or
  // from a network partition, unless both sides dialled at about the same time.
  bool const stale =
      present.peer_incarnation != added.peer_incarnation || now - present.opened_at > settings_.probe_interval;
  if (stale) {
    drop_duplicate(peer.connection, out);
    return true;
  }
  if (present.outbound == added.outbound) {
    if (added.outbound) drop_duplicate(peer.connection, out);
    return true;
  }
  bool const self_first = members_.self.name < peer.member.name;
  bool const keeps_present = present.outbound == self_first;
  drop_duplicate(keeps_present ? id : peer.connection, out);
  return !keeps_present;
}

bool ConnectionTable::bind(ConnectionId id, Peer& peer, Micros now, ConnectionEffects& out) {
  if (peer.connection == 0 || peer.connection == id)
    log_event(Event::connection_opened, peer.member.name);
  else if (!resolve_duplicate(id, peer, now, out))
    return false;
  peer.connection = id;
  peer.dial_backoff = 0;
  return true;
}

Micros ConnectionTable::max_peer_backoff() const {
  if (!settings_.is_large_fleet(members_.peers.size())) return settings_.dial_backoff_max;
  return std::max(settings_.dial_backoff_max, static_cast<Micros>(members_.peers.size()) * backoff_per_peer);
}

void ConnectionTable::dial(Peer& peer, Micros now, ConnectionEffects& out) {
  if (peer.dialling || peer.connection != 0 || now < peer.next_dial) return;
  for (Seed const& seed : seeds_)
    if (seed.dialling && seed.address == peer.member.address) return;
  peer.dial_backoff = std::clamp(peer.dial_backoff * 2, settings_.dial_backoff_min,
                                 std::max(settings_.dial_backoff_min, max_peer_backoff()));
  peer.next_dial = now + peer.dial_backoff;
  // A node with another name is connected at this address: the machine was replaced, and this peer is gone (§3.3).
  for (std::pair<std::string const, Peer> const& item : members_.peers)
    if (item.second.connection != 0 && item.second.member.address == peer.member.address) {
      peer.set_dial_refused(true, now);
      return;
    }
  peer.dialling = true;
  out.dial_addresses.push_back(peer.member.address);
}

void ConnectionTable::dial_missing(Micros now, ConnectionEffects& out) {
  for (std::pair<std::string const, Peer>& item : members_.peers) {
    Peer& peer = item.second;
    if (peer.connection != 0 || peer.state() == MemberState::leaving) continue;
    if (peer.state() == MemberState::down && !guard_enabled(Guard::redial)) continue;
    // The node whose name sorts first opens the pair's connection; the other one dials when none was opened in time
    // (§3.2).
    bool const is_opener = members_.self.name < item.first;
    if (is_opener || now - peer.disconnected_since > settings_.probe_interval) dial(peer, now, out);
  }
  dial_seeds(now, out);
}

// Whether a seed need not be dialled: a member that is not leaving, or is being dialled, is known at its address, or a
// connection that was dialled to the address is open.
bool ConnectionTable::is_seed_reachable(std::string const& address) const {
  for (std::pair<std::string const, Peer> const& item : members_.peers) {
    if (item.second.member.address != address) continue;
    if (item.second.state() != MemberState::leaving || item.second.dialling) return true;
  }
  for (std::pair<ConnectionId const, Connection> const& item : connections_)
    if (item.second.outbound && item.second.address == address) return true;
  return false;
}

void ConnectionTable::dial_seeds(Micros now, ConnectionEffects& out) {
  for (Seed& seed : seeds_) {
    if (seed.dialling || now < seed.next_dial || (seed.dial_backoff > 0 && !guard_enabled(Guard::redial))) continue;
    if (is_seed_reachable(seed.address)) continue;
    seed.dial_backoff = std::clamp(seed.dial_backoff * 2, settings_.dial_backoff_min, settings_.dial_backoff_max);
    seed.next_dial = now + seed.dial_backoff;
    seed.dialling = true;
    out.dial_addresses.push_back(seed.address);
  }
}

void ConnectionTable::end_seed_dial(std::string const& address) {
  for (Seed& seed : seeds_)
    if (seed.address == address) seed.dialling = false;
}

Connection* ConnectionTable::find(ConnectionId id) {
  std::map<ConnectionId, Connection>::iterator const position = connections_.find(id);
  return position == connections_.end() ? nullptr : &position->second;
}

Micros ConnectionTable::last_received(ConnectionId id) const {
  std::map<ConnectionId, Connection>::const_iterator const position = connections_.find(id);
  return position == connections_.end() ? 0 : position->second.last_received;
}

std::string ConnectionTable::zone_of(ConnectionId id) const {
  std::map<ConnectionId, Connection>::const_iterator const connection = connections_.find(id);
  if (connection == connections_.end()) return "";
  std::map<std::string, Peer>::const_iterator const peer = members_.peers.find(connection->second.peer);
  return peer == members_.peers.end() ? "" : peer->second.member.zone;
}

Micros ConnectionTable::last_contact_with_half(Micros now) const {
  std::vector<Micros> contact_times{now};
  for (std::pair<std::string const, Peer> const& item : members_.peers) {
    if (members_.cannot_be_serving(item.first)) continue;
    std::map<ConnectionId, Connection>::const_iterator const connection = connections_.find(item.second.connection);
    bool const connected = item.second.connection != 0 && connection != connections_.end();
    contact_times.push_back(connected ? connection->second.last_received : -1);
  }
  std::sort(contact_times.rbegin(), contact_times.rend());
  return contact_times[(contact_times.size() + 1) / 2 - 1];
}

}  // namespace pipit
