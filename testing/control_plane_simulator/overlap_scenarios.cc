// Losses that overlap beyond what is allowed at once, and machines that count in two halves: service may rest
// meanwhile, but nothing that was acknowledged is lost or shown in an older state.
#include <algorithm>

#include "testing/control_plane_simulator/fleet.h"

namespace pipit::control_plane_simulator {

namespace {

// Power goes from any number of replicas, for longer than a lost one keeps its place, and comes back. At the end, right
// after an acknowledgement, all machines lose power at once, also those that do not count, and as many disks are lost
// as are allowed.
Report overlapping(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  fleet.operators.steady(world.now() + seconds(90), millis(100));
  std::size_t const turns = 1 + fleet.random.below(4);
  for (std::size_t turn = 0; turn < turns; ++turn) {
    std::vector<MachineId> const replicas = fleet.shuffled_replicas();
    std::size_t const many = replicas.empty() ? 0 : 1 + fleet.random.below(replicas.size());
    for (std::size_t n = 0; n < many; ++n) {
      MachineId const id = replicas[n];
      Micros const when = fleet.some(0, seconds(6));
      // Some stay away until the very end, which is then their return as well.
      bool const back = fleet.random.chance(0.4);
      Micros const away = fleet.some(seconds(1), seconds(9));
      world.after(when, [&world, id] {
        if (world.machine(id).up()) world.power_off(id);
      });
      if (back) world.after(when + away, [&world, id] { world.boot(id); });
    }
    world.run(fleet.some(seconds(6), seconds(14)));
  }
  std::uint64_t const confirmed = fleet.judge.confirmations;
  for (int step = 0; step < 600 && fleet.judge.confirmations == confirmed; ++step) world.run(millis(1));
  fleet.operators.halt();
  std::vector<MachineId> order = fleet.pick(plan.variant, 2) == 0 ? fleet.replicas() : fleet.shuffled_replicas();
  std::size_t const disks = std::min(world.plan.tolerated, order.size());
  for (MachineId id = 0; id < world.size(); ++id)
    if (world.machine(id).up()) world.power_off(id);
  for (std::size_t n = 0; n < disks; ++n) world.wipe(order[n]);
  Micros const down = fleet.some(millis(100), seconds(2));
  world.run(down);
  for (MachineId id = 0; id < world.size(); ++id)
    if (!world.machine(id).removed) world.boot(id);
  world.run(seconds(12));
  return fleet.finish(std::to_string(turns) + " turns of lost power beyond what is allowed, then all dark and " +
                      std::to_string(disks) + " wiped");
}

// The replicas are cut into two halves that both reach all other machines; orders and readings go to any machine, and a
// replica of either half may lose power beside it.
Report halves(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  fleet.operators.storm(seconds(60), fleet.random.chance(0.5) ? 4 : 20);
  for (int turn = 0; turn < 3; ++turn) {
    std::vector<MachineId> const replicas = fleet.shuffled_replicas();
    std::ptrdiff_t const half = static_cast<std::ptrdiff_t>(replicas.size() / 2);
    world.part({replicas.begin(), replicas.begin() + half}, {replicas.begin() + half, replicas.end()});
    MachineId const lost = replicas[fleet.random.below(replicas.size())];
    bool const beside = fleet.pick(plan.variant, 2) == 1;
    if (beside) {
      world.run(fleet.some(0, seconds(2)));
      if (fleet.random.chance(0.5))
        world.power_off(lost);
      else
        world.kill(lost);
      world.after(fleet.some(seconds(1), seconds(5)), [&world, lost] { world.boot(lost); });
    }
    Micros const span = fleet.some(seconds(1), seconds(8));
    for (Micros passed = 0; passed < span; passed += millis(100)) {
      fleet.operators.read(fleet.operators.any_machine());
      world.run(millis(100));
    }
    world.heal();
    world.run(fleet.some(seconds(1), seconds(8)));
  }
  return fleet.finish("keepers in two halves, three times");
}

}  // namespace

std::vector<Scenario> const& overlap_scenarios() {
  static std::vector<Scenario> const all = {
      {"overlapping", 3, "losses beyond what is allowed, then all power and some disks", overlapping},
      {"halves", 1, "keepers are cut into two halves that all others reach", halves},
  };
  return all;
}

}  // namespace pipit::control_plane_simulator
