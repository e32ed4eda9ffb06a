#include "testing/control_plane_simulator/simulated_workers.h"

#include <algorithm>
#include <utility>

namespace pipit::control_plane_simulator {

namespace {
constexpr Micros check_interval = millis(100);
constexpr Micros call_latency = millis(1);
constexpr std::uint64_t largest_step = 1ull << 40;  // between two numbers of one worker
constexpr int worker_ends_point = 5;                // of the findings
}  // namespace

SimulatedWorkers::SimulatedWorkers(World& world, Judge& judge, std::uint64_t seed, SimulatedWorkersPlan const& plan)
    : world_(world), judge_(judge), random_(hash_bits(seed) ^ 0x3017ull), plan_(plan) {
  world_.on_departure_answer = [this](Machine& machine, DepartureAnswer const& answer) { answered(machine, answer); };
  world_.after(check_interval, [this] { check(); });
}

std::size_t SimulatedWorkers::start(CallNumbering numbering, MachineId machine) {
  std::size_t const index = workers_.size();
  std::unique_ptr<Worker> made = std::make_unique<Worker>();
  made->id = "i-" + std::to_string(index);
  made->address = "10.9.0." + std::to_string(index + 1) + ":80";
  made->numbering = numbering;
  made->machine = machine;
  workers_.push_back(std::move(made));
  beat(index);
  return index;
}

std::uint64_t SimulatedWorkers::next_number(Worker& worker) {
  switch (worker.numbering) {
    case CallNumbering::by_count:
      ++worker.last_number;
      break;
    case CallNumbering::by_clock:
      worker.last_number = std::max(worker.last_number + 1, static_cast<std::uint64_t>(world_.now()));
      break;
    case CallNumbering::in_random_steps:
      worker.last_number += 1 + random_.below(largest_step);
      break;
  }
  return worker.last_number;
}

Heartbeat SimulatedWorkers::make_heartbeat(Worker& worker, bool leaving) {
  Heartbeat out;
  out.id = worker.id;
  out.address = worker.address;
  out.zone = "z0";
  out.pool = "p";
  out.slots = 8;
  out.order = next_number(worker);
  out.leaving = leaving;
  return out;
}

void SimulatedWorkers::beat(std::size_t index) {
  Worker const& worker = *workers_[index];
  if (worker.state == CallKind::leave) return;
  // The heartbeat that is held back takes the place of those up to the report of the end.
  if (worker.state == CallKind::draining || !worker.held) call(index);
  world_.after(plan_.heartbeat_interval, [this, index] { beat(index); });
}

void SimulatedWorkers::hold_heartbeat(std::size_t index, Micros delay, MachineId machine) {
  Worker& worker = *workers_[index];
  worker.held = make_heartbeat(worker, false);
  worker.held_delay = delay;
  worker.held_for = machine;
}

void SimulatedWorkers::drain(std::size_t index, MachineId machine) { report_end(index, CallKind::draining, machine); }

void SimulatedWorkers::leave(std::size_t index, MachineId machine) { report_end(index, CallKind::leave, machine); }

void SimulatedWorkers::report_end(std::size_t index, CallKind kind, MachineId machine) {
  Worker& worker = *workers_[index];
  worker.state = kind;
  worker.machine = machine;
  worker.end_reported_at = world_.now();
  call(index);
}

void SimulatedWorkers::call(std::size_t index) {
  Worker& worker = *workers_[index];
  std::uint64_t const number = ++worker.call;
  MachineId const machine = worker.machine;
  CallKind const kind = worker.state;
  // The call that takes its leave has no number.
  Heartbeat const heartbeat =
      kind == CallKind::leave ? Heartbeat() : make_heartbeat(worker, kind == CallKind::draining);
  world_.after(call_latency,
               [this, index, number, machine, kind, heartbeat] { deliver(index, number, machine, kind, heartbeat); });
  call_failed(index, number, plan_.call_timeout);
}

// After 'wait' the worker calls another machine, unless the call was answered by then.
void SimulatedWorkers::call_failed(std::size_t index, std::uint64_t call_number, Micros wait) {
  world_.after(wait, [this, index, call_number] {
    Worker& worker = *workers_[index];
    if (worker.call != call_number) return;
    worker.machine = random_.below(world_.size());
    call(index);
  });
}

void SimulatedWorkers::call_succeeded(std::size_t index, std::uint64_t call_number, MachineId machine) {
  Worker& worker = *workers_[index];
  if (worker.call != call_number) return;
  ++worker.call;
  if (worker.state == CallKind::available || worker.acknowledged_at >= 0) return;
  worker.acknowledged_at = world_.now();
  worker.acknowledged_by = machine;
  if (!worker.held) return;
  world_.after(worker.held_delay, [this, index] {
    Worker const& late = *workers_[index];
    deliver(index, 0, late.held_for, CallKind::available, *late.held);
  });
}

// As the shell does it (platform/control.cc): a plain heartbeat is answered at once, the end of a worker later.
void SimulatedWorkers::deliver(std::size_t index, std::uint64_t call_number, MachineId id, CallKind kind,
                               Heartbeat const& heartbeat) {
  Machine& machine = world_.machine(id);
  if (!machine.up()) {
    if (machine.powered && !machine.removed) call_failed(index, call_number, plan_.retry_pause);
    return;
  }
  world_.enter(id, machine.process,
               [this, index, call_number, id, kind, heartbeat](Node& node, Micros now, NodeEffects& out) {
                 if (kind == CallKind::leave) {
                   std::string const& worker = workers_[index]->id;
                   if (node.registry.find(worker) == nullptr) return call_failed(index, call_number, plan_.retry_pause);
                   node.worker_left(worker, 0, now, out);
                   return await_acknowledgement(index, call_number, id, node, now, out);
                 }
                 bool const announced = node.handle_heartbeat(heartbeat, now, out);
                 if (kind == CallKind::draining) return await_acknowledgement(index, call_number, id, node, now, out);
                 if (announced)
                   call_succeeded(index, call_number, id);
                 else
                   call_failed(index, call_number, plan_.retry_pause);
               });
}

void SimulatedWorkers::await_acknowledgement(std::size_t index, std::uint64_t call_number, MachineId machine,
                                             Node& node, Micros now, NodeEffects& out) {
  std::uint64_t const id = ++last_call_id_;
  pending_calls_[id] = PendingCall{index, call_number, world_.machine(machine).process};
  node.await_worker_end(id, workers_[index]->id, now, out);
}

void SimulatedWorkers::answered(Machine& machine, DepartureAnswer const& answer) {
  std::map<std::uint64_t, PendingCall>::iterator const position = pending_calls_.find(answer.id);
  if (position == pending_calls_.end() || position->second.process != machine.process) return;
  PendingCall const pending = position->second;
  pending_calls_.erase(position);
  if (answer.acknowledged)
    call_succeeded(pending.worker, pending.call, machine.id);
  else
    call_failed(pending.worker, pending.call, plan_.retry_pause);
}

// ---- judging

bool SimulatedWorkers::in_touch(Machine const& machine) const {
  return machine.calm() && world_.now() - machine.calm_since >= plan_.in_touch &&
         world_.now() - machine.started_at >= plan_.in_touch;
}

bool SimulatedWorkers::replicas_are_settled() const {
  std::vector<MachineId> const replicas = world_.replicas();
  return std::all_of(replicas.begin(), replicas.end(),
                     [this](MachineId const id) { return in_touch(world_.machine(id)); });
}

void SimulatedWorkers::check() {
  for (MachineId id = 0; id < world_.size(); ++id) {
    Machine const& machine = world_.machine(id);
    if (!machine.removed && !machine.calm()) trouble_at_ = world_.now();
  }
  for (std::unique_ptr<Worker> const& worker : workers_) {
    check_end(*worker);
    check_acknowledgement(*worker);
  }
  world_.after(check_interval, [this] { check(); });
}

void SimulatedWorkers::check_end(Worker& worker) {
  Micros const now = world_.now();
  Micros const since = now - worker.acknowledged_at;
  if (worker.acknowledged_at < 0 || since <= plan_.drain || since > plan_.serve_on || !replicas_are_settled()) return;
  for (MachineId id = 0; id < world_.size(); ++id) {
    Machine const& machine = world_.machine(id);
    if (!in_touch(machine) || worker.reported.count(id) > 0) continue;
    Instance const* const known = machine.node->registry.find(worker.id);
    if (known == nullptr || !known->accepts_requests()) continue;
    worker.reported.insert(id);
    judge_.findings.push_back(Finding{worker_ends_point, now,
                                      machine.name + " sends requests to " + worker.id + " " +
                                          std::to_string(since / 1000) + " ms after the acknowledgement of " +
                                          world_.machine(worker.acknowledged_by).name});
  }
}

void SimulatedWorkers::check_acknowledgement(Worker& worker) {
  if (worker.end_reported_at < 0 || worker.acknowledged_at >= 0) return;
  Micros const owed_from = std::max(worker.end_reported_at, trouble_at_ + plan_.in_touch);
  if (world_.now() - owed_from <= plan_.acknowledgement) return;
  judge_.findings.push_back(Finding{worker_ends_point, world_.now(), "the end of " + worker.id + " has no answer"});
  worker.end_reported_at = world_.now();
}

}  // namespace pipit::control_plane_simulator
