#include "routing/chat/chat_dispatcher.h"

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "base/hash.h"

namespace pipit {

namespace {
// §7.4: each first send earns this fraction of a retry, on top of a small reserve. The bound on the sum over all nodes
// therefore holds without any communication between them.
constexpr double retry_ratio = 0.18;
constexpr double retry_budget_max = 2.0;
constexpr Micros probe_timeout = millis(100);      // for the answer of a worker that is probed before it is sent more
constexpr Micros unsure_worker_wait = millis(50);  // until a worker that must be probed is considered again
constexpr Micros probe_wait = millis(30);          // predicted time until a probed worker answers
}  // namespace

void ChatDispatcher::set_description(std::shared_ptr<Description const> description,
                                     std::set<std::string> drained_zones) {
  rules_ = std::move(description);
  drained_zones_ = std::move(drained_zones);
}

Micros ChatDispatcher::service_time(Pool const& pool) const {
  std::map<std::string, double>::const_iterator const seen = measured_service_times_.find(pool.name);
  return seen == measured_service_times_.end() ? pool.initial_service_time : static_cast<Micros>(seen->second);
}

void ChatDispatcher::reject(ChatRequest& chat_request, Error error, Micros retry_after, ChatEffects& out) {
  ++counters.refused;
  ErrorCodeRow const& row = error_code_row(error.code);
  ExecutionStatus const execution = chat_request.attempts == 0 ? row.execution : chat_request.execution;
  if (retry_after == 0) retry_after = row.retry_after;
  // Many clients that are rejected together must not retry together: the delay is spread over up to twice its length.
  if (error.code == ErrorCode::crowded || error.code == ErrorCode::backlog_full || error.code == ErrorCode::expired)
    retry_after += static_cast<Micros>(hash_bits(chat_request.id ^ hash_text(self_)) %
                                       static_cast<std::uint64_t>(std::max<Micros>(1, retry_after)));
  if (execution == ExecutionStatus::no && retry_after == 0 && row.status >= 429) retry_after = millis(1000);
  log_event(Event::chat_request_rejected,
            std::string(row.name) + " lane " + (chat_request.lane == nullptr ? "-" : chat_request.lane->name) +
                " ran " + execution_status_name(execution) + " back in " + std::to_string(retry_after / 1000) + " ms");
  out.failures.push_back(ChatFailure{chat_request.id, std::move(error), execution, retry_after});
  erase(chat_request);
}

// Updates the ratio of recent actual waits to their predictions. Requests wait longer than predicted because other
// nodes use free workers too and more urgent requests overtake. Predictions are multiplied by this ratio.
void ChatDispatcher::observe_wait(ChatRequest const& chat_request, Micros actual_wait) {
  if (chat_request.predicted_wait < millis(20)) return;
  double const seen = static_cast<double>(actual_wait) / static_cast<double>(chat_request.predicted_wait);
  wait_correction_ = std::clamp(wait_correction_ * 0.95 + seen * 0.05, 1.0, 8.0);
}

// A request that has waited longer than predicted has lost free workers to other requests again and again, and is
// expected to lose more.
Micros ChatDispatcher::overdue_penalty(ChatRequest const& chat_request, Micros now) const {
  return 3 * std::max<Micros>(0, now - chat_request.arrived_at - corrected_wait(chat_request.predicted_wait));
}

Micros ChatDispatcher::corrected_wait(Micros predicted_wait) const {
  return static_cast<Micros>(static_cast<double>(predicted_wait) * wait_correction_);
}

void ChatDispatcher::erase(ChatRequest& chat_request) {
  if (chat_request.is_linked()) {
    backlog_.erase(backlog_.iterator_to(chat_request));
    --lane_backlogs_[chat_request.lane->name];
  }
  chat_requests_.erase(chat_request.id);
}

void ChatDispatcher::on_request(std::uint64_t id, ChatRequestInfo info, Micros now, ChatEffects& out) {
  ++counters.received;
  std::unique_ptr<ChatRequest> made = std::make_unique<ChatRequest>();
  ChatRequest& chat_request = *made;
  chat_request.id = id;
  chat_request.info = std::move(info);
  chat_request.rules = rules_;
  chat_request.arrived_at = now;
  chat_requests_.emplace(id, std::move(made));
  if (draining_) return reject(chat_request, Error{ErrorCode::draining, "", ""}, 0, out);
  if (!ready_) return reject(chat_request, Error{ErrorCode::not_ready, "", ""}, 0, out);
  RequestAttributes const& facts = chat_request.info.facts;
  bool model_known = false;
  for (Pool const& pool : rules_->pools) model_known = model_known || pool.model == facts.model;
  if (!model_known)
    return reject(chat_request, Error{ErrorCode::unknown_model, "no pool serves the model '" + facts.model + "'", ""},
                  0, out);
  if (!chat_request.info.lane.empty()) {
    chat_request.lane = rules_->find_lane(chat_request.info.lane);
    if (chat_request.lane == nullptr)
      return reject(chat_request,
                    Error{ErrorCode::unknown_lane, "there is no lane '" + chat_request.info.lane + "'", ""}, 0, out);
    if (!chat_request.lane->binding.match.matches(facts, 0))
      return reject(
          chat_request,
          Error{ErrorCode::unknown_lane, "the lane '" + chat_request.info.lane + "' does not take this request", ""}, 0,
          out);
  } else {
    for (Lane const& lane : rules_->lanes)
      if (chat_request.lane == nullptr && lane.binding.match.matches(facts, 0)) chat_request.lane = &lane;
    if (chat_request.lane == nullptr)
      return reject(chat_request, Error{ErrorCode::unknown_lane, "no lane takes this request", ""}, 0, out);
  }
  chat_request.model = rules_->find_pool(chat_request.lane->binding.pools.front().pool)->model;
  if (chat_request.model != facts.model)
    return reject(chat_request,
                  Error{ErrorCode::unknown_model, "the lane does not serve the model '" + facts.model + "'", ""}, 0,
                  out);
  chat_request.repeatable = chat_request.lane->policy.repeatable || chat_request.info.repeatable;
  chat_request.deadline = now + chat_request.lane->policy.queue_timeout;
  std::size_t ahead = 0;
  for (ChatRequest const& other : backlog_) {
    if (!(other < chat_request)) break;
    ++ahead;
  }
  Placement choice = paused_ ? Placement{PlacementDecision::wait, nullptr, 0, 0, ErrorCode::not_ready, ""}
                             : select(chat_request, ahead, now);
  if (choice.decision == PlacementDecision::place && ahead == 0) return start_attempt(chat_request, choice, now, out);
  if (!choice.probe.empty()) out.probes.push_back(choice.probe);
  if (choice.decision == PlacementDecision::reject)
    return reject(chat_request, Error{choice.error, "", ""}, choice.wait, out);
  // §6.5: a request is admitted only if its corrected predicted wait is at most half of the lane's wait. The mean does
  // not cover more urgent requests that arrive later; without this margin they cause late rejections.
  chat_request.predicted_wait = choice.wait;
  if (choice.decision == PlacementDecision::wait &&
      corrected_wait(choice.wait) > chat_request.lane->policy.queue_timeout / 2)
    return reject(chat_request, Error{ErrorCode::crowded, "", ""},
                  std::clamp<Micros>(choice.wait, millis(500), seconds(10)), out);
  std::int64_t& count = lane_backlogs_[chat_request.lane->name];
  if (count >= chat_request.lane->policy.max_backlog)
    return reject(chat_request, Error{ErrorCode::backlog_full, "", ""},
                  std::clamp<Micros>(choice.wait, millis(500), seconds(10)), out);
  ++count;
  backlog_.insert(chat_request);
  // A new request does not overtake those in the backlog: free workers are given out in the backlog's order.
  if (choice.decision == PlacementDecision::place) process_backlog(now, out);
}

// The first pool of the lane with a usable worker decides: its cheapest worker, or a wait.
ChatDispatcher::Placement ChatDispatcher::select(ChatRequest const& chat_request, std::size_t ahead, Micros now,
                                                 bool confirmed_only) {
  Selection selection{chat_request, ahead, now, confirmed_only,
                      index_sync_.index(chat_request.model).match(chat_request.info.path)};
  for (Binding::Choice const& option : chat_request.lane->binding.pools) {
    Pool const& pool = *chat_request.rules->find_pool(option.pool);
    PoolCandidates const candidates = candidates_in(pool, chat_request);
    if (candidates.slots == 0) continue;
    if (!option.when.matches(chat_request.info.facts, candidates.busy * 100 / candidates.slots)) continue;
    for (Worker* const worker : candidates.workers) consider(*worker, pool, candidates, selection);
    if (selection.best.worker != nullptr) return placement(selection);
  }
  return wait_or_rejection(selection);
}

// The pool's workers that may serve the request. Workers of earlier attempts count for the pool's load only.
ChatDispatcher::PoolCandidates ChatDispatcher::candidates_in(Pool const& pool, ChatRequest const& chat_request) const {
  PoolCandidates out;
  out.service_time = service_time(pool);
  for (std::pair<std::string const, Worker>& item : fleet_.workers) {
    Worker& worker = item.second;
    if (worker.row.pool != pool.name || !worker.accepts_requests()) continue;
    if (guard_enabled(Guard::zone_veto) && drained_zones_.count(worker.row.zone)) continue;
    if (chat_request.lane->policy.locality == Locality::only && worker.row.zone != zone_) continue;
    out.slots += worker.capacity(pool);
    out.busy += worker.estimated_load();
    if (!chat_request.attempted.count(item.first)) out.workers.push_back(&worker);
  }
  return out;
}

// Makes the worker the best so far if it may be sent to and costs less; otherwise records the wait for it.
void ChatDispatcher::consider(Worker& worker, Pool const& pool, PoolCandidates const& candidates,
                              Selection& selection) {
  std::int64_t const capacity = worker.capacity(pool);
  if (worker.estimated_load() >= capacity) {
    std::int64_t const nodes = static_cast<std::int64_t>(std::max<std::size_t>(1, router_names_.size()));
    return selection.offer_wait(candidates.service_time * static_cast<Micros>(selection.ahead + 1) * nodes /
                                std::max<std::int64_t>(1, candidates.slots));
  }
  Micros const now = selection.now;
  std::int64_t const share = newcomer_ ? 0 : fleet_.cold_share(worker, pool.cold_rate, self_, router_names_);
  Micros const cold = fleet_.cold_for(worker, pool.cold_period, now);
  if (cold > 0 && guard_enabled(Guard::cold_share) && !fleet_.has_cold_capacity(worker, share, now)) {
    selection.cold_shares += share;
    if (selection.first_warm_in < 0 || cold < selection.first_warm_in) selection.first_warm_in = cold;
    return;
  }
  // §6.6: a worker that does not answer its probe in time is skipped while others are available.
  bool const without_share = share == 0 && guard_enabled(Guard::cold_share);
  bool const unsure = guard_enabled(Guard::ask_first) && fleet_.needs_probe(worker, share, now);
  bool const answers_late = worker.probe_sent >= 0 && now - worker.probe_sent > probe_timeout;
  if (unsure && (selection.confirmed_only || answers_late)) return selection.offer_wait(unsure_worker_wait);
  std::map<std::string, std::size_t>::const_iterator const hit = selection.hits.find(worker.row.id);
  std::size_t const cached_blocks = hit == selection.hits.end() ? 0 : hit->second;
  Micros const cost = cost_of(selection.request, worker, pool, candidates.service_time, cached_blocks);
  // A node without a share of this cold worker's capacity uses it only if there is no other worker.
  bool const cheaper = without_share != selection.without_share ? selection.without_share : cost < selection.cost;
  if (selection.best.worker != nullptr && !cheaper) return;
  selection.best.worker = &worker;
  selection.best.cached_blocks = cached_blocks;
  selection.best.probe = unsure ? worker.row.id : "";
  selection.without_share = without_share;
  selection.cost = cost;
}

// §6.4: the time to process the uncached blocks of the prompt, to wait for running attempts, and to reach the worker.
Micros ChatDispatcher::cost_of(ChatRequest const& chat_request, Worker const& worker, Pool const& pool,
                               Micros service_time, std::size_t cached_blocks) const {
  Micros cost = static_cast<Micros>(chat_request.info.path.size() - cached_blocks) * pool.block_cost;
  cost += service_time * worker.estimated_load() / worker.capacity(pool) / 10;
  if (worker.row.zone != zone_ && chat_request.lane->policy.locality != Locality::any)
    cost += chat_request.rules->locality_cost;
  return cost;
}

// Places the request at the best worker, at once or after the worker has answered a probe.
ChatDispatcher::Placement ChatDispatcher::placement(Selection const& selection) {
  Placement out = selection.best;
  bool const confirmed = out.probe.empty();
  out.decision = confirmed ? PlacementDecision::place : PlacementDecision::wait;
  out.wait = confirmed ? selection.cost : probe_wait;
  return out;
}

// The result if no worker is usable now: the shortest wait for one, or a rejection if no wait would help.
ChatDispatcher::Placement ChatDispatcher::wait_or_rejection(Selection& selection) {
  if (selection.first_warm_in >= 0) {
    // This node's share of the cold workers becomes available again in each window, until the first of them is warm.
    Micros wait = selection.first_warm_in;
    if (selection.cold_shares > 0)
      wait = std::min(wait, Fleet::cold_window * static_cast<Micros>(selection.ahead + 1) / selection.cold_shares);
    selection.offer_wait(wait);
  }
  Placement out;
  if (selection.shortest_wait >= 0) {
    out.decision = PlacementDecision::wait;
    out.wait = selection.shortest_wait;
    return out;
  }
  out.error = selection.request.attempted.empty() ? ErrorCode::no_worker : ErrorCode::worker_unreached;
  return out;
}

void ChatDispatcher::start_attempt(ChatRequest& chat_request, Placement const& choice, Micros now, ChatEffects& out) {
  if (chat_request.is_linked()) {
    backlog_.erase(backlog_.iterator_to(chat_request));
    --lane_backlogs_[chat_request.lane->name];
  }
  Worker& worker = *choice.worker;
  Pool const& pool = *chat_request.rules->find_pool(worker.row.pool);
  bool const first = chat_request.attempts == 0;
  ++chat_request.attempts;
  chat_request.sent = false;
  chat_request.worker_id = worker.row.id;
  chat_request.incarnation = worker.row.incarnation;
  chat_request.pool = pool.name;
  chat_request.attempt_started_at = now;
  chat_request.attempted.insert(worker.row.id);
  if (first) {
    ++counters.first_sends;
    retry_budget_ = std::min(retry_budget_max, retry_budget_ + retry_ratio);
    counters.prompt_blocks += chat_request.info.path.size();
    counters.cached_blocks += choice.cached_blocks;
  } else {
    ++counters.retries;
    retry_budget_ -= 1.0;
    log_event(Event::chat_request_retried, chat_request.worker_id);
  }
  if (worker.row.zone != zone_) ++counters.cross_zone_sends;
  worker.attempts.insert(now);
  ++worker.sent;
  while (!worker.sends.empty() && now - worker.sends.front() >= Fleet::cold_window) worker.sends.pop_front();
  worker.sends.push_back(now);
  Index::Bounds const bounds{static_cast<std::size_t>(pool.cache_blocks), pool.cache_ttl};
  index_sync_.queue(chat_request.model,
                    index_sync_.index(chat_request.model)
                        .touch(chat_request.info.path, worker.row.id, worker.row.incarnation, bounds, now));
  out.attempts.push_back(ChatAttemptStart{chat_request.id, chat_request.attempts, worker.row.id, worker.row.address,
                                          chat_request.lane->policy.first_byte_timeout,
                                          chat_request.lane->policy.stall_timeout});
}

void ChatDispatcher::on_sent(std::uint64_t id) {
  std::map<std::uint64_t, std::unique_ptr<ChatRequest>>::iterator const position = chat_requests_.find(id);
  if (position != chat_requests_.end()) position->second->sent = true;
}

void ChatDispatcher::on_answer_begin(std::uint64_t id) {
  std::map<std::uint64_t, std::unique_ptr<ChatRequest>>::iterator const position = chat_requests_.find(id);
  if (position != chat_requests_.end()) position->second->answer_begun = true;
}

void ChatDispatcher::release(ChatRequest& chat_request, Micros now, bool served) {
  Worker* const worker = fleet_.find(chat_request.worker_id);
  if (worker != nullptr) {
    std::multiset<Micros>::iterator const attempt = worker->attempts.find(chat_request.attempt_started_at);
    if (attempt != worker->attempts.end()) {
      // The slot is free again, although the last report counted this attempt.
      if (chat_request.attempt_started_at < worker->reported && worker->demand > 0) --worker->demand;
      worker->attempts.erase(attempt);
    }
  }
  if (served) {
    double& seen =
        measured_service_times_
            .try_emplace(chat_request.pool,
                         static_cast<double>(chat_request.rules->find_pool(chat_request.pool)->initial_service_time))
            .first->second;
    seen = seen * 0.95 + static_cast<double>(now - chat_request.attempt_started_at) * 0.05;
  }
}

void ChatDispatcher::on_attempt_end(std::uint64_t id, ChatAttemptEnd end, std::string const& reason, Micros retry_after,
                                    Micros now, ChatEffects& out) {
  std::map<std::uint64_t, std::unique_ptr<ChatRequest>>::iterator const position = chat_requests_.find(id);
  if (position == chat_requests_.end()) return;
  ChatRequest& chat_request = *position->second;
  release(chat_request, now, end == ChatAttemptEnd::done);
  if (end == ChatAttemptEnd::done) {
    ++counters.done;
    erase(chat_request);
    return;
  }
  // §7.3: whether this attempt ran, as far as it is known.
  ExecutionStatus execution = ExecutionStatus::unknown;
  ErrorCode kind = ErrorCode::worker_failed;
  switch (end) {
    case ChatAttemptEnd::unreached:
      execution = ExecutionStatus::no;
      kind = ErrorCode::worker_unreached;
      break;
    case ChatAttemptEnd::refused:
      execution = ExecutionStatus::no;
      kind = ErrorCode::worker_refused;
      break;
    case ChatAttemptEnd::failed:
      kind = ErrorCode::worker_failed;
      break;
    case ChatAttemptEnd::broke:
      kind = ErrorCode::worker_broke;
      break;
    case ChatAttemptEnd::silent:
      kind = ErrorCode::worker_silent;
      break;
    case ChatAttemptEnd::wrong:
      kind = ErrorCode::worker_wrong;
      break;
    case ChatAttemptEnd::torn:
      execution = ExecutionStatus::yes;
      kind = ErrorCode::answer_torn;
      break;
    case ChatAttemptEnd::done:
      break;
  }
  if (end == ChatAttemptEnd::unreached && chat_request.sent) {  // a byte may have left
    execution = ExecutionStatus::unknown;
    kind = ErrorCode::worker_broke;
  }
  if (!guard_enabled(Guard::honest_execution_status) && execution == ExecutionStatus::unknown)
    execution = ExecutionStatus::no;
  chat_request.execution = std::max(chat_request.execution, execution);
  // §6.6: a broken connection may mean that the worker ended; it is probed before it is sent more.
  Worker const* const worker = fleet_.find(chat_request.worker_id);
  if (worker != nullptr &&
      (end == ChatAttemptEnd::unreached || end == ChatAttemptEnd::broke || end == ChatAttemptEnd::silent ||
       end == ChatAttemptEnd::torn) &&
      fleet_.suspect(chat_request.worker_id, chat_request.incarnation, now))
    out.suspected_workers.emplace_back(chat_request.worker_id, chat_request.incarnation);
  log_event(Event::chat_attempt_failed, chat_request.worker_id + " " + error_code_row(kind).name + " " + reason);
  bool const may_repeat = chat_request.repeatable || !chat_request.sent || !guard_enabled(Guard::never_repeat);
  bool const retry = !chat_request.answer_begun && may_repeat && !draining_ &&
                     chat_request.attempts < chat_request.lane->policy.max_attempts &&
                     now < chat_request.deadline + chat_request.lane->policy.first_byte_timeout &&
                     (retry_budget_ >= 1.0 || !guard_enabled(Guard::bucket));
  if (retry) {
    Placement const choice = select(chat_request, 0, now, true);
    if (choice.decision == PlacementDecision::place) return start_attempt(chat_request, choice, now, out);
  }
  if (chat_request.answer_begun) ++counters.aborted;
  Error error{kind, reason, ""};
  reject(chat_request, std::move(error), retry_after, out);
}

void ChatDispatcher::on_client_disconnect(std::uint64_t id, Micros now, ChatEffects& out) {
  std::map<std::uint64_t, std::unique_ptr<ChatRequest>>::iterator const position = chat_requests_.find(id);
  if (position == chat_requests_.end()) return;
  ++counters.client_disconnects;
  ChatRequest& chat_request = *position->second;
  if (chat_request.attempts > 0) {
    release(chat_request, now, false);
    out.cancelled_attempts.push_back(id);
  }
  erase(chat_request);
}

void ChatDispatcher::process_backlog(Micros now, ChatEffects& out) {
  std::size_t ahead = 0;
  int idle = 0;
  for (Backlog::iterator it = backlog_.begin(); it != backlog_.end();) {
    ChatRequest& chat_request = *it++;
    if (now >= chat_request.deadline) {
      ++counters.expired;
      reject(chat_request, Error{paused_ ? ErrorCode::not_ready : ErrorCode::expired, "", ""}, 0, out);
      continue;
    }
    if (!ready_) {
      reject(chat_request, Error{ErrorCode::not_ready, "", ""}, 0, out);
      continue;
    }
    if (paused_ || idle >= 64) {
      ++ahead;
      continue;
    }
    Placement const choice = select(chat_request, ahead, now);
    if (choice.decision == PlacementDecision::place) {
      observe_wait(chat_request, now - chat_request.arrived_at);
      start_attempt(chat_request, choice, now, out);
      continue;
    }
    if (!choice.probe.empty()) out.probes.push_back(choice.probe);
    ++idle;
    ++ahead;
    // §6.5: a request that cannot be placed in time is rejected now, not at its deadline.
    if (choice.decision == PlacementDecision::reject)
      reject(chat_request, Error{choice.error, "", ""}, choice.wait, out);
    else if (now + std::max(corrected_wait(choice.wait), overdue_penalty(chat_request, now)) > chat_request.deadline) {
      observe_wait(chat_request, chat_request.lane->policy.queue_timeout);
      reject(chat_request, Error{ErrorCode::crowded, "", ""}, std::clamp<Micros>(choice.wait, millis(500), seconds(10)),
             out);
    }
  }
}

}  // namespace pipit
