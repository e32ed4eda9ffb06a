// The mesh: one connection for each pair, SWIM rounds over it, entries and news (§3).
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "mesh/effects.h"
#include "mesh/frame.h"
#include "mesh/entries/entry_table.h"
#include "mesh/members/member_table.h"

namespace pipit {

struct MeshPlan {
  std::string cluster;
  std::vector<std::string> seeds;
  Micros round = seconds(1);
  Micros probe = millis(500);      // how long a direct, then an indirect probe may take
  Micros quiet = millis(900);      // a connection silent for longer is asked after, whoever's turn it is
  Micros knock = millis(250);      // first pause between dials
  Micros knock_most = seconds(1);  // the low, capped rate for DOWN peers and seeds
  std::size_t told = 8;            // peers that are told of a finding at once; the others hear of it on pings (§3.6)
  std::size_t wide = 24;  // beyond so many members nothing is told to everybody but what this node says of itself
  Micros idle = seconds(60);
  Micros forget = seconds(1800);
};

class Mesh {
 public:
  Mesh(MeshPlan plan, wire::MemberT const& self, std::uint64_t seed);

  void tick(Micros now, ConnectionEffects& out);
  void opened(ConnectionId id, bool outbound, std::string const& address, Micros now, ConnectionEffects& out);
  void shut(ConnectionId id, Micros now, ConnectionEffects& out);
  void dial_failed(std::string const& address, bool refused, Micros now, ConnectionEffects& out);

  // Handles the mesh's own frames. For any other it returns the sender's name, for the planes above.
  std::string frame(ConnectionId id, wire::FrameT& frame, Micros now, ConnectionEffects& out);

  template <class T>
  bool post(std::string const& name, T&& body, ConnectionEffects& out) {
    std::map<std::string, Peer>::const_iterator const position = members.peers.find(name);
    if (position == members.peers.end() || position->second.connection == 0) return false;
    out.sends.push_back({position->second.connection, encode_body(std::forward<T>(body))});
    return true;
  }

  // This node's own record changed: a higher bump, told at once.
  void announce_self(ConnectionEffects& out);
  void leave(ConnectionEffects& out);
  // New entries go out without waiting for the round; the round sends again what was not acked.
  void flush_entries(ConnectionEffects& out, bool again = false);

  // Other seeds than those that it began with; those that are known already are kept as they are.
  void reseed(std::vector<std::string> const& addresses);

  // More members than can all be told everything by everybody (§3.6).
  bool wide() const { return members.peers.size() >= plan_.wide; }

  // Whether a member cannot be serving: it left, or its address refuses a dial (§5.5).
  bool gone(std::string const& name) const;
  // Since when fewer than half of all members that may live were heard: at that moment half of them, this node with
  // them, still were (§4.3). -1 when half of them have no connection here.
  Micros half_heard(Micros now) const;

  // The zone of a connection's peer; empty before it greeted.
  std::string zone_of(ConnectionId id) const;

  MemberTable members;
  EntryTable entry_table;
  std::vector<std::string> fresh;  // keys of entries that peers brought since the core last looked
  std::uint64_t frames_in = 0;
  std::uint64_t open_connections() const { return connections_.size(); }

 private:
  struct Connection {
    std::string peer;
    bool outbound = false;
    std::string address;
    Micros opened = 0;
    Micros heard = 0;
    std::uint64_t incarnation = 0;  // the peer's incarnation when it greeted
    std::uint64_t told = 0;         // the member table's version that the last table on it brought
  };
  struct Probe {
    std::string peer;
    bool indirect = false;
    Micros due = 0;
  };
  struct Relay {
    ConnectionId asker = 0;
    std::uint64_t seq = 0;
    Micros due = 0;
  };
  struct Seed {
    std::string address;
    Micros next_dial = 0;
    Micros pause = 0;
    bool dialling = false;
  };

  void greet(ConnectionId id, wire::HelloT const& hello, Micros now, ConnectionEffects& out);
  void owe_entries(std::string const& name, wire::HelloT const& hello);
  void tell_met(ConnectionId id, std::string const& name, wire::HelloT const& hello, ConnectionEffects& out);
  // The table for a ping, its answer or a greeting: what changed since the last one on that connection, now and then
  // all.
  std::vector<std::unique_ptr<wire::MemberT>> table_for(ConnectionId id, bool whole);
  void take_table(std::vector<std::unique_ptr<wire::MemberT>> const& table, Micros now, ConnectionEffects& out);
  void probe(Peer& peer, Micros now, ConnectionEffects& out);
  bool probe_through_others(std::string const& name, std::uint64_t seq, ConnectionEffects& out);
  void end_overdue_probes(Micros now, ConnectionEffects& out);
  void run_round(Micros now, ConnectionEffects& out);
  void probe_failed(std::string const& name, Micros now, ConnectionEffects& out);
  void probe_done(std::uint64_t seq, Micros now);
  void announce_member(wire::MemberT const& member, ConnectionEffects& out);
  void find_member(wire::MemberT const& member, ConnectionEffects& out);
  std::vector<std::unique_ptr<wire::MemberT>> rumours();
  void heard(std::string const& name, std::uint64_t revision, std::uint64_t serial, bool ready);
  Micros quiet_span() const;
  Micros knock_span() const;
  void dials(Micros now, ConnectionEffects& out);
  void dial(Peer& peer, Micros now, ConnectionEffects& out);
  void unbind(ConnectionId id, Micros now);
  void drop(ConnectionId id, Micros now, ConnectionEffects& out);

  MeshPlan const plan_;
  RandomSource random_;
  Micros next_round_ = 0;
  std::uint64_t rounds_ = 0;
  std::uint64_t next_seq_ = 0;
  std::uint64_t tables_ = 0;  // that pings and their answers took along
  std::map<ConnectionId, Connection> connections_;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::vector<Seed> seeds_;
  // A repair that compares everything, by whole tables or entry tables: rare, and not while changes are on their way.
  struct Repair {
    std::uint64_t digest = 0;
    Micros changed = 0;
    Micros last = -seconds(60);
    bool due(std::uint64_t own, std::uint64_t theirs, Micros now);
  };
  Repair table_repair_;
  Repair entries_repair_;
  void repair_entries(std::string const& name, std::uint64_t theirs, Micros now, ConnectionEffects& out);
  std::map<std::string, int> rumoured_;  // members of whom something is new, with how often it is still told
};

}  // namespace pipit
