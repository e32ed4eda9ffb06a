// Resumable answers that move to another worker after they have begun: when an attempt is cancelled for a move, and
// what ends the answer (§12.5).
#include "base/key_digest.h"
#include "tests/routing/dispatcher_fixture.h"

namespace pipit {

namespace {
class MovedStream : public DispatcherTest {
 protected:
  // Starts a resumable stream of which a part has been forwarded to the client. Returns its worker.
  std::string begin_stream(std::uint64_t id) {
    std::string const at = place(id, "flow");
    dispatcher.on_sent(id, now);
    dispatcher.on_answer_begin(id, now);
    return at;
  }
  // Ticks for 'span' and collects the effects.
  void run_for(Micros span) {
    out = DispatchEffects();
    for (Micros const stop = now + span; now < stop;) {
      now += millis(50);
      dispatcher.tick(now, out);
    }
  }
};
}  // namespace

// Guards against aborted answers: the second worker was unreachable, and the retry budget, which the first move had
// used up, ended an answer whose worker was healthy.
TEST_F(MovedStream, an_unreachable_worker_is_skipped_without_retry_budget) {
  dispatcher.set_retry_budget(0, 1);
  for (char const* const id : {"u", "v", "w"}) worker(id);
  std::string const first = begin_stream(1);
  wait(seconds(2));
  std::string const second = started(1);
  ASSERT_FALSE(second.empty());
  now += millis(350);
  end(1, AttemptEnd::unreached);
  EXPECT_TRUE(out.aborted_answers.empty());
  ASSERT_FALSE(started(1).empty());
  EXPECT_NE(started(1), first);
  EXPECT_NE(started(1), second);
  EXPECT_TRUE(out.attempts[0].resumes_answer);
  dispatcher.on_sent(1, now);
  end(1, AttemptEnd::complete);
  EXPECT_EQ(dispatcher.counters.served, 1u);
  EXPECT_EQ(dispatcher.counters.retries, 1u) << "one further worker was reached, so one retry was paid for";
  EXPECT_TRUE(free_of_work());
}

TEST_F(MovedStream, after_a_break_the_answer_waits_for_another_worker) {
  worker("w");
  ASSERT_EQ(begin_stream(1), "w");
  end(1, AttemptEnd::broke);
  run_for(seconds(1));
  EXPECT_TRUE(out.aborted_answers.empty()) << "a worker may register";
  worker("v");
  wait(millis(100));
  EXPECT_EQ(started(1), "v");
  dispatcher.on_sent(1, now);
  end(1, AttemptEnd::complete);
  EXPECT_EQ(dispatcher.counters.served, 1u);
}

TEST_F(MovedStream, after_a_break_without_another_worker_the_answer_is_aborted_at_its_deadline) {
  worker("w");
  Micros const arrived_at = now;
  ASSERT_EQ(begin_stream(1), "w");
  end(1, AttemptEnd::broke);
  wait(seconds(10));
  EXPECT_EQ(out.aborted_answers, std::vector<std::uint64_t>{1});
  EXPECT_LE(now - arrived_at, seconds(3));
  EXPECT_TRUE(free_of_work());
}

TEST_F(MovedStream, no_attempt_is_cancelled_for_a_full_or_ejected_worker) {
  for (char const* const id : {"v", "w"}) worker(id);
  std::string const first = begin_stream(1);
  std::string const other = first == "w" ? "v" : "w";
  registry.find(other)->running = registry.find(other)->slots;
  run_for(seconds(1));
  EXPECT_TRUE(out.cancelled_attempts.empty());
  registry.find(other)->running = 0;
  registry.find(other)->ejected = now + seconds(5);
  run_for(millis(200));
  EXPECT_TRUE(out.cancelled_attempts.empty());
  registry.find(other)->ejected = now;
  wait(millis(100));
  EXPECT_EQ(started(1), other);
}

// On a saturated link no worker is heard, and a new connection could not be opened either.
TEST_F(MovedStream, no_attempt_is_cancelled_while_no_worker_at_all_is_heard) {
  for (char const* const id : {"s", "t", "u", "v", "w"}) worker(id);
  std::set<std::string> at;
  for (std::uint64_t id = 1; id <= 4; ++id) at.insert(begin_stream(id));
  ASSERT_GE(at.size(), 3u);
  run_for(seconds(2));
  EXPECT_TRUE(out.cancelled_attempts.empty());
  // The delayed bytes arrive, those of one worker first.
  dispatcher.on_answer_event(1, now);
  run_for(millis(100));
  EXPECT_TRUE(out.cancelled_attempts.empty()) << "the bytes of the others are only a moment behind";
  for (int step = 0; step < 10; ++step) {
    dispatcher.on_answer_event(1, now);
    run_for(millis(100));
  }
  EXPECT_FALSE(out.cancelled_attempts.empty() && dispatcher.counters.silent_attempts == 0)
      << "an attempt was cancelled that does not count as silent";
}

// A request that may not be retried now would be aborted, although its worker may still answer.
TEST_F(MovedStream, no_attempt_is_cancelled_while_its_key_is_not_confirmed) {
  Result<std::shared_ptr<Description const>> const keyed =
      read_description("{\"format\":1,\"lanes\":[],\"pools\":[{\"name\":\"p\",\"model\":\"m\"}],\"routes\":[" +
                       route_text("flow", ",\"streams\":true,\"resumable\":true") +
                       "],\"tenants\":[{\"name\":\"weavers\",\"keys\":[\"key-1\"]}]}");
  ASSERT_TRUE(keyed);
  dispatcher.set_description(keyed.value());
  ConfigurationLease lease(millis(500));
  dispatcher.set_lease(lease);
  lease.confirm(now);
  for (char const* const id : {"v", "w"}) worker(id);
  RequestInfo info = request_info("flow");
  info.key_digest = key_digest_of("key-1");
  ASSERT_FALSE(place(1, info).empty());
  dispatcher.on_sent(1, now);
  dispatcher.on_answer_begin(1, now);
  run_for(millis(1500));
  EXPECT_TRUE(out.cancelled_attempts.empty());
  EXPECT_TRUE(out.aborted_answers.empty());
  lease.confirm(now);
  wait(millis(100));
  EXPECT_EQ(out.cancelled_attempts, std::vector<std::uint64_t>{1});
  EXPECT_FALSE(started(1).empty());
}

TEST_F(MovedStream, a_stream_leaves_the_only_silent_worker) {
  for (char const* const id : {"s", "t", "u", "v", "w"}) worker(id);
  std::set<std::string> at;
  for (std::uint64_t id = 1; id <= 4; ++id) at.insert(begin_stream(id));
  ASSERT_GE(at.size(), 3u);
  for (int step = 0; step < 20 && dispatcher.counters.silent_attempts == 0; ++step) {
    for (std::uint64_t id = 2; id <= 4; ++id) dispatcher.on_answer_event(id, now);
    run_for(millis(50));
  }
  EXPECT_EQ(dispatcher.counters.silent_attempts, 1u);
}

}  // namespace pipit
