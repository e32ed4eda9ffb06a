#include "routing/dispatch/dispatcher.h"

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "base/invariants.h"
#include "base/request_guards.h"

namespace pipit {

namespace {
constexpr Micros answer_margin = millis(25);   // of the client's deadline, kept back for the way of the answer
constexpr Micros retry_time_min = millis(60);  // before the deadline, that a retry needs
constexpr int connect_attempts_max = 4;        // for a request whose answer has not begun
constexpr Micros startup_span = seconds(5);    // after its start, while a node still learns of workers
constexpr Micros startup_wait_max = millis(900);
constexpr Micros stall_min = millis(300);    // between ticks, normally 50 ms apart, for a stall of this node
constexpr Micros silence_min = millis(400);  // without a byte from a worker, after which it may count as silent
constexpr int silent_workers_min = 3;        // busy workers that, all silent, point to a fault of this node
}  // namespace

void Dispatcher::set_retry_budget(double ratio, double burst) {
  retry_ratio_ = ratio;
  retry_burst_ = burst;
}

Dispatcher::RetryBudget& Dispatcher::retry_budget(Pool const& pool) {
  RetryBudget& out = retry_budgets_[pool.name];
  double const most = std::max(1.0, retry_burst_ / static_cast<double>(node_count_));
  if (!out.initialized) {
    out.initialized = true;
    out.tokens = most;
  }
  out.tokens = std::min(out.tokens, most);
  return out;
}

bool Dispatcher::has_retry_budget(Pool const& pool) {
  return retry_budget(pool).tokens >= 1 || !guard_enabled(Guard::bucket);
}

bool Dispatcher::spend_retry_budget(Pool const& pool) {
  RetryBudget& budget = retry_budget(pool);
  if (budget.tokens < 1 && guard_enabled(Guard::bucket)) return false;
  budget.tokens -= 1;
  return true;
}

Route const* Dispatcher::route_of(std::uint64_t id) const {
  std::map<std::uint64_t, std::unique_ptr<Request>>::const_iterator const position = requests_.find(id);
  return position == requests_.end() ? nullptr : position->second->route;
}

void Dispatcher::erase(std::uint64_t id) { requests_.erase(id); }

void Dispatcher::reject(Request& request, ErrorCode error, Micros retry_after, Micros now, DispatchEffects& out) {
  if (request.quota_state == QuotaState::requested) out.cancelled_quota_claims.push_back(request.id);
  ++(retry_after > 0 ? counters.refused : counters.failed);
  out.rejections.push_back({request.id, error, retry_after, request.repeatable});
  out.failed_requests.push_back(
      failure_of(request, retry_after > 0 ? FailureOutcome::refused : FailureOutcome::failed, error, now));
  erase(request.id);
}

// Ends a request whose answer has begun and cannot be completed.
void Dispatcher::abort_answer(Request& request, Micros now, DispatchEffects& out) {
  ++counters.aborted;
  out.aborted_answers.push_back(request.id);
  out.failed_requests.push_back(failure_of(request, FailureOutcome::aborted, ErrorCode::answer_torn, now));
  erase(request.id);
}

char const* failure_outcome_name(FailureOutcome outcome) {
  static char const* const names[] = {"refused", "failed", "passed", "broken", "left"};
  return names[static_cast<std::size_t>(outcome)];
}

FailedRequest Dispatcher::failure_of(Request const& request, FailureOutcome outcome, ErrorCode error,
                                     Micros now) const {
  FailedRequest out;
  out.request = request.id;
  out.outcome = outcome;
  out.error = error;
  if (request.route != nullptr) out.route = request.route->name;
  out.worker = request.last_worker;
  out.progress = request.progress;
  out.duration = now - request.arrived_at + request.info.receive_time;
  out.silent_for = request.connect_attempts > 0 ? now - request.last_event_at : 0;
  out.time_remaining = request.deadline > 0 ? request.deadline - now : 0;
  out.sends = request.sends;
  out.connect_attempts = request.connect_attempts;
  return out;
}

Micros Dispatcher::oldest_request_age(Micros now) const {
  Micros out = 0;
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests_)
    out = std::max(out, now - item.second->arrived_at);
  return out;
}

