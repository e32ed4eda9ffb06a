// scene: runs a whole fleet on one machine, breaks it by a schedule, and judges what is seen (§10.3).
// It alone starts processes, and it ends only those it started.
#include <libsoup/soup.h>
#include <signal.h>
#include <simdjson.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>

#include "ground/jot.h"
#include "proof/common/books.h"
#include "proof/scene/points.h"
#include "proof/scene/steps.h"

namespace pipit {
namespace {

namespace options = boost::program_options;

Micros now() { return g_get_monotonic_time(); }

struct Plan {
  std::string shape = "coop";
  std::string schedule = "calm";
  std::string steps;
  std::string folder;
  std::string bin;
  int net = 20;
  double seconds = 0;
  double rate = 90;
  double hot = 0;
  int slots = 60;
  int grace = 2;
  bool probe = false;
  bool lies = false;
  std::uint64_t seed = 1;
};

struct Actor {
  std::string name;
  std::string address;  // its number
  std::string zone;
  std::vector<std::string> args;
  pid_t pid = 0;
  bool frozen = false;
  bool cut = false;
  bool unready = false;  // its /ready said no
  int code = -1;         // as it ended
  Micros off_until = 0;  // bounds on changes do not hold before it was heard again
  std::uint64_t serial = 0;
  std::uint64_t first_sends = 0, resends = 0, asked = 0, hit = 0, far = 0;  // of lives that ended
  std::map<std::string, std::uint64_t> last;                                // the last metrics seen of this life
  bool node() const { return name[0] == 'k' || name[0] == 'p'; }
};

class Scene {
 public:
  Scene(Plan plan_, Shape const& shape_, std::vector<Step> steps_)
      : plan(std::move(plan_)), shape(shape_), steps(std::move(steps_)), cast(cast_of(shape)) {}

  int run() {
    loop = g_main_loop_new(nullptr, FALSE);
    session = soup_session_new_with_options("max-conns", 512, "max-conns-per-host", 16, "timeout", 4, "proxy-resolver",
                                            nullptr, nullptr);
    std::filesystem::create_directories(plan.folder + "/books");
    std::filesystem::create_directories(plan.folder + "/logs");
    for (std::filesystem::directory_entry const& item : std::filesystem::directory_iterator(plan.folder + "/books"))
      std::filesystem::remove(item.path());
    for (std::filesystem::directory_entry const& item : std::filesystem::directory_iterator(plan.folder + "/logs"))
      std::filesystem::remove(item.path());
    for (std::string const& name : cast.keepers) std::filesystem::remove_all(plan.folder + "/" + name);
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
    settled.insert(accepted.begin()->first);
    // Workers that have just woken are cold; what is measured begins when they are warm.
    until(seconds(8), [this] { return now() - launched > seconds(6); });
    if (plan.probe) probe();
    perform();
    return finish();
  }

  ~Scene() {
    for (std::pair<std::string const, Actor>& item : actors)
      if (item.second.pid > 0) {
        ::kill(item.second.pid, SIGKILL);
        ::waitpid(item.second.pid, nullptr, 0);
      }
  }

 private:
  // --- the fleet

  std::string number(int group, int i) const {
    return "127." + std::to_string(plan.net) + "." + std::to_string(group) + "." + std::to_string(i);
  }

  void build() {
    std::string seeds;
    for (int i = 1; i <= 3; ++i) seeds += (i > 1 ? "," : "") + number(2, i) + ":7000";
    std::string founders;
    for (std::string const& name : cast.keepers) founders += (founders.empty() ? "" : ",") + name;
    platform = number(4, 1) + ":9100";
    Actor list;
    list.name = "list";
    list.address = number(4, 1);
    list.args = {"mimic", "platform", "--http", platform};
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
    for (std::string const& name : cast.keepers) {
      ++i;
      node(name, number(2, i), shape.zones[static_cast<std::size_t>(i - 1) % shape.zones.size()], seeds,
           {"--data", plan.folder + "/" + name, "--founders", founders});
    }
    i = 0;
    for (std::string const& name : cast.passages) {
      ++i;
      node(name, number(1, i), shape.zones[static_cast<std::size_t>(i - 1) % shape.zones.size()], seeds,
           {"--platform", platform});
    }
  }

  void node(std::string const& name, std::string const& address, std::string const& zone, std::string const& seeds,
            std::vector<std::string> const& more) {
    Actor actor;
    actor.name = name;
    actor.address = address;
    actor.zone = zone;
    // Settings come from a file, so that a reload has something to read.
    std::string const file = plan.folder + "/" + name + ".conf";
    std::ofstream conf(file);
    conf << "name=" << name << "\ncluster=scene" << plan.net << "\nzone=" << zone << "\nmesh=" << address
         << ":7000\nhttp=" << address << ":7080\nseeds=" << seeds << "\nlog=" << plan.folder << "/logs/" << name
         << ".log\nfaults=true\ngrace=" << plan.grace << "\n";
    for (std::size_t i = 0; i + 1 < more.size(); i += 2) conf << more[i].substr(2) << "=" << more[i + 1] << "\n";
    actor.args = {name[0] == 'k' ? "accord" : "passage", "--settings", file};
    actors[name] = actor;
  }

  void worker_args(Actor& actor) {
    Row const& row = rows[actor.name];
    actor.args = {"mimic",         "worker",
                  "--http",        row.address,
                  "--id",          actor.name,
                  "--incarnation", std::to_string(row.incarnation),
                  "--ledger",      plan.folder + "/books/" + actor.name + ".book",
                  "--blocks",      "2000",
                  "--slots",       std::to_string(plan.slots)};
  }

