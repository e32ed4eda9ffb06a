// Guards of request forwarding, which tests disable one at a time, to show that the checkers detect the resulting fault
// (docs/requests.md). In the product all of them are enabled.
#pragma once
#include <cstdint>

namespace pipit {

// The guards of request forwarding.
enum class RequestGuard : std::uint8_t {
  answer_id,      // an answer is matched to the request whose id it carries
  not_run_proof,  // only the not-run header or status 421 proves that a request did not run
  torn_visible,   // a truncated answer is not passed on as complete
  attempts,       // a request is sent to no more workers than its route allows
  instance,       // a request names the worker instance that it is meant for
  seal,           // a success carries the worker's seal
  event_order,    // a stream that is resumed at another worker repeats no event
  event_end,      // a stream that ends with its connection is complete only after a complete event
  none
};

// The guard that is disabled in this thread; RequestGuard::none in the product.
inline RequestGuard& disabled_request_guard() {
  static thread_local RequestGuard off = RequestGuard::none;
  return off;
}
// Returns whether a guard is enabled in this thread.
inline bool guard_enabled(RequestGuard item) { return disabled_request_guard() != item; }

}  // namespace pipit
