#include "routing/dispatch/dispatcher.h"

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "base/invariants.h"
#include "base/request_guards.h"

namespace pipit {

namespace {
constexpr Micros way_back = millis(25);    // of the caller's time, for the answer's way
constexpr Micros time_least = millis(60);  // with less left, no other worker is tried
constexpr int dials_most = 4;              // of a request whose answer has not begun
constexpr Micros begin_span = seconds(5);  // after its start, while what a node knows still grows
constexpr Micros begin_wait = millis(900);
constexpr Micros still_least = millis(300);  // between two ticks, of which there are twenty a second
constexpr Micros quiet_least = millis(400);  // nothing from a worker for so long while several wait: it is dark
constexpr int busy_workers_least = 3;  // nothing from so many, and from no other: it is this node that hears nobody
}  // namespace

void Dispatcher::budget(double ratio, double store) {
  resend_ratio_ = ratio;
  resend_store_ = store;
}

Dispatcher::Bucket& Dispatcher::bucket(Pool const& pool) {
  Bucket& out = buckets_[pool.name];
  double const most = std::max(1.0, resend_store_ / static_cast<double>(node_count_));
  if (!out.known) {
    out.known = true;
    out.level = most;
  }
  out.level = std::min(out.level, most);
  return out;
}

bool Dispatcher::has_retry_budget(Pool const& pool) { return bucket(pool).level >= 1 || !guard(Guard::bucket); }

bool Dispatcher::spend_retry_budget(Pool const& pool) {
  Bucket& from = bucket(pool);
  if (from.level < 1 && guard(Guard::bucket)) return false;
  from.level -= 1;
  return true;
}

Route const* Dispatcher::route_of(std::uint64_t id) const {
  std::map<std::uint64_t, std::unique_ptr<Request>>::const_iterator const position = requests_.find(id);
  return position == requests_.end() ? nullptr : position->second->route;
}

void Dispatcher::erase(std::uint64_t id) { requests_.erase(id); }

void Dispatcher::reject(Request& request, ErrorCode kind, Micros wait, Micros now, DispatchEffects& out) {
  if (request.quota == QuotaState::asked) out.quota_drops.push_back(request.id);
  ++(wait > 0 ? tally.refused : tally.failed);
  out.denials.push_back({request.id, kind, wait, request.repeatable});
  out.failed.push_back(failure_of(request, wait > 0 ? FailedEnd::refused : FailedEnd::failed, kind, now));
  erase(request.id);
}

// Its answer has begun and cannot be completed.
void Dispatcher::break_off(Request& request, Micros now, DispatchEffects& out) {
  ++tally.broken;
  out.breaks.push_back(request.id);
  out.failed.push_back(failure_of(request, FailedEnd::broken, ErrorCode::answer_torn, now));
  erase(request.id);
}

char const* failed_end_name(FailedEnd end) {
  static char const* const names[] = {"refused", "failed", "passed", "broken", "left"};
  return names[static_cast<std::size_t>(end)];
}

FailedRequest Dispatcher::failure_of(Request const& request, FailedEnd end, ErrorCode kind, Micros now) const {
  FailedRequest out;
  out.request = request.id;
  out.end = end;
  out.kind = kind;
  if (request.route != nullptr) out.route = request.route->name;
  out.worker = request.last_worker;
  out.progress = request.progress;
  out.open_for = now - request.arrived_at + request.query.read_for;
  out.silent_for = request.dials > 0 ? now - request.heard : 0;
  out.remaining = request.due > 0 ? request.due - now : 0;
  out.sends = request.sends;
  out.dials = request.dials;
  return out;
}

Micros Dispatcher::oldest(Micros now) const {
  Micros out = 0;
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests_)
    out = std::max(out, now - item.second->arrived_at);
  return out;
}

void Dispatcher::fresh(std::uint64_t id, Query query, Micros now, DispatchEffects& out) {
  ++tally.asked;
  std::unique_ptr<Request> made = std::make_unique<Request>();
  Request& request = *made;
  request.id = id;
  request.query = std::move(query);
  request.rules = rules_;
  request.arrived_at = now;
  requests_.emplace(id, std::move(made));
  // A node that has only just begun reads the description in a moment: who asks meanwhile is kept rather than refused.
  Micros const patience = request.query.remaining > 0 ? std::min(request.query.remaining / 4, begin_wait) : begin_wait;
  request.give_up = now + patience;
  if (rules_->routes.empty() && now - started_at_ < begin_span) return;
  admit(request, now, out);
}

