// Judging at the end of an experiment: what was accepted, the workers' books, the nodes' counts, the callers' report.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "base/json_writer.h"
#include "testing/fleet_test/fleet_test.h"

namespace pipit {

namespace {

constexpr Micros departure_bound = seconds(3);  // N5
constexpr Micros empty_bound = seconds(5);      // N6
constexpr Micros cold_time = seconds(5);        // N11
constexpr Micros back_bound = seconds(12);      // N12

// What stands between the first pair of quotes of a metric's labels.
std::string first_label(std::string const& metric) {
  std::string label = metric.substr(metric.find('"') + 1);
  label.resize(label.find('"'));
  return label;
}

bool starts_with(std::string const& text, char const* prefix) { return text.rfind(prefix, 0) == 0; }

}  // namespace

// What is cut or frozen comes back.
void FleetTest::wake_and_heal() {
  for (std::pair<std::string const, Actor>& item : actors)
    if (item.second.frozen) {
      ::kill(item.second.pid, SIGCONT);
      item.second.frozen = false;
    }
  step(Step{0, "heal", {}});
}

// N9: what is read is what was accepted, or one of the changes whose fate is unknown.
void FleetTest::judge_description() {
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
}

// N6: a start at a worker whose zone was drained.
void FleetTest::judge_start(std::string const& worker, RunRecord const& line, Verdict& verdict) {
  std::map<std::string, std::pair<Micros, Micros>>::const_iterator const zone = drained_zones.find(rows[worker].zone);
  if (zone == drained_zones.end()) return;
  bool const refilled = zone->second.second != 0 && line.at >= zone->second.second;
  if (refilled) return;
  Micros const after = line.at - zone->second.first;
  verdict.last_after_empty = std::max(verdict.last_after_empty, after);
  if (after > empty_bound)
    fault("N6", worker + " got " + line.tag + " " + std::to_string(after / 1000) + " ms after the yes");
}

// One worker's book, in the order of time.
void FleetTest::judge_run_record(std::string const& worker, std::vector<RunRecord> const& run_record,
                                 Verdict& verdict) {
  std::int64_t incarnation = 0;
  Micros woke = 0;
  std::vector<Micros> starts;  // of this life, while it is cold
  for (RunRecord const& line : run_record) {
    if (line.what == 'W') {
      incarnation = std::atoll(line.tag.c_str());
      woke = line.at;
      starts.clear();
    }
    if (line.what == 'E' && lost_back > 0 && line.at > lost_back &&
        (verdict.first_back < 0 || line.at < verdict.first_back))
      verdict.first_back = line.at;
    if (line.what != 'S') continue;
    if (marked.count(worker) && marked[worker].second == incarnation) {
      Micros const after = line.at - marked[worker].first;
      verdict.last_after_departure = std::max(verdict.last_after_departure, after);
      if (after > departure_bound)
        fault("N5", worker + " got " + line.tag + " " + std::to_string(after / 1000) + " ms after its mark");
    }
    judge_start(worker, line, verdict);
    // N11: in any one second of its first five.
    if (woke <= begin || line.at - woke >= cold_time) continue;
    starts.push_back(line.at);
    int count = 0;
    for (Micros const at : starts)
      if (line.at - at < seconds(1)) ++count;
    verdict.most_cold = std::max(verdict.most_cold, count);
    if (count > shape.cold)
      fault("N11", worker + " got " + std::to_string(count) + " within a second of its cold start");
  }
}

void FleetTest::judge_run_records(Verdict& verdict) {
  std::map<std::string, std::vector<RunRecord>> by_worker;
  for (RunRecord const& line : read_run_records(plan.folder + "/books")) by_worker[line.worker].push_back(line);
  for (std::pair<std::string const, std::vector<RunRecord>>& item : by_worker) {
    std::vector<RunRecord>& run_record = item.second;
    std::stable_sort(run_record.begin(), run_record.end(),
                     [](RunRecord const& a, RunRecord const& b) { return a.at < b.at; });
    judge_run_record(item.first, run_record, verdict);
  }
}

// Adds up what the nodes counted in all their lives.
void FleetTest::count_metrics(Verdict& verdict) {
  for (std::pair<std::string const, Actor>& item : actors) {
    Actor& actor = item.second;
    if (!actor.node()) continue;
    if (actor.pid > 0) serial_of(actor);
    for (std::pair<std::string const, std::uint64_t> const& metric : actor.last) {
      if (starts_with(metric.first, "pipit_frame_bytes_total{"))
        verdict.frame_bytes[first_label(metric.first)] += metric.second;
      bool const mesh = starts_with(metric.first, "pipit_mesh_bytes_total{");
      if (!mesh && !starts_with(metric.first, "pipit_leg_bytes_total{")) continue;
      bool const within = first_label(metric.first) == actor.zone;
      verdict.zone_bytes[std::string(mesh ? "mesh " : "legs ") + (within ? "within" : "across")] += metric.second;
    }
    if (item.first[0] == 'p')
      verdict.longest_turn_us = std::max(verdict.longest_turn_us, actor.last["pipit_longest_turn_us"]);
    for (std::pair<std::string const, std::uint64_t>& metric : actor.last) bank(actor, metric.first, metric.second);
    verdict.mesh_bytes += actor.last.count("pipit_wire_bytes_total") ? actor.last["pipit_wire_bytes_total"] : 0;
    verdict.first_sends += actor.first_sends;
    verdict.resends += actor.resends;
    verdict.asked += actor.asked;
    verdict.hit += actor.hit;
    verdict.remote += actor.remote;
  }
}

void FleetTest::judge_counts(Verdict const& verdict) {
  double const resends_allowed = 0.2 * static_cast<double>(verdict.first_sends) + 3.0 * shape.routers;
  if (static_cast<double>(verdict.resends) > resends_allowed)
    fault("N10", std::to_string(verdict.resends) + " re-sends for " + std::to_string(verdict.first_sends) + " sends");
  for (std::pair<std::string const, int> const& item : wanted)
    if (actors[item.first].pid != 0 || actors[item.first].code != item.second)
      fault("helper", item.first + " ended with " + std::to_string(actors[item.first].code) + " for " +
                          std::to_string(item.second));
  if (lost_back > 0 && (verdict.first_back < 0 || verdict.first_back - lost_back > back_bound))
    fault("N12", "service was not back in time");
}

void FleetTest::judge_callers(Verdict& verdict) {
  std::ifstream file(plan.folder + "/load_generator.json");
  std::string& callers = verdict.callers;
  std::getline(file, callers);
  if (timed_out || callers.empty()) fault("load_generator", "the callers did not report");
  if (callers.find("\"faults\":{}") == std::string::npos) fault("load_generator", "the callers found faults");
  if (callers.find("\"unanswered\":0,") == std::string::npos) fault("load_generator", "calls were never answered");
  if (callers.find("\"done\":0,") != std::string::npos) fault("load_generator", "no traffic was seen");
  // What a planned stop may not do to callers who follow /ready.
  if (plan.schedule != "stop" && plan.schedule != "rolling") return;
  for (char const* const none : {"\"lost\":0,", "\"failed\":0,", "\"refusals\":0,", "\"retried\":0,"})
    if (callers.find(none) == std::string::npos)
      fault("N12", std::string("a planned stop: callers did not report ") + none);
}

std::string FleetTest::report(Verdict const& verdict) const {
  std::uint64_t const sends = verdict.first_sends + verdict.resends;
  bool const returned = lost_back > 0 && verdict.first_back > 0;
  JsonWriter json;
  json.begin_object().key("shape").text(shape.name);
  json.key("schedule").text(plan.schedule);
  json.key("seed").number(static_cast<std::int64_t>(plan.seed));
  json.key("accepted").number(static_cast<std::int64_t>(accepted.size()));
  json.key("races").number(races);
  json.key("in_force_ms").number(slowest_force / 1000);
  json.key("last_after_mark_ms").number(verdict.last_after_departure / 1000);
  json.key("last_after_empty_ms").number(verdict.last_after_empty / 1000);
  json.key("cold_most").number(verdict.most_cold);
  json.key("back_ms").number(returned ? (verdict.first_back - lost_back) / 1000 : -1);
  json.key("first_sends").number(static_cast<std::int64_t>(verdict.first_sends));
  json.key("resends").number(static_cast<std::int64_t>(verdict.resends));
  json.key("hit_percent").number(verdict.asked == 0 ? 0 : static_cast<std::int64_t>(verdict.hit * 100 / verdict.asked));
  json.key("far_percent").number(sends == 0 ? 0 : static_cast<std::int64_t>(verdict.remote * 100 / sends));
  json.key("bytes").begin_object();
  for (std::pair<std::string const, std::uint64_t> const& item : verdict.zone_bytes)
    json.key(item.first).number(static_cast<std::int64_t>(item.second));
  json.end_object().key("frames").begin_object();
  for (std::pair<std::string const, std::uint64_t> const& item : verdict.frame_bytes)
    json.key(item.first).number(static_cast<std::int64_t>(item.second));
  json.end_object().key("longest_turn_us").number(static_cast<std::int64_t>(verdict.longest_turn_us));
  json.key("mesh_bytes").number(static_cast<std::int64_t>(verdict.mesh_bytes));
  json.key("load_generator").raw(verdict.callers.empty() ? "null" : verdict.callers);
  json.key("faults").begin_object();
  for (std::pair<std::string const, int> const& item : faults) json.key(item.first).number(item.second);
  json.end_object().end_object();
  return json.take();
}

int FleetTest::finish() {
  wake_and_heal();
  judge_description();
  Verdict verdict;
  judge_run_records(verdict);
  count_metrics(verdict);
  judge_counts(verdict);
  judge_callers(verdict);
  bool const good = faults.empty();
  std::printf("%s\n%s\n", report(verdict).c_str(), good ? "PASS" : "FAIL");
  return good ? 0 : 1;
}

}  // namespace pipit
