// Replication of entries: queueing for a peer, batches, resends and acknowledgements.
#include "mesh/entries/entry_replication.h"

#include <gtest/gtest.h>

namespace pipit {

namespace {
wire::EntryT entry(std::string const& key, std::string const& owner = "", std::uint64_t stamp = 0) {
  wire::EntryT out;
  out.key = key;
  out.owner = owner;
  out.stamp = stamp;
  return out;
}

struct EntryReplicationTest : testing::Test {
  EntryTable table{"a"};
  EntryReplication replication{table};

  void put(std::string const& key) {
    ASSERT_TRUE(table.put(entry(key), 0));
    replication.enqueue_local(key);
  }
};
}  // namespace

TEST_F(EntryReplicationTest, entry_is_sent_again_only_on_resend) {
  replication.add_peer("b");
  put("w");
  EXPECT_EQ(replication.next_batch("b", false).list.size(), 1u);
  EXPECT_TRUE(replication.next_batch("b", false).list.empty());
  EXPECT_EQ(replication.next_batch("b", true).list.size(), 1u);
}

TEST_F(EntryReplicationTest, acknowledged_entry_is_replicated_and_not_resent) {
  replication.add_peer("b");
  put("w");
  std::uint64_t const batch = replication.next_batch("b", false).batch;
  EXPECT_FALSE(replication.is_replicated("b", "w"));
  replication.acknowledge("b", batch);
  EXPECT_TRUE(replication.is_replicated("b", "w"));
  EXPECT_TRUE(replication.next_batch("b", true).list.empty());
  EXPECT_FALSE(replication.is_replicated("c", "w")) << "nothing is known of a peer without a connection";
  EXPECT_FALSE(replication.is_replicated("b", "x")) << "an entry that is not in the table";
}

TEST_F(EntryReplicationTest, ack_of_an_older_stamp_does_not_acknowledge_a_newer_entry) {
  replication.add_peer("b");
  put("w");
  std::uint64_t const batch = replication.next_batch("b", false).batch;
  wire::EntryT newer = entry("w");
  newer.state = static_cast<std::uint8_t>(WorkerState::draining);
  ASSERT_TRUE(table.put(std::move(newer), 0));
  replication.enqueue_local("w");
  replication.acknowledge("b", batch);
  EXPECT_FALSE(replication.is_replicated("b", "w"));
  EXPECT_EQ(replication.next_batch("b", false).list.size(), 1u);
}

TEST_F(EntryReplicationTest, batch_size_is_limited) {
  replication.add_peer("b");
  for (int n = 0; n < 300; ++n) put("w" + std::to_string(n));
  EXPECT_EQ(replication.next_batch("b", false).list.size(), 256u);
  EXPECT_EQ(replication.next_batch("b", false).list.size(), 44u);
}

TEST_F(EntryReplicationTest, entries_of_others_are_not_sent_back_to_their_sender) {
  replication.add_peer("b");
  replication.add_peer("c");
  wire::EntryT const received = entry("w", "b", 4);
  ASSERT_TRUE(table.merge(received, 0));
  replication.enqueue_forwarded("b", received);
  EXPECT_TRUE(replication.next_batch("b", false).list.empty());
  EXPECT_EQ(replication.next_batch("c", false).list.size(), 1u);
}

TEST_F(EntryReplicationTest, only_forward_targets_receive_entries_of_others_without_forward_to_all) {
  replication.add_peer("c");
  replication.add_peer("d");
  replication.forward_to_all = false;
  replication.forward_targets = {"d", "not_connected"};
  wire::EntryT const received = entry("w", "b", 4);
  ASSERT_TRUE(table.merge(received, 0));
  replication.enqueue_forwarded("b", received);
  EXPECT_TRUE(replication.next_batch("c", false).list.empty());
  EXPECT_EQ(replication.next_batch("d", false).list.size(), 1u);
  EXPECT_TRUE(replication.next_batch("not_connected", false).list.empty());
}

TEST_F(EntryReplicationTest, new_peer_is_sent_all_entries_or_only_those_of_this_node) {
  put("mine");
  ASSERT_TRUE(table.merge(entry("theirs", "b", 9), 0));
  replication.enqueue_own("c");
  replication.enqueue_all("d");
  EXPECT_EQ(replication.next_batch("c", false).list.size(), 1u);
  EXPECT_EQ(replication.next_batch("d", false).list.size(), 2u);
}

TEST(EntryTable, higher_stamp_wins_and_then_the_later_owner_name) {
  EntryTable table("a");
  EXPECT_TRUE(table.merge(entry("w", "b", 5), 0));
  EXPECT_FALSE(table.merge(entry("w", "c", 4), 0));
  EXPECT_FALSE(table.merge(entry("w", "b", 5), 0));
  EXPECT_TRUE(table.merge(entry("w", "c", 5), 0));
  EXPECT_TRUE(table.put(entry("w"), 0));
  EXPECT_GT(table.entries().at("w").stamp, 5u) << "the clock is advanced by received stamps";
  EXPECT_EQ(table.entries().at("w").stamp >> stamp_incarnation_bits, 1u) << "by one count";
  EXPECT_FALSE(table.put(entry("w"), 0)) << "the entry did not change";
}

// Guards against a restarted node that gives the stamp of an entry which it wrote before: peers take the new entry for
// the old one, acknowledge it, and send nothing back.
TEST(EntryTable, restarted_node_gives_no_stamp_again) {
  EntryTable before("a", 1000);
  EntryTable after("a", 2000);
  EntryTable peer("b");
  ASSERT_TRUE(before.put(entry("w"), 0));
  ASSERT_TRUE(after.put(entry("w"), 0));
  EXPECT_NE(after.entries().at("w").stamp, before.entries().at("w").stamp);
  EXPECT_NE(after.digest(), before.digest());
  ASSERT_TRUE(peer.merge(before.entries().at("w"), 0));
  EXPECT_TRUE(peer.merge(after.entries().at("w"), 0) || peer.holds_newer(after.entries().at("w")))
      << "the peer takes the entry, or tells the node of the one that it holds";
}

}  // namespace pipit
