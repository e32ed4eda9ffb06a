#include "routing/registry/registry.h"

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"

namespace pipit {

namespace {
constexpr Micros first_ejection = millis(600);
constexpr Micros longest_ejection = seconds(5);
constexpr Micros ended_retention = seconds(60);
constexpr std::size_t min_mass_suspicions =
    3;  // this many suspected at once have a common cause, even if few are known
}  // namespace

Instance* Registry::find(std::string const& id) {
  std::map<std::string, Instance>::iterator const position = all.find(id);
  return position == all.end() ? nullptr : &position->second;
}

wire::EntryT Registry::entry_of(Instance const& instance) const {
  wire::EntryT out;
  out.key = instance.id;
  out.incarnation = instance.has_deregistered() ? deregistered_incarnation : instance.order;
  out.deregistered = instance.has_deregistered();
  out.address = instance.address;
  out.zone = instance.zone;
  out.pool = instance.pool;
  out.slots = static_cast<std::uint32_t>(instance.slots);
  out.state = static_cast<std::uint8_t>(instance.state);
  return out;
}

void Registry::set_state(Instance& instance, WorkerState state, Micros now) {
  if (instance.state == state) return;
  instance.state = state;
  switch (state) {
    case WorkerState::serving:
      log_event(Event::worker_recovered, instance.id);
      break;
    case WorkerState::draining:
      log_event(Event::worker_leaving, instance.id);
      break;
    case WorkerState::ended:
      instance.state_since = now;  // the retention of the ended entry starts here
      log_event(Event::worker_removed, instance.id);
      ended_workers.push_back(instance.id);
      break;
  }
}

std::optional<wire::EntryT> Registry::heartbeat(Heartbeat const& heartbeat, Micros now) {
  Instance& item = all[heartbeat.id];
  bool const first = item.id.empty();
  // A delayed heartbeat. After a deregistration it may have any number, since the deregistration need not have one.
  if (!first && heartbeat.order < item.order) return std::nullopt;
  if (item.has_deregistered() && guard_enabled(Guard::tombstone)) return std::nullopt;
  bool update = first || item.owner != self_ || item.address != heartbeat.address || item.zone != heartbeat.zone ||
                item.pool != heartbeat.pool || item.slots != heartbeat.slots;
  if (first) {
    item.id = heartbeat.id;
    item.state_since = now;
    log_event(Event::worker_joined, heartbeat.id + " at " + heartbeat.address);
  }
  item.address = heartbeat.address;
  item.zone = heartbeat.zone;
  item.pool = heartbeat.pool;
  item.slots = heartbeat.slots;
  item.order = heartbeat.order;
  item.owner = self_;
  item.last_heartbeat = now;
  // A heartbeat received after the suspicion clears it; an ejection after repeated failures stays.
  if (item.suspected >= 0 && item.consecutive_failures <= 1) item.ejected = -1;
  item.suspected = -1;
  WorkerState const reported = heartbeat.leaving ? WorkerState::draining : WorkerState::serving;
  if (heartbeat.leaving) item.announced_end = std::max(item.announced_end, AnnouncedEnd::draining);
  // §4.3: an end announced by this incarnation is final; only an end by timeout is revoked.
  bool const end_is_final =
      item.announced_end != AnnouncedEnd::none && reported == WorkerState::serving && guard_enabled(Guard::tombstone);
  if (item.state != reported && !end_is_final) {
    set_state(item, reported, now);
    update = true;
  }
  if (!update) return std::nullopt;
  return entry_of(item);
}

bool Registry::record_liveness(Heartbeat const& heartbeat, Micros now) {
  Instance* const item = find(heartbeat.id);
  if (item == nullptr || item->owner == self_) return false;
  if (heartbeat.order >= item->order) item->last_byte = now;
  return true;
}

std::optional<wire::EntryT> Registry::leave(std::string const& id, std::uint64_t order, Micros now) {
  Instance* const item = find(id);
  if (item == nullptr) return std::nullopt;
  item->order = std::max(item->order, order);
  item->announced_end = AnnouncedEnd::deregistered;
  item->owner = self_;
  set_state(*item, WorkerState::ended, now);
  return entry_of(*item);
}

wire::EntryT Registry::adopt(std::string const& id, Micros now) {
  Instance& item = all[id];
  item.owner = self_;
  item.last_heartbeat = now;
  return entry_of(item);
}

bool Registry::revokes_known_end(Instance const& instance, wire::EntryT const& entry) {
  WorkerState const reported = static_cast<WorkerState>(entry.state);
  if (instance.has_deregistered()) return reported != WorkerState::ended;
  if (instance.state == WorkerState::serving || reported != WorkerState::serving) return false;
  return instance.announced_end != AnnouncedEnd::none || entry.incarnation < instance.order;
}

std::optional<wire::EntryT> Registry::take_entry(wire::EntryT const& entry, Micros now) {
  if (is_secondary_report(entry.key) || entry.state > static_cast<std::uint8_t>(WorkerState::ended))
    return std::nullopt;
  WorkerState const reported = static_cast<WorkerState>(entry.state);
  Instance& item = all[entry.key];
  bool const first = item.id.empty();
  if (first) {
    item.id = entry.key;
    item.state_since = now;
    item.state = reported;
    log_event(Event::worker_joined, entry.key + " at " + entry.address);
  } else if (revokes_known_end(item, entry) && guard_enabled(Guard::local_veto)) {
    // The peer's information is older: this node's entry is written again with a later stamp, so that all peers receive
    // it (§12.3). An end that the worker announced is not revoked, whichever node took its last heartbeat.
    item.order = std::max(item.order, entry.incarnation);
    return entry_of(item);
  }
  if (reported == WorkerState::draining) item.announced_end = std::max(item.announced_end, AnnouncedEnd::draining);
  if (entry.deregistered) item.announced_end = AnnouncedEnd::deregistered;
  item.address = entry.address;
  item.zone = entry.zone;
  item.pool = entry.pool;
  item.slots = entry.slots;
  item.order = std::max(item.order, entry.incarnation);
  bool const newly_owned = entry.owner == self_ && item.owner != self_;
  item.owner = entry.owner;
  if (newly_owned)
    item.last_heartbeat = now;  // an entry written by this node before it restarted: the silence timeout starts anew
  if (!first) set_state(item, reported, now);
  return std::nullopt;
}

// Connections to many workers that break together point to this node's network rather than to each worker.
bool Registry::many_suspected(Micros now) const {
  std::size_t const suspected = static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](std::pair<std::string const, Instance> const& item) {
        Instance const& at = item.second;
        return at.suspected >= 0 && now - at.suspected < heartbeat_interval_ * 3 && at.state != WorkerState::ended;
      }));
  return suspected >= std::max(min_mass_suspicions, all.size() / 4);
}

