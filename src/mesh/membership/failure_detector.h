// SWIM's failure detector: direct probes, indirect probes through other members, suspicion (§3.4).
//
// Job: probes a random member and all suspected members each round, and members whose connection is inactive; relays
// indirect probes for other members; moves a member that does not answer from ALIVE to SUSPECTED to DOWN.
// State: the probes in flight of this node, and the probes relayed for other members, by sequence number.
// Thread: the node's loop only.
// Invariants: at most one probe of a member is in flight; each failed probe worsens a member's state by one step.
#pragma once
#include <map>
#include <string>

#include "base/random.h"
#include "mesh/entries/entry_table.h"
#include "mesh/membership/gossip.h"

namespace pipit {

// The references passed to the constructor must outlive the object.
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

  // Probes a member unless a probe of it is in flight; a member without a connection is dialled instead of pinged.
  void probe(Peer& peer, Micros now, ConnectionEffects& out);
  // Runs one round: probes each suspected member and one random member that is alive.
  void probe_round(Micros now, ConnectionEffects& out);
  // Probes the members that are alive and whose connection has been inactive for longer than the limit.
  void probe_inactive(Micros now, ConnectionEffects& out);
  // Handles the probes whose deadline has passed: a direct probe is followed by indirect ones through other members; an
  // indirect probe has failed.
  void expire_probes(Micros now, ConnectionEffects& out);

  // Handles a member's pong, which answers a probe of this node or one relayed for another member.
  void handle_pong(std::string const& from, wire::PongT const& pong, Micros now, ConnectionEffects& out);
  // Relays a probe for the peer on connection 'id'; ignored when the target has no connection to this node.
  void handle_indirect_ping(ConnectionId id, wire::IndirectPingT const& request, Micros now, ConnectionEffects& out);
  // Handles the result of an indirect probe of this node.
  void handle_indirect_pong(wire::IndirectPongT const& reply, Micros now);
  // Cancels the probes of a member that sent its Hello and is therefore alive.
  void handle_hello(std::string const& name) { cancel_probes(name); }
  // A dial failed. A refused dial shows that no process listens at the address, so the member's probe fails at once.
  void dial_failed(std::string const& address, bool refused, Micros now, ConnectionEffects& out);

 private:
  struct Probe {
    std::string peer;
    bool indirect = false;  // the direct probe timed out, and other members probe on behalf of this node
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
  Micros next_inactivity_check_ = 0;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, RelayedProbe> relayed_;
};

}  // namespace pipit
