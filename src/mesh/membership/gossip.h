// Dissemination of member records: broadcast, gossip, and records piggybacked on pings and pongs (§3.3, §3.6).
//
// Job: decides which records go to whom, and merges those that peers send.
// State: in a large fleet, the members whose records are piggybacked, each with how often it still is; a count of the
// tables that were sent with pings.
// Thread: the node's loop only.
// Invariant: in a small fleet every change reaches a connected peer at once or with the next ping; in a large one a
// node broadcasts only its own record.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "mesh/connections/connection_table.h"

namespace pipit {

using MemberRecords = std::vector<std::unique_ptr<wire::MemberT>>;

class MembershipGossip {
 public:
  MembershipGossip(MeshSettings const& settings, MemberTable& members, ConnectionTable& connections,
                   RandomSource& random)
      : settings_(settings), members_(members), connections_(connections), random_(random) {}

  // Sends a record to all connected peers.
  void broadcast(wire::MemberT const& record, ConnectionEffects& out);
  // Spreads what this node found out about another: to all, or in a large fleet to some and to the rest with pings.
  void disseminate(wire::MemberT const& record, ConnectionEffects& out);
  // The records for a ping or pong on a connection: what changed since the last ones on it, now and then all; in a
  // large fleet those that are piggybacked.
  MemberRecords records_for_ping(ConnectionId id);
  // The piggybacked records, at most twelve; each call uses up one of their turns.
  MemberRecords next_piggybacked_records();
  // Answers a peer's greeting with what it may not know; it contradicts what is wrong about itself (§3.3).
  void answer_hello(ConnectionId id, wire::HelloT const& hello, ConnectionEffects& out);
  // Merges records that a peer sent, and closes connections to former incarnations.
  void merge(MemberRecords const& records, Micros now, ConnectionEffects& out);

 private:
  bool is_large_fleet() const { return settings_.is_large_fleet(members_.peers.size()); }
  MemberRecords records_for(ConnectionId id, bool all);

  MeshSettings const& settings_;
  MemberTable& members_;
  ConnectionTable& connections_;
  RandomSource& random_;
  std::uint64_t ping_tables_sent_ = 0;
  std::map<std::string, int> piggybacked_;  // names, with how many more times each is sent
};

}  // namespace pipit
