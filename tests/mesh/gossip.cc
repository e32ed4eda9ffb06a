// Dissemination of member records in small and large fleets.
#include "mesh/membership/gossip.h"

#include <gtest/gtest.h>

#include "base/events.h"
#include "tests/mesh/member_record.h"

namespace pipit {

namespace {
struct MembershipGossipTest : testing::Test {
  MeshSettings settings;
  MemberTable members{member("a")};
  EntryTable entries{"a"};
  EntryReplication replication{entries};
  RandomSource random{1};
  ConnectionTable connections{settings, members, replication};
  MembershipGossip gossip{settings, members, connections, random};
  ConnectionEffects out;

  // Connects this node to this many peers, named p1, p2 and so on.
  void connect(std::size_t peers) {
    mute_log(true);
    for (ConnectionId id = 1; id <= peers; ++id) {
      std::string const name = "p" + std::to_string(id);
      members.merge(member(name), 0);
      connections.add(id, false, "", 0);
      connections.find(id)->peer = name;
      connections.find(id)->peer_incarnation = 1;
      ASSERT_TRUE(connections.bind(id, members.peers.at(name), 0, out));
    }
  }
};
}  // namespace

TEST_F(MembershipGossipTest, small_fleet_broadcasts_a_change) {
  connect(5);
  gossip.disseminate(members.peers.at("p1").member, out);
  EXPECT_EQ(out.outgoing_frames.size(), 5u);
  EXPECT_TRUE(gossip.next_piggybacked_records().empty());
}

TEST_F(MembershipGossipTest, large_fleet_sends_a_change_to_some_peers_and_piggybacks_it) {
  connect(30);
  gossip.disseminate(members.peers.at("p1").member, out);
  EXPECT_EQ(out.outgoing_frames.size(), settings.gossip_fanout);
  int sends = 0;
  while (!gossip.next_piggybacked_records().empty()) ++sends;
  EXPECT_EQ(sends, 18) << "3 and 3 more for each of the five doublings up to 30 members";
}

TEST_F(MembershipGossipTest, ping_carries_only_records_changed_since_the_last_one) {
  connect(3);
  EXPECT_EQ(gossip.records_for_ping(1).size(), 4u);
  EXPECT_EQ(gossip.records_for_ping(1).size(), 1u) << "only this node's own record";
  members.set_state(members.peers.at("p2"), MemberState::suspected, 1);
  EXPECT_EQ(gossip.records_for_ping(1).size(), 2u);
}

TEST_F(MembershipGossipTest, record_of_a_newer_incarnation_closes_the_connection_to_the_previous_one) {
  connect(2);
  MemberRecords records;
  records.push_back(std::make_unique<wire::MemberT>(member("p2")));
  records.front()->incarnation = 2;
  gossip.merge(records, 1, out);
  EXPECT_EQ(out.closed_connections, std::vector<ConnectionId>{2});
  EXPECT_EQ(members.peers.at("p2").connection, 0u);
}

TEST_F(MembershipGossipTest, wrong_record_of_this_node_is_refuted_by_broadcast) {
  connect(2);
  MemberRecords records;
  records.push_back(std::make_unique<wire::MemberT>(members.self));
  records.front()->state = static_cast<std::uint8_t>(MemberState::down);
  gossip.merge(records, 1, out);
  EXPECT_EQ(out.outgoing_frames.size(), 2u);
  EXPECT_EQ(members.self.bump, 1u);
}

}  // namespace pipit
