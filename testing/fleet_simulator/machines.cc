// Simulated machines, connections and disks, which apply the effects of the nodes (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "routing/index/path.h"

namespace pipit {

World::Machine& World::add_machine(std::string const& name, std::string const& address, std::string const& zone,
                                   MemberRole role) {
  std::unique_ptr<Machine>& slot = machines[name];
  slot = std::make_unique<Machine>();
  slot->name = name;
  slot->address = address;
  slot->zone = zone;
  slot->role = role;
  // Clock rates differ from virtual time by up to three percent.
  slot->rate = 1.0 + (static_cast<double>(random.below(2001)) - 1000.0) / 1e6 * 30;
  slot->offset = static_cast<Micros>(random.below(1000000000));
  return *slot;
}

void World::start_machine(Machine& machine) {
  if (machine.up()) return;
  machine.process_id = ++process_count;
  if (!log_is_muted())
    std::printf("default] %lld BOOT %s %s\n", static_cast<long long>(now / 1000), machine.name.c_str(),
                machine.address.c_str());
  machine.frozen = false;
  machine.power = false;
  machine.deferred.clear();
  machine.connections.clear();
  machine.chat_requests.clear();
  machine.attempts.clear();
  machine.begun.clear();
  machine.serial = 0;
  machine.disturbed_at = now;
  NodePlan node_plan;
  node_plan.name = machine.name;
  node_plan.zone = machine.zone;
  node_plan.address = machine.address;
  node_plan.role = machine.role;
  // A machine is configured with the addresses that the first three replicas have at that time, and keeps them until
  // its own address changes.
  if (machine.seeds.empty() || machine.seeded_at != machine.address) {
    machine.seeds.clear();
    machine.seeded_at = machine.address;
    for (int i = 1; i <= 3; ++i) {
      std::string const name = "k" + std::to_string(i);
      machine.seeds.push_back(machines.count(name) ? machines[name]->address : "10.0.2." + std::to_string(i) + ":7000");
    }
  }
  node_plan.seeds = machine.seeds;
  if (machine.role == MemberRole::config_store)
    for (int i = 1; i <= plan.shape->replicas; ++i) node_plan.initial_members.push_back("k" + std::to_string(i));
  node_plan.incarnation = 1000 + process_count;
  node_plan.random_seed = hash_bits(plan.seed * 31 + process_count);
  std::optional<wire::RecordT> recovered;
  if (machine.role == MemberRole::config_store) {
    // A record that was being written when the node stopped may or may not be on the disk.
    if (machine.writing && random.chance(0.5)) machine.disk = machine.writing;
    machine.writing.reset();
    if (!machine.disk) {
      wire::RecordT blank;
      blank.cluster = "pipit";
      blank.name = machine.name;
      blank.disk = hash_bits(plan.seed ^ (process_count << 20));
      machine.disk = blank;
    }
    recovered = machine.disk;
  }
  machine.node = std::make_unique<Node>(node_plan, clock(machine), recovered);
  std::string const name = machine.name;
  std::uint64_t const process_id = machine.process_id;
  after(random_delay(), [this, name, process_id] { tick(*machines[name], process_id); });
}

void World::stop_machine(Machine& machine, bool power) {
  if (!machine.up()) return;
  machine.disturbed_at = now;
  ChatCounters const& counters = machine.node->chat_dispatcher.counters;
  first_sends += counters.first_sends;
  resends += counters.retries;
  machine.power = power;
  std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>> const connections = machine.connections;
  machine.connections.clear();
  machine.node.reset();
  for (std::pair<ConnectionId const, std::pair<std::shared_ptr<Link>, int>> const& item : connections) {
    if (power) continue;
    close_link(item.second.first, item.second.second);
  }
  // The connections of the node's attempts close, so the workers stop running them; its clients get no answer.
  for (std::pair<std::uint64_t const, std::uint64_t> const& item : machine.chat_requests) {
    std::uint64_t const client_request = item.second;
    after(random_delay(), [this, client_request] { request_ended(client_request, "lost", 0); });
    for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& process : processes)
      process.second->runs.erase(client_request);
  }
  for (std::pair<std::uint64_t const, std::unique_ptr<PendingChange>>& item : changes)
    if (item.second->machine == machine.name) item.second->finished = true;
}

