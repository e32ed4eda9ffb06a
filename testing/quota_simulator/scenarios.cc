// The scenarios under which keys and limits must be enforced.
#include "testing/quota_simulator/load.h"

namespace pipit::tenants {

namespace {
using control_plane_simulator::CutKind;
using control_plane_simulator::CutWay;
using control_plane_simulator::MachineId;

void calm(Load& load, RandomSource&) { load.run(seconds(30)); }

void hot(Load& load, RandomSource& random) {
  load.run(seconds(4));
  load.set_rate_factor(random.below(3), 8);
  load.run(seconds(20));
}

// The clients of all tenants send to one node, then to another.
void crowds(Load& load, RandomSource&) {
  for (int n = 0; n < 4; ++n) {
    load.concentrate_on(load.random_plain_machine());
    load.run(seconds(6));
  }
}

void lost_owners(Load& load, RandomSource& random) {
  load.set_rate_factor(0, 8);
  for (int n = 0; n < 3; ++n) {
    std::vector<MachineId> const owners = load.owners();
    MachineId const lost = owners[random.below(owners.size())];
    bool const power = random.chance(0.5);
    power ? load.world.power_off(lost) : load.world.kill(lost);
    load.run(seconds(1) + static_cast<Micros>(random.below(8000000)));
    if (random.chance(0.3)) load.world.wipe(lost);
    load.world.boot(lost);
    load.run(seconds(9));
  }
}

// Nodes are cut off from the quota owners only, or from all other nodes, while one tenant sends eight times its usual
// rate and keys are revoked.
void cut_nodes(Load& load, RandomSource& random) {
  load.set_rate_factor(0, 8);
  bool const from_all = random.chance(0.4);
  std::vector<MachineId> const cut = {load.random_plain_machine(), load.random_plain_machine()};
  if (from_all)
    load.world.isolate(cut, CutKind::silent, CutWay::both, false);
  else
    load.world.part(cut, load.world.replicas());
  load.concentrate_on(cut[0]);
  load.run(millis(300));
  load.revoke_key(random.below(4));
  load.revoke_key(load.unlimited());
  load.run(seconds(14));
  load.world.heal();
  load.run(seconds(6));
}

void split_owners(Load& load, RandomSource& random) {
  load.set_rate_factor(0, 8);
  std::vector<MachineId> const owners = load.world.replicas();
  std::size_t const cut = 1 + random.below(2);
  std::vector<MachineId> const one(owners.begin(), owners.begin() + static_cast<std::ptrdiff_t>(cut));
  std::vector<MachineId> const other(owners.begin() + static_cast<std::ptrdiff_t>(cut), owners.end());
  bool const from_all = random.chance(0.5);
  if (from_all)
    load.world.isolate(one, CutKind::silent, CutWay::both);
  else
    load.world.part(one, other);
  load.run(millis(500));
  load.revoke_key(random.below(4));
  load.run(seconds(16));
  load.world.heal();
  load.run(seconds(8));
}

void freezes(Load& load, RandomSource& random) {
  load.set_rate_factor(1, 8);
  for (int n = 0; n < 3; ++n) {
    std::vector<MachineId> const owners = load.owners();
    load.world.freeze(owners[random.below(owners.size())], seconds(1) + static_cast<Micros>(random.below(9000000)));
    MachineId const plain = load.random_plain_machine();
    load.world.freeze(plain, seconds(1) + static_cast<Micros>(random.below(9000000)));
    load.concentrate_on(plain);
    load.revoke_key(static_cast<std::size_t>(n));
    load.run(seconds(11));
  }
}

void clocks(Load& load, RandomSource& random) {
  for (MachineId id = 0; id < load.world.size(); ++id)
    load.world.step_clock(id, random.chance(0.5) ? seconds(3600) : -seconds(3600));
  load.revoke_key(1);
  load.run(seconds(12));
}

void limits_change(Load& load, RandomSource& random) {
  for (int n = 0; n < 4; ++n) {
    std::size_t const tenant = random.below(4);
    load.change_limit(tenant, random.chance(0.5) ? 0.2 : 1.6);
    load.run(seconds(9));
  }
}

// Two replicas lose their disks while all machines, including those without a disk, lose their power.
void disks_and_power(Load& load, RandomSource& random) {
  load.set_rate_factor(0, 8);
  load.run(seconds(6));
  load.revoke_key(0);
  load.run(seconds(3));
  std::vector<MachineId> const owners = load.world.replicas();
  std::size_t const first = random.below(owners.size());
  for (MachineId id = 0; id < load.world.size(); ++id) load.world.power_off(id);
  load.world.wipe(owners[first]);
  load.world.wipe(owners[(first + 1) % owners.size()]);
  load.run(millis(1400));
  for (MachineId id = 0; id < load.world.size(); ++id) load.world.boot(id);
  load.run(seconds(16));
}
}  // namespace

std::vector<Scenario> const& scenarios() {
  static std::vector<Scenario> const all = {
      {"calm", calm, 0},
      {"hot_tenant", hot, 0},
      {"crowds", crowds, 0.01},
      {"lost_owners", lost_owners, 0.3},
      {"cut_nodes", cut_nodes, 0.7},
      {"split_owners", split_owners, 0.5},
      {"freezes", freezes, 1},
      {"clocks", clocks, 0.2},
      {"limits_change", limits_change, 0.3},
      {"disks_and_power", disks_and_power, 1},
  };
  return all;
}

}  // namespace pipit::tenants
