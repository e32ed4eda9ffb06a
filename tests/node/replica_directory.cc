// A node's view of the replicas that it knows (src/node/replica_directory.h).
#include "node/replica_directory.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/node/replica_fixture.h"

namespace pipit {

TEST(ReplicaDirectory, connected_replicas_include_this_node) {
  ReplicaFixture fixture;
  fixture.add_peer("c");
  fixture.add_peer("b", MemberState::alive, 0);
  fixture.add_peer("router").member.replica = false;
  fixture.add_peer("store").member.role = static_cast<std::uint8_t>(MemberRole::config_store);
  EXPECT_EQ(fixture.directory.connected_replicas(), (std::vector<std::string>{"a", "c", "store"}));
  fixture.acceptor.reset();
  EXPECT_EQ(fixture.directory.connected_replicas(), (std::vector<std::string>{"c", "store"}));
}

TEST(ReplicaDirectory, address_of_an_unknown_node_is_empty) {
  ReplicaFixture fixture;
  fixture.add_peer("b");
  EXPECT_EQ(fixture.directory.address_of("b"), "host-b");
  EXPECT_EQ(fixture.directory.address_of("unknown"), "");
}

TEST(ReplicaDirectory, disk_without_a_recent_answer_is_not_returned) {
  ReplicaFixture fixture;
  fixture.observe("b", 7, seconds(10));
  EXPECT_EQ(fixture.directory.recent_disk("b", seconds(2), seconds(12) - 1), std::optional<std::uint64_t>(7));
  EXPECT_EQ(fixture.directory.recent_disk("b", seconds(2), seconds(12)), std::nullopt);
  EXPECT_EQ(fixture.directory.recent_disk("unknown", seconds(2), 0), std::nullopt);
}

TEST(ReplicaDirectory, leaving_and_retiring_replicas_are_leaving) {
  ReplicaFixture fixture;
  fixture.add_peer("b");
  EXPECT_FALSE(fixture.directory.is_leaving("b"));
  fixture.observe("b", 2, 0).retiring = true;
  EXPECT_TRUE(fixture.directory.is_leaving("b"));
  fixture.add_peer("c", MemberState::leaving);
  EXPECT_TRUE(fixture.directory.is_leaving("c"));
  EXPECT_FALSE(fixture.directory.is_leaving("a"));
  fixture.retiring = true;
  EXPECT_TRUE(fixture.directory.is_leaving("a"));
}

TEST(ReplicaDirectory, replica_is_reachable_only_on_its_own_disk) {
  ReplicaFixture fixture;
  EXPECT_TRUE(fixture.directory.is_reachable(replica_on_disk("a", 1)));
  EXPECT_FALSE(fixture.directory.is_reachable(replica_on_disk("a", 5)));
  fixture.add_peer("b");
  EXPECT_TRUE(fixture.directory.is_reachable(replica_on_disk("b", 2)));  // no answer from another disk was seen
  fixture.observe("b", 3, 0);
  EXPECT_FALSE(fixture.directory.is_reachable(replica_on_disk("b", 2)));
  fixture.add_peer("c", MemberState::suspected);
  EXPECT_FALSE(fixture.directory.is_reachable(replica_on_disk("c", 3)));
  fixture.leaving = true;
  EXPECT_FALSE(fixture.directory.is_reachable(replica_on_disk("a", 1)));
}

TEST(ReplicaDirectory, majority_counts_only_answers_from_the_disks_of_the_set) {
  ReplicaFixture fixture;
  std::vector<wire::ReplicaT> const set = {replica_on_disk("a", 1), replica_on_disk("b", 2), replica_on_disk("c", 3)};
  fixture.observe("a", 1, seconds(9));
  fixture.observe("b", 8, seconds(9));
  EXPECT_FALSE(fixture.directory.majority_answered(set, seconds(2), seconds(10)));
  fixture.observe("b", 2, seconds(9));
  EXPECT_TRUE(fixture.directory.majority_answered(set, seconds(2), seconds(10)));
  EXPECT_FALSE(fixture.directory.majority_answered(set, seconds(2), seconds(11)));
}

TEST(ReplicaDirectory, all_members_answered_requires_every_member_within_one_poll) {
  ReplicaFixture fixture;
  fixture.choose_set({replica_on_disk("a", 1), replica_on_disk("b", 2)}, 0);
  fixture.observe("a", 1, seconds(10));
  EXPECT_FALSE(fixture.directory.all_members_answered(seconds(10)));
  fixture.observe("b", 2, seconds(10));
  EXPECT_TRUE(fixture.directory.all_members_answered(seconds(10) + millis(799)));
  EXPECT_FALSE(fixture.directory.all_members_answered(seconds(10) + millis(800)));
}

TEST(ReplicaDirectory, quorum_contact_requires_recent_answers_and_connections) {
  ReplicaFixture fixture;
  std::vector<wire::ReplicaT> const set = {replica_on_disk("a", 1), replica_on_disk("b", 2), replica_on_disk("c", 3)};
  fixture.choose_set(set, 0);
  fixture.add_peer("b");
  EXPECT_FALSE(fixture.directory.has_quorum_contact(0));  // never polled
  fixture.poll_answered_by({set[0], set[1]}, seconds(5));
  EXPECT_TRUE(fixture.directory.has_quorum_contact(seconds(5) + millis(1300)));
  EXPECT_FALSE(fixture.directory.has_quorum_contact(seconds(5) + millis(1300) + 1));
  fixture.add_peer("b", MemberState::alive, 0);
  EXPECT_FALSE(fixture.directory.has_quorum_contact(seconds(5)));
}

TEST(ReplicaDirectory, first_reachable_replica_by_name_proposes) {
  ReplicaFixture fixture;
  EXPECT_EQ(fixture.directory.proposing_replica(), "");
  fixture.choose_set({replica_on_disk("c", 3), replica_on_disk("b", 2), replica_on_disk("a", 1)}, 0);
  fixture.add_peer("b");
  fixture.add_peer("c");
  EXPECT_EQ(fixture.directory.proposing_replica(), "a");
  fixture.leaving = true;
  EXPECT_EQ(fixture.directory.proposing_replica(), "b");
  fixture.add_peer("b", MemberState::down);
  EXPECT_EQ(fixture.directory.proposing_replica(), "c");
}

}  // namespace pipit
