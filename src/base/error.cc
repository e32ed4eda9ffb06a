#include "base/error.h"

#include <array>

#include "base/json_writer.h"

namespace pipit {

namespace {
ErrorCodeRow const rows[] = {
#define ERROR_CODE(name, status, execution, wait, text) {#name, status, ExecutionStatus::execution, millis(wait), text},
    PIPIT_ERROR_CODES(ERROR_CODE)
#undef ERROR_CODE
};
}  // namespace

char const* execution_status_name(ExecutionStatus execution) {
  switch (execution) {
    case ExecutionStatus::no:
      return "no";
    case ExecutionStatus::yes:
      return "yes";
    default:
      return "unknown";
  }
}

ErrorCodeRow const& error_code_row(ErrorCode code) { return rows[static_cast<std::size_t>(code)]; }
std::size_t error_code_count() { return std::size(rows); }

ErrorResponse error_response(Error const& error, ExecutionStatus execution, Micros retry_after) {
  ErrorCodeRow const& row = error_code_row(error.code);
  ErrorResponse out;
  out.status = row.status;
  // Only a request that certainly did not run may be retried (§7.2).
  out.retry_after = execution == ExecutionStatus::no ? retry_after : 0;
  JsonWriter json;
  json.begin_object().key("error").begin_object();
  json.key("kind").text(row.name).key("message").text(error.what.empty() ? row.text : error.what);
  if (!error.where.empty()) json.key("place").text(error.where);
  json.key("ran").text(execution_status_name(execution));
  if (out.retry_after > 0) json.key("retry_after_ms").number(out.retry_after / 1000);
  json.end_object().end_object();
  out.body = json.take();
  return out;
}

ErrorResponse error_response(Error const& error) {
  ErrorCodeRow const& row = error_code_row(error.code);
  return error_response(error, row.execution, row.retry_after);
}

}  // namespace pipit
