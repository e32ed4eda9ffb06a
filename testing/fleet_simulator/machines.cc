// Machines, connections and disks of a world: what carries a node's effects out (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "routing/index/path.h"

namespace pipit {

World::Box& World::add(std::string const& name, std::string const& address, std::string const& zone, MemberRole role) {
  std::unique_ptr<Box>& slot = boxes[name];
  slot = std::make_unique<Box>();
  slot->name = name;
  slot->address = address;
  slot->zone = zone;
  slot->role = role;
  // Clocks differ by up to three percent.
  slot->rate = 1.0 + (static_cast<double>(random.below(2001)) - 1000.0) / 1e6 * 30;
  slot->offset = static_cast<Micros>(random.below(1000000000));
  return *slot;
}

void World::boot(Box& box) {
  if (box.up()) return;
  box.process_id = ++process_count;
  if (!log_is_muted())
    std::printf("default] %lld BOOT %s %s\n", static_cast<long long>(now / 1000), box.name.c_str(),
                box.address.c_str());
  box.frozen = false;
  box.power = false;
  box.deferred.clear();
  box.connections.clear();
  box.chat_requests.clear();
  box.attempts.clear();
  box.begun.clear();
  box.serial = 0;
  box.troubled = now;
  NodePlan p;
  p.name = box.name;
  p.zone = box.zone;
  p.address = box.address;
  p.role = box.role;
  // A machine is set up with the addresses that the first three replicas have by then, and keeps them.
  if (box.seeds.empty() || box.seeded_at != box.address) {
    box.seeds.clear();
    box.seeded_at = box.address;
    for (int i = 1; i <= 3; ++i) {
      std::string const name = "k" + std::to_string(i);
      box.seeds.push_back(boxes.count(name) ? boxes[name]->address : "10.0.2." + std::to_string(i) + ":7000");
    }
  }
  p.seeds = box.seeds;
  if (box.role == MemberRole::config_store)
    for (int i = 1; i <= plan.shape->replicas; ++i) p.initial_members.push_back("k" + std::to_string(i));
  p.incarnation = 1000 + process_count;
  p.random_seed = hash_bits(plan.seed * 31 + process_count);
  std::optional<wire::RecordT> recovered;
  if (box.role == MemberRole::config_store) {
    // What was being written when the power went may be there, or not.
    if (box.writing && random.chance(0.5)) box.disk = box.writing;
    box.writing.reset();
    if (!box.disk) {
      wire::RecordT blank;
      blank.cluster = "pipit";
      blank.name = box.name;
      blank.disk = hash_bits(plan.seed ^ (process_count << 20));
      box.disk = blank;
    }
    recovered = box.disk;
  }
  box.node = std::make_unique<Node>(p, clock(box), recovered);
  std::string const name = box.name;
  std::uint64_t const process_id = box.process_id;
  after(lag(), [this, name, process_id] { tick(*boxes[name], process_id); });
}

void World::halt(Box& box, bool power) {
  if (!box.up()) return;
  box.troubled = now;
  ChatCounters const& t = box.node->chat_dispatcher.counters;
  first_sends += t.first_sends;
  resends += t.retries;
  box.power = power;
  std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>> const connections = box.connections;
  box.connections.clear();
  box.node.reset();
  for (std::pair<ConnectionId const, std::pair<std::shared_ptr<Link>, int>> const& item : connections) {
    if (power) continue;
    hang(item.second.first, item.second.second);
  }
  // Its attempts' connections end with it, so its workers stop; its callers know nothing.
  for (std::pair<std::uint64_t const, std::uint64_t> const& item : box.chat_requests) {
    std::uint64_t const wish = item.second;
    after(lag(), [this, wish] { request_ended(wish, "lost", 0); });
    for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& process : processes)
      process.second->runs.erase(wish);
  }
  for (std::pair<std::uint64_t const, std::unique_ptr<Change_>>& item : changes)
    if (item.second->box == box.name) item.second->over = true;
}