void Dispatcher::on_request(std::uint64_t id, RequestInfo info, Micros now, DispatchEffects& out) {
  ++counters.received;
  std::unique_ptr<Request> made = std::make_unique<Request>();
  Request& request = *made;
  request.id = id;
  request.info = std::move(info);
  request.rules = rules_;
  request.arrived_at = now;
  requests_.emplace(id, std::move(made));
  // A node that has just started receives the description shortly: requests wait for it instead of being rejected.
  Micros const patience =
      request.info.time_remaining > 0 ? std::min(request.info.time_remaining / 4, startup_wait_max) : startup_wait_max;
  request.placement_deadline = now + patience;
  if (rules_->routes.empty() && now - started_at_ < startup_span) return;
  admit(request, now, out);
}

// Routes and authorizes the request by the current description, then claims quota for it or places it.
void Dispatcher::admit(Request& request, Micros now, DispatchEffects& out) {
  request.rules = rules_;
  if (rules_->routes.empty()) return reject(request, ErrorCode::not_ready, millis(300), now, out);
  if (!lease_->may_handle_requests(now)) return reject(request, ErrorCode::unconfirmed, millis(300), now, out);
  request.route = rules_->find_route(request.info.host, request.info.path);
  if (request.route == nullptr) {
    // An outdated configuration must not give a final "not found".
    bool const certain = lease_->unknown_is_certain(now);
    return certain ? reject(request, ErrorCode::not_found, 0, now, out)
                   : reject(request, ErrorCode::unconfirmed, millis(300), now, out);
  }
  request.pool = rules_->find_pool(share_turns_.next(*request.route).pool);
  if (request.pool == nullptr) return reject(request, ErrorCode::no_worker, millis(500), now, out);
  request.repeatable = request.route->repeatable || (request.route->streams && request.route->resumable);
  if (!authorize(request, now, out)) return;
  request.index_name = request.pool->name + "/" + request.info.model;
  Micros const remaining =
      request.info.time_remaining > 0 ? request.info.time_remaining : request.route->request_timeout;
  request.deadline = request.arrived_at - request.info.receive_time +
                     std::min(remaining, request.route->request_timeout) - answer_margin;
  if (request.deadline <= now) return reject(request, ErrorCode::expired, millis(100), now, out);
  request.placement_deadline = request.arrived_at + std::min(request.route->latency_target / 5, remaining / 4);
  if (now - started_at_ < startup_span)
    request.placement_deadline = request.arrived_at + std::min(startup_wait_max, remaining / 4);
  RetryBudget& budget = retry_budget(*request.pool);
  budget.tokens += retry_ratio_;
  request_quota(request, now, out);
  if (request.quota_state != QuotaState::requested) place_if_authorized(request, now, out);
}

void Dispatcher::release(Request& request) {
  Instance* const at = registry_.find(request.worker_id);
  if (at != nullptr) {
    --at->running;
    at->reserved_tokens -= request.info.input_tokens + request.info.output_tokens;
  }
  request.worker_id.clear();
}

void Dispatcher::on_sent(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return;
  Request& request = *position->second;
  ++counters.sends;
  if (++request.sends > 1) ++counters.retries;
  check_key(request);
  bool const allowed = request.sends <= std::max<std::int64_t>(1, request.route->max_attempts);
  check_invariant(allowed, Invariant::attempt_limit, [&] {
    return "route " + request.route->name + " allows " + std::to_string(request.route->max_attempts) + ", sent " +
           std::to_string(request.sends) + " times, now to " + request.worker_id;
  });
  if (request.progress == AttemptProgress::none) request.progress = AttemptProgress::sent;
}

void Dispatcher::on_answer_begin(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return;
  position->second->progress = AttemptProgress::answering;
  position->second->answer_begun = true;
  on_answer_event(id, now);
}

