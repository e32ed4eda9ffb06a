// The search through all worlds that a scenario may become, and random walks through those that are too many.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "testing/register_model_checker/world.h"

namespace pipit::register_checker {

struct Limits {
  std::uint64_t states = 2000000;
  double seconds = 60;
  std::uint64_t recover_one_in = 64;  // in how many states the end of all faults is tried; 0 for none
};

struct Finding {
  std::string fault;               // empty: none was found
  std::vector<std::string> trace;  // without what is not needed for the fault
  std::uint64_t states = 0;        // different ones
  std::uint64_t steps = 0;         // taken in all
  std::uint64_t recoveries = 0;    // states whose recovery was tried
  std::size_t depth = 0;           // of the longest path
  double seconds = 0;
  bool complete = false;  // nothing was left out within the scenario's bounds
};

// All orders of all steps, depth first, each state once.
Finding explore(Scenario const& scenario, Limits const& limits);
// Random paths, each from the start. The same seed walks the same paths.
Finding walk(Scenario const& scenario, std::uint64_t seed, std::uint64_t walks, std::size_t length,
             Limits const& limits);
// Takes the steps; those that are not possible are passed over.
Finding replay(Scenario const& scenario, std::vector<std::string> const& trace);
// A numbered table of the steps of a trace with what each brings about.
std::string table_of(Scenario const& scenario, std::vector<std::string> const& trace);
// One line of figures.
std::string summary_of(Scenario const& scenario, Finding const& finding);

}  // namespace pipit::register_checker
