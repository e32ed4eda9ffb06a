// When a node offers the register's first set, and to whom (src/node/register_bootstrap.h).
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

  // Whom a proposal goes to, and with how many replicas the first one names.
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

std::vector<std::string> const nobody;
std::vector<std::string> const all_three = {"a", "b", "c"};
}  // namespace

TEST(RegisterBootstrap, OffersTheSetOnceAllAnswerFromBlankDisks) {
  BootstrapFixture fixture;
  fixture.observe("a", 1, 0);
  fixture.observe("b", 2, 0);
  EXPECT_EQ(fixture.receivers(0), nobody);
  fixture.observe("c", 3, 0);
  EXPECT_EQ(fixture.receivers(0), all_three);
  EXPECT_EQ(fixture.receivers(seconds(2)), all_three);
  EXPECT_EQ(fixture.receivers(seconds(2) + 1), nobody);  // the answers are too old
}

TEST(RegisterBootstrap, OffersNothingWhileAMemberHoldsACopy) {
  BootstrapFixture fixture;
  fixture.observe_blank(0);
  fixture.observe("b", 2, 0).formed = true;
  EXPECT_EQ(fixture.receivers(0), nobody);
}

TEST(RegisterBootstrap, OffersNothingWhenItsOwnReplicaHoldsACopy) {
  BootstrapFixture fixture;
  fixture.observe_blank(0);
  wire::RecordT record;
  record.disk = 1;
  record.formed = true;
  fixture.acceptor.emplace(std::move(record));
  EXPECT_EQ(fixture.receivers(0), nobody);
  fixture.acceptor.reset();
  EXPECT_EQ(fixture.receivers(0), nobody);
}

TEST(RegisterBootstrap, ALaterMemberWaitsItsTurn) {
  BootstrapFixture fixture;
  fixture.plan.initial_members = {"a", "0first"};
  fixture.observe("0first", 2, 0);
  fixture.observe("a", 1, 0);
  EXPECT_EQ(fixture.receivers(seconds(1) - 1), nobody);
  EXPECT_EQ(fixture.receivers(seconds(1)), (std::vector<std::string>{"0first", "a"}));
}

TEST(RegisterBootstrap, AfterARestartOnlyMarkedDisksCount) {
  BootstrapFixture fixture(true);
  fixture.add_peer("b");
  fixture.add_peer("c");
  wire::RecordT record;
  record.disk = 1;
  record.bootstrap_seeds = fixture.plan.bootstrap_seeds;
  fixture.acceptor.emplace(std::move(record));
  fixture.bootstrap.mark_awaiting_bootstrap(fixture.acceptor);
  fixture.observe_blank(0);
  EXPECT_EQ(fixture.receivers(0), nobody);
  for (std::string const& name : all_three) fixture.learner.observations[name].awaits_bootstrap = true;
  EXPECT_EQ(fixture.receivers(0), all_three);
}

TEST(RegisterBootstrap, MarksTheBlankDiskOfAnInitialMember) {
  BootstrapFixture fixture(true);
  fixture.bootstrap.mark_awaiting_bootstrap(fixture.acceptor);
  std::vector<OutgoingMessage> outgoing;
  std::optional<wire::RecordT> const record = fixture.acceptor->step(outgoing);
  ASSERT_TRUE(record.has_value());
  EXPECT_EQ(record->bootstrap_seeds, fixture.plan.bootstrap_seeds);
}

TEST(RegisterBootstrap, LeavesOutALostSeedOnlyAfterAWhile) {
  BootstrapFixture fixture(true);
  fixture.add_peer("b");
  fixture.add_peer("c", MemberState::down, 0);
  fixture.observe("a", 1, seconds(5));
  fixture.observe("b", 2, seconds(5));
  EXPECT_EQ(fixture.receivers(seconds(5)), nobody);
  EXPECT_EQ(fixture.receivers(seconds(5) + 1), (std::vector<std::string>{"a", "b"}));
}

}  // namespace pipit
