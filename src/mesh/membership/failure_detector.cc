#include "mesh/membership/failure_detector.h"

#include <algorithm>
#include <vector>

namespace pipit {

namespace {
constexpr int indirect_probe_limit = 3;  // members that probe one that did not answer a direct probe
constexpr Micros inactivity_per_peer =
    millis(200);  // in a large fleet, so that inactive connections are probed in turn
constexpr Micros inactivity_check_interval = millis(200);  // in a large fleet, as a check visits every member
}  // namespace

Micros FailureDetector::inactivity_limit() const {
  std::size_t const peers = members_.peers.size();
  if (!settings_.is_large_fleet(peers)) return settings_.inactivity_limit;
  return std::max(settings_.inactivity_limit, static_cast<Micros>(peers) * inactivity_per_peer);
}

wire::PingT FailureDetector::make_ping(std::uint64_t seq, ConnectionId id) {
  wire::PingT ping;
  ping.seq = seq;
  ping.table = gossip_.records_for_ping(id);
  ping.digest = members_.digest();
  ping.entry_digest = entries_.digest();
  ping.revision = members_.self.revision;
  ping.serial = members_.self.serial;
  ping.ready = members_.self.ready;
  return ping;
}

void FailureDetector::probe(Peer& peer, Micros now, ConnectionEffects& out) {
  for (std::pair<std::uint64_t const, Probe> const& item : probes_)
    if (item.second.peer == peer.member.name) return;
  std::uint64_t const seq = ++last_seq_;
  probes_[seq] = Probe{peer.member.name, false, now + settings_.probe_timeout};
  if (peer.connection == 0)
    connections_.dial(peer, now, out);
  else
    connections_.send(peer.member.name, make_ping(seq, peer.connection), out);
}

void FailureDetector::probe_round(Micros now, ConnectionEffects& out) {
  std::vector<Peer*> alive;
  for (std::pair<std::string const, Peer>& item : members_.peers) {
    MemberState const state = item.second.state();
    if (state == MemberState::alive) alive.push_back(&item.second);
    if (state == MemberState::suspected) probe(item.second, now, out);
  }
  if (!alive.empty()) probe(*alive[random_.below(alive.size())], now, out);
}

void FailureDetector::probe_inactive(Micros now, ConnectionEffects& out) {
  if (now < next_inactivity_check_) return;
  bool const large = settings_.is_large_fleet(members_.peers.size());
  Micros const interval = large ? inactivity_check_interval : 0;
  next_inactivity_check_ = now + interval;
  Micros const limit = inactivity_limit() - interval;  // a connection is inactive for longer before the next check
  for (std::pair<std::string const, Peer>& item : members_.peers) {
    Peer& peer = item.second;
    if (peer.connection == 0 || peer.state() != MemberState::alive) continue;
    if (now - connections_.last_received(peer.connection) > limit) probe(peer, now, out);
  }
}

// Requests a few other members to probe one that did not answer; false when no other member is available.
bool FailureDetector::probe_indirectly(std::string const& name, std::uint64_t seq, ConnectionEffects& out) {
  std::vector<std::string> candidates;
  for (std::pair<std::string const, Peer> const& item : members_.peers)
    if (item.first != name && item.second.connection != 0 && item.second.state() == MemberState::alive)
      candidates.push_back(item.first);
  int asked = 0;
  while (!candidates.empty() && asked < indirect_probe_limit) {
    std::size_t const pick = random_.below(candidates.size());
    wire::IndirectPingT request;
    request.seq = seq;
    request.target = name;
    connections_.send(candidates[pick], std::move(request), out);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(pick));
    ++asked;
  }
  return asked > 0;
}

// §3.4: a connection that stayed inactive during a direct probe is closed and dialled again, while other members probe
// the member as well.
void FailureDetector::close_inactive_connection(std::string const& name, Micros now, ConnectionEffects& out) {
  std::map<std::string, Peer>::const_iterator const position = members_.peers.find(name);
  if (position == members_.peers.end() || position->second.connection == 0) return;
  ConnectionId const id = position->second.connection;
  if (now - connections_.last_received(id) > settings_.inactivity_limit) connections_.close(id, now, out);
}

