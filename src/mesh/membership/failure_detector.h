// SWIM's failure detector: direct probes, indirect probes through other members, suspicion (§3.4).
//
// Job: probes a random member and the suspected ones each round, and members whose connection is silent; answers and
// relays probes of others; moves a member that does not answer from ALIVE to SUSPECTED to DOWN.
// State: probes of this node and probes relayed for others, both under way, by sequence number.
// Thread: the node's loop only.
// Invariants: at most one probe of a member is under way; a member's state gets worse by one step for each failed
// probe.
#pragma once
#include <map>
#include <string>

#include "base/random.h"
#include "mesh/entries/entry_table.h"
#include "mesh/membership/gossip.h"

namespace pipit {

class FailureDetector {
 public:
  FailureDetector(MeshSettings const& settings, MemberTable& members, EntryTable const& entries,
                  ConnectionTable& connections, MembershipGossip& gossip, RandomSource& random)
      : settings_(settings),
        members_(members),
        entries_(entries),
        connections_(connections),
        gossip_(gossip),
        random_(random) {}

  // Probes a member unless a probe of it is under way; one without a connection is dialled instead.
  void probe(Peer& peer, Micros now, ConnectionEffects& out);
  // One round: each suspected member and a random one of those that are alive.
  void probe_round(Micros now, ConnectionEffects& out);
  // Probes the members that are alive and whose connection is silent.
  void probe_inactive(Micros now, ConnectionEffects& out);
  // Ends the probes that were not answered in time: a direct one goes on through others, an indirect one has failed.
  void expire_probes(Micros now, ConnectionEffects& out);

  // A member sent a pong; it may answer a probe of this node or one that is relayed.
  void handle_pong(std::string const& from, wire::PongT const& pong, Micros now, ConnectionEffects& out);
  void handle_indirect_ping(ConnectionId id, wire::IndirectPingT const& request, Micros now, ConnectionEffects& out);
  void handle_indirect_pong(wire::IndirectPongT const& reply, Micros now);
  // A member greeted this node, which answers any probe of it.
  void handle_hello(std::string const& name) { cancel_probes(name); }
  // A dial failed; a refused one shows that no process is there, so that the member's probe fails at once.
  void dial_failed(std::string const& address, bool refused, Micros now, ConnectionEffects& out);

 private:
  struct Probe {
    std::string peer;
    bool indirect = false;
    Micros deadline = 0;
  };
  struct RelayedProbe {
    ConnectionId requester = 0;
    std::uint64_t requester_seq = 0;
    Micros deadline = 0;
  };

  wire::PingT make_ping(std::uint64_t seq, ConnectionId id);
  bool probe_indirectly(std::string const& name, std::uint64_t seq, ConnectionEffects& out);
  void close_inactive_connection(std::string const& name, Micros now, ConnectionEffects& out);
  void complete_probe(std::uint64_t seq, Micros now);
  void fail_probe(std::string const& name, Micros now, ConnectionEffects& out);
  void cancel_probes(std::string const& name);
  Micros inactivity_limit() const;

  MeshSettings const& settings_;
  MemberTable& members_;
  EntryTable const& entries_;
  ConnectionTable& connections_;
  MembershipGossip& gossip_;
  RandomSource& random_;
  std::uint64_t last_seq_ = 0;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, RelayedProbe> relayed_;
};

}  // namespace pipit
