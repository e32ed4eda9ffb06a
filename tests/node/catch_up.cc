// How a node that lacks the newest value gets it: whom it asks, how often, and patches that come before their base.
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

TEST_F(CatchUpTest, ReplicaOfTheZoneIsAskedFirstAndOnlyWhoHoldsSomethingNewer) {
  add("z-router", "a", false, 9);
  add("far", "b", true, 9);
  add("near-old", "a", true, 3);
  CatchUp first = catch_up("n1");
  EXPECT_EQ(first.select_peer(3, 0), "far");
  add("near", "a", true, 4);
  CatchUp second = catch_up("n1");
  EXPECT_EQ(second.select_peer(3, 0), "near");
  CatchUp third = catch_up("n1");
  EXPECT_EQ(third.select_peer(9, 0), "") << "nobody holds more";
}

// All nodes that were behind asked the peer whose name sorts last, a small machine, for half a megabyte each.
TEST_F(CatchUpTest, NodesThatAreBehindTogetherAskDifferentPeers) {
  for (int n = 0; n < 10; ++n) add("peer-" + std::to_string(n), "a", false, 9);
  std::map<std::string, int> asked;
  for (int n = 0; n < 100; ++n) {
    CatchUp one = catch_up("node-" + std::to_string(n));
    ++asked[one.select_peer(1, 0)];
  }
  EXPECT_GE(asked.size(), 8u);
  for (std::pair<std::string const, int> const& item : asked) EXPECT_LE(item.second, 25) << item.first;
}

TEST_F(CatchUpTest, OneQuestionIsOpenAtATimeAndWhatGoesUnansweredIsAskedElsewhereAndMoreRarely) {
  add("near", "a", true, 9);
  add("far", "b", true, 9);
  CatchUp node = catch_up("n1");
  EXPECT_EQ(node.select_peer(1, 0), "near");
  EXPECT_EQ(node.select_peer(1, millis(999)), "");
  EXPECT_EQ(node.select_peer(1, seconds(1)), "far");
  EXPECT_EQ(node.select_peer(1, millis(2999)), "");
  EXPECT_EQ(node.select_peer(1, seconds(3)), "near");
  node.value_adopted();
  EXPECT_EQ(node.select_peer(2, seconds(3)), "near") << "a new question at once";
  int asked = 0;
  for (Micros now = seconds(4); now < seconds(34); now += millis(50)) asked += node.select_peer(2, now).empty() ? 0 : 1;
  EXPECT_LE(asked, 10) << "some four seconds apart";
}

TEST_F(CatchUpTest, PatchThatCameBeforeItsBaseIsTakenOnceThatIsHeld) {
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

TEST_F(CatchUpTest, WhoSpreadAPatchIsAskedWhenNobodyElseIsKnownToHoldMore) {
  add("k1", "a", true, 1);
  CatchUp node = catch_up("n1");
  node.buffer_patch("k1", patch(3, 4), 0);
  EXPECT_EQ(node.select_peer(1, millis(100)), "k1");
}

TEST_F(CatchUpTest, FewEarlyPatchesAreKept) {
  CatchUp node = catch_up("n1");
  for (std::uint64_t revision = 2; revision < 200; ++revision)
    node.buffer_patch("k1", patch(revision, revision + 1), 0);
  int kept = 0;
  while (node.take_applicable_patch(1000)) ++kept;
  EXPECT_EQ(kept, 16);
}

}  // namespace pipit
