// Decides what happens to a request when one of its attempts ends: the single place where at-most-once execution is
// decided (design §12.5). Pure functions without state or I/O.
#pragma once
#include <cstdint>

namespace pipit {

// How far an attempt got before it ended.
enum class AttemptProgress : std::uint8_t {
  none,      // no byte of the request can have left this node
  sent,      // a byte of the request may have left; no part of the answer has been forwarded to the client
  answering  // a part of the answer has been forwarded to the client
};

// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  unreached,  // no connection to the worker could be opened
  declined,   // the worker stated that it did not run the request
  failed,     // the worker answered with an error of its own
  broke,      // the connection closed early, or the bytes received are not an answer to this request
  silent,     // no bytes arrived within the silence limit; this node cancelled the attempt
  complete    // the complete answer has been forwarded
};
constexpr std::uint8_t attempt_end_count = 6;

// The state of a request that decides whether it may be retried.
struct RetryConditions {
  bool repeatable = false;     // the request may run more than once
  bool resumable = false;      // another worker may continue an answer that has begun
  bool attempts_left = false;  // the route's limit on attempts allows another worker
  bool budget_left = false;    // the retry budget that all nodes share is not exhausted
  bool time_left = false;      // enough time is left before the client's deadline
  bool may_have_run = false;   // an earlier attempt may have run
};

// What the dispatcher does next with a request whose attempt has ended.
enum class RetryDecision : std::uint8_t {
  done,             // the request was served
  retry,            // send the request to another worker
  forward_failure,  // forward the worker's own error unchanged
  refuse,           // the request did not run and will not: the client may retry later
  fail,             // it is unknown whether the request ran
  abort_answer      // the part of the answer already forwarded cannot be completed
};

// Decides what follows the end of an attempt that got as far as 'progress'. The conditions describe the request before
// this attempt: 'may_have_run' excludes it.
RetryDecision decide_retry(RetryConditions const& conditions, AttemptProgress progress, AttemptEnd end);

}  // namespace pipit