  void start(Actor& actor) {
    if (actor.pid > 0) return;
    if (launched == 0) launched = now();
    for (std::pair<std::string const, std::uint64_t>& item : actor.last) bank(actor, item.first, item.second);
    actor.last.clear();
    actor.serial = 0;
    std::string const exe = plan.bin + "/" + actor.args[0];
    std::vector<char*> argv;
    for (std::string& word : actor.args) argv.push_back(word.data());
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
          for (std::pair<std::string const, Actor>& item : static_cast<Scene*>(self)->actors)
            if (item.second.pid == done) {
              item.second.pid = 0;
              item.second.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            }
        },
        this);
  }

  void end(Actor& actor, int signal) {
    if (actor.pid <= 0) return;
    ::kill(actor.pid, signal);
    if (signal == SIGKILL) until(seconds(5), [&actor] { return actor.pid == 0; });
  }

  void write_list() {
    Jot jot;
    jot.open().key("workers").list();
    for (std::pair<std::string const, Row> const& item : rows) {
      if (item.second.state == "gone") continue;
      jot.open()
          .key("id")
          .text(item.first)
          .key("address")
          .text(item.second.address)
          .key("zone")
          .text(item.second.zone)
          .key("pool")
          .text(item.second.pool);
      jot.key("incarnation")
          .number(item.second.incarnation)
          .key("state")
          .text(item.second.state)
          .key("slots")
          .number(plan.slots)
          .shut();
    }
    jot.unlist().shut();
    list_text = jot.take();
    put_list();
  }

  void put_list() {
    std::string const want = list_text;
    until(seconds(5), [this, &want] {
      bool good = false;
      return fetch("PUT", platform, "/workers", want, "", &good), good;
    });
  }

  // --- talk

  struct Got {
    unsigned status = 0;
    std::string body;
    std::string serial;
    bool ready = false;
  };

  // Asks and runs the loop until the answer has come; bounded by the session's timeout.
  Got fetch(char const* method, std::string const& address, std::string const& path, std::string const& body,
            std::string const& match, bool* good = nullptr) {
    Got out;
    bool over = false;
    ask(method, address, path, body, match, [&out, &over](Got const& got) {
      out = got;
      over = true;
    });
    while (!over) g_main_context_iteration(nullptr, TRUE);
    if (good != nullptr) *good = out.status == 200;
    return out;
  }

