// Error codes, the typed error of a Result, and the HTTP response that a client receives for an error (§7.2).
// All functions here are thread-safe.
#pragma once
#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "base/micros.h"

namespace pipit {

// Whether a request ran on a worker, as far as this node can determine.
enum class ExecutionStatus : std::uint8_t { no, unknown, yes };
// Returns the name used in responses: "no", "unknown" or "yes".
char const* execution_status_name(ExecutionStatus execution);

// ERROR_CODE(name, HTTP status, whether the request ran, delay in ms before a retry (0: no retry), sentence).
// Names, statuses and sentences appear in the responses to clients.
#define PIPIT_ERROR_CODES(ERROR_CODE)                                                                        \
  ERROR_CODE(bad_json, 400, no, 0, "the body is not well-formed JSON")                                       \
  ERROR_CODE(bad_request, 400, no, 0, "a field of the request is missing or malformed")                      \
  ERROR_CODE(bad_description, 400, no, 0, "the description fails validation")                                \
  ERROR_CODE(bad_language, 400, no, 0, "a binding or policy does not compile")                               \
  ERROR_CODE(unknown_key, 401, no, 0, "the request carries no key of the current configuration")             \
  ERROR_CODE(unconfirmed, 503, no, 500, "this node cannot confirm that its keys are still valid")            \
  ERROR_CODE(over_quota, 429, no, 1000, "the tenant's limit is reached")                                     \
  ERROR_CODE(no_quota, 503, no, 500, "no node that grants the tenant's quota can be reached")                \
  ERROR_CODE(not_found, 404, no, 0, "no resource exists at this path")                                       \
  ERROR_CODE(bad_method, 405, no, 0, "this path does not support the method")                                \
  ERROR_CODE(unknown_model, 404, no, 0, "no lane serves this model")                                         \
  ERROR_CODE(unknown_lane, 404, no, 0, "no lane has this name")                                              \
  ERROR_CODE(unknown_zone, 404, no, 0, "no node or worker is known in this zone")                            \
  ERROR_CODE(unknown_node, 404, no, 0, "no router node of this name is registered")                          \
  ERROR_CODE(node_alive, 409, no, 0, "the node is alive and cannot be forgotten")                            \
  ERROR_CODE(unknown_change, 404, no, 0, "no chosen value contains this change")                             \
  ERROR_CODE(too_large, 413, no, 0, "the body is larger than the limit")                                     \
  ERROR_CODE(too_slow, 408, no, 1000, "the body did not arrive in time")                                     \
  ERROR_CODE(stale_serial, 409, no, 0, "the expected serial is not the current one")                         \
  ERROR_CODE(too_many_changes, 429, no, 1000, "too many changes are pending on this node")                   \
  ERROR_CODE(no_majority, 503, no, 1000, "no majority of replicas answers; nothing was changed")             \
  ERROR_CODE(change_unknown, 504, unknown, 1000, "the outcome of the change is unknown; read to resolve it") \
  ERROR_CODE(not_ready, 503, no, 1000, "this node has not loaded the description and the worker list")       \
  ERROR_CODE(draining, 503, no, 1000, "this node is shutting down; use another node")                        \
  ERROR_CODE(crowded, 429, no, 1000, "no worker can start the request within the lane's wait")               \
  ERROR_CODE(backlog_full, 429, no, 2000, "the lane's backlog is full")                                      \
  ERROR_CODE(expired, 503, no, 1000, "the lane's wait ended before a worker had a free slot")                \
  ERROR_CODE(no_worker, 503, no, 1000, "no worker of the lane's pools accepts requests now")                 \
  ERROR_CODE(worker_refused, 503, no, 1000, "the worker refused the request without running it")             \
  ERROR_CODE(worker_unreached, 503, no, 500, "no worker could be reached; nothing was sent")                 \
  ERROR_CODE(worker_failed, 502, unknown, 0, "the worker failed; whether the request ran is unknown")        \
  ERROR_CODE(worker_broke, 502, unknown, 0, "the worker's connection broke before its answer")               \
  ERROR_CODE(worker_silent, 504, unknown, 0, "the worker did not answer in time")                            \
  ERROR_CODE(worker_wrong, 502, unknown, 0, "the worker's answer does not match the request")                \
  ERROR_CODE(answer_torn, 502, yes, 0, "the worker's answer was cut off before its end")                     \
  ERROR_CODE(caller_gone, 499, unknown, 0, "the client closed the connection")                               \
  ERROR_CODE(bad_settings, 500, no, 0, "a setting is invalid")                                               \
  ERROR_CODE(bad_disk, 500, no, 0, "the data folder cannot be used")                                         \
  ERROR_CODE(internal, 500, unknown, 0, "the node failed to answer the request")

// The error codes of the table above.
enum class ErrorCode : std::uint8_t {
#define ERROR_CODE(name, status, execution, wait, text) name,
  PIPIT_ERROR_CODES(ERROR_CODE)
#undef ERROR_CODE
};

// One row of the table above.
struct ErrorCodeRow {
  char const* name;
  unsigned status;  // HTTP status
  ExecutionStatus execution;
  Micros retry_after;  // microseconds before a retry; 0 for no retry
  char const* text;
};
// Returns the row of a code.
ErrorCodeRow const& error_code_row(ErrorCode code);
// Returns the number of codes; they are numbered from 0.
std::size_t error_code_count();

// An error: its code, a message, and the location in the input.
struct Error {
  ErrorCode code = ErrorCode::internal;
  std::string what;   // message for the client; empty selects the code's default sentence
  std::string where;  // the invalid field or line of the input; empty if there is none
};

// A value or an Error.
template <class T>
using Result = boost::outcome_v2::unchecked<T, Error>;
// Builds the failure that a function with a Result returns.
inline boost::outcome_v2::failure_type<Error> fail(ErrorCode code, std::string what, std::string where = "") {
  return boost::outcome_v2::failure(Error{code, std::move(what), std::move(where)});
}

// The HTTP response to the client for an error.
struct ErrorResponse {
  unsigned status = 500;
  Micros retry_after = 0;  // microseconds before a retry; 0 for no retry
  std::string body;        // JSON
};
// Builds the response for a request with the given execution status. 'retry_after' (microseconds) is ignored unless the
// request certainly did not run.
ErrorResponse error_response(Error const& error, ExecutionStatus execution, Micros retry_after);
// Builds the response with the execution status and the retry delay of the code's row.
ErrorResponse error_response(Error const& error);

}  // namespace pipit
