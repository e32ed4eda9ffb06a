// What was promised to callers, workers and the operator, held against what their own ends have seen.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"

namespace pipit::platform_fleet {

#define PLATFORM_FLEET_PROMISES(X)                                                     \
  X(unasked, "a worker got a request that nobody sent so")                             \
  X(twice, "a request that may not be repeated ran more than once")                    \
  X(refused_ran, "a request was refused, and ran")                                     \
  X(mixed, "a caller got what is not the whole answer to its own request")             \
  X(order, "a stream lacks a piece, has one twice, or joins two runs")                 \
  X(denied, "a proper request was denied")                                             \
  X(misrouted, "a service ran a request that was never to go there")                   \
  X(drained, "a request came to a worker too long after it had said that it leaves")   \
  X(ready_ending, "a node that was told to end still called itself ready")             \
  X(lost, "a node that was told to end cut a request that it had read")                \
  X(too_many_retries, "workers were sent more repeats than the budget allows")         \
  X(config_late, "an acknowledged change was not followed in time")                    \
  X(config_two, "two changes on top of one version were both acknowledged")            \
  X(config_invalid, "an invalid configuration was acknowledged")                       \
  X(config_refused, "a configuration that was refused, or lost its race, is in force") \
  X(config_lost, "what was read back is not what was acknowledged")                    \
  X(config_unacknowledged, "a proper change was not acknowledged in a calm time")      \
  X(read_older, "a node answered a reading with what was replaced long before")        \
  X(gone, "requests of callers that had left reached workers")                         \
  X(kept_lost, "kept connections were closed without an answer to what was passed on") \
  X(invariant, "a node says that one of its invariants does not hold")                 \
  X(unexplained, "a failed request is not explained by its node's log")                \
  X(unrecovered, "too little is served long after the last trouble")                   \
  X(ended, "a node ended by itself")                                                   \
  X(unserved, "nothing was served")

enum class Promise : std::uint8_t {
#define PROMISE(name, text) name,
  PLATFORM_FLEET_PROMISES(PROMISE)
#undef PROMISE
};
struct PromiseRow {
  char const* name;
  char const* text;
};
std::vector<PromiseRow> const& promise_rows();

// One try of a request, with an id of its own.
struct Attempt {
  std::string id;
  std::string service;     // that alone may run it
  std::string target;      // method and path
  std::uint64_t body = 0;  // hash
  bool repeatable = false;
  std::int64_t events = 0;         // of the whole answer
  std::int64_t resumed_after = 0;  // the last event that the caller has already
  std::string node;                // that took it
  Micros sent = 0;
  int arrivals = 0;  // at workers
  int declined = 0;  // of them, turned away there
  int runs = 0;
  std::set<std::uint64_t> seals;  // of its runs
  bool refused = false;
  bool worker_broke = false;  // a worker that had it ended, or broke its answer off
  Micros abandoned_at = -1;   // when its caller left without an answer
};

// What a caller reads of one answer, event by event.
struct StreamProgress {
  std::int64_t last_event = 0;  // number of the last event
  std::uint64_t run = 0;        // that made it
  std::string partial_event;    // an event that is not whole yet
  Micros longest_transit = 0;   // from a worker to the caller
  bool invalid = false;
};

class Judge {
 public:
  void report_violation(Promise promise, std::string const& detail);
  std::uint64_t count(Promise promise) const { return counts[static_cast<std::size_t>(promise)]; }
  std::uint64_t violation_count() const;

  Attempt& record_sent(Attempt attempt);
  // A worker got it; nullptr when nobody sent it so.
  Attempt* record_arrival(std::string const& id, std::string const& target, std::uint64_t body,
                          std::string const& service, std::string const& worker, Micros now);
  void record_run(Attempt& attempt, std::uint64_t seal, std::string const& worker);
  // The caller got a status that promises that it has not run.
  void record_refusal(Attempt& attempt, unsigned status);
  // The caller got bytes of a success. True for each whole event that is new.
  std::vector<std::int64_t> read_events(Attempt const& attempt, StreamProgress& reading, std::string_view bytes,
                                        Micros now);
  // The caller got the whole answer, with that seal.
  void record_complete(Attempt const& attempt, StreamProgress const& reading, std::string const& seal);
  // The budget of repeats, over the whole time.
  void check_retries(double ratio, int extra, Micros window);

  std::array<std::uint64_t, 32> counts{};
  std::vector<std::string> details;  // the first ones
  std::uint64_t repeats = 0;
  std::vector<Micros> event_transit_times;  // of events, from a worker to the caller

 private:
  std::map<std::string, Attempt> attempts_;
  std::map<std::string, std::vector<Micros>> sent_times_;  // by service
  std::map<std::string, std::vector<Micros>> repeat_times_;
};

// An event as the stand-in workers write it.
std::string event_text(std::string const& attempt, std::int64_t number, std::uint64_t seal, Micros made,
                       std::size_t size);

}  // namespace pipit::platform_fleet
