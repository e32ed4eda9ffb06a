// Scenarios about the ends of workers that register themselves (docs/control.md, "Ends of workers").
#include <algorithm>

#include "testing/control_plane_simulator/fleet.h"
#include "testing/control_plane_simulator/simulated_workers.h"

namespace pipit::control_plane_simulator {

namespace {
constexpr CallNumbering numberings[] = {CallNumbering::by_count, CallNumbering::by_clock,
                                        CallNumbering::in_random_steps};
constexpr std::size_t worker_count = 6;
constexpr std::size_t large_fleet_machines = 26;  // without a disk

MachineId any_machine(Fleet& fleet) { return fleet.random.below(fleet.world.size()); }

// One or two machines, of which the first is mostly one without a disk.
std::vector<MachineId> machines_in_trouble(Fleet& fleet) {
  WorldPlan const& plan = fleet.world.plan;
  MachineId const plain = plan.disks + fleet.random.below(plan.plain);
  MachineId const first = fleet.random.chance(0.75) ? plain : fleet.random.below(plan.disks);
  std::vector<MachineId> out{first};
  MachineId const second = plan.disks + fleet.random.below(plan.plain);
  if (second != first && fleet.random.chance(0.4)) out.push_back(second);
  return out;
}

void restart(Fleet& fleet, std::vector<MachineId> const& machines) {
  for (MachineId const id : machines) fleet.world.kill(id);
  fleet.world.run(fleet.some(millis(100), millis(500)));
  for (MachineId const id : machines)
    if (!fleet.world.machine(id).up()) fleet.world.boot(id);
}

// Machines are cut off, restarted, or restarted while they are cut off. Meanwhile workers whose heartbeats go there
// drain or take their leave. With 'late_heartbeats' a heartbeat of most of them arrives after the acknowledgement.
Report run_worker_ends(ScenarioPlan const& plan, bool late_heartbeats) {
  Fleet fleet(plan);
  World& world = fleet.world;
  SimulatedWorkers workers(world, fleet.judge, plan.seed);
  CallNumbering const numbering = numberings[fleet.random.below(3)];
  std::vector<std::size_t> running;
  for (std::size_t n = 0; n < worker_count; ++n) running.push_back(workers.start(numbering, any_machine(fleet)));
  world.run(seconds(4));
  std::string setting;
  while (!running.empty()) {
    std::size_t const worker = running.back();
    running.pop_back();
    std::vector<MachineId> const group = machines_in_trouble(fleet);
    int const trouble = fleet.pick(plan.variant, 4);
    if (trouble & 1) world.isolate(group, cut_kinds[fleet.random.below(3)], CutWay::both);
    world.run(fleet.some(0, millis(600)));
    MachineId const owner = workers.machine_of(worker);
    bool const owner_lost = trouble != 0 && fleet.random.chance(0.3);
    if (owner_lost) world.kill(owner);
    if (trouble & 2) restart(fleet, group);
    // A machine may be called before it is connected to any other.
    if (fleet.random.chance(0.5)) world.run(fleet.some(0, millis(800)));
    if (late_heartbeats && fleet.random.chance(0.7)) {
      MachineId const late_at = fleet.random.chance(0.4) ? group.front() : any_machine(fleet);
      workers.hold_heartbeat(worker, fleet.some(millis(100), seconds(4)), late_at);
      world.run(fleet.some(0, millis(300)));
    }
    MachineId const called = fleet.random.chance(0.7) ? group.front() : any_machine(fleet);
    if (fleet.random.chance(0.5))
      workers.drain(worker, called);
    else
      workers.leave(worker, called);
    world.run(fleet.some(seconds(1), seconds(4)));
    world.heal();
    world.boot(owner);
    world.run(seconds(9));
    static char const* const names[] = {"calm", "cut", "restart", "restart in a cut"};
    setting += (setting.empty() ? "" : ", ") + std::string(names[trouble]);
  }
  return fleet.finish(setting);
}

Report worker_ends(ScenarioPlan const& plan) { return run_worker_ends(plan, false); }
Report late_heartbeats(ScenarioPlan const& plan) { return run_worker_ends(plan, true); }

// The same in a fleet that is so large that entries are sent by their owners and repaired by digests (design, §3.6).
ScenarioPlan in_a_large_fleet(ScenarioPlan plan) {
  plan.plain = large_fleet_machines;
  return plan;
}
Report worker_ends_in_a_large_fleet(ScenarioPlan const& plan) { return worker_ends(in_a_large_fleet(plan)); }
Report late_heartbeats_in_a_large_fleet(ScenarioPlan const& plan) { return late_heartbeats(in_a_large_fleet(plan)); }

}  // namespace

std::vector<Scenario> const& worker_scenarios() {
  static std::vector<Scenario> const all = {
      {"worker_ends", 5, "workers leave while machines are cut off and restarted", worker_ends},
      {"worker_ends_in_a_large_fleet", 5, "the same with 29 machines and more", worker_ends_in_a_large_fleet},
      {"late_heartbeats", 5, "the same with heartbeats that arrive after the end was acknowledged", late_heartbeats},
      {"late_heartbeats_in_a_large_fleet", 5, "and with 29 machines and more", late_heartbeats_in_a_large_fleet},
  };
  return all;
}

}  // namespace pipit::control_plane_simulator
