// Which worker gets a request, and how an attempt there begins (§12.5).
#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "base/invariants.h"
#include "routing/dispatch/dispatcher.h"

namespace pipit {

namespace {
constexpr Micros dial_most = millis(350);  // for opening a connection to a worker
// §12.5: what a first event takes on a worker that is free, and for each token that has to be read. Learnt figures
// take their place; these begin.
constexpr Micros first_least = millis(45);
constexpr double token_cost = 15.5;
constexpr double pair_cost = 0.000242;
constexpr double late_blur = 30000;  // how sharp a prediction is, in microseconds
// Prices, in parts of what a late answer loses, for a token.
constexpr double reread_price = 0.0005;
constexpr double cross_zone_price = 0.0000025;
constexpr double new_part_weight = 0.00008;

std::int64_t prompt_tokens(Query const& query) {
  std::int64_t sum = 0;
  for (std::uint32_t const tokens : query.parts.tokens) sum += tokens;
  return std::max(sum, query.tokens_in);
}

// The parts that other requests may have as well; the last part is the request's own.
std::size_t shared_parts(Parts const& parts) { return parts.path.empty() ? 0 : parts.path.size() - 1; }

// The position of the largest of the first 'count' parts; 'count' is above 0.
std::size_t largest_part(Parts const& parts, std::size_t count) {
  std::vector<std::uint32_t>::const_iterator const begin = parts.tokens.begin();
  return static_cast<std::size_t>(
      std::distance(begin, std::max_element(begin, begin + static_cast<std::ptrdiff_t>(count))));
}
}  // namespace

// How long a worker takes to read a prompt of which it keeps a part: each token once, and each against all before it.
Micros Dispatcher::read_time(std::int64_t missing, std::int64_t kept) {
  double const n = static_cast<double>(missing);
  return static_cast<Micros>(n * token_cost + n * (static_cast<double>(kept) + n / 2) * pair_cost);
}

void Dispatcher::place_if_authorized(Request& request, Micros now, DispatchEffects& out) {
  if (still_authorized(request, now, out)) place(request, now, out);
}

// The workers of the request's pool that take requests and that it has not been sent to.
Dispatcher::Candidates Dispatcher::candidates_for(Request const& request, Micros now) const {
  Parts const& parts = request.query.parts;
  std::map<std::string, std::size_t> const hits = index_sync_.index(request.tree).match(parts.path);
  std::size_t const shared = shared_parts(parts);
  Candidates out;
  for (std::pair<std::string const, Instance>& item : registry_.all) {
    Instance& worker = item.second;
    if (worker.pool != request.pool->name || !worker.accepts_requests() || request.attempted.count(item.first))
      continue;
    std::map<std::string, std::size_t>::const_iterator const hit = hits.find(item.first);
    std::size_t const kept_parts = hit == hits.end() ? 0 : std::min(hit->second, parts.tokens.size());
    out.list.push_back({&worker, kept_parts});
    if (worker.ejected <= now) out.most_kept_parts = std::max(out.most_kept_parts, std::min(kept_parts, shared));
  }
  return out;
}

// A part that no worker keeps yet is sent to the same worker by every node without any exchange between them: the first
// in rendezvous order by the first new part. In a large fleet (§12.7) the largest shared part decides alone.
Dispatcher::Home Dispatcher::home_of(Request const& request, Candidates const& candidates, Micros now) const {
  Parts const& parts = request.query.parts;
  std::size_t const shared = shared_parts(parts);
  std::size_t const key = large_fleet_ && shared > 0 ? largest_part(parts, shared) : candidates.most_kept_parts;
  Home out;
  if (key >= shared) return out;
  out.weight = large_fleet_ ? 0 : new_part_weight * static_cast<double>(parts.tokens[key]);
  std::uint64_t home_rank = 0;
  for (Candidate const& candidate : candidates.list) {
    if (candidate.worker->ejected > now) continue;
    std::uint64_t const rank = hash_text(candidate.worker->id, parts.path[key]);
    if (!out.worker.empty() && rank <= home_rank) continue;
    out.worker = candidate.worker->id;
    home_rank = rank;
  }
  return out;
}

// In a large fleet (§12.7) the home is believed to keep every shared part, so that no node has to announce what stays
// at home.
void Dispatcher::assume_kept_at_home(Request const& request, Home const& home, Candidates& candidates) const {
  if (!large_fleet_ || home.worker.empty()) return;
  std::size_t const shared = shared_parts(request.query.parts);
  candidates.most_kept_parts = shared;
  for (Candidate& candidate : candidates.list)
    if (candidate.worker->id == home.worker) candidate.kept_parts = std::max(candidate.kept_parts, shared);
}

// §12.5: every worker has a price, in parts of what a late answer loses: how likely it makes the answer late, what it
// reads though another worker keeps it, what crosses a zone's border, and how full the worker is.
Dispatcher::PlacementCost Dispatcher::cost_of(Request const& request, Candidate const& candidate,
                                              Candidates const& candidates, Home const& home, Micros now) const {
  Instance const& worker = *candidate.worker;
  Parts const& parts = request.query.parts;
  PlacementCost out;
  std::int64_t reread_tokens = 0;
  for (std::size_t i = 0; i < parts.tokens.size(); ++i) {
    if (i < candidate.kept_parts) out.kept_tokens += parts.tokens[i];
    if (i >= candidate.kept_parts && i < candidates.most_kept_parts) reread_tokens += parts.tokens[i];
  }
  std::int64_t const prompt = prompt_tokens(request.query);
  std::int64_t const size = prompt + request.query.tokens_out;
  out.missing_tokens = std::max<std::int64_t>(0, prompt - out.kept_tokens);
  Micros const reading = read_time(out.missing_tokens, out.kept_tokens);
  out.first_event = static_cast<Micros>(worker.pace * static_cast<double>(first_least + reading)) + worker.busy(now);
  double const latency_target = static_cast<double>(std::max<Micros>(millis(1), request.route->latency_target));
  double const took = static_cast<double>(now - request.arrived_at + out.first_event);
  double const blur = late_blur + 0.12 * static_cast<double>(out.first_event);
  out.price = 1.0 / (1.0 + std::exp(std::clamp((latency_target - took) / blur, -30.0, 30.0)));
  out.price += 0.1 * took / latency_target;
  out.price += reread_price * static_cast<double>(reread_tokens);
  if (worker.zone != zone_) out.price += cross_zone_price * static_cast<double>(size);
  if (worker.id == home.worker) out.price -= home.weight;
  std::int64_t const load = worker.load(now);
  out.price += 0.05 * static_cast<double>(load) / static_cast<double>(std::max<std::int64_t>(1, worker.slots));
  if (load >= worker.slots) out.price += 2;
  std::int64_t const cache_tokens = request.pool->cache_tokens;
  if (cache_tokens > 0 && worker.reserved_tokens + size > cache_tokens * 9 / 10) out.price += 1;
  if (worker.ejected > now) out.price += 10;
  return out;
}

// Sends the request to the candidate with the least cost. Without a candidate it waits: tick() tries again, or gives up
// in time.
void Dispatcher::place(Request& request, Micros now, DispatchEffects& out) {
  if (paused_) return;
  Candidates candidates = candidates_for(request, now);
  Home const home = home_of(request, candidates, now);
  assume_kept_at_home(request, home, candidates);
  Instance* best = nullptr;
  PlacementCost best_cost;
  for (Candidate const& candidate : candidates.list) {
    PlacementCost const cost = cost_of(request, candidate, candidates, home, now);
    if (best != nullptr && cost.price >= best_cost.price) continue;
    best = candidate.worker;
    best_cost = cost;
  }
  if (best == nullptr) return;
  begin(request, *best, best_cost.missing_tokens, best_cost.kept_tokens, best_cost.first_event, best->id == home.worker,
        now, out);
}

// Whether there is a worker that it has not been sent to, that takes requests and that would probably not turn it away.
bool Dispatcher::another_is_free(Request const& request, Micros now) const {
  return std::any_of(registry_.all.begin(), registry_.all.end(),
                     [&](std::pair<std::string const, Instance> const& item) {
                       Instance const& at = item.second;
                       return at.pool == request.pool->name && at.accepts_requests() && at.ejected <= now &&
                              at.load(now) < at.slots && request.attempted.count(item.first) == 0;
                     });
}

void Dispatcher::begin(Request& request, Instance& instance, std::int64_t missing, std::int64_t kept, Micros guess,
                       bool at_home, Micros now, DispatchEffects& out) {
  check_invariant(instance.accepts_requests(), Invariant::leaving_worker,
                  [&] { return "request " + std::to_string(request.id) + " to " + instance.id; });
  request.at = instance.id;
  request.last_worker = instance.id;
  request.progress = request.begun ? AttemptProgress::answering : AttemptProgress::none;
  request.from = now;
  request.heard = now;
  request.guess = guess;
  Micros const reading = static_cast<Micros>(instance.pace * static_cast<double>(read_time(missing, kept)));
  request.busy = instance.busy(now);
  instance.work(reading, now);
  exchange_.work(instance.id, reading);
  request.read = false;
  request.attempted.insert(instance.id);
  ++request.dials;
  ++instance.running;
  instance.reserved_tokens += request.query.tokens_in + request.query.tokens_out;
  instance.last_sent = now;
  if (instance.zone != zone_) ++tally.cross_zone_sends;
  Parts const& parts = request.query.parts;
  for (std::size_t i = 0; i + 1 < parts.tokens.size(); ++i) tally.tokens_shared += parts.tokens[i];
  Index::Bounds bounds;
  bounds.blocks = static_cast<std::size_t>(request.pool->cache_tokens > 0 ? request.pool->cache_tokens
                                                                          : request.pool->cache_blocks);
  bounds.age = request.pool->cache_age;
  if (!large_fleet_ && !parts.path.empty())
    exchange_.delta(request.tree,
                    index_sync_.index(request.tree).touch(parts.path, instance.id, 1, bounds, now, parts.tokens));
  if (large_fleet_ && !at_home && parts.path.size() > 1) {
    // The shared parts alone, whole, so that no peer has to know anything to take them in.
    Path const path(parts.path.begin(), parts.path.end() - 1);
    std::vector<std::uint32_t> const tokens(parts.tokens.begin(), parts.tokens.end() - 1);
    wire::DeltaT delta = index_sync_.index(request.tree).touch(path, instance.id, 1, bounds, now, tokens);
    delta.base = 0;
    delta.tail = path;
    delta.weights = tokens;
    exchange_.delta(request.tree, std::move(delta));
  }
  Attempt start;
  start.request = request.id;
  start.instance = instance.id;
  start.address = instance.address;
  start.within = dial_most;
  start.remaining = std::max<Micros>(millis(1), request.due - now);
  start.rank = rank_of(request);
  start.tenant = request.tenant;
  start.keyed = rules_->keys_required;
  start.resumed = request.begun;
  out.starts.push_back(std::move(start));
}

}  // namespace pipit
