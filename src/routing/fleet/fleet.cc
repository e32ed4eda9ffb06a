#include "routing/fleet/fleet.h"

#include <simdjson.h>

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "base/hash.h"
#include "base/ip.h"

namespace pipit {

namespace {
constexpr int listings_to_restore = 4;

bool read_text_field(simdjson::dom::element const& row, char const* key, std::string& out) {
  std::string_view view;
  if (row[key].get_string().get(view) || view.empty()) return false;
  out = view;
  return true;
}
}  // namespace

Result<std::vector<ListRow>> read_worker_list(std::string_view text) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  simdjson::dom::array items;
  if (parser.parse(simdjson::padded_string(text)).get(root))
    return fail(ErrorCode::bad_json, "the worker list is not valid JSON");
  if (root["workers"].get_array().get(items))
    return fail(ErrorCode::bad_request, "the worker list has no array \"workers\"");
  std::vector<ListRow> out;
  std::set<std::string> seen;
  for (simdjson::dom::element const& item : items) {
    ListRow row;
    std::string state;
    if (!read_text_field(item, "id", row.id) || !read_text_field(item, "address", row.address) ||
        !read_text_field(item, "zone", row.zone) || !read_text_field(item, "pool", row.pool) ||
        !read_text_field(item, "state", state) || item["incarnation"].get_uint64().get(row.incarnation))
      return fail(ErrorCode::bad_request, "a row of the worker list lacks a required field");
    if (state != "serving" && state != "leaving")
      return fail(ErrorCode::bad_request, "a row of the worker list has the unknown state " + state);
    if (!is_valid_address(row.address))
      return fail(ErrorCode::bad_request, "a row of the worker list has the invalid address " + row.address);
    if (!seen.insert(row.id).second)
      return fail(ErrorCode::bad_request, "the worker list contains " + row.id + " twice");
    row.leaving = state == "leaving";
    std::int64_t slots = 0;
    if (!item["slots"].get_int64().get(slots)) row.slots = slots;
    out.push_back(std::move(row));
  }
  return out;
}

Result<HealthReport> read_health_report(std::string_view text) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  HealthReport out;
  std::int64_t active = 0;
  std::int64_t queued = 0;
  std::int64_t awake = 0;
  if (parser.parse(simdjson::padded_string(text)).get(root) || root["incarnation"].get_uint64().get(out.incarnation) ||
      root["active"].get_int64().get(active) || root["queued"].get_int64().get(queued) ||
      root["awake_ms"].get_int64().get(awake))
    return fail(ErrorCode::worker_wrong, "the worker's health report cannot be parsed");
  out.demand = active + queued;
  out.awake = millis(awake);
  return out;
}

Worker* Fleet::find(std::string const& id) {
  std::map<std::string, Worker>::iterator const position = workers.find(id);
  return position == workers.end() ? nullptr : &position->second;
}

void Fleet::begin_incarnation(Worker& worker, std::uint64_t incarnation) {
  worker.row.incarnation = incarnation;
  worker.state = WorkerState::serving;
  worker.removed_from_list = false;
  worker.listings_since_removal = 0;
  worker.warm_up_start = -1;
  worker.unhealthy = true;
  worker.was_healthy = false;
  worker.suspected = false;
  worker.reported_uptime = 0;
  worker.missed_health_checks = 0;
  worker.demand = 0;
  restarted_workers.push_back(worker.row.id);
  log_event(Event::worker_joined, worker.row.id + " incarnation " + std::to_string(incarnation));
}

void Fleet::end_incarnation(Worker& worker, WorkerState state) {
  if (worker.state == WorkerState::serving || state == WorkerState::ended) worker.state = state;
  worker.last_ended_incarnation = std::max(worker.last_ended_incarnation, worker.row.incarnation);
  worker.listings_since_removal = 0;
  log_event(state == WorkerState::ended ? Event::worker_removed : Event::worker_leaving, worker.row.id);
}