std::vector<wire::EntryT> Registry::end_silent_workers(Micros now) {
  std::vector<wire::EntryT> out;
  bool const suspicion_counts = !many_suspected(now);
  for (std::map<std::string, Instance>::iterator it = all.begin(); it != all.end();) {
    Instance& item = it->second;
    // Two heartbeats may be lost on the way to the next node; one and a half are enough when a connection broke as
    // well.
    bool const suspected = item.suspected >= 0 && suspicion_counts;
    Micros const timeout = suspected ? heartbeat_interval_ * 7 / 4 : heartbeat_interval_ * 3;
    // Heartbeats may also be seconds late: unless the worker is suspected, data received in responses also
    // shows that it is alive.
    Micros const last_sign = suspected ? item.last_heartbeat : std::max(item.last_heartbeat, item.last_byte);
    if (item.owner == self_ && item.last_heartbeat >= 0 && item.state != WorkerState::ended &&
        now - last_sign > timeout) {
      set_state(item, WorkerState::ended, now);
      out.push_back(entry_of(item));
    }
    if (item.state == WorkerState::ended && item.running == 0 &&
        now - std::max(item.state_since, item.last_heartbeat) > ended_retention &&
        now - item.last_sent > ended_retention)
      it = all.erase(it);
    else
      ++it;
  }
  return out;
}

void Registry::reset_silence_timers(Micros now) {
  for (std::pair<std::string const, Instance>& item : all) {
    if (item.second.last_heartbeat >= 0) item.second.last_heartbeat = now;
    item.second.last_byte = now;
  }
}

bool Registry::suspect(std::string const& id, Micros now) {
  Instance* const item = find(id);
  if (item == nullptr) return false;
  if (item->suspected >= 0 && item->ejected > now)
    return false;  // an ejection without suspicion (an overloaded worker) doesn't count
  ++item->consecutive_failures;
  item->suspected = now;
  item->ejected =
      now + std::min<Micros>(longest_ejection, first_ejection << std::min(item->consecutive_failures - 1, 4));
  return true;
}

void Registry::record_response(Instance& instance, Micros now) {
  instance.last_byte = now;
  instance.consecutive_failures = 0;
  instance.suspected = -1;
  instance.ejected = -1;
}

void Registry::take_peer_loads(wire::LoadsT const& loads, Micros now) {
  for (std::unique_ptr<wire::LoadT> const& load : loads.list) {
    Instance* const item = find(load->worker);
    if (item == nullptr) continue;
    if (load->reading > 0) item->work(load->reading, now);
    if (load->attempts > 0) {
      item->reported_load = load->attempts;
      item->reported_load_at = now;
    }
    if (load->suspected) suspect(load->worker, now);
  }
}

}  // namespace pipit
