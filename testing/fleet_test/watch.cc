// Judging while the experiment runs.
#include <algorithm>
#include <cstdio>

#include "testing/fleet_test/fleet_test.h"

namespace pipit {

void FleetTest::fault(char const* point, std::string const& what) {
  ++faults[point];
  std::printf("FAULT %s %s\n", point, what.c_str());
}

void FleetTest::watch() {
  for (Actor* const actor : live_nodes()) {
    if (watching.count(actor->name)) continue;
    watching.insert(actor->name);
    std::string const name = actor->name;
    pid_t const pid = actor->pid;
    ask("GET", actor->address + ":7080", "/metrics", "", "", [this, name, pid](Got const& got) {
      watching.erase(name);
      Actor& item = actors[name];
      if (item.pid != pid || item.frozen || got.status != 200) return;
      take_metrics(item, got.body);
    });
  }
  // Callers go where /ready says yes, as a load balancer would.
  for (Actor* const actor : live_nodes()) {
    if (actor->name[0] != 'p' || asking.count(actor->name)) continue;
    asking.insert(actor->name);
    std::string const name = actor->name;
    ask("GET", actor->address + ":7080", "/ready", "", "", [this, name](Got const& got) {
      asking.erase(name);
      bool const no = got.status == 503;
      if (got.status == 0 || actors[name].unready == no) return;
      actors[name].unready = no;
      write_doors();
    });
  }
  // N7: within two seconds of a yes every node that can be reached has it in force.
  for (std::pair<std::uint64_t const, Micros>& item : accepted) {
    if (resolved.count(item.first)) continue;
    bool all = true;
    for (Actor* const actor : live_nodes()) {
      bool const excused = actor->cut || now() < actor->off_until;
      if (actor->name[0] == 'p' && !excused && actor->serial < item.first) all = false;
    }
    if (all) {
      resolved.insert(item.first);
      slowest_force = std::max(slowest_force, now() - item.second);
    } else if (now() - item.second > millis(2300)) {  // the watch itself looks every 100 ms
      resolved.insert(item.first);
      std::string who;
      for (Actor* const actor : live_nodes())
        if (actor->name[0] == 'p' && actor->serial < item.first) who += " " + actor->name;
      fault("N7", "serial " + std::to_string(item.first) + " is not in force at" + who);
    }
  }
}

}  // namespace pipit
