// Entries of workers: last writer wins by Lamport clock, then by node; resent until acked, relayed (§3.5).
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "wire_generated.h"

namespace pipit {

enum class WorkerState : std::uint8_t { serving, draining, ended };

// An entry's key is its worker, or "worker!node" for what a node says besides the owner (§4.3).
inline bool beside_owner(std::string const& key) { return key.find('!') != std::string::npos; }
inline std::string worker_of(std::string const& key) { return key.substr(0, key.find('!')); }

class EntryTable {
 public:
  explicit EntryTable(std::string self) : self_(std::move(self)) {}

  // Writes an entry that this node took; true when it said something new.
  bool put(wire::EntryT item, Micros now);
  // Takes a peer's entry; true when it was newer.
  bool merge(std::string const& from, wire::EntryT const& item, Micros now);
  // A connection to the peer opened: it is owed everything.
  void owe_all(std::string const& peer);
  // A connection to the peer opened, and others tell it the rest: it is owed what this node said itself.
  void owe_own(std::string const& peer);
  // A connection opened to a peer that holds the same already: it is owed what changes from now on.
  void meet(std::string const& peer) { owed_[peer]; }
  void drop(std::string const& peer) { owed_.erase(peer); }
  // The next batch for the peer: what was never sent to it, and with 'again' also what it has not acked.
  wire::EntriesT batch(std::string const& peer, bool again);
  void acked(std::string const& peer, std::uint64_t batch);
  // Whether the peer holds what is said here of an entry: it acked it, or said it itself.
  bool told(std::string const& peer, std::string const& key) const;
  void forget(Micros now, Micros age);
  // One number for all entries: equal where two nodes hold the same (§3.6).
  std::uint64_t digest() const;
  // Whether entries of others are passed on to everybody; else their owner's own telling and the digests do (§3.6).
  bool passes_on = true;
  std::set<std::string> pass_to;  // but to these, where it does not pass on to everybody

  std::map<std::string, wire::EntryT> const& all() const { return items_; }

 private:
  struct Owed {
    std::uint64_t stamp = 0;
    bool flown = false;
  };
  struct Debt {
    std::map<std::string, Owed> keys;
    std::map<std::uint64_t, std::vector<std::pair<std::string, std::uint64_t>>> flying;
  };
  void owe(std::string const& but, std::string const& key, std::uint64_t stamp);

  std::string const self_;
  std::uint64_t clock_ = 0;
  std::uint64_t next_ = 0;
  std::map<std::string, wire::EntryT> items_;
  std::map<std::string, Micros> gone_at_;
  std::map<std::string, Debt> owed_;
};

}  // namespace pipit
