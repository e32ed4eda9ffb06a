// The log's lines of requests that were not served: one each, and no more a second than a node can afford to write.
#pragma once
#include <cstdint>
#include <string>

#include "routing/dispatch/dispatcher.h"

namespace pipit {

// How far the bytes of an answer came.
struct AnswerProgress {
  std::uint64_t received_bytes = 0;   // of its body, from workers
  std::uint64_t forwarded_bytes = 0;  // of those, written to the caller
  std::uint64_t backlog_bytes = 0;    // written, but not yet taken by the caller's connection
  Micros blocked_for = 0;             // for how long some have waited
};

class FailureLog {
 public:
  // 'attempt' is the id that the caller gave; 'why' is how its last attempt ended, empty when there was none.
  void write(FailedRequest const& failed, std::string const& request_id, std::string const& last_failure,
             AnswerProgress const& answer, Micros now);

 private:
  bool may_write_line(Micros now);

  Micros second_started_at_ = -1;  // when the present second began
  std::uint64_t lines_this_second_ = 0;
  std::uint64_t suppressed_ = 0;  // failures since the last line that were only counted
};

}  // namespace pipit