void Dispatcher::on_answer_event(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return;
  Request& request = *position->second;
  request.last_event_at = now;
  Instance* const at = registry_.find(request.worker_id);
  if (at == nullptr) return;
  if (!request.first_event_received) {
    request.first_event_received = true;
    // The measured time to the first event, against the prediction without the requests queued before this one.
    Micros const alone = request.predicted_first_event - request.predicted_queue_time;
    if (alone > 0 && request.predicted_queue_time < millis(20)) {
      double const seen = static_cast<double>(now - request.attempt_started_at) / static_cast<double>(alone);
      at->pace = std::clamp(at->pace * 0.95 + std::min(seen, 3.0) * 0.05, 0.8, 3.0);
    }
  }
  registry_.record_response(*at, now);
}

void Dispatcher::on_event_without_id(std::uint64_t id) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position != requests_.end()) position->second->events_have_ids = false;
}

bool Dispatcher::resumable(Request const& request) {
  return request.route->streams && request.route->resumable && request.events_have_ids;
}

void Dispatcher::on_attempt_end(std::uint64_t id, AttemptEnd end, bool elsewhere, Micros now, DispatchEffects& out) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position == requests_.end() || position->second->worker_id.empty()) return;
  Request& request = *position->second;
  std::string const at = request.worker_id;
  Instance* const instance = registry_.find(at);
  AttemptProgress const progress = request.progress;
  release(request);
  if (instance != nullptr) {
    switch (end) {
      case AttemptEnd::declined:
        registry_.record_response(*instance, now);
        // The worker is full, or another instance runs at its address now.
        instance->ejected = now + (elsewhere ? seconds(3) : millis(120));
        if (elsewhere) exchange_.report_suspect(at);
        break;
      case AttemptEnd::complete:
      case AttemptEnd::failed:
        registry_.record_response(*instance, now);
        break;
      default:
        // One slow answer does not make a worker suspect while it sends bytes for other requests.
        if (end == AttemptEnd::silent && now - instance->last_byte < silence_min) break;
        if (registry_.suspect(at, now)) {
          log_event(Event::worker_suspected, at);
          exchange_.report_suspect(at);
        }
        break;
    }
  }
  bool const clean = end == AttemptEnd::unreached || end == AttemptEnd::declined;
  RetryConditions conditions;
  conditions.repeatable = request.repeatable;
  conditions.resumable = resumable(request);
  conditions.attempts_left = request.sends < request.route->max_attempts || !guard_enabled(RequestGuard::attempts);
  conditions.budget_left = has_retry_budget(*request.pool);
  conditions.time_left = has_time_to_move(request, now);
  conditions.may_have_run = request.may_have_run;
  RetryDecision const decision = decide_retry(conditions, progress, end);
  if (!clean && progress != AttemptProgress::none) request.may_have_run = true;
  // A retry is paid for once a worker was reached: if the last worker was unreachable, its retry is still unspent.
  if (decision == RetryDecision::retry && request.sends > 0 && end != AttemptEnd::unreached) {
    spend_retry_budget(*request.pool);
    if (request.answer_begun) ++counters.resumed;
  }
  apply(request, decision, now, out);
}

void Dispatcher::apply(Request& request, RetryDecision decision, Micros now, DispatchEffects& out) {
  switch (decision) {
    case RetryDecision::done:
      ++counters.served;
      return erase(request.id);
    case RetryDecision::retry:
      // A request whose answer has begun waits for a worker until its deadline.
      request.placement_deadline = request.answer_begun
                                       ? request.deadline
                                       : std::max(request.placement_deadline,
                                                  std::min(request.deadline, now + request.route->latency_target / 5));
      debit_retry_quota(request, out);
      return place_if_authorized(request, now, out);
    case RetryDecision::forward_failure:
      ++counters.forwarded_failures;
      out.forwarded_failures.push_back(request.id);
      out.failed_requests.push_back(failure_of(request, FailureOutcome::forwarded, ErrorCode::worker_failed, now));
      return erase(request.id);
    case RetryDecision::refuse:
      return reject(request, ErrorCode::worker_refused, millis(150), now, out);
    case RetryDecision::fail:
      return reject(request, ErrorCode::worker_broke, 0, now, out);
    case RetryDecision::abort_answer:
      return abort_answer(request, now, out);
  }
}