void FailureDetector::expire_probes(Micros now, ConnectionEffects& out) {
  for (std::map<std::uint64_t, Probe>::iterator it = probes_.begin(); it != probes_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    std::string const name = it->second.peer;
    if (!it->second.indirect) {
      it->second.indirect = true;
      it->second.deadline = now + settings_.probe_timeout;
      close_inactive_connection(name, now, out);
      if (probe_indirectly(name, it->first, out)) {
        ++it;
        continue;
      }
    }
    it = probes_.erase(it);
    fail_probe(name, now, out);
  }
  std::erase_if(relayed_, [now](std::pair<std::uint64_t const, RelayedProbe> const& item) {
    return now >= item.second.deadline;
  });
}

void FailureDetector::complete_probe(std::uint64_t seq, Micros now) {
  std::map<std::uint64_t, Probe>::iterator const position = probes_.find(seq);
  if (position == probes_.end()) return;
  std::map<std::string, Peer>::iterator const peer = members_.peers.find(position->second.peer);
  if (peer != members_.peers.end()) peer->second.set_dial_refused(false, now);
  probes_.erase(position);
}

void FailureDetector::fail_probe(std::string const& name, Micros now, ConnectionEffects& out) {
  std::map<std::string, Peer>::iterator const position = members_.peers.find(name);
  if (position == members_.peers.end()) return;
  Peer& peer = position->second;
  if (peer.state() == MemberState::alive) {
    members_.set_state(peer, MemberState::suspected, now);
  } else if (peer.state() == MemberState::suspected) {
    members_.set_state(peer, MemberState::down, now);
    if (peer.connection != 0) connections_.close(peer.connection, now, out);
  } else {
    return;
  }
  gossip_.disseminate(peer.member, out);
}

void FailureDetector::cancel_probes(std::string const& name) {
  std::erase_if(probes_,
                [&name](std::pair<std::uint64_t const, Probe> const& item) { return item.second.peer == name; });
}

void FailureDetector::handle_pong(std::string const& from, wire::PongT const& pong, Micros now,
                                  ConnectionEffects& out) {
  complete_probe(pong.seq, now);
  std::map<std::uint64_t, RelayedProbe>::iterator const relayed = relayed_.find(pong.seq);
  if (relayed == relayed_.end()) return;
  ConnectionId const requester = relayed->second.requester;
  if (connections_.is_open(requester)) {
    wire::IndirectPongT reply;
    reply.seq = relayed->second.requester_seq;
    reply.target = from;
    reply.ok = true;
    out.outgoing_frames.push_back({requester, encode_message(std::move(reply))});
  }
  relayed_.erase(relayed);
}

void FailureDetector::handle_indirect_ping(ConnectionId id, wire::IndirectPingT const& request, Micros now,
                                           ConnectionEffects& out) {
  std::map<std::string, Peer>::const_iterator const target = members_.peers.find(request.target);
  if (target == members_.peers.end() || target->second.connection == 0) return;
  std::uint64_t const seq = ++last_seq_;
  if (connections_.send(request.target, make_ping(seq, target->second.connection), out))
    relayed_[seq] = RelayedProbe{id, request.seq, now + settings_.probe_timeout};
}

void FailureDetector::handle_indirect_pong(wire::IndirectPongT const& reply, Micros now) {
  if (reply.ok) complete_probe(reply.seq, now);
}

void FailureDetector::dial_failed(std::string const& address, bool refused, Micros now, ConnectionEffects& out) {
  for (std::pair<std::string const, Peer>& item : members_.peers) {
    Peer& peer = item.second;
    if (peer.member.address != address) continue;
    peer.dialling = false;
    if (peer.connection != 0) continue;
    peer.set_dial_refused(refused, now);
    if (!refused || (peer.state() != MemberState::alive && peer.state() != MemberState::suspected)) continue;
    cancel_probes(item.first);
    fail_probe(item.first, now, out);
  }
}

}  // namespace pipit
