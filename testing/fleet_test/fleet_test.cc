// Runs an experiment from its start to its end.
#include <signal.h>
#include <sys/wait.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "testing/fleet_test/fleet_test.h"

namespace pipit {

int FleetTest::run() {
  loop = g_main_loop_new(nullptr, FALSE);
  session = soup_session_new_with_options("max-conns", 512, "max-conns-per-host", 16, "timeout", 4, "proxy-resolver",
                                          nullptr, nullptr);
  std::filesystem::create_directories(plan.folder + "/books");
  std::filesystem::create_directories(plan.folder + "/logs");
  for (std::filesystem::directory_entry const& item : std::filesystem::directory_iterator(plan.folder + "/books"))
    std::filesystem::remove(item.path());
  for (std::filesystem::directory_entry const& item : std::filesystem::directory_iterator(plan.folder + "/logs"))
    std::filesystem::remove(item.path());
  for (std::string const& name : cast.replicas) std::filesystem::remove_all(plan.folder + "/" + name);
  build();
  if (plan.lies) return lies();
  for (std::pair<std::string const, Actor>& item : actors) start(item.second);
  write_list();
  if (!until(seconds(25), [this] { return all_ready(); })) return fail_now("the fleet was not ready in time");
  std::printf("ready after %lld ms\n", static_cast<long long>((now() - launched) / 1000));
  if (!apply("p1", 1)) return fail_now("the first description was not taken");
  if (!until(seconds(5), [this] { return all_at(serial_yes); }))
    return fail_now("the first description was not brought to all");
  slowest_force = now() - accepted.begin()->second;
  resolved.insert(accepted.begin()->first);
  // Workers that have just woken are cold; what is measured begins when they are warm.
  until(seconds(8), [this] { return now() - launched > seconds(6); });
  if (plan.probe) probe();
  perform();
  return finish();
}

FleetTest::~FleetTest() {
  for (std::pair<std::string const, Actor>& item : actors)
    if (item.second.pid > 0) {
      ::kill(item.second.pid, SIGKILL);
      ::waitpid(item.second.pid, nullptr, 0);
    }
}

bool FleetTest::until(Micros most, std::function<bool()> const& holds) {
  Micros const end = now() + most;
  while (!holds()) {
    if (now() > end) return false;
    bool heartbeat = false;
    guint const timer = g_timeout_add(
        10,
        [](gpointer data) -> gboolean {
          *static_cast<bool*>(data) = true;
          return G_SOURCE_REMOVE;
        },
        &heartbeat);
    while (!heartbeat) g_main_context_iteration(nullptr, TRUE);
    (void)timer;
  }
  return true;
}

void FleetTest::write_doors() {
  std::ofstream file(plan.folder + "/doors.new");
  for (std::pair<std::string const, Actor> const& item : actors) {
    if (item.first[0] == 'p' && item.second.pid > 0 && !item.second.unready) file << item.second.address << ":7080\n";
  }
  file.close();
  std::filesystem::rename(plan.folder + "/doors.new", plan.folder + "/doors");
}

void FleetTest::perform() {
  write_doors();
  begin = now();
  Actor callers;
  callers.name = "load_generator";
  callers.args = {"load_generator",
                  "--shape",
                  shape.name,
                  "--entries",
                  plan.folder + "/doors",
                  "--books",
                  plan.folder + "/books",
                  "--out",
                  plan.folder + "/load_generator.json",
                  "--rate",
                  std::to_string(plan.rate),
                  "--seconds",
                  std::to_string(plan.seconds),
                  "--hot",
                  std::to_string(plan.hot),
                  "--seed",
                  std::to_string(plan.seed)};
  std::filesystem::remove(plan.folder + "/load_generator.json");
  actors["load_generator"] = callers;
  start(actors["load_generator"]);
  guint const timer = g_timeout_add(
      100,
      [](gpointer self) -> gboolean {
        static_cast<FleetTest*>(self)->watch();
        return G_SOURCE_CONTINUE;
      },
      this);
  for (Step const& item : steps) {
    until(seconds(900), [this, &item] { return now() - begin >= item.at; });
    step(item);
  }
  // Callers cannot end while a node that they asked stands still.
  until(seconds(900), [this] { return now() - begin >= static_cast<Micros>(plan.seconds * 1e6) + seconds(2); });
  for (std::pair<std::string const, Actor>& item : actors)
    if (item.second.frozen) step(Step{0, "wake", {item.first}});
  timed_out = !until(static_cast<Micros>(plan.seconds * 1e6) + seconds(60),
                     [this] { return actors["load_generator"].pid == 0; });
  g_source_remove(timer);
}

int FleetTest::fail_now(std::string const& why) {
  std::printf("FAULT %s\n", why.c_str());
  return 1;
}

}  // namespace pipit
