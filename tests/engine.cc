// The stand-in worker's engine under virtual time.
#include "testing/platform_fleet_test/engine.h"

#include <gtest/gtest.h>

namespace pipit::platform_fleet {
namespace {

EngineShape small() {
  EngineShape out;
  out.slots = 2;
  out.queue = 2;
  out.cache_tokens = 10000;
  out.chunk = 1000;
  out.stride = 2;
  out.step = 1000;
  out.step_per_request = 100;
  out.step_per_thousand = 0;
  out.tokens_per_ms = 100;
  return out;
}

Generation generation(std::uint64_t id, std::vector<Part> parts, std::int64_t out = 4, int rank = 5) {
  Generation made;
  made.id = id;
  made.rank = rank;
  made.parts = std::move(parts);
  for (Part const& part : made.parts) made.prompt += part.tokens;
  made.out = out;
  made.due = seconds(100);
  return made;
}

std::vector<Happening> until(Engine& engine, Micros now) {
  std::vector<Happening> out;
  engine.advance(now, out);
  return out;
}

std::vector<Happening> of(std::vector<Happening> const& all, Happening::What what, std::uint64_t id) {
  std::vector<Happening> out;
  for (Happening const& item : all)
    if (item.what == what && item.id == id) out.push_back(item);
  return out;
}

}  // namespace

TEST(Engine, a_prompt_is_read_in_pieces_and_events_follow_with_rising_numbers) {
  Engine engine(small());
  ASSERT_EQ(engine.submit(generation(1, {{10, 2500}}), 0), Engine::Admission::queued);
  std::vector<Happening> const all = until(engine, seconds(1));
  // Three pieces: 1000, 1000 and 500 tokens; the last step makes the first token.
  Micros const first = 11100 + 11100 + 6100;
  ASSERT_EQ(of(all, Happening::What::began, 1).size(), 1u);
  EXPECT_EQ(of(all, Happening::What::began, 1)[0].at, first);
  std::vector<Happening> const events = of(all, Happening::What::event, 1);
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(events[0].number, 1);
  EXPECT_EQ(events[0].at, first + 1100);
  EXPECT_EQ(events[1].number, 2);
  EXPECT_EQ(of(all, Happening::What::done, 1).size(), 1u);
  EXPECT_EQ(engine.running(), 0);
  EXPECT_EQ(engine.used(), 0);
  EXPECT_EQ(engine.next(), -1);
}

TEST(Engine, long_prompts_hold_up_the_tokens_beside_them_and_a_fuller_batch_is_slower) {
  Engine engine(small());
  engine.submit(generation(1, {{10, 100}}, 40), 0);
  std::vector<Happening> const alone = until(engine, 2100 + 1100);
  ASSERT_EQ(of(alone, Happening::What::event, 1).size(), 1u);
  engine.submit(generation(2, {{20, 5000}}, 4), 3200);
  // The step under way ends as it was begun; those that follow read a piece, with two in the batch.
  std::vector<Happening> const beside = until(engine, 3200 + 1100 + 3 * 11200);
  std::vector<Happening> const events = of(beside, Happening::What::event, 1);
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(events[1].at - events[0].at, 2 * 11200);
}

TEST(Engine, a_part_counts_only_while_all_before_it_are_kept) {
  Engine engine(small());
  engine.submit(generation(1, {{10, 1000}, {11, 2000}}), 0);
  until(engine, seconds(1));
  EXPECT_EQ(engine.tokens_read, 3000);
  engine.submit(generation(2, {{10, 1000}, {11, 2000}, {12, 500}}), seconds(1));
  until(engine, seconds(2));
  EXPECT_EQ(engine.tokens_read, 3500);
  EXPECT_EQ(engine.tokens_spared, 3000);
  // Kept parts behind one that is not kept are read again.
  engine.submit(generation(3, {{99, 100}, {11, 2000}}), seconds(2));
  until(engine, seconds(3));
  EXPECT_EQ(engine.tokens_read, 3500 + 2100);
}

TEST(Engine, the_parts_unused_longest_give_way_and_those_in_use_stay) {
  Engine engine(small());
  engine.submit(generation(1, {{10, 3000}}), 0);
  until(engine, seconds(1));
  engine.submit(generation(2, {{20, 3000}}), seconds(1));
  until(engine, seconds(2));
  engine.submit(generation(3, {{10, 3000}}), seconds(2));
  until(engine, seconds(3));
  engine.submit(generation(4, {{30, 5000}}), seconds(3));
  until(engine, seconds(4));
  EXPECT_TRUE(engine.keeps(10));
  EXPECT_FALSE(engine.keeps(20));
  EXPECT_TRUE(engine.keeps(30));
  EXPECT_LE(engine.kept(), 10000);
}

TEST(Engine, a_full_queue_turns_away_and_so_does_a_request_larger_than_memory) {
  Engine engine(small());
  EXPECT_EQ(engine.submit(generation(9, {{90, 10000}}), 0), Engine::Admission::too_large);
  for (std::uint64_t id = 1; id <= 4; ++id)
    EXPECT_EQ(engine.submit(generation(id, {{id, 100}}), 0), Engine::Admission::queued) << id;
  EXPECT_EQ(engine.running(), 1) << "the first began a step alone; a place is free for another";
  until(engine, 2100);
  EXPECT_EQ(engine.running(), 2);
  EXPECT_EQ(engine.waiting(), 2);
  EXPECT_EQ(engine.submit(generation(5, {{5, 100}}), 2100), Engine::Admission::full);
}

TEST(Engine, the_more_urgent_go_in_first) {
  EngineShape shape = small();
  shape.slots = 1;
  Engine engine(shape);
  engine.submit(generation(1, {{1, 100}}), 0);
  engine.submit(generation(2, {{2, 100}}, 4, 5), 0);
  engine.submit(generation(3, {{3, 100}}, 4, 0), 0);
  std::vector<Happening> const all = until(engine, seconds(1));
  EXPECT_LT(of(all, Happening::What::began, 3)[0].at, of(all, Happening::What::began, 2)[0].at);
}

TEST(Engine, without_memory_the_newest_of_the_least_urgent_is_read_anew_and_its_stream_goes_on) {
  EngineShape shape = small();
  shape.cache_tokens = 2100;
  shape.stride = 1;
  Engine engine(shape);
  engine.submit(generation(1, {{1, 1000}}, 90, 0), 0);
  engine.submit(generation(2, {{2, 1000}}, 90, 5), 0);
  std::vector<Happening> const all = until(engine, seconds(10));
  EXPECT_GT(engine.put_back, 0);
  for (std::uint64_t id = 1; id <= 2; ++id) {
    EXPECT_EQ(of(all, Happening::What::began, id).size(), 1u);
    std::vector<Happening> const events = of(all, Happening::What::event, id);
    ASSERT_EQ(events.size(), 90u);
    for (std::size_t i = 0; i < events.size(); ++i) EXPECT_EQ(events[i].number, static_cast<std::int64_t>(i) + 1);
  }
  EXPECT_EQ(of(all, Happening::What::done, 1).size() + of(all, Happening::What::done, 2).size(), 2u);
}

TEST(Engine, a_stream_that_is_taken_up_reads_what_was_said_and_goes_on_behind_it) {
  Engine engine(small());
  Generation made = generation(1, {{1, 100}}, 8);
  made.events = 3;
  engine.submit(std::move(made), 0);
  std::vector<Happening> const all = until(engine, seconds(1));
  std::vector<Happening> const events = of(all, Happening::What::event, 1);
  ASSERT_EQ(events.size(), 1u);
  EXPECT_EQ(events[0].number, 4);
  EXPECT_EQ(engine.tokens_read, 106);
}

TEST(Engine, time_that_ends_in_the_queue_is_no_run_and_in_the_batch_is_one) {
  EngineShape shape = small();
  shape.slots = 1;
  Engine engine(shape);
  Generation first = generation(1, {{1, 100}}, 1000);
  first.due = 20000;
  Generation second = generation(2, {{2, 100}});
  second.due = 10000;
  engine.submit(std::move(first), 0);
  engine.submit(std::move(second), 0);
  std::vector<Happening> const all = until(engine, seconds(1));
  EXPECT_EQ(of(all, Happening::What::expired, 2).size(), 1u);
  EXPECT_TRUE(of(all, Happening::What::began, 2).empty());
  EXPECT_EQ(of(all, Happening::What::late, 1).size(), 1u);
  EXPECT_EQ(engine.running() + engine.waiting(), 0);
}

TEST(Engine, whoever_leaves_takes_its_memory_along) {
  Engine engine(small());
  engine.submit(generation(1, {{1, 3000}}), 0);
  until(engine, 11100);
  EXPECT_GT(engine.used(), 0);
  EXPECT_TRUE(engine.cancel(1));
  EXPECT_FALSE(engine.cancel(1));
  EXPECT_EQ(engine.used(), 0);
  EXPECT_TRUE(of(until(engine, seconds(1)), Happening::What::began, 1).empty());
}

}  // namespace pipit::platform_fleet
