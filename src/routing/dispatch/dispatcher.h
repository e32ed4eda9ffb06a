// The dispatcher owns every routed request of this node from its arrival to its end. It makes the decisions and returns
// them as DispatchEffects, which an executor carries out (design §12.5). Placement reads local state only.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "config/description/description.h"
#include "routing/dispatch/retry_decision.h"
#include "routing/dispatch/share_turns.h"
#include "routing/exchange/report_exchange.h"
#include "routing/index/index_sync.h"
#include "routing/registry/registry.h"
#include "routing/tenants/configuration_lease.h"
#include "routing/tenants/quota_client.h"

namespace pipit {

// The parts of a prompt as the client splits it: parts shared with other requests first, then the request's own part.
struct PromptParts {
  Path path;                          // one hash per part, over that part and all parts before it
  std::vector<std::uint32_t> tokens;  // tokens of each part
};
// Parses a list such as "5c1e07a2:800,91bd3f06:410": part ids in hex with their token counts. Stops at the first item
// that is malformed.
PromptParts parse_prompt_parts(std::string_view text);

// What the dispatcher needs of a client's request.
struct RequestInfo {
  std::string host;
  std::string path;
  std::string model;
  PromptParts parts;
  std::int64_t input_tokens = 0;
  std::int64_t output_tokens = 0;
  bool has_token_counts = false;     // the client sent the two counts above
  std::optional<Digest> key_digest;  // digest of the client's API key
  Micros time_remaining = 0;         // until the client's deadline, when it began to send; 0 if it sent none
  Micros receive_time = 0;           // from the first byte of the request to its arrival at the dispatcher
  std::string last_event_id;         // id of the last event that the client has of an earlier answer, or empty
};

// An attempt to start: one send of a request to one worker.
struct Attempt {
  std::uint64_t request = 0;
  std::string instance;
  std::string address;
  Micros connect_timeout = 0;
  Micros timeout = 0;           // for the complete attempt
  std::int64_t rank = 0;        // of the request, among those that wait at the worker
  bool resumes_answer = false;  // continues the answer of an earlier attempt
  std::string tenant;           // owner of the request's key, or empty
  bool keys_required = false;   // the configuration has tenants: a tenant that the client names is not forwarded
};

// Quota of a tenant that a request must be granted before it runs or, for a retry, that is debited without waiting.
struct QuotaClaim {
  std::uint64_t request = 0;
  std::string tenant;
  std::int64_t count = 0;
  Micros deadline = 0;
  bool is_retry = false;
};

// An error that answers a request before any part of an answer was forwarded.
struct Rejection {
  std::uint64_t request = 0;
  ErrorCode error = ErrorCode::internal;
  Micros retry_after = 0;   // delay before the client may retry; 0: it is not stated that the request did not run
  bool repeatable = false;  // the request may run more than once
};

// How a request ended that was not served.
enum class FailureOutcome : std::uint8_t {
  refused,             // rejected with the statement that it did not run, and a time to retry
  failed,              // rejected with an error of this node
  forwarded,           // answered with the worker's own error
  aborted,             // the answer was aborted after a part had been forwarded
  client_disconnected  // the client closed the connection
};
// The name of an outcome as it appears in log lines.
char const* failure_outcome_name(FailureOutcome outcome);

// A request that was not served, described for the log.
struct FailedRequest {
  std::uint64_t request = 0;
  FailureOutcome outcome = FailureOutcome::failed;
  ErrorCode error = ErrorCode::internal;  // why the request was not served
  std::string route;
  std::string worker;                                // of the last attempt
  AttemptProgress progress = AttemptProgress::none;  // of the last attempt
  Micros duration = 0;                               // since the first byte of the request
  Micros silent_for = 0;                             // since the last event of the last attempt, or since its start
  Micros time_remaining = 0;                         // until the deadline
  int sends = 0;                                     // workers that a byte may have reached
  int connect_attempts = 0;
};

// Decisions of the dispatcher, for the executor to carry out.
struct DispatchEffects {
  std::vector<Attempt> attempts;                      // to start
  std::vector<std::uint64_t> cancelled_attempts;      // to cancel; their requests continue
  std::vector<Rejection> rejections;                  // before any part of an answer was forwarded
  std::vector<std::uint64_t> aborted_answers;         // answers that cannot be completed
  std::vector<std::uint64_t> forwarded_failures;      // requests whose client gets the worker's own error
  std::vector<FailedRequest> failed_requests;         // each request that ended without success, for the log
  std::vector<QuotaClaim> quota_claims;               // to send to a quota owner
  std::vector<std::uint64_t> cancelled_quota_claims;  // of requests that ended while their quota claim was pending
  // Whether there is nothing to carry out for a request; quota claims are not counted.
  bool empty() const {
    return attempts.empty() && cancelled_attempts.empty() && rejections.empty() && aborted_answers.empty() &&
           forwarded_failures.empty() && failed_requests.empty();
  }
};

// Quota claims of one tenant's requests at this node, by result.
struct TenantCounters {
  std::uint64_t quota_requests = 0, refused = 0, unreachable = 0;
};

// Counters of all requests since the start of this node.
struct DispatchCounters {
  std::uint64_t received = 0, served = 0, refused = 0, failed = 0, aborted = 0, forwarded_failures = 0;
  std::uint64_t client_disconnects = 0;
  std::uint64_t sends = 0, retries = 0, resumed = 0, cross_zone_sends = 0;
  std::uint64_t silent_attempts = 0;  // cancelled because their worker was silent
  std::uint64_t shared_tokens = 0;    // of the shared prompt parts in all attempts
  std::uint64_t unknown_keys = 0, unconfirmed = 0, over_quota = 0;
};

// Owns the requests of one node. The index, the registry and the exchange are referenced and must outlive it. All times
// are microseconds of one monotonic clock, passed in by the caller. Not thread-safe: one event loop uses it.
class Dispatcher {
 public:
  Dispatcher(std::string self, std::string zone, IndexSync& index_sync, Registry& registry, ReportExchange& exchange)
      : self_(std::move(self)),
        zone_(std::move(zone)),
        index_sync_(index_sync),
        registry_(registry),
        exchange_(exchange),
        share_turns_(self_) {}

