// Catching up on the newest value: the choice of the peer, request timeouts, and patches that arrive before their base.
#include "node/catch_up.h"

#include <gtest/gtest.h>

#include <set>

namespace pipit {

namespace {
class CatchUpTest : public testing::Test {
 protected:
  CatchUpTest() : mesh(MeshSettings{}, wire::MemberT(), 1) {}
  void add(std::string const& name, std::string const& zone, bool replica, std::uint64_t revision) {
    Peer& peer = mesh.members.peers[name];
    peer.member.name = name;
    peer.member.zone = zone;
    peer.member.replica = replica;
    peer.member.revision = revision;
    peer.connection = mesh.members.peers.size();
  }
  static wire::ChosenT patch(std::uint64_t base, std::uint64_t result) {
    wire::ChosenT out;
    out.patch = std::make_unique<wire::ValuePatchT>();
    out.patch->base_revision = base;
    out.patch->rest = std::make_unique<wire::ValueT>();
    out.patch->rest->revision = result;
    return out;
  }
  CatchUp catch_up(std::string const& name) const { return CatchUp(name, "a", mesh); }

  Mesh mesh;
};
}  // namespace

TEST_F(CatchUpTest, a_replica_of_the_own_zone_with_a_newer_value_is_selected_first) {
  add("z-router", "a", false, 9);
  add("far", "b", true, 9);
  add("near-old", "a", true, 3);
  CatchUp first = catch_up("n1");
  EXPECT_EQ(first.select_peer(3, 0), "far");
  add("near", "a", true, 4);
  CatchUp second = catch_up("n1");
  EXPECT_EQ(second.select_peer(3, 0), "near");
  CatchUp third = catch_up("n1");
  EXPECT_EQ(third.select_peer(9, 0), "") << "no peer holds a newer value";
}

// All nodes that were behind requested half a megabyte each from the peer whose name sorts last, a small machine.
TEST_F(CatchUpTest, nodes_that_are_behind_together_select_different_peers) {
  for (int n = 0; n < 10; ++n) add("peer-" + std::to_string(n), "a", false, 9);
  std::map<std::string, int> requests;
  for (int n = 0; n < 100; ++n) {
    CatchUp node = catch_up("node-" + std::to_string(n));
    ++requests[node.select_peer(1, 0)];
  }
  EXPECT_GE(requests.size(), 8u);
  for (std::pair<std::string const, int> const& item : requests) EXPECT_LE(item.second, 25) << item.first;
}

TEST_F(CatchUpTest, one_request_is_open_at_a_time_and_unanswered_ones_back_off_to_other_peers) {
  add("near", "a", true, 9);
  add("far", "b", true, 9);
  CatchUp node = catch_up("n1");
  EXPECT_EQ(node.select_peer(1, 0), "near");
  EXPECT_EQ(node.select_peer(1, millis(999)), "");
  EXPECT_EQ(node.select_peer(1, seconds(1)), "far");
  EXPECT_EQ(node.select_peer(1, millis(2999)), "");
  EXPECT_EQ(node.select_peer(1, seconds(3)), "near");
  node.value_adopted();
  EXPECT_EQ(node.select_peer(2, seconds(3)), "near") << "a new request may be sent at once";
  int requests = 0;
  for (Micros now = seconds(4); now < seconds(34); now += millis(50))
    requests += node.select_peer(2, now).empty() ? 0 : 1;
  EXPECT_LE(requests, 10) << "requests are not about four seconds apart";
}

TEST_F(CatchUpTest, an_early_patch_is_taken_once_its_base_is_held) {
  CatchUp node = catch_up("n1");
  node.buffer_patch("k1", patch(3, 4), 0);
  node.buffer_patch("k1", patch(2, 3), millis(10));
  EXPECT_FALSE(node.take_applicable_patch(1));
  EXPECT_FALSE(node.is_stuck(millis(99)));
  EXPECT_TRUE(node.is_stuck(millis(100)));
  std::optional<CatchUp::EarlyPatch> const second = node.take_applicable_patch(2);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->update.patch->base_revision, 2u);
  EXPECT_TRUE(node.take_applicable_patch(3));
  EXPECT_FALSE(node.take_applicable_patch(4));
  EXPECT_FALSE(node.is_stuck(seconds(9)));
}

TEST_F(CatchUpTest, the_sender_of_a_patch_is_selected_if_no_peer_announces_a_newer_value) {
  add("k1", "a", true, 1);
  CatchUp node = catch_up("n1");
  node.buffer_patch("k1", patch(3, 4), 0);
  EXPECT_EQ(node.select_peer(1, millis(100)), "k1");
}

TEST_F(CatchUpTest, the_buffer_of_early_patches_is_bounded) {
  CatchUp node = catch_up("n1");
  for (std::uint64_t revision = 2; revision < 200; ++revision)
    node.buffer_patch("k1", patch(revision, revision + 1), 0);
  int kept = 0;
  while (node.take_applicable_patch(1000)) ++kept;
  EXPECT_EQ(kept, 16);
}

}  // namespace pipit
