#include "testing/register_model_checker/search.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <set>
#include <unordered_map>

namespace pipit::register_checker {

namespace {

using Clock = std::chrono::steady_clock;
double since(Clock::time_point start) { return std::chrono::duration<double>(Clock::now() - start).count(); }

// Replicas that no order names are alike, members and spares each among themselves; only members are exchanged.
Symmetry symmetry_of(Scenario const& scenario) {
  std::set<std::string> named;
  for (Order const& order : scenario.orders) {
    named.insert(order.replica);
    named.insert(order.leaving);
  }
  std::vector<std::size_t> free;
  if (scenario.prefix.empty())
    for (std::size_t const index : scenario.members)
      if (named.count(replica_name(index)) == 0) free.push_back(index);
  return Symmetry(scenario.replicas, free);
}

World begin(Scenario const& scenario, Symmetry const& symmetry) {
  World world(scenario, symmetry);
  world.lift_bounds(true);
  for (std::string const& step_text : scenario.prefix) world.take(step_text);
  world.lift_bounds(false);
  return world;
}

// Runs a trace; steps that are not possible are left out of 'taken'. With 'recover' the end of all faults is tried
// last.
std::string run(Scenario const& scenario, Symmetry const& symmetry, std::vector<std::string> const& trace, bool recover,
                std::vector<std::string>* taken) {
  World world = begin(scenario, symmetry);
  for (std::string const& step_text : trace) {
    if (!world.fault().empty()) break;
    if (world.take(step_text) && taken != nullptr) taken->push_back(step_text);
  }
  if (!world.fault().empty()) return world.fault();
  return recover ? world.check_recovery() : "";
}

// Leaves out steps one by one, and in runs, while a fault remains.
std::vector<std::string> shortened(Scenario const& scenario, Symmetry const& symmetry, std::vector<std::string> trace,
                                   bool recover) {
  bool shorter = true;
  while (shorter) {
    shorter = false;
    for (std::size_t run_length = std::max<std::size_t>(1, trace.size() / 4); run_length >= 1; run_length /= 2) {
      for (std::size_t i = 0; i + run_length <= trace.size();) {
        std::vector<std::string> less = trace;
        less.erase(less.begin() + static_cast<std::ptrdiff_t>(i),
                   less.begin() + static_cast<std::ptrdiff_t>(i + run_length));
        std::vector<std::string> taken;
        if (run(scenario, symmetry, less, recover, &taken).empty()) {
          ++i;
          continue;
        }
        trace = std::move(taken);
        shorter = true;
      }
    }
  }
  return trace;
}

void report(Finding& finding, Scenario const& scenario, Symmetry const& symmetry, std::vector<std::string> trace,
            std::string const& fault, bool recover) {
  finding.trace = shortened(scenario, symmetry, std::move(trace), recover);
  finding.fault = run(scenario, symmetry, finding.trace, recover, nullptr);
  if (finding.fault.empty()) finding.fault = fault + " (the trace does not replay)";
}

struct Level {
  World world;
  std::vector<Step> steps;
  std::size_t next = 0;
};

}  // namespace

Finding explore(Scenario const& scenario, Limits const& limits) {
  Finding finding;
  Clock::time_point const start = Clock::now();
  Symmetry const symmetry = symmetry_of(scenario);
  // The least depth at which each state was met: with a bound on steps a shorter way there has more before it.
  std::unordered_map<std::uint64_t, std::uint32_t> seen;
  std::vector<Level> path;
  path.push_back({begin(scenario, symmetry), {}, 0});
  path.back().steps = path.back().world.steps();
  seen.emplace(path.back().world.print(), 0);
  bool cut = false;
  std::string fault = path.back().world.fault();
  bool recover = false;
  if (fault.empty() && limits.recover_one_in > 0) {
    ++finding.recoveries;
    fault = path.back().world.check_recovery();
    recover = !fault.empty();
  }
  while (!path.empty() && fault.empty()) {
    Level& top = path.back();
    if (top.next == top.steps.size()) {
      path.pop_back();
      continue;
    }
    if (seen.size() >= limits.states || (finding.steps % 1024 == 0 && since(start) > limits.seconds)) {
      cut = true;
      break;
    }
    World next = top.world;
    next.take(top.steps[top.next++]);
    ++finding.steps;
    std::size_t const depth = path.size();
    fault = next.fault();
    std::uint64_t const print = next.print();
    std::pair<std::unordered_map<std::uint64_t, std::uint32_t>::iterator, bool> const met =
        seen.emplace(print, static_cast<std::uint32_t>(depth));
    bool const bounded = scenario.bounds.steps > 0;
    bool const known = !met.second && (!bounded || met.first->second <= depth);
    if (fault.empty() && known) continue;
    met.first->second = static_cast<std::uint32_t>(depth);
    finding.depth = std::max(finding.depth, depth);
    if (fault.empty() && limits.recover_one_in > 0 && print % limits.recover_one_in == 0) {
      ++finding.recoveries;
      fault = next.check_recovery();
      recover = !fault.empty();
    }
    bool const last = bounded && depth >= static_cast<std::size_t>(scenario.bounds.steps);
    path.push_back({std::move(next), {}, 0});
    if (!last && fault.empty()) path.back().steps = path.back().world.steps();
  }
  finding.states = seen.size();
  finding.seconds = since(start);
  finding.complete = !cut && fault.empty();
  if (!fault.empty()) {
    std::vector<std::string> trace;
    for (std::size_t i = 0; i + 1 < path.size(); ++i)
      trace.push_back(path[i].world.step_text(path[i].steps[path[i].next - 1]));
    report(finding, scenario, symmetry, std::move(trace), fault, recover);
  }
  return finding;
}

namespace {

// How likely a kind of step is on a random path: mostly messages, faults now and then.
std::uint64_t weight_of(Step const& step) {
  switch (step.type) {
    case Step::Type::ask:
      return 6;
    case Step::Type::deliver:
      return 16;
    case Step::Type::sync:
      return 16;
    case Step::Type::retry:
      return 2;
    case Step::Type::repeat:
      return 2;
    default:
      return 1;
  }
}

// For some steps of a random path about a third of all pairs cannot reach each other; their messages wait.
constexpr std::size_t cut_length = 24;

bool is_cut(World const& world, Step const& step, std::uint64_t cuts) {
  if (step.type != Step::Type::deliver && step.type != Step::Type::repeat) return false;
  Message const& message = world.message(step.index);
  std::uint64_t const pair = hash_text(message.from) + hash_text(message.to);  // both ways alike
  return hash_bits(pair ^ cuts) % 3 == 0;
}

Step drawn(std::vector<Step> const& steps, RandomSource& random) {
  std::uint64_t sum = 0;
  for (Step const& step : steps) sum += weight_of(step);
  std::uint64_t at = random.below(sum);
  for (Step const& step : steps) {
    if (at < weight_of(step)) return step;
    at -= weight_of(step);
  }
  return steps.back();
}

}  // namespace

Finding walk(Scenario const& scenario, std::uint64_t seed, std::uint64_t walks, std::size_t length,
             Limits const& limits) {
  Finding finding;
  Clock::time_point const start = Clock::now();
  Symmetry const symmetry = symmetry_of(scenario);
  World const first = begin(scenario, symmetry);
  std::uint64_t done = 0;
  for (; done < walks && since(start) < limits.seconds; ++done) {
    RandomSource random(hash_bits(seed) + done);
    World world = first;
    std::vector<std::string> trace;
    std::string fault;
    bool recover = false;
    std::uint64_t cuts = 0;
    int stuck = 0;
    while (trace.size() < length && fault.empty()) {
      if (trace.size() % cut_length == 0) cuts = random.next();
      std::vector<Step> steps = world.steps();
      steps.erase(std::remove_if(steps.begin(), steps.end(),
                                 [&world, cuts](Step const& step) { return is_cut(world, step, cuts); }),
                  steps.end());
      if (steps.empty()) {
        if (++stuck == 8) break;
        cuts = random.next();
        continue;
      }
      Step const step = drawn(steps, random);
      stuck = 0;
      trace.push_back(world.step_text(step));
      world.take(step);
      ++finding.steps;
      fault = world.fault();
    }
    finding.depth = std::max(finding.depth, trace.size());
    if (fault.empty() && limits.recover_one_in > 0) {
      ++finding.recoveries;
      fault = world.check_recovery();
      recover = !fault.empty();
    }
    if (fault.empty()) continue;
    finding.seconds = since(start);
    report(finding, scenario, symmetry, std::move(trace), fault, recover);
    finding.states = done + 1;
    return finding;
  }
  finding.states = done;
  finding.seconds = since(start);
  return finding;
}

Finding replay(Scenario const& scenario, std::vector<std::string> const& trace) {
  Finding finding;
  Symmetry const symmetry = symmetry_of(scenario);
  finding.fault = run(scenario, symmetry, trace, true, &finding.trace);
  finding.steps = finding.trace.size();
  finding.depth = finding.trace.size();
  return finding;
}

std::string table_of(Scenario const& scenario, std::vector<std::string> const& trace) {
  Symmetry const symmetry;
  World world(scenario, symmetry);
  world.narrate(true);
  std::string out = "| step | what happens | what it brings about |\n|---|---|---|\n";
  std::size_t number = 0;
  std::vector<std::pair<std::string, bool>> steps;
  for (std::string const& step_text : scenario.prefix) steps.push_back({step_text, true});
  for (std::string const& step_text : trace) steps.push_back({step_text, false});
  for (std::pair<std::string, bool> const& step : steps) {
    world.lift_bounds(step.second);
    if (!world.take(step.first)) continue;
    out += "| " + std::to_string(++number) + " | " + step.first + " | " + world.effect() + " |\n";
    if (!world.fault().empty()) break;
  }
  return out;
}

std::string summary_of(Scenario const& scenario, Finding const& finding) {
  char text[256];
  std::snprintf(text, sizeof text, "%-16s %9llu states %10llu steps  depth %3zu  %7llu recoveries  %7.1f s  ",
                scenario.name.c_str(), static_cast<unsigned long long>(finding.states),
                static_cast<unsigned long long>(finding.steps), finding.depth,
                static_cast<unsigned long long>(finding.recoveries), finding.seconds);
  std::string out = text;
  if (!finding.fault.empty()) return out + "FAULT: " + finding.fault;
  return out + (finding.complete ? "explored to the end" : "no fault, not to the end");
}

}  // namespace pipit::register_checker