void World::freeze(Box& box, Micros span) {
  if (!box.up() || box.frozen) return;
  box.frozen = true;
  box.troubled = now;
  std::string const name = box.name;
  std::uint64_t const process_id = box.process_id;
  after(span, [this, name, process_id] {
    Box& item = *boxes[name];
    if (item.process_id != process_id || !item.up()) return;
    item.frozen = false;
    item.troubled = now;
    std::vector<std::function<void()>> const list = std::move(item.deferred);
    item.deferred.clear();
    for (std::function<void()> const& act : list) act();
  });
}

// Runs one step of a node: later when it is frozen, never when that life has ended.
void World::enter(Box& box, std::uint64_t process_id, std::function<void(Box&, Micros, NodeEffects&)> step) {
  if (!box.up() || box.process_id != process_id) return;
  if (box.frozen) {
    std::string const name = box.name;
    box.deferred.push_back([this, name, process_id, step = std::move(step)] { enter(*boxes[name], process_id, step); });
    return;
  }
  if (!log_is_muted()) log_prefix() = std::to_string(now / 1000) + " " + box.name + " ";
  NodeEffects out;
  step(box, clock(box), out);
  obey(box, out);
  if (!box.up()) return;
  // What is in force on a node is checked whenever it may have changed.
  std::uint64_t const serial = box.node->learner.serial();
  if (serial == box.serial) return;
  if (serial < box.serial)
    fault("N7 " + box.name + " went from serial " + std::to_string(box.serial) + " to " + std::to_string(serial));
  box.serial = serial;
  std::string const& change = box.node->learner.value->change;
  note(box.name + " " + std::to_string(serial) + " " + change);
  std::map<std::uint64_t, std::string>::const_iterator const seen = serial_change.find(serial);
  if (seen != serial_change.end() && seen->second != change)
    fault("N8 serial " + std::to_string(serial) + " is " + seen->second + " and " + change);
  serial_change[serial] = change;
  if (refused_changes.count(change)) fault("N8 the refused change " + change + " is in force on " + box.name);
}

void World::tick(Box& box, std::uint64_t process_id) {
  if (!box.up() || box.process_id != process_id) return;
  if (!box.frozen) enter(box, process_id, [](Box& item, Micros t, NodeEffects& out) { item.node->tick(t, out); });
  std::string const name = box.name;
  after(millis(50), [this, name, process_id] { tick(*boxes[name], process_id); });
}

void World::set_cut(std::string const& a, std::string const& b, bool on) {
  if (on)
    cuts.insert({a, b});
  else
    cuts.erase({a, b});
  for (std::string const& name : {a, b})
    if (boxes.count(name)) boxes[name]->troubled = now;
}

void World::heal() {
  std::set<std::pair<std::string, std::string>> const old = std::move(cuts);
  cuts.clear();
  for (std::pair<std::string, std::string> const& item : old)
    for (std::string const& name : {item.first, item.second})
      if (boxes.count(name)) boxes[name]->troubled = now;
  // What stood still on open connections goes on, in order.
  for (std::shared_ptr<Link> const& link : links)
    for (int side = 0; side < 2; ++side) {
      std::vector<std::string> const list = std::move(link->stalled[side]);
      link->stalled[side].clear();
      for (std::string const& bytes : list) pass(link, side, bytes);
    }
}

