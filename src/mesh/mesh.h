// The mesh of a node: membership, connections and replicated entries, put together (§3).
//
// Job: passes events of connections, frames and ticks to the classes that handle them, in a fixed order.
// State: those classes; when the next round is due; keys of entries that peers changed.
// Thread: the node's loop only; nothing blocks.
// Invariant: all effects are appended to the caller's ConnectionEffects in the order in which they are to be done.
#pragma once
#include <string>
#include <vector>

#include "base/random.h"
#include "mesh/anti_entropy.h"
#include "mesh/connections/connection_table.h"
#include "mesh/effects.h"
#include "mesh/entries/entry_replication.h"
#include "mesh/entries/entry_table.h"
#include "mesh/frame.h"
#include "mesh/membership/failure_detector.h"
#include "mesh/membership/gossip.h"
#include "mesh/membership/member_table.h"
#include "mesh/mesh_settings.h"

namespace pipit {

class Mesh {
 public:
  Mesh(MeshSettings settings, wire::MemberT const& self, std::uint64_t seed);
  Mesh(Mesh const&) = delete;
  Mesh& operator=(Mesh const&) = delete;

  void tick(Micros now, ConnectionEffects& out);
  // 'address' is the one that was dialled; it is empty for an inbound connection.
  void connection_opened(ConnectionId id, bool outbound, std::string const& address, Micros now,
                         ConnectionEffects& out);
  void connection_closed(ConnectionId id, Micros now, ConnectionEffects& out);
  // 'refused': the address answered that nobody listens there.
  void dial_failed(std::string const& address, bool refused, Micros now, ConnectionEffects& out);

  // Handles the mesh's own frames. For any other it returns the sender's name, for the node to handle; else an empty
  // string.
  std::string handle_frame(ConnectionId id, wire::FrameT& frame, Micros now, ConnectionEffects& out);

  // Sends a message to a peer; false when it has no connection.
  template <class T>
  bool send(std::string const& peer, T&& body, ConnectionEffects& out) {
    return connections_.send(peer, std::forward<T>(body), out);
  }

  // This node's own record changed: it is broadcast with a higher bump.
  void announce_self(ConnectionEffects& out);
  // Announces that this node stops.
  void leave(ConnectionEffects& out);
  // Writes an entry as this node and queues it for all peers; false when it says nothing new.
  bool put_entry(wire::EntryT entry, Micros now);
  // Sends queued entries without waiting for the round; with 'resend' also those that were not acknowledged.
  void flush_entries(ConnectionEffects& out, bool resend = false);

  // Replaces the seeds; those that stay keep their backoff.
  void set_seeds(std::vector<std::string> const& addresses) { connections_.set_seeds(addresses); }

  // More members than can all send everything to everybody (§3.6).
  bool is_large_fleet() const { return settings_.is_large_fleet(members.peers.size()); }
  // The latest time at which at least half of all members that may be serving had been heard; -1 when half of them have
  // no connection here (§4.3).
  Micros last_contact_with_half(Micros now) const { return connections_.last_contact_with_half(now); }
  // The zone of a connection's peer; empty before it greeted.
  std::string zone_of(ConnectionId id) const { return connections_.zone_of(id); }
  std::uint64_t open_connections() const { return connections_.size(); }

  MemberTable members;
  EntryTable entry_table;
  EntryReplication entry_replication;
  std::vector<std::string> updated_entry_keys;  // of entries that peers brought since the node last took them
  std::uint64_t frames_received = 0;

 private:
  void run_round(Micros now, ConnectionEffects& out);
  bool is_acceptable(wire::HelloT const& hello) const;
  void handle_hello(ConnectionId id, wire::HelloT const& hello, Micros now, ConnectionEffects& out);
  void handle_ping(ConnectionId id, std::string const& from, wire::PingT const& ping, Micros now,
                   ConnectionEffects& out);
  void handle_pong(std::string const& from, wire::PongT const& pong, Micros now, ConnectionEffects& out);
  void handle_entries(ConnectionId id, std::string const& from, wire::EntriesT const& batch, Micros now,
                      ConnectionEffects& out);
  void enqueue_entries_for(std::string const& name, wire::HelloT const& hello);
  void repair_entries(std::string const& peer, std::uint64_t peer_digest, Micros now, ConnectionEffects& out);

  MeshSettings const settings_;
  RandomSource random_;
  ConnectionTable connections_;
  MembershipGossip gossip_;
  FailureDetector failure_detector_;
  AntiEntropyLimiter member_repair_;
  AntiEntropyLimiter entry_repair_;
  Micros next_round_ = 0;
  std::uint64_t rounds_ = 0;
};

}  // namespace pipit
