// Leases on the configuration: which peers a node queries, and what a reply confirms. Without sockets.
#include "node/configuration_authority.h"

#include <gtest/gtest.h>

namespace pipit {

namespace {
constexpr Micros quota_lease_duration = seconds(3);
constexpr Micros in_force_lease_duration = millis(2700);

class ConfigurationAuthorityTest : public testing::Test {
 protected:
  ConfigurationAuthorityTest()
      : ConfigurationAuthorityTest(ConfigurationLeaseDurations{quota_lease_duration, 0, quota_lease_duration}) {}
  explicit ConfigurationAuthorityTest(ConfigurationLeaseDurations const& durations)
      : mesh(MeshSettings{}, wire::MemberT(), 1),
        authority(durations, mesh, learner, rotation, [this] { return ++last_request; }) {}

  void connect(std::string const& name, bool replica) {
    Peer& peer = mesh.members.peers[name];
    peer.member.name = name;
    peer.member.replica = replica;
    peer.connection = mesh.members.peers.size();
  }
  void hold_revision(std::uint64_t revision) {
    wire::ValueT value;
    value.revision = revision;
    ASSERT_TRUE(learner.adopt(value, 0));
  }
  // The peers that the node queries at 'now'.
  std::vector<std::string> renew(Micros now, bool keys_required = true) {
    std::vector<OutgoingMessage> outgoing;
    authority.renew_leases(keys_required, now, outgoing);
    std::vector<std::string> names;
    for (OutgoingMessage const& message : outgoing) {
      EXPECT_EQ(message.body.type, wire::Body::NewestRequest);
      names.push_back(message.to);
    }
    return names;
  }
  void reply(std::uint64_t request_id, std::uint64_t revision, Micros age) {
    wire::NewestReplyT body;
    body.request_id = request_id;
    body.revision = revision;
    body.age = age;
    authority.handle_reply(body);
  }

  Mesh mesh;
  Learner learner;
  PeerRotation rotation;
  std::uint64_t last_request = 0;
  ConfigurationAuthority authority;
};
// With a lease for refusing paths that is shorter than the one for quota.
class InForceLeaseTest : public ConfigurationAuthorityTest {
 protected:
  InForceLeaseTest()
      : ConfigurationAuthorityTest(ConfigurationLeaseDurations{0, in_force_lease_duration, quota_lease_duration}) {}
};
}  // namespace

TEST_F(ConfigurationAuthorityTest, replica_poll_confirms_both_leases) {
  EXPECT_FALSE(authority.key_lease().valid(0));
  EXPECT_FALSE(authority.may_issue_quota(0));
  learner.confirmed_at = seconds(1);
  authority.update_confirmations();
  EXPECT_TRUE(authority.key_lease().valid(seconds(1) + quota_lease_duration));
  EXPECT_TRUE(authority.may_issue_quota(seconds(1) + quota_lease_duration));
  EXPECT_FALSE(authority.key_lease().valid(seconds(1) + quota_lease_duration + 1));
  EXPECT_FALSE(authority.may_issue_quota(seconds(1) + quota_lease_duration + 1));
}

TEST_F(ConfigurationAuthorityTest, replicas_are_queried_after_a_third_of_the_lease_and_others_after_half) {
  connect("n2", true);
  connect("n3", false);
  learner.confirmed_at = 0;
  EXPECT_TRUE(renew(seconds(1)).empty()) << "still in the first third of the lease";
  EXPECT_EQ(renew(seconds(1) + 1), std::vector<std::string>({"n2"}));
  EXPECT_TRUE(renew(seconds(1) + 2).empty()) << "two requests are one interval apart";
  EXPECT_EQ(renew(millis(1501)), std::vector<std::string>({"n2", "n3"}));
}

TEST_F(ConfigurationAuthorityTest, no_peer_is_queried_for_quota_when_keys_are_not_required) {
  connect("n2", true);
  EXPECT_TRUE(renew(seconds(1), false).empty());
}

// Without keys too, the lease for refusing paths must not end while a replica can be reached.
TEST_F(InForceLeaseTest, replicas_are_queried_without_keys_as_well) {
  connect("n2", true);
  connect("n3", false);
  learner.confirmed_at = 0;
  EXPECT_TRUE(renew(millis(900), false).empty()) << "still in the first third of the lease";
  EXPECT_EQ(renew(millis(901), false), std::vector<std::string>({"n2"}));
  EXPECT_EQ(renew(millis(1351), false), std::vector<std::string>({"n2", "n3"}));
}

TEST_F(ConfigurationAuthorityTest, requests_go_to_the_replicas_in_turn) {
  connect("n2", true);
  connect("n3", true);
  std::vector<std::string> const first = renew(0);
  std::vector<std::string> const second = renew(millis(300));
  ASSERT_EQ(first.size(), 1u);
  ASSERT_EQ(second.size(), 1u);
  EXPECT_NE(first[0], second[0]);
}

TEST_F(ConfigurationAuthorityTest, reply_confirms_as_of_the_request_time_minus_its_age) {
  hold_revision(5);
  connect("n2", true);
  ASSERT_EQ(renew(seconds(10)).size(), 1u);
  reply(last_request, 5, millis(200));
  EXPECT_EQ(authority.key_lease().confirmed_at(), seconds(10) - millis(200));
  EXPECT_EQ(authority.answer_request(9, seconds(10)).age, millis(200));
}

TEST_F(ConfigurationAuthorityTest, reply_without_a_request_or_an_age_confirms_nothing) {
  hold_revision(5);
  connect("n2", true);
  reply(77, 5, 0);
  ASSERT_EQ(renew(seconds(10)).size(), 1u);
  reply(last_request, 5, -1);
  EXPECT_EQ(authority.key_lease().confirmed_at(), -1);
  reply(last_request, 5, 0);
  EXPECT_EQ(authority.key_lease().confirmed_at(), -1) << "the request was answered already";
}

TEST_F(ConfigurationAuthorityTest, reply_with_a_newer_revision_confirms_once_that_revision_is_held) {
  hold_revision(5);
  connect("n2", true);
  ASSERT_EQ(renew(seconds(10)).size(), 1u);
  reply(last_request, 6, 0);
  EXPECT_EQ(authority.key_lease().confirmed_at(), -1);
  hold_revision(6);
  authority.update_confirmations();
  EXPECT_EQ(authority.key_lease().confirmed_at(), seconds(10));
}

}  // namespace pipit
