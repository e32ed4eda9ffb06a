#include "routing/dispatch/retry_decision.h"

#include "base/guards.h"

namespace pipit {

RetryDecision decide_retry(Traits const& t, AttemptProgress progress, AttemptEnd end) {
  bool const another = t.attempts && t.budget && t.time;
  if (end == AttemptEnd::complete) return RetryDecision::done;
  if (progress == AttemptProgress::answering) {
    // Nothing reached a worker that cannot be reached: going past it needs no attempt of the route and no budget.
    bool const onward = end == AttemptEnd::unreached ? t.time : another;
    return t.resumable && onward && end != AttemptEnd::failed ? RetryDecision::retry : RetryDecision::cut;
  }
  // Whether it may be told that it has not run: a request that may repeat loses nothing by being asked for again.
  bool const clean = t.repeatable || !t.may_have_run || !guard(Guard::honest_execution_status);
  switch (end) {
    case AttemptEnd::unreached:
      // Nothing has left: another worker costs nobody anything.
      if (progress == AttemptProgress::none)
        return t.time ? RetryDecision::retry : clean ? RetryDecision::refuse : RetryDecision::fail;
      return t.repeatable ? (another ? RetryDecision::retry : RetryDecision::refuse) : RetryDecision::fail;
    case AttemptEnd::declined:
      return another ? RetryDecision::retry : clean ? RetryDecision::refuse : RetryDecision::fail;
    case AttemptEnd::failed:
      return t.repeatable && another ? RetryDecision::retry : RetryDecision::pass;
    default:
      if (progress == AttemptProgress::none)
        return t.time ? RetryDecision::retry : clean ? RetryDecision::refuse : RetryDecision::fail;
      if (!guard(Guard::never_repeat) && another) return RetryDecision::retry;
      if (!guard(Guard::honest_execution_status) && !another) return RetryDecision::refuse;
      return t.repeatable ? (another ? RetryDecision::retry : RetryDecision::refuse) : RetryDecision::fail;
  }
}

}  // namespace pipit
