// The fault types, injected at times and places that the seed chooses (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>
#include <map>

#include "base/events.h"
#include "routing/index/path.h"

namespace pipit {

void World::full_loss() {
  full_loss_at = -1;
  service_back_at = -1;
  bool const power = random.chance(0.5);
  for (std::pair<std::string const, std::unique_ptr<Machine>>& item : machines) stop_machine(*item.second, power);
  heal();
  restore_list();
  after(millis(800), [this] {
    full_loss_at = now;
    for (std::pair<std::string const, std::unique_ptr<Machine>>& item : machines) start_machine(*item.second);
    Micros const from = now;
    after(seconds(12), [this, from] {
      if (full_loss_at != from) return;
      if (service_back_at < 0 && !log_is_muted())
        for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines)
          if (item.second->up() && item.second->role == MemberRole::router)
            for (std::pair<std::string const, Worker> const& w : item.second->node->fleet.workers)
              std::printf("%s knows %s incarnation %llu standing %d dark %d doubted %d zone %s\n", item.first.c_str(),
                          w.first.c_str(), static_cast<unsigned long long>(w.second.row.incarnation),
                          static_cast<int>(w.second.state), w.second.unhealthy, w.second.suspected,
                          w.second.row.zone.c_str());
      if (service_back_at < 0)
        record_violation("N12 no client request was completed within twelve seconds after the restart of all nodes");
      else
        end.margins.back = std::max(end.margins.back, service_back_at - from);
    });
  });
}

// Makes the list of workers readable again. No node can see a mark made while the list was unreadable: such a mark
// counts from the time at which the list can be read.
void World::restore_list() {
  if (!list_down) return;
  list_down = false;
  for (std::pair<std::string const, std::map<std::uint64_t, Micros>>& worker : departures)
    for (std::pair<std::uint64_t const, Micros>& departure : worker.second)
      if (departure.second >= list_down_from - millis(1500)) departure.second = now;
}

// Stops a node, by a kill or a power loss, and starts it again.
void World::stop_node(FaultSite const& site) {
  std::string const name = site.machine->name;
  stop_machine(*site.machine, site.type == "power");
  after(site.span, [this, name] { start_machine(*machines[name]); });
}

// Freezes a node for a while.
void World::freeze_node(FaultSite const& site) { freeze_machine(*site.machine, site.span); }

// Cuts a node off from all others, in one direction or both, and possibly from the list of workers as well.
void World::cut_off_node(FaultSite const& site) {
  bool const one_way = random.chance(0.3);
  bool const outside = random.chance(0.5);
  for (std::string const& name : site.names) {
    if (name == site.machine->name) continue;
    set_cut(site.machine->name, name, true);
    if (!one_way) set_cut(name, site.machine->name, true);
  }
  if (outside) set_cut(site.machine->name, "list", true);
  after(random_delay(millis(500), seconds(9)), [this] { heal(); });
}

// Partitions the fleet into two sides, or cuts the config stores off from all others and possibly from each other.
void World::partition(FaultSite const& site) {
  std::set<std::string> side;
  for (std::string const& name : site.names)
    if (site.type == "keepers" ? name[0] == 'k' : random.chance(0.5)) side.insert(name);
  bool const each = site.type == "keepers" && random.chance(0.5);
  for (std::string const& a : site.names)
    for (std::string const& b : site.names)
      if (a != b && (side.count(a) != side.count(b) || (each && side.count(a) && side.count(b)))) set_cut(a, b, true);
  after(site.span, [this] { heal(); });
}

// Replaces a config store's disk and address. Only one disk is lost at a time: the next one only after the replica set
// has admitted the last one.
void World::replace_disk(FaultSite const& site) {
  std::size_t complete = 0;
  Machine* replica = pick_running([](Machine const& b) { return b.role == MemberRole::config_store; });
  if (replica != nullptr && cuts.empty()) {
    Membership const& members = replica->node->learner.membership();
    for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines)
      if (item.second->role == MemberRole::config_store && item.second->up() && item.second->disk &&
          members.contains(item.first, item.second->disk->disk))
        ++complete;
    if (complete == static_cast<std::size_t>(plan.shape->replicas) && members.replicas.size() == complete) {
      stop_machine(*replica, random.chance(0.5));
      replica->disk.reset();
      replica->writing.reset();
      replica->address = "10.0.5." + std::to_string(++moved_address_count) + ":7000";
      std::string const name = replica->name;
      after(site.span, [this, name] { start_machine(*machines[name]); });
    }
  }
}

