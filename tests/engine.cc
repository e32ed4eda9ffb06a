// The engine of the stand-in workers, under virtual time.
#include "testing/platform_fleet_test/engine.h"

#include <gtest/gtest.h>

namespace pipit::platform_fleet {
namespace {

EngineConfig small_config() {
  EngineConfig out;
  out.slots = 2;
  out.queue_limit = 2;
  out.cache_tokens = 10000;
  out.prefill_chunk = 1000;
  out.tokens_per_event = 2;
  out.step_us = 1000;
  out.step_us_per_request = 100;
  out.step_us_per_thousand_tokens = 0;
  out.prefill_tokens_per_ms = 100;
  return out;
}

Generation generation(std::uint64_t id, std::vector<PromptPart> parts, std::int64_t out = 4, int priority = 5) {
  Generation made;
  made.id = id;
  made.priority = priority;
  made.parts = std::move(parts);
  for (PromptPart const& part : made.parts) made.prompt_tokens += part.tokens;
  made.output_tokens = out;
  made.deadline = seconds(100);
  return made;
}

std::vector<EngineEvent> advance_until(Engine& engine, Micros now) {
  std::vector<EngineEvent> out;
  engine.advance(now, out);
  return out;
}

std::vector<EngineEvent> events_of(std::vector<EngineEvent> const& all, EngineEvent::Kind kind, std::uint64_t id) {
  std::vector<EngineEvent> out;
  for (EngineEvent const& item : all)
    if (item.kind == kind && item.id == id) out.push_back(item);
  return out;
}

}  // namespace

TEST(Engine, prompt_is_prefilled_in_chunks_and_events_have_rising_numbers) {
  Engine engine(small_config());
  ASSERT_EQ(engine.submit(generation(1, {{10, 2500}}), 0), Engine::Admission::queued);
  std::vector<EngineEvent> const all = advance_until(engine, seconds(1));
  // Three chunks: 1000, 1000 and 500 tokens; the last step also produces the first token.
  Micros const first = 11100 + 11100 + 6100;
  ASSERT_EQ(events_of(all, EngineEvent::Kind::first_token, 1).size(), 1u);
  EXPECT_EQ(events_of(all, EngineEvent::Kind::first_token, 1)[0].at, first);
  std::vector<EngineEvent> const events = events_of(all, EngineEvent::Kind::stream_event, 1);
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(events[0].number, 1);
  EXPECT_EQ(events[0].at, first + 1100);
  EXPECT_EQ(events[1].number, 2);
  EXPECT_EQ(events_of(all, EngineEvent::Kind::completed, 1).size(), 1u);
  EXPECT_EQ(engine.running(), 0);
  EXPECT_EQ(engine.pinned_tokens(), 0);
  EXPECT_EQ(engine.next_step_end(), -1);
}

TEST(Engine, long_prompts_delay_decoding_of_the_batch_and_larger_batches_are_slower) {
  Engine engine(small_config());
  engine.submit(generation(1, {{10, 100}}, 40), 0);
  std::vector<EngineEvent> const alone = advance_until(engine, 2100 + 1100);
  ASSERT_EQ(events_of(alone, EngineEvent::Kind::stream_event, 1).size(), 1u);
  engine.submit(generation(2, {{20, 5000}}, 4), 3200);
  // The current step keeps its duration; the steps that follow process one chunk each, with two requests in the batch.
  std::vector<EngineEvent> const beside = advance_until(engine, 3200 + 1100 + 3 * 11200);
  std::vector<EngineEvent> const events = events_of(beside, EngineEvent::Kind::stream_event, 1);
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(events[1].at - events[0].at, 2 * 11200);
}

TEST(Engine, cached_part_is_reused_only_if_all_parts_before_it_are_cached) {
  Engine engine(small_config());
  engine.submit(generation(1, {{10, 1000}, {11, 2000}}), 0);
  advance_until(engine, seconds(1));
  EXPECT_EQ(engine.tokens_prefilled, 3000);
  engine.submit(generation(2, {{10, 1000}, {11, 2000}, {12, 500}}), seconds(1));
  advance_until(engine, seconds(2));
  EXPECT_EQ(engine.tokens_prefilled, 3500);
  EXPECT_EQ(engine.cached_tokens_reused, 3000);
  // Cached parts behind an uncached part are processed again.
  engine.submit(generation(3, {{99, 100}, {11, 2000}}), seconds(2));
  advance_until(engine, seconds(3));
  EXPECT_EQ(engine.tokens_prefilled, 3500 + 2100);
}

TEST(Engine, least_recently_used_parts_are_evicted_first) {
  Engine engine(small_config());
  engine.submit(generation(1, {{10, 3000}}), 0);
  advance_until(engine, seconds(1));
  engine.submit(generation(2, {{20, 3000}}), seconds(1));
  advance_until(engine, seconds(2));
  engine.submit(generation(3, {{10, 3000}}), seconds(2));
  advance_until(engine, seconds(3));
  engine.submit(generation(4, {{30, 5000}}), seconds(3));
  advance_until(engine, seconds(4));
  EXPECT_TRUE(engine.is_cached(10));
  EXPECT_FALSE(engine.is_cached(20));
  EXPECT_TRUE(engine.is_cached(30));
  EXPECT_LE(engine.cached_tokens(), 10000);
}

TEST(Engine, full_queue_and_requests_larger_than_memory_are_rejected) {
  Engine engine(small_config());
  EXPECT_EQ(engine.submit(generation(9, {{90, 10000}}), 0), Engine::Admission::too_large);
  for (std::uint64_t id = 1; id <= 4; ++id)
    EXPECT_EQ(engine.submit(generation(id, {{id, 100}}), 0), Engine::Admission::queued) << id;
  EXPECT_EQ(engine.running(), 1) << "the first request began a step alone; the batch has a free slot";
  advance_until(engine, 2100);
  EXPECT_EQ(engine.running(), 2);
  EXPECT_EQ(engine.queued(), 2);
  EXPECT_EQ(engine.submit(generation(5, {{5, 100}}), 2100), Engine::Admission::full);
}

TEST(Engine, more_urgent_requests_are_admitted_first) {
  EngineConfig config = small_config();
  config.slots = 1;
  Engine engine(config);
  engine.submit(generation(1, {{1, 100}}), 0);
  engine.submit(generation(2, {{2, 100}}, 4, 5), 0);
  engine.submit(generation(3, {{3, 100}}, 4, 0), 0);
  std::vector<EngineEvent> const all = advance_until(engine, seconds(1));
  EXPECT_LT(events_of(all, EngineEvent::Kind::first_token, 3)[0].at,
            events_of(all, EngineEvent::Kind::first_token, 2)[0].at);
}

TEST(Engine, preempted_request_is_prefilled_again_and_its_stream_continues) {
  EngineConfig config = small_config();
  config.cache_tokens = 2100;
  config.tokens_per_event = 1;
  Engine engine(config);
  engine.submit(generation(1, {{1, 1000}}, 90, 0), 0);
  engine.submit(generation(2, {{2, 1000}}, 90, 5), 0);
  std::vector<EngineEvent> const all = advance_until(engine, seconds(10));
  EXPECT_GT(engine.preemptions, 0);
  for (std::uint64_t id = 1; id <= 2; ++id) {
    EXPECT_EQ(events_of(all, EngineEvent::Kind::first_token, id).size(), 1u);
    std::vector<EngineEvent> const events = events_of(all, EngineEvent::Kind::stream_event, id);
    ASSERT_EQ(events.size(), 90u);
    for (std::size_t i = 0; i < events.size(); ++i) EXPECT_EQ(events[i].number, static_cast<std::int64_t>(i) + 1);
  }
  EXPECT_EQ(
      events_of(all, EngineEvent::Kind::completed, 1).size() + events_of(all, EngineEvent::Kind::completed, 2).size(),
      2u);
}

TEST(Engine, resumed_stream_prefills_the_received_events_and_continues_after_them) {
  Engine engine(small_config());
  Generation made = generation(1, {{1, 100}}, 8);
  made.received_events = 3;
  engine.submit(std::move(made), 0);
  std::vector<EngineEvent> const all = advance_until(engine, seconds(1));
  std::vector<EngineEvent> const events = events_of(all, EngineEvent::Kind::stream_event, 1);
  ASSERT_EQ(events.size(), 1u);
  EXPECT_EQ(events[0].number, 4);
  EXPECT_EQ(engine.tokens_prefilled, 106);
}

TEST(Engine, deadline_in_the_queue_is_not_a_run_and_deadline_in_the_batch_is_one) {
  EngineConfig config = small_config();
  config.slots = 1;
  Engine engine(config);
  Generation first = generation(1, {{1, 100}}, 1000);
  first.deadline = 20000;
  Generation second = generation(2, {{2, 100}});
  second.deadline = 10000;
  engine.submit(std::move(first), 0);
  engine.submit(std::move(second), 0);
  std::vector<EngineEvent> const all = advance_until(engine, seconds(1));
  EXPECT_EQ(events_of(all, EngineEvent::Kind::expired_in_queue, 2).size(), 1u);
  EXPECT_TRUE(events_of(all, EngineEvent::Kind::first_token, 2).empty());
  EXPECT_EQ(events_of(all, EngineEvent::Kind::expired_while_running, 1).size(), 1u);
  EXPECT_EQ(engine.running() + engine.queued(), 0);
}

TEST(Engine, cancelled_request_frees_its_memory) {
  Engine engine(small_config());
  engine.submit(generation(1, {{1, 3000}}), 0);
  advance_until(engine, 11100);
  EXPECT_GT(engine.pinned_tokens(), 0);
  EXPECT_TRUE(engine.cancel(1));
  EXPECT_FALSE(engine.cancel(1));
  EXPECT_EQ(engine.pinned_tokens(), 0);
  EXPECT_TRUE(events_of(advance_until(engine, seconds(1)), EngineEvent::Kind::first_token, 1).empty());
}

}  // namespace pipit::platform_fleet
