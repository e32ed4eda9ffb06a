// The control plane's worst days with the product's own nodes under virtual time, a few fixed seeds each; larger sweeps
// by the program 'control_plane' (testing/control_plane_simulator). Each scenario also judges the other points.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/events.h"
#include "testing/control_plane_simulator/scenarios.h"

namespace pipit::control_plane_simulator {

namespace {
void expect_clean(char const* name, ScenarioPlan const& plan) {
  mute_log(true);
  Scenario const* const scenario = scenario_of(name);
  ASSERT_NE(scenario, nullptr);
  Report const report = scenario->run(plan);
  EXPECT_GT(report.confirmations, 0u);
  // The first findings tell the story; the rest follow from them.
  std::size_t const shown = std::min<std::size_t>(3, report.findings.size());
  for (std::size_t n = 0; n < shown; ++n)
    ADD_FAILURE() << name << " seed " << plan.seed << " (" << report.setting << ") at " << report.findings[n].at / 1000
                  << " ms, point " << report.findings[n].point << ": " << report.findings[n].what;
}

void expect_clean(char const* name, std::size_t disks, int variant, std::uint64_t from, std::uint64_t seeds) {
  for (std::uint64_t seed = from; seed < from + seeds; ++seed) expect_clean(name, ScenarioPlan{seed, disks, variant});
}
}  // namespace

// Point 1: neither confirmed nor refused nor read without a majority, and current again soon after.
TEST(ControlPlane, a_proposing_replica_cut_off_for_twenty_seconds) { expect_clean("cut_off", 0, 0, 1, 4); }
TEST(ControlPlane, a_replica_cut_off_for_twenty_seconds) { expect_clean("cut_off", 0, 1, 1, 4); }
TEST(ControlPlane, a_plain_machine_cut_off_for_twenty_seconds) { expect_clean("cut_off", 0, 2, 1, 4); }
TEST(ControlPlane, cuts_in_a_storm_of_changes) {
  expect_clean("cut_in_storm", 0, -1, 1, 2);
  expect_clean("cut_in_storm", 0, -1, 84, 1);
}

TEST(ControlPlane, a_machine_that_stood_still) {
  for (int const variant : {0, 1, 2}) expect_clean("frozen", 0, variant, 1, 2);
}

// Point 2: one change a label, one a base; a taken order is acknowledged again or left unclear.
TEST(ControlPlane, eight_rivals_under_one_label) { expect_clean("one_label", 0, -1, 1, 4); }
TEST(ControlPlane, orders_that_build_on_orders_under_way) { expect_clean("chained", 0, -1, 1, 3); }
TEST(ControlPlane, machines_that_end_and_are_back_at_once) { expect_clean("restarted_at_once", 0, -1, 1, 3); }
TEST(ControlPlane, an_order_sent_again_after_few_others) {
  for (int const variant : {0, 1, 2}) expect_clean("sent_again", 0, variant, 1, 1);
}
TEST(ControlPlane, an_order_sent_again_after_sixty_five_others) { expect_clean("sent_again", 0, 4, 1, 2); }
TEST(ControlPlane, an_order_sent_again_after_two_hundred_others) { expect_clean("sent_again", 0, 6, 1, 1); }
TEST(ControlPlane, an_order_sent_again_after_five_hundred_others) { expect_clean("sent_again", 0, 7, 1, 1); }
TEST(ControlPlane, the_proposing_replica_lost_in_a_storm) { expect_clean("proposer_lost", 0, -1, 1, 3); }

// Point 3: one further allowed loss at any moment leaves a majority with the newest.
TEST(ControlPlane, a_loss_after_a_planned_replacement_of_three) { expect_clean("second_loss", 3, 0, 1, 8); }
TEST(ControlPlane, a_loss_after_a_planned_replacement_of_eight) { expect_clean("second_loss", 8, 0, 1, 8); }
TEST(ControlPlane, a_loss_after_an_unplanned_replacement_of_three) { expect_clean("second_loss", 3, 1, 1, 12); }
TEST(ControlPlane, a_loss_after_an_unplanned_replacement_of_four) { expect_clean("second_loss", 4, 1, 1, 8); }
TEST(ControlPlane, a_loss_after_an_unplanned_replacement_of_eight) { expect_clean("second_loss", 8, 1, 1, 8); }
TEST(ControlPlane, a_loss_after_a_wiped_disk_came_back) {
  for (std::size_t const disks : {std::size_t(3), std::size_t(4), std::size_t(8)})
    expect_clean("second_loss", disks, 2, 1, 4);
}
TEST(ControlPlane, a_loss_after_the_newest_copy_went) {
  for (std::size_t const disks : {std::size_t(3), std::size_t(4), std::size_t(8)})
    for (int const variant : {3, 4, 5}) expect_clean("second_loss", disks, variant, 1, 2);
}

// A storm at another proposer starved the replacement of a lost member; then the next allowed loss left no majority
// (seeds 4 and 8), or all that were dark could not go on (53, 56, 188).
TEST(ControlPlane, a_loss_after_a_replacement_in_a_storm_of_changes) {
  for (std::uint64_t const seed : {4, 8, 53, 56, 188}) expect_clean("closing_fault", 0, -1, seed, 1);
}
TEST(ControlPlane, members_frozen_until_they_are_replaced_then_others_lost) {
  expect_clean("thawed_after_replacement", 0, -1, 1, 3);
}
TEST(ControlPlane, a_planned_replacement_is_interrupted) {
  for (int variant = 0; variant < 6; ++variant) expect_clean("planned_interrupted", 0, variant, 1, 1);
}
// A leaving member that was cut off heard of no replica to take its place, and ended two seconds later in its place.
TEST(ControlPlane, a_leaving_member_that_is_cut_off_stays_for_its_grace) {
  for (std::uint64_t const seed : {5016, 5216, 5269}) expect_clean("planned_interrupted", 0, -1, seed, 1);
}
TEST(ControlPlane, trouble_in_the_first_seconds) {
  for (int variant = 0; variant < 9; ++variant) expect_clean("founding", 0, variant, 1, 1);
}
// A seed that was lost for good before the first set was written stopped it for ever.
TEST(ControlPlane, a_founder_replaced_before_the_first_set) {
  for (std::uint64_t const seed : {23, 87}) expect_clean("founding", 0, -1, seed, 1);
}

// All replicas lose power before the first set was written, since one of them was cut off; then all start again, also
// on disks that were wiped meanwhile.
void expect_founding_after_power_loss(bool wiped) {
  mute_log(true);
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    World world(WorldPlan{.seed = seed});
    world.boot_all(true);
    MachineId const apart = world.replicas().back();
    world.isolate({apart}, CutKind::silent, CutWay::both);
    world.run(seconds(2));
    for (MachineId const id : world.replicas()) {
      EXPECT_FALSE(world.machine(id).node->acceptor->durable_state().formed) << "not every founder was heard";
      world.power_off(id);
      if (wiped && id != apart) world.wipe(id);
    }
    world.heal();
    world.run(millis(500));
    for (MachineId const id : world.replicas()) world.boot(id);
    world.run(seconds(8));
    for (MachineId const id : world.replicas())
      EXPECT_EQ(world.machine(id).node->acceptor->durable_state().formed, !wiped)
          << "seed " << seed << ", machine " << id;
  }
}

