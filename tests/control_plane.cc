// Fault scenarios of the control plane with the product's own nodes under virtual time, on a few fixed seeds each. The
// program 'control_plane' (testing/control_plane_simulator) runs more seeds. Every scenario is judged on all four
// points of docs/control.md.
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
  // The first findings show the cause; later ones follow from them.
  std::size_t const shown = std::min<std::size_t>(3, report.findings.size());
  for (std::size_t n = 0; n < shown; ++n)
    ADD_FAILURE() << name << " seed " << plan.seed << " (" << report.setting << ") at " << report.findings[n].at / 1000
                  << " ms, point " << report.findings[n].point << ": " << report.findings[n].what;
}

void expect_clean(char const* name, std::size_t disks, int variant, std::uint64_t from, std::uint64_t seeds) {
  for (std::uint64_t seed = from; seed < from + seeds; ++seed) expect_clean(name, ScenarioPlan{seed, disks, variant});
}
}  // namespace

// Point 1: without a majority no change is confirmed or refused and nothing is read; soon after the partition ends,
// nodes are up to date again.
TEST(ControlPlane, safety_holds_while_a_proposing_replica_is_cut_off_for_twenty_seconds) {
  expect_clean("cut_off", 0, 0, 1, 4);
}
TEST(ControlPlane, safety_holds_while_a_replica_is_cut_off_for_twenty_seconds) { expect_clean("cut_off", 0, 1, 1, 4); }
TEST(ControlPlane, safety_holds_while_a_machine_without_a_replica_is_cut_off_for_twenty_seconds) {
  expect_clean("cut_off", 0, 2, 1, 4);
}
TEST(ControlPlane, safety_holds_through_partitions_under_many_changes) {
  expect_clean("cut_in_storm", 0, -1, 1, 2);
  expect_clean("cut_in_storm", 0, -1, 84, 1);
}

TEST(ControlPlane, a_suspended_machine_does_not_serve_stale_state) {
  for (int const variant : {0, 1, 2}) expect_clean("frozen", 0, variant, 1, 2);
}

// Point 2: each label and each base revision takes one change; a repeated change that was taken is acknowledged again
// or has an unknown outcome.
TEST(ControlPlane, one_of_eight_rival_changes_wins_a_label) { expect_clean("one_label", 0, -1, 1, 4); }
TEST(ControlPlane, changes_may_build_on_changes_in_flight) { expect_clean("chained", 0, -1, 1, 3); }
TEST(ControlPlane, changes_survive_immediate_restarts) { expect_clean("restarted_at_once", 0, -1, 1, 3); }
TEST(ControlPlane, a_change_repeated_after_few_others_is_chosen_once) {
  for (int const variant : {0, 1, 2}) expect_clean("sent_again", 0, variant, 1, 1);
}
TEST(ControlPlane, a_change_repeated_after_sixty_five_others_is_chosen_once) { expect_clean("sent_again", 0, 4, 1, 2); }
TEST(ControlPlane, a_change_repeated_after_two_hundred_others_is_chosen_once) {
  expect_clean("sent_again", 0, 6, 1, 1);
}
TEST(ControlPlane, a_change_repeated_after_five_hundred_others_is_chosen_once) {
  expect_clean("sent_again", 0, 7, 1, 1);
}
TEST(ControlPlane, changes_survive_the_loss_of_the_proposing_replica) { expect_clean("proposer_lost", 0, -1, 1, 3); }

// Point 3: after one further tolerated loss at any time, a majority remains that holds the newest value.
TEST(ControlPlane, a_set_of_three_survives_a_loss_after_a_planned_replacement) {
  expect_clean("second_loss", 3, 0, 1, 8);
}
TEST(ControlPlane, a_set_of_eight_survives_a_loss_after_a_planned_replacement) {
  expect_clean("second_loss", 8, 0, 1, 8);
}
TEST(ControlPlane, a_set_of_three_survives_a_loss_after_an_unplanned_replacement) {
  expect_clean("second_loss", 3, 1, 1, 12);
}
TEST(ControlPlane, a_set_of_four_survives_a_loss_after_an_unplanned_replacement) {
  expect_clean("second_loss", 4, 1, 1, 8);
}
TEST(ControlPlane, a_set_of_eight_survives_a_loss_after_an_unplanned_replacement) {
  expect_clean("second_loss", 8, 1, 1, 8);
}
TEST(ControlPlane, a_set_survives_a_loss_after_a_wiped_disk_returned) {
  for (std::size_t const disks : {std::size_t(3), std::size_t(4), std::size_t(8)})
    expect_clean("second_loss", disks, 2, 1, 4);
}
TEST(ControlPlane, a_set_survives_a_loss_after_the_newest_copy_was_lost) {
  for (std::size_t const disks : {std::size_t(3), std::size_t(4), std::size_t(8)})
    for (int const variant : {3, 4, 5}) expect_clean("second_loss", disks, variant, 1, 2);
}

