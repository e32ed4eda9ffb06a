// Dissemination of member records: broadcast, gossip, and records piggybacked on pings and pongs (§3.3, §3.6).
//
// Job: decides which records are sent to which peers, and merges the records that peers send.
// State: in a large fleet, the members whose records are piggybacked, each with its number of remaining sends; the
// number of tables that were sent with pings and pongs.
// Thread: the node's loop only.
// Invariant: in a small fleet every change reaches a connected peer at once or with the next ping; in a large fleet a
// node broadcasts only its own record.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "mesh/connections/connection_table.h"

namespace pipit {

// Records of members in the form in which they are sent.
using MemberRecords = std::vector<std::unique_ptr<wire::MemberT>>;

// The references passed to the constructor must outlive the object.
class MembershipGossip {
 public:
  MembershipGossip(MeshSettings const& settings, MemberTable& members, ConnectionTable& connections,
                   RandomSource& random)
      : settings_(settings), members_(members), connections_(connections), random_(random) {}

  // Sends a record to all connected peers.
  void broadcast(wire::MemberT const& record, ConnectionEffects& out);
  // Disseminates a record of another member after this node changed its state: to all connected peers, or in a large
  // fleet to some of them at once and to the rest piggybacked on pings.
  void disseminate(wire::MemberT const& record, ConnectionEffects& out);
  // The records to send with a ping or pong on a connection: those that changed since the last ones sent on it, and
  // periodically all; in a large fleet the piggybacked ones.
  MemberRecords records_for_ping(ConnectionId id);
  // The records to piggyback on the next message, at most twelve; each returned record has one remaining send less.
  MemberRecords next_piggybacked_records();
  // Answers a peer's Hello with the records that it may lack, including its own record as known here, which the peer
  // refutes if it is wrong (§3.3).
  void answer_hello(ConnectionId id, wire::HelloT const& hello, ConnectionEffects& out);
  // Merges records that a peer sent, and closes connections to previous incarnations of members.
  void merge(MemberRecords const& records, Micros now, ConnectionEffects& out);

 private:
  bool is_large_fleet() const { return settings_.is_large_fleet(members_.peers.size()); }
  MemberRecords records_for(ConnectionId id, bool all);

  MeshSettings const& settings_;
  MemberTable& members_;
  ConnectionTable& connections_;
  RandomSource& random_;
  std::uint64_t ping_tables_sent_ = 0;
  std::map<std::string, int> piggybacked_;  // remaining sends of a member's record, by the member's name
};

}  // namespace pipit