  // Routes requests by this description from now on.
  void set_description(std::shared_ptr<Description const> rules) { rules_ = std::move(rules); }
  // While paused, no request is placed and none is moved to another worker.
  void set_paused(bool paused) { paused_ = paused; }
  // The lease under which API keys are accepted; it must outlive the dispatcher. Without one they always are.
  void set_lease(ConfigurationLease const& lease) { lease_ = &lease; }
  // The result of a quota claim: places the request or rejects it.
  void quota_result(QuotaResult const& result, Micros now, DispatchEffects& out);
  // The retry budget (§12.5): each request earns 'ratio' retries; all nodes together may hold up to 'burst' in reserve.
  void set_retry_budget(double ratio, double burst);
  // When this node started. For a while after that it may not know all workers yet, so requests wait a little longer.
  void set_started_at(Micros at) { started_at_ = at; }
  // The number of nodes in the member table, DOWN ones included; the retry reserve is divided among them.
  void set_node_count(std::size_t count, bool large_fleet = false) {
    node_count_ = std::max<std::size_t>(1, count);
    large_fleet_ = large_fleet;
  }

  // A request has arrived. 'id' must be new.
  void on_request(std::uint64_t id, RequestInfo info, Micros now, DispatchEffects& out);
  // A byte of the current attempt may have left this node.
  void on_sent(std::uint64_t id, Micros now);
  // The first part of an answer goes to the client.
  void on_answer_begin(std::uint64_t id, Micros now);
  // A further part of the answer has arrived.
  void on_answer_event(std::uint64_t id, Micros now);
  // The forwarded part of the answer has no event id to resume from: no other worker can continue the answer.
  void on_event_without_id(std::uint64_t id);
  // The current attempt has ended. 'elsewhere': it was declined because another instance runs at the worker's address.
  void on_attempt_end(std::uint64_t id, AttemptEnd end, bool elsewhere, Micros now, DispatchEffects& out);
  // The client disconnected. Returns a description of the request for the log; nothing if the request is unknown.
  std::optional<FailedRequest> on_client_disconnect(std::uint64_t id, Micros now);
  // The worker of the current attempt reported how many requests run and wait there.
  void on_load_report(std::uint64_t id, std::int64_t load, Micros now);
  // Places waiting requests, moves requests away from silent workers and ends requests past their deadline. Call it
  // about twenty times a second.
  void tick(Micros now, DispatchEffects& out);