// Many changes at another proposer starved the replacement of a lost member. Then the next tolerated loss left no
// majority (seeds 4 and 8), or the set could not continue after all its members had been down (53, 56, 188).
TEST(ControlPlane, a_set_survives_a_loss_after_a_replacement_under_many_changes) {
  for (std::uint64_t const seed : {4, 8, 53, 56, 188}) expect_clean("closing_fault", 0, -1, seed, 1);
}
TEST(ControlPlane, a_set_survives_losses_after_suspended_members_were_replaced) {
  expect_clean("thawed_after_replacement", 0, -1, 1, 3);
}
TEST(ControlPlane, an_interrupted_planned_replacement_loses_no_data) {
  for (int variant = 0; variant < 6; ++variant) expect_clean("planned_interrupted", 0, variant, 1, 1);
}
// A leaving member that was cut off knew of no replica that could replace it, and stopped two seconds later while it
// was still a member.
TEST(ControlPlane, a_leaving_member_that_is_cut_off_stays_for_its_grace_period) {
  for (std::uint64_t const seed : {5016, 5216, 5269}) expect_clean("planned_interrupted", 0, -1, seed, 1);
}
TEST(ControlPlane, bootstrap_survives_faults_in_the_first_seconds) {
  for (int variant = 0; variant < 9; ++variant) expect_clean("founding", 0, variant, 1, 1);
}
// A seed node that was lost for good before the first set was written blocked the bootstrap for ever.
TEST(ControlPlane, an_initial_member_can_be_replaced_before_the_first_set) {
  for (std::uint64_t const seed : {23, 87}) expect_clean("founding", 0, -1, seed, 1);
}

