// The steps that break and mend a fleet.
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <sstream>

#include "testing/fleet_test/fleet_test.h"

namespace pipit {

std::vector<std::string> FleetTest::names(std::string const& text) {
  std::vector<std::string> out;
  std::stringstream parts(text);
  std::string name;
  while (std::getline(parts, name, ',')) out.push_back(name);
  return out;
}

std::string FleetTest::others(std::set<std::string> const& but) {
  std::string out;
  for (std::pair<std::string const, Actor> const& item : actors)
    if (item.second.node() && !but.count(item.first)) out += (out.empty() ? "" : ",") + item.first;
  return out;
}

void FleetTest::cut_off(std::string const& name, std::string const& from, bool in, bool out) {
  Actor& actor = actors[name];
  // Both sides drop, so that nothing that was under way gets through.
  if (in) arm(name, 1, from);
  if (out) arm(name, 2, from);
  actor.cut = true;
}

bool FleetTest::process_step(Step const& item) {
  std::string const& verb = item.verb;
  std::string const name = item.args.empty() ? "" : item.args[0];
  if (verb == "kill") {
    end(actors[name], SIGKILL);
  } else if (verb == "stop") {
    end(actors[name], SIGTERM);
  } else if (verb == "start") {
    until(seconds(12), [this, &name] { return actors[name].pid == 0; });
    if (name[0] == 'w') {
      ++rows[name].incarnation;
      worker_args(actors[name]);
      write_list();
    }
    start(actors[name]);
  } else if (verb == "freeze") {
    actors[name].frozen = true;
    ::kill(actors[name].pid, SIGSTOP);
  } else if (verb == "wake") {
    actors[name].off_until = now() + seconds(3);
    actors[name].frozen = false;
    ::kill(actors[name].pid, SIGCONT);
  } else if (verb == "hup") {
    ::kill(actors[name].pid, SIGHUP);
  } else if (verb == "nolist") {
    end(actors["list"], SIGKILL);
  } else if (verb == "list") {
    start(actors["list"]);
    put_list();
  } else {
    return false;
  }
  return true;
}

bool FleetTest::disk_or_fleet_step(Step const& item) {
  std::string const& verb = item.verb;
  std::string const name = item.args.empty() ? "" : item.args[0];
  if (verb == "rollall") {
    roll_all();
  } else if (verb == "blank") {
    Actor& actor = actors[name];
    end(actor, SIGKILL);
    std::filesystem::remove_all(plan.folder + "/" + name);
    move(actor, number(5, ++moved));
  } else if (verb == "exchange") {
    end(actors[name], SIGKILL);
    std::string const next = name + "x";
    Actor& actor = actors[next] = actors[name];
    actor.name = next;
    actor.last.clear();
    actor.first_sends = actor.resends = actor.asked = actor.hit = actor.remote = 0;
    rename(actor, name);
    move(actor, number(5, ++moved));
  } else if (verb == "lossall") {
    for (std::pair<std::string const, Actor>& actor : actors)
      if (actor.second.node() && actor.second.pid > 0) ::kill(actor.second.pid, SIGKILL);
    until(seconds(5), [this] { return live_nodes().empty(); });
  } else if (verb == "backall") {
    lost_back = now();
    for (std::pair<std::string const, Actor>& actor : actors)
      if (actor.second.node()) start(actor.second);
  } else {
    return false;
  }
  return true;
}

bool FleetTest::network_step(Step const& item) {
  std::string const& verb = item.verb;
  std::string const first = item.args.empty() ? "" : item.args[0];
  if (verb == "cut") {
    cut_off(first, others({first}), true, true);
  } else if (verb == "cutout") {
    cut_off(first, others({first}), false, true);
  } else if (verb == "split") {
    std::string const& second = item.args[1];
    for (std::string const& name : names(first)) cut_off(name, second, true, true);
    for (std::string const& name : names(second)) cut_off(name, first, true, true);
  } else if (verb == "heal") {
    for (std::pair<std::string const, Actor>& actor : actors) {
      if (!actor.second.cut) continue;
      actor.second.cut = false;
      actor.second.off_until = now() + seconds(3);
      if (actor.second.pid <= 0) continue;
      for (int const point : {1, 2})
        fetch("DELETE", actor.second.address + ":7080", "/faults?point=" + std::to_string(point), "", "");
    }
  } else {
    return false;
  }
  return true;
}

bool FleetTest::change_step(Step const& item) {
  std::string const& verb = item.verb;
  std::string const what = item.args.empty() ? "" : item.args[0];
  if (verb == "apply") {
    if (!apply(door(), ++turn)) resync();
  } else if (verb == "large") {
    if (!apply(door(), ++turn, static_cast<std::size_t>(std::atoi(what.c_str())) << 10)) resync();
  } else if (verb == "race") {
    race();
  } else if (verb == "storm") {
    for (int i = 0; i < std::atoi(what.c_str()); ++i) apply(door(), ++turn);
  } else if (verb == "empty") {
    Got const got = fetch("POST", actors[door()].address + ":7080", "/v1/zones/" + what + "/empty", "", "");
    std::printf("%6.1f empty %s answered %u %s\n", clock(), what.c_str(), got.status, got.body.c_str());
    if (got.status == 200) drained_zones[what] = {now(), 0};
    if (got.status == 200 || got.status == 202)
      note_change(Got{200, got.body, "", false}, "");
    else
      resync();
  } else if (verb == "refill") {
    if (drained_zones.count(what) && drained_zones[what].second == 0) drained_zones[what].second = now();
    Got const got = fetch("POST", actors[door()].address + ":7080", "/v1/zones/" + what + "/refill", "", "");
    note_change(got, "");
  } else {
    return false;
  }
  return true;
}

bool FleetTest::drill_step(Step const& item) {
  // The exit codes that the zone drill must end with.
  constexpr int passed = 0;
  constexpr int interrupted = 3;
  constexpr int refused = 4;
  std::string const& verb = item.verb;
  if (verb != "drill" && verb != "tooth" && verb != "broken") return false;
  std::string const name = "zone-drill" + std::to_string(++drills);
  Actor& actor = actors[name];
  actor.name = name;
  actor.args = {"pipitspool-zone-drill",
                "--node",
                actors[door()].address + ":7080",
                "--zone",
                item.args[0],
                "--hold",
                "8",
                "--most",
                verb == "tooth" ? "0.001" : "0.8"};
  wanted[name] = verb == "drill" ? passed : verb == "tooth" ? refused : interrupted;
  start(actor);
  if (verb == "broken") {
    until(seconds(2), [begun = now()] { return now() - begun > seconds(1); });
    ::kill(actor.pid, SIGTERM);
  }
  return true;
}

bool FleetTest::worker_step(Step const& item) {
  std::string const& verb = item.verb;
  std::string const name = item.args.empty() ? "" : item.args[0];
  if (verb == "leave" || verb == "gone") {
    rows[name].state = verb == "leave" ? "leaving" : "gone";
    marked[name] = {now(), rows[name].incarnation};
    write_list();
  } else if (verb == "renew") {
    end(actors[name], SIGKILL);
    ++rows[name].incarnation;
    rows[name].state = "serving";
    write_list();
    worker_args(actors[name]);
    start(actors[name]);
  } else {
    return false;
  }
  return true;
}

bool FleetTest::load_or_fault_step(Step const& item) {
  std::string const& verb = item.verb;
  std::string const what = item.args.empty() ? "" : item.args[0];
  constexpr int sync_fails = 10;
  constexpr int sync_is_slow = 11;
  if (verb == "crowd" || verb == "hot")
    crowd(verb == "hot", what);
  else if (verb == "slow")
    arm(what, sync_is_slow, item.args[1]);
  else if (verb == "nodisk")
    arm(what, sync_fails, "", 1);
  else if (verb == "points")
    for (PointPlan const& point : point_plans) one_point(point);
  else
    return false;
  return true;
}

void FleetTest::step(Step const& item) {
  std::printf("%6.1f %s %s\n", clock(), item.verb.c_str(), item.args.empty() ? "" : item.args[0].c_str());
  std::fflush(stdout);
  bool const known = process_step(item) || disk_or_fleet_step(item) || network_step(item) || change_step(item) ||
                     drill_step(item) || worker_step(item) || load_or_fault_step(item);
  if (!known) fault("steps", "nothing carries out '" + item.verb + "'");
  write_doors();
}

}  // namespace pipit
