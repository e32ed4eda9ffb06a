// Explores small worlds of the control register with its model checker, and tests that the model checker finds a
// violation when a guard of the register is off (docs/checker.md).
#include <gtest/gtest.h>

#include <fstream>
#include <ostream>
#include <string>
#include <vector>

#include "base/guards.h"
#include "testing/register_model_checker/scenarios.h"
#include "testing/register_model_checker/search.h"

namespace pipit::register_checker {

// Names the scenario in the message of a failed test.
void PrintTo(Scenario const& scenario, std::ostream* out) { *out << scenario.name << ": " << scenario.description; }

namespace {

// A search takes seconds; the limit allows for a busy machine. A search that reaches it is not complete.
constexpr double max_search_seconds = 100;

Limits limits_of(std::uint64_t states, double seconds) {
  Limits out;
  out.states = states;
  out.seconds = seconds;
  return out;
}

Scenario scenario_named(std::string const& name) {
  Scenario out;
  EXPECT_TRUE(find_scenario(name, out)) << name;
  return out;
}

std::string describe(Scenario const& scenario, SearchResult const& result) {
  return summary_line(scenario, result) + "\n" + (result.violation.empty() ? "" : trace_table(scenario, result.trace));
}

// Switches a guard off until the end of the test.
class DisabledGuard {
 public:
  explicit DisabledGuard(Guard guard) { disabled_guard() = guard; }
  ~DisabledGuard() { disabled_guard() = Guard::none; }
  DisabledGuard(DisabledGuard const&) = delete;
  DisabledGuard& operator=(DisabledGuard const&) = delete;
};

std::string name_of(testing::TestParamInfo<Scenario> const& info) {
  std::string out = info.param.name;
  for (char& c : out)
    if (c == '-') c = '_';
  return out;
}

class SmallWorld : public testing::TestWithParam<Scenario> {};
class DirectedWorld : public testing::TestWithParam<Scenario> {};
class RandomWalkWorld : public testing::TestWithParam<Scenario> {};

}  // namespace

TEST_P(SmallWorld, is_explored_completely_without_a_violation) {
  SearchResult const result = explore(GetParam(), limits_of(5000000, max_search_seconds));
  std::printf("%s\n", summary_line(GetParam(), result).c_str());
  EXPECT_EQ(result.violation, "") << describe(GetParam(), result);
  EXPECT_TRUE(result.complete);
  EXPECT_GT(result.recoveries, 0u);
}
INSTANTIATE_TEST_SUITE_P(checker, SmallWorld, testing::ValuesIn(small_scenarios()), name_of);

// Scenarios whose prefix once led to a violation. The states after the prefix are explored up to the limit on states.
TEST_P(DirectedWorld, has_no_violation_after_its_prefix) {
  SearchResult const result = explore(GetParam(), limits_of(20000, max_search_seconds));
  std::printf("%s\n", summary_line(GetParam(), result).c_str());
  EXPECT_EQ(result.violation, "") << describe(GetParam(), result);
}
INSTANTIATE_TEST_SUITE_P(checker, DirectedWorld, testing::ValuesIn(directed_scenarios()), name_of);

TEST_P(RandomWalkWorld, has_no_violation_on_seeded_walks) {
  SearchResult const result = random_walk(GetParam(), 1, 200, 300, limits_of(0, max_search_seconds));
  std::printf("%s\n", summary_line(GetParam(), result).c_str());
  EXPECT_EQ(result.violation, "") << describe(GetParam(), result);
  EXPECT_EQ(result.states, 200u);
}
INSTANTIATE_TEST_SUITE_P(checker, RandomWalkWorld, testing::ValuesIn(random_walk_scenarios()), name_of);

// With a guard off the model checker finds a violation, whose trace replays; with the guard on the same trace has none.
namespace {
void expect_violation(Guard guard, Scenario const& scenario, SearchResult const& result,
                      std::string const& expected_text) {
  EXPECT_NE(result.violation, "") << describe(scenario, result);
  EXPECT_NE(result.violation.find(expected_text), std::string::npos) << describe(scenario, result);
  EXPECT_EQ(replay(scenario, result.trace).violation, result.violation);
  disabled_guard() = Guard::none;
  EXPECT_EQ(replay(scenario, result.trace).violation, "") << "the same steps with the guard on";
  disabled_guard() = guard;
}

void expect_violation_in(Guard guard, std::string const& name, std::string const& expected_text) {
  DisabledGuard const off(guard);
  Scenario const scenario = scenario_named(name);
  expect_violation(guard, scenario, explore(scenario, limits_of(1000000, max_search_seconds)), expected_text);
}
}  // namespace

TEST(RegisterModelChecker, finds_acceptance_of_an_older_ballot) {
  expect_violation_in(Guard::promise, "rivals", "two values of revision 2");
}

TEST(RegisterModelChecker, finds_a_reply_before_its_sync) {
  expect_violation_in(Guard::sync_first, "crash", "older than revision 2");
}

TEST(RegisterModelChecker, finds_a_vote_of_a_lost_disk) {
  expect_violation_in(Guard::disk_id, "wipe", "older than revision 2");
}

TEST(RegisterModelChecker, finds_a_change_based_on_another_serial) {
  expect_violation_in(Guard::expected, "rivals", "not on the expected 1");
}

TEST(RegisterModelChecker, finds_a_joint_membership_accepted_by_one_majority_only) {
  expect_violation_in(Guard::joint, "split-replace", "two values of revision 4");
  expect_violation_in(Guard::joint, "split-admit", "two values of revision 4");
  expect_violation_in(Guard::joint, "split-dismiss", "two values of revision 4");
}

TEST(RegisterModelChecker, finds_a_joint_membership_completed_before_it_was_chosen) {
  expect_violation_in(Guard::joint_chosen, "split-replace", "");
}

// Replays a recorded trace, which a random walk found (walk-growth, seed 1, its 745th path), since a search for it
// takes too long here.
TEST(RegisterModelChecker, finds_a_quorum_counted_in_another_membership_than_the_round_found) {
  DisabledGuard const off(Guard::found_set);
  std::ifstream in(SOURCE "/testing/register_model_checker/traces/found_set.txt");
  std::vector<std::string> trace;
  for (std::string line; std::getline(in, line);) trace.push_back(line);
  ASSERT_FALSE(trace.empty());
  Scenario const scenario = scenario_named("walk-growth");
  expect_violation(Guard::found_set, scenario, replay(scenario, trace), "does not follow on");
}

TEST(RegisterModelChecker, finds_an_incarnation_with_the_seed_of_the_one_before) {
  Scenario const scenario = scenario_named("same-chance");
  SearchResult const result = explore(scenario, limits_of(1000000, max_search_seconds));
  EXPECT_NE(result.violation, "") << describe(scenario, result);
}

TEST(RegisterModelChecker, search_is_deterministic) {
  Scenario const scenario = scenario_named("rivals");
  SearchResult const first = explore(scenario, limits_of(1000000, max_search_seconds));
  SearchResult const second = explore(scenario, limits_of(1000000, max_search_seconds));
  EXPECT_EQ(first.states, second.states);
  EXPECT_EQ(first.steps, second.steps);
}

}  // namespace pipit::register_checker
