#include "proof/control_plane/scenarios.h"

#include <algorithm>

#include "proof/control_plane/node_view.h"
#include "proof/control_plane/operators.h"

namespace pipit::control_plane {

namespace {

// A fleet with its operators and its judge, started and with a first configuration in force.
struct Fleet {
  explicit Fleet(ScenarioPlan const& plan)
      : random(hash_bits(plan.seed) ^ 0x5ce4a710),
        world(world_of(plan, random)),
        judge(world),
        operators(world, judge) {
    world.boot_all(true);
    world.run_until(seconds(8));
    operators.drive(operators.replace(0, operators.next_label()));
    world.run_until(seconds(14));
  }

  static WorldPlan world_of(ScenarioPlan const& plan, RandomSource& random) {
    static std::size_t const sizes[] = {3, 4, 8};
    WorldPlan out;
    out.seed = plan.seed;
    out.disks = plan.disks > 0 ? plan.disks : sizes[random.below(3)];
    out.plain = 3 + random.below(7);
    out.tolerated = out.disks >= 8 ? 2 : 1;
    return out;
  }

  // Keepers that are here, the one that proposes for all (the first name of the set) at the front.
  std::vector<MachineId> keepers() {
    std::vector<MachineId> out;
    for (MachineId const id : world.keepers())
      if (world.machine(id).up()) out.push_back(id);
    std::sort(out.begin(), out.end(), [this](MachineId a, MachineId b) {
      return std::make_pair(!member(a), world.machine(a).name) < std::make_pair(!member(b), world.machine(b).name);
    });
    return out;
  }
  // Whether a machine is in the set of keepers, by the newest epoch that any node knows.
  bool member(MachineId id) {
    std::vector<std::string> const names = keepers_known_to(*newest_view());
    return std::count(names.begin(), names.end(), world.machine(id).name) > 0;
  }
  Node* newest_view() {
    Node* best = nullptr;
    for (MachineId id = 0; id < world.size(); ++id) {
      Node* const node = world.machine(id).node.get();
      if (node != nullptr && (best == nullptr || epoch_known_to(*node) > epoch_known_to(*best))) best = node;
    }
    return best;
  }
  std::uint64_t epoch() { return epoch_known_to(*newest_view()); }

  Micros some(Micros least, Micros most) {
    return least + static_cast<Micros>(random.below(static_cast<std::uint64_t>(most - least + 1)));
  }
  int pick(int given, int count) {
    int const rolled = static_cast<int>(random.below(static_cast<std::uint64_t>(count)));
    return given >= 0 ? given % count : rolled;
  }

  // A calm time, in which every machine that was not removed is there, and the last judgement.
  Report finish(std::string setting, Micros calm = seconds(9)) {
    world.heal();
    for (MachineId id = 0; id < world.size(); ++id)
      if (!world.machine(id).up() && !world.machine(id).removed) world.boot(id);
    operators.halt();
    world.run(calm);
    operators.resume();
    operators.plan.lost = operators.plan.late = operators.plan.doubled = 0;
    std::uint64_t const before = judge.confirmations;
    operators.drive_reading(
        [this](Verdict) { operators.drive(operators.replace(operators.newest_told(), operators.next_label())); });
    world.run(seconds(4));
    if (judge.confirmations == before)
      judge.findings.push_back(Finding{3, world.now(), "a change in a calm time was not confirmed in 4 s"});
    world.run(seconds(3));
    judge.close();
    Report out;
    out.setting =
        std::to_string(world.plan.disks) + " disks, " + std::to_string(world.plan.plain) + " plain, " + setting;
    out.findings = judge.findings;
    out.confirmations = judge.confirmations;
    out.refusals = judge.refusals;
    out.readings = judge.readings;
    out.frames = world.frames;
    out.frame_bytes = world.frame_bytes;
    out.longest_gap = judge.longest_gap;
    return out;
  }

