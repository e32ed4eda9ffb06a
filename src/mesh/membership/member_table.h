// The table of members, in SWIM's states with incarnations (§3.3).
//
// Job: holds this node's own record and one record for each peer, merges the records that others send, and says what
// changed since a version.
// State: the records, the evicted incarnations of routers, and a version that counts changes.
// Thread: the node's loop only.
// Invariants: of two records of one member the one with the higher (incarnation, bump, state) wins; this node's own
// record is changed by this node alone; a peer with a connection is never removed.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/micros.h"
#include "wire_generated.h"

namespace pipit {

enum class MemberState : std::uint8_t { alive, suspected, down, leaving };
enum class MemberRole : std::uint8_t { router, config_store };
// The state's name in status pages and metrics.
char const* state_name(MemberState state);

// A peer as this node knows it. Times are in microseconds on this node's clock.
struct Peer {
  wire::MemberT member;
  Micros state_since = 0;         // when its state last changed here
  std::uint64_t connection = 0;   // the pair's connection, 0 for none
  Micros disconnected_since = 0;  // since when there is no connection
  Micros next_dial = 0;           // not dialled before this
  Micros dial_backoff = 0;        // the last pause between two dials
  bool dialling = false;
  bool dial_refused = false;    // its address refused a dial since it was last heard: no process is there
  Micros dial_refused_at = -1;  // when dial_refused last changed; -1 for never
  std::uint64_t version = 0;    // the table's version when its incarnation, state or address last changed here

  void set_dial_refused(bool refused, Micros now) {
    if (refused != dial_refused) dial_refused_at = now;
    dial_refused = refused;
  }
  MemberState state() const { return static_cast<MemberState>(member.state); }
  MemberRole role() const { return static_cast<MemberRole>(member.role); }
};

class MemberTable {
 public:
  explicit MemberTable(wire::MemberT self) : self(std::move(self)) {}

  enum class MergeResult {
    unchanged,
    changed,  // a peer's record is new or newer
    refuted   // the record was wrong about this node, whose own record is now newer
  };
  // Takes one record that a peer sent; a malformed one changes nothing.
  MergeResult merge(wire::MemberT const& record, Micros now);
  // This node's own finding about a peer.
  void set_state(Peer& peer, MemberState state, Micros now);
  // What a peer reports of itself with pings and pongs; nothing for a name that is not in the table.
  void update_status(std::string const& name, std::uint64_t revision, std::uint64_t serial, bool ready);
  // This node's own record, and those of peers whose incarnation, state or address changed here after a version; 0
  // gives all.
  std::vector<std::unique_ptr<wire::MemberT>> records_since(std::uint64_t since = 0) const;
  // One number for all that is known of members: equal where two nodes know the same (§3.6).
  std::uint64_t digest() const;
  // Removes peers that have been down or leaving for longer than 'age'.
  void forget(Micros now, Micros age);
  // Takes a router's registration in the register; a newer incarnation than the one known is dialled (§5.9).
  void apply_registration(wire::RouterRegistrationT const& registration, Micros now);
  // Takes the register's list of evicted routers and removes those that are not connected.
  void apply_evictions(std::vector<std::unique_ptr<wire::RouterRegistrationT>> const& list);
  // An evicted router greeted this node: it is here after all.
  void clear_eviction(std::string const& name) { evicted.erase(name); }
  // Whether a member is known not to serve: it left, or its address refuses a dial (§5.5). False for an unknown name.
  bool cannot_be_serving(std::string const& name) const;
  // How many nodes of a role are known, this one with them, whatever their state.
  std::size_t count(MemberRole role) const;

  wire::MemberT self;
  std::uint64_t version = 0;  // counts changes of a peer's incarnation, state or address
  std::map<std::string, Peer> peers;
  std::map<std::string, std::uint64_t> evicted;  // names, with the incarnation that was evicted

 private:
  MergeResult merge_self(wire::MemberT const& record);
  MergeResult add(wire::MemberT const& record, Micros now);
};

}  // namespace pipit
