// At-most-once execution: every combination of request conditions, progress of the attempt and its end (§12.5).
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "routing/dispatch/retry_decision.h"

namespace pipit {

namespace {
struct Case {
  RetryConditions conditions;
  AttemptProgress progress = AttemptProgress::none;
  AttemptEnd end = AttemptEnd::complete;

  bool may_retry() const { return conditions.attempts_left && conditions.budget_left && conditions.time_left; }
  // A resumable answer may run again at another worker, as a repeatable request may.
  bool may_run_twice() const { return conditions.repeatable || conditions.resumable; }
  // Whether this attempt may have run: a byte may have left, and the worker did not decline the request.
  bool may_have_run() const { return progress != AttemptProgress::none && end != AttemptEnd::declined; }
  std::string text() const {
    std::string out;
    for (bool const flag : {conditions.repeatable, conditions.resumable, conditions.attempts_left,
                            conditions.budget_left, conditions.time_left, conditions.may_have_run})
      out += flag ? '1' : '0';
    return "repeatable resumable attempts budget time ran " + out + ", reach " +
           std::to_string(static_cast<int>(progress)) + ", end " + std::to_string(static_cast<int>(end));
  }
};

RetryConditions conditions_of(unsigned bits) {
  RetryConditions out;
  out.repeatable = (bits & 1) != 0;
  out.resumable = (bits & 2) != 0;
  out.attempts_left = (bits & 4) != 0;
  out.budget_left = (bits & 8) != 0;
  out.time_left = (bits & 16) != 0;
  out.may_have_run = (bits & 32) != 0;
  return out;
}

void for_each_case(std::function<void(Case const&, RetryDecision)> const& check) {
  for (unsigned bits = 0; bits < 64; ++bits)
    for (AttemptProgress const progress : {AttemptProgress::none, AttemptProgress::sent, AttemptProgress::answering})
      for (std::uint8_t end = 0; end < attempt_end_count; ++end) {
        Case item{conditions_of(bits), progress, static_cast<AttemptEnd>(end)};
        SCOPED_TRACE(item.text());
        check(item, decide_retry(item.conditions, item.progress, item.end));
      }
}
}  // namespace

TEST(RetryDecision, a_request_that_is_not_repeatable_is_retried_only_after_it_was_declined) {
  for_each_case([](Case const& item, RetryDecision decision) {
    if (!item.may_run_twice() && item.may_have_run()) {
      EXPECT_NE(decision, RetryDecision::retry);
    }
  });
}

TEST(RetryDecision, a_request_that_may_have_run_and_is_not_repeatable_is_never_refused) {
  for_each_case([](Case const& item, RetryDecision decision) {
    if (!item.conditions.repeatable && (item.conditions.may_have_run || item.may_have_run())) {
      EXPECT_NE(decision, RetryDecision::refuse);
    }
  });
}

TEST(RetryDecision, a_retry_needs_attempts_budget_and_time) {
  for_each_case([](Case const& item, RetryDecision decision) {
    if (decision != RetryDecision::retry) return;
    EXPECT_TRUE(item.conditions.time_left);
    // Skipping a worker is free while no byte has left. An attempt that resumes an answer starts with the progress of
    // that answer, and has sent no byte either when its worker is unreachable.
    bool const continuation_unsent = item.progress == AttemptProgress::answering && item.end == AttemptEnd::unreached;
    if (item.progress != AttemptProgress::none && !continuation_unsent) {
      EXPECT_TRUE(item.may_retry());
    }
  });
}

TEST(RetryDecision, an_answer_that_has_begun_is_retried_completed_or_aborted) {
  for_each_case([](Case const& item, RetryDecision decision) {
    if (item.progress != AttemptProgress::answering) {
      EXPECT_NE(decision, RetryDecision::abort_answer);
      return;
    }
    EXPECT_TRUE(decision == RetryDecision::retry || decision == RetryDecision::abort_answer ||
                decision == RetryDecision::done);
    if (decision == RetryDecision::retry) {
      EXPECT_TRUE(item.conditions.resumable);
    }
  });
}

TEST(RetryDecision, only_a_complete_answer_is_done) {
  for_each_case([](Case const& item, RetryDecision decision) {
    EXPECT_EQ(decision == RetryDecision::done, item.end == AttemptEnd::complete);
  });
}

TEST(RetryDecision, only_an_error_of_the_worker_is_forwarded) {
  for_each_case([](Case const& item, RetryDecision decision) {
    if (decision == RetryDecision::forward_failure) {
      EXPECT_EQ(item.end, AttemptEnd::failed);
    }
    if (item.end == AttemptEnd::failed && item.progress != AttemptProgress::answering) {
      EXPECT_TRUE(decision == RetryDecision::forward_failure || decision == RetryDecision::retry);
    }
  });
}

TEST(RetryDecision, only_a_request_that_may_have_run_and_is_not_repeatable_fails) {
  for_each_case([](Case const& item, RetryDecision decision) {
    if (decision != RetryDecision::fail) return;
    EXPECT_FALSE(item.conditions.repeatable);
    EXPECT_TRUE(item.conditions.may_have_run || item.may_have_run());
  });
}

TEST(RetryDecision, a_retry_that_is_allowed_is_made) {
  for_each_case([](Case const& item, RetryDecision decision) {
    if (!item.may_retry() || item.end == AttemptEnd::complete) return;
    if (item.progress == AttemptProgress::answering) {
      if (item.conditions.resumable && item.end != AttemptEnd::failed) {
        EXPECT_EQ(decision, RetryDecision::retry);
      }
    } else if (item.conditions.repeatable || item.end == AttemptEnd::declined ||
               (item.progress == AttemptProgress::none && item.end != AttemptEnd::failed)) {
      EXPECT_EQ(decision, RetryDecision::retry);
    }
  });
}

TEST(RetryDecision, a_resumable_answer_skips_an_unreachable_worker_while_time_is_left) {
  for_each_case([](Case const& item, RetryDecision decision) {
    if (item.progress != AttemptProgress::answering || item.end != AttemptEnd::unreached) return;
    bool const resumes = item.conditions.resumable && item.conditions.time_left;
    EXPECT_EQ(decision, resumes ? RetryDecision::retry : RetryDecision::abort_answer);
  });
}

TEST(RetryDecision, more_attempts_budget_or_time_never_prevent_a_retry) {
  for_each_case([](Case const& item, RetryDecision decision) {
    if (decision != RetryDecision::retry) return;
    for (int i = 0; i < 3; ++i) {
      RetryConditions relaxed = item.conditions;
      (i == 0 ? relaxed.attempts_left : i == 1 ? relaxed.budget_left : relaxed.time_left) = true;
      EXPECT_EQ(decide_retry(relaxed, item.progress, item.end), RetryDecision::retry);
    }
  });
}

}  // namespace pipit