// What the description says of it, once there is one.
void Dispatcher::admit(Request& request, Micros now, DispatchEffects& out) {
  request.rules = rules_;
  if (rules_->routes.empty()) return reject(request, ErrorCode::not_ready, millis(300), now, out);
  request.route = rules_->route(request.query.host, request.query.path);
  if (request.route == nullptr) {
    // Where keys are needed a configuration that may be old refuses nothing for good.
    bool const certain = !rules_->keys_required || lease_->unknown_is_certain(now);
    return certain ? reject(request, ErrorCode::not_found, 0, now, out)
                   : reject(request, ErrorCode::unconfirmed, millis(300), now, out);
  }
  request.pool = rules_->pool(share_turns_.next(*request.route).pool);
  if (request.pool == nullptr) return reject(request, ErrorCode::no_worker, millis(500), now, out);
  request.repeatable = request.route->repeatable || (request.route->streams && request.route->resumable);
  if (!authorize(request, now, out)) return;
  request.tree = request.pool->name + "/" + request.query.model;
  Micros const remaining = request.query.remaining > 0 ? request.query.remaining : request.route->request_timeout;
  request.due =
      request.arrived_at - request.query.read_for + std::min(remaining, request.route->request_timeout) - way_back;
  if (request.due <= now) return reject(request, ErrorCode::expired, millis(100), now, out);
  request.give_up = request.arrived_at + std::min(request.route->latency_target / 5, remaining / 4);
  if (now - started_at_ < begin_span) request.give_up = request.arrived_at + std::min(begin_wait, remaining / 4);
  Bucket& earned = bucket(*request.pool);
  earned.level += resend_ratio_;
  need_quota(request, now, out);
  if (request.quota != QuotaState::asked) place_if_authorized(request, now, out);
}

void Dispatcher::release(Request& request) {
  Instance* const at = registry_.find(request.at);
  if (at != nullptr) {
    --at->running;
    at->reserved_tokens -= request.query.tokens_in + request.query.tokens_out;
  }
  request.at.clear();
}

void Dispatcher::sent(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return;
  Request& request = *position->second;
  ++tally.sends;
  if (++request.sends > 1) ++tally.resends;
  check_key(request);
  bool const allowed = request.sends <= std::max<std::int64_t>(1, request.route->attempts);
  check_invariant(allowed, Invariant::attempt_limit, [&] {
    return "route " + request.route->name + " allows " + std::to_string(request.route->attempts) + ", sent " +
           std::to_string(request.sends) + " times, now to " + request.at;
  });
  if (request.progress == AttemptProgress::none) request.progress = AttemptProgress::sent;
}

void Dispatcher::began(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return;
  position->second->progress = AttemptProgress::answering;
  position->second->begun = true;
  event(id, now);
}

void Dispatcher::event(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return;
  Request& request = *position->second;
  request.heard = now;
  Instance* const at = registry_.find(request.at);
  if (at == nullptr) return;
  if (!request.read) {
    request.read = true;
    // What the worker took, against what was predicted without those before it in the queue.
    Micros const alone = request.guess - request.busy;
    if (alone > 0 && request.busy < millis(20)) {
      double const seen = static_cast<double>(now - request.from) / static_cast<double>(alone);
      at->pace = std::clamp(at->pace * 0.95 + std::min(seen, 3.0) * 0.05, 0.8, 3.0);
    }
  }
  registry_.record_response(*at, now);
}

void Dispatcher::unmarked(std::uint64_t id) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position != requests_.end()) position->second->marked = false;
}

bool Dispatcher::resumable(Request const& request) {
  return request.route->streams && request.route->resumable && request.marked;
}

void Dispatcher::ended(std::uint64_t id, AttemptEnd end, bool elsewhere, Micros now, DispatchEffects& out) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position == requests_.end() || position->second->at.empty()) return;
  Request& request = *position->second;
  std::string const at = request.at;
  Instance* const instance = registry_.find(at);
  AttemptProgress const progress = request.progress;
  release(request);
  if (instance != nullptr) {
    switch (end) {
      case AttemptEnd::declined:
        registry_.record_response(*instance, now);
        // It is full, or it is somebody else who incarnations there now.
        instance->ejected = now + (elsewhere ? seconds(3) : millis(120));
        if (elsewhere) exchange_.suspect(at);
        break;
      case AttemptEnd::complete:
      case AttemptEnd::failed:
        registry_.record_response(*instance, now);
        break;
      default:
        // One slow answer among others that flow is no sign of a worker in trouble.
        if (end == AttemptEnd::silent && now - instance->last_byte < quiet_least) break;
        if (registry_.suspect(at, now)) {
          log_event(Event::worker_suspected, at);
          exchange_.suspect(at);
        }
        break;
    }
  }
  bool const clean = end == AttemptEnd::unreached || end == AttemptEnd::declined;
  Traits traits;
  traits.repeatable = request.repeatable;
  traits.resumable = resumable(request);
  traits.attempts = request.sends < request.route->attempts || !guard(RequestGuard::attempts);
  traits.budget = has_retry_budget(*request.pool);
  traits.time = has_time_to_move(request, now);
  traits.may_have_run = request.may_have_run;
  RetryDecision const decision = decide_retry(traits, progress, end);
  if (!clean && progress != AttemptProgress::none) request.may_have_run = true;
  // What was paid for the attempt before is not spent while no further worker has been reached.
  if (decision == RetryDecision::retry && request.sends > 0 && end != AttemptEnd::unreached) {
    spend_retry_budget(*request.pool);
    if (request.begun) ++tally.resumes;
  }
  apply(request, decision, now, out);
}

