// The fleet: every worker that this node knows from the worker list it fetches and from mesh entries (§4).
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "config/description/description.h"
#include "mesh/entries/entry_table.h"

namespace pipit {

// One row of the platform's worker list.
struct ListRow {
  std::string id;
  std::string address;
  std::string zone;
  std::string pool;
  std::uint64_t incarnation = 0;
  std::int64_t slots = 0;
  bool leaving = false;
};

// A worker's answer to a health check.
struct HealthReport {
  std::uint64_t incarnation = 0;
  std::int64_t demand = 0;  // running and queued requests at the worker
  Micros awake = 0;         // time since the worker started or woke up
};

// A worker as this node sees it. Times are monotonic.
struct Worker {
  ListRow row;
  WorkerState state = WorkerState::serving;
  bool listed = false;                       // in the last complete list that this node read
  int listings_since_removal = 0;            // consecutive complete lists that contain it after it was removed
  std::uint64_t last_ended_incarnation = 0;  // this and older incarnations accept no more requests
  bool removed_from_list = false;            // ended because the list lacked it, not because it was leaving
  bool unhealthy = true;                     // until it answers a health check
  bool was_healthy = false;                  // this incarnation has answered a health check
  bool suspected = false;  // a connection to it broke; a health check must succeed before it is sent requests
  Micros suspected_at = 0;
  Micros reported_uptime = 0;  // HealthReport::awake as last reported
  int missed_health_checks = 0;
  std::int64_t demand = 0;    // as last reported
  Micros reported = 0;        // time of the last health report
  Micros warm_up_start = -1;  // when it woke up or answered again after an outage; -1: unknown, so it counts as cold
  std::multiset<Micros> attempts;  // start times of this node's running attempts
  std::deque<Micros> sends;        // times of this node's sends within the last cold_window
  Micros confirmed = -1;           // when the last health check that this incarnation answered was sent; -1: none
  Micros probe_sent = -1;          // when the probe was sent whose answer further sends wait for; -1: none
  // This node's running attempts that the last health report can't include.
  std::int64_t attempts_since_report() const {
    return static_cast<std::int64_t>(std::distance(attempts.lower_bound(reported), attempts.end()));
  }
  std::uint64_t sent = 0;            // all attempts that this node has sent there
  std::int64_t peer_attempts = 0;    // sum of the peers' attempts as last reported
  bool peer_loads_complete = false;  // every peer that may send requests has reported recently
  // §6.4: the attempts reported by all nodes if all reports are recent; otherwise at least what the older health report
  // says.
  std::int64_t estimated_load() const {
    std::int64_t const reported_attempts = peer_attempts + static_cast<std::int64_t>(attempts.size());
    return peer_loads_complete ? reported_attempts
                               : std::max<std::int64_t>(demand + attempts_since_report(), reported_attempts);
  }
  // Requests that the worker runs at once; the pool's default if the list gives no number.
  std::int64_t capacity(Pool const& pool) const { return row.slots > 0 ? row.slots : pool.slots; }
  // Whether new requests may be sent to the worker.
  bool accepts_requests() const { return state == WorkerState::serving && !unhealthy && !suspected; }
};

// Parses the platform's worker list. A truncated or malformed text is an error, so that no worker is removed because of
// it.
Result<std::vector<ListRow>> read_worker_list(std::string_view text);
// Parses a worker's answer to a health check.
Result<HealthReport> read_health_report(std::string_view text);

// Merges the worker list, mesh entries and health checks into the state of each worker.
class Fleet {
 public:
  // Ids of workers that have a new incarnation or lost their cache; the node removes their index entries and clears
  // this.
  std::vector<std::string> restarted_workers;

  // Applies a complete worker list: adds and updates workers, ends those that are leaving or no longer listed.
  void take_list(std::vector<ListRow> const& rows, Micros now);
  // Applies a mesh entry: a new incarnation, or the end of the current one.
  void take_entry(wire::EntryT const& entry, Micros now);
  // Applies the outcome of a health check that was sent at 'asked'; no report: it failed, and 'refused' says that the
  // connection was refused.
  void health_report(std::string const& id, std::uint64_t incarnation, Micros asked,
                     std::optional<HealthReport> const& report, bool refused, Micros now);
  // Suspects a worker whose connection broke, here or at a peer. False if it was already suspected or unhealthy, or is
  // another incarnation.
  bool suspect(std::string const& id, std::uint64_t incarnation, Micros now);
  // Applies all entries again, to restore workers missing from this table that the entries list as serving (§4.4).
  void reconcile(std::map<std::string, wire::EntryT> const& entries, Micros now);

  // Stores a peer's number of attempts at each worker.
  void take_peer_loads(std::string const& peer, wire::LoadsT const& loads, Micros now);
  // Updates the workers' peer_attempts. 'senders': the peers that may send requests to workers.
  void sum_peer_loads(std::set<std::string> const& senders, Micros now);
  // This node's number of attempts at each worker, for its peers.
  wire::LoadsT own_loads() const;

  // Entries for the workers that this node owns.
  std::vector<wire::EntryT> entries_for(std::set<std::string> const& owned) const;

  // Time until the worker is warm; 0 if it is. 'span': the warm-up time that its pool has now; a sixteenth is added
  // because this node's clock and the worker's differ (§6.6).
  Micros cold_for(Worker const& worker, Micros span, Micros now) const {
    Micros const most = span + span / 16;
    return worker.warm_up_start < 0 ? most : std::max<Micros>(0, worker.warm_up_start + most - now);
  }
  // Whether this node has sent fewer than 'share' requests to the cold worker within cold_window.
  bool has_cold_capacity(Worker& worker, std::int64_t share, Micros now) const;
  // Whether the worker must answer a health check before the next send: this node has sent its share since the worker
  // last answered, so the worker may have restarted since. A node without a share probes right before it sends.
  bool needs_probe(Worker const& worker, std::int64_t share, Micros now) const;
  // This node's share of the requests that all nodes together may send to a cold worker in one window.
  std::int64_t cold_share(Worker const& worker, std::int64_t bound, std::string const& self,
                          std::set<std::string> const& names) const;
  static constexpr Micros cold_window = millis(1250);  // one second, plus a margin for variation of the network delay

  // Null if the worker is unknown.
  Worker* find(std::string const& id);
  std::map<std::string, Worker> workers;

 private:
  struct PeerLoads {
    Micros at = 0;
    std::map<std::string, std::int64_t> attempts;
  };
  std::map<std::string, PeerLoads> peer_loads_;
  void begin_incarnation(Worker& worker, std::uint64_t incarnation);
  void end_incarnation(Worker& worker, WorkerState state);
};

// The name with the highest rank for a key by rendezvous hashing; empty if there are no names.
std::string rendezvous(std::string const& key, std::set<std::string> const& names);
// Number of names that rank above 'self' for the key.
std::size_t rendezvous_rank(std::string const& key, std::string const& self, std::set<std::string> const& names);

}  // namespace pipit
