// When a node proposes the register's initial set of replicas, and to which nodes (src/node/register_bootstrap.h).
#include "node/register_bootstrap.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/node/replica_fixture.h"

namespace pipit {

namespace {
struct BootstrapFixture : ReplicaFixture {
  explicit BootstrapFixture(bool registered = false) : ReplicaFixture(registered) {
    if (registered)
      plan.bootstrap_seeds = {"host-a", "host-b", "host-c"};
    else
      plan.initial_members = {"c", "b", "a"};
  }

  void observe_blank(Micros at) {
    observe("a", 1, at);
    observe("b", 2, at);
    observe("c", 3, at);
  }

  // The receivers of the proposal at 'now'; each of them is a member of the proposed set.
  std::vector<std::string> receivers(Micros now) {
    std::vector<OutgoingMessage> outgoing;
    bootstrap.propose_initial_membership(now, outgoing);
    std::vector<std::string> out;
    for (OutgoingMessage& message : outgoing) {
      EXPECT_EQ(message.body.AsBootstrap()->replicas.size(), outgoing.size());
      out.push_back(message.to);
    }
    return out;
  }

  RegisterBootstrap bootstrap{plan, mesh, learner, acceptor, directory, 0};
};

std::vector<std::string> const no_receivers;
std::vector<std::string> const all_three = {"a", "b", "c"};
}  // namespace

TEST(RegisterBootstrap, initial_set_is_proposed_once_all_members_answer_from_blank_disks) {
  BootstrapFixture fixture;
  fixture.observe("a", 1, 0);
  fixture.observe("b", 2, 0);
  EXPECT_EQ(fixture.receivers(0), no_receivers);
  fixture.observe("c", 3, 0);
  EXPECT_EQ(fixture.receivers(0), all_three);
  EXPECT_EQ(fixture.receivers(seconds(2)), all_three);
  EXPECT_EQ(fixture.receivers(seconds(2) + 1), no_receivers);  // the answers are too old
}

TEST(RegisterBootstrap, no_set_is_proposed_while_a_member_holds_a_copy) {
  BootstrapFixture fixture;
  fixture.observe_blank(0);
  fixture.observe("b", 2, 0).formed = true;
  EXPECT_EQ(fixture.receivers(0), no_receivers);
}

TEST(RegisterBootstrap, no_set_is_proposed_by_a_node_that_holds_a_copy_or_has_no_replica) {
  BootstrapFixture fixture;
  fixture.observe_blank(0);
  wire::RecordT record;
  record.disk = 1;
  record.formed = true;
  fixture.acceptor.emplace(std::move(record));
  EXPECT_EQ(fixture.receivers(0), no_receivers);
  fixture.acceptor.reset();
  EXPECT_EQ(fixture.receivers(0), no_receivers);
}

TEST(RegisterBootstrap, later_member_waits_for_the_one_before_it) {
  BootstrapFixture fixture;
  fixture.plan.initial_members = {"a", "0first"};
  fixture.observe("0first", 2, 0);
  fixture.observe("a", 1, 0);
  EXPECT_EQ(fixture.receivers(seconds(1) - 1), no_receivers);
  EXPECT_EQ(fixture.receivers(seconds(1)), (std::vector<std::string>{"0first", "a"}));
}

TEST(RegisterBootstrap, after_a_restart_only_marked_disks_count_as_blank) {
  BootstrapFixture fixture(true);
  fixture.add_peer("b");
  fixture.add_peer("c");
  wire::RecordT record;
  record.disk = 1;
  record.bootstrap_seeds = fixture.plan.bootstrap_seeds;
  fixture.acceptor.emplace(std::move(record));
  fixture.bootstrap.mark_awaiting_bootstrap(fixture.acceptor);
  fixture.observe_blank(0);
  EXPECT_EQ(fixture.receivers(0), no_receivers);
  for (std::string const& name : all_three) fixture.learner.observations[name].awaits_bootstrap = true;
  EXPECT_EQ(fixture.receivers(0), all_three);
}

TEST(RegisterBootstrap, blank_disk_of_an_initial_member_is_marked) {
  BootstrapFixture fixture(true);
  fixture.bootstrap.mark_awaiting_bootstrap(fixture.acceptor);
  std::vector<OutgoingMessage> outgoing;
  std::optional<wire::RecordT> const record = fixture.acceptor->step(outgoing);
  ASSERT_TRUE(record.has_value());
  EXPECT_EQ(record->bootstrap_seeds, fixture.plan.bootstrap_seeds);
}

TEST(RegisterBootstrap, lost_seed_is_left_out_after_the_timeout) {
  BootstrapFixture fixture(true);
  fixture.add_peer("b");
  fixture.add_peer("c", MemberState::down, 0);
  fixture.observe("a", 1, seconds(5));
  fixture.observe("b", 2, seconds(5));
  EXPECT_EQ(fixture.receivers(seconds(5)), no_receivers);
  EXPECT_EQ(fixture.receivers(seconds(5) + 1), (std::vector<std::string>{"a", "b"}));
}

}  // namespace pipit
