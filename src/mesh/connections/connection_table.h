// The connections to peers, and the dials that establish missing ones (§3.2).
//
// Job: keeps one connection for each pair of nodes, dials peers and seeds with backoff, and sends frames to peers.
// State: the open connections, and the seeds with their backoff. A peer's backoff and the id of its connection are in
// its record in the member table.
// Thread: the node's loop only.
// Invariants: a peer's 'connection' is 0 or an open connection on which a Hello with the peer's name was received;
// entries are queued for a peer exactly while it has a connection.
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
  std::string peer;       // the peer's name; empty before its Hello
  bool outbound = false;  // dialled by this node
  std::string address;    // the dialled address; empty for an inbound connection
  Micros opened_at = 0;
  Micros last_received = 0;            // the time of the last received frame, or of the opening
  std::uint64_t peer_incarnation = 0;  // the peer's incarnation in its Hello
  std::uint64_t sent_version = 0;      // the member table's version when it was last sent on this connection
};

// The references passed to the constructor must outlive the object.
class ConnectionTable {
 public:
  ConnectionTable(MeshSettings const& settings, MemberTable& members, EntryReplication& replication);

  // Replaces the seed addresses; seeds that remain keep their backoff. This node's own address is left out.
  void set_seeds(std::vector<std::string> const& addresses);

  // Adds an open connection, on which the peer's Hello is still to come.
  void add(ConnectionId id, bool outbound, std::string const& address, Micros now);
  // Removes a connection that the peer or an error closed. Returns the name of its peer; empty if it is unknown.
  std::string remove(ConnectionId id, Micros now);
  // Closes a connection from this side.
  void close(ConnectionId id, Micros now, ConnectionEffects& out);
  // Closes connections without a Hello within the timeout, and those that received nothing for the idle timeout.
  void close_idle(Micros now, ConnectionEffects& out);
  // Binds a connection to the peer that sent its Hello on it. If the peer has another connection, one of the two is
  // closed; false when it is this one.
  bool bind(ConnectionId id, Peer& peer, Micros now, ConnectionEffects& out);

  // Dials a peer, unless it is connected, is being dialled, or its backoff has not expired.
  void dial(Peer& peer, Micros now, ConnectionEffects& out);
  // Dials every disconnected peer and seed whose backoff has expired.
  void dial_missing(Micros now, ConnectionEffects& out);
  // Records that the dial of an address ended, with or without a connection, so that a seed there may be dialled again.
  void end_seed_dial(std::string const& address);

  // Sends a message to a peer; false when it has no connection.
  template <class T>
  bool send(std::string const& peer, T&& body, ConnectionEffects& out) const {
    std::map<std::string, Peer>::const_iterator const position = members_.peers.find(peer);
    if (position == members_.peers.end() || position->second.connection == 0) return false;
    out.outgoing_frames.push_back({position->second.connection, encode_message(std::forward<T>(body))});
    return true;
  }

  // The connection; null if it is not open. Owned by the table.
  Connection* find(ConnectionId id);
  bool is_open(ConnectionId id) const { return connections_.count(id) > 0; }
  std::size_t size() const { return connections_.size(); }
  // The time of the last frame received on the connection; 0 if it is not open.
  Micros last_received(ConnectionId id) const;
  // The zone of a connection's peer; empty before the peer's Hello.
  std::string zone_of(ConnectionId id) const;
  // The latest time t such that at least half of all members that may be serving, this node included, sent it a frame
  // at t or later; -1 when more than half of them have no connection to this node (§4.3).
  Micros last_contact_with_half(Micros now) const;

 private:
  struct Seed {
    std::string address;
    Micros next_dial = 0;
    Micros dial_backoff = 0;
    bool dialling = false;
  };

  // Closes a connection without the effects on its peer's record that remove() has.
  void drop_duplicate(ConnectionId id, ConnectionEffects& out);
  // Closes one of a peer's two connections; false when it is the new one, 'id'.
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
