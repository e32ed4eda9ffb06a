#include "testing/control_plane_simulator/world.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "testing/control_plane_simulator/node_view.h"

namespace pipit::control_plane_simulator {

namespace {
constexpr Micros tick_gap = millis(50);
constexpr Micros dial_timeout = seconds(1);
constexpr Micros heed = millis(2600);        // the shell's, before it announces the departure
constexpr Micros grace_most = millis(7300);  // when the shell ends whatever is under way
constexpr Micros disk_retry = millis(100);   // of a refused write
constexpr int open_attempts_most = 50;       // of a disk that refuses, before the process ends
constexpr Micros restart_pause = seconds(1);
constexpr std::size_t file_reserved = 4096;
constexpr std::uint64_t save_steps = 4;  // a write and a sync of both copies
constexpr Micros retransmit_most = millis(200);
constexpr std::size_t seeds_given = 3;
// Processor time of a whole core: for a step of a process or a frame that it sends, and for a kilobyte of them.
constexpr Micros step_cost = 40;
constexpr Micros kilobyte_cost = 10;
constexpr double least_share_left = 0.05;  // of a processor, beside requests of clients
}  // namespace

World::World(WorldPlan plan_) : plan(plan_), random(plan_.seed * 0x9e3779b97f4a7c15ull + 17) {
  for (std::size_t i = 0; i < plan.disks; ++i) add(true);
  for (std::size_t i = 0; i < plan.plain; ++i) add(false);
}

World::~World() = default;

void World::at(Micros when, std::function<void()> act) {
  events.push(Event{std::max(when, time), ++order, std::move(act)});
}

void World::run_until(Micros when) {
  while (!events.empty() && events.top().at <= when) {
    Event event = events.top();
    events.pop();
    time = event.at;
    event.act();
  }
  time = when;
}

// ---- machines

MachineId World::add(bool replica) {
  std::unique_ptr<Machine> made = std::make_unique<Machine>();
  made->id = machines.size();
  // Names sort in another order than the machines were made in.
  made->name = "m" + std::to_string(100 + hash_bits(plan.seed + 31 * machines.size()) % 900) + "-" +
               std::to_string(machines.size());
  made->address = "10.0.0." + std::to_string(machines.size() + 1) + ":7000";
  made->zone = "z" + std::to_string(machines.size() % plan.zones);
  made->replica = replica;
  made->clock_rate = 1.0 + (static_cast<double>(random.below(2001)) - 1000.0) * 1e-5;
  made->clock_offset = static_cast<Micros>(random.below(1000000000));
  made->calm_since = time;
  machine_by_address[made->address] = made->id;
  machines.push_back(std::move(made));
  return machines.back()->id;
}

Micros World::clock(Machine const& machine) const {
  return machine.clock_offset + static_cast<Micros>(static_cast<double>(time) * machine.clock_rate);
}

std::vector<MachineId> World::replicas() const {
  std::vector<MachineId> out;
  for (std::unique_ptr<Machine> const& item : machines)
    if (item->replica && !item->removed) out.push_back(item->id);
  return out;
}

std::optional<MachineId> World::find(std::string const& name) const {
  for (std::unique_ptr<Machine> const& item : machines)
    if (item->name == name) return item->id;
  return std::nullopt;
}

bool World::caught_up(Machine const& machine) const {
  return machine.calm() && time - machine.calm_since >= plan.catch_up;
}

std::size_t World::count_lost(bool catching_up) {
  std::size_t out = 0;
  for (std::unique_ptr<Machine> const& item : machines)
    if (item->replica && caught_up(*item)) item->established = true;
  for (std::unique_ptr<Machine> const& item : machines) {
    if (!item->replica || !item->established) continue;
    if (item->removed) {
      out += item->successor && machines[*item->successor]->established ? 0 : 1;
      continue;
    }
    out += item->calm() && (!catching_up || caught_up(*item)) ? 0 : 1;
  }
  return out;
}

std::size_t World::lost() { return count_lost(true); }
std::size_t World::has_fault() { return count_lost(false); }

MachineId World::add_successor(MachineId of) {
  MachineId const id = add(true);
  machines[id]->established = false;
  machines[of]->successor = id;
  return id;
}

void World::begin_fault(Machine& machine) { ++machine.faults; }

void World::end_fault(Machine& machine) {
  if (machine.faults > 0) --machine.faults;
  machine.calm_since = time;
}

// Three that are there when the machine's settings are written; at the first start the first three of all.
std::vector<std::string> World::seeds_now(MachineId id) const {
  std::vector<std::string> out;
  std::size_t const first = machines[id]->process == 0 && time < seconds(2) ? 0 : id + 1;
  for (std::size_t n = 0; n < machines.size() && out.size() < seeds_given; ++n) {
    Machine const& item = *machines[(first + n) % machines.size()];
    if (!item.removed && (time < seconds(2) || (item.up() && item.id != id))) out.push_back(item.address);
  }
  return out;
}

void World::boot(MachineId id, bool first_start) {
  Machine& machine = *machines[id];
  if (machine.up() || machine.removed || machine.opening) return;
  NodePlan made;
  made.cluster = "control";
  made.name = machine.name;
  made.zone = machine.zone;
  made.address = machine.address;
  made.seeds = seeds_now(id);
  made.workers_self_register = true;
  made.first_start = first_start;
  made.is_replica = machine.replica;
  made.tolerated_losses = plan.tolerated;
  machine.process = ++processes;
  made.incarnation = static_cast<std::uint64_t>(seconds(1000000) + time + machine.wall_offset + 1);
  made.random_seed = made.incarnation ^ hash_text(machine.name) ^ hash_bits(plan.seed);
  if (on_plan) on_plan(made);
  machine.powered = true;
  machine.frozen = false;
  machine.deferred.clear();
  machine.busy_until = time;
  machine.started_at = time;
  machine.stop_from = -1;
  machine.announced = false;
  machine.calls_under_way = 0;
  machine.faults = (machine.disk_full ? 1 : 0) + (time < machine.stalled_until ? 1 : 0);
  for (Barrier const& barrier : barriers)
    if (barrier.holds(id)) ++machine.faults;
  machine.calm_since = time;
  // What a former process without power left half open is reset at the next word.
  machine.connections.clear();
  if (!machine.replica) return begin_process(machine, made, std::nullopt);
  if (!machine.disk) machine.disk = std::make_unique<SimulatedDisk>();
  machine.store = std::make_unique<RecordStore>(*machine.disk, made.cluster, made.name, file_reserved);
  machine.opening = machine.process;
  open_disk(id, machine.process, made, 0);
}

// As the shell does it: a disk that refuses or hangs is waited for, then the process ends and is started again.
void World::open_disk(MachineId id, std::uint64_t process, NodePlan const& made, int attempts) {
  Machine& machine = *machines[id];
  if (machine.opening != process) return;
  if (time < machine.stalled_until) {
    at(machine.stalled_until, [this, id, process, made, attempts] { open_disk(id, process, made, attempts); });
    return;
  }
  machine.disk->full(machine.disk_full);
  bool blank = false;
  Result<wire::RecordT> opened = machine.store->open(hash_bits(plan.seed ^ (++disks_made << 20)), blank);
  if (opened) {
    machine.opening.reset();
    return begin_process(machine, made, std::move(opened.value()));
  }
  if (!log_is_muted() && attempts == 0)
    std::printf("%lld %s waits for its disk: %s\n", static_cast<long long>(time / 1000), machine.name.c_str(),
                opened.error().what.c_str());
  if (attempts < open_attempts_most) {
    after(disk_retry, [this, id, process, made, attempts] { open_disk(id, process, made, attempts + 1); });
    return;
  }
  machine.opening.reset();
  after(restart_pause, [this, id, process] {
    if (machines[id]->process == process && machines[id]->powered) boot(id);
  });
}

void World::begin_process(Machine& machine, NodePlan const& made, std::optional<wire::RecordT> record) {
  machine.calm_since = time;
  machine.node = std::make_unique<Node>(made, clock(machine), std::move(record));
  if (!log_is_muted()) std::printf("%lld %s boots\n", static_cast<long long>(time / 1000), machine.name.c_str());
  if (on_boot) on_boot(machine);
  MachineId const id = machine.id;
  std::uint64_t const process = machine.process;
  after(static_cast<Micros>(random.below(static_cast<std::uint64_t>(tick_gap))),
        [this, id, process] { tick(id, process); });
}

void World::boot_all(bool first_start) {
  for (std::unique_ptr<Machine> const& item : machines) {
    MachineId const id = item->id;
    after(static_cast<Micros>(random.below(static_cast<std::uint64_t>(millis(300)))),
          [this, id, first_start] { boot(id, first_start); });
  }
}

void World::end(Machine& machine, bool silent) {
  machine.opening.reset();
  if (!machine.up()) return;
  interrupt_save(machine);
  if (!log_is_muted())
    std::printf("%lld %s ends%s\n", static_cast<long long>(time / 1000), machine.name.c_str(), silent ? " dark" : "");
  std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>> const connections = std::move(machine.connections);
  machine.connections.clear();
  machine.node.reset();
  machine.frozen = false;
  machine.deferred.clear();
  machine.stop_from = -1;
  for (std::pair<ConnectionId const, std::pair<std::shared_ptr<Link>, int>> const& item : connections)
    hang_up(item.second.first, item.second.second, silent);
  if (on_end) on_end(machine);
}

void World::kill(MachineId id) { end(*machines[id], false); }

void World::power_off(MachineId id) {
  Machine& machine = *machines[id];
  end(machine, true);
  machine.powered = false;
  if (machine.disk) machine.disk->lose_power(random, random.chance(0.3));
}

void World::wipe(MachineId id) {
  machines[id]->store.reset();
  machines[id]->disk.reset();
}

void World::remove(MachineId id) {
  power_off(id);
  machines[id]->removed = true;
}

void World::stop(MachineId id) {
  Machine& machine = *machines[id];
  if (!machine.up() || machine.stop_from >= 0) return;
  machine.stop_from = time;
  enter(id, machine.process, [](Node& node, Micros, NodeEffects&) { node.retire(); });
  std::uint64_t const process = machine.process;
  after(heed, [this, id, process] { check_stop(id, process); });
}

void World::check_stop(MachineId id, std::uint64_t process) {
  Machine& machine = *machines[id];
  if (!machine.up() || machine.process != process) return;
  if (!machine.announced) {
    machine.announced = true;
    enter(id, process, [](Node& node, Micros now, NodeEffects& out) { node.drain(now, out); });
    if (!machine.up()) return;
  }
  bool const idle = machine.calls_under_way == 0 && may_end(*machine.node, clock(machine));
  if (idle || time - machine.stop_from >= grace_most) {
    end(machine, false);
    machine.removed = true;
    return;
  }
  after(tick_gap, [this, id, process] { check_stop(id, process); });
}

void World::freeze(MachineId id, Micros span) {
  Machine& machine = *machines[id];
  if (!machine.up() || machine.frozen) return;
  machine.frozen = true;
  begin_fault(machine);
  std::uint64_t const process = machine.process;
  after(span, [this, id, process] {
    Machine& item = *machines[id];
    if (!item.up() || item.process != process) return;
    item.frozen = false;
    end_fault(item);
    std::vector<std::function<void()>> const list = std::move(item.deferred);
    item.deferred.clear();
    for (std::function<void()> const& act : list) act();
  });
}

void World::slow_down(MachineId id, double times, Micros span) {
  machines[id]->slowdown *= times;
  begin_fault(*machines[id]);
  after(span, [this, id, times] {
    machines[id]->slowdown /= times;
    end_fault(*machines[id]);
  });
}

Micros World::processing_time(Machine const& machine, std::size_t steps, std::size_t bytes) const {
  double const share = limits_of(machine).processor_share;
  if (share <= 0) return 0;
  double const cost = static_cast<double>(steps) * step_cost + static_cast<double>(bytes) / 1024 * kilobyte_cost;
  double const left = std::max(share - machine.request_processor, share * least_share_left);
  return static_cast<Micros>(cost * machine.slowdown / left);
}

Micros World::transmit(Micros at, std::size_t bytes, std::uint64_t bytes_per_second, Micros& busy_until) {
  if (bytes_per_second == 0) return at;
  Micros const span = static_cast<Micros>(bytes * 1000000 / bytes_per_second);
  busy_until = std::max(busy_until, at) + span;
  return busy_until;
}

void World::enter(MachineId id, std::uint64_t process, Step const& step, std::size_t bytes) {
  Machine& machine = *machines[id];
  if (!machine.up() || machine.process != process) return;
  Micros const cost = machine.frozen ? 0 : processing_time(machine, 1, bytes);
  if (cost == 0) return run_step(id, process, step);
  machine.busy_until = std::max(machine.busy_until, time) + cost;
  at(machine.busy_until, [this, id, process, step] { run_step(id, process, step); });
}

void World::run_step(MachineId id, std::uint64_t process, Step const& step) {
  Machine& machine = *machines[id];
  if (!machine.up() || machine.process != process) return;
  if (machine.frozen) {
    machine.deferred.push_back([this, id, process, step] { run_step(id, process, step); });
    return;
  }
  if (!log_is_muted()) log_prefix() = std::to_string(time / 1000) + " " + machine.name + " ";
  NodeEffects out;
  step(*machine.node, clock(machine), out);
  obey(machine, out);
  if (machine.up() && machine.process == process && on_step) on_step(machine);
}

void World::tick(MachineId id, std::uint64_t process) {
  Machine& machine = *machines[id];
  if (!machine.up() || machine.process != process) return;
  if (!machine.frozen) enter(id, process, [](Node& node, Micros now, NodeEffects& out) { node.tick(now, out); });
  after(tick_gap, [this, id, process] { tick(id, process); });
}

void World::obey(Machine& machine, NodeEffects& out) {
  if (out.record_to_sync) save(machine, std::move(*out.record_to_sync));
  for (std::string const& address : out.mesh.dial_addresses) dial(machine, address);
  std::size_t bytes = 0;
  for (ConnectionEffects::OutgoingFrame const& item : out.mesh.outgoing_frames) bytes += item.bytes.size();
  Micros const sending = processing_time(machine, out.mesh.outgoing_frames.size(), bytes);
  if (sending > 0) machine.busy_until = std::max(machine.busy_until, time) + sending;
  for (ConnectionEffects::OutgoingFrame& item : out.mesh.outgoing_frames) {
    std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>>::const_iterator const position =
        machine.connections.find(item.connection);
    if (position != machine.connections.end())
      send(position->second.first, position->second.second, std::move(item.bytes), false);
  }
  for (ConnectionId const connection : out.mesh.closed_connections) {
    std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>>::const_iterator const position =
        machine.connections.find(connection);
    if (position == machine.connections.end()) continue;
    std::pair<std::shared_ptr<Link>, int> const item = position->second;
    machine.connections.erase(connection);
    hang_up(item.first, item.second, false);
  }
  if (on_dispatch && !out.dispatch.empty()) on_dispatch(machine, out.dispatch);
  std::uint64_t const process = machine.process;
  for (DepartureAnswer const& answer : out.end_answers)
    if (on_departure_answer && machine.up() && machine.process == process) on_departure_answer(machine, answer);
  if (!on_reply) return;
  for (ChangeReply const& reply : out.replies)
    if (machine.up() && machine.process == process) on_reply(machine, reply);
}

// ---- disks

// The process ends in the middle of a write: at any step of it, and at none while the disk hangs or refuses.
void World::interrupt_save(Machine& machine) {
  if (!machine.writing) return;
  machine.disk->die_after(time < machine.stalled_until ? random.below(2) : random.below(save_steps));
  machine.disk->full(machine.disk_full);
  static_cast<void>(machine.store->save(*machine.writing));
  machine.disk->revive();
  machine.writing.reset();
}

void World::save(Machine& machine, wire::RecordT record) {
  std::shared_ptr<wire::RecordT const> const kept = std::make_shared<wire::RecordT>(std::move(record));
  machine.writing = kept;
  MachineId const id = machine.id;
  std::uint64_t const process = machine.process;
  after(lag(plan.sync_least, plan.sync_most), [this, id, process, kept] { attempt_save(id, process, kept); });
}

void World::attempt_save(MachineId id, std::uint64_t process, std::shared_ptr<wire::RecordT const> record) {
  Machine& machine = *machines[id];
  if (!machine.up() || machine.process != process) return;
  if (time < machine.stalled_until) {
    at(machine.stalled_until, [this, id, process, record] { attempt_save(id, process, record); });
    return;
  }
  machine.disk->full(machine.disk_full);
  if (!machine.store->save(*record)) {
    after(disk_retry, [this, id, process, record] { attempt_save(id, process, record); });
    return;
  }
  machine.writing.reset();
  enter(id, process, [](Node& node, Micros now, NodeEffects& out) { node.record_synced(now, out); });
}

void World::stall_disk(MachineId id, Micros span) {
  Machine& machine = *machines[id];
  machine.stalled_until = time + span;
  begin_fault(machine);
  after(span, [this, id] { end_fault(*machines[id]); });
}

void World::fill_disk(MachineId id, Micros span) {
  Machine& machine = *machines[id];
  if (machine.disk_full) return;
  machine.disk_full = true;
  begin_fault(machine);
  after(span, [this, id] {
    machines[id]->disk_full = false;
    end_fault(*machines[id]);
  });
}

// ---- links

bool World::Barrier::holds(MachineId id) const { return std::count(group.begin(), group.end(), id) > 0; }

bool World::Barrier::concerns(MachineId id) const {
  return !holds(id) && (from.empty() || std::count(from.begin(), from.end(), id) > 0);
}

World::Barrier const* World::barrier_between(MachineId from, MachineId to) const {
  for (Barrier const& item : barriers) {
    bool const outbound = item.holds(from) && item.concerns(to) && item.way != CutWay::inbound;
    bool const inbound = item.concerns(from) && item.holds(to) && item.way != CutWay::outbound;
    if (outbound || inbound) return &item;
  }
  return nullptr;
}

void World::isolate(std::vector<MachineId> const& group, CutKind kind, CutWay way, bool minority) {
  barriers.push_back(Barrier{group, kind, way, {}});
  for (MachineId const id : group) {
    Machine& inner = *machines[id];
    if (!log_is_muted()) std::printf("%lld %s is cut off\n", static_cast<long long>(time / 1000), inner.name.c_str());
    begin_fault(inner);
    if (minority && inner.alone_since < 0) inner.alone_since = time;
  }
  if (kind == CutKind::silent) return;
  for (std::weak_ptr<Link> const& item : links) {
    std::shared_ptr<Link> const link = item.lock();
    if (!link || (!cut(link->end[0], link->end[1]) && !cut(link->end[1], link->end[0]))) continue;
    for (int const side : {0, 1}) reset_side(link, side);
  }
}

void World::part(std::vector<MachineId> const& one, std::vector<MachineId> const& other) {
  barriers.push_back(Barrier{one, CutKind::silent, CutWay::both, other});
  barriers.push_back(Barrier{other, CutKind::silent, CutWay::both, one});
  for (std::vector<MachineId> const* const group : {&one, &other})
    for (MachineId const id : *group) begin_fault(*machines[id]);
}

void World::heal() {
  for (Barrier const& barrier : barriers)
    for (MachineId const id : barrier.group) {
      machines[id]->alone_since = -1;
      end_fault(*machines[id]);
    }
  barriers.clear();
  links.erase(
      std::remove_if(links.begin(), links.end(), [](std::weak_ptr<Link> const& item) { return item.expired(); }),
      links.end());
  for (std::weak_ptr<Link> const& item : links) {
    std::shared_ptr<Link> const link = item.lock();
    for (int const side : {0, 1}) {
      if (link->queue[side].empty() || link->scheduled[side]) continue;
      link->queue[side].front().due = std::max(link->queue[side].front().due, time + lag(millis(1), retransmit_most));
      schedule(link, side);
    }
  }
}

void World::dial_fails(MachineId id, std::uint64_t process, std::string const& address, bool refused, Micros wait) {
  after(wait, [this, id, process, address, refused] {
    enter(id, process, [address, refused](Node& node, Micros now, NodeEffects& out) {
      node.dial_failed(address, refused, now, out);
    });
  });
}

void World::dial(Machine& machine, std::string const& address) {
  std::map<std::string, MachineId>::const_iterator const position = machine_by_address.find(address);
  bool const exists = position != machine_by_address.end() && !machines[position->second]->removed;
  Machine* const target = exists ? machines[position->second].get() : nullptr;
  if (target == nullptr || !target->powered)
    return dial_fails(machine.id, machine.process, address, false, dial_timeout);
  Barrier const* barrier = barrier_between(machine.id, target->id);
  if (barrier == nullptr) barrier = barrier_between(target->id, machine.id);
  if (barrier != nullptr) {
    bool const silent = barrier->kind == CutKind::silent;
    return dial_fails(machine.id, machine.process, address, barrier->kind == CutKind::refused,
                      silent ? dial_timeout : lag());
  }
  if (!target->up()) return dial_fails(machine.id, machine.process, address, true, lag());
  std::shared_ptr<Link> const link = std::make_shared<Link>();
  link->end[0] = machine.id;
  link->end[1] = target->id;
  link->process[0] = machine.process;
  link->process[1] = target->process;
  links.push_back(link);
  if (links.size() > 4096)
    links.erase(
        std::remove_if(links.begin(), links.end(), [](std::weak_ptr<Link> const& item) { return item.expired(); }),
        links.end());
  Micros const there = lag();
  Micros const back = there + lag();
  link->latest[1] = time + back;  // nothing reaches the dialler before its connection is open
  after(there, [this, link, address] { open_side(link, 1, address); });
  after(back, [this, link, address] { open_side(link, 0, address); });
}

void World::open_side(std::shared_ptr<Link> link, int side, std::string const& address) {
  Machine& machine = *machines[link->end[side]];
  if (!machine.up() || machine.process != link->process[side]) return;
  if (side == 0 && (!link->opened[1] || link->closed[1])) {
    link->closed[0] = true;
    return dial_fails(machine.id, machine.process, address, false, 0);
  }
  if (cut(link->end[0], link->end[1]) || cut(link->end[1], link->end[0])) {
    // The handshake is lost on its way.
    link->closed[side] = true;
    if (side == 0) dial_fails(machine.id, machine.process, address, false, dial_timeout);
    return;
  }
  link->opened[side] = true;
  link->connection[side] = ++machine.next_connection;
  machine.connections[link->connection[side]] = {link, side};
  ConnectionId const connection = link->connection[side];
  enter(machine.id, machine.process, [connection, side, address](Node& node, Micros now, NodeEffects& out) {
    node.connection_opened(connection, side == 0, side == 0 ? address : "", now, out);
  });
}

void World::count(Link const& link, int side, std::string const& bytes) {
  ++frames;
  frame_bytes += bytes.size();
  if (bytes.empty()) return;
  wire::Body const body = flatbuffers::GetSizePrefixedRoot<wire::Frame>(bytes.data())->body_type();
  Machine& one = *machines[link.end[0]];
  Machine& other = *machines[link.end[1]];
  one.bytes_moved += bytes.size();
  other.bytes_moved += bytes.size();
  sent[body].add(bytes.size());
  machines[link.end[1 - side]]->received[body].add(bytes.size());
  if (one.zone != other.zone) between_zones[body].add(bytes.size());
}

void World::send(std::shared_ptr<Link> const& link, int side, std::string bytes, bool last) {
  count(*link, side, bytes);
  Machine& sender = *machines[link->end[side]];
  Machine& receiver = *machines[link->end[1 - side]];
  Micros const sent_at =
      transmit(time, bytes.size(), limits_of(sender).link_bytes_per_second, sender.sending_until) + lag();
  Micros const received_at =
      transmit(sent_at, bytes.size(), limits_of(receiver).link_bytes_per_second, receiver.receiving_until);
  Micros const due = std::max(link->latest[side] + 1, received_at);
  link->latest[side] = due;
  link->queue[side].push_back(Link::Frame{due, std::move(bytes), last});
  if (!link->scheduled[side]) schedule(link, side);
}

void World::schedule(std::shared_ptr<Link> const& link, int side) {
  link->scheduled[side] = true;
  at(link->queue[side].front().due, [this, link, side] { deliver(link, side); });
}

void World::deliver(std::shared_ptr<Link> const& link, int side) {
  link->scheduled[side] = false;
  if (link->queue[side].empty() || cut(link->end[side], link->end[1 - side])) return;
  Link::Frame frame = std::move(link->queue[side].front());
  link->queue[side].pop_front();
  if (!link->queue[side].empty()) schedule(link, side);
  int const to = 1 - side;
  Machine& target = *machines[link->end[to]];
  if (!target.powered) return;
  if (link->closed[to] || !target.up() || target.process != link->process[to]) {
    // Nobody has this connection any more: its other end is reset.
    if (!frame.last) reset_side(link, side);
    return;
  }
  if (frame.last) return reset_side(link, to);
  ConnectionId const connection = link->connection[to];
  std::size_t const size = frame.bytes.size();
  enter(
      target.id, target.process,
      [this, link, to, connection, bytes = std::move(frame.bytes)](Node& node, Micros now, NodeEffects& out) {
        Machine& machine = *machines[link->end[to]];
        if (machine.connections.count(connection) == 0) return;
        if (!node.receive_frame(connection, bytes, now, out)) out.mesh.closed_connections.push_back(connection);
      },
      size);
}

// A side ends the connection. 'silent': its machine lost power and says nothing.
void World::hang_up(std::shared_ptr<Link> const& link, int side, bool silent) {
  if (link->closed[side]) return;
  link->closed[side] = true;
  if (!silent) send(link, side, "", true);
}

// A side learns that its connection is no more.
void World::reset_side(std::shared_ptr<Link> const& link, int side) {
  Machine& machine = *machines[link->end[side]];
  if (link->closed[side] || !link->opened[side] || !machine.up() || machine.process != link->process[side]) return;
  link->closed[side] = true;
  link->queue[side].clear();
  ConnectionId const connection = link->connection[side];
  after(lag(), [this, link, side, connection] {
    enter(link->end[side], link->process[side],
          [this, link, side, connection](Node& node, Micros now, NodeEffects& out) {
            if (machines[link->end[side]]->connections.erase(connection) > 0)
              node.connection_closed(connection, now, out);
          });
  });
}

}  // namespace pipit::control_plane_simulator
