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
constexpr double again_price = 0.0005;
constexpr double far_price = 0.0000025;
constexpr double new_part_worth = 0.00008;
}  // namespace

// How long a worker takes to read a prompt of which it keeps a part: each token once, and each against all before it.
Micros Dispatcher::read_time(std::int64_t missing, std::int64_t kept) {
  double const n = static_cast<double>(missing);
  return static_cast<Micros>(n * token_cost + n * (static_cast<double>(kept) + n / 2) * pair_cost);
}

void Dispatcher::try_place(Request& request, Micros now, DispatchEffects& out) {
  if (still_authorized(request, now, out)) place(request, now, out);
}

// §12.5: every worker has a price, in parts of what a late answer loses: how likely it makes the answer late, what it
// reads again though another keeps it, what crosses a border. The cheapest is taken.
void Dispatcher::place(Request& request, Micros now, DispatchEffects& out) {
  if (held_) return;
  Parts const& parts = request.query.parts;
  std::map<std::string, std::size_t> const hits = index_sync_.index(request.tree).match(parts.path);
  std::int64_t sum = 0;
  for (std::uint32_t const n : parts.tokens) sum += n;
  std::int64_t const prompt = std::max(sum, request.query.tokens_in);
  std::size_t const shared = parts.path.empty() ? 0 : parts.path.size() - 1;  // the last part is the request's own
  struct Choice {
    Instance* at;
    std::size_t depth;
  };
  std::vector<Choice> field;
  std::size_t deepest = 0;
  for (std::pair<std::string const, Instance>& item : registry_.all) {
    Instance& at = item.second;
    if (at.pool != request.pool->name || !at.takes() || request.tried.count(item.first)) continue;
    std::map<std::string, std::size_t>::const_iterator const hit = hits.find(item.first);
    std::size_t const depth = hit == hits.end() ? 0 : std::min(hit->second, parts.tokens.size());
    field.push_back({&at, depth});
    if (at.ejected <= now) deepest = std::max(deepest, std::min(depth, shared));
  }
  // What nobody keeps yet goes to the same worker from all nodes, with no talk between them: the first in rendezvous
  // order by the first part that is new.
  std::string home;
  std::uint64_t home_rank = 0;
  double home_worth = 0;
  // §12.7: among many nodes the largest shared part decides alone, and its home is held to keep it: then nobody needs
  // to be told what stays at home.
  std::size_t key = deepest;
  if (wide_ && shared > 0)
    key = static_cast<std::size_t>(std::distance(
        parts.tokens.begin(),
        std::max_element(parts.tokens.begin(), parts.tokens.begin() + static_cast<std::ptrdiff_t>(shared))));
  if (key < shared) {
    home_worth = wide_ ? 0 : new_part_worth * static_cast<double>(parts.tokens[key]);
    for (Choice const& item : field) {
      if (item.at->ejected > now) continue;
      std::uint64_t const rank = hash_text(item.at->id, parts.path[key]);
      if (!home.empty() && rank <= home_rank) continue;
      home = item.at->id;
      home_rank = rank;
    }
  }
  if (wide_ && !home.empty()) {
    deepest = shared;
    for (Choice& item : field)
      if (item.at->id == home) item.depth = std::max(item.depth, shared);
  }
  Instance* best = nullptr;
  double best_price = 0;
  Micros best_guess = 0;
  std::int64_t best_kept = 0;
  double const latency_target = static_cast<double>(std::max<Micros>(millis(1), request.route->latency_target));
  std::int64_t const size = prompt + request.query.tokens_out;
  for (Choice const& item : field) {
    Instance& at = *item.at;
    std::int64_t kept = 0;
    std::int64_t again = 0;
    for (std::size_t i = 0; i < parts.tokens.size(); ++i) {
      if (i < item.depth) kept += parts.tokens[i];
      if (i >= item.depth && i < deepest) again += parts.tokens[i];
    }
    Micros const reading = read_time(std::max<std::int64_t>(0, prompt - kept), kept);
    Micros const guess = static_cast<Micros>(at.pace * static_cast<double>(first_least + reading)) + at.busy(now);
    double const took = static_cast<double>(now - request.came + guess);
    double const blur = late_blur + 0.12 * static_cast<double>(guess);
    double price = 1.0 / (1.0 + std::exp(std::clamp((latency_target - took) / blur, -30.0, 30.0)));
    price += 0.1 * took / latency_target;
    price += again_price * static_cast<double>(again);
    if (at.zone != zone_) price += far_price * static_cast<double>(size);
    if (at.id == home) price -= home_worth;
    price += 0.05 * static_cast<double>(at.load(now)) / static_cast<double>(std::max<std::int64_t>(1, at.slots));
    if (at.load(now) >= at.slots) price += 2;
    if (request.pool->cache_tokens > 0 && at.held + size > request.pool->cache_tokens * 9 / 10) price += 1;
    if (at.ejected > now) price += 10;
    if (best != nullptr && price >= best_price) continue;
    best = &at;
    best_price = price;
    best_guess = guess;
    best_kept = kept;
  }
  if (best == nullptr) return;  // it waits: tick() asks again, or gives up in time
  begin(request, *best, std::max<std::int64_t>(0, prompt - best_kept), best_kept, best_guess, best->id == home, now,
        out);
}

