// Placement: chooses a worker for a request and starts an attempt there (§12.5).
#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "base/invariants.h"
#include "routing/dispatch/dispatcher.h"

namespace pipit {

namespace {
constexpr Micros connect_timeout = millis(350);  // for opening a connection to a worker
// §12.5: predicted time to the first event on a free worker, and the costs of each uncached token, in microseconds. A
// worker's measured pace scales the prediction.
constexpr Micros first_event_min = millis(45);
constexpr double token_cost = 15.5;          // of an uncached token
constexpr double attention_cost = 0.000242;  // of an uncached token, for each token before it
constexpr double prediction_error = 30000;   // spread of the predicted time, in microseconds
// Prices of a token, in units of the cost of a late answer.
constexpr double recompute_price = 0.0005;
constexpr double cross_zone_price = 0.0000025;
constexpr double preferred_worker_discount = 0.00008;
constexpr Micros announcement_interval = seconds(2);  // of the same prompt parts at a worker

std::int64_t prompt_tokens(RequestInfo const& info) {
  std::int64_t sum = 0;
  for (std::uint32_t const tokens : info.parts.tokens) sum += tokens;
  return std::max(sum, info.input_tokens);
}

// The number of parts that other requests may share; the last part is the request's own.
std::size_t shared_parts(PromptParts const& parts) { return parts.path.empty() ? 0 : parts.path.size() - 1; }

// The index of the largest of the first 'count' parts; 'count' is above 0.
std::size_t largest_part(PromptParts const& parts, std::size_t count) {
  std::vector<std::uint32_t>::const_iterator const begin = parts.tokens.begin();
  return static_cast<std::size_t>(
      std::distance(begin, std::max_element(begin, begin + static_cast<std::ptrdiff_t>(count))));
}
}  // namespace

// The time that a worker takes to process the uncached tokens of a prompt: a cost for each of them, and one for each
// pair of it and a token before it.
Micros Dispatcher::prefill_time(std::int64_t uncached, std::int64_t cached) {
  double const n = static_cast<double>(uncached);
  return static_cast<Micros>(n * token_cost + n * (static_cast<double>(cached) + n / 2) * attention_cost);
}

void Dispatcher::place_if_authorized(Request& request, Micros now, DispatchEffects& out) {
  if (reauthorize(request, now, out)) place(request, now, out);
}

// The workers of the request's pool that take requests and that have had no attempt of it.
Dispatcher::Candidates Dispatcher::candidates_for(Request const& request, Micros now) const {
  PromptParts const& parts = request.info.parts;
  std::map<std::string, std::size_t> const hits = index_sync_.index(request.index_name).match(parts.path);
  std::size_t const shared = shared_parts(parts);
  Candidates out;
  for (std::pair<std::string const, Instance>& item : registry_.all) {
    Instance& worker = item.second;
    if (worker.pool != request.pool->name || !worker.accepts_requests() || request.attempted.count(item.first))
      continue;
    std::map<std::string, std::size_t>::const_iterator const hit = hits.find(item.first);
    std::size_t const cached_parts = hit == hits.end() ? 0 : std::min(hit->second, parts.tokens.size());
    out.list.push_back({&worker, cached_parts});
    if (worker.ejected <= now) out.most_cached_parts = std::max(out.most_cached_parts, std::min(cached_parts, shared));
  }
  return out;
}

// Every node sends a part that no worker caches yet to the same worker without any exchange between nodes: the first in
// rendezvous order for the first uncached part. In a large fleet (§12.7) the largest shared part alone is the key.
Dispatcher::PreferredWorker Dispatcher::preferred_worker(Request const& request, Candidates const& candidates,
                                                         Micros now) const {
  PromptParts const& parts = request.info.parts;
  std::size_t const shared = shared_parts(parts);
  std::size_t const key = large_fleet_ && shared > 0 ? largest_part(parts, shared) : candidates.most_cached_parts;
  PreferredWorker out;
  if (key >= shared) return out;
  out.weight = large_fleet_ ? 0 : preferred_worker_discount * static_cast<double>(parts.tokens[key]);
  std::uint64_t preferred_rank = 0;
  for (Candidate const& candidate : candidates.list) {
    if (candidate.worker->ejected > now) continue;
    std::uint64_t const rank = hash_text(candidate.worker->id, parts.path[key]);
    if (!out.worker.empty() && rank <= preferred_rank) continue;
    out.worker = candidate.worker->id;
    preferred_rank = rank;
  }
  return out;
}

// In a large fleet (§12.7) the preferred worker is assumed to cache every shared part, so that nodes need not announce
// the parts that they send there.
void Dispatcher::assume_cached_at_preferred(Request const& request, PreferredWorker const& preferred,
                                            Candidates& candidates) const {
  if (!large_fleet_ || preferred.worker.empty()) return;
  std::size_t const shared = shared_parts(request.info.parts);
  candidates.most_cached_parts = shared;
  for (Candidate& candidate : candidates.list)
    if (candidate.worker->id == preferred.worker) candidate.cached_parts = std::max(candidate.cached_parts, shared);
}

// §12.5: the price of a worker, in units of the cost of a late answer: the probability of a late answer, the tokens
// that it processes although another worker caches them, the tokens that cross a zone border, and the worker's load.
Dispatcher::PlacementCost Dispatcher::cost_of(Request const& request, Candidate const& candidate,
                                              Candidates const& candidates, PreferredWorker const& preferred,
                                              Micros now) const {
  Instance const& worker = *candidate.worker;
  PromptParts const& parts = request.info.parts;
  PlacementCost out;
  std::int64_t recomputed_tokens = 0;
  for (std::size_t i = 0; i < parts.tokens.size(); ++i) {
    if (i < candidate.cached_parts) out.cached_tokens += parts.tokens[i];
    if (i >= candidate.cached_parts && i < candidates.most_cached_parts) recomputed_tokens += parts.tokens[i];
  }
  std::int64_t const prompt = prompt_tokens(request.info);
  std::int64_t const size = prompt + request.info.output_tokens;
  out.uncached_tokens = std::max<std::int64_t>(0, prompt - out.cached_tokens);
  Micros const prefill = prefill_time(out.uncached_tokens, out.cached_tokens);
  out.first_event =
      static_cast<Micros>(worker.pace * static_cast<double>(first_event_min + prefill)) + worker.busy(now);
  double const latency_target = static_cast<double>(std::max<Micros>(millis(1), request.route->latency_target));
  double const total = static_cast<double>(now - request.arrived_at + out.first_event);
  double const spread = prediction_error + 0.12 * static_cast<double>(out.first_event);
  out.price = 1.0 / (1.0 + std::exp(std::clamp((latency_target - total) / spread, -30.0, 30.0)));
  out.price += 0.1 * total / latency_target;
  out.price += recompute_price * static_cast<double>(recomputed_tokens);
  if (worker.zone != zone_) out.price += cross_zone_price * static_cast<double>(size);
  if (worker.id == preferred.worker) out.price -= preferred.weight;
  std::int64_t const load = worker.load(now);
  out.price += 0.05 * static_cast<double>(load) / static_cast<double>(std::max<std::int64_t>(1, worker.slots));
  if (load >= worker.slots) out.price += 2;
  std::int64_t const cache_tokens = request.pool->cache_tokens;
  if (cache_tokens > 0 && worker.reserved_tokens + size > cache_tokens * 9 / 10) out.price += 1;
  if (worker.ejected > now) out.price += 10;
  return out;
}

// Sends the request to the cheapest candidate. Without a candidate it keeps waiting: tick() tries again, and rejects it
// at its placement deadline.
void Dispatcher::place(Request& request, Micros now, DispatchEffects& out) {
  if (paused_) return;
  Candidates candidates = candidates_for(request, now);
  PreferredWorker const preferred = preferred_worker(request, candidates, now);
  assume_cached_at_preferred(request, preferred, candidates);
  Instance* best = nullptr;
  PlacementCost best_cost;
  for (Candidate const& candidate : candidates.list) {
    PlacementCost const cost = cost_of(request, candidate, candidates, preferred, now);
    if (best != nullptr && cost.price >= best_cost.price) continue;
    best = candidate.worker;
    best_cost = cost;
  }
  if (best == nullptr) return;
  start_attempt(request, *best, best_cost.uncached_tokens, best_cost.cached_tokens, best_cost.first_event,
                best->id == preferred.worker, now, out);
}

// Whether a worker without an attempt of this request takes requests and would probably accept this one.
bool Dispatcher::has_free_alternative(Request const& request, Micros now) const {
  return std::any_of(registry_.all.begin(), registry_.all.end(),
                     [&](std::pair<std::string const, Instance> const& item) {
                       Instance const& at = item.second;
                       return at.pool == request.pool->name && at.accepts_requests() && at.ejected <= now &&
                              at.load(now) < at.slots && request.attempted.count(item.first) == 0;
                     });
}

// Announces all shared parts, so that a peer can apply the change without a base. Peers that have heard of the same
// parts at this worker a moment ago gain nothing from it.
void Dispatcher::announce_shared_parts(PromptParts const& parts, std::string const& index_name,
                                       std::string const& worker, Index::Bounds const& bounds, Micros now) {
  Index& index = index_sync_.index(index_name);
  Path const path(parts.path.begin(), parts.path.end() - 1);
  if (index.used_since(path.back(), worker, now - announcement_interval)) return;
  std::vector<std::uint32_t> const tokens(parts.tokens.begin(), parts.tokens.end() - 1);
  wire::DeltaT delta = index.touch(path, worker, 1, bounds, now, tokens);
  delta.base = 0;
  delta.tail = path;
  delta.weights = tokens;
  exchange_.report_index_change(index_name, std::move(delta));
}

void Dispatcher::start_attempt(Request& request, Instance& instance, std::int64_t uncached, std::int64_t cached,
                               Micros predicted_first_event, bool is_preferred, Micros now, DispatchEffects& out) {
  check_invariant(instance.accepts_requests(), Invariant::leaving_worker, [&] {
    return "request " + std::to_string(request.id) + " is placed at worker " + instance.id +
           ", which takes no requests";
  });
  request.worker_id = instance.id;
  request.last_worker = instance.id;
  request.progress = request.answer_begun ? AttemptProgress::answering : AttemptProgress::none;
  request.attempt_started_at = now;
  request.last_event_at = now;
  request.predicted_first_event = predicted_first_event;
  Micros const prefill = static_cast<Micros>(instance.pace * static_cast<double>(prefill_time(uncached, cached)));
  request.predicted_queue_time = instance.busy(now);
  instance.work(prefill, now);
  exchange_.report_work(instance.id, prefill);
  request.first_event_received = false;
  request.attempted.insert(instance.id);
  ++request.connect_attempts;
  ++instance.running;
  instance.reserved_tokens += request.info.input_tokens + request.info.output_tokens;
  instance.last_sent = now;
  if (instance.zone != zone_) ++counters.cross_zone_sends;
  PromptParts const& parts = request.info.parts;
  for (std::size_t i = 0; i + 1 < parts.tokens.size(); ++i) counters.shared_tokens += parts.tokens[i];
  Index::Bounds bounds;
  bounds.blocks = static_cast<std::size_t>(request.pool->cache_tokens > 0 ? request.pool->cache_tokens
                                                                          : request.pool->cache_blocks);
  bounds.age = request.pool->cache_ttl;
  if (!large_fleet_ && !parts.path.empty())
    exchange_.report_index_change(
        request.index_name,
        index_sync_.index(request.index_name).touch(parts.path, instance.id, 1, bounds, now, parts.tokens));
  if (large_fleet_ && !is_preferred && parts.path.size() > 1)
    announce_shared_parts(parts, request.index_name, instance.id, bounds, now);
  Attempt attempt;
  attempt.request = request.id;
  attempt.instance = instance.id;
  attempt.address = instance.address;
  attempt.connect_timeout = connect_timeout;
  attempt.timeout = std::max<Micros>(millis(1), request.deadline - now);
  attempt.rank = rank_of(request);
  attempt.tenant = request.tenant;
  attempt.keys_required = rules_->keys_required;
  attempt.resumes_answer = request.answer_begun;
  out.attempts.push_back(std::move(attempt));
}

}  // namespace pipit
