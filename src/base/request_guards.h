// Guards on the path of a request, which the tests switch off one at a time, to show that the checkers notice
// (docs/requests.md). In the product they are all on.
#pragma once
#include <cstdint>

namespace pipit {

enum class RequestGuard : std::uint8_t {
  answer_id,      // an answer belongs to the request whose id it bears
  not_run_proof,  // only the mark, or 421, says that a request did not run
  torn_visible,   // an answer that was torn does not look whole
  attempts,       // no more workers than the route allows
  instance,       // the worker is told which one it is taken for
  seal,           // a success bears the worker's seal
  event_order,    // a stream that was taken up elsewhere repeats no event
  event_end,      // a stream that ends with its connection is whole only after a whole event
  none
};

// The guard that is switched off in this thread; RequestGuard::none in the product.
inline RequestGuard& disabled_request_guard() {
  static thread_local RequestGuard off = RequestGuard::none;
  return off;
}
// Whether a guard is on.
inline bool guard_enabled(RequestGuard item) { return disabled_request_guard() != item; }

}  // namespace pipit
