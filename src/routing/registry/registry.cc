#include "routing/registry/registry.h"

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"

namespace pipit {

namespace {
constexpr Micros shun_first = millis(600);
constexpr Micros shun_most = seconds(5);
constexpr Micros ended_kept = seconds(60);
constexpr std::size_t many_suspected_least = 3;  // suspected workers that are no accident, where few are known
}  // namespace

Instance* Registry::find(std::string const& id) {
  std::map<std::string, Instance>::iterator const position = all.find(id);
  return position == all.end() ? nullptr : &position->second;
}

wire::EntryT Registry::entry_of(Instance const& instance) const {
  wire::EntryT out;
  out.key = instance.id;
  out.incarnation = instance.order;
  out.address = instance.address;
  out.zone = instance.zone;
  out.pool = instance.pool;
  out.slots = static_cast<std::uint32_t>(instance.slots);
  out.state = static_cast<std::uint8_t>(instance.standing);
  return out;
}

void Registry::stand(Instance& instance, WorkerState standing, Micros now) {
  if (instance.standing == standing) return;
  instance.standing = standing;
  switch (standing) {
    case WorkerState::serving:
      log_event(Event::worker_recovered, instance.id);
      break;
    case WorkerState::draining:
      log_event(Event::worker_leaving, instance.id);
      break;
    case WorkerState::ended:
      instance.known = now;  // its mark is kept for a while from here on
      log_event(Event::worker_removed, instance.id);
      ended.push_back(instance.id);
      break;
  }
}

std::optional<wire::EntryT> Registry::heartbeat(Heartbeat const& heartbeat, Micros now) {
  Instance& item = all[heartbeat.id];
  bool const first = item.id.empty();
  if (!first && heartbeat.order < item.order) return std::nullopt;  // a late call
  bool update = first || item.owner != self_ || item.address != heartbeat.address || item.zone != heartbeat.zone ||
                item.pool != heartbeat.pool || item.slots != heartbeat.slots;
  if (first) {
    item.id = heartbeat.id;
    item.known = now;
    log_event(Event::worker_joined, heartbeat.id + " at " + heartbeat.address);
  }
  item.address = heartbeat.address;
  item.zone = heartbeat.zone;
  item.pool = heartbeat.pool;
  item.slots = heartbeat.slots;
  item.order = heartbeat.order;
  item.owner = self_;
  item.heard = now;
  // What it says after the doubt answers the doubt; what has failed since is counted on.
  if (item.suspected >= 0 && item.faults <= 1) item.ejected = -1;
  item.suspected = -1;
  WorkerState const said = heartbeat.leaving ? WorkerState::draining : WorkerState::serving;
  // §4.3: an end that this incarnation announced sticks; only silence is taken back.
  bool const sticks = item.standing == WorkerState::draining && said == WorkerState::serving && guard(Guard::tombstone);
  if (item.standing != said && !sticks) {
    stand(item, said, now);
    update = true;
  }
  if (!update) return std::nullopt;
  return entry_of(item);
}

bool Registry::hear(Heartbeat const& heartbeat, Micros now) {
  Instance* const item = find(heartbeat.id);
  if (item == nullptr || item->owner == self_) return false;
  if (heartbeat.order >= item->order) item->last_byte = now;
  return true;
}

std::optional<wire::EntryT> Registry::leave(std::string const& id, std::uint64_t order, Micros now) {
  Instance* const item = find(id);
  if (item == nullptr) return std::nullopt;
  item->order = std::max(item->order, order) + farewell_step;
  item->owner = self_;
  stand(*item, WorkerState::ended, now);
  return entry_of(*item);
}

wire::EntryT Registry::adopt(std::string const& id, Micros now) {
  Instance& item = all[id];
  item.owner = self_;
  item.heard = now;
  return entry_of(item);
}

std::optional<wire::EntryT> Registry::take_entry(wire::EntryT const& entry, Micros now) {
  if (is_secondary_report(entry.key) || entry.state > static_cast<std::uint8_t>(WorkerState::ended))
    return std::nullopt;
  WorkerState const said = static_cast<WorkerState>(entry.state);
  Instance& item = all[entry.key];
  bool const first = item.id.empty();
  if (first) {
    item.id = entry.key;
    item.known = now;
    item.standing = said;
    log_event(Event::worker_joined, entry.key + " at " + entry.address);
  } else if ((entry.incarnation < item.order || item.standing == WorkerState::draining) &&
             item.standing != WorkerState::serving && said == WorkerState::serving && guard(Guard::local_veto)) {
    // It knows less than this node: said again, with a later stamp, so that the others hear it too (§12.3). An end that
    // the worker announced is not taken back, whoever took its last heartbeat.
    item.order = std::max(item.order, entry.incarnation);
    return entry_of(item);
  }
  item.address = entry.address;
  item.zone = entry.zone;
  item.pool = entry.pool;
  item.slots = entry.slots;
  item.order = std::max(item.order, entry.incarnation);
  bool const mine = entry.owner == self_ && item.owner != self_;
  item.owner = entry.owner;
  if (mine) item.heard = now;  // of a former incarnation of this node: it has a span to say something here
  if (!first) stand(item, said, now);
  return std::nullopt;
}

// Connections to many workers that break together speak of this node's network, not of each worker.
bool Registry::many_suspected(Micros now) const {
  std::size_t const suspected = static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](std::pair<std::string const, Instance> const& item) {
        Instance const& at = item.second;
        return at.suspected >= 0 && now - at.suspected < heartbeat_interval_ * 3 && at.standing != WorkerState::ended;
      }));
  return suspected >= std::max(many_suspected_least, all.size() / 4);
}

