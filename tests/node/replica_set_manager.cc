// The changes of replicas and router nodes that the holder of the lease proposes (src/node/replica_set_manager.h).
#include "node/replica_set_manager.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/node/replica_fixture.h"

namespace pipit {

namespace {
constexpr Micros settled =
    seconds(60);  // long after the node's start, so that a replica without answers counts as lost

// The node "a" holds a copy; the set is a, b and c on disks 1, 2 and 3, and all of them answered at 'settled'.
struct ManagerFixture : ReplicaFixture {
  ManagerFixture() {
    wire::RecordT record;
    record.disk = 1;
    record.formed = true;
    acceptor.emplace(std::move(record));
    set = {replica_on_disk("a", 1), replica_on_disk("b", 2), replica_on_disk("c", 3)};
    choose_set(set, 0);
    add_peer("b");
    add_peer("c");
    learner.confirmed_at = settled;
    observe_set(settled);
  }

  void observe_set(Micros at) {
    for (wire::ReplicaT const& replica : set) observe(replica.name, replica.disk, at);
  }

  // Lets these replicas grant the lease at 'now'.
  void grant_lease(std::vector<wire::ReplicaT> const& grantors, Micros now) {
    std::vector<OutgoingMessage> outgoing;
    manager.renew_lease(now, outgoing);
    ASSERT_FALSE(outgoing.empty());
    for (wire::ReplicaT const& grantor : grantors) {
      wire::LeaseReplyT reply;
      reply.request_id = outgoing.front().body.AsLeaseRequest()->request_id;
      reply.role = outgoing.front().body.AsLeaseRequest()->role;
      reply.ok = true;
      reply.disk = grantor.disk;
      manager.handle_lease_reply(grantor.name, reply, now);
    }
  }

  std::vector<wire::ReplicaT> set;
  ReplicaSetManager manager{
      plan,     mesh,      learner,
      acceptor, directory, {[this] { return leaving; }, [this] { return retiring; }, [this] { return poll_interval; }},
      0,        1};
};

wire::ValueT value_with_router(wire::ValueT value, std::string const& name, std::uint64_t incarnation) {
  ++value.revision;
  wire::RouterRegistrationT registration;
  registration.name = name;
  registration.incarnation = incarnation;
  value.registrations.push_back(std::make_unique<wire::RouterRegistrationT>(registration));
  return value;
}
}  // namespace

TEST(ReplicaSetManager, healthy_set_needs_no_change) {
  ManagerFixture fixture;
  fixture.grant_lease(fixture.set, settled);
  EXPECT_FALSE(fixture.manager.next_change(settled).has_value());
}

TEST(ReplicaSetManager, members_are_not_changed_without_a_majority_of_lease_grants) {
  ManagerFixture fixture;
  fixture.observe("c", 33, settled);  // it returned with another disk
  fixture.grant_lease({fixture.set[0]}, settled);
  EXPECT_FALSE(fixture.manager.next_change(settled).has_value());
}

TEST(ReplicaSetManager, no_lease_is_requested_without_a_copy_or_while_leaving) {
  ManagerFixture fixture;
  std::vector<OutgoingMessage> outgoing;
  fixture.leaving = true;
  fixture.manager.renew_lease(settled, outgoing);
  EXPECT_TRUE(outgoing.empty());
  fixture.leaving = false;
  wire::RecordT blank;
  blank.disk = 1;
  fixture.acceptor.emplace(std::move(blank));
  fixture.manager.renew_lease(settled, outgoing);
  EXPECT_TRUE(outgoing.empty());
}

TEST(ReplicaSetManager, lost_replica_is_replaced_by_a_spare_one) {
  ManagerFixture fixture;
  fixture.add_peer("d");
  fixture.observe("d", 4, settled);
  fixture.observe("c", 3, settled - seconds(3));
  fixture.grant_lease(fixture.set, settled);
  std::optional<Change> const change = fixture.manager.next_change(settled);
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->type, Change::Type::replace);
  EXPECT_EQ(change->replaced_replica.name, "c");
  EXPECT_EQ(change->replica.name, "d");
  EXPECT_EQ(change->replica.address, "host-d");
  EXPECT_EQ(change->expected, 1u);
  // At most one change is in flight.
  EXPECT_FALSE(fixture.manager.next_change(settled).has_value());
  fixture.manager.finish_change();
  EXPECT_TRUE(fixture.manager.next_change(settled).has_value());
}