  struct Asked {
    SoupMessage* message;
    std::function<void(Got const&)> done;
  };
  void ask(char const* method, std::string const& address, std::string const& path, std::string const& body,
           std::string const& match, std::function<void(Got const&)> done, bool keep = false) {
    SoupMessage* const message = soup_message_new(method, ("http://" + address + path).c_str());
    if (!keep) soup_message_set_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
    if (!match.empty())
      soup_message_headers_replace(soup_message_get_request_headers(message), "If-Match", match.c_str());
    if (std::string(method) != "GET") {
      GBytes* const bytes = g_bytes_new(body.data(), body.size());
      soup_message_set_request_body_from_bytes(message, "application/json", bytes);
      g_bytes_unref(bytes);
    }
    soup_session_send_and_read_async(
        session, message, G_PRIORITY_DEFAULT, nullptr,
        [](GObject* source, GAsyncResult* result, gpointer data) {
          std::unique_ptr<Asked> const item(static_cast<Asked*>(data));
          GBytes* const bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr);
          Got got;
          if (bytes != nullptr) {
            gsize size = 0;
            char const* const raw = static_cast<char const*>(g_bytes_get_data(bytes, &size));
            if (raw != nullptr) got.body.assign(raw, size);
            g_bytes_unref(bytes);
            got.status = soup_message_get_status(item->message);
            char const* const serial =
                soup_message_headers_get_one(soup_message_get_response_headers(item->message), "X-Pipit-Serial");
            if (serial != nullptr) got.serial = serial;
          }
          g_object_unref(item->message);
          item->done(got);
        },
        new Asked{message, std::move(done)});
  }

  bool until(Micros most, std::function<bool()> const& holds) {
    Micros const end = now() + most;
    while (!holds()) {
      if (now() > end) return false;
      bool beat = false;
      guint const timer = g_timeout_add(
          10,
          [](gpointer data) -> gboolean {
            *static_cast<bool*>(data) = true;
            return G_SOURCE_REMOVE;
          },
          &beat);
      while (!beat) g_main_context_iteration(nullptr, TRUE);
      (void)timer;
    }
    return true;
  }

  std::vector<Actor*> live_nodes() {
    std::vector<Actor*> out;
    for (std::pair<std::string const, Actor>& item : actors)
      if (item.second.node() && item.second.pid > 0 && !item.second.frozen) out.push_back(&item.second);
    return out;
  }

  bool all_ready() {
    for (Actor* const actor : live_nodes()) {
      bool good = false;
      fetch("GET", actor->address + ":7080", "/ready", "", "", &good);
      if (!good) return false;
      if (actor->name[0] == 'p' && !workers_known(*actor)) return false;
    }
    return true;
  }

  bool workers_known(Actor const& actor) {
    Got const got = fetch("GET", actor.address + ":7080", "/v1/status", "", "");
    std::size_t n = 0;
    for (std::size_t at = got.body.find("\"dark\":false"); at != std::string::npos;
         at = got.body.find("\"dark\":false", at + 1))
      ++n;
    return n >= static_cast<std::size_t>(shape.workers);
  }

  bool all_at(std::uint64_t serial) {
    for (Actor* const actor : live_nodes())
      if (actor->name[0] == 'p' && !actor->cut && serial_of(*actor) < serial) return false;
    return true;
  }

  std::uint64_t serial_of(Actor& actor) {
    Got const got = fetch("GET", actor.address + ":7080", "/metrics", "", "");
    take_metrics(actor, got.body);
    return actor.serial;
  }

  static void bank(Actor& actor, std::string const& name, std::uint64_t value) {
    if (name == "pipit_first_sends_total") actor.first_sends += value;
    if (name == "pipit_resends_total") actor.resends += value;
    if (name == "pipit_blocks_asked_total") actor.asked += value;
    if (name == "pipit_blocks_hit_total") actor.hit += value;
    if (name == "pipit_far_sends_total") actor.far += value;
  }

  void take_metrics(Actor& actor, std::string const& text) {
    std::stringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
      std::size_t const gap = line.rfind(' ');
      if (line.empty() || line[0] == '#' || gap == std::string::npos) continue;
      actor.last[line.substr(0, gap)] = std::strtoull(line.c_str() + gap + 1, nullptr, 10);
    }
    std::map<std::string, std::uint64_t>::const_iterator const serial = actor.last.find("pipit_serial");
    if (serial == actor.last.end()) return;
    // N7: a node never slips back to an older description while it lives.
    if (serial->second < actor.serial)
      fault("N7",
            actor.name + " went from serial " + std::to_string(actor.serial) + " to " + std::to_string(serial->second));
    actor.serial = serial->second;
  }

  // --- judging while it runs

  void fault(char const* point, std::string const& what) {
    ++faults[point];
    std::printf("FAULT %s %s\n", point, what.c_str());
  }

  void watch() {
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
      if (settled.count(item.first)) continue;
      bool all = true;
      for (Actor* const actor : live_nodes()) {
        bool const excused = actor->cut || now() < actor->off_until;
        if (actor->name[0] == 'p' && !excused && actor->serial < item.first) all = false;
      }
      if (all) {
        settled.insert(item.first);
        slowest_force = std::max(slowest_force, now() - item.second);
      } else if (now() - item.second > millis(2300)) {  // the watch itself looks every 100 ms
        settled.insert(item.first);
        std::string who;
        for (Actor* const actor : live_nodes())
          if (actor->name[0] == 'p' && actor->serial < item.first) who += " " + actor->name;
        fault("N7", "serial " + std::to_string(item.first) + " is not in force at" + who);
      }
    }
  }

  // --- steps

  std::string door() {
    for (Actor* const actor : live_nodes())
      if (!actor->cut && actor->name[0] == 'p') return actor->name;
    return "p1";
  }

  bool apply(std::string const& at, int turn, std::size_t size = 0) {
    std::string const text = description_of(shape, turn, size);
    Got const got = fetch("PUT", actors[at].address + ":7080", "/v1/description", text, std::to_string(expected));
    return note_change(got, text);
  }

  bool note_change(Got const& got, std::string const& text) {
    if (got.status != 200) {
      std::printf("%6.1f change answered %u %s\n", clock(), got.status, got.body.c_str());
      if (got.status == 504 || got.status == 0) unknown.push_back(text);
      return false;
    }
    serial_yes = std::strtoull(got.body.c_str() + got.body.find("\"serial\":") + 9, nullptr, 10);
    expected = serial_yes;
    accepted[serial_yes] = now();
    if (!text.empty()) {
      text_yes = text;
      unknown.clear();
    }
    std::printf("%6.1f serial %llu is accepted\n", clock(), static_cast<unsigned long long>(serial_yes));
    return true;
  }

  void resync() {
    Got const got = fetch("GET", actors[door()].address + ":7080", "/v1/description", "", "");
    if (got.status == 200) expected = std::strtoull(got.serial.c_str(), nullptr, 10);
  }

  double clock() const { return static_cast<double>(now() - begin) / 1e6; }

  // Asked again until the node says that it is armed: on a busy machine an answer may be lost.
  void arm(std::string const& at, int point, std::string const& arg, int times = 0) {
    until(seconds(5), [this, &at, point, &arg, times] {
      bool good = false;
      fetch("POST", actors[at].address + ":7080",
            "/faults?point=" + std::to_string(point) + "&arg=" + arg + "&times=" + std::to_string(times), "", "",
            &good);
      return good || actors[at].pid == 0;
    });
  }

  static std::vector<std::string> names(std::string const& text) {
    std::vector<std::string> out;
    std::stringstream parts(text);
    std::string name;
    while (std::getline(parts, name, ',')) out.push_back(name);
    return out;
  }

  std::string others(std::set<std::string> const& but) {
    std::string out;
    for (std::pair<std::string const, Actor> const& item : actors)
      if (item.second.node() && !but.count(item.first)) out += (out.empty() ? "" : ",") + item.first;
    return out;
  }

  void cut_off(std::string const& name, std::string const& from, bool in, bool out) {
    Actor& actor = actors[name];
    // Both sides drop, so that nothing that was under way gets through.
    if (in) arm(name, 1, from);
    if (out) arm(name, 2, from);
    actor.cut = true;
  }

  void step(Step const& item) {
    std::string const& verb = item.verb;
    std::string const a = item.args.empty() ? "" : item.args[0];
    std::printf("%6.1f %s %s\n", clock(), verb.c_str(), a.c_str());
    std::fflush(stdout);
    if (verb == "kill") end(actors[a], SIGKILL);
    if (verb == "stop") {
      end(actors[a], SIGTERM);
    }
    if (verb == "start") {
      until(seconds(12), [this, &a] { return actors[a].pid == 0; });
      if (a[0] == 'w') ++rows[a].incarnation, worker_args(actors[a]), write_list();
      start(actors[a]);
    }
    if (verb == "rollall") roll_all();
    if (verb == "crowd" || verb == "hot") crowd(verb == "hot", a);
    if (verb == "points")
      for (PointPlan const& item : point_plans) one_point(item);
    if (verb == "large") {
      if (!apply(door(), ++turn, static_cast<std::size_t>(std::atoi(a.c_str())) << 10)) resync();
    }
    if (verb == "freeze") {
      actors[a].frozen = true;
      ::kill(actors[a].pid, SIGSTOP);
    }
    if (verb == "wake") {
      actors[a].off_until = now() + seconds(3);
      actors[a].frozen = false;
      ::kill(actors[a].pid, SIGCONT);
    }
    if (verb == "cut") cut_off(a, others({a}), true, true);
    if (verb == "cutout") cut_off(a, others({a}), false, true);
    if (verb == "split") {
      for (std::string const& name : names(a)) cut_off(name, item.args[1], true, true);
      for (std::string const& name : names(item.args[1])) cut_off(name, a, true, true);
    }
    if (verb == "heal")
      for (std::pair<std::string const, Actor>& actor : actors) {
        if (!actor.second.cut) continue;
        actor.second.cut = false;
        actor.second.off_until = now() + seconds(3);
        if (actor.second.pid > 0)
          for (int const point : {1, 2})
            fetch("DELETE", actor.second.address + ":7080", "/faults?point=" + std::to_string(point), "", "");
      }
    if (verb == "blank") {
      Actor& actor = actors[a];
      end(actor, SIGKILL);
      std::filesystem::remove_all(plan.folder + "/" + a);
      move(actor, number(5, ++moved));
    }
    if (verb == "exchange") {
      end(actors[a], SIGKILL);
      std::string const name = a + "x";
      actors[name] = actors[a];
      actors[name].name = name;
      actors[name].last.clear();
      actors[name].first_sends = actors[name].resends = actors[name].asked = actors[name].hit = actors[name].far = 0;
      rename(actors[name], a);
      move(actors[name], number(5, ++moved));
    }
    if (verb == "empty") {
      Got const got = fetch("POST", actors[door()].address + ":7080", "/v1/zones/" + a + "/empty", "", "");
      std::printf("%6.1f empty %s answered %u %s\n", clock(), a.c_str(), got.status, got.body.c_str());
      if (got.status == 200) emptied[a] = {now(), 0};
      if (got.status == 200 || got.status == 202)
        note_change(Got{200, got.body, "", false}, "");
      else
        resync();
    }
    if (verb == "refill") {
      if (emptied.count(a) && emptied[a].second == 0) emptied[a].second = now();
      Got const got = fetch("POST", actors[door()].address + ":7080", "/v1/zones/" + a + "/refill", "", "");
      note_change(got, "");
    }
    if (verb == "apply") {
      if (!apply(door(), ++turn)) resync();
    }
    if (verb == "drill" || verb == "tooth" || verb == "broken") {
      std::string const name = "ordeal" + std::to_string(++drills);
      actors[name].name = name;
      actors[name].args = {"ordeal", "--node", actors[door()].address + ":7080", "--zone", a, "--hold",
                           "8",      "--most", verb == "tooth" ? "0.001" : "0.8"};
      wanted[name] = verb == "drill" ? 0 : verb == "tooth" ? 4 : 3;
      start(actors[name]);
      if (verb == "broken") {
        until(seconds(2), [this, begun = now()] { return now() - begun > seconds(1); });
        ::kill(actors[name].pid, SIGTERM);
      }
    }
    if (verb == "race") race();
    if (verb == "storm")
      for (int i = 0; i < std::atoi(a.c_str()); ++i) apply(door(), ++turn);
    if (verb == "leave" || verb == "gone") {
      rows[a].state = verb == "leave" ? "leaving" : "gone";
      marked[a] = {now(), rows[a].incarnation};
      write_list();
    }
    if (verb == "renew") {
      end(actors[a], SIGKILL);
      ++rows[a].incarnation;
      rows[a].state = "serving";
      write_list();
      worker_args(actors[a]);
      start(actors[a]);
    }
    if (verb == "slow") arm(a, 11, item.args[1]);
    if (verb == "nodisk") arm(a, 10, "", 1);
    if (verb == "hup") ::kill(actors[a].pid, SIGHUP);
    if (verb == "lossall") {
      for (std::pair<std::string const, Actor>& actor : actors)
        if (actor.second.node() && actor.second.pid > 0) ::kill(actor.second.pid, SIGKILL);
      until(seconds(5), [this] { return live_nodes().empty(); });
    }
    if (verb == "backall") {
      lost_back = now();
      for (std::pair<std::string const, Actor>& actor : actors)
        if (actor.second.node()) start(actor.second);
    }
    if (verb == "nolist") end(actors["list"], SIGKILL);
    if (verb == "list") {
      start(actors["list"]);
      put_list();
    }
    write_doors();
  }

  void rename(Actor& actor, std::string const& old) {
    std::string const from = plan.folder + "/" + old + ".conf";
    std::string const to = plan.folder + "/" + actor.name + ".conf";
    rewrite(from, to, {{"name", actor.name}, {"log", plan.folder + "/logs/" + actor.name + ".log"}});
    actor.args[2] = to;
  }

  void move(Actor& actor, std::string const& address) {
    actor.address = address;
    rewrite(actor.args[2], actor.args[2], {{"mesh", address + ":7000"}, {"http", address + ":7080"}});
    start(actor);
  }

  static void rewrite(std::string const& from, std::string const& to, std::map<std::string, std::string> const& fresh) {
    std::ifstream in(from);
    std::string out;
    std::string line;
    while (std::getline(in, line)) {
      std::string const key = line.substr(0, line.find('='));
      std::map<std::string, std::string>::const_iterator const spot = fresh.find(key);
      out += spot == fresh.end() ? line + "\n" : key + "=" + spot->second + "\n";
    }
    in.close();
    std::ofstream(to) << out;
  }

  // More callers for two seconds, who judge their own answers; with 'hot' nine of ten ask for one opening.
  void crowd(bool hot, std::string const& rate) {
    std::string const name = "crowd" + std::to_string(++crowds);
    Actor& actor = actors[name];
    actor.name = name;
    actor.args = {"chorus",
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

  // Every node in turn is stopped as planned and started again, with callers on kept-alive wires besides.
  void roll_all() {
    kept_timer = g_timeout_add(
        40,
        [](gpointer self) -> gboolean {
          static_cast<Scene*>(self)->ask_kept();
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

  // One fault point: armed, made to fire, seen to have fired, and over; the judges watch all the while.
  void one_point(PointPlan const& item) {
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

  void ask_kept() {
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

  void race() {
    resync();
    std::vector<Actor*> field;
    for (Actor* const actor : live_nodes())
      if (!actor->cut) field.push_back(actor);
    if (field.size() < 2) return;
    std::string const texts[2] = {description_of(shape, ++turn), description_of(shape, ++turn)};
    Got got[2];
    int over = 0;
    std::string const match = std::to_string(expected);
    for (int i = 0; i < 2; ++i)
      ask("PUT", field[i == 0 ? 0 : field.size() - 1]->address + ":7080", "/v1/description", texts[i], match,
          [&got, &over, i](Got const& item) {
            got[i] = item;
            ++over;
          });
    while (over < 2) g_main_context_iteration(nullptr, TRUE);
    std::printf("%6.1f rivals were answered %u and %u\n", clock(), got[0].status, got[1].status);
    if (got[0].status == 200 && got[1].status == 200) fault("N8", "both of two rivals were told yes");
    ++races;
    for (int i = 0; i < 2; ++i)
      if (got[i].status == 200) note_change(got[i], texts[i]);
    if (got[0].status != 200 && got[1].status != 200) resync();
  }

  // The lies that callers must see for themselves, told to them straight by a worker: the judge names each, or it
  // proves nothing. An honest worker goes first.
  int lies() {
    struct Lie {
      char const* kind;
      char const* point;  // in the callers' report; empty for none
    };
    Lie const list[] = {{"", ""},        {"skip", "N3"},     {"repeat", "N3"}, {"order", "N3"},
                        {"join", "N3"},  {"early", "N3"},    {"noend", "N3"},  {"twice", "N3"},
                        {"after", "N3"}, {"othertag", "N4"}, {"ghost", "N4"},  {"err200", "N4"}};
    Actor& worker = actors["w1"];
    start(worker);
    std::string const address = rows["w1"].address;
    std::ofstream(plan.folder + "/doors") << address << "\n";
    int missed = 0;
    for (Lie const& lie : list) {
      until(seconds(10), [this, &address, &lie] {
        bool good = false;
        return fetch("GET", address, std::string("/odd?times=1000000&kind=") + lie.kind, "", "", &good), good;
      });
      Actor callers;
      callers.name = "chorus";
      callers.args = {"chorus",
                      "--shape",
                      shape.name,
                      "--entries",
                      plan.folder + "/doors",
                      "--books",
                      plan.folder + "/books",
                      "--out",
                      plan.folder + "/chorus.json",
                      "--rate",
                      "20",
                      "--seconds",
                      "1.5",
                      "--seed",
                      std::to_string(++turn)};
      std::filesystem::remove(plan.folder + "/chorus.json");
      actors["chorus"] = callers;
      start(actors["chorus"]);
      until(seconds(60), [this] { return actors["chorus"].pid == 0; });
      std::ifstream report(plan.folder + "/chorus.json");
      std::string text;
      std::getline(report, text);
      std::size_t const at = text.find("\"faults\":");
      std::string const found = at == std::string::npos ? "no report" : text.substr(at);
      std::string const want = *lie.point == '\0' ? "{}" : std::string("\"") + lie.point + "\"";
      bool const good = found.find(want) != std::string::npos;
      std::printf("%s %s: %s\n", good ? "seen" : "MISSED", *lie.kind == '\0' ? "an honest worker" : lie.kind,
                  found.c_str());
      if (!good) ++missed;
    }
    std::printf("%s\n", missed == 0 ? "PASS" : "FAIL");
    return missed == 0 ? 0 : 1;
  }

  // Bad input of every kind, and workers that answer oddly: each has its honest answer, and no bad input reaches a
  // worker.
  void probe() {
    std::string const http = actors["p2"].address + ":7080";
    std::string const tag = "probe-bad";
    auto const expect = [this](std::string const& what, Got const& got, unsigned status, std::string const& words) {
      ++probes;
      if (got.status != status || got.body.find(words) == std::string::npos)
        fault("probe", what + " was answered " + std::to_string(got.status) + " " + got.body.substr(0, 200));
    };
    std::string const path = "/v1/chat/completions";
    std::string const turns = "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]";
    expect("broken JSON", fetch("POST", http, path, "{\"model\":", ""), 400, "bad_json");
    expect("no object", fetch("POST", http, path, "[]", ""), 400, "bad_request");
    expect("no model", fetch("POST", http, path, "{" + turns + "}", ""), 400, "$.model");
    expect("no messages", fetch("POST", http, path, "{\"model\":\"tribute\"}", ""), 400, "$.messages");
    expect("odd stream", fetch("POST", http, path, "{\"model\":\"tribute\",\"stream\":3," + turns + "}", ""), 400,
           "$.stream");
    expect("unknown model",
           fetch("POST", http, path, "{\"model\":\"none\",\"user\":\"" + tag + "\"," + turns + "}", ""), 404,
           "unknown_model");
    expect("no lane", fetch("POST", http, path, "{\"model\":\"tribute\",\"user\":\"" + tag + "\"," + turns + "}", ""),
           404, "unknown_lane");
    expect("too large", fetch("POST", http, path, std::string(5u << 20, 'x'), ""), 413, "too_large");
    expect("a read", fetch("GET", http, path, "", ""), 405, "bad_method");
    expect("a keeper", fetch("POST", actors["k1"].address + ":7080", path, "{}", ""), 404, "not_found");
    expect("no path", fetch("GET", http, "/nowhere", "", ""), 404, "not_found");
    std::string const text = description_of(shape, 1);
    expect("no serial", fetch("PUT", http, "/v1/description", text, ""), 400, "If-Match");
    expect("an old serial", fetch("PUT", http, "/v1/description", text, "0"), 409, "the present serial is 1");
    expect("broken text", fetch("PUT", http, "/v1/description", "{\"format\":1,\n\"pools\":[}", "1"), 400,
           "line 2, column 10");
    expect("a dangling name",
           fetch("PUT", http, "/v1/description",
                 "{\"format\":1,\"pools\":[],\"lanes\":[{\"name\":\"l\",\"binding\":\"match always; pool q\"}]}", "1"),
           400, "$.lanes[0].binding");
    expect("a large text", fetch("PUT", http, "/v1/description", std::string((2u << 20) + 100, ' '), "1"), 413,
           "too_large");
    expect("an unknown zone", fetch("POST", http, "/v1/zones/moon/empty", "", ""), 404, "unknown_zone");
    expect("an unknown change", fetch("GET", http, "/v1/changes/none", "", ""), 404, "unknown_change");
    struct Odd {
      char const* kind;
      bool stream;
      unsigned status;
      char const* words;
    };
    Odd const odds[] = {{"type", false, 502, "worker_wrong"},      {"type", true, 502, "worker_wrong"},
                        {"torn", false, 502, "\"ran\":\"yes\""},   {"torn", true, 200, "answer_torn"},
                        {"noend", true, 200, "answer_torn"},       {"otherid", false, 502, "worker_wrong"},
                        {"otherid", true, 502, "worker_wrong"},    {"redirect", false, 502, "worker_wrong"},
                        {"subid", false, 502, "worker_wrong"},     {"subid", true, 502, "worker_wrong"},
                        {"joinid", true, 200, "answer_torn"},      {"err200", false, 502, "worker_wrong"},
                        {"err200", true, 502, "worker_wrong"},     {"twice", true, 200, "answer_torn"},
                        {"after", true, 200, "answer_torn"},       {"429", false, 503, "\"ran\":\"no\""},
                        {"503after", true, 503, "\"ran\":\"no\""}, {"503", false, 502, "\"ran\":\"unknown\""},
                        {"500", true, 502, "\"ran\":\"unknown\""}};
    for (Odd const& odd : odds) {
      for (std::pair<std::string const, Row> const& row : rows)
        fetch("GET", row.second.address, std::string("/odd?times=1&kind=") + odd.kind, "", "");
      std::string const lane = shape.kinds[odd.stream ? 0 : 1].lane;
      Got const got = fetch("POST", http, path,
                            "{\"model\":\"tribute\",\"user\":\"" + lane + "-odd\",\"max_tokens\":4,\"stream\":" +
                                (odd.stream ? "true" : "false") + "," + turns + "}",
                            "");
      // A broken stream begins with 200 and ends in an error event; that its body was cut is the callers' to judge.
      expect(std::string("odd ") + odd.kind, got, odd.status, odd.words);
    }
    for (std::pair<std::string const, Row> const& row : rows)
      fetch("GET", row.second.address, "/odd?times=0&kind=", "", "");
    for (BookLine const& line : read_books(plan.folder + "/books"))
      if (line.tag.rfind(tag, 0) == 0) fault("probe", "bad input reached " + line.worker);
    std::printf("%d probes were answered\n", probes);
  }

  void write_doors() {
    std::ofstream file(plan.folder + "/doors.new");
    for (std::pair<std::string const, Actor> const& item : actors) {
      if (item.first[0] == 'p' && item.second.pid > 0 && !item.second.unready) file << item.second.address << ":7080\n";
    }
    file.close();
    std::filesystem::rename(plan.folder + "/doors.new", plan.folder + "/doors");
  }

  void perform() {
    write_doors();
    begin = now();
    Actor callers;
    callers.name = "chorus";
    callers.args = {"chorus",
                    "--shape",
                    shape.name,
                    "--entries",
                    plan.folder + "/doors",
                    "--books",
                    plan.folder + "/books",
                    "--out",
                    plan.folder + "/chorus.json",
                    "--rate",
                    std::to_string(plan.rate),
                    "--seconds",
                    std::to_string(plan.seconds),
                    "--hot",
                    std::to_string(plan.hot),
                    "--seed",
                    std::to_string(plan.seed)};
    std::filesystem::remove(plan.folder + "/chorus.json");
    actors["chorus"] = callers;
    start(actors["chorus"]);
    guint const timer = g_timeout_add(
        100,
        [](gpointer self) -> gboolean {
          static_cast<Scene*>(self)->watch();
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
    ran_out =
        !until(static_cast<Micros>(plan.seconds * 1e6) + seconds(60), [this] { return actors["chorus"].pid == 0; });
    g_source_remove(timer);
  }

  // --- judging at the end

  int fail_now(std::string const& why) {
    std::printf("FAULT %s\n", why.c_str());
    return 1;
  }

  int finish() {
    Jot jot;
    // What is cut or frozen comes back, and what was accepted is read.
    for (std::pair<std::string const, Actor>& item : actors)
      if (item.second.frozen) {
        ::kill(item.second.pid, SIGCONT);
        item.second.frozen = false;
      }
    step(Step{0, "heal", {}});
    Got read;
    bool const back = until(seconds(12), [this, &read] {
      read = fetch("GET", actors[door()].address + ":7080", "/v1/description", "", "");
      return read.status == 200;
    });
    bool known = read.body == text_yes;
    for (std::string const& text : unknown) known = known || read.body == text;
    if (!back)
      fault("N9", "the description cannot be read");
    else if (!known)
      fault("N9", "what is read is not what was accepted");
    if (back && std::strtoull(read.serial.c_str(), nullptr, 10) < serial_yes)
      fault("N9", "what is read is older than what was accepted");

    std::vector<BookLine> const lines = read_books(plan.folder + "/books");
    std::map<std::string, std::vector<BookLine>> by_worker;
    for (BookLine const& line : lines) by_worker[line.worker].push_back(line);
    Micros late_leave = -seconds(10);
    Micros late_empty = -seconds(10);
    int most_cold = 0;
    Micros first_back = -1;
    for (std::pair<std::string const, std::vector<BookLine>>& item : by_worker) {
      std::vector<BookLine>& book = item.second;
      std::stable_sort(book.begin(), book.end(), [](BookLine const& a, BookLine const& b) { return a.at < b.at; });
      std::int64_t life = 0;
      Micros woke = 0;
      std::vector<Micros> starts;
      for (BookLine const& line : book) {
        if (line.what == 'W') {
          life = std::atoll(line.tag.c_str());
          woke = line.at;
          starts.clear();
        }
        if (line.what == 'E' && lost_back > 0 && line.at > lost_back && (first_back < 0 || line.at < first_back))
          first_back = line.at;
        if (line.what != 'S') continue;
        if (marked.count(item.first) && marked[item.first].second == life) {
          Micros const after = line.at - marked[item.first].first;
          late_leave = std::max(late_leave, after);
          if (after > seconds(3))
            fault("N5", item.first + " got " + line.tag + " " + std::to_string(after / 1000) + " ms after its mark");
        }
        std::map<std::string, std::pair<Micros, Micros>>::const_iterator const zone =
            emptied.find(rows[item.first].zone);
        if (zone != emptied.end() && (zone->second.second == 0 || line.at < zone->second.second)) {
          Micros const after = line.at - zone->second.first;
          late_empty = std::max(late_empty, after);
          if (after > seconds(5))
            fault("N6", item.first + " got " + line.tag + " " + std::to_string(after / 1000) + " ms after the yes");
        }
        // N11: in any one second of its first five.
        if (woke > begin && line.at - woke < seconds(5)) {
          starts.push_back(line.at);
          int n = 0;
          for (Micros const at : starts)
            if (line.at - at < seconds(1)) ++n;
          most_cold = std::max(most_cold, n);
          if (n > shape.cold)
            fault("N11", item.first + " got " + std::to_string(n) + " within a second of its cold start");
        }
      }
    }
    std::uint64_t longest = 0;
    std::map<std::string, std::uint64_t> frames;  // bytes by the kind of frame
    std::map<std::string, std::uint64_t> pairs;   // bytes within a zone and across zones
    std::uint64_t first = 0, again = 0, asked = 0, hit = 0, far = 0, bytes = 0;
    for (std::pair<std::string const, Actor>& item : actors) {
      Actor& actor = item.second;
      if (!actor.node()) continue;
      if (actor.pid > 0) serial_of(actor);
      for (std::pair<std::string const, std::uint64_t> const& metric : actor.last) {
        if (metric.first.rfind("pipit_frame_bytes_total{", 0) == 0)
          frames[metric.first.substr(metric.first.find('"') + 1)] += metric.second;
        bool const mesh = metric.first.rfind("pipit_mesh_bytes_total{", 0) == 0;
        if (!mesh && metric.first.rfind("pipit_leg_bytes_total{", 0) != 0) continue;
        std::string zone = metric.first.substr(metric.first.find('"') + 1);
        zone.resize(zone.find('"'));
        pairs[std::string(mesh ? "mesh " : "legs ") + (zone == actor.zone ? "within" : "across")] += metric.second;
      }
      if (item.first[0] == 'p') longest = std::max(longest, actor.last["pipit_longest_turn_us"]);
      for (std::pair<std::string const, std::uint64_t>& metric : actor.last) bank(actor, metric.first, metric.second);
      bytes += actor.last.count("pipit_wire_bytes_total") ? actor.last["pipit_wire_bytes_total"] : 0;
      first += actor.first_sends;
      again += actor.resends;
      asked += actor.asked;
      hit += actor.hit;
      far += actor.far;
    }
    if (static_cast<double>(again) > 0.2 * static_cast<double>(first) + 3.0 * shape.passages)
      fault("N10", std::to_string(again) + " re-sends for " + std::to_string(first) + " sends");
    for (std::pair<std::string const, int> const& item : wanted)
      if (actors[item.first].pid != 0 || actors[item.first].code != item.second)
        fault("helper", item.first + " ended with " + std::to_string(actors[item.first].code) + " for " +
                            std::to_string(item.second));
    bool const full = lost_back > 0;
    if (full && (first_back < 0 || first_back - lost_back > seconds(12))) fault("N12", "service was not back in time");
    std::ifstream report(plan.folder + "/chorus.json");
    std::string chorus;
    std::getline(report, chorus);
    if (ran_out || chorus.empty()) fault("chorus", "the callers did not report");
    if (chorus.find("\"faults\":{}") == std::string::npos) fault("chorus", "the callers found faults");
    if (chorus.find("\"unanswered\":0,") == std::string::npos) fault("chorus", "calls were never answered");
    if (chorus.find("\"done\":0,") != std::string::npos) fault("chorus", "no traffic was seen");
    // What a planned stop may not do to callers who follow /ready.
    if (plan.schedule == "stop" || plan.schedule == "rolling")
      for (char const* const none : {"\"lost\":0,", "\"failed\":0,", "\"refusals\":0,", "\"retried\":0,"})
        if (chorus.find(none) == std::string::npos)
          fault("N12", std::string("a planned stop: callers did not report ") + none);
    jot.open()
        .key("shape")
        .text(shape.name)
        .key("schedule")
        .text(plan.schedule)
        .key("seed")
        .number(static_cast<std::int64_t>(plan.seed));
    jot.key("accepted")
        .number(static_cast<std::int64_t>(accepted.size()))
        .key("races")
        .number(races)
        .key("in_force_ms")
        .number(slowest_force / 1000);
    jot.key("last_after_mark_ms")
        .number(late_leave / 1000)
        .key("last_after_empty_ms")
        .number(late_empty / 1000)
        .key("cold_most")
        .number(most_cold);
    jot.key("back_ms").number(full && first_back > 0 ? (first_back - lost_back) / 1000 : -1);
    jot.key("first_sends")
        .number(static_cast<std::int64_t>(first))
        .key("resends")
        .number(static_cast<std::int64_t>(again));
    jot.key("hit_percent")
        .number(asked == 0 ? 0 : static_cast<std::int64_t>(hit * 100 / asked))
        .key("far_percent")
        .number(first + again == 0 ? 0 : static_cast<std::int64_t>(far * 100 / (first + again)));
    jot.key("bytes").open();
    for (std::pair<std::string const, std::uint64_t> const& item : pairs)
      jot.key(item.first).number(static_cast<std::int64_t>(item.second));
    jot.shut().key("frames").open();
    for (std::pair<std::string const, std::uint64_t> const& item : frames)
      jot.key(item.first.substr(0, item.first.find('"'))).number(static_cast<std::int64_t>(item.second));
    jot.shut().key("longest_turn_us").number(static_cast<std::int64_t>(longest));
    jot.key("mesh_bytes")
        .number(static_cast<std::int64_t>(bytes))
        .key("chorus")
        .raw(chorus.empty() ? "null" : chorus)
        .key("faults")
        .open();
    int sum = 0;
    for (std::pair<std::string const, int> const& item : faults) {
      jot.key(item.first).number(item.second);
      sum += item.second;
    }
    jot.shut().shut();
    std::printf("%s\n%s\n", jot.take().c_str(), sum == 0 ? "PASS" : "FAIL");
    return sum == 0 ? 0 : 1;
  }

  struct Row {
    std::string address;
    std::string zone;
    std::string pool;
    std::int64_t incarnation = 1;
    std::string state;
  };

  Plan const plan;
  Shape const& shape;
  std::vector<Step> const steps;
  Cast const cast;
  GMainLoop* loop = nullptr;
  SoupSession* session = nullptr;
  std::map<std::string, Actor> actors;
  std::map<std::string, Row> rows;
  std::string platform;
  std::string list_text;
  Micros launched = 0;
  Micros begin = 0;
  Micros lost_back = 0;
  int moved = 0;
  int turn = 1;
  int races = 0;
  int drills = 0;
  int crowds = 0;
  std::map<std::string, int> wanted;  // exit codes that drills must have
  int probes = 0;
  bool ran_out = false;
  std::uint64_t expected = 0;
  std::uint64_t serial_yes = 0;
  std::string text_yes;
  std::vector<std::string> unknown;
  std::map<std::uint64_t, Micros> accepted;
  std::set<std::uint64_t> settled;
  Micros slowest_force = 0;
  std::set<std::string> watching;
  std::set<std::string> asking;
  int fired_points = 0;
  int kept = 0;
  int kept_done = 0;
  guint kept_timer = 0;
  std::map<std::string, std::pair<Micros, std::int64_t>> marked;
  std::map<std::string, std::pair<Micros, Micros>> emptied;
  std::map<std::string, int> faults;
};

int run(int argc, char** argv) {
  Plan plan;
  plan.bin = std::filesystem::canonical("/proc/self/exe").parent_path();
  options::options_description flags("scene: runs a whole fleet on this machine, breaks it, and judges it");
  flags.add_options()("shape", options::value(&plan.shape), "coop or utility")(
      "schedule", options::value(&plan.schedule), "a schedule's name")(
      "steps", options::value(&plan.steps), "steps of your own instead, such as \"2 kill p1; 5 start p1\"")(
      "seconds", options::value(&plan.seconds), "for how long callers ask")(
      "rate", options::value(&plan.rate), "requests a second")("hot", options::value(&plan.hot),
                                                               "the share of one hot opening")(
      "slots", options::value(&plan.slots), "requests that a worker runs at once")("seed", options::value(&plan.seed))(
      "grace", options::value(&plan.grace), "the nodes' setting grace")("probe", options::bool_switch(&plan.probe),
                                                                        "first try bad input and odd workers")(
      "lies", options::bool_switch(&plan.lies), "only tell the callers lies, and see that they name each")(
      "folder", options::value(&plan.folder), "where data, logs and books go")(
      "net", options::value(&plan.net), "the second number of the loopback addresses, 2 to 250")("help", "");
  try {
    options::variables_map map;
    options::store(options::parse_command_line(argc, argv, flags), map);
    options::notify(map);
    if (map.count("help")) {
      std::cout << flags << "Schedules:\n" << schedule_list();
      return 0;
    }
  } catch (options::error const& bad) {
    std::fprintf(stderr, "scene: %s\n", bad.what());
    return 2;
  }
  Shape const* const shape = shape_of(plan.shape);
  if (shape == nullptr) return std::fprintf(stderr, "scene: there is no shape '%s'\n", plan.shape.c_str()), 2;
  Schedule const* const schedule = schedule_of(plan.schedule);
  if (schedule == nullptr) return std::fprintf(stderr, "scene: there is no schedule '%s'\n", plan.schedule.c_str()), 2;
  if (plan.net < 2 || plan.net > 250) return std::fprintf(stderr, "scene: net is from 2 to 250\n"), 2;
  Result<std::vector<Step>> steps = read_steps(plan.steps.empty() ? schedule->steps : plan.steps, cast_of(*shape));
  if (!steps) return std::fprintf(stderr, "scene: %s\n", steps.error().why.c_str()), 2;
  if (plan.seconds <= 0) plan.seconds = schedule->seconds;
  if (plan.folder.empty())
    plan.folder = std::filesystem::temp_directory_path() / ("scene-" + std::to_string(::getpid()));
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return Scene(plan, *shape, std::move(steps.value())).run();
}

}  // namespace
}  // namespace pipit

int main(int argc, char** argv) { return pipit::run(argc, argv); }