// Replaces a router by a new one, possibly at the same address.
void World::exchange_router(FaultSite const& site) {
  Machine* const old = pick_running([](Machine const& b) { return b.role == MemberRole::router; });
  if (old != nullptr && machines.size() < 40) {
    std::string const zone = old->zone;
    bool const same_address = random.chance(0.3);
    std::string const address =
        same_address ? old->address : "10.0.6." + std::to_string(++moved_address_count) + ":7000";
    bool const power = random.chance(0.3);
    stop_machine(*old, power);
    ++end.exchanges;
    if (power) silent_routers.push_back(old->name);
    if (same_address) old->address = "10.0.7." + std::to_string(++moved_address_count) + ":7000";
    std::string const name = "px" + std::to_string(++moved_address_count);
    start_machine(add_machine(name, address, zone, MemberRole::router));
  }
}

// Makes a config store's disk slow or lets it stall.
void World::slow_disk(FaultSite const& site) {
  Machine* const replica = pick_running([](Machine const& b) { return b.role == MemberRole::config_store; });
  if (replica != nullptr) {
    bool const stall = random.chance(0.3);
    replica->disk_low = stall ? seconds(4) : millis(100);
    replica->disk_high = stall ? seconds(8) : millis(700);
    std::string const name = replica->name;
    after(site.span, [this, name] {
      machines[name]->disk_low = 500;
      machines[name]->disk_high = 6000;
    });
  }
}

// Crashes a worker and starts it again, at once or later, under its next incarnation.
void World::restart_worker(FaultSite const& site) {
  stop_process(*site.process);
  std::string const id = site.process->row.id;
  after(random.chance(0.5) ? random_delay(millis(20), millis(300)) : site.span, [this, id] {
    WorkerProcess& item = *processes[id];
    if (item.process_id != 0) return;
    ++item.row.incarnation;
    item.state = "serving";
    write_list();
    start_process(item);
  });
}

// Freezes a worker: it answers no request and no health check for a while.
void World::freeze_worker(FaultSite const& site) {
  site.process->frozen = true;
  std::string const id = site.process->row.id;
  std::uint64_t const process_id = site.process->process_id;
  after(site.span, [this, id, process_id] {
    if (processes[id]->process_id == process_id) processes[id]->frozen = false;
  });
}

// Restarts a random selection of the workers one after another, as a release does.
void World::restart_workers(FaultSite const& site) {
  Micros wait = 0;
  for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& item : processes) {
    if (random.chance(0.6)) continue;
    std::string const id = item.first;
    wait += random_delay(millis(300), millis(1500));
    after(wait, [this, id] {
      WorkerProcess& h = *processes[id];
      if (quiet || h.process_id == 0) return;
      stop_process(h);
      after(random_delay(millis(20), millis(600)), [this, id] {
        WorkerProcess& next = *processes[id];
        if (next.process_id != 0) return;
        ++next.row.incarnation;
        next.state = "serving";
        write_list();
        start_process(next);
      });
    });
  }
}

// Removes a worker from the list or marks it as leaving; it returns later.
void World::remove_worker(FaultSite const& site) {
  site.process->state = random.chance(0.5) ? "leaving" : "gone";
  departures[site.process->row.id][site.process->row.incarnation] = now;
  write_list();
  std::string const id = site.process->row.id;
  after(site.span + seconds(4), [this, id] {
    WorkerProcess& item = *processes[id];
    ++item.row.incarnation;
    item.state = "serving";
    write_list();
    stop_process(item);
    start_process(item);
  });
}

// Makes the list of workers unreadable for a while.
void World::stop_list(FaultSite const& site) {
  if (list_down) return;
  list_down = true;
  list_silent = random.chance(0.5);
  list_down_from = now;
  after(site.span, [this] { restore_list(); });
}

// Submits several changes against the same serial at the same time.
void World::race_changes(FaultSite const& site) {
  for (int i = 0; i < 2 + static_cast<int>(random.below(3)); ++i)
    if (Machine* const machine = pick_any_running())
      submit_operator_change(Change::Type::apply, description_of(*plan.shape, ++description_version), accepted_serial,
                             *machine);
}

// Submits twenty changes within a second.
void World::storm_of_changes(FaultSite const& site) {
  for (int i = 0; i < 20; ++i)
    after(random_delay(1, millis(800)), [this] {
      if (Machine* const machine = pick_any_running())
        submit_operator_change(Change::Type::apply, description_of(*plan.shape, ++description_version), accepted_serial,
                               *machine);
    });
}