void Dispatcher::on_load_report(std::uint64_t id, std::int64_t load, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  Instance* const at = position == requests_.end() ? nullptr : registry_.find(position->second->worker_id);
  if (at == nullptr) return;
  at->reported_load = load;
  at->reported_load_at = now;
  // Only a load that may change another node's placement is reported: from two fifths of the slots on.
  if (load * 5 >= at->slots * 2) exchange_.report_load(at->id, load);
}

std::optional<FailedRequest> Dispatcher::on_client_disconnect(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return std::nullopt;
  ++counters.client_disconnects;
  FailedRequest const out =
      failure_of(*position->second, FailureOutcome::client_disconnected, ErrorCode::caller_gone, now);
  if (!position->second->worker_id.empty()) release(*position->second);
  erase(id);
  return out;
}

// Whether several workers have requests of this node and none of them has sent a byte for a while. That points to this
// node's own link, saturated or cut, and not to all of the workers.
bool Dispatcher::all_workers_silent(Micros now) const {
  int busy = 0;
  for (std::pair<std::string const, Instance> const& item : registry_.all) {
    Instance const& worker = item.second;
    if (worker.running == 0) continue;
    if (now - std::max(worker.last_byte, worker.last_sent) <= silence_min) return false;
    ++busy;
  }
  return busy >= silent_workers_min;
}

// Leaves the time since the last tick out of the workers' silence if this node was blind in it: after a stall the node
// has not read what arrived meanwhile, and while no worker at all is heard it cannot tell which of them is silent.
void Dispatcher::discount_blind_time(Micros now) {
  Micros const span = now - last_tick_;
  bool const blind = last_tick_ >= 0 && (span > stall_min || all_workers_silent(now));
  last_tick_ = now;
  if (!blind) return;
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests_)
    item.second->last_event_at = std::min(now, item.second->last_event_at + span);
}

void Dispatcher::tick(Micros now, DispatchEffects& out) {
  discount_blind_time(now);
  std::vector<std::uint64_t> ids;
  ids.reserve(requests_.size());
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests_) ids.push_back(item.first);
  for (std::uint64_t const id : ids) {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
    if (position != requests_.end()) tick_request(*position->second, now, out);
  }
  check_requests(now);
}

// One step of a request. The request is erased if it ends.
void Dispatcher::tick_request(Request& request, Micros now, DispatchEffects& out) {
  if (request.route == nullptr) {
    if (!rules_->routes.empty() || now >= request.placement_deadline) admit(request, now, out);
    return;
  }
  if (request.worker_id.empty()) return tick_waiting(request, now, out);
  if (now >= request.deadline) return expire(request, now, out);
  if (!may_move(request, now) || !worker_silent(request, now)) return;
  if (request.sends >= request.route->max_attempts || !has_retry_budget(*request.pool)) return;
  if (!has_free_alternative(request, now)) return;  // it would only wait, and its worker may still answer
  ++counters.silent_attempts;
  out.cancelled_attempts.push_back(request.id);
  on_attempt_end(request.id, AttemptEnd::silent, false, now, out);
}

// Places a request that waits for a worker, or rejects it once its placement deadline has passed.
void Dispatcher::tick_waiting(Request& request, Micros now, DispatchEffects& out) {
  // After a stall of this node the deadline may have passed already: such a request must not be placed.
  bool const may_place = request.quota_state != QuotaState::requested && now < request.deadline;
  if (may_place && !reauthorize(request, now, out)) return;
  if (may_place) place(request, now, out);
  if (!request.worker_id.empty()) return;
  if (now < std::min(request.placement_deadline, request.deadline)) return;
  reject_waiting(request, now, out);
}

