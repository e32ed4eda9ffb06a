// Registration of a router node, and decisions that depend on the registrations of other nodes. Without sockets.
#include "node/router_registrations.h"

#include <gtest/gtest.h>

namespace pipit {

namespace {
constexpr std::uint64_t own_incarnation = 5;

wire::MemberT own_member() {
  wire::MemberT out;
  out.name = "n1";
  out.incarnation = own_incarnation;
  return out;
}

class RouterRegistrationsTest : public testing::Test {
 protected:
  RouterRegistrationsTest()
      : mesh(MeshSettings{}, own_member(), 1), registrations({"n1", "127.1.1.1:7000", true, true}, mesh, learner) {}

  static std::unique_ptr<wire::RouterRegistrationT> registration(std::string const& name, std::uint64_t incarnation) {
    std::unique_ptr<wire::RouterRegistrationT> out = std::make_unique<wire::RouterRegistrationT>();
    out->name = name;
    out->incarnation = incarnation;
    return out;
  }
  // Applies a register value in which these nodes are registered or evicted; true when the node's own registration
  // changed.
  bool apply(std::map<std::string, std::uint64_t> const& registered,
             std::map<std::string, std::uint64_t> const& evicted, Micros now) {
    wire::ValueT value;
    value.revision = ++revision;
    for (std::pair<std::string const, std::uint64_t> const& item : registered)
      value.registrations.push_back(registration(item.first, item.second));
    for (std::pair<std::string const, std::uint64_t> const& item : evicted)
      value.evicted.push_back(registration(item.first, item.second));
    EXPECT_TRUE(learner.adopt(value, now));
    ConnectionEffects out;
    return registrations.apply_register(now, out);
  }

  std::uint64_t revision = 0;
  Mesh mesh;
  Learner learner;
  RouterRegistrations registrations;
};
}  // namespace

TEST_F(RouterRegistrationsTest, one_registration_is_in_flight_at_a_time) {
  std::optional<Change> const first = registrations.next_registration(0);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->type, Change::Type::register_router);
  EXPECT_EQ(first->registration.name, "n1");
  EXPECT_EQ(first->registration.incarnation, own_incarnation);
  EXPECT_FALSE(registrations.next_registration(seconds(1)));
  registrations.finish_registration();
  EXPECT_TRUE(registrations.next_registration(seconds(1)));
  registrations.finish_registration();
  EXPECT_FALSE(registrations.next_registration(seconds(1) + millis(149))) << "two requests are one interval apart";
  EXPECT_TRUE(registrations.next_registration(seconds(1) + millis(150)));
}

TEST_F(RouterRegistrationsTest, node_is_a_newcomer_for_two_seconds) {
  EXPECT_FALSE(registrations.is_registered());
  EXPECT_FALSE(registrations.is_newcomer(0));
  EXPECT_TRUE(apply({{"n1", own_incarnation}}, {}, seconds(1)));
  EXPECT_TRUE(registrations.is_registered());
  EXPECT_TRUE(registrations.is_newcomer(seconds(3) - 1));
  EXPECT_FALSE(registrations.is_newcomer(seconds(3)));
  EXPECT_FALSE(apply({{"n1", own_incarnation}, {"n2", 1}}, {}, seconds(2))) << "its own registration did not change";
}

TEST_F(RouterRegistrationsTest, node_with_a_registered_earlier_incarnation_is_no_newcomer) {
  EXPECT_FALSE(apply({{"n1", own_incarnation - 1}}, {}, 0));
  EXPECT_FALSE(registrations.is_registered());
  EXPECT_TRUE(apply({{"n1", own_incarnation}}, {}, seconds(1)));
  EXPECT_FALSE(registrations.is_newcomer(seconds(1)));
}

TEST_F(RouterRegistrationsTest, incarnation_is_raised_above_a_higher_registered_one) {
  EXPECT_FALSE(apply({{"n1", own_incarnation + 3}}, {}, 0));
  EXPECT_EQ(mesh.members.self.incarnation, own_incarnation + 4);
  EXPECT_FALSE(registrations.is_registered());
}

TEST_F(RouterRegistrationsTest, evicted_node_registers_again_as_a_newcomer) {
  EXPECT_TRUE(apply({{"n1", own_incarnation}}, {}, 0));
  EXPECT_FALSE(registrations.is_evicted());
  EXPECT_TRUE(apply({}, {{"n1", own_incarnation}}, seconds(10)));
  EXPECT_TRUE(registrations.is_evicted());
  EXPECT_TRUE(apply({{"n1", own_incarnation}}, {}, seconds(20)));
  EXPECT_FALSE(registrations.is_evicted());
  EXPECT_TRUE(registrations.is_newcomer(seconds(20)));
}

TEST_F(RouterRegistrationsTest, no_registration_is_needed_where_workers_register_themselves) {
  RouterRegistrations const none({"n1", "127.1.1.1:7000", true, false}, mesh, learner);
  EXPECT_TRUE(none.is_registered());
  EXPECT_FALSE(none.is_newcomer(0));
}

TEST_F(RouterRegistrationsTest, drain_waits_until_the_registered_incarnation_is_known_to_have_left) {
  EXPECT_TRUE(registrations.must_confirm("n2")) << "an unknown node may be running";
  mesh.members.peers["n2"].member.name = "n2";
  mesh.members.peers["n2"].member.incarnation = 2;
  mesh.members.peers["n2"].dial_refused = true;
  EXPECT_FALSE(registrations.must_confirm("n2")) << "its address refuses connections";
  apply({{"n2", 3}}, {}, 0);
  mesh.members.peers["n2"].member.incarnation = 2;
  mesh.members.peers["n2"].dial_refused = true;
  EXPECT_TRUE(registrations.must_confirm("n2")) << "a later incarnation is registered";
  mesh.members.peers["n2"].member.incarnation = 3;
  EXPECT_FALSE(registrations.must_confirm("n2"));
}

TEST_F(RouterRegistrationsTest, only_a_registered_disconnected_node_can_be_evicted) {
  EXPECT_EQ(registrations.eviction_refusal("n1")->code, ErrorCode::node_alive);
  EXPECT_EQ(registrations.eviction_refusal("n2")->code, ErrorCode::unknown_node);
  apply({{"n2", 3}}, {}, 0);
  EXPECT_FALSE(registrations.eviction_refusal("n2"));
  mesh.members.peers["n2"].connection = 7;
  EXPECT_EQ(registrations.eviction_refusal("n2")->code, ErrorCode::node_alive);
}

}  // namespace pipit
