// The peers that a node exchanges reports with, by the number of members, their zones and roles. Without sockets.
#include "node/exchange_topology.h"

#include <gtest/gtest.h>

namespace pipit {

namespace {
class ExchangeTopologyTest : public testing::Test {
 protected:
  ExchangeTopologyTest() : mesh(mesh_plan(), wire::MemberT(), 1) {}

  // Four peers make a large fleet.
  static MeshSettings mesh_plan() {
    MeshSettings out;
    out.large_fleet_size = 4;
    return out;
  }
  void add(std::string const& name, std::string const& zone, bool replica = false) {
    Peer& peer = mesh.members.peers[name];
    peer.member.name = name;
    peer.member.zone = zone;
    peer.member.replica = replica;
    peer.connection = mesh.members.peers.size();
  }
  ExchangeTopology topology(std::string const& name, std::string const& zone, bool replica = false) const {
    return ExchangeTopology({name, zone, replica}, mesh);
  }

  Mesh mesh;
};
}  // namespace

TEST_F(ExchangeTopologyTest, nodes_of_a_small_fleet_send_to_all_peers) {
  add("n2", "a");
  add("n3", "b");
  add("n4", "b");
  mesh.members.peers["n4"].connection = 0;
  GossipPaths const paths = topology("n1", "a").compute_paths();
  EXPECT_FALSE(paths.hierarchical);
  EXPECT_EQ(paths.peers, std::vector<std::string>({"n2", "n3"})) << "n4 has no connection and must be left out";
}

TEST_F(ExchangeTopologyTest, the_hub_is_the_first_reachable_replica_or_else_the_first_node) {
  add("n2", "a");
  EXPECT_EQ(topology("n1", "a").select_hub("a"), "n1");
  EXPECT_EQ(topology("n6", "a").select_hub("a"), "n2");
  add("n3", "b");
  add("n4", "b", true);
  add("n5", "b", true);
  EXPECT_EQ(topology("n6", "a", true).select_hub("a"), "n6");
  EXPECT_EQ(topology("n1", "a").select_hub("b"), "n4");
  mesh.members.peers["n4"].member.state = static_cast<std::uint8_t>(MemberState::suspected);
  EXPECT_EQ(topology("n1", "a").select_hub("b"), "n5");
  mesh.members.peers["n5"].connection = 0;
  EXPECT_EQ(topology("n1", "a").select_hub("b"), "n3");
  EXPECT_EQ(topology("n1", "a").select_hub("c"), "");
}

TEST_F(ExchangeTopologyTest, a_hub_sends_to_its_zone_and_to_the_other_hubs) {
  add("n2", "a");
  add("n3", "b");
  add("n4", "b", true);
  add("n5", "c", true);
  GossipPaths const paths = topology("n1", "a", true).compute_paths();
  EXPECT_TRUE(paths.hierarchical);
  EXPECT_TRUE(paths.is_hub);
  EXPECT_EQ(paths.served_peers, std::vector<std::string>({"n2"}));
  EXPECT_EQ(paths.remote_hubs, std::vector<std::string>({"n4", "n5"}));
}

TEST_F(ExchangeTopologyTest, other_nodes_send_to_their_zone_and_its_hub) {
  add("n2", "a", true);
  add("n3", "a");
  add("n4", "b", true);
  add("n5", "c", true);
  GossipPaths const paths = topology("n1", "a").compute_paths();
  EXPECT_FALSE(paths.is_hub);
  EXPECT_EQ(paths.zone_hub, "n2");
  EXPECT_EQ(paths.served_peers, std::vector<std::string>({"n2", "n3"}));
  EXPECT_EQ(paths.remote_hubs, std::vector<std::string>({"n4", "n5"}))
      << "for reports of nodes that take this one for the hub";
}

TEST_F(ExchangeTopologyTest, a_zone_without_a_replica_is_served_by_the_same_replica_in_all_views) {
  add("n3", "b");
  add("n4", "c");
  add("r2", "d", true);
  add("r3", "e", true);
  add("n5", "e");
  for (std::string const zone : {"a", "b", "c"}) {
    std::string const hub = topology("n1", "a").select_hub(zone);
    EXPECT_TRUE(hub == "r2" || hub == "r3") << hub << " of zone " << zone;
    EXPECT_EQ(topology("n6", "a").select_hub(zone), hub);
  }
  GossipPaths const paths = topology("n1", "a").compute_paths();
  EXPECT_FALSE(paths.is_hub);
  EXPECT_EQ(paths.remote_hubs, std::vector<std::string>({"r2", "r3"}));
}

TEST_F(ExchangeTopologyTest, the_only_reachable_replica_serves_all_zones) {
  add("n2", "a");
  add("n3", "b");
  add("n4", "c");
  add("r2", "b", true);
  mesh.members.peers["r2"].connection = 0;
  GossipPaths const paths = topology("r1", "a", true).compute_paths();
  EXPECT_TRUE(paths.is_hub);
  EXPECT_EQ(paths.served_peers, std::vector<std::string>({"n2", "n3", "n4"}));
  EXPECT_TRUE(paths.remote_hubs.empty());
}

TEST_F(ExchangeTopologyTest, without_any_replica_the_first_node_of_each_zone_is_its_hub) {
  add("n2", "a");
  add("n3", "b");
  add("n4", "b");
  add("n5", "c");
  GossipPaths const paths = topology("n1", "a").compute_paths();
  EXPECT_TRUE(paths.is_hub);
  EXPECT_EQ(paths.served_peers, std::vector<std::string>({"n2"}));
  EXPECT_EQ(paths.remote_hubs, std::vector<std::string>({"n3", "n5"}));
}

}  // namespace pipit
