// Guards on the path of a request that the proof switches off one at a time, to show that its judge sees them missing
// (docs/requests.md). In the product they are all on.
#pragma once
#include <cstdint>

namespace pipit {

enum class RequestGuard : std::uint8_t {
  answer_id,     // an answer belongs to the request whose id it bears
  promise_mark,  // only the mark, or 421, says that a request did not run
  torn_visible,  // an answer that was torn does not look whole
  attempts,      // no more workers than the route allows
  instance,      // the worker is told which one it is taken for
  seal,          // a success bears the worker's seal
  event_order,   // a stream that was taken up elsewhere repeats no event
  none
};

// The one that is off in this thread.
inline RequestGuard& request_guard_off() {
  static thread_local RequestGuard off = RequestGuard::none;
  return off;
}
inline bool guard(RequestGuard item) { return request_guard_off() != item; }

}  // namespace pipit
