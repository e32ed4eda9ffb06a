// The replicated table of worker entries.
//
// Job: holds one entry for each key; of two writes the one with the higher Lamport clock wins, then the one whose
// owner's name sorts last (§3.5). EntryReplication decides which peers an entry is sent to.
// State: the entries, the Lamport clock, and the write time of each entry that expires. The clock is lost when the
// process ends. The lowest bits of a stamp therefore depend on the incarnation of the node that writes, so that a
// restarted node gives no stamp a second time: peers could not tell its new entry from the old one.
// Thread: the node's loop only.
// Invariants: an entry is replaced only by one with a higher (stamp, owner); the clock is never behind a received
// stamp.
#pragma once
#include <map>
#include <string>

#include "base/micros.h"
#include "wire_generated.h"

namespace pipit {

// The state of a worker in its entry; the numbers are sent between nodes.
enum class WorkerState : std::uint8_t { serving, draining, ended };

// An entry's key is the name of its worker, or "worker!node" for the report of a node that is not the worker's owner
// (§4.3).
inline bool is_secondary_report(std::string const& key) { return key.find('!') != std::string::npos; }
// The name of the worker that an entry's key refers to.
inline std::string worker_of(std::string const& key) { return key.substr(0, key.find('!')); }

// The bits of a stamp that depend on the writer's incarnation; the bits above them count.
constexpr int stamp_incarnation_bits = 24;

// One node's copy of the replicated table.
class EntryTable {
 public:
  // 'self' is this node's name; 'incarnation' differs for each start of its process.
  explicit EntryTable(std::string self, std::uint64_t incarnation = 0);

  // Writes an entry with this node as its owner; false when the table already holds an equal entry of this node.
  bool put(wire::EntryT entry, Micros now);
  // Merges an entry that a peer sent; false when it is malformed or not newer than the one held.
  bool merge(wire::EntryT const& entry, Micros now);
  // Whether the table holds an entry of the same key that would win against this one.
  bool holds_newer(wire::EntryT const& entry) const;
  // Removes entries of ended workers and secondary reports that were written more than 'age' microseconds ago.
  void remove_expired(Micros now, Micros age);
  // A hash over all entries that do not expire; equal on two nodes that hold the same entries (§3.6).
  std::uint64_t digest() const;

  // All entries, by key.
  std::map<std::string, wire::EntryT> const& entries() const { return entries_; }
  std::string const& self() const { return self_; }

 private:
  void store(wire::EntryT entry, Micros now);
  // Advances the clock past every stamp that was written or received.
  std::uint64_t next_stamp();

  std::string const self_;                 // this node's name
  std::uint64_t const incarnation_stamp_;  // the lowest bits of the stamps that this node writes
  std::uint64_t clock_ = 0;
  std::map<std::string, wire::EntryT> entries_;
  std::map<std::string, Micros> expirable_since_;  // write times of the entries that expire, by key
};

}  // namespace pipit
