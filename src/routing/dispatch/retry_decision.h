// What becomes of a request when an attempt of it ends: the one table of at-most-once (design §12.5). No state, no I/O.
#pragma once
#include <cstdint>

namespace pipit {

// How far the attempt had come.
enum class AttemptProgress : std::uint8_t {
  none,      // no byte can have left
  sent,      // a byte may have left; nothing of an answer has been passed on
  answering  // a part of an answer has been passed on
};

enum class AttemptEnd : std::uint8_t {
  unreached,  // no connection came up
  declined,   // the worker says that it did not run it
  failed,     // the worker answered with a failure of its own
  broke,      // the connection ended, or what came is no answer to this request
  silent,     // nothing came for too long; the attempt was cut
  complete    // the whole answer has been passed on
};
constexpr std::uint8_t attempt_ends = 6;

struct Traits {
  bool repeatable = false;    // may run more than once
  bool resumable = false;     // and may go on at another worker in the middle of its answer
  bool attempts = false;      // another worker may be sent to
  bool budget = false;        // and what all nodes share for that is not used up
  bool time = false;          // and enough of the caller's time is left
  bool may_have_run = false;  // an earlier attempt may have run
};

enum class RetryDecision : std::uint8_t {
  done,    // nothing more to do
  retry,   // to another worker
  pass,    // the worker's own failure goes back unchanged
  refuse,  // it has not run and never will: come back later
  fail,    // nobody knows whether it ran
  cut      // what was passed on can't be completed
};

RetryDecision decide_retry(Traits const& traits, AttemptProgress progress, AttemptEnd end);

}  // namespace pipit