void Dispatcher::reject_waiting(Request& request, Micros now, DispatchEffects& out) {
  if (request.quota_state == QuotaState::requested) {
    if (now >= request.deadline) reject(request, ErrorCode::no_quota, millis(100), now, out);
    return;
  }
  if (request.answer_begun) return abort_answer(request, now, out);
  if (request.may_have_run && !request.repeatable) return reject(request, ErrorCode::worker_broke, 0, now, out);
  reject(request, ErrorCode::no_worker, millis(250), now, out);
}

// Ends a request at its deadline: cancels its attempt. If the attempt may have run, the client gets no time to retry.
void Dispatcher::expire(Request& request, Micros now, DispatchEffects& out) {
  out.cancelled_attempts.push_back(request.id);
  bool const reached = request.progress != AttemptProgress::none || request.may_have_run;
  release(request);
  if (request.answer_begun) return abort_answer(request, now, out);
  if (reached) return reject(request, ErrorCode::worker_silent, 0, now, out);
  reject(request, ErrorCode::worker_unreached, millis(100), now, out);
}

// Whether the current attempt may be cancelled for one at another worker. A request stays with its worker if its answer
// has begun and is not resumable, or if too little time is left for another worker.
bool Dispatcher::may_move(Request const& request, Micros now) const {
  if (!request.repeatable || request.progress == AttemptProgress::none || paused_) return false;
  if (request.answer_begun && !resumable(request)) return false;
  if (key_error(request, *rules_, now)) return false;
  return has_time_to_move(request, now);
}

// Whether enough time is left for another worker. Unreachable workers do not count against a request whose answer has
// begun.
bool Dispatcher::has_time_to_move(Request const& request, Micros now) {
  return now + retry_time_min < request.deadline &&
         (request.answer_begun || request.connect_attempts < connect_attempts_max);
}

// Whether the worker of the current attempt has been silent for too long (§12.5). Leaving a worker that is merely busy
// does not help: its prompts would be processed twice, and the overload would feed itself. So a single slow answer has
// to be late by a wide margin, unless the worker sends nothing at all.
bool Dispatcher::worker_silent(Request const& request, Micros now) const {
  Instance const* const at = registry_.find(request.worker_id);
  Micros const silent_for = now - request.last_event_at;
  Micros const worker_silent_for = at == nullptr ? silent_for : now - at->last_byte;
  bool const no_bytes = worker_silent_for > silence_min;
  Micros const limit =
      request.first_event_received ? std::max<Micros>(silence_min * 2, request.route->max_event_gap * 2)
      : no_bytes ? std::max<Micros>(request.route->latency_target * 3 / 4, request.predicted_first_event * 3)
                 : std::max<Micros>(request.route->latency_target * 2, request.predicted_first_event * 4);
  bool const unhealthy = silent_for > silence_min && worker_silent_for > silence_min && at != nullptr &&
                         at->running > 1 && silent_for > request.predicted_first_event * 3;
  // A worker that announced its end may serve its requests for long, and one whose heartbeats are late still sends
  // bytes: neither has departed.
  bool const departed = at == nullptr || (at->state == WorkerState::ended && !at->has_deregistered() && no_bytes);
  return silent_for > limit || unhealthy || (departed && silent_for > silence_min / 2);
}

// Invariants after each tick: no request is past its deadline, and every received request is active or ended once.
void Dispatcher::check_requests(Micros now) const {
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests_) {
    Request const& request = *item.second;
    bool const in_time = request.route == nullptr || now < request.deadline;
    check_invariant(in_time, Invariant::answered_in_time, [&] {
      return "request " + std::to_string(request.id) + " of route " + request.route->name + " is " +
             std::to_string((now - request.deadline) / 1000) + " ms past its deadline, at worker '" +
             request.worker_id + "'";
    });
  }
  std::uint64_t const ended = counters.served + counters.refused + counters.failed + counters.forwarded_failures +
                              counters.aborted + counters.client_disconnects;
  check_invariant(counters.received == ended + requests_.size(), Invariant::request_ends_once, [&] {
    return std::to_string(counters.received) + " requests received, " + std::to_string(ended) + " ended, " +
           std::to_string(requests_.size()) + " active";
  });
}

}  // namespace pipit
