#include "testing/register_model_checker/search.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <set>
#include <unordered_map>

namespace pipit::register_checker {

namespace {

using Clock = std::chrono::steady_clock;
double seconds_since(Clock::time_point start) { return std::chrono::duration<double>(Clock::now() - start).count(); }

// Members of the initial membership that no order names are interchangeable. So are such replicas outside it, which are
// not permuted. A prefix names replicas, so that nothing is permuted then.
Symmetry symmetry_of(Scenario const& scenario) {
  std::set<std::string> named;
  for (Order const& order : scenario.orders) {
    named.insert(order.replica);
    named.insert(order.replaced_replica);
  }
  std::vector<std::size_t> interchangeable;
  if (scenario.prefix.empty())
    for (std::size_t const index : scenario.members)
      if (named.count(replica_name(index)) == 0) interchangeable.push_back(index);
  return Symmetry(scenario.replicas, interchangeable);
}

World initial_world(Scenario const& scenario, Symmetry const& symmetry) {
  World world(scenario, symmetry);
  world.lift_bounds(true);
  for (std::string const& step_text : scenario.prefix) world.take(step_text);
  world.lift_bounds(false);
  return world;
}

// Runs a trace and returns the violation, or an empty text. Steps that are not possible are skipped; the others are
// added to `taken`, if it is not null. With `check_recovery` the recovery from the last state is checked, too.
std::string run_trace(Scenario const& scenario, Symmetry const& symmetry, std::vector<std::string> const& trace,
                      bool check_recovery, std::vector<std::string>* taken) {
  World world = initial_world(scenario, symmetry);
  for (std::string const& step_text : trace) {
    if (!world.violation().empty()) break;
    if (world.take(step_text) && taken != nullptr) taken->push_back(step_text);
  }
  if (!world.violation().empty()) return world.violation();
  return check_recovery ? world.check_recovery() : "";
}

// Removes steps from a trace, alone and in runs, as long as a violation remains.
std::vector<std::string> minimize_trace(Scenario const& scenario, Symmetry const& symmetry,
                                        std::vector<std::string> trace, bool check_recovery) {
  bool shorter = true;
  while (shorter) {
    shorter = false;
    for (std::size_t run_length = std::max<std::size_t>(1, trace.size() / 4); run_length >= 1; run_length /= 2) {
      for (std::size_t i = 0; i + run_length <= trace.size();) {
        std::vector<std::string> shorter_trace = trace;
        shorter_trace.erase(shorter_trace.begin() + static_cast<std::ptrdiff_t>(i),
                            shorter_trace.begin() + static_cast<std::ptrdiff_t>(i + run_length));
        std::vector<std::string> taken;
        if (run_trace(scenario, symmetry, shorter_trace, check_recovery, &taken).empty()) {
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

// Sets the result's violation and its trace, which is shortened.
void report(SearchResult& result, Scenario const& scenario, Symmetry const& symmetry, std::vector<std::string> trace,
            std::string const& violation, bool check_recovery) {
  result.trace = minimize_trace(scenario, symmetry, std::move(trace), check_recovery);
  result.violation = run_trace(scenario, symmetry, result.trace, check_recovery, nullptr);
  if (result.violation.empty()) result.violation = violation + " (the trace does not replay)";
}

// One state on the path of the depth-first search.
struct PathEntry {
  World world;
  std::vector<Step> steps;
  std::size_t next = 0;  // index of the next step to take
};

}  // namespace

SearchResult explore(Scenario const& scenario, Limits const& limits) {
  SearchResult result;
  Clock::time_point const start = Clock::now();
  Symmetry const symmetry = symmetry_of(scenario);
  // The least depth at which each state was reached. With a bound on steps, a state that is reached again by a shorter
  // path has more steps left, so that it is explored again.
  std::unordered_map<std::uint64_t, std::uint32_t> least_depths;
  std::vector<PathEntry> path;
  path.push_back({initial_world(scenario, symmetry), {}, 0});
  path.back().steps = path.back().world.steps();
  least_depths.emplace(path.back().world.state_hash(), 0);
  bool limit_reached = false;
  std::string violation = path.back().world.violation();
  bool recovery_failed = false;
  if (violation.empty() && limits.recover_one_in > 0) {
    ++result.recoveries;
    violation = path.back().world.check_recovery();
    recovery_failed = !violation.empty();
  }
  while (!path.empty() && violation.empty()) {
    PathEntry& top = path.back();
    if (top.next == top.steps.size()) {
      path.pop_back();
      continue;
    }
    if (least_depths.size() >= limits.states || (result.steps % 1024 == 0 && seconds_since(start) > limits.seconds)) {
      limit_reached = true;
      break;
    }
    World next = top.world;
    next.take(top.steps[top.next++]);
    ++result.steps;
    std::size_t const depth = path.size();
    violation = next.violation();
    std::uint64_t const state_hash = next.state_hash();
    std::pair<std::unordered_map<std::uint64_t, std::uint32_t>::iterator, bool> const visited =
        least_depths.emplace(state_hash, static_cast<std::uint32_t>(depth));
    bool const bounded = scenario.bounds.steps > 0;
    bool const known = !visited.second && (!bounded || visited.first->second <= depth);
    if (violation.empty() && known) continue;
    visited.first->second = static_cast<std::uint32_t>(depth);
    result.depth = std::max(result.depth, depth);
    if (violation.empty() && limits.recover_one_in > 0 && state_hash % limits.recover_one_in == 0) {
      ++result.recoveries;
      violation = next.check_recovery();
      recovery_failed = !violation.empty();
    }
    bool const last = bounded && depth >= static_cast<std::size_t>(scenario.bounds.steps);
    path.push_back({std::move(next), {}, 0});
    if (!last && violation.empty()) path.back().steps = path.back().world.steps();
  }
  result.states = least_depths.size();
  result.seconds = seconds_since(start);
  result.complete = !limit_reached && violation.empty();
  if (!violation.empty()) {
    std::vector<std::string> trace;
    for (std::size_t i = 0; i + 1 < path.size(); ++i)
      trace.push_back(path[i].world.step_text(path[i].steps[path[i].next - 1]));
    report(result, scenario, symmetry, std::move(trace), violation, recovery_failed);
  }
  return result;
}

namespace {

// The relative probability of a step on a random path: mostly message deliveries, and few faults.
std::uint64_t weight_of(Step const& step) {
  switch (step.type) {
    case Step::Type::submit:
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

// On a random path about a third of all pairs of a node and a replica, or of two nodes, cannot communicate; their
// messages stay in transit. The pairs are drawn anew after this number of steps.
constexpr std::size_t partition_steps = 24;
// A random path ends after this number of draws without a possible step.
constexpr int max_draws_without_step = 8;

bool is_partitioned(World const& world, Step const& step, std::uint64_t partition_seed) {
  if (step.type != Step::Type::deliver && step.type != Step::Type::repeat) return false;
  Message const& message = world.message(step.index);
  std::uint64_t const pair = hash_text(message.from) + hash_text(message.to);  // the same in both directions
  return hash_bits(pair ^ partition_seed) % 3 == 0;
}

Step random_step(std::vector<Step> const& steps, RandomSource& random) {
  std::uint64_t sum = 0;
  for (Step const& step : steps) sum += weight_of(step);
  std::uint64_t point = random.below(sum);
  for (Step const& step : steps) {
    if (point < weight_of(step)) return step;
    point -= weight_of(step);
  }
  return steps.back();
}

}  // namespace

SearchResult random_walk(Scenario const& scenario, std::uint64_t seed, std::uint64_t walks, std::size_t length,
                         Limits const& limits) {
  SearchResult result;
  Clock::time_point const start = Clock::now();
  Symmetry const symmetry = symmetry_of(scenario);
  World const first = initial_world(scenario, symmetry);
  std::uint64_t done = 0;
  for (; done < walks && seconds_since(start) < limits.seconds; ++done) {
    RandomSource random(hash_bits(seed) + done);
    World world = first;
    std::vector<std::string> trace;
    std::string violation;
    bool recovery_failed = false;
    std::uint64_t partition_seed = 0;
    int draws_without_step = 0;
    while (trace.size() < length && violation.empty()) {
      if (trace.size() % partition_steps == 0) partition_seed = random.next();
      std::vector<Step> steps = world.steps();
      steps.erase(std::remove_if(steps.begin(), steps.end(),
                                 [&world, partition_seed](Step const& step) {
                                   return is_partitioned(world, step, partition_seed);
                                 }),
                  steps.end());
      if (steps.empty()) {
        if (++draws_without_step == max_draws_without_step) break;
        partition_seed = random.next();
        continue;
      }
      Step const step = random_step(steps, random);
      draws_without_step = 0;
      trace.push_back(world.step_text(step));
      world.take(step);
      ++result.steps;
      violation = world.violation();
    }
    result.depth = std::max(result.depth, trace.size());
    if (violation.empty() && limits.recover_one_in > 0) {
      ++result.recoveries;
      violation = world.check_recovery();
      recovery_failed = !violation.empty();
    }
    if (violation.empty()) continue;
    result.seconds = seconds_since(start);
    report(result, scenario, symmetry, std::move(trace), violation, recovery_failed);
    result.states = done + 1;
    return result;
  }
  result.states = done;
  result.seconds = seconds_since(start);
  return result;
}

SearchResult replay(Scenario const& scenario, std::vector<std::string> const& trace) {
  SearchResult result;
  Symmetry const symmetry = symmetry_of(scenario);
  result.violation = run_trace(scenario, symmetry, trace, true, &result.trace);
  result.steps = result.trace.size();
  result.depth = result.trace.size();
  return result;
}

std::string trace_table(Scenario const& scenario, std::vector<std::string> const& trace) {
  Symmetry const symmetry;
  World world(scenario, symmetry);
  world.enable_narration(true);
  std::string out = "| step | event | effects |\n|---|---|---|\n";
  std::size_t number = 0;
  std::vector<std::pair<std::string, bool>> steps;
  for (std::string const& step_text : scenario.prefix) steps.push_back({step_text, true});
  for (std::string const& step_text : trace) steps.push_back({step_text, false});
  for (std::pair<std::string, bool> const& step : steps) {
    world.lift_bounds(step.second);
    if (!world.take(step.first)) continue;
    out += "| " + std::to_string(++number) + " | " + step.first + " | " + world.effect() + " |\n";
    if (!world.violation().empty()) break;
  }
  return out;
}

std::string summary_line(Scenario const& scenario, SearchResult const& result) {
  char text[256];
  std::snprintf(text, sizeof text, "%-16s %9llu states %10llu steps  depth %3zu  %7llu recoveries  %7.1f s  ",
                scenario.name.c_str(), static_cast<unsigned long long>(result.states),
                static_cast<unsigned long long>(result.steps), result.depth,
                static_cast<unsigned long long>(result.recoveries), result.seconds);
  std::string out = text;
  if (!result.violation.empty()) return out + "FAULT: " + result.violation;
  return out + (result.complete ? "explored to the end" : "no fault, not to the end");
}

}  // namespace pipit::register_checker