// The disks are still those of the first start.
TEST(ControlPlane, a_fleet_that_lost_its_power_before_it_was_founded_is_founded_after) {
  expect_founding_after_power_loss(false);
}

// A wiped disk looks like one that was never used, but no set is bootstrapped on it.
TEST(ControlPlane, a_founder_does_not_found_again_beside_wiped_disks) { expect_founding_after_power_loss(true); }

// Point 4: members that come back catch up, are not ready before, and never go back.
TEST(ControlPlane, a_member_back_in_a_storm_of_changes) {
  for (int variant = 0; variant < 6; ++variant) expect_clean("back_in_storm", 0, variant, 1, 1);
}
TEST(ControlPlane, a_machine_that_starts_without_a_majority_is_not_ready) {
  expect_clean("started_alone", 0, -1, 1, 4);
}
TEST(ControlPlane, all_that_count_killed_or_dark_at_once) {
  for (int const variant : {0, 1}) expect_clean("all_at_once", 0, variant, 1, 2);
}

TEST(ControlPlane, replicas_restarted_in_a_storm_of_changes) { expect_clean("restarts_in_storm", 0, -1, 1, 2); }

TEST(ControlPlane, all_dark_with_a_wiped_disk_and_no_operator) {
  for (int const variant : {0, 1}) expect_clean("full_stop_with_a_wipe", 0, variant, 1, 2);
}

// All of it in one day.
TEST(ControlPlane, days_with_everything) { expect_clean("day", 0, -1, 1, 6); }

// The one that replaces a lost replica was outbid for a second by the orders of a storm, and the next loss came.
TEST(ControlPlane, a_replacement_is_not_held_up_by_a_storm_of_orders) { expect_clean("day", 0, -1, 1227, 1); }

// Two of a set that had grown to five left at once, for nobody was to take their places, beside a member that was lost.
TEST(ControlPlane, members_that_leave_a_grown_set_are_taken_out_first) { expect_clean("day", 0, -1, 20279, 1); }
// A spare was admitted beside a member that had just gone: three of four were needed, and the next loss left two.
TEST(ControlPlane, a_set_does_not_grow_while_a_member_is_away) { expect_clean("restarts_in_storm", 0, -1, 10222, 1); }
// Two successors of three let the set grow to five; it did not shrink when those that left were gone, so that the next
// loss left two of five.
TEST(ControlPlane, a_set_that_grew_for_successors_shrinks_again) {
  for (std::uint64_t const seed : {5075, 5201}) expect_clean("day", 0, -1, seed, 1);
}

// The same seed gives the same run.
TEST(ControlPlane, a_run_is_fixed_by_its_seed) {
  mute_log(true);
  Scenario const* const day = scenario_of("day");
  ASSERT_NE(day, nullptr);
  Report const one = day->run(ScenarioPlan{5, 0, -1});
  Report const two = day->run(ScenarioPlan{5, 0, -1});
  EXPECT_EQ(one.frames, two.frames);
  EXPECT_EQ(one.frame_bytes, two.frame_bytes);
  EXPECT_EQ(one.confirmations, two.confirmations);
}

// Losses may overlap beyond what is allowed: service rests, but nothing that was acknowledged is lost or shown older.
TEST(ControlPlane, losses_beyond_what_is_allowed_of_three) { expect_clean("overlapping", 3, -1, 1, 6); }
TEST(ControlPlane, losses_beyond_what_is_allowed_of_four) { expect_clean("overlapping", 4, -1, 1, 6); }
TEST(ControlPlane, losses_beyond_what_is_allowed_of_eight) { expect_clean("overlapping", 8, -1, 1, 14); }
TEST(ControlPlane, a_member_that_was_dark_when_it_got_its_place_holds_no_recovery_up) {
  expect_clean("overlapping", 8, -1, 43, 1);
}
TEST(ControlPlane, a_member_that_holds_nothing_reads_the_register_for_all) {
  expect_clean("overlapping", 8, -1, 382, 1);
}
TEST(ControlPlane, replicas_in_two_halves) {
  for (std::size_t const disks : {3u, 4u, 8u}) expect_clean("halves", disks, -1, 1, 3);
}

}  // namespace pipit::control_plane_simulator
