// The table of members: who is in the mesh, by SWIM's states with incarnations (§3.3).
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/micros.h"
#include "wire_generated.h"

namespace pipit {

enum class State : std::uint8_t { alive, suspected, down, leaving };
enum class Role : std::uint8_t { router, config_store };
char const* state_name(State state);

struct Peer {
  wire::MemberT member;
  Micros since = 0;              // when its state last changed here
  std::uint64_t connection = 0;  // the pair's connection, 0 for none
  Micros bare_since = 0;         // since when there is none
  Micros next_dial = 0;
  Micros pause = 0;
  bool dialling = false;
  bool refused = false;       // its address refused a dial since it was last heard: no process is there
  Micros refused_at = -1;     // since when
  std::uint64_t version = 0;  // the table's, when its incarnation, state or address last changed here
  void refuse(bool no, Micros now) {
    if (no != refused) refused_at = now;
    refused = no;
  }
  State state() const { return static_cast<State>(member.state); }
  Role role() const { return static_cast<Role>(member.role); }
};

class MemberTable {
 public:
  explicit MemberTable(wire::MemberT self) : self(std::move(self)) {}

  enum class MergeResult { none, fresh, refuted };
  // Takes one record of a table; says whether it changed anything here.
  MergeResult merge(wire::MemberT const& item, Micros now);
  // This node's own finding about a peer.
  void mark(Peer& peer, State state, Micros now);
  // This node's own record, and those of peers whose incarnation, state or address changed here after a version; 0
  // gives all.
  std::vector<std::unique_ptr<wire::MemberT>> table(std::uint64_t since = 0) const;
  // One number for all that is known of members: equal where two nodes know the same (§3.6).
  std::uint64_t digest() const;
  void forget(Micros now, Micros age);
  // What the register says of router nodes: their registrations, and those that were evicted (§5.9).
  void register_router(wire::RouterRegistrationT const& item, Micros now);
  void evict(std::vector<std::unique_ptr<wire::RouterRegistrationT>> const& list);
  // It speaks for itself: whatever was evicted is here after all.
  void readmit(std::string const& name) { evicted.erase(name); }

  wire::MemberT self;
  std::uint64_t version = 0;  // counts those changes
  std::map<std::string, Peer> peers;
  std::map<std::string, std::uint64_t> evicted;  // names, with the incarnation that was evicted

  // How many nodes of a role are known, this one with them, whatever their state.
  std::size_t known(Role role) const;
};

}  // namespace pipit
