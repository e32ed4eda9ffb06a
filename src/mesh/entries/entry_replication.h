// Replication of the entry table to the connected peers.
//
// Job: tracks for each peer the entries that it has not acknowledged, sends them in batches, and resends those that are
// not acknowledged (§3.5).
// State: a queue for each connected peer; the number of the last batch.
// Thread: the node's loop only.
// Invariants: a key is removed from a peer's queue only by an acknowledgement of a stamp at least as new as the queued
// one; a peer without a connection has no queue.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mesh/entries/entry_table.h"

namespace pipit {

// Keeps a queue of entries for each connected peer and builds the batches that are sent to it.
class EntryReplication {
 public:
  // The table must outlive this object.
  explicit EntryReplication(EntryTable const& table) : table_(table) {}

  // A connection to the peer opened: entries that change from now on are queued for it.
  void add_peer(std::string const& peer) { queues_[peer]; }
  // The last connection to the peer closed.
  void remove_peer(std::string const& peer) { queues_.erase(peer); }
  // Queues every entry for the peer, including those in flight.
  void enqueue_all(std::string const& peer);
  // Queues the entries that this node owns, for a peer that receives all others from their owners.
  void enqueue_own(std::string const& peer);
  // Queues an entry that this node has just written, for all peers.
  void enqueue_local(std::string const& key);
  // Queues one entry for the peer, unless it is queued or in flight already.
  void enqueue_one(std::string const& peer, std::string const& key);
  // Queues an entry that the peer 'from' sent, for the peers to which this node forwards entries.
  void enqueue_forwarded(std::string const& from, wire::EntryT const& entry);

  // The next batch for the peer, at most 256 entries; empty when there is nothing to send. With 'resend' it also
  // contains entries that were sent before and have not been acknowledged.
  wire::EntriesT next_batch(std::string const& peer, bool resend);
  // The peer acknowledged a batch; an unknown batch number is ignored.
  void acknowledge(std::string const& peer, std::uint64_t batch);
  // Whether the peer holds the current entry of this key: it acknowledged the entry, or sent it itself. False for a
  // peer without a connection and for an unknown key.
  bool is_replicated(std::string const& peer, std::string const& key) const;

  // Whether entries of other nodes are forwarded to all peers. In a large fleet they are not: their owners send them,
  // and anti-entropy by digests repairs those that are missing (§3.6).
  bool forward_to_all = true;
  std::set<std::string> forward_targets;  // names of the peers that entries are forwarded to without 'forward_to_all'

 private:
  struct PendingEntry {
    std::uint64_t stamp = 0;
    bool sent = false;
  };
  struct SentEntry {
    std::string key;
    std::uint64_t stamp = 0;
  };
  struct PeerQueue {
    std::map<std::string, PendingEntry> pending;                // by key
    std::map<std::uint64_t, std::vector<SentEntry>> in_flight;  // by batch
  };

  EntryTable const& table_;
  std::uint64_t last_batch_ = 0;
  std::map<std::string, PeerQueue> queues_;
};

}  // namespace pipit
