// How old a node's knowledge of the list is, and when it is too old to place work. Without sockets.
#include "node/list_freshness.h"

#include <gtest/gtest.h>

namespace pipit {

namespace {
constexpr Micros isolation_timeout = millis(1700);
constexpr Micros rejoin_duration = millis(1500);

class ListFreshnessTest : public testing::Test {
 protected:
  ListFreshnessTest() : mesh(MeshSettings{}, wire::MemberT(), 1), freshness(mesh) {}

  // Two of three members are never heard.
  void cut_off() {
    mesh.members.peers["n2"].member.name = "n2";
    mesh.members.peers["n3"].member.name = "n3";
  }

  Mesh mesh;
  ListFreshness freshness;
};
}  // namespace

TEST_F(ListFreshnessTest, AgeIsThatOfTheLatestReadingOfAnyNode) {
  EXPECT_EQ(freshness.age(seconds(5)), -1);
  freshness.note_peer_age(-1, seconds(5));
  EXPECT_EQ(freshness.age(seconds(5)), -1) << "the peer knew of none";
  freshness.note_reading(seconds(1));
  EXPECT_EQ(freshness.age(seconds(5)), seconds(4));
  freshness.note_peer_age(seconds(3), seconds(5));
  EXPECT_EQ(freshness.age(seconds(5)), seconds(3));
  freshness.note_peer_age(seconds(4), seconds(5));
  freshness.note_reading(0);
  EXPECT_EQ(freshness.age(seconds(5)), seconds(3)) << "it never goes back";
}

TEST_F(ListFreshnessTest, NodeThatIsCutOffIsUpToDateForAWhileAfterAReading) {
  cut_off();
  freshness.note_reading(seconds(10));
  EXPECT_TRUE(freshness.update(seconds(10) + isolation_timeout));
  EXPECT_FALSE(freshness.update(seconds(10) + isolation_timeout + 1));
  freshness.note_peer_age(0, seconds(20));
  EXPECT_TRUE(freshness.update(seconds(20)));
}

TEST_F(ListFreshnessTest, FailureOfTheListItselfKeepsWhatWasKnownBefore) {
  cut_off();
  freshness.note_reading(seconds(10));
  freshness.note_source_failure(seconds(11));
  EXPECT_TRUE(freshness.update(seconds(11)));
  EXPECT_TRUE(freshness.update(seconds(11) + isolation_timeout));
  EXPECT_FALSE(freshness.update(seconds(11) + isolation_timeout + 1));
  freshness.note_source_failure(seconds(13));
  EXPECT_FALSE(freshness.update(seconds(13))) << "marks may have been missed in between";
}

TEST_F(ListFreshnessTest, NodeThatHearsHalfOfTheMembersForAWhileIsUpToDateWithoutAReading) {
  EXPECT_FALSE(freshness.update(seconds(10)));
  EXPECT_FALSE(freshness.update(seconds(10) + rejoin_duration));
  EXPECT_TRUE(freshness.update(seconds(10) + rejoin_duration + 1));
}

TEST_F(ListFreshnessTest, TimeOfHearingHalfBeginsAgainAfterACut) {
  EXPECT_FALSE(freshness.update(seconds(10)));
  cut_off();
  EXPECT_FALSE(freshness.update(seconds(11)));
  mesh.members.peers.clear();
  EXPECT_FALSE(freshness.update(seconds(12)));
  EXPECT_FALSE(freshness.update(seconds(12) + rejoin_duration));
  EXPECT_TRUE(freshness.update(seconds(12) + rejoin_duration + 1));
}

}  // namespace pipit
