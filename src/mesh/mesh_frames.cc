// The mesh: what it does with a frame of a peer (§3.2 to §3.6).
#include <algorithm>

#include "base/events.h"
#include "mesh/mesh.h"

namespace pipit {

std::string Mesh::frame(ConnectionId id, wire::FrameT& frame, Micros now, ConnectionEffects& out) {
  std::map<ConnectionId, Connection>::iterator const position = connections_.find(id);
  if (position == connections_.end()) return "";
  ++frames_in;
  position->second.heard = now;
  if (wire::HelloT const* const hello = frame.body.AsHello()) {
    if (position->second.peer.empty()) greet(id, *hello, now, out);
    return "";
  }
  std::string const name = position->second.peer;
  if (name.empty()) {
    log_event(Event::malformed_frame, "a frame before the greeting");
    drop(id, now, out);
    return "";
  }
  switch (frame.body.type) {
    case wire::Body::Ping: {
      wire::PingT const& ping = *frame.body.AsPing();
      take_table(ping.table, now, out);
      heard(name, ping.revision, ping.serial, ping.ready);
      wire::PongT pong;
      pong.seq = ping.seq;
      pong.digest = members.digest();
      pong.entry_digest = entry_table.digest();
      pong.revision = members.self.revision;
      pong.serial = members.self.serial;
      pong.ready = members.self.ready;
      // §3.6: whoever knows something else is told everything, and answers with what it knows besides.
      pong.whole = !wide() || table_repair_.due(pong.digest, ping.digest, now);
      pong.table = !wide() ? table_for(id, false) : pong.whole ? members.table() : rumours();
      repair_entries(name, ping.entry_digest, now, out);
      out.sends.push_back({id, encode_body(std::move(pong))});
      return "";
    }
    case wire::Body::Pong: {
      wire::PongT const& pong = *frame.body.AsPong();
      take_table(pong.table, now, out);
      heard(name, pong.revision, pong.serial, pong.ready);
      if (wide() && pong.whole && pong.digest != members.digest()) {
        wire::MembershipUpdateT update;
        update.table = members.table();
        post(name, std::move(update), out);
      }
      repair_entries(name, pong.entry_digest, now, out);
      probe_done(pong.seq, now);
      std::map<std::uint64_t, Relay>::iterator const relay = relays_.find(pong.seq);
      if (relay != relays_.end()) {
        wire::IndirectPongT res;
        res.seq = relay->second.seq;
        res.target = name;
        res.ok = true;
        if (connections_.count(relay->second.asker))
          out.sends.push_back({relay->second.asker, encode_body(std::move(res))});
        relays_.erase(relay);
      }
      return "";
    }
    case wire::Body::IndirectPing: {
      wire::IndirectPingT const& request_id = *frame.body.AsIndirectPing();
      std::map<std::string, Peer>::const_iterator const target = members.peers.find(request_id.target);
      if (target == members.peers.end() || target->second.connection == 0) return "";
      std::uint64_t const seq = ++next_seq_;
      wire::PingT ping;
      ping.seq = seq;
      ping.table = wide() ? rumours() : table_for(target->second.connection, false);
      ping.digest = members.digest();
      ping.entry_digest = entry_table.digest();
      ping.revision = members.self.revision;
      ping.serial = members.self.serial;
      ping.ready = members.self.ready;
      if (post(request_id.target, std::move(ping), out)) relays_[seq] = Relay{id, request_id.seq, now + plan_.probe};
      return "";
    }
    case wire::Body::IndirectPong: {
      wire::IndirectPongT const& res = *frame.body.AsIndirectPong();
      if (res.ok) probe_done(res.seq, now);
      return "";
    }
    case wire::Body::MembershipUpdate:
      take_table(frame.body.AsMembershipUpdate()->table, now, out);
      return "";
    case wire::Body::Entries: {
      wire::EntriesT const& list = *frame.body.AsEntries();
      for (std::unique_ptr<wire::EntryT> const& item : list.list)
        if (entry_table.merge(name, *item, now)) fresh.push_back(item->key);
      wire::EntriesAckT ack;
      ack.batch = list.batch;
      out.sends.push_back({id, encode_body(std::move(ack))});
      if (!fresh.empty()) flush_entries(out);
      return "";
    }
    case wire::Body::EntriesAck:
      entry_table.acked(name, frame.body.AsEntriesAck()->batch);
      return "";
    default:
      return name;
  }
}

}  // namespace pipit