std::vector<wire::EntryT> Registry::silent(Micros now) {
  std::vector<wire::EntryT> out;
  bool const suspicion_counts = !many_suspected(now);
  for (std::map<std::string, Instance>::iterator it = all.begin(); it != all.end();) {
    Instance& item = it->second;
    // Two heartbeats may be lost on the way to the next node; one and a half are enough when a connection broke as
    // well.
    bool const suspected = item.suspected >= 0 && suspicion_counts;
    Micros const most = suspected ? heartbeat_interval_ * 7 / 4 : heartbeat_interval_ * 3;
    // Heartbeats may also come late by seconds: while nothing speaks against a worker, what its answers bring counts
    // too.
    Micros const heard = suspected ? item.heard : std::max(item.heard, item.last_byte);
    if (item.owner == self_ && item.heard >= 0 && item.standing != WorkerState::ended && now - heard > most) {
      stand(item, WorkerState::ended, now);
      out.push_back(entry_of(item));
    }
    if (item.standing == WorkerState::ended && item.running == 0 &&
        now - std::max(item.known, item.heard) > ended_kept && now - item.last_sent > ended_kept)
      it = all.erase(it);
    else
      ++it;
  }
  return out;
}

void Registry::stood_still(Micros now) {
  for (std::pair<std::string const, Instance>& item : all) {
    if (item.second.heard >= 0) item.second.heard = now;
    item.second.last_byte = now;
  }
}

bool Registry::suspect(std::string const& id, Micros now) {
  Instance* const item = find(id);
  if (item == nullptr) return false;
  if (item->suspected >= 0 && item->ejected > now) return false;  // shunned for being full is no doubt
  ++item->faults;
  item->suspected = now;
  item->ejected = now + std::min<Micros>(shun_most, shun_first << std::min(item->faults - 1, 4));
  return true;
}

void Registry::well(Instance& instance, Micros now) {
  instance.last_byte = now;
  instance.faults = 0;
  instance.suspected = -1;
  instance.ejected = -1;
}

void Registry::peer_loads(wire::LoadsT const& loads, Micros now) {
  for (std::unique_ptr<wire::LoadT> const& load : loads.list) {
    Instance* const item = find(load->worker);
    if (item == nullptr) continue;
    if (load->reading > 0) item->work(load->reading, now);
    if (load->attempts > 0) {
      item->said = load->attempts;
      item->said_at = now;
    }
    if (load->suspected) suspect(load->worker, now);
  }
}

}  // namespace pipit
