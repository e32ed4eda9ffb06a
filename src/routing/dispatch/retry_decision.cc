#include "routing/dispatch/retry_decision.h"

#include "base/guards.h"

namespace pipit {

RetryDecision decide_retry(RetryConditions const& conditions, AttemptProgress progress, AttemptEnd end) {
  bool const may_retry = conditions.attempts_left && conditions.budget_left && conditions.time_left;
  if (end == AttemptEnd::complete) return RetryDecision::done;
  if (progress == AttemptProgress::answering) {
    // An unreachable worker received no byte: skipping it consumes neither an attempt of the route nor budget.
    bool const may_continue = end == AttemptEnd::unreached ? conditions.time_left : may_retry;
    return conditions.resumable && may_continue && end != AttemptEnd::failed ? RetryDecision::retry
                                                                             : RetryDecision::abort_answer;
  }
  // Whether the client may be told that the request did not run. A repeatable request is safe to send again even if an
  // earlier attempt ran.
  bool const may_refuse =
      conditions.repeatable || !conditions.may_have_run || !guard_enabled(Guard::honest_execution_status);
  switch (end) {
    case AttemptEnd::unreached:
      // No byte left this node, so another worker can be tried at no cost.
      if (progress == AttemptProgress::none)
        return conditions.time_left ? RetryDecision::retry : may_refuse ? RetryDecision::refuse : RetryDecision::fail;
      return conditions.repeatable ? (may_retry ? RetryDecision::retry : RetryDecision::refuse) : RetryDecision::fail;
    case AttemptEnd::declined:
      return may_retry ? RetryDecision::retry : may_refuse ? RetryDecision::refuse : RetryDecision::fail;
    case AttemptEnd::failed:
      return conditions.repeatable && may_retry ? RetryDecision::retry : RetryDecision::forward_failure;
    default:
      if (progress == AttemptProgress::none)
        return conditions.time_left ? RetryDecision::retry : may_refuse ? RetryDecision::refuse : RetryDecision::fail;
      if (!guard_enabled(Guard::never_repeat) && may_retry) return RetryDecision::retry;
      if (!guard_enabled(Guard::honest_execution_status) && !may_retry) return RetryDecision::refuse;
      return conditions.repeatable ? (may_retry ? RetryDecision::retry : RetryDecision::refuse) : RetryDecision::fail;
  }
}

}  // namespace pipit
