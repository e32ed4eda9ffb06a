// Quota requests between a node's dispatcher, its quota client and its own part of the limits. Without sockets.
#include "node/quota_authority.h"

#include <gtest/gtest.h>

namespace pipit {

namespace {
constexpr Micros lease_duration = seconds(3);
constexpr Micros settled_at = seconds(100);  // long after the first replica set came into force

class QuotaAuthorityTest : public testing::Test {
 protected:
  QuotaAuthorityTest()
      : mesh(MeshSettings{}, wire::MemberT(), 1),
        index_sync(1),
        registry("n1"),
        exchange("n1"),
        dispatcher("n1", "z", index_sync, registry, exchange),
        configuration({lease_duration, 0, lease_duration}, mesh, learner, rotation, [this] { return ++last_request; }),
        quota(options(), {mesh, learner, acceptor, configuration, rotation, dispatcher}) {
    std::shared_ptr<Description> const description = std::make_shared<Description>();
    description->keys_required = true;
    Tenant tenant;
    tenant.name = "t";
    tenant.unit = CountingUnit::requests;
    tenant.rate = 10;
    tenant.burst = 100;
    description->tenants.push_back(tenant);
    dispatcher.set_description(description);
  }

  static QuotaAuthorityOptions options() {
    QuotaAuthorityOptions out;
    out.self = "n1";
    out.fence = lease_duration;
    return out;
  }
  void connect(std::string const& name) {
    Peer& peer = mesh.members.peers[name];
    peer.member.name = name;
    peer.connection = mesh.members.peers.size();
  }
  // Puts a replica set in force, and confirms the configuration as of 'settled_at'.
  void set_replicas(std::vector<std::string> const& names) {
    Membership members;
    members.epoch = 1;
    for (std::string const& name : names) {
      members.replicas.emplace_back();
      members.replicas.back().name = name;
      members.replicas.back().disk = members.replicas.size();
    }
    wire::ValueT value;
    value.revision = 1;
    store_membership(members, value);
    ASSERT_TRUE(learner.adopt(value, 0));
    std::vector<OutgoingMessage> outgoing;
    quota.tick(0, outgoing);
    learner.confirmed_at = settled_at;
  }
  static wire::QuotaRequestT request(QuotaPurpose purpose, std::int64_t count) {
    wire::QuotaRequestT out;
    out.request_id = 4;
    out.tenant = "t";
    out.count = count;
    out.hops = 1;
    out.purpose = static_cast<std::uint8_t>(purpose);
    return out;
  }
  std::vector<OutgoingMessage> handle_request(wire::QuotaRequestT const& body, Micros now) {
    std::vector<OutgoingMessage> outgoing;
    quota.handle_request("n2", body, now, outgoing);
    return outgoing;
  }

  Mesh mesh;
  Learner learner;
  std::optional<Acceptor> acceptor;
  PeerRotation rotation;
  IndexSync index_sync;
  Registry registry;
  ReportExchange exchange;
  Dispatcher dispatcher;
  std::uint64_t last_request = 0;
  ConfigurationAuthority configuration;
  QuotaAuthority quota;
};
}  // namespace

TEST_F(QuotaAuthorityTest, request_at_a_node_that_is_not_an_owner_is_forwarded_once) {
  connect("n3");
  set_replicas({"n3"});
  std::vector<OutgoingMessage> const forwarded = handle_request(request(QuotaPurpose::ask, 1), settled_at);
  ASSERT_EQ(forwarded.size(), 1u);
  EXPECT_EQ(forwarded[0].to, "n3");
  ASSERT_EQ(forwarded[0].body.type, wire::Body::QuotaRequest);
  EXPECT_EQ(forwarded[0].body.AsQuotaRequest()->hops, 0);

  wire::QuotaRequestT last_hop = request(QuotaPurpose::ask, 1);
  last_hop.hops = 0;
  std::vector<OutgoingMessage> const refused = handle_request(last_hop, settled_at);
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].to, "n2");
  ASSERT_EQ(refused[0].body.type, wire::Body::QuotaReply);
  EXPECT_FALSE(refused[0].body.AsQuotaReply()->granted);
}

TEST_F(QuotaAuthorityTest, owner_grants_only_while_the_configuration_is_confirmed) {
  set_replicas({"n1"});
  // The bucket is created empty by the first request.
  handle_request(request(QuotaPurpose::ask, 1), settled_at);
  Micros const filled_at = settled_at + seconds(1);
  std::vector<OutgoingMessage> const granted = handle_request(request(QuotaPurpose::ask, 1), filled_at);
  ASSERT_EQ(granted.size(), 1u);
  ASSERT_EQ(granted[0].body.type, wire::Body::QuotaReply);
  EXPECT_EQ(granted[0].body.AsQuotaReply()->request_id, 4u);
  EXPECT_TRUE(granted[0].body.AsQuotaReply()->granted);

  std::vector<OutgoingMessage> const refused =
      handle_request(request(QuotaPurpose::ask, 1), settled_at + lease_duration + 1);
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_FALSE(refused[0].body.AsQuotaReply()->granted);
}

TEST_F(QuotaAuthorityTest, debits_and_returns_get_no_reply) {
  set_replicas({"n1"});
  EXPECT_TRUE(handle_request(request(QuotaPurpose::debit, 1), settled_at).empty());
  EXPECT_TRUE(handle_request(request(QuotaPurpose::give_back, 1), settled_at).empty());
}

TEST_F(QuotaAuthorityTest, reply_for_another_node_is_forwarded) {
  wire::QuotaReplyT reply;
  reply.origin = "n5";
  reply.granted = true;
  std::vector<OutgoingMessage> outgoing;
  quota.handle_reply("n3", reply, 0, outgoing);
  ASSERT_EQ(outgoing.size(), 1u);
  EXPECT_EQ(outgoing[0].to, "n5");
  EXPECT_TRUE(outgoing[0].body.AsQuotaReply()->granted);
}

TEST_F(QuotaAuthorityTest, quota_need_of_the_dispatcher_is_requested_once) {
  connect("n3");
  set_replicas({"n3"});
  DispatchEffects effects;
  effects.quota_claims.push_back(QuotaClaim{1, "t", 1, settled_at + seconds(1), false});
  std::vector<OutgoingMessage> outgoing;
  quota.process_dispatch_effects(effects, settled_at, outgoing);
  ASSERT_EQ(outgoing.size(), 1u);
  EXPECT_EQ(outgoing[0].to, "n3");
  EXPECT_EQ(outgoing[0].body.AsQuotaRequest()->purpose, static_cast<std::uint8_t>(QuotaPurpose::ask));
  EXPECT_EQ(quota.client().waiting(), 1u);
  outgoing.clear();
  quota.process_dispatch_effects(effects, settled_at, outgoing);
  EXPECT_TRUE(outgoing.empty());
  EXPECT_TRUE(effects.quota_claims.empty());
}

}  // namespace pipit
