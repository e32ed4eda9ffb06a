#include "mesh/mesh.h"

#include "base/events.h"

namespace pipit {

namespace {
constexpr std::uint64_t large_fleet_resend_rounds = 3;  // acknowledgements take longer than a round in a large fleet
}  // namespace

Mesh::Mesh(MeshSettings settings, wire::MemberT const& self, std::uint64_t seed)
    : members(self),
      entry_table(self.name, self.incarnation),
      entry_replication(entry_table),
      settings_(std::move(settings)),
      random_(seed),
      connections_(settings_, members, entry_replication),
      gossip_(settings_, members, connections_, random_),
      failure_detector_(settings_, members, entry_table, connections_, gossip_, random_) {}

void Mesh::tick(Micros now, ConnectionEffects& out) {
  failure_detector_.expire_probes(now, out);
  failure_detector_.probe_inactive(now, out);
  if (now >= next_round_) run_round(now, out);
  connections_.dial_missing(now, out);
}

void Mesh::run_round(Micros now, ConnectionEffects& out) {
  next_round_ = now + settings_.probe_interval;
  failure_detector_.probe_round(now, out);
  if (!is_large_fleet() || ++rounds_ % large_fleet_resend_rounds == 0) flush_entries(out, true);
  members.remove_expired(now, settings_.forget_after);
  entry_table.remove_expired(now, settings_.forget_after);
  connections_.close_idle(now, out);
}

void Mesh::connection_opened(ConnectionId id, bool outbound, std::string const& address, Micros now,
                             ConnectionEffects& out) {
  connections_.add(id, outbound, address, now);
  wire::HelloT hello;
  hello.digest = members.digest();
  hello.entry_digest = entry_table.digest();
  hello.cluster = settings_.cluster;
  hello.format = frame_format_version;
  hello.members = static_cast<std::uint32_t>(members.peers.size());
  hello.entries = static_cast<std::uint32_t>(entry_table.entries().size());
  hello.self = std::make_unique<wire::MemberT>(members.self);
  out.outgoing_frames.push_back({id, encode_message(std::move(hello))});
}

void Mesh::connection_closed(ConnectionId id, Micros now, ConnectionEffects& out) {
  std::string const name = connections_.remove(id, now);
  std::map<std::string, Peer>::iterator const position = members.peers.find(name);
  if (position == members.peers.end() || position->second.connection != 0) return;
  MemberState const state = position->second.state();
  if (state == MemberState::alive || state == MemberState::suspected)
    failure_detector_.probe(position->second, now, out);
}

void Mesh::dial_failed(std::string const& address, bool refused, Micros now, ConnectionEffects& out) {
  connections_.end_seed_dial(address);
  failure_detector_.dial_failed(address, refused, now, out);
}

void Mesh::announce_self(ConnectionEffects& out) {
  ++members.self.bump;
  gossip_.broadcast(members.self, out);
}

void Mesh::announce_departure(ConnectionEffects& out) {
  members.self.state = static_cast<std::uint8_t>(MemberState::leaving);
  announce_self(out);
}

bool Mesh::put_entry(wire::EntryT entry, Micros now) {
  std::string const key = entry.key;
  if (!entry_table.put(std::move(entry), now)) return false;
  entry_replication.enqueue_local(key);
  return true;
}

void Mesh::flush_entries(ConnectionEffects& out, bool resend) {
  for (std::pair<std::string const, Peer> const& item : members.peers) {
    if (item.second.connection != 0) send_pending_entries(item.first, resend, out);
  }
}

void Mesh::send_pending_entries(std::string const& peer, bool resend, ConnectionEffects& out) {
  wire::EntriesT batch = entry_replication.next_batch(peer, resend);
  while (!batch.list.empty()) {
    send(peer, std::move(batch), out);
    batch = entry_replication.next_batch(peer, false);
  }
}

}  // namespace pipit
