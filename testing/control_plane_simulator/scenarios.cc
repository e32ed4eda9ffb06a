#include "testing/control_plane_simulator/scenarios.h"

#include <algorithm>

#include "testing/control_plane_simulator/fleet.h"

namespace pipit::control_plane_simulator {

namespace {

// ---- point 1

void ask_cut_off(Fleet& fleet, MachineId target, Micros until, OrderId known, std::uint64_t base_then) {
  if (fleet.world.now() >= until) return;
  Operators& operators = fleet.operators;
  operators.read(target);
  operators.send(operators.replace(base_then, operators.next_label()), target);
  operators.send(operators.replace(operators.newest_acknowledged(), operators.next_label()), target);
  operators.send(operators.amend(operators.newest_acknowledged(), operators.next_label()), target);
  operators.send(known, target);
  fleet.world.after(millis(700),
                    [&fleet, target, until, known, base_then] { ask_cut_off(fleet, target, until, known, base_then); });
}

Report cut_off(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  std::size_t const kind = fleet.random.below(3);
  std::size_t const way = fleet.random.below(3);
  int const role = fleet.pick(plan.variant, 3);
  std::vector<MachineId> const replicas = fleet.replicas();
  MachineId target = replicas.front();
  if (role == 1) target = replicas[1 + fleet.random.below(replicas.size() - 1)];
  if (role == 2) target = fleet.world.plan.disks + fleet.random.below(fleet.world.plan.plain);
  OrderId const known = fleet.operators.replace(fleet.operators.newest_acknowledged(), fleet.operators.next_label());
  fleet.operators.drive(known);
  fleet.world.run(seconds(2));
  fleet.judge.expect_progress(true);
  Micros const start = fleet.world.now();
  fleet.operators.steady(start + seconds(30));
  fleet.world.run(fleet.some(0, seconds(1)));
  fleet.world.isolate({target}, cut_kinds[kind], cut_ways[way]);
  ask_cut_off(fleet, target, start + seconds(19), known, fleet.operators.newest_acknowledged());
  fleet.world.run(seconds(20));
  fleet.world.heal();
  fleet.world.run(seconds(10));
  fleet.judge.expect_progress(false);
  static char const* const roles[] = {"the proposing keeper", "a keeper", "a plain machine"};
  return fleet.finish(std::string(roles[role]) + " cut off, " + kind_names[kind] + " " + way_names[way]);
}

// A machine stands still; what it was asked meanwhile waits in its sockets until it goes on, at times cut off by then.
Report frozen(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  int const role = fleet.pick(plan.variant, 3);
  std::vector<MachineId> const replicas = fleet.replicas();
  MachineId target = replicas.front();
  if (role == 1) target = replicas[1 + fleet.random.below(replicas.size() - 1)];
  if (role == 2) target = world.plan.disks + fleet.random.below(world.plan.plain);
  OrderId const known = fleet.operators.replace(fleet.operators.newest_acknowledged(), fleet.operators.next_label());
  fleet.operators.drive(known);
  world.run(seconds(2));
  fleet.judge.expect_progress(true);
  fleet.operators.steady(world.now() + seconds(34));
  world.run(fleet.some(0, seconds(1)));
  Micros const span = fleet.some(millis(300), seconds(20));
  bool const cut = fleet.random.chance(0.4);
  world.freeze(target, span);
  ask_cut_off(fleet, target, world.now() + span + seconds(3), known, fleet.operators.newest_acknowledged());
  world.run(span - fleet.some(0, millis(200)));
  if (cut) world.isolate({target}, cut_kinds[fleet.random.below(3)], cut_ways[fleet.random.below(3)]);
  world.run(seconds(4));
  world.heal();
  world.run(seconds(8));
  fleet.judge.expect_progress(false);
  static char const* const roles[] = {"the proposing keeper", "a keeper", "a plain machine"};
  return fleet.finish(std::string(roles[role]) + " frozen for " + std::to_string(span / 1000) + " ms" +
                      (cut ? " and then cut off" : ""));
}

// The cut comes while orders are under way at the machine that is cut off.
Report cut_in_storm(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  fleet.operators.plan.lost = 0.1;
  fleet.operators.plan.late = 0.1;
  fleet.operators.plan.doubled = 0.1;
  fleet.judge.expect_progress(true);
  fleet.operators.storm(seconds(30), 12);
  std::string setting = "storm, cut off:";
  for (int turn = 0; turn < 3; ++turn) {
    fleet.world.run(fleet.some(seconds(1), seconds(2)));
    std::size_t const kind = fleet.random.below(3);
    std::size_t const way = fleet.random.below(3);
    std::vector<MachineId> const replicas = fleet.replicas();
    MachineId const target = replicas[fleet.random.chance(0.5) ? 0 : fleet.random.below(replicas.size())];
    std::vector<MachineId> group{target};
    if (fleet.random.chance(0.5)) group.push_back(fleet.world.plan.disks);  // with a plain machine
    fleet.world.isolate(group, cut_kinds[kind], cut_ways[way]);
    setting += std::string(" ") + kind_names[kind] + " " + way_names[way];
    fleet.world.run(seconds(3));
    fleet.world.heal();
    fleet.world.run(seconds(5));
  }
  fleet.judge.expect_progress(false);
  return fleet.finish(setting);
}

// ---- point 2

// A replica, most often the proposing one, is lost in one of several ways, or not at all, and comes back.
void lose_one_for_a_while(Fleet& fleet) {
  std::vector<MachineId> const replicas = fleet.replicas();
  MachineId const target = replicas[fleet.random.chance(0.6) ? 0 : fleet.random.below(replicas.size())];
  fleet.world.run(fleet.some(millis(3), millis(60)));
  switch (fleet.random.below(5)) {
    case 0:
      fleet.world.kill(target);
      break;
    case 1:
      fleet.world.power_off(target);
      break;
    case 2:
      fleet.world.freeze(target, seconds(2));
      break;
    case 3:
      fleet.world.isolate({target}, CutKind::silent, CutWay::both);
      break;
    default:
      break;
  }
  fleet.world.run(seconds(2));
  fleet.world.heal();
  if (!fleet.world.machine(target).up()) fleet.world.boot(target);
}

Report one_label(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  fleet.operators.plan.lost = 0.2;
  fleet.operators.plan.late = 0.1;
  fleet.operators.plan.doubled = 0.2;
  for (int round = 0; round < 12; ++round) {
    std::uint64_t const base = fleet.operators.newest_acknowledged();
    std::uint64_t const label = fleet.operators.next_label();
    for (int rival = 0; rival < 8; ++rival)
      fleet.operators.drive(rival % 4 == 3 ? fleet.operators.amend(base, label) : fleet.operators.replace(base, label));
    lose_one_for_a_while(fleet);
    fleet.world.run(seconds(5));
  }
  return fleet.finish("eight rivals under one label");
}

// Operators do not wait: each order builds on the one sent before it, whether that is taken or not.
Report chained(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  Operators& operators = fleet.operators;
  operators.plan.lost = 0.2;
  operators.plan.late = 0.2;
  operators.plan.doubled = 0.2;
  for (int round = 0; round < 10; ++round) {
    std::uint64_t base = operators.newest_acknowledged();
    for (int link = 0; link < 8; ++link) {
      std::uint64_t const label = operators.next_label();
      operators.drive(fleet.random.chance(0.25) ? operators.amend(base, label) : operators.replace(base, label));
      base = label;
      fleet.world.run(fleet.some(0, millis(20)));
    }
    lose_one_for_a_while(fleet);
    fleet.world.run(seconds(6));
  }
  return fleet.finish("orders that build on one another");
}

// A machine ends and is back at once, again and again, while disks are slow: what was asked in one process is answered
// in the next one.
Report restarted_at_once(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  fleet.operators.plan.lost = 0.1;
  fleet.operators.plan.doubled = 0.2;
  fleet.operators.mixed(world.now() + seconds(36), 8);
  for (int turn = 0; turn < 12; ++turn) {
    std::vector<MachineId> const replicas = fleet.replicas();
    MachineId target = replicas[fleet.random.chance(0.6) ? 0 : fleet.random.below(replicas.size())];
    if (fleet.random.chance(0.4)) target = world.plan.disks + fleet.random.below(world.plan.plain);
    for (MachineId const id : replicas)
      if (id != target && fleet.random.chance(0.6)) world.stall_disk(id, fleet.some(millis(20), seconds(1)));
    world.run(fleet.some(0, millis(50)));
    world.kill(target);
    world.run(fleet.some(0, millis(100)));
    world.boot(target);
    world.run(seconds(3));
  }
  return fleet.finish("ended and back at once, on slow disks");
}

constexpr int others_counts[] = {0, 1, 63, 64, 65, 66, 200, 500};

// An order that was taken comes again after so many others, at every machine.
Report resent(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  int const others = others_counts[fleet.pick(plan.variant, static_cast<int>(std::size(others_counts)))];
  Operators& operators = fleet.operators;
  OrderId const full_value = operators.replace(operators.newest_acknowledged(), operators.next_label());
  operators.drive(full_value);
  fleet.world.run(seconds(1));
  OrderId const part = operators.amend(operators.newest_acknowledged(), operators.next_label());
  operators.drive(part);
  fleet.world.run(seconds(1));
  std::uint64_t const enough = fleet.judge.confirmations + static_cast<std::uint64_t>(others);
  while (fleet.judge.confirmations < enough) {
    if (operators.open_orders() == 0)
      operators.drive(operators.replace(operators.newest_acknowledged(), operators.next_label()));
    fleet.world.run(millis(5));
  }
  for (MachineId id = 0; id < fleet.world.size(); ++id) {
    operators.send(full_value, id);
    fleet.world.run(millis(300));
    operators.send(part, id);
    fleet.world.run(millis(300));
  }
  return fleet.finish("sent again after " + std::to_string(others) + " others");
}

// The machine that holds others' changes is killed, frozen or cut off in the middle of a storm.
Report proposer_lost(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  fleet.operators.plan.lost = 0.1;
  fleet.operators.plan.late = 0.1;
  fleet.operators.plan.doubled = 0.1;
  fleet.judge.expect_progress(true);
  fleet.operators.storm(seconds(32), 12);
  std::string setting = "the proposing keeper";
  for (int turn = 0; turn < 4; ++turn) {
    fleet.world.run(fleet.some(seconds(1), millis(1500)));
    MachineId const target = fleet.replicas().front();
    Micros const span = fleet.some(millis(300), seconds(2));
    std::uint64_t const how = fleet.random.below(5);
    static char const* const names[] = {" killed", " dark", " frozen", " cut off", " slow at its disk"};
    setting += names[how];
    if (how == 0) fleet.world.kill(target);
    if (how == 1) fleet.world.power_off(target);
    if (how == 2) fleet.world.freeze(target, span);
    if (how == 3) fleet.world.isolate({target}, CutKind::silent, CutWay::both);
    if (how == 4) fleet.world.stall_disk(target, span);
    fleet.world.run(span);
    fleet.world.heal();
    if (!fleet.world.machine(target).up()) fleet.world.boot(target);
    fleet.world.run(seconds(5));
  }
  fleet.judge.expect_progress(false);
  return fleet.finish(setting);
}

// ---- days with everything

// A planned replacement: the leaving machine is stopped once its successor has had its time.
void leave_when_replaced(World& world, MachineId id) {
  world.lost();
  Machine const& machine = world.machine(id);
  if (machine.removed) return;
  bool const ready = world.machine(*machine.successor).established && world.machine(*machine.successor).calm();
  if (machine.up() && ready) return world.stop(id);
  world.after(millis(500), [&world, id] { leave_when_replaced(world, id); });
}

void fault_replica(Fleet& fleet) {
  World& world = fleet.world;
  std::vector<MachineId> const replicas = fleet.replicas();
  if (replicas.empty()) return;
  MachineId const id = replicas[fleet.random.chance(0.4) ? 0 : fleet.random.below(replicas.size())];
  Micros const span = fleet.some(millis(100), seconds(3));
  switch (fleet.random.below(11)) {
    case 0:
      world.kill(id);
      world.after(span, [&world, id] { world.boot(id); });
      break;
    case 1:
      world.power_off(id);
      world.after(span, [&world, id] { world.boot(id); });
      break;
    case 2:
      world.power_off(id);
      world.wipe(id);
      world.after(span, [&world, id] { world.boot(id); });
      break;
    case 3:
      world.freeze(id, span);
      break;
    case 4:
      world.stall_disk(id, span);
      break;
    case 5:
      world.fill_disk(id, span);
      break;
    case 6:
      world.step_clock(id, fleet.some(-seconds(3600), seconds(3600)));
      world.kill(id);
      world.after(millis(200), [&world, id] { world.boot(id); });
      break;
    case 7:
      // Its disk is full, or hangs, when it is back.
      world.power_off(id);
      if (fleet.random.chance(0.5))
        world.fill_disk(id, span + millis(500));
      else
        world.stall_disk(id, span + millis(500));
      world.after(span, [&world, id] { world.boot(id); });
      break;
    case 8:
    case 9: {
      if (world.machine(id).successor) break;
      world.remove(id);
      MachineId const successor = world.add_successor(id);
      if (fleet.random.chance(0.3)) world.fill_disk(successor, seconds(1) + span);
      world.after(seconds(1), [&world, successor] { world.boot(successor); });
      break;
    }
    default: {
      if (world.machine(id).successor) break;
      world.boot(world.add_successor(id));
      world.after(world.plan.catch_up + millis(100), [&world, id] { leave_when_replaced(world, id); });
      break;
    }
  }
}

void fault_plain(Fleet& fleet) {
  World& world = fleet.world;
  MachineId const id = world.plan.disks + fleet.random.below(world.plan.plain);
  Micros const span = fleet.some(millis(100), seconds(4));
  if (!world.machine(id).up()) return;
  if (fleet.random.chance(0.5)) {
    world.freeze(id, span);
    return;
  }
  world.step_clock(id, fleet.some(-seconds(3600), seconds(3600)));
  world.kill(id);
  world.after(span, [&world, id] { world.boot(id); });
}

void fault_links(Fleet& fleet) {
  World& world = fleet.world;
  std::vector<MachineId> group;
  std::vector<MachineId> const replicas = fleet.replicas();
  for (std::size_t n = 0; n + world.lost() < world.plan.tolerated && n < replicas.size(); ++n)
    if (fleet.random.chance(0.7)) group.push_back(replicas[fleet.random.chance(0.5) ? n : replicas.size() - 1 - n]);
  for (std::size_t n = 0; n < world.plan.plain; ++n)
    if (fleet.random.chance(0.2)) group.push_back(world.plan.disks + n);
  std::sort(group.begin(), group.end());
  group.erase(std::unique(group.begin(), group.end()), group.end());
  if (group.empty()) return;
  world.isolate(group, cut_kinds[fleet.random.below(3)], cut_ways[fleet.random.below(3)]);
  world.after(fleet.some(millis(200), seconds(fleet.random.chance(0.2) ? 20 : 5)), [&world] { world.heal(); });
}

Report days(ScenarioPlan const& plan, bool all) {
  Fleet fleet(plan);
  World& world = fleet.world;
  fleet.operators.plan.lost = 0.05;
  fleet.operators.plan.late = 0.05;
  fleet.operators.plan.doubled = 0.05;
  Micros const end = world.now() + seconds(50);
  fleet.operators.mixed(end, 8);
  fleet.operators.steady(end);
  if (fleet.random.chance(0.4)) fleet.operators.storm(seconds(30), 12);
  fleet.judge.expect_progress(true);
  Micros next_links = world.now() + fleet.some(0, seconds(6));
  while (world.now() < end) {
    world.run(fleet.some(millis(100), millis(2500)));
    if (fleet.random.chance(0.3)) fault_plain(fleet);
    if (all && fleet.random.chance(0.02)) {
      bool const unpowered = fleet.random.chance(0.5);
      for (MachineId const id : fleet.replicas()) {
        if (unpowered) world.power_off(id);
        if (!unpowered) world.kill(id);
        world.after(seconds(1), [&world, id] { world.boot(id); });
      }
      world.run(seconds(1) + world.plan.catch_up);
    }
    if (world.now() >= next_links && world.lost() < world.plan.tolerated) {
      fault_links(fleet);
      next_links = world.now() + fleet.some(seconds(5), seconds(24));
    } else if (world.lost() < world.plan.tolerated && fleet.random.chance(0.6)) {
      fault_replica(fleet);
    }
  }
  fleet.judge.expect_progress(false);
  return fleet.finish("a day", seconds(14));
}

Report day(ScenarioPlan const& plan) { return days(plan, true); }

}  // namespace

std::vector<Scenario> const& scenarios() {
  static std::vector<Scenario> const all = [] {
    std::vector<Scenario> list = {
        {"cut_off", 1, "a machine is cut off for 20 s and asked all the time", cut_off},
        {"cut_in_storm", 1, "machines are cut off for 3 s in a storm of changes", cut_in_storm},
        {"frozen", 1, "a machine stands still for up to 20 s and is asked all the time", frozen},
        {"one_label", 2, "eight rivals under one label, their proposer lost in the middle", one_label},
        {"chained", 2, "orders that build on orders under way, a keeper lost in the middle", chained},
        {"restarted_at_once", 2, "machines end and are back at once while disks are slow", restarted_at_once},
        {"sent_again", 2, "orders that were taken come again after 0 to 500 others", resent},
        {"proposer_lost", 2, "the proposing keeper is lost in a storm, four times", proposer_lost},
        {"day", 0, "a day with everything", day},
    };
    list.insert(list.end(), member_scenarios().begin(), member_scenarios().end());
    list.insert(list.end(), overlap_scenarios().begin(), overlap_scenarios().end());
    list.insert(list.end(), worker_scenarios().begin(), worker_scenarios().end());
    return list;
  }();
  return all;
}

Scenario const* scenario_of(std::string const& name) {
  for (Scenario const& item : scenarios())
    if (name == item.name) return &item;
  return nullptr;
}

}  // namespace pipit::control_plane_simulator
