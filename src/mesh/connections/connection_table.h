// The connections to peers, and the dialling of those that are missing (§3.2).
//
// Job: keeps one connection for each pair of nodes, dials peers and seeds with backoff, and sends frames to peers.
// State: the open connections, and the seeds with their backoff. A peer's backoff and the number of its connection are
// in its record in the member table.
// Thread: the node's loop only.
// Invariants: a peer's 'connection' is 0 or an open connection that greeted with the peer's name; entries are queued
// for a peer exactly while it has a connection.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "mesh/effects.h"
#include "mesh/entries/entry_replication.h"
#include "mesh/frame.h"
#include "mesh/membership/member_table.h"
#include "mesh/mesh_settings.h"

namespace pipit {

// One open connection. Times are in microseconds.
struct Connection {
  std::string peer;  // its name; empty before it greeted
  bool outbound = false;
  std::string address;  // the one that was dialled; empty for an inbound connection
  Micros opened_at = 0;
  Micros last_received = 0;
  std::uint64_t peer_incarnation = 0;  // the peer's incarnation when it greeted
  std::uint64_t sent_version = 0;      // the member table's version when it was last sent on this connection
};

class ConnectionTable {
 public:
  ConnectionTable(MeshSettings const& settings, MemberTable& members, EntryReplication& replication);

  // Replaces the seeds; those that stay keep their backoff.
  void set_seeds(std::vector<std::string> const& addresses);

  void add(ConnectionId id, bool outbound, std::string const& address, Micros now);
  // A connection ended by itself. Returns the name of its peer; empty when there was none.
  std::string remove(ConnectionId id, Micros now);
  // Closes a connection from this side.
  void close(ConnectionId id, Micros now, ConnectionEffects& out);
  // Closes connections that did not greet in time, and those that were silent for too long.
  void close_idle(Micros now, ConnectionEffects& out);
  // Makes a connection that greeted the peer's; of two connections one is closed. False when this one was closed.
  bool bind(ConnectionId id, Peer& peer, Micros now, ConnectionEffects& out);

  // Dials a peer, unless it is connected, being dialled or within its backoff.
  void dial(Peer& peer, Micros now, ConnectionEffects& out);
  // Dials every peer and seed that is due.
  void dial_missing(Micros now, ConnectionEffects& out);
  // A dial ended, with a connection or without: the seed of that address may be dialled again.
  void end_seed_dial(std::string const& address);

  // Sends a message to a peer; false when it has no connection.
  template <class T>
  bool send(std::string const& peer, T&& body, ConnectionEffects& out) const {
    std::map<std::string, Peer>::const_iterator const position = members_.peers.find(peer);
    if (position == members_.peers.end() || position->second.connection == 0) return false;
    out.outgoing_frames.push_back({position->second.connection, encode_message(std::forward<T>(body))});
    return true;
  }

  // Null for a connection that is not open.
  Connection* find(ConnectionId id);
  bool is_open(ConnectionId id) const { return connections_.count(id) > 0; }
  std::size_t size() const { return connections_.size(); }
  // When the connection last brought a frame; 0 for one that is not open.
  Micros last_received(ConnectionId id) const;
  // The zone of a connection's peer; empty before it greeted.
  std::string zone_of(ConnectionId id) const;
  // The latest time at which at least half of all members that may be serving, this node with them, had been heard; -1
  // when half of them have no connection here (§4.3).
  Micros last_contact_with_half(Micros now) const;

 private:
  struct Seed {
    std::string address;
    Micros next_dial = 0;
    Micros dial_backoff = 0;
    bool dialling = false;
  };

  void drop_duplicate(ConnectionId id, ConnectionEffects& out);
  bool resolve_duplicate(ConnectionId id, Peer& peer, Micros now, ConnectionEffects& out);
  Micros max_peer_backoff() const;
  bool is_seed_reachable(std::string const& address) const;
  void dial_seeds(Micros now, ConnectionEffects& out);

  MeshSettings const& settings_;
  MemberTable& members_;
  EntryReplication& replication_;
  std::map<ConnectionId, Connection> connections_;
  std::vector<Seed> seeds_;
};

}  // namespace pipit
