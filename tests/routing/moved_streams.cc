// Answers that have begun and go on at another worker: when one is cut for that, and what ends it (§12.5).
#include "base/key_digest.h"
#include "tests/routing/dispatcher_fixture.h"

namespace pipit {

namespace {
class MovedStreams : public DispatcherTest {
 protected:
  // A resumable stream at a worker, of which a part has gone to its caller.
  std::string begin_stream(std::uint64_t id) {
    std::string const at = place(id, "flow");
    dispatcher.on_sent(id, now);
    dispatcher.on_answer_begin(id, now);
    return at;
  }
  // Ticks for so long, collecting what comes out.
  void pass(Micros span) {
    out = DispatchEffects();
    for (Micros const stop = now + span; now < stop;) {
      now += millis(50);
      dispatcher.tick(now, out);
    }
  }
};
}  // namespace

// The open incident of cut answers: the second worker could not be reached, and the budget for sending once more, which
// the first move had used up, ended an answer whose worker was well.
TEST_F(MovedStreams, one_goes_on_past_a_worker_that_cannot_be_reached_whatever_the_budget) {
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
  EXPECT_EQ(dispatcher.counters.retries, 1u) << "one worker more was reached, so one re-send was paid for";
  EXPECT_TRUE(free_of_work());
}

TEST_F(MovedStreams, one_whose_worker_broke_off_waits_for_another_until_its_callers_time_is_over) {
  worker("w");
  ASSERT_EQ(begin_stream(1), "w");
  end(1, AttemptEnd::broke);
  pass(seconds(1));
  EXPECT_TRUE(out.aborted_answers.empty()) << "a worker may come";
  worker("v");
  wait(millis(100));
  EXPECT_EQ(started(1), "v");
  dispatcher.on_sent(1, now);
  end(1, AttemptEnd::complete);
  EXPECT_EQ(dispatcher.counters.served, 1u);
}

TEST_F(MovedStreams, one_whose_worker_broke_off_is_broken_off_at_the_end_of_its_time) {
  worker("w");
  Micros const came = now;
  ASSERT_EQ(begin_stream(1), "w");
  end(1, AttemptEnd::broke);
  wait(seconds(10));
  EXPECT_EQ(out.aborted_answers, std::vector<std::uint64_t>{1});
  EXPECT_LE(now - came, seconds(3));
  EXPECT_TRUE(free_of_work());
}

TEST_F(MovedStreams, none_is_cut_for_a_worker_that_is_full_or_was_put_aside) {
  for (char const* const id : {"v", "w"}) worker(id);
  std::string const first = begin_stream(1);
  std::string const other = first == "w" ? "v" : "w";
  registry.find(other)->running = registry.find(other)->slots;
  pass(seconds(1));
  EXPECT_TRUE(out.cancelled_attempts.empty());
  registry.find(other)->running = 0;
  registry.find(other)->ejected = now + seconds(5);
  pass(millis(200));
  EXPECT_TRUE(out.cancelled_attempts.empty());
  registry.find(other)->ejected = now;
  wait(millis(100));
  EXPECT_EQ(started(1), other);
}

// A link that is full to the brim: no worker is heard, and a new connection would not come up either.
TEST_F(MovedStreams, none_is_cut_while_no_worker_at_all_is_heard) {
  for (char const* const id : {"s", "t", "u", "v", "w"}) worker(id);
  std::set<std::string> at;
  for (std::uint64_t id = 1; id <= 4; ++id) at.insert(begin_stream(id));
  ASSERT_GE(at.size(), 3u);
  pass(seconds(2));
  EXPECT_TRUE(out.cancelled_attempts.empty());
  // What had been held up comes, one worker's bytes first.
  dispatcher.on_answer_event(1, now);
  pass(millis(100));
  EXPECT_TRUE(out.cancelled_attempts.empty()) << "the others are only a moment behind";
  for (int step = 0; step < 10; ++step) {
    dispatcher.on_answer_event(1, now);
    pass(millis(100));
  }
  EXPECT_FALSE(out.cancelled_attempts.empty() && dispatcher.counters.silent_attempts == 0)
      << "a worker that stays silent is left all the same";
}

// What may not be sent once more now would be broken off, though its worker may still answer.
TEST_F(MovedStreams, none_is_cut_while_its_key_is_not_confirmed) {
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
  RequestInfo query = query_of("flow");
  query.key_digest = key_digest_of("key-1");
  ASSERT_FALSE(place(1, query).empty());
  dispatcher.on_sent(1, now);
  dispatcher.on_answer_begin(1, now);
  pass(millis(1500));
  EXPECT_TRUE(out.cancelled_attempts.empty());
  EXPECT_TRUE(out.aborted_answers.empty());
  lease.confirm(now);
  wait(millis(100));
  EXPECT_EQ(out.cancelled_attempts, std::vector<std::uint64_t>{1});
  EXPECT_FALSE(started(1).empty());
}

TEST_F(MovedStreams, one_silent_worker_among_others_that_are_heard_is_left) {
  for (char const* const id : {"s", "t", "u", "v", "w"}) worker(id);
  std::set<std::string> at;
  for (std::uint64_t id = 1; id <= 4; ++id) at.insert(begin_stream(id));
  ASSERT_GE(at.size(), 3u);
  for (int step = 0; step < 20 && dispatcher.counters.silent_attempts == 0; ++step) {
    for (std::uint64_t id = 2; id <= 4; ++id) dispatcher.on_answer_event(id, now);
    pass(millis(50));
  }
  EXPECT_EQ(dispatcher.counters.silent_attempts, 1u);
}

}  // namespace pipit
