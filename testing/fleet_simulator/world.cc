// A simulation run from its start to its end (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "routing/index/path.h"

namespace pipit {

World::World(WorldPlan plan_) : plan(std::move(plan_)), random(plan.seed * 7919 + 17) {}
World::~World() = default;

std::vector<std::string> World::fault_types() {
  return {"kill",  "power", "freeze",  "cut",   "split",   "keepers", "blank", "exchange", "slow",
          "hand",  "dark",  "release", "leave", "list",    "race",    "storm", "large",    "loss",
          "group", "stray", "amnesia", "drain", "closing", "crowd",   "refuse"};
}

void World::at(Micros when, std::function<void()> act) { events.push(ScheduledEvent{when, ++order, std::move(act)}); }
void World::add_to_hash(std::string const& event) {
  end.hash = hash_bits(end.hash ^ hash_text(event) ^ static_cast<std::uint64_t>(now));
}
void World::record_violation(std::string const& text) {
  if (end.violations.size() < 20) end.violations.push_back(text + " at " + std::to_string(now / 1000) + " ms");
}
Micros World::clock(Machine const& machine) const {
  return machine.offset + static_cast<Micros>(static_cast<double>(now) * machine.rate);
}

WorldEnd World::run() {
  int i = 0;
  for (int n = 1; n <= plan.shape->replicas; ++n) {
    std::string const& zone = plan.shape->zones[static_cast<std::size_t>(n - 1) % plan.shape->zones.size()];
    start_machine(
        add_machine("k" + std::to_string(n), "10.0.2." + std::to_string(n) + ":7000", zone, MemberRole::config_store));
  }
  for (int n = 1; n <= plan.shape->routers; ++n) {
    std::string const& zone = plan.shape->zones[static_cast<std::size_t>(n - 1) % plan.shape->zones.size()];
    start_machine(
        add_machine("p" + std::to_string(n), "10.0.1." + std::to_string(n) + ":7000", zone, MemberRole::router));
  }
  for (int n = 1; n <= plan.shape->workers; ++n) {
    std::unique_ptr<WorkerProcess> process = std::make_unique<WorkerProcess>();
    process->row = ListRow{"w" + std::to_string(n),
                           "10.0.3." + std::to_string(n) + ":9000",
                           plan.shape->zones[static_cast<std::size_t>(i++) % plan.shape->zones.size()],
                           n % 3 == 0 ? "press" : "main",
                           1,
                           60,
                           false};
    start_process(*process);
    processes[process->row.id] = std::move(process);
  }
  write_list();
  at(seconds(3),
     [this] { submit_operator_change(Change::Type::apply, description_of(*plan.shape, 0), 0, *machines["p1"]); });
  Micros const faults_end = seconds(5) + plan.length;
  at(seconds(6), [this] { operator_turn(); });
  at(seconds(7), [this] { inject_fault(); });
  at(seconds(4), [this] { check_configuration_delivery(); });
  Micros gap = static_cast<Micros>(1e6 / plan.rate);
  for (Micros t = seconds(5); t < faults_end + seconds(6); t += gap)
    at(t + static_cast<Micros>(random.below(static_cast<std::uint64_t>(gap))), [this] { start_client_call(); });
  at(faults_end, [this] {
    quiet = true;
    heal();
    restore_list();
    power_cut_after_accept = false;
    for (std::pair<std::string const, std::unique_ptr<Machine>>& item : machines) {
      item.second->disk_low = 500;
      item.second->disk_high = 6000;
      // Routers whose address was given to a replacement, and replacements (px) that were stopped without a power loss,
      // stay down; all other machines are started again.
      bool const departed = item.second->address.rfind("10.0.7.", 0) == 0;
      if (!departed && (item.second->role == MemberRole::config_store || item.second->power || item.first[1] != 'x')) {
        std::string const name = item.first;
        after(seconds(3), [this, name] { start_machine(*machines[name]); });
      }
    }
    for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& item : processes) item.second->frozen = false;
  });
  if (plan.finale) {
    at(faults_end + seconds(24), [this] {
      for (std::string const& name : silent_routers)
        if (Machine* const machine = pick_any_running())
          submit_operator_change(Change::Type::evict_router, name, 0, *machine);
    });
    at(faults_end + seconds(30), [this] {
      if (Machine* const machine = pick_any_running())
        submit_operator_change(Change::Type::empty, plan.shape->zones[0], 0, *machine);
    });
  }
  Micros const last = faults_end + seconds(plan.finale ? 36 : 28);
  while (!events.empty() && events.top().at <= last) {
    ScheduledEvent item = events.top();
    events.pop();
    now = std::max(now, item.at);
    item.act();
    if (links.size() > 400)
      links.erase(
          std::remove_if(links.begin(), links.end(), [](std::shared_ptr<Link> const& link) { return !link->open; }),
          links.end());
  }
  check_final_state();
  add_to_hash("frames " + std::to_string(end.frames) + " done " + std::to_string(end.done));
  return end;
}

}  // namespace pipit
