// Points 3 and 4: members that are lost, replaced and back, and who may lead after it.
#include <algorithm>

#include "testing/control_plane_simulator/fleet.h"

namespace pipit::control_plane_simulator {

namespace {

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
  enum ErrorCode { planned, unplanned, wiped };
  static char const* const names[] = {"planned", "unplanned", "wiped"};
  int const variant = fleet.pick(plan.variant, 6);
  ErrorCode const kind = static_cast<ErrorCode>(variant % 3);
  bool const newest_copy = variant >= 3;
  fleet.judge.expect_progress(true);
  fleet.operators.steady(world.now() + seconds(60));
  std::vector<MachineId> replicas = fleet.replicas();
  std::size_t const together = world.plan.tolerated;
  // Those that go first, those that go later, each by chance.
  for (std::size_t i = replicas.size(); i > 1; --i) std::swap(replicas[i - 1], replicas[fleet.random.below(i)]);
  std::vector<MachineId> const first(replicas.begin(), replicas.begin() + static_cast<std::ptrdiff_t>(together));
  std::vector<MachineId> const later(replicas.begin() + static_cast<std::ptrdiff_t>(together),
                                     replicas.begin() + static_cast<std::ptrdiff_t>(2 * together));
  std::string setting = std::string(names[kind]) + (newest_copy ? " of the newest copy" : "");
  std::vector<MachineId> successors;
  if (kind == planned) {
    for (MachineId const id : first) successors.push_back(world.add_successor(id));
    for (MachineId const id : successors) world.boot(id);
    world.run(world.plan.catch_up);
  }
  if (newest_copy) {
    // Others miss what is confirmed meanwhile, and have just had their time to catch up.
    std::vector<MachineId> rest(replicas.begin() + static_cast<std::ptrdiff_t>(2 * together), replicas.end());
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
  enum How { restarted, unpowered, wiped, replaced, plain, thawed };
  static char const* const names[] = {"restarted", "dark", "wiped", "replaced", "a plain machine", "thawed"};
  int const how = fleet.pick(plan.variant, 6);
  fleet.judge.expect_progress(true);
  fleet.operators.storm(seconds(45), 12);
  world.run(seconds(15));
  std::vector<MachineId> const replicas = fleet.replicas();
  MachineId target = replicas[fleet.random.chance(0.5) ? 0 : fleet.random.below(replicas.size())];
  if (how == plain) target = world.plan.disks;
  Micros const away = fleet.some(millis(100), seconds(5));
  if (how == restarted || how == plain) world.kill(target);
  if (how == unpowered || how == wiped) world.power_off(target);
  if (how == replaced) world.remove(target);
  if (how == thawed) world.freeze(target, away);
  world.run(away);
  if (how == wiped) world.wipe(target);
  if (how == replaced) target = world.add_successor(target);
  if (how != thawed) world.boot(target);
  world.run(seconds(20));
  fleet.judge.expect_progress(false);
  return fleet.finish(std::string(names[how]) + " in a storm, away for " + std::to_string(away / 1000) + " ms");
}

// A machine starts where no majority can be reached, beside one that serves with what it had.
Report started_alone(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  MachineId const beside = world.plan.disks;
  MachineId const target = fleet.random.chance(0.5) ? world.plan.disks + 1 : fleet.replicas().front();
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
  return fleet.finish(world.machine(target).replica ? "a keeper beside a plain machine"
                                                    : "a plain machine beside another");
}

// All machines that count are killed or dark at once, soon after an order was sent or acknowledged.
Report all_at_once(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  bool const unpowered = fleet.pick(plan.variant, 2) == 1;
  fleet.operators.storm(seconds(30), 12);
  for (int turn = 0; turn < 3; ++turn) {
    world.run(fleet.some(seconds(2), seconds(4)));
    for (MachineId const id : world.replicas())
      if (unpowered)
        world.power_off(id);
      else
        world.kill(id);
    world.run(fleet.some(millis(100), seconds(2)));
    for (MachineId const id : world.replicas()) world.boot(id);
    world.run(seconds(4));
  }
  fleet.judge.expect_progress(true);
  fleet.operators.steady(world.now() + seconds(12));
  world.run(seconds(12));
  fleet.judge.expect_progress(false);
  return fleet.finish(unpowered ? "all dark at once" : "all killed at once");
}

// ---- points 3 and 4 together

enum class Loss { killed, unpowered, everything_unpowered, wiped, wiped_rest_unpowered };
constexpr char const* loss_names[] = {"all killed", "all dark", "plain machines dark too", "wiped",
                                      "wiped, the rest dark"};

// Replicas are replaced one after another while another one is cut off one way or frozen.
std::string replace_a_few(Fleet& fleet, std::uint64_t count) {
  World& world = fleet.world;
  std::string setting = std::to_string(count) + " replacements";
  for (std::uint64_t turn = 0; turn < count; ++turn) {
    std::vector<MachineId> const replicas = fleet.shuffled_replicas();
    MachineId const leaving = replicas.front();
    MachineId const other = replicas.back();
    bool const planned = fleet.random.chance(0.4);
    MachineId const successor = world.add_successor(leaving);
    if (planned) {
      world.boot(successor);
      world.run(world.plan.catch_up);
      world.stop(leaving);
    } else {
      world.remove(leaving);
      world.after(seconds(1), [&world, successor] { world.boot(successor); });
    }
    world.run(fleet.some(millis(50), millis(900)));
    bool const frozen = fleet.random.chance(0.3);
    if (frozen) world.freeze(other, fleet.some(seconds(2), seconds(5)));
    if (!frozen) world.isolate({other}, CutKind::silent, cut_ways[fleet.random.below(3)]);
    setting += planned ? " planned" : " unplanned";
    setting += frozen ? " beside a freeze" : " beside a cut";
    world.run(fleet.some(seconds(2), seconds(5)));
    world.heal();
    for (Micros waited = 0; world.lost() > 0 && waited < seconds(15); waited += millis(50)) world.run(millis(50));
  }
  return setting;
}

// A configuration is read again and again until one reading is answered.
void read_until_answered(Fleet& fleet, Micros from, Micros bound, std::uint64_t before) {
  if (fleet.judge.readings > before) return;
  Micros const waited = fleet.world.now() - from;
  if (waited > bound) {
    std::string const what = "no reading was answered within " + std::to_string(waited / 1000) + " ms";
    fleet.judge.findings.push_back(Finding{3, fleet.world.now(), what});
    return;
  }
  fleet.operators.read(fleet.operators.any_machine());
  fleet.world.after(millis(200), [&fleet, from, bound, before] { read_until_answered(fleet, from, bound, before); });
}

void lose_all(Fleet& fleet, Loss loss, std::vector<MachineId> const& victims, Micros down) {
  World& world = fleet.world;
  bool const wipes = loss == Loss::wiped || loss == Loss::wiped_rest_unpowered;
  for (MachineId id = 0; id < world.size(); ++id) {
    if (!world.machine(id).up()) continue;
    bool const victim = std::count(victims.begin(), victims.end(), id) > 0;
    bool const goes = world.machine(id).replica || loss == Loss::everything_unpowered;
    if (!goes || (loss == Loss::wiped && !victim)) continue;
    if (loss == Loss::killed)
      world.kill(id);
    else
      world.power_off(id);
    if (wipes && victim) world.wipe(id);
    world.after(down, [&world, id] { world.boot(id); });
  }
}

// All that count are lost 5 to 400 ms after an order was sent, or right after it was acknowledged.
Report closing_fault(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  int const variant = fleet.pick(plan.variant, 10);
  Loss const loss = static_cast<Loss>(variant % 5);
  bool const quiet = variant >= 5;  // no operator asks anything for a while after it
  double const rates[] = {2, 7, 25};
  fleet.operators.storm(seconds(120), rates[fleet.random.below(3)]);
  std::string setting = replace_a_few(fleet, fleet.random.below(4));
  world.run(fleet.some(0, seconds(2)));
  std::vector<MachineId> const order = fleet.random.chance(0.5) ? fleet.replicas() : fleet.shuffled_replicas();
  std::size_t const lost_disks = std::min(world.plan.tolerated, order.size());
  std::vector<MachineId> const victims(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(lost_disks));
  std::uint64_t const confirmed = fleet.judge.confirmations;
  if (fleet.random.chance(0.5)) {
    world.run(fleet.some(millis(5), millis(400)));
  } else {
    for (int step = 0; step < 400 && fleet.judge.confirmations == confirmed; ++step) world.run(millis(1));
  }
  if (quiet) fleet.operators.halt();
  Micros const down = fleet.some(millis(100), seconds(2));
  lose_all(fleet, loss, victims, down);
  setting += std::string(", then ") + loss_names[static_cast<std::size_t>(loss)] + (quiet ? ", no operator" : "");
  world.run(down);
  if (quiet) {
    world.run(seconds(10));
  } else {
    fleet.judge.expect_progress(true);
    read_until_answered(fleet, world.now(), seconds(4), fleet.judge.readings);
    world.run(seconds(14));
    fleet.judge.expect_progress(false);
  }
  return fleet.finish(setting);
}

// Every machine loses power in a storm and the replica that proposes for all, or another one, comes back blank. Nobody
// asks anything after it: the nodes alone must find the newest copy and get ready.
Report full_stop_with_a_wipe(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  fleet.operators.storm(seconds(60), 25);
  world.run(fleet.some(seconds(1), seconds(3)));
  std::vector<MachineId> const order = fleet.pick(plan.variant, 2) == 0 ? fleet.replicas() : fleet.shuffled_replicas();
  std::vector<MachineId> const victims(order.begin(),
                                       order.begin() + static_cast<std::ptrdiff_t>(world.plan.tolerated));
  // One of the others misses the last changes.
  world.isolate({order.back()}, CutKind::silent, CutWay::both);
  world.run(fleet.some(millis(5), millis(120)));
  fleet.operators.halt();
  Micros const down = fleet.some(millis(100), seconds(2));
  for (MachineId const id : victims) {
    world.power_off(id);
    world.wipe(id);
    world.after(down, [&world, id] { world.boot(id); });
  }
  lose_all(fleet, Loss::everything_unpowered, {}, down);
  world.heal();
  world.run(down + seconds(8));
  return fleet.finish("all dark, " + std::to_string(victims.size()) + " wiped, no operator");
}

// Members that are frozen for long lose their places, come back, and then others go for good.
Report thawed_after_replacement(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  fleet.judge.expect_progress(true);
  fleet.operators.storm(seconds(90), 12);
  for (int turn = 0; turn < 3; ++turn) {
    std::vector<MachineId> const replicas = fleet.shuffled_replicas();
    std::size_t const together = world.plan.tolerated;
    std::vector<MachineId> later;
    for (std::size_t n = 0; n < together; ++n) {
      world.freeze(replicas[n], fleet.some(seconds(2), seconds(6)));
      later.push_back(replicas[together + n]);
    }
    world.run(seconds(7));
    for (Micros waited = 0; world.lost() > 0 && waited < seconds(10); waited += millis(20)) world.run(millis(20));
    world.run(fleet.some(0, millis(500)));
    for (MachineId const id : later) {
      world.remove(id);
      MachineId const successor = world.add_successor(id);
      world.after(seconds(1), [&world, successor] { world.boot(successor); });
    }
    world.run(seconds(1) + world.plan.catch_up + fleet.some(0, seconds(2)));
  }
  fleet.judge.expect_progress(false);
  return fleet.finish("frozen for seconds, then others lost, three times");
}

// A planned replacement is interrupted: the leaving member is killed, dark, frozen or cut off at any moment of it, or
// its successor's disk is in trouble; then one further allowed loss.
Report planned_interrupted(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  static char const* const names[] = {
      "killed", "dark", "frozen", "cut off", "beside a full disk", "beside a slow disk"};
  int const how = fleet.pick(plan.variant, 6);
  fleet.judge.expect_progress(true);
  fleet.operators.steady(world.now() + seconds(70), millis(40));
  std::vector<MachineId> const replicas = fleet.shuffled_replicas();
  std::size_t const together = world.plan.tolerated;
  std::vector<MachineId> successors;
  std::vector<MachineId> later;
  for (std::size_t n = 0; n < together; ++n) successors.push_back(world.add_successor(replicas[n]));
  Micros const span = fleet.some(millis(200), seconds(7));
  for (MachineId const id : successors) {
    if (how == 4) world.fill_disk(id, span);
    if (how == 5) world.stall_disk(id, span);
    world.boot(id);
  }
  world.run(how >= 4 ? fleet.some(0, world.plan.catch_up) : world.plan.catch_up);
  for (std::size_t n = 0; n < together; ++n) world.stop(replicas[n]);
  world.run(fleet.some(0, fleet.random.chance(0.5) ? millis(700) : seconds(3)));
  for (std::size_t n = 0; n < together; ++n) {
    MachineId const id = replicas[n];
    if (!world.machine(id).up()) continue;
    if (how == 0) world.kill(id);
    if (how == 1) world.power_off(id);
    if (how <= 1) world.machine(id).removed = true;
    if (how == 2) world.freeze(id, fleet.some(millis(300), seconds(6)));
    if (how == 3) world.isolate({id}, CutKind::silent, cut_ways[fleet.random.below(3)]);
  }
  // A leaving member that is killed is a loss of its own, for as long as any other.
  if (how <= 1) world.run(world.plan.catch_up);
  for (Micros waited = 0; waited < seconds(20); waited += millis(10)) {
    bool departed = true;
    for (std::size_t n = 0; n < together; ++n) departed = departed && world.machine(replicas[n]).removed;
    if (departed && world.lost() == 0) break;
    world.run(millis(10));
  }
  world.heal();
  world.run(fleet.some(0, millis(600)));
  for (std::size_t n = together; n < 2 * together && world.lost() == 0; ++n) later.push_back(replicas[n]);
  for (MachineId const id : later) {
    world.remove(id);
    MachineId const successor = world.add_successor(id);
    world.after(seconds(1), [&world, successor] { world.boot(successor); });
  }
  world.run(seconds(14));
  fleet.judge.expect_progress(false);
  return fleet.finish(std::string("a planned replacement, ") + names[how]);
}

// The first seconds: machines start in any order, and one that counts is in trouble before, while or after the first
// set is written.
Report bootstrap_set(ScenarioPlan const& plan) {
  Fleet fleet(plan, Fleet::Unstarted{}, JudgePlan{});
  World& world = fleet.world;
  static char const* const names[] = {
      "late", "killed", "dark", "wiped", "frozen", "cut off", "replaced", "full at its start", "slow disk"};
  int const how = fleet.pick(plan.variant, 9);
  MachineId const target = fleet.random.below(std::min<std::size_t>(3, world.plan.disks));
  Micros const span = fleet.some(millis(200), seconds(4));
  if (how == 7) world.fill_disk(target, span);
  if (how == 8) world.stall_disk(target, span);
  world.boot_all(true);
  fleet.operators.drive(fleet.operators.replace(0, fleet.operators.next_label()));
  Micros const moment = how == 0 ? millis(301) : fleet.some(millis(310), seconds(4));
  world.run(moment);
  if (how == 0 || how == 1) world.kill(target);
  if (how == 2 || how == 3) world.power_off(target);
  if (how == 3) world.wipe(target);
  if (how <= 3) world.after(span, [&world, target] { world.boot(target); });
  if (how == 4) world.freeze(target, span);
  if (how == 5) world.isolate({target}, CutKind::silent, cut_ways[fleet.random.below(3)]);
  if (how == 6) {
    world.remove(target);
    MachineId const successor = world.add_successor(target);
    world.after(seconds(1), [&world, successor] { world.boot(successor); });
  }
  world.run(span);
  world.heal();
  world.run(seconds(8));
  fleet.operators.drive(fleet.operators.replace(fleet.operators.newest_acknowledged(), fleet.operators.next_label()));
  world.run(seconds(6));
  if (fleet.judge.confirmations == 0)
    fleet.judge.findings.push_back(Finding{3, world.now(), "no first configuration was confirmed"});
  return fleet.finish("founding, one " + std::string(names[how]) + " at " + std::to_string(moment / 1000) + " ms for " +
                      std::to_string(span / 1000) + " ms");
}

// Up to 25 changes a second; replicas restart, are wiped or replaced all the time, at times with a full or slow disk.
Report restarts_in_storm(ScenarioPlan const& plan) {
  Fleet fleet(plan);
  World& world = fleet.world;
  fleet.judge.expect_progress(true);
  double const rates[] = {12, 25};
  fleet.operators.storm(seconds(70), rates[fleet.random.below(2)]);
  Micros const end = world.now() + seconds(60);
  while (world.now() < end) {
    std::vector<MachineId> const replicas = fleet.shuffled_replicas();
    for (std::size_t n = 0; n < world.plan.tolerated; ++n) {
      MachineId id = replicas[n];
      Micros const away = fleet.some(millis(50), millis(1500));
      std::uint64_t const how = fleet.random.below(6);
      if (how == 0) world.kill(id);
      if (how >= 1 && how <= 4) world.power_off(id);
      if (how == 2) world.wipe(id);
      if (how == 3) world.fill_disk(id, away + fleet.some(0, seconds(1)));
      if (how == 4) world.stall_disk(id, away + fleet.some(0, seconds(1)));
      if (how == 5) {
        world.remove(id);
        id = world.add_successor(id);
        if (fleet.random.chance(0.3)) world.fill_disk(id, away + fleet.some(0, seconds(1)));
      }
      world.after(away, [&world, id] { world.boot(id); });
    }
    for (Micros waited = 0; waited < seconds(14); waited += millis(50)) {
      world.run(millis(50));
      if (world.lost() == 0) break;
    }
  }
  fleet.judge.expect_progress(false);
  return fleet.finish("keepers restarted in a storm");
}

}  // namespace

std::vector<Scenario> const& member_scenarios() {
  static std::vector<Scenario> const all = {
      {"second_loss", 3, "one further allowed loss at a moment of a repair or replacement", second_loss},
      {"back_in_storm", 4, "a member is away in a storm and comes back, whole, blank or replaced", back_in_storm},
      {"started_alone", 4, "a machine starts where no majority can be reached", started_alone},
      {"all_at_once", 4, "all machines that count are killed or dark at once", all_at_once},
      {"closing_fault", 3, "replacements under trouble, then all that count are lost, or disks", closing_fault},
      {"full_stop_with_a_wipe", 4, "all dark at once, a disk lost, and nobody asks", full_stop_with_a_wipe},
      {"thawed_after_replacement", 3, "members frozen until they are replaced, then others lost",
       thawed_after_replacement},
      {"planned_interrupted", 3, "a planned replacement is interrupted, then one further loss", planned_interrupted},
      {"founding", 3, "trouble in the first seconds", bootstrap_set},
      {"restarts_in_storm", 4, "hundreds of changes, keepers restarted, wiped and replaced", restarts_in_storm},
  };
  return all;
}

}  // namespace pipit::control_plane_simulator