void Dispatcher::apply(Request& request, RetryDecision decision, Micros now, DispatchEffects& out) {
  switch (decision) {
    case RetryDecision::done:
      ++tally.served;
      return erase(request.id);
    case RetryDecision::retry:
      // An answer of which the caller has a part is worth waiting for as long as the caller does.
      request.give_up = request.begun
                            ? request.due
                            : std::max(request.give_up, std::min(request.due, now + request.route->latency_target / 5));
      count_retry(request, out);
      return place_if_authorized(request, now, out);
    case RetryDecision::pass:
      ++tally.passed;
      out.passes.push_back(request.id);
      out.failed.push_back(failure_of(request, FailedEnd::passed, ErrorCode::worker_failed, now));
      return erase(request.id);
    case RetryDecision::refuse:
      return reject(request, ErrorCode::worker_refused, millis(150), now, out);
    case RetryDecision::fail:
      return reject(request, ErrorCode::worker_broke, 0, now, out);
    case RetryDecision::cut:
      return break_off(request, now, out);
  }
}

void Dispatcher::said(std::uint64_t id, std::int64_t load, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  Instance* const at = position == requests_.end() ? nullptr : registry_.find(position->second->at);
  if (at == nullptr) return;
  at->reported_load = load;
  at->reported_load_at = now;
  // Only what may change a choice of somebody else is worth a word.
  if (load * 5 >= at->slots * 2) exchange_.load(at->id, load);
}

std::optional<FailedRequest> Dispatcher::hung_up(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return std::nullopt;
  ++tally.hangups;
  FailedRequest const out = failure_of(*position->second, FailedEnd::caller_left, ErrorCode::caller_gone, now);
  if (!position->second->at.empty()) release(*position->second);
  erase(id);
  return out;
}

// Whether several workers have requests of this node and none of them has been heard for a while. That is a sign of
// this node's own link, which is full or cut, and not of all of them.
bool Dispatcher::hears_no_worker(Micros now) const {
  int busy = 0;
  for (std::pair<std::string const, Instance> const& item : registry_.all) {
    Instance const& worker = item.second;
    if (worker.running == 0) continue;
    if (now - std::max(worker.last_byte, worker.last_sent) <= quiet_least) return false;
    ++busy;
  }
  return busy >= busy_workers_least;
}

// A node that stood still has not read what came meanwhile, and one that hears no worker at all cannot tell which of
// them is silent: neither is a silence of a worker.
void Dispatcher::note_stillness(Micros now) {
  Micros const span = now - last_tick_;
  bool const blind = last_tick_ >= 0 && (span > still_least || hears_no_worker(now));
  last_tick_ = now;
  if (!blind) return;
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests_)
    item.second->heard = std::min(now, item.second->heard + span);
}

void Dispatcher::tick(Micros now, DispatchEffects& out) {
  note_stillness(now);
  std::vector<std::uint64_t> ids;
  ids.reserve(requests_.size());
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests_) ids.push_back(item.first);
  for (std::uint64_t const id : ids) {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(id);
    if (position != requests_.end()) tick_request(*position->second, now, out);
  }
  check_requests(now);
}

// One step of a request. The request may have ended, and is erased then.
void Dispatcher::tick_request(Request& request, Micros now, DispatchEffects& out) {
  if (request.route == nullptr) {
    if (!rules_->routes.empty() || now >= request.give_up) admit(request, now, out);
    return;
  }
  if (request.at.empty()) return tick_waiting(request, now, out);
  if (now >= request.due) return expire(request, now, out);
  if (!may_move(request, now) || !worker_silent(request, now)) return;
  if (request.sends >= request.route->attempts || !has_retry_budget(*request.pool)) return;
  if (!another_is_free(request, now)) return;  // what is cut would only wait, and its worker may still answer
  ++tally.silences;
  out.cuts.push_back(request.id);
  ended(request.id, AttemptEnd::silent, false, now, out);
}

