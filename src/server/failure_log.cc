#include "server/failure_log.h"

#include "base/events.h"

namespace pipit {

namespace {
constexpr std::uint64_t max_lines_per_second = 40;

char const* attempt_progress_name(AttemptProgress progress) {
  static char const* const names[] = {"none", "sent", "answering"};
  return names[static_cast<std::size_t>(progress)];
}

std::string milliseconds_text(Micros span) { return std::to_string(span / 1000); }
}  // namespace

bool FailureLog::may_write_line(Micros now) {
  if (second_started_at_ < 0 || now - second_started_at_ >= seconds(1)) {
    second_started_at_ = now;
    lines_this_second_ = 0;
    if (suppressed_ > 0) log_event(Event::request_failures_suppressed, std::to_string(suppressed_));
    suppressed_ = 0;
  }
  if (++lines_this_second_ <= max_lines_per_second) return true;
  ++suppressed_;
  return false;
}

void FailureLog::write(FailedRequest const& failed, std::string const& request_id, std::string const& last_failure,
                       AnswerProgress const& answer, Micros now) {
  if (log_is_muted() || !may_write_line(now)) return;
  std::string detail = "id " + request_id + " " + failure_outcome_name(failed.outcome) + " " +
                       error_code_row(failed.error).name + " route '" + failed.route + "' elapsed " +
                       milliseconds_text(failed.duration) + " ms time left " +
                       milliseconds_text(failed.time_remaining) + " ms sends " + std::to_string(failed.sends) +
                       " dials " + std::to_string(failed.connect_attempts);
  if (!failed.worker.empty())
    detail += " worker " + failed.worker + " progress " + attempt_progress_name(failed.progress) + " silent " +
              milliseconds_text(failed.silent_for) + " ms";
  if (answer.received_bytes > 0)
    detail += " received " + std::to_string(answer.received_bytes) + " B forwarded " +
              std::to_string(answer.forwarded_bytes) + " B backlog " + std::to_string(answer.backlog_bytes) +
              " B for " + milliseconds_text(answer.blocked_for) + " ms";
  if (!last_failure.empty()) detail += " last failure: " + last_failure;
  log_event(Event::request_failed, detail);
}

}  // namespace pipit
