// Simulated fleets under virtual time: the properties N1 to N12 hold on fixed seeds, a seed reproduces the same run,
// and the judge reports a fault when a guard is disabled.
#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

#include "base/events.h"
#include "testing/fleet_simulator/world.h"

namespace pipit {

namespace {
WorldEnd run_fleet(std::string const& shape, std::uint64_t seed, std::vector<std::string> only = {}) {
  mute_log(true);
  WorldPlan plan;
  plan.shape = shape_of(shape);
  plan.seed = seed;
  plan.only = std::move(only);
  return World(plan).run();
}

// Router nodes are replaced one after another. Those whose address refuses connections are evicted by the replica that
// manages the set, those that do not answer by an operator. Afterwards no confirmation is awaited from a replaced node
// and no share of a limit is reserved for it (§5.9).
TEST(RouterReplacement, twenty_replacements_leave_no_registrations_behind) {
  mute_log(true);
  WorldPlan plan;
  plan.shape = shape_of("coop");
  plan.seed = 5;
  plan.only = {"exchange"};
  plan.length = seconds(60);
  plan.finale = true;
  WorldEnd const end = World(plan).run();
  for (std::string const& fault : end.violations) ADD_FAILURE() << fault;
  EXPECT_GE(end.exchanges, 20u);
  EXPECT_EQ(end.registrations, end.routers);
  EXPECT_TRUE(end.drained_zones);
  EXPECT_TRUE(end.unconfirmed.empty()) << end.unconfirmed.front();
}

class FleetSimulation : public testing::TestWithParam<std::string> {};

TEST_P(FleetSimulation, properties_hold_on_fixed_seeds) {
  std::uint64_t injected_faults = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    WorldEnd const end = run_fleet(GetParam(), seed);
    for (std::string const& fault : end.violations) ADD_FAILURE() << "seed " << seed << " " << fault;
    EXPECT_GT(end.done, 0u);
    EXPECT_GT(end.accepted, 0u);
    injected_faults += end.injected_faults;
  }
  EXPECT_GT(injected_faults, 60u);
}

TEST_P(FleetSimulation, a_seed_reproduces_its_run) {
  EXPECT_EQ(run_fleet(GetParam(), 3).hash, run_fleet(GetParam(), 3).hash);
  EXPECT_NE(run_fleet(GetParam(), 3).hash, run_fleet(GetParam(), 4).hash);
}

// A seed that broke a property in the past; its cause is in docs/measurements.md.
struct RegressionSeed {
  char const* name;
  char const* shape;
  std::uint64_t seed;
  std::vector<std::string> only;
};
void PrintTo(RegressionSeed const& row, std::ostream* out) {
  *out << row.name << ", shape " << row.shape << ", seed " << row.seed;
}
class FleetRegression : public testing::TestWithParam<RegressionSeed> {};

TEST_P(FleetRegression, stays_fixed) {
  for (std::string const& fault : run_fleet(GetParam().shape, GetParam().seed, GetParam().only).violations)
    ADD_FAILURE() << fault;
}

std::vector<RegressionSeed> const regression_seeds = {
    {"cold_by_a_fast_clock", "utility", 69, {"release", "crowd", "hand", "split"}},
    {"proposer_and_replicas_lost_after_acknowledgement", "coop", 211, {"blank", "power", "closing", "slow"}},
    {"proposer_and_replicas_lost_after_acknowledgement_at_utility",
     "utility",
     28,
     {"blank", "power", "closing", "slow"}},
    {"sent_by_a_node_without_a_share", "utility", 142, {"release", "crowd", "hand", "split"}},
};
std::string regression_name(testing::TestParamInfo<RegressionSeed> const& info) { return info.param.name; }
INSTANTIATE_TEST_SUITE_P(Each, FleetRegression, testing::ValuesIn(regression_seeds), regression_name);

INSTANTIATE_TEST_SUITE_P(Shapes, FleetSimulation, testing::Values("coop", "utility"));

// A guard whose absence must break a property on at least one of the seeds.
struct GuardCase {
  Guard guard;
  char const* property;
  char const* shape;
  std::uint64_t first_seed, seed_count;
  std::vector<std::string> only;
};
std::string guard_text(Guard guard) {
  std::size_t count = 0;
  return guard_rows(count)[static_cast<std::size_t>(guard)].name;
}
void PrintTo(GuardCase const& row, std::ostream* out) {
  *out << guard_text(row.guard) << ", property " << row.property << ", shape " << row.shape << ", seeds from "
       << row.first_seed;
}
class FleetGuards : public testing::TestWithParam<GuardCase> {};

TEST_P(FleetGuards, disabling_a_guard_breaks_its_property) {
  GuardCase const& row = GetParam();
  bool broken = false;
  for (std::uint64_t seed = row.first_seed; seed < row.first_seed + row.seed_count && !broken; ++seed) {
    ASSERT_TRUE(run_fleet(row.shape, seed, row.only).violations.empty())
        << "seed " << seed << " fails with all guards on";
    disabled_guard() = row.guard;
    WorldEnd const end = run_fleet(row.shape, seed, row.only);
    disabled_guard() = Guard::none;
    for (std::string const& fault : end.violations) broken = broken || fault.rfind(row.property, 0) == 0;
  }
  EXPECT_TRUE(broken) << "no seed broke " << row.property << " with the guard off";
}

std::vector<GuardCase> const guard_cases = {
    {Guard::never_repeat, "N1", "coop", 1, 12, {}},
    {Guard::honest_execution_status, "N2", "coop", 1, 12, {}},
    {Guard::local_veto, "N5", "coop", 1, 12, {"leave"}},
    {Guard::fresh_start, "N5", "utility", 1, 20, {"freeze", "leave"}},
    {Guard::zone_veto, "N6", "coop", 1, 12, {}},
    {Guard::spread, "N7", "coop", 1, 4, {"crowd"}},
    {Guard::registrations, "N6", "utility", 1, 30, {"stray"}},
    {Guard::confirm_all, "N6", "coop", 1, 12, {"stray"}},
    {Guard::isolation, "N5", "utility", 3, 12, {"group", "leave"}},
    {Guard::tombstone, "N5", "utility", 245, 60, {"leave", "group"}},
    {Guard::sync_first, "N8", "utility", 460, 60, {"slow", "closing", "power"}},
    {Guard::disk_id, "N9", "utility", 1, 12, {"amnesia"}},
    {Guard::expected, "N8", "coop", 1, 12, {"race", "storm"}},
    {Guard::promise, "N8", "coop", 1, 12, {"race", "storm"}},
    {Guard::bucket, "N10", "coop", 30, 30, {"refuse"}},
    {Guard::cold_share, "N11", "coop", 1, 12, {"release", "crowd"}},
    {Guard::ask_first, "N11", "coop", 1, 30, {"release", "crowd", "hand"}},
    {Guard::redial, "N12", "coop", 1, 20, {}},
};
std::string guard_name(testing::TestParamInfo<GuardCase> const& info) { return guard_text(info.param.guard); }
INSTANTIATE_TEST_SUITE_P(Each, FleetGuards, testing::ValuesIn(guard_cases), guard_name);

}  // namespace
}  // namespace pipit
