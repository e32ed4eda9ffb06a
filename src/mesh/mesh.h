// The mesh of a node, which combines membership, connections and replicated entries (§3).
//
// Job: dispatches connection events, frames and ticks to the classes that handle them, in a fixed order.
// State: those classes; the time of the next round; the keys of entries that peers changed.
// Thread: the node's loop only; no call blocks.
// Invariant: all effects are appended to the caller's ConnectionEffects in the order in which they are to be carried
// out.
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

// One node's mesh. All times are in microseconds on this node's clock.
class Mesh {
 public:
  // 'self' is this node's own record; 'seed' seeds the choice of random peers.
  Mesh(MeshSettings settings, wire::MemberT const& self, std::uint64_t seed);
  Mesh(Mesh const&) = delete;
  Mesh& operator=(Mesh const&) = delete;

  // Expires and sends probes, dials missing peers, and runs a round when one is due. Called several times per round.
  void tick(Micros now, ConnectionEffects& out);
  // A connection opened; this node sends its Hello. 'address' is the dialled address, empty for an inbound connection.
  void connection_opened(ConnectionId id, bool outbound, std::string const& address, Micros now,
                         ConnectionEffects& out);
  // A connection was closed by the peer or by an error.
  void connection_closed(ConnectionId id, Micros now, ConnectionEffects& out);
  // A dial failed; 'refused' when the connection was refused, so that no process listens at the address.
  void dial_failed(std::string const& address, bool refused, Micros now, ConnectionEffects& out);

  // Handles a frame that belongs to the mesh and returns an empty string. For any other frame it returns the sender's
  // name, and the node handles the frame.
  std::string handle_frame(ConnectionId id, wire::FrameT& frame, Micros now, ConnectionEffects& out);

  // Sends a message to a peer; false when it has no connection.
  template <class T>
  bool send(std::string const& peer, T&& body, ConnectionEffects& out) {
    return connections_.send(peer, std::forward<T>(body), out);
  }

  // Broadcasts this node's own record, after a change to it, with a higher bump.
  void announce_self(ConnectionEffects& out);
  // Broadcasts that this node is leaving because it is about to stop.
  void announce_departure(ConnectionEffects& out);
  // Writes an entry with this node as its owner and queues it for all peers; false when the entry did not change.
  bool put_entry(wire::EntryT entry, Micros now);
  // Sends queued entries without waiting for the next round; with 'resend' also those that were not acknowledged.
  void flush_entries(ConnectionEffects& out, bool resend = false);

  // Replaces the seed addresses; seeds that remain keep their backoff.
  void set_seeds(std::vector<std::string> const& addresses) { connections_.set_seeds(addresses); }

  // Whether the fleet is too large for all-to-all broadcasts (§3.6).
  bool is_large_fleet() const { return settings_.is_large_fleet(members.peers.size()); }
  // The latest time t such that at least half of all members that may be serving, this node included, sent it a frame
  // at t or later; -1 when more than half of them have no connection to this node (§4.3).
  Micros last_contact_with_half(Micros now) const { return connections_.last_contact_with_half(now); }
  // The zone of a connection's peer; empty before the peer's Hello.
  std::string zone_of(ConnectionId id) const { return connections_.zone_of(id); }
  // The number of open connections, including those on which no Hello was received yet.
  std::uint64_t open_connections() const { return connections_.size(); }

  MemberTable members;
  EntryTable entry_table;
  EntryReplication entry_replication;
  std::vector<std::string> updated_entry_keys;  // of entries that peers changed; the node processes and clears them
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
  // Queues the entries that a peer lacks according to its Hello.
  void enqueue_entries_for(std::string const& name, wire::HelloT const& hello);
  // Sends the entries that are queued for one peer; with 'resend' also those that were not acknowledged.
  void send_pending_entries(std::string const& peer, bool resend, ConnectionEffects& out);
  // Resends all entries to a peer whose digest differs, at a limited rate; only in a large fleet.
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