  // The route of a request under way; null if the request is unknown or not routed yet.
  Route const* route_of(std::uint64_t id) const;
  std::size_t active_requests() const { return requests_.size(); }
  // The age of the oldest request under way; 0 without one.
  Micros oldest_request_age(Micros now) const;
  std::shared_ptr<Description const> const& description() const { return rules_; }
  DispatchCounters counters;
  std::map<std::string, TenantCounters> tenant_counters;

 private:
  enum class QuotaState : std::uint8_t { none, requested, granted };
  struct Request {
    std::uint64_t id = 0;
    RequestInfo info;
    std::shared_ptr<Description const> rules;  // keeps the route alive
    Route const* route = nullptr;
    Pool const* pool = nullptr;
    std::string index_name;  // of the prefix index for its pool and model
    bool repeatable = false;
    Micros arrived_at = 0;
    Micros deadline = 0;            // the client's or the route's, whichever is earlier
    Micros placement_deadline = 0;  // until when it may wait for a worker
    int sends = 0;                  // workers that a byte may have reached
    int connect_attempts = 0;
    bool may_have_run = false;        // an attempt that has ended may have run
    std::set<std::string> attempted;  // workers of all attempts
    std::string last_worker;          // of the last attempt, for the log
    // The current attempt.
    std::string worker_id;  // empty while the request waits for a worker
    AttemptProgress progress = AttemptProgress::none;
    Micros attempt_started_at = 0;
    Micros last_event_at = 0;          // or the start of the attempt
    Micros predicted_first_event = 0;  // predicted time to the first event
    Micros predicted_queue_time = 0;   // the part of it during which other requests keep the worker busy
    bool first_event_received = false;
    bool answer_begun = false;     // a part of an answer has been forwarded, by any attempt
    bool events_have_ids = true;   // all forwarded events have ids, so another worker can resume after the last one
    std::string tenant;            // owner of its key, or empty
    std::int64_t quota_count = 0;  // that it counts for in the tenant's limit
    QuotaState quota_state = QuotaState::none;
    Micros configuration_confirmed_at = 0;  // of the configuration that authorized it last
  };
  // The retries that this node may still make for one pool.
  struct RetryBudget {
    double tokens = 0;
    bool initialized = false;
  };
  void admit(Request& request, Micros now, DispatchEffects& out);
  // Places the request if its key still allows that; otherwise rejects and erases it.
  void place_if_authorized(Request& request, Micros now, DispatchEffects& out);
  void place(Request& request, Micros now, DispatchEffects& out);
  // A worker that may take a request, and how many parts of the prompt its cache is assumed to hold.
  struct Candidate {
    Instance* worker;
    std::size_t cached_parts;
  };
  struct Candidates {
    std::vector<Candidate> list;
    std::size_t most_cached_parts = 0;  // shared parts that the best of them caches, ejected workers left out
  };
  // The worker that all nodes send a new shared part to; an empty id if there is none.
  struct PreferredWorker {
    std::string worker;
    double weight = 0;  // discount on its price
  };
  // What a request costs at one worker.
  struct PlacementCost {
    double price = 0;                  // in units of the cost of a late answer
    Micros first_event = 0;            // predicted time to the first event
    std::int64_t cached_tokens = 0;    // of the prompt, in the worker's cache
    std::int64_t uncached_tokens = 0;  // of the prompt, that the worker must process
  };
  Candidates candidates_for(Request const& request, Micros now) const;
  PreferredWorker preferred_worker(Request const& request, Candidates const& candidates, Micros now) const;
  void assume_cached_at_preferred(Request const& request, PreferredWorker const& preferred,
                                  Candidates& candidates) const;
  PlacementCost cost_of(Request const& request, Candidate const& candidate, Candidates const& candidates,
                        PreferredWorker const& preferred, Micros now) const;
  // Keys and quotas (tenancy.cc). False if the request was rejected and erased.
  bool authorize(Request& request, Micros now, DispatchEffects& out);
  bool reauthorize(Request& request, Micros now, DispatchEffects& out);
  std::optional<ErrorCode> key_error(Request const& request, Description const& by, Micros now) const;
  void reject_unauthorized(Request& request, ErrorCode error, Micros now, DispatchEffects& out);
  void request_quota(Request& request, Micros now, DispatchEffects& out);
  void debit_retry_quota(Request const& request, DispatchEffects& out) const;
  std::int64_t rank_of(Request const& request) const;
  void check_key(Request const& request) const;
  static Micros prefill_time(std::int64_t uncached, std::int64_t cached);
  void start_attempt(Request& request, Instance& instance, std::int64_t uncached, std::int64_t cached,
                     Micros predicted_first_event, bool is_preferred, Micros now, DispatchEffects& out);
  void announce_shared_parts(PromptParts const& parts, std::string const& index_name, std::string const& worker,
                             Index::Bounds const& bounds, Micros now);
  bool has_free_alternative(Request const& request, Micros now) const;
  void release(Request& request);
  void reject(Request& request, ErrorCode error, Micros retry_after, Micros now, DispatchEffects& out);
  void abort_answer(Request& request, Micros now, DispatchEffects& out);
  FailedRequest failure_of(Request const& request, FailureOutcome outcome, ErrorCode error, Micros now) const;
  void check_requests(Micros now) const;
  // The steps of tick(): for a request that waits for a worker, one past its deadline, and one at a silent worker.
  void tick_request(Request& request, Micros now, DispatchEffects& out);
  void tick_waiting(Request& request, Micros now, DispatchEffects& out);
  void reject_waiting(Request& request, Micros now, DispatchEffects& out);
  void expire(Request& request, Micros now, DispatchEffects& out);
  bool may_move(Request const& request, Micros now) const;
  static bool has_time_to_move(Request const& request, Micros now);
  bool worker_silent(Request const& request, Micros now) const;
  bool all_workers_silent(Micros now) const;
  void apply(Request& request, RetryDecision decision, Micros now, DispatchEffects& out);
  static bool resumable(Request const& request);
  void discount_blind_time(Micros now);
  void erase(std::uint64_t id);
  bool spend_retry_budget(Pool const& pool);
  bool has_retry_budget(Pool const& pool);
  RetryBudget& retry_budget(Pool const& pool);

  std::string const self_;
  std::string const zone_;
  IndexSync& index_sync_;
  Registry& registry_;
  ReportExchange& exchange_;
  std::shared_ptr<Description const> rules_ = std::make_shared<Description>();
  bool paused_ = false;
  ConfigurationLease const unleased_;
  ConfigurationLease const* lease_ = &unleased_;
  double retry_ratio_ = 0.15;
  double retry_burst_ = 4;
  std::size_t node_count_ = 1;
  // So many nodes that cached parts are announced only for workers other than the preferred one (§12.7).
  bool large_fleet_ = false;
  ShareTurns share_turns_;
  Micros started_at_ = -seconds(3600);
  Micros last_tick_ = -1;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  std::map<std::string, RetryBudget> retry_budgets_;  // by pool
};

}  // namespace pipit
