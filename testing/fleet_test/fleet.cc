// The processes of the fleet, their settings, and the platform's list.
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "base/json_writer.h"

#include "testing/fleet_test/fleet_test.h"

namespace pipit {

std::string FleetTest::number(int group, int i) const {
  return "127." + std::to_string(plan.net) + "." + std::to_string(group) + "." + std::to_string(i);
}

void FleetTest::build() {
  std::string seeds;
  for (int i = 1; i <= 3; ++i) seeds += (i > 1 ? "," : "") + number(2, i) + ":7000";
  std::string initial_members;
  for (std::string const& name : cast.replicas) initial_members += (initial_members.empty() ? "" : ",") + name;
  platform = number(4, 1) + ":9100";
  Actor list;
  list.name = "list";
  list.address = number(4, 1);
  list.args = {"fake_backend", "platform", "--http", platform};
  actors["list"] = list;
  int i = 0;
  for (std::string const& name : cast.workers) {
    ++i;
    Actor actor;
    actor.name = name;
    actor.address = number(3, i);
    actor.zone = shape.zones[static_cast<std::size_t>(i - 1) % shape.zones.size()];
    rows[name] = Row{actor.address + ":9000", actor.zone, i % 3 == 0 ? "press" : "main", 1, "serving"};
    actors[name] = actor;
    worker_args(actors[name]);
  }
  i = 0;
  for (std::string const& name : cast.replicas) {
    ++i;
    node(name, number(2, i), shape.zones[static_cast<std::size_t>(i - 1) % shape.zones.size()], seeds,
         {"--data", plan.folder + "/" + name, "--founders", initial_members});
  }
  i = 0;
  for (std::string const& name : cast.routers) {
    ++i;
    node(name, number(1, i), shape.zones[static_cast<std::size_t>(i - 1) % shape.zones.size()], seeds,
         {"--platform", platform});
  }
}

void FleetTest::node(std::string const& name, std::string const& address, std::string const& zone,
                     std::string const& seeds, std::vector<std::string> const& more) {
  Actor actor;
  actor.name = name;
  actor.address = address;
  actor.zone = zone;
  // Settings come from a file, so that a reload has something to read.
  std::string const file = plan.folder + "/" + name + ".conf";
  std::ofstream conf(file);
  conf << "name=" << name << "\ncluster=fleet" << plan.net << "\nzone=" << zone << "\nmesh=" << address
       << ":7000\nhttp=" << address << ":7080\nseeds=" << seeds << "\nlog=" << plan.folder << "/logs/" << name
       << ".log\nfaults=true\ngrace=" << plan.grace << "\n";
  for (std::size_t i = 0; i + 1 < more.size(); i += 2) conf << more[i].substr(2) << "=" << more[i + 1] << "\n";
  actor.args = {name[0] == 'k' ? "pipitspool-config-store" : "pipitspool-router", "--settings", file};
  actors[name] = actor;
}

void FleetTest::worker_args(Actor& actor) {
  Row const& row = rows[actor.name];
  actor.args = {"fake_backend",  "worker",
                "--http",        row.address,
                "--id",          actor.name,
                "--incarnation", std::to_string(row.incarnation),
                "--ledger",      plan.folder + "/books/" + actor.name + ".book",
                "--blocks",      "2000",
                "--slots",       std::to_string(plan.slots)};
}

void FleetTest::start(Actor& actor) {
  if (actor.pid > 0) return;
  if (launched == 0) launched = now();
  for (std::pair<std::string const, std::uint64_t>& item : actor.last) bank(actor, item.first, item.second);
  actor.last.clear();
  actor.serial = 0;
  std::string const exe = plan.bin + "/" + actor.args[0];
  std::vector<char*> argv;
  for (std::string& argument : actor.args) argv.push_back(argument.data());
  argv.push_back(nullptr);
  pid_t const pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::execv(exe.c_str(), argv.data());
    ::_exit(127);
  }
  actor.pid = pid;
  actor.unready = begin > 0;  // until it says otherwise
  actor.frozen = false;
  actor.off_until = now() + seconds(3);
  g_child_watch_add(
      pid,
      [](GPid done, gint status, gpointer self) {
        for (std::pair<std::string const, Actor>& item : static_cast<FleetTest*>(self)->actors)
          if (item.second.pid == done) {
            item.second.pid = 0;
            item.second.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
          }
      },
      this);
}

void FleetTest::end(Actor& actor, int signal) {
  if (actor.pid <= 0) return;
  ::kill(actor.pid, signal);
  if (signal == SIGKILL) until(seconds(5), [&actor] { return actor.pid == 0; });
}

void FleetTest::write_list() {
  JsonWriter json;
  json.begin_object().key("workers").begin_list();
  for (std::pair<std::string const, Row> const& item : rows) {
    if (item.second.state == "gone") continue;
    json.begin_object()
        .key("id")
        .text(item.first)
        .key("address")
        .text(item.second.address)
        .key("zone")
        .text(item.second.zone)
        .key("pool")
        .text(item.second.pool);
    json.key("incarnation")
        .number(item.second.incarnation)
        .key("state")
        .text(item.second.state)
        .key("slots")
        .number(plan.slots)
        .end_object();
  }
  json.end_list().end_object();
  list_text = json.take();
  put_list();
}

void FleetTest::put_list() {
  std::string const want = list_text;
  until(seconds(5), [this, &want] {
    bool good = false;
    return fetch("PUT", platform, "/workers", want, "", &good), good;
  });
}

std::vector<Actor*> FleetTest::live_nodes() {
  std::vector<Actor*> out;
  for (std::pair<std::string const, Actor>& item : actors)
    if (item.second.node() && item.second.pid > 0 && !item.second.frozen) out.push_back(&item.second);
  return out;
}

void FleetTest::rename(Actor& actor, std::string const& old) {
  std::string const from = plan.folder + "/" + old + ".conf";
  std::string const to = plan.folder + "/" + actor.name + ".conf";
  rewrite(from, to, {{"name", actor.name}, {"log", plan.folder + "/logs/" + actor.name + ".log"}});
  actor.args[2] = to;
}

void FleetTest::move(Actor& actor, std::string const& address) {
  actor.address = address;
  rewrite(actor.args[2], actor.args[2], {{"mesh", address + ":7000"}, {"http", address + ":7080"}});
  start(actor);
}

void FleetTest::rewrite(std::string const& from, std::string const& to,
                        std::map<std::string, std::string> const& fresh) {
  std::ifstream in(from);
  std::string out;
  std::string line;
  while (std::getline(in, line)) {
    std::string const key = line.substr(0, line.find('='));
    std::map<std::string, std::string>::const_iterator const position = fresh.find(key);
    out += position == fresh.end() ? line + "\n" : key + "=" + position->second + "\n";
  }
  in.close();
  std::ofstream(to) << out;
}

}  // namespace pipit
