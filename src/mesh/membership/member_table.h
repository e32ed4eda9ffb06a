// The table of members, in SWIM's states with incarnations (§3.3).
//
// Job: holds this node's own record and one record for each peer, merges the records that peers send, and returns the
// records that changed since a version.
// State: the records, the evicted incarnations of routers, and a version that counts changes.
// Thread: the node's loop only.
// Invariants: of two records of one member the one with the higher (incarnation, bump, state) wins; only this node
// changes its own record; a peer with a connection is never removed.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/micros.h"
#include "wire_generated.h"

namespace pipit {

// A member's state; the numbers are sent between nodes, and a higher one wins within one incarnation and bump.
enum class MemberState : std::uint8_t { alive, suspected, down, leaving };
// The kind of process that a member runs; the numbers are sent between nodes.
enum class MemberRole : std::uint8_t { router, config_store };
// The state's name in status pages and metrics.
char const* state_name(MemberState state);

// This node's view of a peer. Times are in microseconds on this node's clock.
struct Peer {
  wire::MemberT member;
  Micros state_since = 0;         // the time of the last change of its state in this table
  std::uint64_t connection = 0;   // the id of the connection to the peer, 0 for none
  Micros disconnected_since = 0;  // the time at which the last connection ended
  Micros next_dial = 0;           // the earliest time of the next dial
  Micros dial_backoff = 0;        // the last pause between two dials
  bool dialling = false;          // a dial of its address is in progress
  bool dial_refused = false;      // its address refused a dial since the last contact, so no process listens there
  Micros dial_refused_at = -1;    // the time of the last change of dial_refused; -1 for never
  std::uint64_t version = 0;      // the table's version at the last change of its incarnation, state or address

  // Sets dial_refused, and records the time if it changes.
  void set_dial_refused(bool refused, Micros now) {
    if (refused != dial_refused) dial_refused_at = now;
    dial_refused = refused;
  }
  MemberState state() const { return static_cast<MemberState>(member.state); }
  MemberRole role() const { return static_cast<MemberRole>(member.role); }
};

// One node's table of members.
class MemberTable {
 public:
  // 'self' is this node's own record.
  explicit MemberTable(wire::MemberT self) : self(std::move(self)) {}

  // The effect of merging one record.
  enum class MergeResult {
    unchanged,
    changed,  // a peer's record is new or newer
    refuted   // the record was wrong about this node, which has raised its own incarnation or bump
  };
  // Merges one record that a peer sent. A malformed record is ignored.
  MergeResult merge(wire::MemberT const& record, Micros now);
  // Sets a peer's state as observed by this node.
  void set_state(Peer& peer, MemberState state, Micros now);
  // Updates a peer's record with the status that it sent with a ping or pong; ignored for an unknown name.
  void update_status(std::string const& name, std::uint64_t revision, std::uint64_t serial, bool ready);
  // Whether the record of that member here takes precedence over this one, which the member can then refute.
  bool holds_newer(wire::MemberT const& record) const;
  // Records that a peer holds this revision or a newer one; ignored for an unknown name.
  void note_revision(std::string const& name, std::uint64_t revision);
  // This node's own record, and those of the peers whose incarnation, state or address changed after the version
  // 'since' of this table; 0 returns all records.
  std::vector<std::unique_ptr<wire::MemberT>> records_since(std::uint64_t since = 0) const;
  // A hash over all records; equal on two nodes whose tables agree (§3.6).
  std::uint64_t digest() const;
  // Removes disconnected peers that have been down or leaving for longer than 'age' microseconds.
  void remove_expired(Micros now, Micros age);
  // Applies a router's registration in the register: an incarnation newer than the known one is added and will be
  // dialled (§5.9).
  void apply_registration(wire::RouterRegistrationT const& registration, Micros now);
  // Replaces the list of evicted routers by the register's list, and removes the evicted routers that are not
  // connected.
  void apply_evictions(std::vector<std::unique_ptr<wire::RouterRegistrationT>> const& list);
  // Removes the eviction of a router that has connected to this node and is therefore running.
  void clear_eviction(std::string const& name) { evicted.erase(name); }
  // Whether a member is known not to be serving: it is disconnected, and either left or its address refused a dial
  // (§5.5). False for an unknown name.
  bool cannot_be_serving(std::string const& name) const;
  // The number of known nodes with a role in any state, this node included.
  std::size_t count(MemberRole role) const;

  wire::MemberT self;                            // this node's own record
  std::uint64_t version = 0;                     // counts changes of a peer's incarnation, state or address
  std::map<std::string, Peer> peers;             // all other known members, by name
  std::map<std::string, std::uint64_t> evicted;  // evicted incarnations, by the router's name

 private:
  MergeResult merge_self(wire::MemberT const& record);
  MergeResult add(wire::MemberT const& record, Micros now);
};

}  // namespace pipit