  RandomSource random;
  World world;
  Judge judge;
  Operators operators;
};

CutKind const cut_kinds[] = {CutKind::silent, CutKind::reset, CutKind::refused};
CutWay const cut_ways[] = {CutWay::both, CutWay::inbound, CutWay::outbound};
char const* const kind_words[] = {"silent", "reset", "refused"};
char const* const way_words[] = {"both ways", "inbound", "outbound"};

// ---- point 1

void ask_cut_off(Fleet& fleet, MachineId target, Micros until, OrderId known, std::uint64_t base_then) {
  if (fleet.world.now() >= until) return;
  Operators& operators = fleet.operators;
  operators.read(target);
  operators.send(operators.replace(base_then, operators.next_label()), target);
  operators.send(operators.replace(operators.newest_told(), operators.next_label()), target);
  operators.send(operators.amend(operators.newest_told(), operators.next_label()), target);
  operators.send(known, target);
  fleet.world.after(millis(700),
                    [&fleet, target, until, known, base_then] { ask_cut_off(fleet, target, until, known, base_then); });
}

Report cut_off(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  std::size_t const kind = fleet.random.below(3);
  std::size_t const way = fleet.random.below(3);
  int const role = fleet.pick(plan.variant, 3);
  std::vector<MachineId> const keepers = fleet.keepers();
  MachineId target = keepers.front();
  if (role == 1) target = keepers[1 + fleet.random.below(keepers.size() - 1)];
  if (role == 2) target = fleet.world.plan.disks + fleet.random.below(fleet.world.plan.plain);
  OrderId const known = fleet.operators.replace(fleet.operators.newest_told(), fleet.operators.next_label());
  fleet.operators.drive(known);
  fleet.world.run(seconds(2));
  fleet.judge.expect_progress(true);
  Micros const start = fleet.world.now();
  fleet.operators.steady(start + seconds(30));
  fleet.world.run(fleet.some(0, seconds(1)));
  fleet.world.isolate({target}, cut_kinds[kind], cut_ways[way]);
  ask_cut_off(fleet, target, start + seconds(19), known, fleet.operators.newest_told());
  fleet.world.run(seconds(20));
  fleet.world.heal();
  fleet.world.run(seconds(10));
  fleet.judge.expect_progress(false);
  static char const* const roles[] = {"the proposing keeper", "a keeper", "a plain machine"};
  return fleet.finish(std::string(roles[role]) + " cut off, " + kind_words[kind] + " " + way_words[way]);
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
    std::vector<MachineId> const keepers = fleet.keepers();
    MachineId const target = keepers[fleet.random.chance(0.5) ? 0 : fleet.random.below(keepers.size())];
    std::vector<MachineId> group{target};
    if (fleet.random.chance(0.5)) group.push_back(fleet.world.plan.disks);  // with a plain machine
    fleet.world.isolate(group, cut_kinds[kind], cut_ways[way]);
    setting += std::string(" ") + kind_words[kind] + " " + way_words[way];
    fleet.world.run(seconds(3));
    fleet.world.heal();
    fleet.world.run(seconds(5));
  }
  fleet.judge.expect_progress(false);
  return fleet.finish(setting);
}

// ---- point 2

Report one_label(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  fleet.operators.plan.lost = 0.2;
  fleet.operators.plan.late = 0.1;
  fleet.operators.plan.doubled = 0.2;
  for (int round = 0; round < 12; ++round) {
    std::uint64_t const base = fleet.operators.newest_told();
    std::uint64_t const label = fleet.operators.next_label();
    for (int rival = 0; rival < 8; ++rival)
      fleet.operators.drive(rival % 4 == 3 ? fleet.operators.amend(base, label) : fleet.operators.replace(base, label));
    std::vector<MachineId> const keepers = fleet.keepers();
    MachineId const target = keepers[fleet.random.chance(0.6) ? 0 : fleet.random.below(keepers.size())];
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
    fleet.world.run(seconds(5));
  }
  return fleet.finish("eight rivals under one label");
}

constexpr int others_counts[] = {0, 1, 63, 64, 65, 66, 200, 500};

// An order that was taken comes again after so many others, at every machine.
Report sent_again(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  int const others = others_counts[fleet.pick(plan.variant, static_cast<int>(std::size(others_counts)))];
  Operators& operators = fleet.operators;
  OrderId const whole = operators.replace(operators.newest_told(), operators.next_label());
  operators.drive(whole);
  fleet.world.run(seconds(1));
  OrderId const part = operators.amend(operators.newest_told(), operators.next_label());
  operators.drive(part);
  fleet.world.run(seconds(1));
  std::uint64_t const enough = fleet.judge.confirmations + static_cast<std::uint64_t>(others);
  while (fleet.judge.confirmations < enough) {
    if (operators.open_orders() == 0)
      operators.drive(operators.replace(operators.newest_told(), operators.next_label()));
    fleet.world.run(millis(5));
  }
  for (MachineId id = 0; id < fleet.world.size(); ++id) {
    operators.send(whole, id);
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
    MachineId const target = fleet.keepers().front();
    Micros const span = fleet.some(millis(300), seconds(2));
    std::uint64_t const how = fleet.random.below(5);
    static char const* const words[] = {" killed", " dark", " frozen", " cut off", " slow at its disk"};
    setting += words[how];
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

// ---- point 3

// Waits until so many machines may be lost and the moment has come: a time, or a change of the set.
void await_moment(Fleet& fleet, Micros least, int epochs, Micros offset) {
  World& world = fleet.world;
  Micros const end = world.now() + seconds(15);
  std::uint64_t const epoch = fleet.epoch();
  world.run(least);
  while (world.now() < end && fleet.epoch() < epoch + static_cast<std::uint64_t>(epochs)) world.run(millis(1));
  world.run(offset);
  while (world.now() < end && world.lost() > 0) world.run(millis(1));
}

Report second_loss(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  enum Kind { planned, unplanned, wiped };
  static char const* const words[] = {"planned", "unplanned", "wiped"};
  int const variant = fleet.pick(plan.variant, 6);
  Kind const kind = static_cast<Kind>(variant % 3);
  bool const newest_copy = variant >= 3;
  fleet.judge.expect_progress(true);
  fleet.operators.steady(world.now() + seconds(60));
  std::vector<MachineId> keepers = fleet.keepers();
  std::size_t const together = world.plan.tolerated;
  // Those that go first, those that go later, each by chance.
  for (std::size_t i = keepers.size(); i > 1; --i) std::swap(keepers[i - 1], keepers[fleet.random.below(i)]);
  std::vector<MachineId> const first(keepers.begin(), keepers.begin() + static_cast<std::ptrdiff_t>(together));
  std::vector<MachineId> const later(keepers.begin() + static_cast<std::ptrdiff_t>(together),
                                     keepers.begin() + static_cast<std::ptrdiff_t>(2 * together));
  std::string setting = std::string(words[kind]) + (newest_copy ? " of the newest copy" : "");
  std::vector<MachineId> successors;
  if (kind == planned) {
    for (MachineId const id : first) successors.push_back(world.add_successor(id));
    for (MachineId const id : successors) world.boot(id);
    world.run(world.plan.catch_up);
  }
  if (newest_copy) {
    // Others miss what is confirmed meanwhile, and have just had their time to catch up.
    std::vector<MachineId> rest(keepers.begin() + static_cast<std::ptrdiff_t>(2 * together), keepers.end());
    rest.resize(std::min(rest.size(), together));
    world.isolate(rest, CutKind::silent, CutWay::both);
    world.run(seconds(3));
    world.heal();
    world.run(world.plan.catch_up);
  }
  std::uint64_t const mode = fleet.random.below(4);
  int const epochs = mode == 0 ? 0 : static_cast<int>(fleet.random.below(2 * together + 1));
  Micros const offset = mode == 0 ? fleet.some(0, seconds(6)) : fleet.some(0, mode == 1 ? millis(20) : millis(900));
  if (kind == planned) {
    for (MachineId const id : first) world.stop(id);
    while (world.machine(first.front()).up() || world.machine(first.back()).up()) world.run(millis(1));
    await_moment(fleet, 0, epochs, offset);
  } else {
    for (MachineId const id : first) {
      if (kind == unplanned) world.remove(id);
      if (kind == wiped) world.power_off(id);
    }
    world.run(seconds(1));
    for (MachineId const id : first) {
      if (kind == wiped) world.wipe(id);
      MachineId const back = kind == wiped ? id : world.add_successor(id);
      world.boot(back);
    }
    await_moment(fleet, world.plan.catch_up, 0, offset);
  }
  setting += ", " + std::to_string(epochs) + " changes of the set and " + std::to_string(offset / 1000) + " ms before";
  for (MachineId const id : later) {
    setting += " " + world.machine(id).name;
    world.power_off(id);
    world.machine(id).removed = true;
  }
  setting += " went too; first went";
  for (MachineId const id : first) setting += " " + world.machine(id).name;
  world.run(seconds(14));
  // What is lost for good is replaced in the end, so that the last judgement sees a whole fleet.
  for (MachineId const id : later) world.boot(world.add_successor(id));
  world.run(seconds(8));
  fleet.judge.expect_progress(false);
  return fleet.finish(setting);
}

// ---- point 4

Report back_in_storm(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  enum How { restarted, dark, wiped, replaced, plain, thawed };
  static char const* const words[] = {"restarted", "dark", "wiped", "replaced", "a plain machine", "thawed"};
  int const how = fleet.pick(plan.variant, 6);
  fleet.judge.expect_progress(true);
  fleet.operators.storm(seconds(45), 12);
  world.run(seconds(15));
  std::vector<MachineId> const keepers = fleet.keepers();
  MachineId target = keepers[fleet.random.chance(0.5) ? 0 : fleet.random.below(keepers.size())];
  if (how == plain) target = world.plan.disks;
  Micros const away = fleet.some(millis(100), seconds(5));
  if (how == restarted || how == plain) world.kill(target);
  if (how == dark || how == wiped) world.power_off(target);
  if (how == replaced) world.remove(target);
  if (how == thawed) world.freeze(target, away);
  world.run(away);
  if (how == wiped) world.wipe(target);
  if (how == replaced) target = world.add_successor(target);
  if (how != thawed) world.boot(target);
  world.run(seconds(20));
  fleet.judge.expect_progress(false);
  return fleet.finish(std::string(words[how]) + " in a storm, away for " + std::to_string(away / 1000) + " ms");
}

// A machine starts where no majority can be reached, beside one that serves with what it had.
Report started_alone(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  MachineId const beside = world.plan.disks;
  MachineId const target = fleet.random.chance(0.5) ? world.plan.disks + 1 : fleet.keepers().front();
  fleet.judge.expect_progress(true);
  fleet.operators.steady(world.now() + seconds(24));
  world.run(seconds(2));
  world.isolate({beside, target}, CutKind::silent, CutWay::both);
  world.run(seconds(2));
  world.kill(target);
  world.run(seconds(1));
  world.boot(target);
  world.run(seconds(10));
  world.heal();
  world.run(seconds(8));
  fleet.judge.expect_progress(false);
  return fleet.finish(world.machine(target).keeper ? "a keeper beside a plain machine"
                                                   : "a plain machine beside another");
}

// All machines that count are killed or dark at once, soon after an order was sent or acknowledged.
Report all_at_once(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  bool const dark = fleet.pick(plan.variant, 2) == 1;
  fleet.operators.storm(seconds(30), 12);
  for (int turn = 0; turn < 3; ++turn) {
    world.run(fleet.some(seconds(2), seconds(4)));
    for (MachineId const id : world.keepers())
      if (dark)
        world.power_off(id);
      else
        world.kill(id);
    world.run(fleet.some(millis(100), seconds(2)));
    for (MachineId const id : world.keepers()) world.boot(id);
    world.run(seconds(4));
  }
  fleet.judge.expect_progress(true);
  fleet.operators.steady(world.now() + seconds(12));
  world.run(seconds(12));
  fleet.judge.expect_progress(false);
  return fleet.finish(dark ? "all dark at once" : "all killed at once");
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

void trouble_keeper(Fleet& fleet) {
  World& world = fleet.world;
  std::vector<MachineId> const keepers = fleet.keepers();
  if (keepers.empty()) return;
  MachineId const id = keepers[fleet.random.chance(0.4) ? 0 : fleet.random.below(keepers.size())];
  Micros const span = fleet.some(millis(100), seconds(3));
  switch (fleet.random.below(9)) {
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
    case 7: {
      if (world.machine(id).successor) break;
      world.remove(id);
      MachineId const successor = world.add_successor(id);
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

void trouble_plain(Fleet& fleet) {
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

void trouble_links(Fleet& fleet) {
  World& world = fleet.world;
  std::vector<MachineId> group;
  std::vector<MachineId> const keepers = fleet.keepers();
  for (std::size_t n = 0; n + world.lost() < world.plan.tolerated && n < keepers.size(); ++n)
    if (fleet.random.chance(0.7)) group.push_back(keepers[fleet.random.chance(0.5) ? n : keepers.size() - 1 - n]);
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
    if (fleet.random.chance(0.3)) trouble_plain(fleet);
    if (all && fleet.random.chance(0.02)) {
      bool const dark = fleet.random.chance(0.5);
      for (MachineId const id : fleet.keepers()) {
        if (dark) world.power_off(id);
        if (!dark) world.kill(id);
        world.after(seconds(1), [&world, id] { world.boot(id); });
      }
      world.run(seconds(1) + world.plan.catch_up);
    }
    if (world.now() >= next_links && world.lost() < world.plan.tolerated) {
      trouble_links(fleet);
      next_links = world.now() + fleet.some(seconds(5), seconds(24));
    } else if (world.lost() < world.plan.tolerated && fleet.random.chance(0.6)) {
      trouble_keeper(fleet);
    }
  }
  fleet.judge.expect_progress(false);
  return fleet.finish("a day", seconds(14));
}

Report day(ScenarioPlan const& plan) { return days(plan, true); }

}  // namespace

std::vector<Scenario> const& scenarios() {
  static std::vector<Scenario> const all = {
      {"cut_off", 1, "a machine is cut off for 20 s and asked all the time", cut_off},
      {"cut_in_storm", 1, "machines are cut off for 3 s in a storm of changes", cut_in_storm},
      {"one_label", 2, "eight rivals under one label, their proposer lost in the middle", one_label},
      {"sent_again", 2, "orders that were taken come again after 0 to 500 others", sent_again},
      {"proposer_lost", 2, "the proposing keeper is lost in a storm, four times", proposer_lost},
      {"second_loss", 3, "one further allowed loss at a moment of a repair or replacement", second_loss},
      {"back_in_storm", 4, "a member is away in a storm and comes back, whole, blank or replaced", back_in_storm},
      {"started_alone", 4, "a machine starts where no majority can be reached", started_alone},
      {"all_at_once", 4, "all machines that count are killed or dark at once", all_at_once},
      {"day", 0, "a day with everything", day},
  };
  return all;
}

Scenario const* scenario_of(std::string const& name) {
  for (Scenario const& item : scenarios())
    if (name == item.name) return &item;
  return nullptr;
}

}  // namespace pipit::control_plane
