// The connection table alone: one connection for each pair of nodes, dialling and backoff.
#include "mesh/connections/connection_table.h"

#include <gtest/gtest.h>

#include "base/events.h"
#include "tests/mesh/member_record.h"

namespace pipit {

namespace {
// This node is "m"; "b" sorts before it and "z" after it.
struct ConnectionTableTest : testing::Test {
  MeshSettings settings;
  MemberTable members{member("m")};
  EntryTable entries{"m"};
  EntryReplication replication{entries};
  ConnectionTable connections{settings, members, replication};
  ConnectionEffects out;

  ConnectionTableTest() {
    mute_log(true);
    members.merge(member("b"), 0);
    members.merge(member("z"), 0);
  }
  // Opens a connection and handles the peer's Hello on it; false when the table closed the connection.
  bool open_with_hello(ConnectionId id, std::string const& name, bool outbound, Micros now) {
    connections.add(id, outbound, outbound ? name + ":1" : "", now);
    connections.find(id)->peer = name;
    connections.find(id)->peer_incarnation = 1;
    return connections.bind(id, members.peers.at(name), now, out);
  }
};
}  // namespace

TEST_F(ConnectionTableTest, node_that_sorts_first_dials_and_the_other_after_a_delay) {
  connections.dial_missing(0, out);
  EXPECT_EQ(out.dial_addresses, std::vector<std::string>{"z:1"});
  connections.dial_missing(settings.probe_interval + 1, out);
  EXPECT_EQ(out.dial_addresses, (std::vector<std::string>{"z:1", "b:1"}));
}

TEST_F(ConnectionTableTest, dial_backoff_doubles_up_to_a_limit) {
  Peer& peer = members.peers.at("z");
  std::vector<Micros> const pauses{millis(250), millis(500), seconds(1), seconds(1)};
  Micros now = 0;
  for (Micros const pause : pauses) {
    connections.dial(peer, now, out);
    EXPECT_EQ(peer.next_dial, now + pause);
    peer.dialling = false;
    now = peer.next_dial;
  }
  EXPECT_EQ(out.dial_addresses.size(), pauses.size());
}

TEST_F(ConnectionTableTest, connection_opened_by_the_node_that_sorts_first_is_kept) {
  ASSERT_TRUE(open_with_hello(1, "z", true, 0));
  EXPECT_FALSE(open_with_hello(2, "z", false, 1)) << "this node sorts first and opened the other one";
  EXPECT_EQ(out.closed_connections, std::vector<ConnectionId>{2});
  ASSERT_TRUE(open_with_hello(3, "b", true, 0));
  EXPECT_TRUE(open_with_hello(4, "b", false, 1)) << "the peer sorts first and opened the new one";
  EXPECT_EQ(members.peers.at("b").connection, 4u);
  EXPECT_EQ(out.closed_connections, (std::vector<ConnectionId>{2, 3}));
}

TEST_F(ConnectionTableTest, older_connection_is_replaced_by_a_new_one) {
  ASSERT_TRUE(open_with_hello(1, "z", true, 0));
  EXPECT_TRUE(open_with_hello(2, "z", false, settings.probe_interval + 1));
  EXPECT_EQ(members.peers.at("z").connection, 2u);
  EXPECT_EQ(out.closed_connections, std::vector<ConnectionId>{1});
}

TEST_F(ConnectionTableTest, peer_is_dialled_at_once_after_its_connection_closed) {
  ASSERT_TRUE(open_with_hello(1, "z", true, 0));
  EXPECT_EQ(connections.remove(1, seconds(5)), "z");
  EXPECT_EQ(connections.remove(1, seconds(5)), "") << "the connection is no longer open";
  EXPECT_EQ(members.peers.at("z").disconnected_since, seconds(5));
  connections.dial_missing(seconds(5), out);
  EXPECT_EQ(out.dial_addresses.front(), "b:1");
  EXPECT_EQ(out.dial_addresses.back(), "z:1");
}

TEST_F(ConnectionTableTest, connection_without_hello_or_traffic_is_closed) {
  connections.add(1, false, "", 0);
  ASSERT_TRUE(open_with_hello(2, "z", true, 0));
  connections.close_idle(seconds(5), out);
  EXPECT_TRUE(out.closed_connections.empty());
  connections.close_idle(seconds(5) + 1, out);
  EXPECT_EQ(out.closed_connections, std::vector<ConnectionId>{1});
  connections.close_idle(settings.idle_timeout + 1, out);
  EXPECT_EQ(out.closed_connections, (std::vector<ConnectionId>{1, 2}));
}

TEST_F(ConnectionTableTest, seed_is_dialled_until_a_member_is_known_at_its_address) {
  connections.set_seeds({"s:1", "m:1"});
  members.peers.clear();
  connections.dial_missing(0, out);
  EXPECT_EQ(out.dial_addresses, std::vector<std::string>{"s:1"}) << "a node does not dial its own address";
  connections.end_seed_dial("s:1");
  connections.dial_missing(millis(249), out);
  EXPECT_EQ(out.dial_addresses.size(), 1u);
  connections.dial_missing(millis(250), out);
  EXPECT_EQ(out.dial_addresses.size(), 2u);
  connections.end_seed_dial("s:1");
  members.merge(member("s"), millis(260));
  members.peers.at("s").connection = 9;
  connections.dial_missing(seconds(9), out);
  EXPECT_EQ(out.dial_addresses.size(), 2u);
}

}  // namespace pipit
