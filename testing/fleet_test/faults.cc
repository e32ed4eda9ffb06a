// Fault points, rolling restarts and additional load.
#include <cstdio>

#include "testing/fleet_test/fleet_test.h"

namespace pipit {

void FleetTest::arm(std::string const& at, int point, std::string const& arg, int times) {
  until(seconds(5), [this, &at, point, &arg, times] {
    bool good = false;
    fetch("POST", actors[at].address + ":7080",
          "/faults?point=" + std::to_string(point) + "&arg=" + arg + "&times=" + std::to_string(times), "", "", &good);
    return good || actors[at].pid == 0;
  });
}

void FleetTest::crowd(bool hot, std::string const& rate) {
  std::string const name = "crowd" + std::to_string(++crowds);
  Actor& actor = actors[name];
  actor.name = name;
  actor.args = {"load_generator",
                "--shape",
                shape.name,
                "--entries",
                plan.folder + "/doors",
                "--books",
                plan.folder + "/books",
                "--out",
                plan.folder + "/" + name + ".json",
                "--rate",
                rate,
                "--seconds",
                "2",
                "--hot",
                hot ? "0.9" : "0",
                "--seed",
                std::to_string(plan.seed * 1000 + static_cast<std::uint64_t>(crowds))};
  wanted[name] = 0;
  start(actor);
}

void FleetTest::roll_all() {
  kept_timer = g_timeout_add(
      40,
      [](gpointer self) -> gboolean {
        static_cast<FleetTest*>(self)->ask_kept();
        return G_SOURCE_CONTINUE;
      },
      this);
  std::vector<std::string> list;
  for (std::pair<std::string const, Actor> const& item : actors)
    if (item.second.node()) list.push_back(item.first);
  for (std::string const& name : list) {
    Actor& actor = actors[name];
    end(actor, SIGTERM);
    if (!until(seconds(20), [&actor] { return actor.pid == 0; })) fault("N12", name + " does not end");
    if (actor.code != 0) fault("N12", name + " ended with " + std::to_string(actor.code));
    start(actor);
    bool const back = until(seconds(12), [this, &actor] {
      bool good = false;
      return fetch("GET", actor.address + ":7080", "/ready", "", "", &good), good;
    });
    if (!back) fault("N12", name + " is not ready again");
  }
  g_source_remove(kept_timer);
  if (kept_done < 100) fault("N12", "callers on kept-alive wires saw no traffic");
  std::printf("%6.1f every node was restarted; %d answers on kept-alive wires\n", clock(), kept_done);
}

void FleetTest::one_point(PointPlan const& item) {
  std::vector<std::string> at;
  for (std::pair<std::string const, Actor> const& actor : actors)
    if (actor.first == item.at || (std::string(item.at) == "p" && actor.first[0] == 'p' && actor.first != "p4"))
      at.push_back(actor.first);
  for (std::string const& name : at) {
    bool const all = std::string(item.arg) == "others";
    if (all) actors[name].cut = true;
    arm(name, static_cast<int>(item.number), all ? others({name}) : item.arg, item.times);
  }
  std::string const trigger = item.trigger;
  if (trigger == "apply") {
    resync();
    if (!apply(door(), ++turn)) resync();
  }
  if (trigger == "empty") {
    step(Step{0, "empty", {shape.zones[1]}});
    step(Step{0, "refill", {shape.zones[1]}});
  }
  if (trigger == "renew") step(Step{0, "renew", {"w3"}});
  if (trigger == "restart") {
    end(actors["p4"], SIGKILL);
    start(actors["p4"]);
  }
  bool fired = false;
  if (item.code >= 0) {
    Actor& actor = actors[item.at];
    fired = until(seconds(8), [&actor] { return actor.pid == 0; }) && actor.code == item.code;
    if (!fired) std::printf("%s ended with %d for %d\n", item.at, actor.code, item.code);
    start(actor);
    until(seconds(10), [this, &actor] {
      bool good = false;
      return fetch("GET", actor.address + ":7080", "/ready", "", "", &good), good;
    });
  } else {
    fired = until(seconds(8), [this, &item, &at] {
      for (std::string const& name : at) {
        Got const got =
            fetch("GET", actors[name].address + ":7080", "/faults?point=" + std::to_string(item.number), "", "");
        if (got.status == 200 && got.body.find("\"fired\":0}") == std::string::npos) return true;
      }
      return false;
    });
    Micros const from = now();
    until(seconds(2), [from, this] { return now() - from > millis(500); });
    for (std::string const& name : at) {
      fetch("DELETE", actors[name].address + ":7080", "/faults?point=" + std::to_string(item.number), "", "");
      if (actors[name].cut) actors[name].off_until = now() + seconds(3);
      actors[name].cut = false;
    }
  }
  ++fired_points;
  std::printf("%6.1f point %u at %s %s\n", clock(), item.number, item.at, fired ? "fired" : "did NOT fire");
  if (!fired) fault("points", "point " + std::to_string(item.number) + " did not fire");
}

void FleetTest::ask_kept() {
  std::vector<std::string> doors;
  for (std::pair<std::string const, Actor> const& item : actors)
    if (item.first[0] == 'p' && item.second.pid > 0 && !item.second.unready) doors.push_back(item.second.address);
  if (doors.empty()) return;
  std::string const door = doors[static_cast<std::size_t>(++kept) % doors.size()] + ":7080";
  std::string const body = "{\"model\":\"tribute\",\"user\":\"" + shape.kinds[1].lane + "-kept-" +
                           std::to_string(kept) +
                           "\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"kept\"}]}";
  ask(
      "POST", door, "/v1/chat/completions", body, "",
      [this, door](Got const& got) {
        if (got.status == 200)
          ++kept_done;
        else
          fault("N12",
                "a caller on a kept-alive wire to " + door + " got " + std::to_string(got.status) + " " + got.body);
      },
      true);
}

}  // namespace pipit
