// Table of the workers that register themselves by heartbeats; every node has one (design §12.3).
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "mesh/entries/entry_table.h"

namespace pipit {

// Registration data that a worker sends. Each start of a worker has a new id.
struct Heartbeat {
  std::string id;
  std::string address;
  std::string zone;
  std::string pool;
  std::int64_t slots = 0;
  // Sequence number. Nothing is known of it but that it rises with each call of this worker, so that delayed calls are
  // ignored.
  std::uint64_t order = 0;
  bool leaving = false;
};

// The incarnation in the entry of a deregistered worker. Nodes of a build without the field 'deregistered' accept only
// heartbeats with a number that is not below it. Such a node adds a million at each repeated deregistration, for which
// the distance to the largest number leaves room.
constexpr std::uint64_t deregistered_incarnation = UINT64_MAX - (std::uint64_t{1} << 40);

// What a worker itself said of its end; it never takes this back. An end by timeout is not announced: the next
// heartbeat revokes it.
enum class AnnouncedEnd : std::uint8_t { none, draining, deregistered };

// One start of a worker, as this node knows it. Times are monotonic.
struct Instance {
  std::string id;
  std::string address;
  std::string zone;
  std::string pool;
  std::int64_t slots = 1;
  WorkerState state = WorkerState::serving;
  AnnouncedEnd announced_end = AnnouncedEnd::none;
  std::uint64_t order = 0;
  std::string owner;           // node that took the last heartbeat with new data
  Micros last_heartbeat = -1;  // when this node last took a heartbeat; -1: never
  Micros state_since = 0;      // when the worker was added to this table, or when it ended
  Micros suspected = -1;       // since when a broken or silent connection makes it suspect; -1: not suspected
  Micros ejected = -1;         // until when it gets no requests while other workers are available
  int consecutive_failures = 0;
  Micros last_byte = -1;  // when this node last received data from it; -1: never
  Micros last_sent = -1;  // when this node last sent it a request; -1: never

  // This node's running attempts at the worker and their estimated cost.
  std::int64_t running = 0;
  std::int64_t reserved_tokens = 0;  // tokens of the running requests
  // A worker reads prompts one after the other: when it will have read all prompts that, as far as this node knows, any
  // node has sent it (§12.5).
  Micros busy_until = 0;
  double pace = 1.0;  // recent ratio of the measured to the predicted time of the first event
  // Running and queued requests as last reported in a response, here or at a peer, and the time of the report.
  std::int64_t reported_load = 0;
  Micros reported_load_at = -1;

  // Estimated requests at the worker: the report if it is recent and above this node's own count.
  std::int64_t load(Micros now) const {
    return reported_load_at >= 0 && now - reported_load_at < millis(1500) && reported_load > running ? reported_load
                                                                                                     : running;
  }
  // Time left until the worker has read all known prompts.
  Micros busy(Micros now) const { return busy_until > now ? busy_until - now : 0; }
  // Adds the reading time of one prompt.
  void work(Micros span, Micros now) { busy_until = (busy_until > now ? busy_until : now) + span; }
  // Whether new requests may be sent to the worker.
  bool accepts_requests() const { return state == WorkerState::serving; }
  // Whether the worker deregistered itself, here or at a peer; it may still finish its running requests.
  bool has_deregistered() const { return announced_end == AnnouncedEnd::deregistered; }
};

// Tracks registered workers and judges those whose heartbeats this node takes. Methods that return an entry leave it to
// the caller to write it to the entry table.
class Registry {
 public:
  explicit Registry(std::string self) : self_(std::move(self)) {}
  // Silence timeouts are multiples of this interval.
  void set_heartbeat_interval(Micros heartbeat_interval) { heartbeat_interval_ = heartbeat_interval; }

  // Takes a heartbeat sent to this node. Returns the entry to write if the worker's data or state changed.
  std::optional<wire::EntryT> heartbeat(Heartbeat const& heartbeat, Micros now);
  // Takes a heartbeat while this node is cut off from its peers, whose node that owns the worker goes on receiving its
  // heartbeats: only records that the worker is alive. False if the worker is unknown or owned by this node.
  bool record_liveness(Heartbeat const& heartbeat, Micros now);
  // Deregisters a worker for good: no heartbeat of it is accepted any more, whatever its number. 'order' is 0 if the
  // call has no number. Returns the entry to write; none if the worker is unknown.
  std::optional<wire::EntryT> leave(std::string const& id, std::uint64_t order, Micros now);
  // Takes over a known worker whose owner is gone; its silence timeout starts anew. Returns the entry to write.
  wire::EntryT adopt(std::string const& id, Micros now);
  // Applies an entry received from a peer. Returns the entry to write against it if this node has newer information.
  std::optional<wire::EntryT> take_entry(wire::EntryT const& entry, Micros now);
  // Ends workers of this node whose heartbeats have timed out and returns the entries to write. Removes workers that
  // ended long ago.
  std::vector<wire::EntryT> end_silent_workers(Micros now);
  // Restarts all silence timeouts after this node was paused, since it could not receive heartbeats meanwhile.
  void reset_silence_timers(Micros now);

  // Suspects and ejects a worker whose connection broke or is silent, here or at a peer. False if the worker is unknown
  // or already ejected under suspicion.
  bool suspect(std::string const& id, Micros now);
  // Records that the worker responded: clears suspicion, ejection and the count of failures.
  void record_response(Instance& instance, Micros now);

  // Applies a peer's report: prompts it sent to workers, loads reported to it, and its suspicions.
  void take_peer_loads(wire::LoadsT const& loads, Micros now);

  // Null if the worker is unknown.
  Instance* find(std::string const& id);
  std::map<std::string, Instance> all;
  std::vector<std::string> ended_workers;  // ids whose index entries must be removed; cleared by the node

 private:
  wire::EntryT entry_of(Instance const& instance) const;
  // Whether this node knows of an end of the worker that the peer which sent the entry does not know of.
  static bool revokes_known_end(Instance const& instance, wire::EntryT const& entry);
  bool many_suspected(Micros now) const;
  void set_state(Instance& instance, WorkerState state, Micros now);

  std::string const self_;
  Micros heartbeat_interval_ = millis(1200);
};

}  // namespace pipit