void Fleet::take_list(std::vector<ListRow> const& rows, Micros now) {
  std::set<std::string> seen;
  for (ListRow const& row : rows) {
    seen.insert(row.id);
    Worker& worker = workers[row.id];
    bool const first = worker.row.id.empty();
    if (first) worker.row = row;
    if (row.incarnation < worker.row.incarnation) continue;  // the list is older than the worker's own report
    if (first || row.incarnation > worker.row.incarnation) {
      worker.row = row;
      begin_incarnation(worker, row.incarnation);
    }
    std::int64_t const slots = row.slots;
    worker.listed = true;
    worker.row.address = row.address;
    worker.row.zone = row.zone;
    worker.row.pool = row.pool;
    worker.row.slots = slots;
    if (row.leaving && guard_enabled(Guard::local_veto)) {
      worker.removed_from_list = false;
      if (worker.state == WorkerState::serving) end_incarnation(worker, WorkerState::draining);
    } else if (worker.state == WorkerState::ended && worker.removed_from_list &&
               ++worker.listings_since_removal >= listings_to_restore) {
      // It was missing from one list and is in every list since: the list was wrong.
      begin_incarnation(worker, row.incarnation);
      worker.last_ended_incarnation = row.incarnation - 1;
    }
  }
  for (std::pair<std::string const, Worker>& item : workers) {
    Worker& worker = item.second;
    if (seen.count(item.first)) continue;
    worker.listings_since_removal = 0;
    if (!guard_enabled(Guard::local_veto)) continue;
    if (!worker.listed) continue;  // known from entries only: this node's list may be older
    worker.listed = false;
    if (worker.state == WorkerState::ended) continue;
    worker.removed_from_list = worker.state == WorkerState::serving;
    end_incarnation(worker, WorkerState::ended);
  }
}

void Fleet::take_entry(wire::EntryT const& entry, Micros now) {
  // "w2!p3" is a report on w2 by p3, which doesn't own w2: only an end counts (§4.3).
  std::string const id = worker_of(entry.key);
  if (id.empty() || (is_secondary_report(entry.key) && entry.state == static_cast<std::uint8_t>(WorkerState::serving)))
    return;
  Worker& worker = workers[id];
  WorkerState const reported = static_cast<WorkerState>(entry.state);
  bool const first = worker.row.id.empty();
  if (first || entry.incarnation > worker.row.incarnation) {
    if (!is_valid_address(entry.address)) {
      if (first) workers.erase(id);
      return;
    }
    worker.row.id = id;
    worker.row.address = entry.address;
    worker.row.zone = entry.zone;
    worker.row.pool = entry.pool;
    worker.row.slots = entry.slots;
    begin_incarnation(worker, entry.incarnation);
  }
  if (!guard_enabled(Guard::tombstone) && entry.incarnation == worker.row.incarnation &&
      reported == WorkerState::serving)
    worker.state = reported;
  // §4.3: an entry can end an incarnation; only this node's own list or a new incarnation can revert that.
  if (entry.incarnation == worker.row.incarnation && reported != WorkerState::serving &&
      worker.state == WorkerState::serving) {
    worker.removed_from_list = reported == WorkerState::ended;
    end_incarnation(worker, reported);
  }
}

bool Fleet::suspect(std::string const& id, std::uint64_t incarnation, Micros now) {
  Worker* const worker = find(id);
  if (worker == nullptr || worker->suspected || worker->unhealthy || worker->row.incarnation != incarnation)
    return false;
  worker->suspected = true;
  worker->suspected_at = now;
  return true;
}

void Fleet::reconcile(std::map<std::string, wire::EntryT> const& entries, Micros now) {
  for (std::pair<std::string const, wire::EntryT> const& item : entries) {
    Worker const* const worker = find(worker_of(item.first));
    if (worker != nullptr && worker->last_ended_incarnation >= item.second.incarnation &&
        guard_enabled(Guard::tombstone))
      continue;
    take_entry(item.second, now);
  }
}

void Fleet::health_report(std::string const& id, std::uint64_t incarnation, Micros asked,
                          std::optional<HealthReport> const& report, bool refused, Micros now) {
  Worker* const worker = find(id);
  if (worker == nullptr || incarnation != worker->row.incarnation) return;
  if (!report) {
    ++worker->missed_health_checks;
    worker->probe_sent = -1;
    if (!worker->unhealthy && (refused || worker->missed_health_checks >= 2)) {
      worker->unhealthy = true;
      log_event(Event::worker_unhealthy, id);
    }
    return;
  }
  worker->missed_health_checks = 0;
  if (report->incarnation < worker->row.incarnation) return;  // an older incarnation still answers at this address
  if (report->incarnation > worker->row.incarnation) begin_incarnation(*worker, report->incarnation);
  worker->demand = report->demand;
  worker->reported = now;
  worker->confirmed = std::max(worker->confirmed, asked);
  worker->probe_sent = -1;
  // Only a health check sent after the suspicion clears it.
  if (asked >= worker->suspected_at) worker->suspected = false;
  // An uptime below the one reported before means that the worker has lost its cache, whatever its incarnation.
  if (!worker->unhealthy && report->awake + seconds(1) < worker->reported_uptime) {
    worker->unhealthy = true;
    worker->was_healthy = false;
    restarted_workers.push_back(id);
  }
  worker->reported_uptime = report->awake;
  if (worker->unhealthy) {
    // §6.6: a worker is cold shortly after it woke up or after an outage. For a worker that woke up before this
    // machine's clock began the time is 0, as a negative one would mean that it is unknown.
    worker->warm_up_start = worker->was_healthy ? now : std::max<Micros>(0, now - report->awake);
    worker->unhealthy = false;
    if (worker->was_healthy) log_event(Event::worker_recovered, id);
    worker->was_healthy = true;
  }
}