// Submits a change with a large text.
void World::apply_large_change(FaultSite const& site) {
  submit_operator_change(Change::Type::apply,
                         description_of(*plan.shape, ++description_version) + std::string(300000, ' '), accepted_serial,
                         *site.machine);
}

// Stops every node at the same time.
void World::lose_all_nodes(FaultSite const& site) { full_loss(); }

// Cuts off a group of routers that still reach one another and the workers, but neither the list nor any other node.
void World::cut_off_group(FaultSite const& site) {
  std::set<std::string> side;
  std::size_t const size = 2 + random.below(2);
  for (int i = 0; i < 10 && side.size() < size; ++i)
    if (Machine* const one = pick_running([](Machine const& b) { return b.role == MemberRole::router; }))
      side.insert(one->name);
  for (std::string const& a : side) {
    for (std::string const& b : site.names)
      if (!side.count(b)) set_cut(a, b, true), set_cut(b, a, true);
    set_cut(a, "list", true);
  }
  after(random_delay(seconds(2), seconds(11)), [this] { heal(); });
}

// Cuts off one router, which continues to serve, while all other nodes stop and start again; then drains a zone.
void World::leave_one_router(FaultSite const& site) {
  Machine* const one = pick_running([](Machine const& b) { return b.role == MemberRole::router; });
  if (one != nullptr && cuts.empty()) {
    std::string const stray = one->name;
    for (std::string const& name : site.names) {
      if (name == stray) continue;
      set_cut(stray, name, true);
      set_cut(name, stray, true);
      stop_machine(*machines[name], false);
      bool const departed = machines[name]->address.rfind("10.0.7.", 0) == 0;
      if (!departed) after(random_delay(millis(200), millis(600)), [this, name] { start_machine(*machines[name]); });
    }
    after(seconds(5), [this, stray] {
      Machine* const machine =
          pick_running([&stray](Machine const& b) { return b.name != stray && b.node->is_ready(); });
      if (machine != nullptr && !quiet && machine->node->chat_dispatcher.drained_zones().empty())
        submit_operator_change(Change::Type::empty, plan.shape->zones[random.below(plan.shape->zones.size())], 0,
                               *machine);
    });
    after(seconds(14), [this] { heal(); });
  }
}

// A change is chosen while one replica is cut off. Then one replica that accepted it loses its disk, another one loses
// its power, and the one that was cut off returns: a quorum that counted the replica with the blank disk would continue
// from the older value.
void World::lose_accepted_change(FaultSite const& site) {
  Membership const& members = site.machine->node->learner.membership();
  std::vector<std::string> complete;
  for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines)
    if (item.second->role == MemberRole::config_store && item.second->up() && item.second->disk &&
        members.contains(item.first, item.second->disk->disk))
      complete.push_back(item.first);
  if (cuts.empty() && site.machine->role == MemberRole::router &&
      complete.size() == static_cast<std::size_t>(plan.shape->replicas)) {
    for (std::string const& name : site.names)
      if (name != complete[2]) set_cut(name, complete[2], true), set_cut(complete[2], name, true);
    submit_operator_change(Change::Type::apply, description_of(*plan.shape, ++description_version), accepted_serial,
                           *site.machine);
    after(millis(400), [this, complete] {
      stop_machine(*machines[complete[0]], true);
      machines[complete[0]]->disk.reset();
      machines[complete[0]]->writing.reset();
      stop_machine(*machines[complete[1]], true);
      heal();
      start_machine(*machines[complete[0]]);
    });
    after(seconds(3), [this] {
      if (Machine* const machine = pick_any_running()) submit_operator_change(Change::Type::read, "", 0, *machine);
      if (Machine* const machine = pick_any_running())
        submit_operator_change(Change::Type::apply, description_of(*plan.shape, ++description_version), accepted_serial,
                               *machine);
    });
    after(seconds(7), [this, complete] { start_machine(*machines[complete[1]]); });
  }
}

// Drains a node, stops it and starts it again.
void World::drain_node(FaultSite const& site) {
  std::string const name = site.machine->name;
  std::uint64_t const process_id = site.machine->process_id;
  run_step(*site.machine, process_id, [](Machine& b, Micros t, NodeEffects& out) { b.node->drain(t, out); });
  after(seconds(4), [this, name, process_id] {
    if (machines[name]->process_id == process_id) stop_machine(*machines[name], false);
    start_machine(*machines[name]);
  });
}

