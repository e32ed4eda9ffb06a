// The prefix index: matching, eviction and synchronisation between nodes; also the warm-up of workers.
#include <gtest/gtest.h>

#include "base/events.h"
#include "routing/chat/chat_request_reader.h"
#include "routing/fleet/fleet.h"
#include "routing/index/index_sync.h"

namespace pipit {

namespace {
Path chained_path(std::uint64_t seed, std::size_t n) {
  Path out;
  std::uint64_t hash = seed;
  for (std::size_t i = 0; i < n; ++i) out.push_back(hash = hash_bits(hash + 1));
  return out;
}
Index::Bounds const wide_bounds{1000, seconds(100)};
}  // namespace

TEST(ChatRequestReader, response_id_must_contain_the_complete_request_id) {
  EXPECT_TRUE(id_matches_request("chatcmpl-p1-5-1", "p1-5-1"));
  EXPECT_TRUE(id_matches_request("p1-5-1", "p1-5-1"));
  EXPECT_TRUE(id_matches_request("p1-5-12/p1-5-1", "p1-5-1"));
  EXPECT_FALSE(id_matches_request("chatcmpl-p1-5-12", "p1-5-1"));
  EXPECT_FALSE(id_matches_request("chatcmpl-xp1-5-1", "p1-5-1"));
  EXPECT_FALSE(id_matches_request("", "p1-5-1"));
}

TEST(Index, paths_of_prompts_with_a_common_prefix_share_its_blocks) {
  std::string const open(1000, 'a');
  Path const a = path_of(open + std::string(500, 'b'));
  Path const b = path_of(open + std::string(500, 'c'));
  ASSERT_GT(a.size(), 10u);
  std::size_t same = 0;
  while (same < a.size() && a[same] == b[same]) ++same;
  EXPECT_EQ(same, 1000u / block_size);
  EXPECT_TRUE(path_of("short").empty());
}

TEST(Index, entries_are_evicted_by_size_and_age_and_cleared_by_a_new_incarnation) {
  Index index;
  Path const path = chained_path(1, 10);
  index.touch(path, "w", 1, {6, seconds(10)}, seconds(1));
  EXPECT_EQ(index.cached_weight("w"), 6u);
  EXPECT_EQ(index.match(path)["w"], 6u);
  index.age({6, seconds(10)}, seconds(12));
  EXPECT_EQ(index.cached_weight("w"), 0u);
  EXPECT_EQ(index.size(), 0u);
  index.touch(path, "w", 1, wide_bounds, seconds(20));
  index.touch(chained_path(2, 3), "w", 2, wide_bounds, seconds(21));
  EXPECT_EQ(index.match(path).count("w"), 0u) << "entries of the former incarnation are removed";
  index.touch(path, "w", 1, wide_bounds, seconds(22));
  EXPECT_EQ(index.match(path).count("w"), 0u) << "an update about a former incarnation is ignored";
}

TEST(Index, page_with_a_new_incarnation_may_remove_its_own_prefix_node) {
  // Only the former incarnation had the prefix node of the page, so the node is removed with that incarnation's
  // entries.
  Index index;
  Path const path = chained_path(1, 2);
  index.touch(path, "w", 1, wide_bounds, seconds(1));
  wire::PrefixNodeT item;
  item.hash = path[1];
  item.parent = path[0];
  item.workers = {"w"};
  item.incarnations = {2};
  item.ages = {0};
  index.merge_prefix_node(item, wide_bounds, seconds(2));
  EXPECT_EQ(index.cached_weight("w"), 0u);
  EXPECT_EQ(index.size(), 0u);
  // A delta whose base is removed in the same way makes the tree be pulled.
  index.touch(path, "w", 2, wide_bounds, seconds(3));
  wire::DeltaT delta;
  delta.worker = "w";
  delta.incarnation = 3;
  delta.base = path[1];
  delta.tail = {77};
  EXPECT_FALSE(index.apply(delta, wide_bounds, seconds(4)));
  EXPECT_EQ(index.size(), 0u);
}

TEST(Fleet, worker_that_woke_before_the_local_clock_began_is_warm) {
  mute_log(true);
  Fleet fleet;
  fleet.take_list({ListRow{"w", "10.0.0.1:1", "z", "main", 1, 60, false}}, seconds(100));
  HealthReport report;
  report.incarnation = 1;
  report.awake = seconds(3600);
  EXPECT_GT(fleet.cold_for(*fleet.find("w"), seconds(5), seconds(101)), 0) << "no health report yet";
  fleet.health_report("w", 1, seconds(100), report, false, seconds(101));
  EXPECT_EQ(fleet.cold_for(*fleet.find("w"), seconds(5), seconds(101)), 0);
}

TEST(IndexSync, lost_batch_starts_one_paged_pull_after_which_the_indexes_agree) {
  IndexSync a(1);
  IndexSync b(2);
  IndexSync::BoundsOf const bounds = [](std::string const&) { return Index::Bounds{2000000, seconds(1000)}; };
  std::vector<OutgoingMessage> out;
  std::vector<std::pair<std::string, std::vector<std::string>>> const to_b = {{"b", {}}};
  for (std::uint64_t i = 0; i < 12000; ++i)
    a.queue("m", a.index("m").touch(chained_path(i, 2), "w" + std::to_string(i % 5), 1, bounds("m"), seconds(1)));
  a.round(seconds(1), to_b, bounds, out);
  EXPECT_GT(a.dropped, 0u) << "the backlog is bounded";
  out.clear();  // this batch is lost
  a.queue("m", a.index("m").touch(chained_path(7, 3), "w1", 1, bounds("m"), seconds(2)));
  a.round(seconds(2), {{"b", {"other"}}}, bounds, out);
  EXPECT_TRUE(out.empty()) << "a peer that doesn't serve the model gets no batch";
  a.queue("m", a.index("m").touch(chained_path(7, 3), "w2", 1, bounds("m"), seconds(3)));
  a.round(seconds(3), to_b, bounds, out);
  ASSERT_EQ(out.size(), 1u);
  int pages = 0;
  // Delivers messages until neither side sends any; the first page is lost and requested again after the stall timeout.
  std::vector<OutgoingMessage> to_a;
  b.take("a", out[0].body, seconds(3), bounds, {"a"}, to_a);
  ASSERT_EQ(to_a.size(), 1u);
  to_a.clear();
  b.tick(
      seconds(9), [] { return std::vector<std::string>{"a"}; }, to_a);
  EXPECT_EQ(b.stalls, 1u);
  Micros now = seconds(9);
  while (!to_a.empty() && pages < 50) {
    std::vector<OutgoingMessage> back;
    for (OutgoingMessage& item : to_a) a.take("b", item.body, now, bounds, {"b"}, back);
    to_a.clear();
    for (OutgoingMessage& item : back) {
      ++pages;
      b.take("a", item.body, now, bounds, {"a"}, to_a);
    }
  }
  EXPECT_GT(pages, 2);
  EXPECT_EQ(b.pulls, 1u);
  EXPECT_EQ(a.index("m").size(), b.index("m").size());
  EXPECT_EQ(a.index("m").digest(), b.index("m").digest());
}

}  // namespace pipit
