// One experiment on a whole fleet: what it is made of, how it is broken, and what is judged (§10.3).
// The parts of the class lie in files of their own: fleet.cc (processes and the platform's list), client.cc (questions
// to nodes), changes.cc (descriptions), actions.cc (steps), faults.cc (fault points and load), probes.cc (bad input and
// odd workers), watch.cc (judging while it runs), verdict.cc (judging at the end).
#pragma once
#include <glib.h>
#include <libsoup/soup.h>
#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "testing/common/run_records.h"
#include "testing/common/shapes.h"
#include "testing/fleet_test/points.h"
#include "testing/fleet_test/steps.h"

namespace pipit {

inline Micros now() { return g_get_monotonic_time(); }

// What the flags say.
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

// A process of the fleet, running or not, and what was read of it.
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
  std::uint64_t first_sends = 0, resends = 0, asked = 0, hit = 0, remote = 0;  // of lives that ended
  std::map<std::string, std::uint64_t> last;                                   // the last metrics seen of this life
  bool node() const { return name[0] == 'k' || name[0] == 'p'; }
};

// What the end of an experiment is judged by, and reported.
struct Verdict {
  Micros last_after_departure = -seconds(10);        // the latest start at a worker after it was marked as leaving
  Micros last_after_empty = -seconds(10);            // the latest start in a zone after the yes to emptying it
  Micros first_back = -1;                            // the first answer's end after everything was lost
  int most_cold = 0;                                 // the most starts within one second at a worker that just woke
  std::map<std::string, std::uint64_t> frame_bytes;  // by the kind of frame
  std::map<std::string, std::uint64_t> zone_bytes;   // within a zone and across zones
  std::uint64_t longest_turn_us = 0;
  std::uint64_t first_sends = 0, resends = 0, asked = 0, hit = 0, remote = 0, mesh_bytes = 0;
  std::string callers;  // their report
};

class FleetTest {
 public:
  FleetTest(Plan plan_, Shape const& shape_, std::vector<Step> steps_)
      : plan(std::move(plan_)), shape(shape_), steps(std::move(steps_)), cast(cast_of(shape)) {}

  // Starts the fleet, carries the steps out and judges. Returns the exit code: 0 when no fault was seen.
  int run();

  ~FleetTest();

 private:
  std::string number(int group, int i) const;
  void build();
  void node(std::string const& name, std::string const& address, std::string const& zone, std::string const& seeds,
            std::vector<std::string> const& more);
  void worker_args(Actor& actor);
  void start(Actor& actor);
  void end(Actor& actor, int signal);
  void write_list();
  void put_list();

  struct Got {
    unsigned status = 0;
    std::string body;
    std::string serial;
    bool ready = false;
  };
  // Asks and runs the loop until the answer has come; bounded by the session's timeout.
  Got fetch(char const* method, std::string const& address, std::string const& path, std::string const& body,
            std::string const& match, bool* good = nullptr);

  struct Asked {
    SoupMessage* message;
    std::function<void(Got const&)> done;
  };
  void ask(char const* method, std::string const& address, std::string const& path, std::string const& body,
           std::string const& match, std::function<void(Got const&)> done, bool keep = false);
  bool until(Micros most, std::function<bool()> const& holds);
  std::vector<Actor*> live_nodes();
  bool all_ready();
  bool workers_known(Actor const& actor);
  bool all_at(std::uint64_t serial);
  std::uint64_t serial_of(Actor& actor);
  static void bank(Actor& actor, std::string const& name, std::uint64_t value);
  void take_metrics(Actor& actor, std::string const& text);
  void fault(char const* point, std::string const& what);
  void watch();
  std::string door();
  bool apply(std::string const& at, int turn, std::size_t size = 0);
  bool note_change(Got const& got, std::string const& text);
  void resync();
  double clock() const { return static_cast<double>(now() - begin) / 1e6; }

  // Asked again until the node says that it is armed: on a busy machine an answer may be lost.
  void arm(std::string const& at, int point, std::string const& arg, int times = 0);
  static std::vector<std::string> names(std::string const& text);
  std::string others(std::set<std::string> const& but);
  void cut_off(std::string const& name, std::string const& from, bool in, bool out);
  void step(Step const& item);
  // Each carries out the steps of one sort, and says whether the step was one of them.
  bool process_step(Step const& item);
  bool disk_or_fleet_step(Step const& item);
  bool network_step(Step const& item);
  bool change_step(Step const& item);
  bool drill_step(Step const& item);
  bool worker_step(Step const& item);
  bool load_or_fault_step(Step const& item);
  void rename(Actor& actor, std::string const& old);
  void move(Actor& actor, std::string const& address);
  static void rewrite(std::string const& from, std::string const& to, std::map<std::string, std::string> const& fresh);
  // More callers for two seconds, who judge their own answers; with 'hot' nine of ten ask for one opening.
  void crowd(bool hot, std::string const& rate);
  // Every node in turn is stopped as planned and started again, with callers on kept-alive connections besides.
  void roll_all();
  // One fault point: armed, made to fire, seen to have fired, and over; the judges watch all the while.
  void one_point(PointPlan const& item);
  void ask_kept();
  void race();
  // The lies that callers must see for themselves, told to them straight by a worker: the judge names each, or it
  // proves nothing. An honest worker goes first.
  int lies();
  // Bad input of every kind, and workers that answer oddly: each has its honest answer, and no bad input reaches a
  // worker.
  void probe();
  void write_doors();
  void perform();
  int fail_now(std::string const& why);
  int finish();
  void wake_and_heal();
  void judge_description();
  void judge_run_records(Verdict& verdict);
  void judge_run_record(std::string const& worker, std::vector<RunRecord> const& run_record, Verdict& verdict);
  void judge_start(std::string const& worker, RunRecord const& line, Verdict& verdict);
  void count_metrics(Verdict& verdict);
  void judge_counts(Verdict const& verdict);
  void judge_callers(Verdict& verdict);
  std::string report(Verdict const& verdict) const;

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
  bool timed_out = false;
  std::uint64_t expected = 0;
  std::uint64_t serial_yes = 0;
  std::string text_yes;
  std::vector<std::string> unknown;
  std::map<std::uint64_t, Micros> accepted;
  std::set<std::uint64_t> resolved;
  Micros slowest_force = 0;
  std::set<std::string> watching;
  std::set<std::string> asking;
  int fired_points = 0;
  int kept = 0;
  int kept_done = 0;
  guint kept_timer = 0;
  std::map<std::string, std::pair<Micros, std::int64_t>> marked;
  std::map<std::string, std::pair<Micros, Micros>> drained_zones;
  std::map<std::string, int> faults;
};

}  // namespace pipit