TEST(ReplicaSetManager, no_replica_is_replaced_without_a_majority_of_the_next_set) {
  ManagerFixture fixture;
  fixture.add_peer("d");
  fixture.observe("d", 4, settled - seconds(1));
  fixture.observe("c", 3, settled - seconds(3));
  fixture.observe("b", 2,
                  settled - seconds(2));  // too old to count as an answer, too recent for the replica to be lost
  fixture.observe("a", 1, settled - seconds(2));
  fixture.grant_lease(fixture.set, settled);
  EXPECT_FALSE(fixture.manager.next_change(settled).has_value());
}

TEST(ReplicaSetManager, set_grows_to_an_odd_size_when_all_members_answer) {
  ManagerFixture fixture;
  fixture.add_peer("d");
  fixture.observe("d", 4, settled);
  fixture.grant_lease(fixture.set, settled);
  EXPECT_FALSE(
      fixture.manager.next_change(settled).has_value());  // a set of four tolerates no more losses than one of three
  fixture.add_peer("e");
  fixture.observe("c", 3, settled - millis(800));  // it did not answer the last poll
  EXPECT_FALSE(fixture.manager.next_change(settled).has_value());
  fixture.observe_set(settled);
  std::optional<Change> const change = fixture.manager.next_change(settled);
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->type, Change::Type::admit);
  EXPECT_EQ(change->replica.name, "d");
}

TEST(ReplicaSetManager, lost_member_of_an_oversized_set_is_dismissed) {
  ManagerFixture fixture;
  fixture.set.push_back(replica_on_disk("d", 4));
  fixture.choose_set(fixture.set, 0);
  fixture.observe_set(settled);
  EXPECT_FALSE(fixture.manager.lacks_replacement(settled));
  fixture.add_peer("d", MemberState::leaving);
  fixture.grant_lease(fixture.set, settled);
  std::optional<Change> const change = fixture.manager.next_change(settled);
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->type, Change::Type::dismiss);
  EXPECT_EQ(change->replica.name, "d");
}

TEST(ReplicaSetManager, replacement_is_lacking_until_a_spare_replica_answers) {
  ManagerFixture fixture;
  EXPECT_TRUE(fixture.manager.lacks_replacement(settled));
  fixture.observe("d", 4, settled);
  EXPECT_FALSE(fixture.manager.lacks_replacement(settled));
  EXPECT_TRUE(fixture.manager.lacks_replacement(settled + seconds(2)));
}

TEST(ReplicaSetManager, router_whose_address_refuses_dials_for_long_is_evicted) {
  ManagerFixture fixture;
  fixture.learner.adopt(value_with_router(*fixture.learner.value, "r", 5), 0);
  Peer& router = fixture.add_peer("r", MemberState::down, 0);
  router.member.replica = false;
  router.member.incarnation = 5;
  router.set_dial_refused(true, settled - seconds(20));
  fixture.grant_lease(fixture.set, settled);
  EXPECT_FALSE(fixture.manager.next_change(settled).has_value());
  std::optional<Change> const change = fixture.manager.next_change(settled + 1);
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->type, Change::Type::evict_router);
  EXPECT_EQ(change->registration.name, "r");
  fixture.manager.finish_change();
  router.member.incarnation = 6;  // a later incarnation is known
  EXPECT_FALSE(fixture.manager.next_change(settled + 1).has_value());
}

TEST(ReplicaSetManager, differing_copies_are_repaired_once_per_interval) {
  ManagerFixture fixture;
  fixture.learner.replicas_differ = true;
  fixture.grant_lease(fixture.set, settled);
  std::optional<Change> const change = fixture.manager.next_change(settled);
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->type, Change::Type::read);
  fixture.manager.finish_change();
  EXPECT_FALSE(fixture.manager.next_change(settled + 1).has_value());
}

TEST(ReplicaSetManager, proposing_replica_reads_without_a_lease_when_no_ballot_has_a_majority) {
  ManagerFixture fixture;
  EXPECT_FALSE(fixture.manager.next_change(settled + millis(1500)).has_value());
  std::optional<Change> const change = fixture.manager.next_change(settled + millis(1500) + 1);
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->type, Change::Type::read);
  fixture.manager.finish_change();
  fixture.leaving = true;
  EXPECT_FALSE(fixture.manager.next_change(settled + seconds(30)).has_value());
}

}  // namespace pipit
