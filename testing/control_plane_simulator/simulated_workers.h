// Workers that register themselves at the simulated machines, and the judge of their ends: once a worker's end is
// acknowledged, by whichever machine, no machine in touch may go on sending requests to it (RULES, DRAIN).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "testing/control_plane_simulator/judge.h"
#include "testing/control_plane_simulator/world.h"

namespace pipit::control_plane_simulator {

// How a worker numbers its calls; each scheme rises with every call.
enum class CallNumbering : std::uint8_t { by_count, by_clock, in_random_steps };

// Bounds of a deployment and habits of its workers.
struct SimulatedWorkersPlan {
  Micros heartbeat_interval = millis(1200);
  Micros call_timeout = seconds(1);
  Micros retry_pause = millis(100);
  Micros drain = seconds(2);            // from an acknowledgement until no request may arrive any more
  Micros serve_on = seconds(12);        // from an acknowledgement until the worker ends
  Micros in_touch = seconds(3);         // without trouble at the machine and among the replicas
  Micros acknowledgement = seconds(4);  // that a sound fleet owes to a worker that leaves
};

class SimulatedWorkers {
 public:
  SimulatedWorkers(World& world, Judge& judge, std::uint64_t seed, SimulatedWorkersPlan const& plan = {});

  // Starts a worker whose first heartbeat goes to this machine.
  std::size_t start(CallNumbering numbering, MachineId machine);
  // The worker's next heartbeat is held back until its end is acknowledged, and arrives 'delay' after that at
  // 'machine'.
  void hold_heartbeat(std::size_t worker, Micros delay, MachineId machine);
  // The worker says that it drains, or at once that it leaves. Its first call goes to 'machine'.
  void drain(std::size_t worker, MachineId machine);
  void leave(std::size_t worker, MachineId machine);
  // The machine that gets the worker's next call.
  MachineId machine_of(std::size_t worker) const { return workers_[worker]->machine; }

 private:
  enum class CallKind : std::uint8_t { available, draining, leave };
  struct Worker {
    std::string id;
    std::string address;
    CallNumbering numbering = CallNumbering::by_count;
    std::uint64_t last_number = 0;
    MachineId machine = 0;  // that gets the next call
    CallKind state = CallKind::available;
    Micros end_reported_at = -1;
    Micros acknowledged_at = -1;
    MachineId acknowledged_by = 0;
    std::optional<Heartbeat> held;  // made before the end was reported, and still under way
    Micros held_delay = 0;
    MachineId held_for = 0;
    std::uint64_t call = 0;        // counts its calls; an answer to an earlier one comes too late
    std::set<MachineId> reported;  // machines with a finding
  };
  struct PendingCall {
    std::size_t worker = 0;
    std::uint64_t call = 0;
    std::uint64_t process = 0;
  };

  std::uint64_t next_number(Worker& worker);
  Heartbeat make_heartbeat(Worker& worker, bool leaving);
  void beat(std::size_t index);
  void report_end(std::size_t index, CallKind kind, MachineId machine);
  // Sends what the worker's state is, to one machine after the other until a call is answered with success.
  void call(std::size_t index);
  void call_failed(std::size_t index, std::uint64_t call, Micros wait);
  void call_succeeded(std::size_t index, std::uint64_t call, MachineId machine);
  void deliver(std::size_t index, std::uint64_t call, MachineId machine, CallKind kind, Heartbeat const& heartbeat);
  void await_acknowledgement(std::size_t index, std::uint64_t call, MachineId machine, Node& node, Micros now,
                             NodeEffects& out);
  void answered(Machine& machine, DepartureAnswer const& answer);
  void check();
  void check_end(Worker& worker);
  void check_acknowledgement(Worker& worker);
  bool replicas_are_settled() const;
  bool in_touch(Machine const& machine) const;

  World& world_;
  Judge& judge_;
  RandomSource random_;
  SimulatedWorkersPlan const plan_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<std::uint64_t, PendingCall> pending_calls_;  // by the id that the node was given
  std::uint64_t last_call_id_ = 0;
  Micros trouble_at_ = 0;  // when a machine was last seen in trouble
};

}  // namespace pipit::control_plane_simulator