// Right after a change is submitted, cuts the power of the node that it was sent to and of one replica; or, on its
// acceptance, the power of every replica.
void World::stop_after_accept(FaultSite const& site) {
  power_cut_after_accept = random.chance(0.6);
  submit_operator_change(Change::Type::apply, description_of(*plan.shape, ++description_version), accepted_serial,
                         *site.machine);
  std::string const name = site.machine->name;
  if (!power_cut_after_accept)
    after(random_delay(millis(10), millis(60)), [this, name] {
      stop_machine(*machines[name], true);
      if (Machine* const replica = pick_running([](Machine const& b) { return b.role == MemberRole::config_store; })) {
        std::string const other = replica->name;
        stop_machine(*replica, true);
        after(random_delay(millis(500), seconds(3)), [this, other] { start_machine(*machines[other]); });
      }
      after(random_delay(millis(500), seconds(3)), [this, name] { start_machine(*machines[name]); });
    });
}

// Lets every worker refuse all requests for a while without running them.
void World::refuse_requests(FaultSite const& site) {
  for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& item : processes) item.second->refusing = true;
  after(site.span, [this] {
    for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& item : processes) item.second->refusing = false;
  });
}

// Starts two hundred client calls within a second.
void World::crowd_of_requests(FaultSite const& site) {
  for (int i = 0; i < 200; ++i) after(random_delay(1, millis(1000)), [this] { start_client_call(); });
}

World::FaultType const* World::fault_type(std::string const& name) {
  static std::map<std::string, FaultType> const types{{"kill", {&World::stop_node, false}},
                                                      {"power", {&World::stop_node, false}},
                                                      {"freeze", {&World::freeze_node, false}},
                                                      {"cut", {&World::cut_off_node, false}},
                                                      {"split", {&World::partition, false}},
                                                      {"keepers", {&World::partition, false}},
                                                      {"blank", {&World::replace_disk, false}},
                                                      {"exchange", {&World::exchange_router, false}},
                                                      {"slow", {&World::slow_disk, false}},
                                                      {"hand", {&World::restart_worker, true}},
                                                      {"dark", {&World::freeze_worker, true}},
                                                      {"release", {&World::restart_workers, false}},
                                                      {"leave", {&World::remove_worker, true}},
                                                      {"list", {&World::stop_list, false}},
                                                      {"race", {&World::race_changes, false}},
                                                      {"storm", {&World::storm_of_changes, false}},
                                                      {"large", {&World::apply_large_change, false}},
                                                      {"loss", {&World::lose_all_nodes, false}},
                                                      {"group", {&World::cut_off_group, false}},
                                                      {"stray", {&World::leave_one_router, false}},
                                                      {"amnesia", {&World::lose_accepted_change, false}},
                                                      {"drain", {&World::drain_node, false}},
                                                      {"closing", {&World::stop_after_accept, false}},
                                                      {"refuse", {&World::refuse_requests, false}},
                                                      {"crowd", {&World::crowd_of_requests, false}}};
  std::map<std::string, FaultType>::const_iterator const position = types.find(name);
  return position == types.end() ? nullptr : &position->second;
}

// Injects one fault, chosen from the seed, and schedules the next one.
void World::inject_fault() {
  if (quiet) return;
  std::vector<std::string> const all = plan.only.empty() ? fault_types() : plan.only;
  FaultSite site;
  site.type = all[random.below(all.size())];
  ++end.injected_faults;
  ++end.kinds[site.type];
  add_to_hash("trouble " + site.type);
  if (!log_is_muted()) std::printf("default] %lld TROUBLE %s\n", static_cast<long long>(now / 1000), site.type.c_str());
  site.span = random_delay(millis(500), millis(6000));
  bool const loss_under_way = full_loss_at >= 0 && now - full_loss_at < seconds(12);
  for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines) site.names.push_back(item.first);
  site.machine = pick_any_running();
  std::vector<WorkerProcess*> serving;
  for (std::pair<std::string const, std::unique_ptr<WorkerProcess>>& item : processes)
    if (item.second->process_id != 0 && item.second->state == "serving") serving.push_back(item.second.get());
  site.process = serving.size() < 6 ? nullptr : serving[random.below(serving.size())];
  FaultType const* const fault = fault_type(site.type);
  bool const applies = fault != nullptr && (site.process != nullptr || !fault->needs_worker);
  // No other fault is injected while the return of service after a full loss is measured.
  if (site.machine != nullptr && !loss_under_way && applies) (this->*fault->inject)(site);
  after(random_delay(millis(400), millis(3500)), [this] { inject_fault(); });
}

}  // namespace pipit
