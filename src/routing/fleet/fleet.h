// The fleet: every worker this node knows, from its own reading of the list and from entries (§4).
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

struct ListRow {
  std::string id;
  std::string address;
  std::string zone;
  std::string pool;
  std::uint64_t incarnation = 0;
  std::int64_t slots = 0;
  bool leaving = false;
};

struct HealthReport {
  std::uint64_t incarnation = 0;
  std::int64_t demand = 0;  // running and waiting at the worker
  Micros awake = 0;         // since it woke
};

struct Worker {
  ListRow row;
  WorkerState state = WorkerState::serving;
  bool listed = false;                       // in this node's last whole reading
  int listings_since_removal = 0;            // whole readings in a row that list it after it was gone
  std::uint64_t last_ended_incarnation = 0;  // incarnations up to this one take no more requests
  bool removed_from_list = false;  // last_ended_incarnation because it was not listed, not because it was leaving
  bool unhealthy = true;           // until it answers
  bool was_healthy = false;        // it has answered once
  bool suspected = false;          // a connection to it broke; it is asked before it is sent anything more
  Micros suspected_at = 0;
  Micros reported_uptime = 0;  // as last reported
  int missed_health_checks = 0;
  std::int64_t demand = 0;  // as last reported
  Micros reported = 0;
  Micros warm_up_start = -1;       // when it woke or came back from the dark; -1: not known, so cold
  std::multiset<Micros> attempts;  // this node's running attempts, by their start
  std::deque<Micros> sends;        // this node's sends within the last window
  Micros confirmed = -1;           // when the last question was asked that this incarnation answered
  Micros probe_sent = -1;          // since when an answer is awaited before more is sent
  std::int64_t attempts_since_report() const {
    return static_cast<std::int64_t>(std::distance(attempts.lower_bound(reported), attempts.end()));
  }
  std::uint64_t sent = 0;            // attempts that this node ever began there
  std::int64_t peer_attempts = 0;    // attempts of peers, as they told last
  bool peer_loads_complete = false;  // every peer that may send has told lately
  // §6.4: what all nodes told counts, when all told; else the late report counts too.
  std::int64_t estimated_load() const {
    std::int64_t const reported_attempts = peer_attempts + static_cast<std::int64_t>(attempts.size());
    return peer_loads_complete ? reported_attempts
                               : std::max<std::int64_t>(demand + attempts_since_report(), reported_attempts);
  }
  std::int64_t capacity(Pool const& pool) const { return row.slots > 0 ? row.slots : pool.slots; }
  bool accepts_requests() const { return state == WorkerState::serving && !unhealthy && !suspected; }
};

// Parses the platform's list. A torn or odd text is a failed reading, never a departure.
Result<std::vector<ListRow>> read_worker_list(std::string_view text);
Result<HealthReport> read_health_report(std::string_view text);

class Fleet {
 public:
  // Names of workers whose incarnation ended or began anew, whose prefixes are to be forgotten.
  std::vector<std::string> restarted_workers;

  void take_list(std::vector<ListRow> const& rows, Micros now);
  void take_entry(wire::EntryT const& entry, Micros now);
  // True when a dark worker came back or a incarnation began.
  void health_report(std::string const& id, std::uint64_t incarnation, Micros asked,
                     std::optional<HealthReport> const& report, bool refused, Micros now);
  // A connection to the worker broke, here or at a peer. True when that is news.
  bool suspect(std::string const& id, std::uint64_t incarnation, Micros now);
  // Restores what entries hold as serving and this table lost (§4.4).
  void reconcile(std::map<std::string, wire::EntryT> const& entries, Micros now);

  // A peer tells how many attempts it has at each worker; 'senders' are the peers that may have any.
  void take_peer_loads(std::string const& peer, wire::LoadsT const& loads, Micros now);
  void sum_peer_loads(std::set<std::string> const& senders, Micros now);
  wire::LoadsT own_loads() const;

  // What this node writes of the workers whose entries it owns.
  std::vector<wire::EntryT> entries_for(std::set<std::string> const& owned) const;

  // For how long it is still cold, by what its pool says now; 0 when it is warm. A sixteenth is added to the span,
  // because this node's clock and the worker's differ (§6.6).
  Micros cold_for(Worker const& worker, Micros span, Micros now) const {
    Micros const most = span + span / 16;
    return worker.warm_up_start < 0 ? most : std::max<Micros>(0, worker.warm_up_start + most - now);
  }
  // Whether this node may send to a cold worker now.
  bool has_cold_capacity(Worker& worker, std::int64_t share, Micros now) const;
  // Whether this node has sent its share since the worker last answered: it may have ended and come back since.
  // A node without a share asks right before it sends.
  bool needs_probe(Worker const& worker, std::int64_t share, Micros now) const;
  // How many sends this node has to a cold worker in one window.
  std::int64_t cold_share(Worker const& worker, std::int64_t bound, std::string const& self,
                          std::set<std::string> const& names) const;
  static constexpr Micros cold_window = millis(1250);  // a second, and a little for what the way adds or takes

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

// The name that comes first for a key in rendezvous order.
std::string rendezvous(std::string const& key, std::set<std::string> const& names);
std::size_t rendezvous_rank(std::string const& key, std::string const& self, std::set<std::string> const& names);

}  // namespace pipit
