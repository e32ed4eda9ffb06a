// Errors: the one closed list of codes, the typed failure that a Result carries, and the answer that a caller gets for
// it (§7.2). All functions here may be called from any thread.
#pragma once
#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "base/micros.h"

namespace pipit {

// Whether a request ran on a worker, as far as this node knows.
enum class ExecutionStatus : std::uint8_t { no, unknown, yes };
// The name that answers bear: "no", "unknown" or "yes".
char const* execution_status_name(ExecutionStatus execution);

// ERROR_CODE(name, HTTP status, whether the request ran, milliseconds to wait before a retry (0: no retry), sentence).
// Names, statuses and sentences are part of the answers that callers see.
#define PIPIT_ERROR_CODES(ERROR_CODE)                                                             \
  ERROR_CODE(bad_json, 400, no, 0, "the body is not well-formed JSON")                            \
  ERROR_CODE(bad_request, 400, no, 0, "the request lacks something or has it in the wrong form")  \
  ERROR_CODE(bad_description, 400, no, 0, "the description does not pass the check")              \
  ERROR_CODE(bad_language, 400, no, 0, "a binding or policy does not compile")                    \
  ERROR_CODE(unknown_key, 401, no, 0, "the request bears no key that this configuration knows")   \
  ERROR_CODE(unconfirmed, 503, no, 500, "this node cannot know whether its keys are still valid") \
  ERROR_CODE(over_quota, 429, no, 1000, "the tenant's limit is reached")                          \
  ERROR_CODE(no_quota, 503, no, 500, "nobody who counts the tenant's requests can be reached")    \
  ERROR_CODE(not_found, 404, no, 0, "there is nothing at this path")                              \
  ERROR_CODE(bad_method, 405, no, 0, "this path does not take that method")                       \
  ERROR_CODE(unknown_model, 404, no, 0, "no lane serves this model")                              \
  ERROR_CODE(unknown_lane, 404, no, 0, "there is no lane of this name")                           \
  ERROR_CODE(unknown_zone, 404, no, 0, "no node or worker is known in this zone")                 \
  ERROR_CODE(unknown_node, 404, no, 0, "no router node of this name has a seat")                  \
  ERROR_CODE(node_alive, 409, no, 0, "a node that is alive is not forgotten")                     \
  ERROR_CODE(unknown_change, 404, no, 0, "no chosen value remembers this change")                 \
  ERROR_CODE(too_large, 413, no, 0, "the body is larger than the limit")                          \
  ERROR_CODE(too_slow, 408, no, 1000, "the body did not arrive in time")                          \
  ERROR_CODE(stale_serial, 409, no, 0, "the expected serial is not the present one")              \
  ERROR_CODE(too_many_changes, 429, no, 1000, "too many changes are under way on this node")      \
  ERROR_CODE(no_majority, 503, no, 1000, "no majority of keepers answers; nothing was changed")   \
  ERROR_CODE(change_unknown, 504, unknown, 1000, "the outcome is not known; read to resolve it")  \
  ERROR_CODE(not_ready, 503, no, 1000, "this node has not yet read the description and the list") \
  ERROR_CODE(draining, 503, no, 1000, "this node is stopping; ask another")                       \
  ERROR_CODE(crowded, 429, no, 1000, "no worker can start this within the lane's wait")           \
  ERROR_CODE(backlog_full, 429, no, 2000, "the lane's backlog is full")                           \
  ERROR_CODE(expired, 503, no, 1000, "the lane's wait ended before a worker was free")            \
  ERROR_CODE(no_worker, 503, no, 1000, "no worker of the lane's pools takes requests now")        \
  ERROR_CODE(worker_refused, 503, no, 1000, "the worker refused the request without running it")  \
  ERROR_CODE(worker_unreached, 503, no, 500, "no worker could be reached; nothing was sent")      \
  ERROR_CODE(worker_failed, 502, unknown, 0, "the worker failed; whether it ran is not known")    \
  ERROR_CODE(worker_broke, 502, unknown, 0, "the worker's wire broke before its answer")          \
  ERROR_CODE(worker_silent, 504, unknown, 0, "the worker did not answer in time")                 \
  ERROR_CODE(worker_wrong, 502, unknown, 0, "the worker's answer does not fit the request")       \
  ERROR_CODE(answer_torn, 502, yes, 0, "the worker's answer ended before its end")                \
  ERROR_CODE(caller_gone, 499, unknown, 0, "the caller hung up")                                  \
  ERROR_CODE(bad_settings, 500, no, 0, "a setting is wrong")                                      \
  ERROR_CODE(bad_disk, 500, no, 0, "the data folder cannot be used")                              \
  ERROR_CODE(internal, 500, unknown, 0, "the node failed to answer")

enum class ErrorCode : std::uint8_t {
#define ERROR_CODE(name, status, execution, wait, text) name,
  PIPIT_ERROR_CODES(ERROR_CODE)
#undef ERROR_CODE
};

// One row of the table above.
struct ErrorCodeRow {
  char const* name;
  unsigned status;  // of HTTP
  ExecutionStatus execution;
  Micros retry_after;  // microseconds before a retry; 0 for no retry
  char const* text;
};
ErrorCodeRow const& error_code_row(ErrorCode code);
// How many codes there are; they are numbered from 0.
std::size_t error_code_count();

// A failure: its code, what is wrong, and where.
struct Error {
  ErrorCode code = ErrorCode::internal;
  std::string what;   // a sentence for the caller; empty for the code's own sentence
  std::string where;  // the field or line of the input that is wrong; empty when there is none
};

// A value or an Error.
template <class T>
using Result = boost::outcome_v2::unchecked<T, Error>;
// What a function with a Result returns when it fails.
inline boost::outcome_v2::failure_type<Error> fail(ErrorCode code, std::string what, std::string where = "") {
  return boost::outcome_v2::failure(Error{code, std::move(what), std::move(where)});
}

// A failure as the HTTP answer to whoever asked.
struct ErrorResponse {
  unsigned status = 500;
  Micros retry_after = 0;  // microseconds before a retry; 0 for no retry
  std::string body;        // JSON
};
// The answer to a request of which it is known whether it ran; 'wait' is dropped unless it certainly did not.
ErrorResponse error_response(Error const& error, ExecutionStatus execution, Micros retry_after);
// The same with the code's own execution status and wait.
ErrorResponse error_response(Error const& error);

}  // namespace pipit
