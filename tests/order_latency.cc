// How long operators wait for the acknowledgement of an order in a fleet whose processors and links are limited. The
// program order_latency plays the same at the size of the largest deployments.
#include <gtest/gtest.h>

#include "base/events.h"
#include "testing/order_latency/troubles.h"

namespace pipit {

namespace {
using control_plane_simulator::OrderFleet;
using control_plane_simulator::OrderFleetPlan;
using control_plane_simulator::OrderTrouble;

constexpr Micros acknowledge_bound = seconds(6);  // acknowledge_ms of the large deployments

// A quarter of the machines of the largest deployments, so that a hub sends a quarter: its link carries a quarter as
// well.
OrderFleetPlan quarter_of_a_large_fleet() {
  OrderFleetPlan out;
  out.plain /= 4;
  out.replica_limits.link_bytes_per_second /= 4;
  return out;
}
}  // namespace

class OrderLatency : public testing::TestWithParam<OrderTrouble> {};

TEST_P(OrderLatency, orders_are_acknowledged_within_the_bound_of_calm) {
  mute_log(true);
  OrderFleet fleet(quarter_of_a_large_fleet());
  play_trouble(fleet, GetParam());
  EXPECT_GT(fleet.orders.size(), 5u);
  EXPECT_LE(fleet.longest_calm_wait(), acknowledge_bound) << fleet.table();
}

INSTANTIATE_TEST_SUITE_P(Troubles, OrderLatency, testing::ValuesIn(control_plane_simulator::order_troubles()),
                         [](testing::TestParamInfo<OrderTrouble> const& item) { return item.param.name; });

}  // namespace pipit
