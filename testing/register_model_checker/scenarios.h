// The worlds that the checker explores, by name.
#pragma once
#include <string>
#include <vector>

#include "testing/register_model_checker/world.h"

namespace pipit::register_checker {

// Explored to the end in CI; each takes seconds.
std::vector<Scenario> small_scenarios();
// By command: minutes to hours.
std::vector<Scenario> large_scenarios();
// Begun by a directed prefix: faults that were found once.
std::vector<Scenario> directed_scenarios();
// For random walks.
std::vector<Scenario> walked_scenarios();
// What the register takes for granted, broken: the checker must find a fault.
std::vector<Scenario> broken_scenarios();
std::vector<Scenario> all_scenarios();
// The one with this name; false when there is none.
bool find_scenario(std::string const& name, Scenario& out);

}  // namespace pipit::register_checker
