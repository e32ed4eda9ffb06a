// The costs of a fleet: lines find what they were drawn from, the same seed gives the same frames, and a fleet that is
// killed in part sees it (§10.5).
#include <gtest/gtest.h>

#include "testing/cost_simulator/fit.h"
#include "testing/cost_simulator/plot.h"
#include "testing/cost_simulator/scale.h"

namespace pipit {

TEST(Fit, finds_what_the_points_were_drawn_from) {
  std::vector<double> const x{6, 12, 24, 48, 96};
  std::vector<double> y;
  for (double const v : x) y.push_back(40 + 3 * v * v);
  Fit const line = fit(x, y);
  EXPECT_EQ(line.power, 2);
  EXPECT_NEAR(line.base, 40, 0.01);
  EXPECT_NEAR(line.slope, 3, 0.001);
  EXPECT_LT(line.error, 1e-6);
  EXPECT_LT(line.ahead, 1e-6);
  EXPECT_NEAR(line.at(1400), 40 + 3.0 * 1400 * 1400, 10);
  y.clear();
  for (double const v : x) y.push_back(44 * (v - 4));
  EXPECT_NEAR(fit(x, y).at(1400), 44 * 1396, 1) << "a constant below 0";
  y.clear();
  for (double const v : x) y.push_back(20 * v + 0.5 * v * v);
  EXPECT_NEAR(fit(x, y).at(1400), 20 * 1400 + 0.5 * 1400 * 1400, 10);
  Fit const level = fit(x, {7, 7, 7, 7, 7});
  EXPECT_NEAR(level.at(1400), 7, 0.01);
  EXPECT_EQ(fit(x, {0, 0, 0, 0, 0}).at(1400), 0);
}

TEST(Plot, leaves_out_what_has_no_logarithm) {
  std::string const svg = plot("nodes", {6, 12}, {{"a", {10, 100}}, {"b", {0, -1}}});
  EXPECT_NE(svg.find("</svg>"), std::string::npos);
  EXPECT_EQ(svg.find("nan"), std::string::npos);
  EXPECT_NE(plot("nodes", {}, {}).find("nothing was measured"), std::string::npos);
}

TEST(Scale, a_seed_gives_the_same_frames_and_every_kill_is_seen) {
  ScalePlan plan;
  plan.nodes = 9;
  plan.span = seconds(4);
  plan.phases = {"change", "restart"};
  Scale first(plan);
  Figures const one = first.run();
  ASSERT_EQ(first.stopped, "");
  Scale second(plan);
  Figures const two = second.run();
  for (char const* const name : {"calm.router.frames_out", "calm.router.bytes_out", "calm.keeper.bytes_out",
                                 "restart.router.bytes_out", "change.everywhere_ms.max", "detect.silent_ms.max"}) {
    EXPECT_GT(one.of(name), 0) << name;
    EXPECT_EQ(one.of(name), two.of(name)) << name;
  }
  EXPECT_EQ(one.of("detect.missed"), 0);
  EXPECT_EQ(one.of("false_suspicions"), 0);
  EXPECT_LT(one.of("detect.silent_ms.max"), 5000);
}

TEST(Scale, more_of_anything_is_held_to_need_more_memory) {
  ScalePlan plan;
  double const base = bytes_for(plan);
  for (int ScalePlan::*const field :
       {&ScalePlan::nodes, &ScalePlan::workers, &ScalePlan::prefixes, &ScalePlan::sessions, &ScalePlan::routes}) {
    ScalePlan more = plan;
    more.*field = plan.*field * 10 + 10;
    EXPECT_GT(bytes_for(more), base);
  }
  int const fits = nodes_within(plan, 1e9);
  plan.nodes = fits;
  EXPECT_LE(bytes_for(plan), 1e9);
  plan.nodes = fits + 1;
  EXPECT_GT(bytes_for(plan), 1e9);
}

}  // namespace pipit
