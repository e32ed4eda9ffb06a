// The scenarios that the model checker explores.
#pragma once
#include <string>
#include <vector>

#include "testing/register_model_checker/world.h"

namespace pipit::register_checker {

// Explored completely in CI; each takes seconds.
std::vector<Scenario> small_scenarios();
// Explored only by command, since each takes minutes to hours.
std::vector<Scenario> large_scenarios();
// Start with a prefix of steps that once led to a violation.
std::vector<Scenario> directed_scenarios();
// For random walks.
std::vector<Scenario> random_walk_scenarios();
// Break an assumption of the register, so that the model checker must find a violation.
std::vector<Scenario> broken_scenarios();
std::vector<Scenario> all_scenarios();
// Copies the scenario with this name to `out`; returns false if there is none.
bool find_scenario(std::string const& name, Scenario& out);

}  // namespace pipit::register_checker