void World::freeze_machine(Machine& machine, Micros span) {
  if (!machine.up() || machine.frozen) return;
  machine.frozen = true;
  machine.disturbed_at = now;
  std::string const name = machine.name;
  std::uint64_t const process_id = machine.process_id;
  after(span, [this, name, process_id] {
    Machine& item = *machines[name];
    if (item.process_id != process_id || !item.up()) return;
    item.frozen = false;
    item.disturbed_at = now;
    std::vector<std::function<void()>> const list = std::move(item.deferred);
    item.deferred.clear();
    for (std::function<void()> const& act : list) act();
  });
}

// Runs one step of a node and applies its effects: deferred while the machine is frozen, dropped if the process that
// the step was meant for has stopped.
void World::run_step(Machine& machine, std::uint64_t process_id,
                     std::function<void(Machine&, Micros, NodeEffects&)> step) {
  if (!machine.up() || machine.process_id != process_id) return;
  if (machine.frozen) {
    std::string const name = machine.name;
    machine.deferred.push_back(
        [this, name, process_id, step = std::move(step)] { run_step(*machines[name], process_id, step); });
    return;
  }
  if (!log_is_muted()) log_prefix() = std::to_string(now / 1000) + " " + machine.name + " ";
  NodeEffects out;
  step(machine, clock(machine), out);
  apply_effects(machine, out);
  if (!machine.up()) return;
  // The configuration in force on a node is checked each time its serial has changed.
  std::uint64_t const serial = machine.node->learner.serial();
  if (serial == machine.serial) return;
  if (serial < machine.serial)
    record_violation("N7 " + machine.name + " went from serial " + std::to_string(machine.serial) + " to " +
                     std::to_string(serial));
  machine.serial = serial;
  std::string const& change = machine.node->learner.value->change;
  add_to_hash(machine.name + " " + std::to_string(serial) + " " + change);
  std::map<std::uint64_t, std::string>::const_iterator const seen = serial_change.find(serial);
  if (seen != serial_change.end() && seen->second != change)
    record_violation("N8 serial " + std::to_string(serial) + " is " + seen->second + " and " + change);
  serial_change[serial] = change;
  if (refused_changes.count(change))
    record_violation("N8 the refused change " + change + " is in force on " + machine.name);
}

void World::tick(Machine& machine, std::uint64_t process_id) {
  if (!machine.up() || machine.process_id != process_id) return;
  if (!machine.frozen)
    run_step(machine, process_id, [](Machine& item, Micros t, NodeEffects& out) { item.node->tick(t, out); });
  std::string const name = machine.name;
  after(millis(50), [this, name, process_id] { tick(*machines[name], process_id); });
}

void World::set_cut(std::string const& a, std::string const& b, bool on) {
  if (on)
    cuts.insert({a, b});
  else
    cuts.erase({a, b});
  for (std::string const& name : {a, b})
    if (machines.count(name)) machines[name]->disturbed_at = now;
}

void World::heal() {
  std::set<std::pair<std::string, std::string>> const old = std::move(cuts);
  cuts.clear();
  for (std::pair<std::string, std::string> const& item : old)
    for (std::string const& name : {item.first, item.second})
      if (machines.count(name)) machines[name]->disturbed_at = now;
  // Frames that were held back on open connections are delivered, in order.
  for (std::shared_ptr<Link> const& link : links)
    for (int side = 0; side < 2; ++side) {
      std::vector<std::string> const list = std::move(link->stalled[side]);
      link->stalled[side].clear();
      for (std::string const& bytes : list) deliver_frame(link, side, bytes);
    }
}

