// Replication of the entry table to the connected peers.
//
// Job: knows for each peer which entries it has not acknowledged, and puts them into batches; what is not acknowledged
// is sent again (§3.5).
// State: a queue for each connected peer; the number of the last batch.
// Thread: the node's loop only.
// Invariants: a key leaves a peer's queue only by an ack for a stamp at least as new as the queued one; a peer without
// a connection has no queue.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mesh/entries/entry_table.h"

namespace pipit {

class EntryReplication {
 public:
  explicit EntryReplication(EntryTable const& table) : table_(table) {}

  // A connection to the peer opened: from now on it is sent what changes.
  void add_peer(std::string const& peer) { queues_[peer]; }
  // The last connection to the peer closed.
  void remove_peer(std::string const& peer) { queues_.erase(peer); }
  // Queues every entry for the peer, those in flight too.
  void enqueue_all(std::string const& peer);
  // Queues the entries that this node wrote, for a peer that gets the others from their owners.
  void enqueue_own(std::string const& peer);
  // Queues an entry that this node has just written, for all peers.
  void enqueue_local(std::string const& key);
  // Queues an entry that a peer brought, for those to whom this node forwards.
  void enqueue_forwarded(std::string const& from, wire::EntryT const& entry);

  // The next batch for the peer, at most 256 entries; empty when there is nothing to send. With 'resend' it holds also
  // what was sent before and has not been acknowledged.
  wire::EntriesT next_batch(std::string const& peer, bool resend);
  void acknowledge(std::string const& peer, std::uint64_t batch);
  // Whether the peer holds the present entry of this key: it acknowledged it, or brought it itself.
  bool is_replicated(std::string const& peer, std::string const& key) const;

  // Whether entries of other nodes are forwarded to all peers. In a large fleet they are not: their owners send them,
  // and digests repair what is missing (§3.6).
  bool forward_to_all = true;
  std::set<std::string> forward_targets;  // names of peers that are forwarded to all the same

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
