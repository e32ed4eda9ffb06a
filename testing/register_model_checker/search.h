// The exhaustive search through the states of a scenario, and random walks through scenarios with too many states.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "testing/register_model_checker/world.h"

namespace pipit::register_checker {

// Limits of a search.
struct Limits {
  std::uint64_t states = 2000000;     // distinct states
  double seconds = 60;                // run time
  std::uint64_t recover_one_in = 64;  // World::check_recovery is called for one in so many states; 0 for none
};

struct SearchResult {
  std::string violation;           // empty if none was found
  std::vector<std::string> trace;  // the steps to the violation, without those that it does not need
  std::uint64_t states = 0;        // distinct states; for random walks, the number of walks
  std::uint64_t steps = 0;         // taken in total
  std::uint64_t recoveries = 0;    // states whose recovery was checked
  std::size_t depth = 0;           // steps of the longest path
  double seconds = 0;              // run time
  bool complete = false;           // all states within the scenario's bounds were explored
};

// Explores all sequences of steps depth first, each state once.
SearchResult explore(Scenario const& scenario, Limits const& limits);
// Takes `walks` random paths of at most `length` steps, each from the initial state. The same seed gives the same
// paths.
SearchResult random_walk(Scenario const& scenario, std::uint64_t seed, std::uint64_t walks, std::size_t length,
                         Limits const& limits);
// Takes the steps of a trace and checks recovery after them. Skips steps that are not possible.
SearchResult replay(Scenario const& scenario, std::vector<std::string> const& trace);
// A Markdown table of the steps of a trace and their effects.
std::string trace_table(Scenario const& scenario, std::vector<std::string> const& trace);
// The result's figures in one line.
std::string summary_line(Scenario const& scenario, SearchResult const& result);

}  // namespace pipit::register_checker