std::int64_t Fleet::cold_share(Worker const& worker, std::int64_t bound, std::string const& self,
                               std::set<std::string> const& names) const {
  std::int64_t const share = bound / static_cast<std::int64_t>(std::max<std::size_t>(1, names.size()));
  if (share > 0) return share;
  return static_cast<std::int64_t>(rendezvous_rank(worker.row.id, self, names)) < bound ? 1 : 0;
}

bool Fleet::needs_probe(Worker const& worker, std::int64_t share, Micros now) const {
  if (share <= 0) return worker.confirmed < now - millis(50);
  std::int64_t n = 0;
  for (Micros const at : worker.sends)
    if (at >= worker.confirmed) ++n;
  return n >= share;
}

bool Fleet::has_cold_capacity(Worker& worker, std::int64_t share, Micros now) const {
  while (!worker.sends.empty() && now - worker.sends.front() >= cold_window) worker.sends.pop_front();
  return static_cast<std::int64_t>(worker.sends.size()) < share;
}

void Fleet::take_peer_loads(std::string const& peer, wire::LoadsT const& loads, Micros now) {
  PeerLoads& item = peer_loads_[peer];
  item.at = now;
  item.attempts.clear();
  for (std::unique_ptr<wire::LoadT> const& load : loads.list) item.attempts[load->worker] = load->attempts;
}

void Fleet::sum_peer_loads(std::set<std::string> const& senders, Micros now) {
  constexpr Micros lately = millis(1500);
  bool peer_loads_complete = true;
  std::map<std::string, std::int64_t> sums;
  for (std::map<std::string, PeerLoads>::iterator it = peer_loads_.begin(); it != peer_loads_.end();) {
    if (now - it->second.at > seconds(10)) {
      it = peer_loads_.erase(it);
      continue;
    }
    for (std::pair<std::string const, std::int64_t> const& item : it->second.attempts) sums[item.first] += item.second;
    ++it;
  }
  for (std::string const& name : senders) {
    std::map<std::string, PeerLoads>::const_iterator const position = peer_loads_.find(name);
    peer_loads_complete = peer_loads_complete && position != peer_loads_.end() && now - position->second.at <= lately;
  }
  for (std::pair<std::string const, Worker>& item : workers) {
    std::map<std::string, std::int64_t>::const_iterator const sum = sums.find(item.first);
    item.second.peer_attempts = sum == sums.end() ? 0 : sum->second;
    item.second.peer_loads_complete = peer_loads_complete;
  }
}

wire::LoadsT Fleet::own_loads() const {
  wire::LoadsT out;
  for (std::pair<std::string const, Worker> const& item : workers) {
    if (item.second.attempts.empty()) continue;
    std::unique_ptr<wire::LoadT> load = std::make_unique<wire::LoadT>();
    load->worker = item.first;
    load->attempts = static_cast<std::uint32_t>(item.second.attempts.size());
    out.list.push_back(std::move(load));
  }
  return out;
}

std::vector<wire::EntryT> Fleet::entries_for(std::set<std::string> const& owned) const {
  std::vector<wire::EntryT> out;
  for (std::string const& id : owned) {
    std::map<std::string, Worker>::const_iterator const position = workers.find(id);
    if (position == workers.end()) continue;
    Worker const& worker = position->second;
    wire::EntryT entry;
    entry.key = id;
    entry.incarnation = worker.row.incarnation;
    entry.address = worker.row.address;
    entry.zone = worker.row.zone;
    entry.pool = worker.row.pool;
    entry.slots = static_cast<std::uint32_t>(worker.row.slots);
    entry.state = static_cast<std::uint8_t>(worker.state);
    out.push_back(std::move(entry));
  }
  return out;
}

std::size_t rendezvous_rank(std::string const& key, std::string const& self, std::set<std::string> const& names) {
  std::uint64_t const seed = hash_text(key);
  std::uint64_t const own = hash_text(self, seed);
  std::size_t rank = 0;
  for (std::string const& name : names) {
    std::uint64_t const other = hash_text(name, seed);
    if (name != self && (other > own || (other == own && name < self))) ++rank;
  }
  return rank;
}

std::string rendezvous(std::string const& key, std::set<std::string> const& names) {
  std::uint64_t const seed = hash_text(key);
  std::string const* first = nullptr;
  std::uint64_t most = 0;
  // For equal hashes the name that sorts first wins, as in rendezvous_rank().
  for (std::string const& name : names) {
    std::uint64_t const own = hash_text(name, seed);
    if (first != nullptr && own <= most) continue;
    first = &name;
    most = own;
  }
  return first == nullptr ? "" : *first;
}

}  // namespace pipit
