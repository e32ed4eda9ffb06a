// Writes one log line for each request that failed, at a limited rate.
#pragma once
#include <cstdint>
#include <string>

#include "routing/dispatch/dispatcher.h"

namespace pipit {

// How many bytes of an answer's body reached which point between the worker and the client.
struct AnswerProgress {
  std::uint64_t received_bytes = 0;   // received from workers
  std::uint64_t forwarded_bytes = 0;  // of those, written to the client's connection
  std::uint64_t backlog_bytes = 0;    // of those, not yet accepted by the client's socket
  Micros blocked_for = 0;             // time for which the backlog has not been empty
};

// Logs failed requests. A node can afford a limited number of lines per second; further failures in that second are
// only counted, and the count is logged in the next second.
class FailureLog {
 public:
  // 'request_id' is the id that the client sent; 'last_failure' says how the last attempt ended and is empty if there
  // was no attempt.
  void write(FailedRequest const& failed, std::string const& request_id, std::string const& last_failure,
             AnswerProgress const& answer, Micros now);

 private:
  bool may_write_line(Micros now);

  Micros second_started_at_ = -1;
  std::uint64_t lines_this_second_ = 0;
  std::uint64_t suppressed_ = 0;  // failures since the last line that were counted but not logged
};

}  // namespace pipit
