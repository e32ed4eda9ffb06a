#include "server/failure_log.h"

#include "base/events.h"

namespace pipit {

namespace {
constexpr std::uint64_t lines_most = 40;  // a second

char const* attempt_progress_name(AttemptProgress progress) {
  static char const* const names[] = {"none", "sent", "answering"};
  return names[static_cast<std::size_t>(progress)];
}

std::string in_ms(Micros span) { return std::to_string(span / 1000); }
}  // namespace

bool FailureLog::affords(Micros now) {
  if (second_ < 0 || now - second_ >= seconds(1)) {
    second_ = now;
    lines_ = 0;
    if (untold_ > 0) log_event(Event::request_failures_suppressed, std::to_string(untold_));
    untold_ = 0;
  }
  if (++lines_ <= lines_most) return true;
  ++untold_;
  return false;
}

void FailureLog::write(FailedRequest const& failed, std::string const& attempt, std::string const& why,
                       AnswerProgress const& answer, Micros now) {
  if (log_is_muted() || !affords(now)) return;
  std::string detail = "id " + attempt + " " + failure_outcome_name(failed.outcome) + " " +
                       error_code_row(failed.error).name + " route '" + failed.route + "' held " +
                       in_ms(failed.duration) + " ms left " + in_ms(failed.time_remaining) + " ms sends " +
                       std::to_string(failed.sends) + " dials " + std::to_string(failed.connect_attempts);
  if (!failed.worker.empty())
    detail += " worker " + failed.worker + " reach " + attempt_progress_name(failed.progress) + " silent " +
              in_ms(failed.silent_for) + " ms";
  if (answer.taken_bytes > 0)
    detail += " taken " + std::to_string(answer.taken_bytes) + " B passed " + std::to_string(answer.passed_bytes) +
              " B waiting " + std::to_string(answer.waiting_bytes) + " B for " + in_ms(answer.blocked_for) + " ms";
  if (!why.empty()) detail += " last: " + why;
  log_event(Event::request_failed, detail);
}

}  // namespace pipit
