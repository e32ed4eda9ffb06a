// Operators' orders at whole nodes under virtual time: what a node answers for an order that it handed on, and after it
// was started again (docs/control.md, points 1 and 2).
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/events.h"
#include "testing/control_plane_simulator/node_view.h"
#include "testing/control_plane_simulator/world.h"

namespace pipit::control_plane_simulator {

namespace {
constexpr std::uint64_t first_order = 1;
constexpr MachineId plain_machine = 3;  // the first one without a disk

// A fleet of three machines with disks and three without, its first configuration (label 1) in force.
class OrdersAtNodes : public ::testing::Test {
 protected:
  void start(std::uint64_t seed) {
    mute_log(true);
    WorldPlan plan;
    plan.seed = seed;
    world.emplace(plan);
    answers.clear();
    world->on_reply = [this](Machine&, ChangeReply const& reply) { answers[reply.id] = reply.outcome; };
    world->boot_all(true);
    world->run_until(seconds(8));
    send(first_order, plain_machine, replace_change(0, 1, text_of("first")));
    world->run(seconds(2));
    ASSERT_EQ(answers[first_order].type, Outcome::Type::chosen);
  }

  static std::string text_of(std::string const& name) {
    return R"({"format":1,"pools":[{"name":")" + name + R"(","model":"m"}],"lanes":[]})";
  }

  void send(std::uint64_t id, MachineId machine, Change const& change) {
    world->enter(machine, world->machine(machine).process,
                 [id, change](Node& node, Micros now, NodeEffects& out) { node.submit_change(id, change, now, out); });
  }

  void restart(MachineId machine) {
    world->kill(machine);
    world->boot(machine);
  }

  std::uint64_t label_at(MachineId machine) { return in_force_at(*world->machine(machine).node).label; }

  std::optional<World> world;
  std::map<std::uint64_t, Outcome> answers;
};

wire::PrepareT first_prepare_of(std::string const& name, std::uint64_t incarnation) {
  NodePlan plan;
  plan.name = name;
  plan.incarnation = incarnation;
  plan.random_seed = incarnation ^ hash_text(name);  // as the shells have it
  Node node(plan, 0, std::nullopt);
  Membership members;
  members.epoch = 1;
  wire::ReplicaT replica;
  replica.name = "k";
  replica.disk = 1;
  members.replicas.push_back(replica);
  node.proposer.adopt_membership(members);
  EXPECT_TRUE(node.proposer.submit(
      read_change(), [](Outcome const&) {}, 0));
  std::vector<OutgoingMessage> outgoing;
  node.proposer.tick(0, outgoing);
  return outgoing.empty() ? wire::PrepareT() : *outgoing.front().body.AsPrepare();
}
}  // namespace

// Two proposers of one owner could write two values at one ballot (the checker's world same-chance).
TEST(Lives, no_two_nodes_and_no_two_lives_share_ballots_or_request_numbers) {
  wire::PrepareT const one = first_prepare_of("a", 1000);
  wire::PrepareT const other_node = first_prepare_of("b", 1000);
  wire::PrepareT const other_incarnation = first_prepare_of("a", 1001);
  EXPECT_NE(one.ballot.who(), other_node.ballot.who());
  EXPECT_NE(one.ballot.who(), other_incarnation.ballot.who());
  EXPECT_NE(other_node.ballot.who(), other_incarnation.ballot.who());
  EXPECT_NE(one.request_id, other_node.request_id);
  EXPECT_NE(one.request_id, other_incarnation.request_id);
}

// The replica took the order, its answer was lost, and then the node lost the quorum.
TEST_F(OrdersAtNodes, a_handed_order_without_an_answer_ends_as_unclear) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    start(seed);
    send(2, plain_machine, replace_change(1, 2, text_of("second")));
    world->run(millis(1));
    world->isolate({plain_machine}, CutKind::silent, CutWay::both);
    world->run(seconds(5));
    ASSERT_EQ(label_at(0), 2u) << "it was taken";
    ASSERT_TRUE(answers.count(2)) << seed;
    EXPECT_EQ(answers[2].type, Outcome::Type::unknown) << seed;
    EXPECT_EQ(answers[2].error.code, ErrorCode::change_unknown) << seed;
  }
}

// An order of a former incarnation is taken late; its answer must not pass for that of the order which this incarnation
// handed on.
TEST_F(OrdersAtNodes, an_answer_to_a_former_life_answers_nothing) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    start(seed);
    restart(plain_machine);
    world->run(seconds(6));
    for (MachineId const replica : world->replicas()) world->stall_disk(replica, millis(1500));
    send(2, plain_machine, replace_change(1, 2, text_of("of the former life")));
    world->run(millis(20));
    restart(plain_machine);
    world->run(millis(900));
    send(3, plain_machine, replace_change(1, 3, text_of("of this life")));
    world->run(seconds(6));
    ASSERT_EQ(label_at(0), 2u) << "the former one was taken, seed " << seed;
    ASSERT_TRUE(answers.count(3)) << seed;
    EXPECT_NE(answers[3].type, Outcome::Type::chosen) << "confirmed and not in force, seed " << seed;
  }
}

}  // namespace pipit::control_plane_simulator