// One replica is cut off, so the first set is not written; then all replicas lose power and start again, with 'wiped'
// on disks that were wiped meanwhile. Expects a bootstrap if and only if the disks were kept.
void expect_bootstrap_after_power_loss(bool wiped) {
  mute_log(true);
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    World world(WorldPlan{.seed = seed});
    world.boot_all(true);
    MachineId const isolated = world.replicas().back();
    world.isolate({isolated}, CutKind::silent, CutWay::both);
    world.run(seconds(2));
    for (MachineId const id : world.replicas()) {
      EXPECT_FALSE(world.machine(id).node->acceptor->durable_state().formed)
          << "the set was bootstrapped although an initial member is cut off";
      world.power_off(id);
      if (wiped && id != isolated) world.wipe(id);
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

// The disks keep the record of the first start.
TEST(ControlPlane, a_fleet_that_lost_power_before_its_bootstrap_bootstraps_afterwards) {
  expect_bootstrap_after_power_loss(false);
}

// A wiped disk looks like one that was never used, but no set may be bootstrapped on it.
TEST(ControlPlane, an_initial_member_does_not_bootstrap_again_beside_wiped_disks) {
  expect_bootstrap_after_power_loss(true);
}

// Point 4: members that return catch up, are not ready before that, and never go back to an older value.
TEST(ControlPlane, a_returning_member_catches_up_under_many_changes) {
  for (int variant = 0; variant < 6; ++variant) expect_clean("back_in_storm", 0, variant, 1, 1);
}
TEST(ControlPlane, a_machine_that_starts_without_a_majority_is_not_ready) {
  expect_clean("started_alone", 0, -1, 1, 4);
}
TEST(ControlPlane, the_control_plane_recovers_after_all_replicas_stop_at_once) {
  for (int const variant : {0, 1}) expect_clean("all_at_once", 0, variant, 1, 2);
}

TEST(ControlPlane, safety_holds_while_replicas_restart_under_many_changes) {
  expect_clean("restarts_in_storm", 0, -1, 1, 2);
}

TEST(ControlPlane, the_control_plane_recovers_from_a_full_outage_with_a_wiped_disk) {
  for (int const variant : {0, 1}) expect_clean("full_stop_with_a_wipe", 0, variant, 1, 2);
}

// All faults in one simulated day.
TEST(ControlPlane, all_points_hold_on_days_with_all_faults) { expect_clean("day", 0, -1, 1, 6); }

// The replica that proposed the replacement of a lost one was outbid for a second by many changes, until the next loss.
TEST(ControlPlane, a_replacement_is_not_delayed_by_many_changes) { expect_clean("day", 0, -1, 1227, 1); }

// Two members of a set that had grown to five left at once, since no node could replace them, while a third was lost.
TEST(ControlPlane, leaving_members_of_a_grown_set_are_removed_first) { expect_clean("day", 0, -1, 20279, 1); }
// A spare was admitted just after a member had gone down: the set then needed three of four, and the next loss left
// two.
TEST(ControlPlane, a_set_does_not_grow_while_a_member_is_down) { expect_clean("restarts_in_storm", 0, -1, 10222, 1); }
// Two successors made a set of three grow to five. It did not shrink after the two leaving members had gone, so that
// the next loss left two of five.
TEST(ControlPlane, a_set_that_grew_for_successors_shrinks_again) {
  for (std::uint64_t const seed : {5075, 5201}) expect_clean("day", 0, -1, seed, 1);
}

TEST(ControlPlane, a_seed_reproduces_its_run) {
  mute_log(true);
  Scenario const* const day = scenario_of("day");
  ASSERT_NE(day, nullptr);
  Report const one = day->run(ScenarioPlan{5, 0, -1});
  Report const two = day->run(ScenarioPlan{5, 0, -1});
  EXPECT_EQ(one.frames, two.frames);
  EXPECT_EQ(one.frame_bytes, two.frame_bytes);
  EXPECT_EQ(one.confirmations, two.confirmations);
}

// More overlapping losses than are tolerated: changes and reads stop, but no acknowledged change is lost and no older
// value is returned.
TEST(ControlPlane, acknowledged_changes_survive_excess_losses_of_a_set_of_three) {
  expect_clean("overlapping", 3, -1, 1, 6);
}
TEST(ControlPlane, acknowledged_changes_survive_excess_losses_of_a_set_of_four) {
  expect_clean("overlapping", 4, -1, 1, 6);
}
TEST(ControlPlane, acknowledged_changes_survive_excess_losses_of_a_set_of_eight) {
  expect_clean("overlapping", 8, -1, 1, 14);
}
TEST(ControlPlane, a_member_admitted_while_down_does_not_delay_recovery) { expect_clean("overlapping", 8, -1, 43, 1); }
TEST(ControlPlane, a_member_without_data_reads_the_register_from_all_members) {
  expect_clean("overlapping", 8, -1, 382, 1);
}
TEST(ControlPlane, safety_holds_while_replicas_are_split_in_two_halves) {
  for (std::size_t const disks : {3u, 4u, 8u}) expect_clean("halves", disks, -1, 1, 3);
}

// Ends of workers: once one is acknowledged, no machine in touch goes on sending requests to the worker, and a fleet
// without trouble acknowledges each one in time.
TEST(ControlPlane, an_acknowledged_end_binds_all_machines_while_some_are_cut_off) {
  expect_clean("worker_ends", 0, 1, 1, 3);
}
TEST(ControlPlane, an_acknowledged_end_binds_all_machines_while_some_are_restarted) {
  for (int const variant : {0, 2}) expect_clean("worker_ends", 0, variant, 1, 3);
}
// A machine that was restarted while it was cut off took itself for a majority and acknowledged alone.
TEST(ControlPlane, an_acknowledged_end_binds_all_machines_while_some_are_restarted_and_cut_off) {
  for (std::uint64_t const seed : {4, 6}) expect_clean("worker_ends", 0, 3, seed, 1);
  expect_clean("worker_ends", 0, -1, 1, 3);
}
// A restarted machine used the stamps of its former life again, so peers took its new entry for one that they had.
TEST(ControlPlane, an_acknowledged_end_binds_all_machines_when_it_is_reported_to_a_restarted_one) {
  for (std::uint64_t const seed : {15, 22, 27}) expect_clean("worker_ends", 0, 2, seed, 1);
}
// A worker that had deregistered was brought back by a heartbeat that came late, if its numbers rose in large steps.
TEST(ControlPlane, an_acknowledged_end_is_not_revoked_by_a_late_heartbeat) {
  for (int const variant : {0, 1, 2, 3}) expect_clean("late_heartbeats", 0, variant, 1, 2);
  expect_clean("late_heartbeats_in_a_large_fleet", 0, -1, 1, 1);
}
// Peers acknowledged an entry that they had rejected for a newer one, so a restarted machine took it for replicated.
TEST(ControlPlane, an_acknowledged_end_binds_all_machines_of_a_large_fleet) {
  for (std::uint64_t const seed : {2, 27}) expect_clean("worker_ends_in_a_large_fleet", 0, 2, seed, 1);
}

}  // namespace pipit::control_plane_simulator