// Places a request that waits for a worker, or rejects it once it has waited for long enough.
void Dispatcher::tick_waiting(Request& request, Micros now, DispatchEffects& out) {
  // After standing still a node finds what waited for a worker past its time: nobody waits for that any more.
  bool const may_place = request.quota != QuotaState::asked && now < request.due;
  if (may_place && !still_authorized(request, now, out)) return;
  if (may_place) place(request, now, out);
  if (!request.at.empty()) return;
  if (now < std::min(request.give_up, request.due)) return;
  reject_waiting(request, now, out);
}

void Dispatcher::reject_waiting(Request& request, Micros now, DispatchEffects& out) {
  if (request.quota == QuotaState::asked) {
    if (now >= request.due) reject(request, ErrorCode::no_quota, millis(100), now, out);
    return;
  }
  if (request.begun) return break_off(request, now, out);
  if (request.may_have_run && !request.repeatable) return reject(request, ErrorCode::worker_broke, 0, now, out);
  reject(request, ErrorCode::no_worker, millis(250), now, out);
}

// The time is over: the attempt under way is given up, and nobody is promised anything.
void Dispatcher::expire(Request& request, Micros now, DispatchEffects& out) {
  out.cuts.push_back(request.id);
  bool const reached = request.progress != AttemptProgress::none || request.may_have_run;
  release(request);
  if (request.begun) return break_off(request, now, out);
  if (reached) return reject(request, ErrorCode::worker_silent, 0, now, out);
  reject(request, ErrorCode::worker_unreached, millis(100), now, out);
}

// Whether the attempt under way may be cut for one at another worker. An answer that has begun and cannot go on
// elsewhere is waited for, as is anything once another worker would come too late.
bool Dispatcher::may_move(Request const& request, Micros now) const {
  if (!request.repeatable || request.progress == AttemptProgress::none || paused_) return false;
  if (request.begun && !resumable(request)) return false;
  if (key_error(request, *rules_, now)) return false;
  return has_time_to_move(request, now);
}

// Whether another worker would come in time. An answer that has begun is not given up for the number of workers that
// could not be reached.
bool Dispatcher::has_time_to_move(Request const& request, Micros now) {
  return now + time_least < request.due && (request.begun || request.dials < dials_most);
}

// Whether the worker of the attempt under way has been silent for too long (§12.5). A worker that is merely busy is no
// better left: what was sent there would be read twice, and the crowd would feed itself. So one slow answer has to be
// late by far, unless nothing at all comes from its worker.
bool Dispatcher::worker_silent(Request const& request, Micros now) const {
  Instance const* const at = registry_.find(request.at);
  Micros const quiet = now - request.heard;
  Micros const others = at == nullptr ? quiet : now - at->last_byte;
  bool const still = others > quiet_least;
  Micros const most = request.read ? std::max<Micros>(quiet_least * 2, request.route->gap * 2)
                      : still      ? std::max<Micros>(request.route->latency_target * 3 / 4, request.guess * 3)
                                   : std::max<Micros>(request.route->latency_target * 2, request.guess * 4);
  bool const unhealthy =
      quiet > quiet_least && others > quiet_least && at != nullptr && at->running > 1 && quiet > request.guess * 3;
  // A worker that announced its end may serve on for long; one whose heartbeats are late still sends what it has.
  bool const departed = at == nullptr || (at->state == WorkerState::ended && !at->has_deregistered() && still);
  return quiet > most || unhealthy || (departed && quiet > quiet_least / 2);
}

// After each tick nobody waits beyond the time, and every request that came is under way or had one end.
void Dispatcher::check_requests(Micros now) const {
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests_) {
    Request const& request = *item.second;
    bool const in_time = request.route == nullptr || now < request.due;
    check_invariant(in_time, Invariant::answered_in_time, [&] {
      return "route " + request.route->name + ", " + std::to_string((now - request.due) / 1000) +
             " ms late, at worker '" + request.at + "'";
    });
  }
  std::uint64_t const ended = tally.served + tally.refused + tally.failed + tally.passed + tally.broken + tally.hangups;
  check_invariant(tally.asked == ended + requests_.size(), Invariant::request_ends_once, [&] {
    return std::to_string(tally.asked) + " came, " + std::to_string(ended) + " ended, " +
           std::to_string(requests_.size()) + " are under way";
  });
}

}  // namespace pipit
