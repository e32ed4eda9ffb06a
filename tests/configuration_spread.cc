// How an acknowledged change reaches the nodes of a large fleet: complete nodes under virtual time, six zones with one
// replica each.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>

#include "base/events.h"
#include "mesh/frame.h"
#include "testing/control_plane_simulator/node_view.h"
#include "testing/control_plane_simulator/world.h"

namespace pipit {

namespace {
using control_plane_simulator::Machine;
using control_plane_simulator::MachineId;
using control_plane_simulator::replace_change;
using control_plane_simulator::World;
using control_plane_simulator::WorldPlan;

constexpr std::size_t zone_count = 6;
constexpr Micros configuration_bound = seconds(3);  // from the acknowledgement of a change until it is in force
constexpr Micros confirmation_bound = configuration_bound * 9 / 10;

// A fleet with one replica in each zone, in which changes are submitted and their acknowledgements are awaited.
class LargeFleet {
 public:
  LargeFleet(std::size_t nodes, std::uint64_t seed) : world(plan_of(nodes, seed)) {
    mute_log(true);
    world.on_plan = [](NodePlan& plan) { plan.in_force_bound = confirmation_bound; };
    world.on_reply = [this](Machine&, ChangeReply const& reply) {
      if (reply.outcome.type != Outcome::Type::chosen) return;
      last_path = reply.path;
      acknowledged = std::max(acknowledged, reply.id);
    };
    world.boot_all(true);
    world.run(seconds(8));
    EXPECT_TRUE(change(zone_count));
    world.run(seconds(6));
  }

  // Submits a change at a machine and runs the fleet until it is acknowledged, for at most the span of a proposal.
  bool change(MachineId at) {
    std::uint64_t const label = ++labels;
    std::string const text =
        R"({"format":1,"pools":[{"name":"pool-)" + std::to_string(label) + R"(","model":"m"}],"lanes":[]})";
    Change const submitted = replace_change(acknowledged, label, text);
    world.enter(at, world.machine(at).process, [label, submitted](Node& node, Micros now, NodeEffects& out) {
      node.submit_change(label, submitted, now, out);
    });
    Micros const end = world.now() + seconds(4);
    while (acknowledged < label && world.now() < end) world.run(millis(1));
    return acknowledged == label;
  }

  // Names of the nodes that run, are not frozen, and don't hold the newest acknowledged change.
  std::string nodes_without_newest() {
    std::string out;
    for (MachineId id = 0; id < world.size(); ++id) {
      Machine const& machine = world.machine(id);
      if (machine.calm() && machine.node->learner.serial() < acknowledged) out += machine.name + " ";
    }
    return out;
  }

  // The longest time for which a calm node's configuration has not been confirmed as the newest one.
  Micros oldest_confirmation() {
    Micros oldest = 0;
    for (MachineId id = 0; id < world.size(); ++id)
      if (world.machine(id).calm())
        world.enter(id, world.machine(id).process, [&oldest](Node& node, Micros now, NodeEffects&) {
          oldest = std::max(oldest, now - node.key_lease().confirmed_at());
        });
    return oldest;
  }

  World world;
  ChangePath last_path;  // of the last acknowledged change

 private:
  static WorldPlan plan_of(std::size_t nodes, std::uint64_t seed) {
    WorldPlan out;
    out.seed = seed;
    out.disks = zone_count;
    out.plain = nodes - zone_count;
    out.zones = zone_count;
    out.tolerated = 2;
    return out;
  }

  std::uint64_t acknowledged = 0;
  std::uint64_t labels = 0;
};
}  // namespace

// A configuration that was confirmed as the newest within the bound contains every change acknowledged before it.
TEST(ConfigurationSpread, calm_nodes_confirm_their_configuration_within_the_bound) {
  LargeFleet fleet(48, 3);
  Micros oldest = 0;
  for (int turn = 0; turn < 80; ++turn) {
    fleet.world.run(millis(100));
    oldest = std::max(oldest, fleet.oldest_confirmation());
  }
  for (MachineId id = 0; id < fleet.world.size(); ++id)
    ASSERT_TRUE(fleet.world.machine(id).node->is_ready()) << fleet.world.machine(id).name;
  EXPECT_LE(oldest, confirmation_bound);
}

// A replica that no longer answers forwards nothing, although the connection to it is still open.
TEST(ConfigurationSpread, zone_of_a_suspected_replica_is_sent_a_change_at_once) {
  constexpr MachineId proposer = 0;
  constexpr MachineId frozen = 1;
  LargeFleet fleet(48, 3);
  fleet.world.freeze(frozen, seconds(12));
  std::string const name = fleet.world.machine(frozen).name;
  std::function<bool()> const is_suspected = [&fleet, &name] {
    Peer const& peer = fleet.world.machine(proposer).node->mesh.members.peers.at(name);
    return peer.state() == MemberState::suspected && peer.connection != 0;
  };
  Micros const end = fleet.world.now() + seconds(6);
  while (!is_suspected() && fleet.world.now() < end) fleet.world.run(millis(1));
  ASSERT_TRUE(is_suspected());
  ASSERT_TRUE(fleet.change(proposer));
  fleet.world.run(millis(50));
  EXPECT_EQ(fleet.nodes_without_newest(), "");
}

// A caller goes on to the next node after a second of silence.
TEST(ConfigurationSpread, forwarded_change_is_answered_once_although_most_nodes_do_not_confirm_it) {
  constexpr MachineId plain = zone_count;
  LargeFleet fleet(48, 3);
  for (MachineId id = plain + 1; id < fleet.world.size(); ++id) fleet.world.freeze(id, seconds(3));
  Micros const sent_at = fleet.world.now();
  ASSERT_TRUE(fleet.change(plain));
  EXPECT_LT(fleet.world.now() - sent_at, seconds(1));
  EXPECT_EQ(fleet.last_path.forward_lost, 0);
  EXPECT_GT(fleet.last_path.forwarded, 0);
}

// A whole value may be half a megabyte: replies of several replicas must not lead to a request each.
TEST(ConfigurationSpread, node_that_replicas_tell_of_a_newer_revision_requests_it_once_at_a_time) {
  constexpr MachineId plain = zone_count;
  LargeFleet fleet(48, 3);
  World& world = fleet.world;
  world.sent.clear();
  for (MachineId replica = 0; replica < zone_count; ++replica)
    world.enter(plain, world.machine(plain).process,
                [name = world.machine(replica).name](Node& node, Micros now, NodeEffects& out) {
                  wire::NewestReplyT reply;
                  reply.revision = node.learner.revision() + 1;
                  node.receive_frame(node.mesh.members.peers.at(name).connection, encode_message(std::move(reply)), now,
                                     out);
                });
  world.run(millis(1200));
  EXPECT_EQ(world.sent[wire::Body::CatchUpRequest].frames, 1u);
}

}  // namespace pipit
