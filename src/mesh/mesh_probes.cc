// The mesh: rounds of probes, direct and through others, and what is found by them (§3.4).
#include <algorithm>

#include "base/events.h"
#include "mesh/mesh.h"

namespace pipit {

namespace {
constexpr int indirect_probes = 3;  // members that are asked to probe one that did not answer
}  // namespace

// Every pair's silence looked into by turns, not all pairs each second.
Micros Mesh::quiet_span() const {
  return wide() ? std::max(plan_.quiet, static_cast<Micros>(members.peers.size()) * millis(200)) : plan_.quiet;
}

void Mesh::probe(Peer& peer, Micros now, ConnectionEffects& out) {
  for (std::pair<std::uint64_t const, Probe> const& item : probes_)
    if (item.second.peer == peer.member.name) return;
  std::uint64_t const seq = ++next_seq_;
  probes_[seq] = Probe{peer.member.name, false, now + plan_.probe};
  if (peer.connection == 0) {
    dial(peer, now, out);
    return;
  }
  wire::PingT ping;
  ping.seq = seq;
  ping.table = wide() ? rumours() : table_for(peer.connection, false);
  ping.digest = members.digest();
  ping.entry_digest = entry_table.digest();
  ping.revision = members.self.revision;
  ping.serial = members.self.serial;
  ping.ready = members.self.ready;
  post(peer.member.name, std::move(ping), out);
}

void Mesh::probe_done(std::uint64_t seq, Micros now) {
  std::map<std::uint64_t, Probe>::iterator const position = probes_.find(seq);
  if (position == probes_.end()) return;
  std::map<std::string, Peer>::iterator const who = members.peers.find(position->second.peer);
  if (who != members.peers.end()) who->second.refuse(false, now);
  probes_.erase(position);
}

void Mesh::probe_failed(std::string const& name, Micros now, ConnectionEffects& out) {
  std::map<std::string, Peer>::iterator const who = members.peers.find(name);
  if (who == members.peers.end()) return;
  Peer& peer = who->second;
  if (peer.state() == State::alive) {
    members.mark(peer, State::suspected, now);
  } else if (peer.state() == State::suspected) {
    members.mark(peer, State::down, now);
    if (peer.connection != 0) drop(peer.connection, now, out);
  } else {
    return;
  }
  find_member(peer.member, out);
}

// Asks up to three other members to probe one that did not answer; false when there is nobody to ask.
bool Mesh::probe_through_others(std::string const& name, std::uint64_t seq, ConnectionEffects& out) {
  std::vector<std::string> helpers;
  for (std::pair<std::string const, Peer> const& item : members.peers)
    if (item.first != name && item.second.connection != 0 && item.second.state() == State::alive)
      helpers.push_back(item.first);
  int asked = 0;
  while (!helpers.empty() && asked < indirect_probes) {
    std::size_t const pick = random_.below(helpers.size());
    wire::IndirectPingT request_id;
    request_id.seq = seq;
    request_id.target = name;
    post(helpers[pick], std::move(request_id), out);
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(pick));
    ++asked;
  }
  return asked > 0;
}

// Probes that were not answered in time: a direct one is repeated through others, an indirect one has failed.
void Mesh::end_overdue_probes(Micros now, ConnectionEffects& out) {
  for (std::map<std::uint64_t, Probe>::iterator it = probes_.begin(); it != probes_.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    std::string const name = it->second.peer;
    if (!it->second.indirect) {
      it->second.indirect = true;
      it->second.due = now + plan_.probe;
      // §3.4: a connection that stayed silent through a direct probe is given up and dialled anew, while others ask
      // too.
      std::map<std::string, Peer>::const_iterator const who = members.peers.find(name);
      if (who != members.peers.end() && who->second.connection != 0 &&
          now - connections_[who->second.connection].heard > plan_.quiet)
        drop(who->second.connection, now, out);
      if (probe_through_others(name, it->first, out)) {
        ++it;
        continue;
      }
    }
    it = probes_.erase(it);
    probe_failed(name, now, out);
  }
  for (std::map<std::uint64_t, Relay>::iterator it = relays_.begin(); it != relays_.end();)
    it = now >= it->second.due ? relays_.erase(it) : std::next(it);
}

// One round: a probe of one member by chance and of each suspected one, entries sent again, and old things forgotten.
void Mesh::run_round(Micros now, ConnectionEffects& out) {
  next_round_ = now + plan_.round;
  std::vector<Peer*> alive;
  for (std::pair<std::string const, Peer>& item : members.peers) {
    State const state = item.second.state();
    if (state == State::alive) alive.push_back(&item.second);
    if (state == State::suspected) probe(item.second, now, out);
  }
  if (!alive.empty()) probe(*alive[random_.below(alive.size())], now, out);
  // What was not acked within a round goes again; where many are told, after three.
  if (!wide() || ++rounds_ % 3 == 0) flush_entries(out, true);
  members.forget(now, plan_.forget);
  entry_table.forget(now, plan_.forget);
  std::vector<ConnectionId> stale;
  for (std::pair<ConnectionId const, Connection> const& item : connections_) {
    bool const mute = item.second.peer.empty() && now - item.second.opened > seconds(5);
    if (mute || now - item.second.heard > plan_.idle) stale.push_back(item.first);
  }
  for (ConnectionId const id : stale) drop(id, now, out);
}

void Mesh::tick(Micros now, ConnectionEffects& out) {
  end_overdue_probes(now, out);
  Micros const quiet = quiet_span();
  for (std::pair<std::string const, Peer>& item : members.peers)
    if (item.second.connection != 0 && item.second.state() == State::alive &&
        now - connections_[item.second.connection].heard > quiet)
      probe(item.second, now, out);
  if (now >= next_round_) run_round(now, out);
  dials(now, out);
}

}  // namespace pipit