void World::dial(Machine& machine, std::string const& address) {
  std::string const from = machine.name;
  std::uint64_t const process_id = machine.process_id;
  Machine* target = nullptr;
  for (std::pair<std::string const, std::unique_ptr<Machine>>& item : machines)
    if (item.second->address == address && (item.second->up() || target == nullptr)) target = item.second.get();
  bool const unreachable =
      target == nullptr || target->power || is_cut(from, target->name) || is_cut(target->name, from);
  if (unreachable || !target->up()) {
    // A machine without power or behind a cut doesn't answer; a machine on which no node runs refuses the connection.
    after(unreachable ? seconds(1) : random_delay(), [this, from, process_id, address, unreachable] {
      run_step(*machines[from], process_id, [address, unreachable](Machine& item, Micros t, NodeEffects& out) {
        item.node->dial_failed(address, !unreachable, t, out);
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
  Micros const there = random_delay();
  Micros const back = there + random_delay();
  link->last[1] = now + back;  // no frame reaches the dialling side before its connection is open
  for (int side = 0; side < 2; ++side)
    after(side == 1 ? there : back, [this, link, side, address] {
      Machine& item = *machines[link->name[side]];
      if (!item.up() || item.process_id != link->process_id[side]) return;
      if (!link->open) {  // the other side closed it already
        if (side == 0)
          run_step(item, item.process_id,
                   [address](Machine& b, Micros t, NodeEffects& out) { b.node->dial_failed(address, false, t, out); });
        return;
      }
      link->connection[side] = ++item.next_connection;
      item.connections[link->connection[side]] = {link, side};
      ConnectionId const id = link->connection[side];
      run_step(item, item.process_id, [id, side, address](Machine& b, Micros t, NodeEffects& out) {
        b.node->connection_opened(id, side == 0, address, t, out);
      });
    });
}

void World::close_link(std::shared_ptr<Link> link, int from) {
  if (!link->open) return;
  link->open = false;
  int const to = 1 - from;
  if (machines[link->name[from]]->up() && link->connection[from] != 0)
    machines[link->name[from]]->connections.erase(link->connection[from]);
  if (is_cut(link->name[from], link->name[to])) return;  // the other side notices by its own timeouts
  after(random_delay(), [this, link, to] {
    Machine& item = *machines[link->name[to]];
    if (!item.up() || item.process_id != link->process_id[to] || link->connection[to] == 0) return;
    item.connections.erase(link->connection[to]);
    ConnectionId const id = link->connection[to];
    run_step(item, item.process_id,
             [id](Machine& b, Micros t, NodeEffects& out) { b.node->connection_closed(id, t, out); });
  });
}

void World::deliver_frame(std::shared_ptr<Link> link, int side, std::string bytes) {
  int const to = 1 - side;
  if (is_cut(link->name[side], link->name[to])) {
    if (link->stalled[side].size() < 200) link->stalled[side].push_back(std::move(bytes));
    return;
  }
  // The delay varies between connections; the order of frames on one connection is kept.
  Micros const when = std::max(link->last[side] + 1,
                               now + random_delay() + (random.chance(0.01) ? random_delay(millis(5), millis(80)) : 0));
  link->last[side] = when;
  at(when, [this, link, to, side, bytes = std::move(bytes)] {
    if (!link->open) {
      return;
    }
    Machine& item = *machines[link->name[to]];
    if (!item.up() || item.process_id != link->process_id[to]) return;
    if (is_cut(link->name[side], link->name[to])) {
      link->stalled[side].push_back(bytes);
      return;
    }
    ++end.frames;
    run_step(item, item.process_id, [this, link, to, bytes](Machine& b, Micros t, NodeEffects& out) {
      if (!b.connections.count(link->connection[to])) return;
      if (!b.node->receive_frame(link->connection[to], bytes, t, out))
        record_violation("frame: a node rejected a received frame");
    });
  });
}

void World::send_frame(Machine& machine, ConnectionId id, std::string bytes) {
  std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>>::const_iterator const position =
      machine.connections.find(id);
  if (position == machine.connections.end()) return;
  if (!position->second.first->open) {
    // The other side has closed the connection: the write reports that.
    machine.connections.erase(id);
    std::string const name = machine.name;
    std::uint64_t const process_id = machine.process_id;
    after(random_delay(), [this, name, process_id, id] {
      run_step(*machines[name], process_id,
               [id](Machine& b, Micros t, NodeEffects& out) { b.node->connection_closed(id, t, out); });
    });
    return;
  }
  deliver_frame(position->second.first, position->second.second, std::move(bytes));
}

void World::sync_record(Machine& machine, wire::RecordT record) {
  machine.writing = record;
  std::string const name = machine.name;
  std::uint64_t const process_id = machine.process_id;
  after(random_delay(machine.disk_low, machine.disk_high), [this, name, process_id, record = std::move(record)] {
    Machine& item = *machines[name];
    if (!item.up() || item.process_id != process_id) return;
    item.disk = record;
    item.writing.reset();
    run_step(item, process_id, [](Machine& b, Micros t, NodeEffects& out) { b.node->record_synced(t, out); });
  });
}

void World::apply_effects(Machine& machine, NodeEffects& out) {
  std::string const name = machine.name;
  std::uint64_t const process_id = machine.process_id;
  if (out.record_to_sync) sync_record(machine, std::move(*out.record_to_sync));
  for (std::string const& address : out.mesh.dial_addresses) dial(machine, address);
  for (ConnectionEffects::OutgoingFrame& send : out.mesh.outgoing_frames)
    send_frame(machine, send.connection, std::move(send.bytes));
  for (ConnectionId const id : out.mesh.closed_connections) {
    std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>>::const_iterator const position =
        machine.connections.find(id);
    if (position == machine.connections.end()) continue;
    std::pair<std::shared_ptr<Link>, int> const item = position->second;
    close_link(item.first, item.second);
    machine.connections.erase(id);
  }
  for (ChatAttemptStart const& start : out.chat.attempts) start_attempt(machine, start);
  for (ChatFailure const& failure : out.chat.failures) {
    std::uint64_t const client_request =
        machine.chat_requests.count(failure.chat_request) ? machine.chat_requests[failure.chat_request] : 0;
    machine.chat_requests.erase(failure.chat_request);
    machine.attempts.erase(failure.chat_request);
    std::string const ran = execution_status_name(failure.execution);
    Micros const back = failure.retry_after;
    ++end.kinds[std::string("answer ") + error_code_row(failure.error.code).name];
    after(random_delay(), [this, client_request, ran, back] { request_ended(client_request, ran, back); });
  }
  for (std::uint64_t const id : out.chat.cancelled_attempts) machine.attempts.erase(id);
  for (ChangeReply const& reply : out.replies) handle_change_reply(machine, reply);
  if (out.read_list) {
    bool const unanswered = (list_down && list_silent) || is_cut(name, "list");
    bool const failed = list_down || random.chance(0.02);
    bool const bad = unanswered || failed;
    bool const answered = failed && !unanswered;  // the connection was refused, or the answer was malformed
    after(unanswered ? seconds(1) : random_delay(millis(3), millis(40)), [this, name, process_id, bad, answered] {
      std::optional<std::vector<ListRow>> rows;
      // The list as read lags 700 ms behind the current one.
      if (!bad)
        for (std::pair<Micros, std::vector<ListRow>> const& item : list)
          if (item.first <= now - millis(700) || !rows) rows = item.second;
      run_step(*machines[name], process_id, [rows, answered](Machine& b, Micros t, NodeEffects& o) {
        b.node->handle_worker_list(rows, answered, t, o);
      });
    });
  }
  for (HealthCheck const& check : out.health_checks) {
    WorkerProcess* process = nullptr;
    for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& item : processes)
      if (item.second->row.address == check.address) process = item.second.get();
    bool const silent = process == nullptr || process->frozen || is_cut(name, process->row.id);
    bool const refused = !silent && process->process_id == 0;
    after(silent ? seconds(1) : random_delay(millis(1), millis(15)), [this, name, process_id, check, silent, refused] {
      std::optional<HealthReport> report;
      bool no = refused;
      if (!silent && !refused)
        for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& item : processes)
          if (item.second->row.address == check.address) {
            if (item.second->process_id == 0) {
              no = true;
              break;
            }
            HealthReport current;
            current.incarnation = item.second->process_id;
            current.awake = now - item.second->started_at;
            for (std::pair<Micros, std::int64_t> const& past : item.second->history)
              if (past.first <= now - seconds(1)) current.demand = past.second;
            report = current;
          }
      run_step(*machines[name], process_id, [check, report, no](Machine& b, Micros t, NodeEffects& o) {
        b.node->handle_health_report(check, report, no, t, o);
      });
    });
  }
}

}  // namespace pipit
