// At most once: every combination of what is known of a request, how far its attempt came, and how that ended (§12.5).
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "routing/dispatch/retry_decision.h"

namespace pipit {

namespace {
struct Case {
  Traits traits;
  AttemptProgress progress = AttemptProgress::none;
  AttemptEnd end = AttemptEnd::complete;

  bool another() const { return traits.attempts && traits.budget && traits.time; }
  // What may go on at another worker may run there once more: it may repeat as well.
  bool twice() const { return traits.repeatable || traits.resumable; }
  // This attempt may have run: a byte may have left, and the worker did not say otherwise.
  bool may_have_run() const { return progress != AttemptProgress::none && end != AttemptEnd::declined; }
  std::string text() const {
    std::string out;
    for (bool const flag :
         {traits.repeatable, traits.resumable, traits.attempts, traits.budget, traits.time, traits.may_have_run})
      out += flag ? '1' : '0';
    return "repeatable resumable attempts budget time ran " + out + ", reach " +
           std::to_string(static_cast<int>(progress)) + ", end " + std::to_string(static_cast<int>(end));
  }
};

Traits traits_of(unsigned bits) {
  Traits out;
  out.repeatable = (bits & 1) != 0;
  out.resumable = (bits & 2) != 0;
  out.attempts = (bits & 4) != 0;
  out.budget = (bits & 8) != 0;
  out.time = (bits & 16) != 0;
  out.may_have_run = (bits & 32) != 0;
  return out;
}

void each(std::function<void(Case const&, RetryDecision)> const& judge) {
  for (unsigned bits = 0; bits < 64; ++bits)
    for (AttemptProgress const progress : {AttemptProgress::none, AttemptProgress::sent, AttemptProgress::answering})
      for (std::uint8_t end = 0; end < attempt_ends; ++end) {
        Case item{traits_of(bits), progress, static_cast<AttemptEnd>(end)};
        SCOPED_TRACE(item.text());
        judge(item, decide_retry(item.traits, item.progress, item.end));
      }
}
}  // namespace

TEST(RetryDecision, what_may_not_repeat_is_sent_again_only_when_it_was_declined) {
  each([](Case const& item, RetryDecision decision) {
    if (!item.twice() && item.may_have_run()) {
      EXPECT_NE(decision, RetryDecision::retry);
    }
  });
}

TEST(RetryDecision, nobody_is_told_to_come_back_with_what_may_have_run_and_may_not_repeat) {
  each([](Case const& item, RetryDecision decision) {
    if (!item.traits.repeatable && (item.traits.may_have_run || item.may_have_run())) {
      EXPECT_NE(decision, RetryDecision::refuse);
    }
  });
}

TEST(RetryDecision, another_worker_needs_attempts_budget_and_time) {
  each([](Case const& item, RetryDecision decision) {
    if (decision != RetryDecision::retry) return;
    EXPECT_TRUE(item.traits.time);
    // Where nothing has left, another worker costs nobody anything. An attempt that goes on with an answer is in the
    // progress of that answer from its beginning, and has sent nothing either while its worker was not reached.
    bool const continuation_unsent = item.progress == AttemptProgress::answering && item.end == AttemptEnd::unreached;
    if (item.progress != AttemptProgress::none && !continuation_unsent) {
      EXPECT_TRUE(item.another());
    }
  });
}

TEST(RetryDecision, what_was_passed_on_goes_on_ends_or_is_cut) {
  each([](Case const& item, RetryDecision decision) {
    if (item.progress != AttemptProgress::answering) {
      EXPECT_NE(decision, RetryDecision::cut);
      return;
    }
    EXPECT_TRUE(decision == RetryDecision::retry || decision == RetryDecision::cut || decision == RetryDecision::done);
    if (decision == RetryDecision::retry) {
      EXPECT_TRUE(item.traits.resumable);
    }
  });
}

TEST(RetryDecision, only_a_whole_answer_is_done) {
  each([](Case const& item, RetryDecision decision) {
    EXPECT_EQ(decision == RetryDecision::done, item.end == AttemptEnd::complete);
  });
}

TEST(RetryDecision, only_a_failure_of_the_workers_own_is_passed_back) {
  each([](Case const& item, RetryDecision decision) {
    if (decision == RetryDecision::pass) {
      EXPECT_EQ(item.end, AttemptEnd::failed);
    }
    if (item.end == AttemptEnd::failed && item.progress != AttemptProgress::answering) {
      EXPECT_TRUE(decision == RetryDecision::pass || decision == RetryDecision::retry);
    }
  });
}

TEST(RetryDecision, doubt_is_told_only_of_what_may_not_repeat_and_may_have_run) {
  each([](Case const& item, RetryDecision decision) {
    if (decision != RetryDecision::fail) return;
    EXPECT_FALSE(item.traits.repeatable);
    EXPECT_TRUE(item.traits.may_have_run || item.may_have_run());
  });
}

TEST(RetryDecision, no_second_chance_is_left_unused) {
  each([](Case const& item, RetryDecision decision) {
    if (!item.another() || item.end == AttemptEnd::complete) return;
    if (item.progress == AttemptProgress::answering) {
      if (item.traits.resumable && item.end != AttemptEnd::failed) {
        EXPECT_EQ(decision, RetryDecision::retry);
      }
    } else if (item.traits.repeatable || item.end == AttemptEnd::declined ||
               (item.progress == AttemptProgress::none && item.end != AttemptEnd::failed)) {
      EXPECT_EQ(decision, RetryDecision::retry);
    }
  });
}

TEST(RetryDecision, an_answer_that_may_go_on_goes_past_a_worker_that_was_not_reached_while_there_is_time) {
  each([](Case const& item, RetryDecision decision) {
    if (item.progress != AttemptProgress::answering || item.end != AttemptEnd::unreached) return;
    bool const goes_on = item.traits.resumable && item.traits.time;
    EXPECT_EQ(decision, goes_on ? RetryDecision::retry : RetryDecision::cut);
  });
}

TEST(RetryDecision, more_attempts_budget_or_time_take_no_second_chance_away) {
  each([](Case const& item, RetryDecision decision) {
    if (decision != RetryDecision::retry) return;
    for (int i = 0; i < 3; ++i) {
      Traits more = item.traits;
      (i == 0 ? more.attempts : i == 1 ? more.budget : more.time) = true;
      EXPECT_EQ(decide_retry(more, item.progress, item.end), RetryDecision::retry);
    }
  });
}

}  // namespace pipit
