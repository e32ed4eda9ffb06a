// Tenants' keys and limits under simulated faults of a fleet: no request runs that should be refused, and requests
// within the limit are served except for what the faults cost. Without the lease guard the simulation reports findings.
#include <gtest/gtest.h>

#include "base/events.h"
#include "testing/quota_simulator/load.h"

namespace pipit::tenants {

namespace {
constexpr std::uint64_t seeds = 2;

Scenario const& scenario_of(std::string const& name) {
  for (Scenario const& item : scenarios())
    if (name == item.name) return item;
  ADD_FAILURE() << "there is no scenario " << name;
  return scenarios().front();
}

// Returns the findings of a scenario's first `count` seeds.
std::vector<std::string> findings_of(std::string const& name, std::uint64_t count) {
  std::vector<std::string> out;
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    LoadPlan plan;
    plan.seed = seed;
    Load load(plan);
    RandomSource random(seed * 77 + 3);
    load.begin();
    scenario_of(name).run(load, random);
    out.insert(out.end(), load.findings.begin(), load.findings.end());
  }
  return out;
}

class TenantLoad : public testing::TestWithParam<std::string> {
 protected:
  TenantLoad() { mute_log(true); }
  ~TenantLoad() override { mute_log(false); }
};
}  // namespace

TEST_P(TenantLoad, keys_and_limits_hold_and_requests_within_the_limit_are_served) {
  Scenario const& scenario = scenario_of(GetParam());
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    LoadPlan plan;
    plan.seed = seed;
    Load load(plan);
    RandomSource random(seed * 77 + 3);
    load.begin();
    scenario.run(load, random);
    for (std::string const& finding : load.findings) ADD_FAILURE() << "seed " << seed << ", " << finding;
    double tokens_within_limit = 0;
    double tokens = 0;
    for (TenantFigures const& item : load.figures) {
      tokens_within_limit += item.tokens_within_limit;
      tokens += item.tokens;
    }
    ASSERT_GT(tokens_within_limit, 0);
    EXPECT_GE(tokens, tokens_within_limit * (1 - scenario.allowed_loss)) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(All, TenantLoad,
                         testing::Values("calm", "hot_tenant", "crowds", "lost_owners", "cut_nodes", "split_owners",
                                         "freezes", "clocks", "limits_change", "disks_and_power"),
                         [](testing::TestParamInfo<std::string> const& info) { return info.param; });

TEST(TenantGuards, without_the_lease_an_isolated_node_accepts_revoked_keys) {
  mute_log(true);
  disabled_guard() = Guard::lease;
  std::vector<std::string> const found = findings_of("cut_nodes", 6);
  disabled_guard() = Guard::none;
  mute_log(false);
  EXPECT_FALSE(found.empty());
}

}  // namespace pipit::tenants