void World::dial(Box& box, std::string const& address) {
  std::string const from = box.name;
  std::uint64_t const process_id = box.process_id;
  Box* target = nullptr;
  for (std::pair<std::string const, std::unique_ptr<Box>>& item : boxes)
    if (item.second->address == address && (item.second->up() || target == nullptr)) target = item.second.get();
  bool const dead_end = target == nullptr || target->power || cut(from, target->name) || cut(target->name, from);
  if (dead_end || !target->up()) {
    // A machine without power, or behind a cut, says nothing; a machine without the process refuses.
    after(dead_end ? seconds(1) : lag(), [this, from, process_id, address, dead_end] {
      enter(*boxes[from], process_id, [address, dead_end](Box& item, Micros t, NodeEffects& out) {
        item.node->dial_failed(address, !dead_end, t, out);
      });
    });
    return;
  }
  std::shared_ptr<Link> const link = std::make_shared<Link>();
  link->id = ++link_count;
  link->name[0] = from;
  link->name[1] = target->name;
  link->process_id[0] = process_id;
  link->process_id[1] = target->process_id;
  links.push_back(link);
  Micros const there = lag();
  Micros const back = there + lag();
  link->last[1] = now + back;  // nothing reaches the dialler before its connection is open
  for (int side = 0; side < 2; ++side)
    after(side == 1 ? there : back, [this, link, side, address] {
      Box& item = *boxes[link->name[side]];
      if (!item.up() || item.process_id != link->process_id[side]) return;
      if (!link->open) {  // the other side ended it already
        if (side == 0)
          enter(item, item.process_id,
                [address](Box& b, Micros t, NodeEffects& out) { b.node->dial_failed(address, false, t, out); });
        return;
      }
      link->connection[side] = ++item.next_connection;
      item.connections[link->connection[side]] = {link, side};
      ConnectionId const id = link->connection[side];
      enter(item, item.process_id, [id, side, address](Box& b, Micros t, NodeEffects& out) {
        b.node->connection_opened(id, side == 0, address, t, out);
      });
    });
}

void World::hang(std::shared_ptr<Link> link, int from) {
  if (!link->open) return;
  link->open = false;
  int const to = 1 - from;
  if (boxes[link->name[from]]->up() && link->connection[from] != 0)
    boxes[link->name[from]]->connections.erase(link->connection[from]);
  if (cut(link->name[from], link->name[to])) return;  // the other side finds out by itself
  after(lag(), [this, link, to] {
    Box& item = *boxes[link->name[to]];
    if (!item.up() || item.process_id != link->process_id[to] || link->connection[to] == 0) return;
    item.connections.erase(link->connection[to]);
    ConnectionId const id = link->connection[to];
    enter(item, item.process_id, [id](Box& b, Micros t, NodeEffects& out) { b.node->connection_closed(id, t, out); });
  });
}

void World::pass(std::shared_ptr<Link> link, int side, std::string bytes) {
  int const to = 1 - side;
  if (cut(link->name[side], link->name[to])) {
    if (link->stalled[side].size() < 200) link->stalled[side].push_back(std::move(bytes));
    return;
  }
  // Connections differ in pace; on one connection the order stands.
  Micros const when =
      std::max(link->last[side] + 1, now + lag() + (random.chance(0.01) ? lag(millis(5), millis(80)) : 0));
  link->last[side] = when;
  at(when, [this, link, to, side, bytes = std::move(bytes)] {
    if (!link->open) {
      return;
    }
    Box& item = *boxes[link->name[to]];
    if (!item.up() || item.process_id != link->process_id[to]) return;
    if (cut(link->name[side], link->name[to])) {
      link->stalled[side].push_back(bytes);
      return;
    }
    ++end.frames;
    enter(item, item.process_id, [this, link, to, bytes](Box& b, Micros t, NodeEffects& out) {
      if (!b.connections.count(link->connection[to])) return;
      if (!b.node->receive_frame(link->connection[to], bytes, t, out)) fault("frame: a frame did not verify");
    });
  });
}

void World::carry(Box& box, ConnectionId id, std::string bytes) {
  std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>>::const_iterator const position =
      box.connections.find(id);
  if (position == box.connections.end()) return;
  if (!position->second.first->open) {
    // A connection whose other end is gone: writing to it finds that out.
    box.connections.erase(id);
    std::string const name = box.name;
    std::uint64_t const process_id = box.process_id;
    after(lag(), [this, name, process_id, id] {
      enter(*boxes[name], process_id,
            [id](Box& b, Micros t, NodeEffects& out) { b.node->connection_closed(id, t, out); });
    });
    return;
  }
  pass(position->second.first, position->second.second, std::move(bytes));
}

