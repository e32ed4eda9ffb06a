#include "testing/control_plane_simulator/fleet.h"

#include <algorithm>

namespace pipit::control_plane_simulator {

namespace {
WorldPlan world_of(ScenarioPlan const& plan, RandomSource& random) {
  static std::size_t const sizes[] = {3, 4, 8};
  WorldPlan out;
  out.seed = plan.seed;
  out.disks = plan.disks > 0 ? plan.disks : sizes[random.below(3)];
  std::size_t const plain = 3 + random.below(7);
  out.plain = plan.plain > 0 ? plan.plain : plain;
  out.tolerated = out.disks >= 8 ? 2 : 1;
  return out;
}
}  // namespace

Fleet::Fleet(ScenarioPlan const& plan, Unstarted, JudgePlan const& judged)
    : random(hash_bits(plan.seed) ^ 0x5ce4a710),
      world(world_of(plan, random)),
      judge(world, judged),
      operators(world, judge) {}

Fleet::Fleet(ScenarioPlan const& plan) : Fleet(plan, Unstarted{}, JudgePlan{}) {
  world.boot_all(true);
  world.run_until(seconds(8));
  operators.drive(operators.replace(0, operators.next_label()));
  world.run_until(seconds(14));
}

std::vector<MachineId> Fleet::replicas() {
  std::vector<MachineId> out;
  for (MachineId const id : world.replicas())
    if (world.machine(id).up()) out.push_back(id);
  std::sort(out.begin(), out.end(), [this](MachineId a, MachineId b) {
    return std::make_pair(!member(a), world.machine(a).name) < std::make_pair(!member(b), world.machine(b).name);
  });
  return out;
}

std::vector<MachineId> Fleet::shuffled_replicas() {
  std::vector<MachineId> out = replicas();
  for (std::size_t i = out.size(); i > 1; --i) std::swap(out[i - 1], out[random.below(i)]);
  return out;
}

bool Fleet::member(MachineId id) {
  std::vector<std::string> const names = replicas_known_to(*newest_view());
  return std::count(names.begin(), names.end(), world.machine(id).name) > 0;
}

Node* Fleet::newest_view() {
  Node* best = nullptr;
  for (MachineId id = 0; id < world.size(); ++id) {
    Node* const node = world.machine(id).node.get();
    if (node != nullptr && (best == nullptr || epoch_known_to(*node) > epoch_known_to(*best))) best = node;
  }
  return best;
}

Report Fleet::finish(std::string const& setting, Micros calm) {
  world.heal();
  for (MachineId id = 0; id < world.size(); ++id)
    if (!world.machine(id).up() && !world.machine(id).removed) world.boot(id);
  operators.halt();
  world.run(calm);
  operators.resume();
  operators.plan.lost = operators.plan.late = operators.plan.doubled = 0;
  std::uint64_t const before = judge.confirmations;
  operators.drive_reading(
      [this](Verdict) { operators.drive(operators.replace(operators.newest_acknowledged(), operators.next_label())); });
  world.run(seconds(4));
  if (judge.confirmations == before)
    judge.findings.push_back(Finding{3, world.now(), "a change in a calm time was not confirmed in 4 s"});
  world.run(seconds(3));
  judge.close();
  Report out;
  out.setting = std::to_string(world.plan.disks) + " disks, " + std::to_string(world.plan.plain) + " plain, " + setting;
  out.findings = judge.findings;
  out.confirmations = judge.confirmations;
  out.refusals = judge.refusals;
  out.readings = judge.readings;
  out.frames = world.frames;
  out.frame_bytes = world.frame_bytes;
  out.longest_gap = judge.longest_gap;
  return out;
}

}  // namespace pipit::control_plane_simulator
