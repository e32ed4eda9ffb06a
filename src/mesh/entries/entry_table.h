// The replicated table of worker entries.
//
// Job: holds one entry for each key; of two writes the one with the higher Lamport clock wins, then the one whose
// owner's name sorts last (§3.5). Who is sent an entry is EntryReplication's job.
// State: the entries, the Lamport clock, and when each entry that is to be forgotten was written.
// Thread: the node's loop only.
// Invariants: an entry is replaced only by one of a higher (stamp, owner); the clock is never behind a stamp seen.
#pragma once
#include <map>
#include <string>

#include "base/micros.h"
#include "wire_generated.h"

namespace pipit {

enum class WorkerState : std::uint8_t { serving, draining, ended };

// An entry's key is its worker, or "worker!node" for what a node reports besides the worker's owner (§4.3).
inline bool is_secondary_report(std::string const& key) { return key.find('!') != std::string::npos; }
inline std::string worker_of(std::string const& key) { return key.substr(0, key.find('!')); }

class EntryTable {
 public:
  explicit EntryTable(std::string self) : self_(std::move(self)) {}

  // Writes an entry as this node; false when the table already holds the same as this node's own.
  bool put(wire::EntryT entry, Micros now);
  // Takes a peer's entry; false when it is malformed or not newer than the one held.
  bool merge(wire::EntryT const& entry, Micros now);
  // Forgets entries of ended workers, and secondary reports, that were written longer ago than 'age'.
  void forget(Micros now, Micros age);
  // One number for all entries that do not expire: equal where two nodes hold the same (§3.6).
  std::uint64_t digest() const;

  std::map<std::string, wire::EntryT> const& all() const { return entries_; }
  std::string const& self() const { return self_; }

 private:
  void store(wire::EntryT entry, Micros now);

  std::string const self_;  // this node's name
  std::uint64_t clock_ = 0;
  std::map<std::string, wire::EntryT> entries_;
  std::map<std::string, Micros> expirable_since_;  // keys of entries that are forgotten after a while
};

}  // namespace pipit
