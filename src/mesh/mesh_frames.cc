// The mesh's frame handlers, one for each message type (§3.2 to §3.6).
#include "base/events.h"
#include "mesh/mesh.h"

namespace pipit {

std::string Mesh::handle_frame(ConnectionId id, wire::FrameT& frame, Micros now, ConnectionEffects& out) {
  Connection* const connection = connections_.find(id);
  if (connection == nullptr) return "";
  ++frames_received;
  connection->last_received = now;
  std::string const from = connection->peer;
  if (wire::HelloT const* const hello = frame.body.AsHello()) {
    if (from.empty()) handle_hello(id, *hello, now, out);
    return "";
  }
  if (from.empty()) {
    log_event(Event::malformed_frame, "frame received before the peer's Hello");
    connections_.close(id, now, out);
    return "";
  }
  switch (frame.body.type) {
    case wire::Body::Ping:
      handle_ping(id, from, *frame.body.AsPing(), now, out);
      return "";
    case wire::Body::Pong:
      handle_pong(from, *frame.body.AsPong(), now, out);
      return "";
    case wire::Body::IndirectPing:
      failure_detector_.handle_indirect_ping(id, *frame.body.AsIndirectPing(), now, out);
      return "";
    case wire::Body::IndirectPong:
      failure_detector_.handle_indirect_pong(*frame.body.AsIndirectPong(), now);
      return "";
    case wire::Body::MembershipUpdate:
      gossip_.merge(frame.body.AsMembershipUpdate()->table, now, out);
      return "";
    case wire::Body::Entries:
      handle_entries(id, from, *frame.body.AsEntries(), now, out);
      return "";
    case wire::Body::EntriesAck:
      entry_replication.acknowledge(from, frame.body.AsEntriesAck()->batch);
      return "";
    default:
      return from;
  }
}

// Whether a Hello comes from another node of this cluster that uses the same version of the frame format.
bool Mesh::is_acceptable(wire::HelloT const& hello) const {
  if (hello.format != frame_format_version) {
    log_event(Event::foreign_cluster, "frame format version " + std::to_string(hello.format));
    return false;
  }
  if (hello.cluster != settings_.cluster || !hello.self || hello.self->name.empty() ||
      hello.self->name == members.self.name) {
    log_event(Event::foreign_cluster, hello.cluster);
    return false;
  }
  return true;
}

void Mesh::handle_hello(ConnectionId id, wire::HelloT const& hello, Micros now, ConnectionEffects& out) {
  if (!is_acceptable(hello)) return connections_.close(id, now, out);
  std::string const& name = hello.self->name;
  Connection& connection = *connections_.find(id);
  connection.peer = name;
  connection.peer_incarnation = hello.self->incarnation;
  members.clear_eviction(name);
  if (members.merge(*hello.self, now) == MemberTable::MergeResult::changed) gossip_.disseminate(*hello.self, out);
  Peer& peer = members.peers.at(name);
  peer.set_dial_refused(false, now);
  if (!connections_.bind(id, peer, now, out)) return;
  failure_detector_.handle_hello(name);
  entry_replication.add_peer(name);
  enqueue_entries_for(name, hello);
  gossip_.answer_hello(id, hello, out);
  flush_entries(out);
}

// In a large fleet many nodes connect at the same time to a node that has just started or was partitioned off, and not
// all of them send it every entry: a node without any entry receives all of them from the peers that it connects to
// first, its seeds, and every other node sends the entries that it owns. Entries of owners that have left are repaired
// by digests.
void Mesh::enqueue_entries_for(std::string const& name, wire::HelloT const& hello) {
  if (!is_large_fleet() || hello.entries == 0) {
    entry_replication.enqueue_all(name);
  } else if (hello.entry_digest != entry_table.digest()) {
    entry_replication.enqueue_own(name);
  }
}

void Mesh::handle_ping(ConnectionId id, std::string const& from, wire::PingT const& ping, Micros now,
                       ConnectionEffects& out) {
  gossip_.merge(ping.table, now, out);
  members.update_status(from, ping.revision, ping.serial, ping.ready);
  wire::PongT pong;
  pong.seq = ping.seq;
  pong.digest = members.digest();
  pong.entry_digest = entry_table.digest();
  pong.revision = members.self.revision;
  pong.serial = members.self.serial;
  pong.ready = members.self.ready;
  // §3.6: in a large fleet a peer with a different digest is sent all records, and replies with all of its own.
  bool const repairs = is_large_fleet() && member_repair_.allow_exchange(pong.digest, ping.digest, now);
  pong.whole = !is_large_fleet() || repairs;
  pong.table = repairs ? members.records_since() : gossip_.records_for_ping(id);
  repair_entries(from, ping.entry_digest, now, out);
  out.outgoing_frames.push_back({id, encode_message(std::move(pong))});
}

void Mesh::handle_pong(std::string const& from, wire::PongT const& pong, Micros now, ConnectionEffects& out) {
  gossip_.merge(pong.table, now, out);
  members.update_status(from, pong.revision, pong.serial, pong.ready);
  if (is_large_fleet() && pong.whole && pong.digest != members.digest()) {
    wire::MembershipUpdateT update;
    update.table = members.records_since();
    send(from, std::move(update), out);
  }
  repair_entries(from, pong.entry_digest, now, out);
  failure_detector_.handle_pong(from, pong, now, out);
}

void Mesh::handle_entries(ConnectionId id, std::string const& from, wire::EntriesT const& batch, Micros now,
                          ConnectionEffects& out) {
  bool sender_is_behind = false;
  for (std::unique_ptr<wire::EntryT> const& entry : batch.list) {
    if (entry_table.merge(*entry, now)) {
      entry_replication.enqueue_forwarded(from, *entry);
      updated_entry_keys.push_back(entry->key);
    } else if (entry_table.holds_newer(*entry)) {
      entry_replication.enqueue_one(from, entry->key);
      sender_is_behind = true;
    }
  }
  // The sender must not take its entry for replicated here: the newer one reaches it before the acknowledgement does.
  if (sender_is_behind) send_pending_entries(from, false, out);
  wire::EntriesAckT ack;
  ack.batch = batch.batch;
  out.outgoing_frames.push_back({id, encode_message(std::move(ack))});
  if (!updated_entry_keys.empty()) flush_entries(out);
}

// In a large fleet all entries are sent again to a peer whose digest differs, since it may lack some of them.
void Mesh::repair_entries(std::string const& peer, std::uint64_t peer_digest, Micros now, ConnectionEffects& out) {
  if (!is_large_fleet() || !entry_repair_.allow_exchange(entry_table.digest(), peer_digest, now)) return;
  entry_replication.enqueue_all(peer);
  wire::EntriesT batch = entry_replication.next_batch(peer, false);
  if (!batch.list.empty()) send(peer, std::move(batch), out);
}

}  // namespace pipit