void World::save(Box& box, wire::RecordT record) {
  box.writing = record;
  std::string const name = box.name;
  std::uint64_t const process_id = box.process_id;
  after(lag(box.disk_low, box.disk_high), [this, name, process_id, record = std::move(record)] {
    Box& item = *boxes[name];
    if (!item.up() || item.process_id != process_id) return;
    item.disk = record;
    item.writing.reset();
    enter(item, process_id, [](Box& b, Micros t, NodeEffects& out) { b.node->record_synced(t, out); });
  });
}

void World::obey(Box& box, NodeEffects& out) {
  std::string const name = box.name;
  std::uint64_t const process_id = box.process_id;
  if (out.record_to_sync) save(box, std::move(*out.record_to_sync));
  for (std::string const& address : out.mesh.dial_addresses) dial(box, address);
  for (ConnectionEffects::OutgoingFrame& send : out.mesh.outgoing_frames)
    carry(box, send.connection, std::move(send.bytes));
  for (ConnectionId const id : out.mesh.closed_connections) {
    std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>>::const_iterator const position =
        box.connections.find(id);
    if (position == box.connections.end()) continue;
    std::pair<std::shared_ptr<Link>, int> const item = position->second;
    hang(item.first, item.second);
    box.connections.erase(id);
  }
  for (ChatAttemptStart const& start : out.chat.attempts) attempt(box, start);
  for (ChatFailure const& verdict : out.chat.failures) {
    std::uint64_t const wish =
        box.chat_requests.count(verdict.chat_request) ? box.chat_requests[verdict.chat_request] : 0;
    box.chat_requests.erase(verdict.chat_request);
    box.attempts.erase(verdict.chat_request);
    std::string const ran = execution_status_name(verdict.execution);
    Micros const back = verdict.retry_after;
    ++end.kinds[std::string("answer ") + error_code_row(verdict.error.code).name];
    after(lag(), [this, wish, ran, back] { request_ended(wish, ran, back); });
  }
  for (std::uint64_t const id : out.chat.cancelled_attempts) box.attempts.erase(id);
  for (ChangeReply const& reply : out.replies) answered(box, reply);
  if (out.read_list) {
    bool const mute = (list_down && list_silent) || cut(name, "list");
    bool const odd = list_down || random.chance(0.02);
    bool const bad = mute || odd;
    bool const spoke = odd && !mute;  // refused, or an answer that is none
    after(mute ? seconds(1) : lag(millis(3), millis(40)), [this, name, process_id, bad, spoke] {
      std::optional<std::vector<ListRow>> rows;
      // Readers see the list a little behind the truth.
      if (!bad)
        for (std::pair<Micros, std::vector<ListRow>> const& item : list)
          if (item.first <= now - millis(700) || !rows) rows = item.second;
      enter(*boxes[name], process_id,
            [rows, spoke](Box& b, Micros t, NodeEffects& o) { b.node->handle_worker_list(rows, spoke, t, o); });
    });
  }
  for (HealthCheck const& check : out.health_checks) {
    WorkerProcess* process = nullptr;
    for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& item : processes)
      if (item.second->row.address == check.address) process = item.second.get();
    bool const silent = process == nullptr || process->frozen || cut(name, process->row.id);
    bool const refused = !silent && process->process_id == 0;
    after(silent ? seconds(1) : lag(millis(1), millis(15)), [this, name, process_id, check, silent, refused] {
      std::optional<HealthReport> report;
      bool no = refused;
      if (!silent && !refused)
        for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& item : processes)
          if (item.second->row.address == check.address) {
            if (item.second->process_id == 0) {
              no = true;
              break;
            }
            HealthReport v;
            v.incarnation = item.second->process_id;
            v.awake = now - item.second->woke;
            for (std::pair<Micros, std::int64_t> const& past : item.second->history)
              if (past.first <= now - seconds(1)) v.demand = past.second;
            report = v;
          }
      enter(*boxes[name], process_id, [check, report, no](Box& b, Micros t, NodeEffects& o) {
        b.node->handle_health_report(check, report, no, t, o);
      });
    });
  }
}

}  // namespace pipit