// Whether there is a worker that it has not been sent to and that takes requests.
bool Dispatcher::another_takes(Request const& request) const {
  return std::any_of(registry_.all.begin(), registry_.all.end(),
                     [&](std::pair<std::string const, Instance> const& item) {
                       Instance const& at = item.second;
                       return at.pool == request.pool->name && at.takes() && request.tried.count(item.first) == 0;
                     });
}

void Dispatcher::begin(Request& request, Instance& instance, std::int64_t missing, std::int64_t kept, Micros guess,
                       bool at_home, Micros now, DispatchEffects& out) {
  check_invariant(instance.takes(), Invariant::leaving_worker,
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
  request.tried.insert(instance.id);
  ++request.dials;
  ++instance.running;
  instance.held += request.query.tokens_in + request.query.tokens_out;
  instance.last_sent = now;
  if (instance.zone != zone_) ++tally.far_sends;
  Parts const& parts = request.query.parts;
  for (std::size_t i = 0; i + 1 < parts.tokens.size(); ++i) tally.tokens_shared += parts.tokens[i];
  Index::Bounds bounds;
  bounds.blocks = static_cast<std::size_t>(request.pool->cache_tokens > 0 ? request.pool->cache_tokens
                                                                          : request.pool->cache_blocks);
  bounds.age = request.pool->cache_age;
  if (!wide_ && !parts.path.empty())
    exchange_.delta(request.tree,
                    index_sync_.index(request.tree).touch(parts.path, instance.id, 1, bounds, now, parts.tokens));
  if (wide_ && !at_home && parts.path.size() > 1) {
    // The shared parts alone, whole, so that no peer has to know anything to take them in.
    Path const path(parts.path.begin(), parts.path.end() - 1);
    std::vector<std::uint32_t> const tokens(parts.tokens.begin(), parts.tokens.end() - 1);
    wire::DeltaT word = index_sync_.index(request.tree).touch(path, instance.id, 1, bounds, now, tokens);
    word.base = 0;
    word.tail = path;
    word.weights = tokens;
    exchange_.delta(request.tree, std::move(word));
  }
  Attempt start;
  start.request = request.id;
  start.instance = instance.id;
  start.address = instance.address;
  start.within = dial_most;
  start.left = std::max<Micros>(millis(1), request.due - now);
  start.rank = rank_of(request);
  start.tenant = request.tenant;
  start.keyed = rules_->keys_required;
  start.resumed = request.begun;
  out.starts.push_back(std::move(start));
}

}  // namespace pipit
