// The one closed list of error kinds, with the table from kind to answer (§7.2).
#pragma once
#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "base/micros.h"

namespace pipit {

enum class Ran : std::uint8_t { no, unknown, yes };
char const* ran_word(Ran ran);

// KIND(name, status, ran, wait before asking again in ms (0: do not), sentence)
#define PIPIT_KINDS(KIND)                                                                   \
  KIND(bad_json, 400, no, 0, "the body is not well-formed JSON")                            \
  KIND(bad_request, 400, no, 0, "the request lacks something or has it in the wrong form")  \
  KIND(bad_description, 400, no, 0, "the description does not pass the check")              \
  KIND(bad_language, 400, no, 0, "a binding or policy does not compile")                    \
  KIND(unknown_key, 401, no, 0, "the request bears no key that this configuration knows")   \
  KIND(unconfirmed, 503, no, 500, "this node cannot know whether its keys are still valid") \
  KIND(over_quota, 429, no, 1000, "the tenant's limit is reached")                          \
  KIND(no_quota, 503, no, 500, "nobody who counts the tenant's requests can be reached")    \
  KIND(not_found, 404, no, 0, "there is nothing at this path")                              \
  KIND(bad_method, 405, no, 0, "this path does not take that method")                       \
  KIND(unknown_model, 404, no, 0, "no lane serves this model")                              \
  KIND(unknown_lane, 404, no, 0, "there is no lane of this name")                           \
  KIND(unknown_zone, 404, no, 0, "no node or worker is known in this zone")                 \
  KIND(unknown_node, 404, no, 0, "no router node of this name has a seat")                  \
  KIND(node_alive, 409, no, 0, "a node that is alive is not forgotten")                     \
  KIND(unknown_change, 404, no, 0, "no chosen value remembers this change")                 \
  KIND(too_large, 413, no, 0, "the body is larger than the limit")                          \
  KIND(too_slow, 408, no, 1000, "the body did not arrive in time")                          \
  KIND(stale_serial, 409, no, 0, "the expected serial is not the present one")              \
  KIND(too_many_changes, 429, no, 1000, "too many changes are under way on this node")      \
  KIND(no_majority, 503, no, 1000, "no majority of keepers answers; nothing was changed")   \
  KIND(change_unknown, 504, unknown, 1000, "the outcome is not known; read to resolve it")  \
  KIND(not_ready, 503, no, 1000, "this node has not yet read the description and the list") \
  KIND(draining, 503, no, 1000, "this node is stopping; ask another")                       \
  KIND(crowded, 429, no, 1000, "no worker can start this within the lane's wait")           \
  KIND(backlog_full, 429, no, 2000, "the lane's backlog is full")                           \
  KIND(expired, 503, no, 1000, "the lane's wait ended before a worker was free")            \
  KIND(no_worker, 503, no, 1000, "no worker of the lane's pools takes requests now")        \
  KIND(worker_refused, 503, no, 1000, "the worker refused the request without running it")  \
  KIND(worker_unreached, 503, no, 500, "no worker could be reached; nothing was sent")      \
  KIND(worker_failed, 502, unknown, 0, "the worker failed; whether it ran is not known")    \
  KIND(worker_broke, 502, unknown, 0, "the worker's wire broke before its answer")          \
  KIND(worker_silent, 504, unknown, 0, "the worker did not answer in time")                 \
  KIND(worker_wrong, 502, unknown, 0, "the worker's answer does not fit the request")       \
  KIND(answer_torn, 502, yes, 0, "the worker's answer ended before its end")                \
  KIND(caller_gone, 499, unknown, 0, "the caller hung up")                                  \
  KIND(bad_settings, 500, no, 0, "a setting is wrong")                                      \
  KIND(bad_disk, 500, no, 0, "the data folder cannot be used")                              \
  KIND(internal, 500, unknown, 0, "the node failed to answer")

enum class Kind : std::uint8_t {
#define KIND(name, status, ran, wait, text) name,
  PIPIT_KINDS(KIND)
#undef KIND
};

struct KindRow {
  char const* name;
  unsigned status;
  Ran ran;
  Micros wait;
  char const* text;
};
KindRow const& kind_row(Kind kind);
std::size_t kind_count();

// A failure: its kind, where it is, and why.
struct Fault {
  Kind kind = Kind::internal;
  std::string why;
  std::string place;
};

template <class T>
using Result = boost::outcome_v2::unchecked<T, Fault>;
inline boost::outcome_v2::failure_type<Fault> fail(Kind kind, std::string why, std::string place = "") {
  return boost::outcome_v2::failure(Fault{kind, std::move(why), std::move(place)});
}

// What a failure looks like to whoever asked.
struct Answer {
  unsigned status = 500;
  Micros wait = 0;
  std::string body;
};
Answer answer_for(Fault const& fault, Ran ran, Micros wait);
Answer answer_for(Fault const& fault);

}  // namespace pipit
