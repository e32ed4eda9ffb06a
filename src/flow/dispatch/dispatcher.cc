#include "flow/dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "base/events.h"
#include "base/guards.h"
#include "base/hash.h"
#include "base/invariants.h"
#include "base/request_guards.h"

namespace pipit {

namespace {
constexpr Micros way_back = millis(25);    // of the caller's time, for the answer's way
constexpr Micros dial_most = millis(350);  // for opening a connection to a worker
constexpr Micros time_least = millis(60);  // with less left, no other worker is tried
constexpr int dials_most = 4;
constexpr Micros begin_span = seconds(5);  // after its start, while what a node knows still grows
constexpr Micros begin_wait = millis(900);
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
constexpr Micros still_least = millis(300);  // between two ticks, of which there are twenty a second
constexpr Micros quiet_least = millis(400);  // nothing from a worker for so long while several wait: it is dark

bool digit_of(char c, std::uint64_t& out) {
  if (c >= '0' && c <= '9')
    out = static_cast<std::uint64_t>(c - '0');
  else if (c >= 'a' && c <= 'f')
    out = static_cast<std::uint64_t>(c - 'a') + 10;
  else if (c >= 'A' && c <= 'F')
    out = static_cast<std::uint64_t>(c - 'A') + 10;
  else
    return false;
  return true;
}
}  // namespace

Parts parse_parts(std::string_view text) {
  Parts out;
  std::uint64_t hash = 1;
  while (!text.empty() && out.path.size() < block_most) {
    std::size_t const cut = std::min(text.find(','), text.size());
    std::string_view word = text.substr(0, cut);
    text.remove_prefix(std::min(cut + 1, text.size()));
    while (!word.empty() && word.front() == ' ') word.remove_prefix(1);
    std::size_t const colon = word.find(':');
    if (colon == std::string_view::npos || colon == 0) break;
    std::uint64_t digit = 0;
    bool good = true;
    for (char const c : word.substr(0, colon)) good = good && digit_of(c, digit);
    std::uint64_t tokens = 0;
    for (char const c : word.substr(colon + 1)) {
      if (c < '0' || c > '9' || tokens > 100000000) {
        good = good && c == ' ';
        continue;
      }
      tokens = tokens * 10 + static_cast<std::uint64_t>(c - '0');
    }
    if (!good) break;
    hash = hash_text(word.substr(0, colon), hash);
    if (hash == 0) hash = 1;
    out.path.push_back(hash);
    out.tokens.push_back(static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, 100000000)));
  }
  return out;
}

void Dispatcher::budget(double ratio, double store) {
  resend_ratio = ratio;
  resend_store = store;
}

Dispatcher::Bucket& Dispatcher::bucket(Pool const& pool) {
  Bucket& out = buckets[pool.name];
  double const most = std::max(1.0, resend_store / static_cast<double>(node_count));
  if (!out.known) {
    out.known = true;
    out.level = most;
  }
  out.level = std::min(out.level, most);
  return out;
}

bool Dispatcher::can_pay(Pool const& pool) { return bucket(pool).level >= 1 || !guard(Guard::bucket); }

bool Dispatcher::pay(Pool const& pool) {
  Bucket& from = bucket(pool);
  if (from.level < 1 && guard(Guard::bucket)) return false;
  from.level -= 1;
  return true;
}

Route const* Dispatcher::route_of(std::uint64_t id) const {
  std::map<std::uint64_t, std::unique_ptr<Request>>::const_iterator const spot = requests.find(id);
  return spot == requests.end() ? nullptr : spot->second->route;
}

void Dispatcher::erase(std::uint64_t id) { requests.erase(id); }

void Dispatcher::deny(Request& request, Kind kind, Micros wait, Micros now, DispatchOut& out) {
  ++(wait > 0 ? tally.refused : tally.failed);
  out.denials.push_back({request.id, kind, wait, request.repeatable});
  out.failed.push_back(failure_of(request, wait > 0 ? FailedEnd::refused : FailedEnd::failed, kind, now));
  erase(request.id);
}

// Its answer has begun and cannot be completed.
void Dispatcher::break_off(Request& request, Micros now, DispatchOut& out) {
  ++tally.broken;
  out.breaks.push_back(request.id);
  out.failed.push_back(failure_of(request, FailedEnd::broken, Kind::answer_torn, now));
  erase(request.id);
}

char const* failed_end_word(FailedEnd end) {
  static char const* const words[] = {"refused", "failed", "passed", "broken", "left"};
  return words[static_cast<std::size_t>(end)];
}

FailedRequest Dispatcher::failure_of(Request const& request, FailedEnd end, Kind kind, Micros now) const {
  FailedRequest out;
  out.request = request.id;
  out.end = end;
  out.kind = kind;
  if (request.route != nullptr) out.route = request.route->name;
  out.worker = request.last_worker;
  out.reach = request.reach;
  out.held = now - request.came + request.query.read_for;
  out.left = request.due > 0 ? request.due - now : 0;
  out.sends = request.sends;
  out.dials = request.dials;
  return out;
}

Micros Dispatcher::oldest(Micros now) const {
  Micros out = 0;
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests)
    out = std::max(out, now - item.second->came);
  return out;
}

void Dispatcher::fresh(std::uint64_t id, Query query, Micros now, DispatchOut& out) {
  ++tally.asked;
  std::unique_ptr<Request> made = std::make_unique<Request>();
  Request& request = *made;
  request.id = id;
  request.query = std::move(query);
  request.rules = rules;
  request.came = now;
  requests.emplace(id, std::move(made));
  // A node that has only just begun reads the description in a moment: who asks meanwhile is kept rather than refused.
  Micros const patience = request.query.left > 0 ? std::min(request.query.left / 4, begin_wait) : begin_wait;
  request.give_up = now + patience;
  if (rules->routes.empty() && now - born < begin_span) return;
  admit(request, now, out);
}

// What the description says of it, once there is one.
void Dispatcher::admit(Request& request, Micros now, DispatchOut& out) {
  request.rules = rules;
  if (rules->routes.empty()) return deny(request, Kind::not_ready, millis(300), now, out);
  request.route = rules->route(request.query.host, request.query.path);
  if (request.route == nullptr) return deny(request, Kind::not_found, 0, now, out);
  request.pool = rules->pool(share_turns.next(*request.route).pool);
  if (request.pool == nullptr) return deny(request, Kind::no_worker, millis(500), now, out);
  request.repeatable = request.route->repeatable || (request.route->streams && request.route->resumable);
  request.tree = request.pool->name + "/" + request.query.model;
  Micros const left = request.query.left > 0 ? request.query.left : request.route->hold;
  request.due = request.came - request.query.read_for + std::min(left, request.route->hold) - way_back;
  if (request.due <= now) return deny(request, Kind::expired, millis(100), now, out);
  request.give_up = request.came + std::min(request.route->aim / 5, left / 4);
  if (now - born < begin_span) request.give_up = request.came + std::min(begin_wait, left / 4);
  Bucket& earned = bucket(*request.pool);
  earned.level += resend_ratio;
  place(request, now, out);
}

// How long a worker takes to read a prompt of which it keeps a part: each token once, and each against all before it.
Micros Dispatcher::read_time(std::int64_t missing, std::int64_t kept) {
  double const n = static_cast<double>(missing);
  return static_cast<Micros>(n * token_cost + n * (static_cast<double>(kept) + n / 2) * pair_cost);
}

// §12.5: every worker has a price, in parts of what a late answer loses: how likely it makes the answer late, what it
// reads again though another keeps it, what crosses a border. The cheapest is taken.
void Dispatcher::place(Request& request, Micros now, DispatchOut& out) {
  if (held) return;
  Parts const& parts = request.query.parts;
  std::map<std::string, std::size_t> const hits = index_sync.index(request.tree).match(parts.path);
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
  for (std::pair<std::string const, Instance>& item : registry.all) {
    Instance& at = item.second;
    if (at.pool != request.pool->name || !at.takes() || request.tried.count(item.first)) continue;
    std::map<std::string, std::size_t>::const_iterator const hit = hits.find(item.first);
    std::size_t const depth = hit == hits.end() ? 0 : std::min(hit->second, parts.tokens.size());
    field.push_back({&at, depth});
    if (at.shunned <= now) deepest = std::max(deepest, std::min(depth, shared));
  }
  // What nobody keeps yet goes to the same worker from all nodes, with no talk between them: the first in rendezvous
  // order by the first part that is new.
  std::string home;
  std::uint64_t home_rank = 0;
  double home_worth = 0;
  // §12.7: among many nodes the largest shared part decides alone, and its home is held to keep it: then nobody needs
  // to be told what stays at home.
  std::size_t key = deepest;
  if (wide && shared > 0)
    key = static_cast<std::size_t>(std::distance(
        parts.tokens.begin(),
        std::max_element(parts.tokens.begin(), parts.tokens.begin() + static_cast<std::ptrdiff_t>(shared))));
  if (key < shared) {
    home_worth = wide ? 0 : new_part_worth * static_cast<double>(parts.tokens[key]);
    for (Choice const& item : field) {
      if (item.at->shunned > now) continue;
      std::uint64_t const rank = hash_text(item.at->id, parts.path[key]);
      if (!home.empty() && rank <= home_rank) continue;
      home = item.at->id;
      home_rank = rank;
    }
  }
  if (wide && !home.empty()) {
    deepest = shared;
    for (Choice& item : field)
      if (item.at->id == home) item.depth = std::max(item.depth, shared);
  }
  Instance* best = nullptr;
  double best_price = 0;
  Micros best_guess = 0;
  std::int64_t best_kept = 0;
  double const aim = static_cast<double>(std::max<Micros>(millis(1), request.route->aim));
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
    double price = 1.0 / (1.0 + std::exp(std::clamp((aim - took) / blur, -30.0, 30.0)));
    price += 0.1 * took / aim;
    price += again_price * static_cast<double>(again);
    if (at.zone != zone) price += far_price * static_cast<double>(size);
    if (at.id == home) price -= home_worth;
    price += 0.05 * static_cast<double>(at.load(now)) / static_cast<double>(std::max<std::int64_t>(1, at.slots));
    if (at.load(now) >= at.slots) price += 2;
    if (request.pool->cache_tokens > 0 && at.held + size > request.pool->cache_tokens * 9 / 10) price += 1;
    if (at.shunned > now) price += 10;
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
  return std::any_of(registry.all.begin(), registry.all.end(), [&](std::pair<std::string const, Instance> const& item) {
    Instance const& at = item.second;
    return at.pool == request.pool->name && at.takes() && request.tried.count(item.first) == 0;
  });
}

void Dispatcher::begin(Request& request, Instance& instance, std::int64_t missing, std::int64_t kept, Micros guess,
                       bool at_home, Micros now, DispatchOut& out) {
  check_invariant(instance.takes(), Invariant::leaving_worker,
                  [&] { return "request " + std::to_string(request.id) + " to " + instance.id; });
  request.at = instance.id;
  request.last_worker = instance.id;
  request.reach = request.begun ? Reach::answering : Reach::none;
  request.from = now;
  request.heard = now;
  request.guess = guess;
  Micros const reading = static_cast<Micros>(instance.pace * static_cast<double>(read_time(missing, kept)));
  request.busy = instance.busy(now);
  instance.work(reading, now);
  exchange.work(instance.id, reading);
  request.read = false;
  request.tried.insert(instance.id);
  ++request.dials;
  ++instance.running;
  instance.held += request.query.tokens_in + request.query.tokens_out;
  instance.last_sent = now;
  if (instance.zone != zone) ++tally.far_sends;
  Parts const& parts = request.query.parts;
  for (std::size_t i = 0; i + 1 < parts.tokens.size(); ++i) tally.tokens_shared += parts.tokens[i];
  Index::Bounds bounds;
  bounds.blocks = static_cast<std::size_t>(request.pool->cache_tokens > 0 ? request.pool->cache_tokens
                                                                          : request.pool->cache_blocks);
  bounds.age = request.pool->cache_age;
  if (!wide && !parts.path.empty())
    exchange.delta(request.tree,
                   index_sync.index(request.tree).touch(parts.path, instance.id, 1, bounds, now, parts.tokens));
  if (wide && !at_home && parts.path.size() > 1) {
    // The shared parts alone, whole, so that no peer has to know anything to take them in.
    Path const path(parts.path.begin(), parts.path.end() - 1);
    std::vector<std::uint32_t> const tokens(parts.tokens.begin(), parts.tokens.end() - 1);
    wire::DeltaT word = index_sync.index(request.tree).touch(path, instance.id, 1, bounds, now, tokens);
    word.base = 0;
    word.tail = path;
    word.weights = tokens;
    exchange.delta(request.tree, std::move(word));
  }
  Attempt start;
  start.request = request.id;
  start.instance = instance.id;
  start.address = instance.address;
  start.within = dial_most;
  start.left = std::max<Micros>(millis(1), request.due - now);
  start.rank = request.route->rank;
  start.resumed = request.begun;
  out.starts.push_back(std::move(start));
}

void Dispatcher::release(Request& request) {
  Instance* const at = registry.find(request.at);
  if (at != nullptr) {
    --at->running;
    at->held -= request.query.tokens_in + request.query.tokens_out;
  }
  request.at.clear();
}

void Dispatcher::left(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const spot = requests.find(id);
  if (spot == requests.end()) return;
  Request& request = *spot->second;
  ++tally.sends;
  if (++request.sends > 1) ++tally.resends;
  bool const allowed = request.sends <= std::max<std::int64_t>(1, request.route->attempts);
  check_invariant(allowed, Invariant::attempt_limit, [&] {
    return "route " + request.route->name + " allows " + std::to_string(request.route->attempts) + ", sent " +
           std::to_string(request.sends) + " times, now to " + request.at;
  });
  if (request.reach == Reach::none) request.reach = Reach::sent;
}

void Dispatcher::began(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const spot = requests.find(id);
  if (spot == requests.end()) return;
  spot->second->reach = Reach::answering;
  spot->second->begun = true;
  event(id, now);
}

void Dispatcher::event(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const spot = requests.find(id);
  if (spot == requests.end()) return;
  Request& request = *spot->second;
  request.heard = now;
  Instance* const at = registry.find(request.at);
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
  registry.well(*at, now);
}

void Dispatcher::unmarked(std::uint64_t id) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const spot = requests.find(id);
  if (spot != requests.end()) spot->second->marked = false;
}

bool Dispatcher::resumable(Request const& request) {
  return request.route->streams && request.route->resumable && request.marked;
}

void Dispatcher::ended(std::uint64_t id, AttemptEnd end, bool elsewhere, Micros now, DispatchOut& out) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const spot = requests.find(id);
  if (spot == requests.end() || spot->second->at.empty()) return;
  Request& request = *spot->second;
  std::string const at = request.at;
  Instance* const instance = registry.find(at);
  Reach const reach = request.reach;
  release(request);
  if (instance != nullptr) {
    switch (end) {
      case AttemptEnd::declined:
        registry.well(*instance, now);
        // It is full, or it is somebody else who lives there now.
        instance->shunned = now + (elsewhere ? seconds(3) : millis(120));
        if (elsewhere) exchange.doubt(at);
        break;
      case AttemptEnd::whole:
      case AttemptEnd::failed:
        registry.well(*instance, now);
        break;
      default:
        // One slow answer among others that flow is no sign of a worker in trouble.
        if (end == AttemptEnd::silent && now - instance->last_byte < quiet_least) break;
        if (registry.doubt(at, now)) {
          log_event(Event::worker_doubted, at);
          exchange.doubt(at);
        }
        break;
    }
  }
  bool const clean = end == AttemptEnd::unreached || end == AttemptEnd::declined;
  Traits traits;
  traits.repeatable = request.repeatable;
  traits.resumable = resumable(request);
  traits.attempts = request.sends < request.route->attempts || !guard(RequestGuard::attempts);
  traits.budget = can_pay(*request.pool);
  traits.time = now + time_least < request.due && request.dials < dials_most;
  traits.ran = request.ran;
  Fate const fate = fate_of(traits, reach, end);
  if (!clean && reach != Reach::none) request.ran = true;
  if (fate == Fate::again && request.sends > 0) {
    pay(*request.pool);
    if (request.begun) ++tally.resumes;
  }
  obey(request, fate, now, out);
}

void Dispatcher::obey(Request& request, Fate fate, Micros now, DispatchOut& out) {
  switch (fate) {
    case Fate::done:
      ++tally.served;
      return erase(request.id);
    case Fate::again:
      request.give_up = std::max(request.give_up, std::min(request.due, now + request.route->aim / 5));
      return place(request, now, out);
    case Fate::pass:
      ++tally.passed;
      out.passes.push_back(request.id);
      out.failed.push_back(failure_of(request, FailedEnd::passed, Kind::worker_failed, now));
      return erase(request.id);
    case Fate::refuse:
      return deny(request, Kind::worker_refused, millis(150), now, out);
    case Fate::fail:
      return deny(request, Kind::worker_broke, 0, now, out);
    case Fate::cut:
      return break_off(request, now, out);
  }
}

void Dispatcher::said(std::uint64_t id, std::int64_t load, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const spot = requests.find(id);
  Instance* const at = spot == requests.end() ? nullptr : registry.find(spot->second->at);
  if (at == nullptr) return;
  at->said = load;
  at->said_at = now;
  // Only what may change a choice of somebody else is worth a word.
  if (load * 5 >= at->slots * 2) exchange.load(at->id, load);
}

std::optional<FailedRequest> Dispatcher::hung_up(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const spot = requests.find(id);
  if (spot == requests.end()) return std::nullopt;
  ++tally.hangups;
  FailedRequest const out = failure_of(*spot->second, FailedEnd::left, Kind::caller_gone, now);
  if (!spot->second->at.empty()) release(*spot->second);
  erase(id);
  return out;
}

// A node that stood still has not read what came meanwhile: that is no silence of its workers.
void Dispatcher::note_stillness(Micros now) {
  Micros const span = now - last_tick;
  bool const stood_still = last_tick >= 0 && span > still_least;
  last_tick = now;
  if (!stood_still) return;
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests)
    item.second->heard = std::min(now, item.second->heard + span);
}

void Dispatcher::tick(Micros now, DispatchOut& out) {
  note_stillness(now);
  std::vector<std::uint64_t> ids;
  ids.reserve(requests.size());
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests) ids.push_back(item.first);
  for (std::uint64_t const id : ids) {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const spot = requests.find(id);
    if (spot == requests.end()) continue;
    Request& request = *spot->second;
    if (request.route == nullptr) {
      if (!rules->routes.empty() || now >= request.give_up) admit(request, now, out);
      continue;
    }
    if (request.at.empty()) {
      // After standing still a node finds what waited for a worker past its time: nobody waits for that any more.
      if (now < request.due) place(request, now, out);
      if (!request.at.empty()) continue;
      if (now < std::min(request.give_up, request.due)) continue;
      if (request.begun) {
        break_off(request, now, out);
      } else if (request.ran && !request.repeatable) {
        deny(request, Kind::worker_broke, 0, now, out);
      } else {
        deny(request, Kind::no_worker, millis(250), now, out);
      }
      continue;
    }
    if (now >= request.due) {
      // The time is over: what is under way is given up, and nobody is promised anything.
      out.cuts.push_back(id);
      bool const reached = request.reach != Reach::none || request.ran;
      bool const begun = request.begun;
      release(request);
      if (begun) {
        break_off(request, now, out);
      } else if (reached) {
        deny(request, Kind::worker_silent, 0, now, out);
      } else {
        deny(request, Kind::worker_unreached, millis(100), now, out);
      }
      continue;
    }
    if (!request.repeatable || request.reach == Reach::none || held) continue;
    // What has begun and cannot go on elsewhere is waited for, as is anything once another worker would come too late.
    if (request.begun && !resumable(request)) continue;
    if (now + time_least >= request.due || request.dials >= dials_most) continue;
    // A stream that may go on elsewhere does not wait for a worker that has fallen silent (§12.5).
    Instance const* const at = registry.find(request.at);
    Micros const quiet = now - request.heard;
    Micros const others = at == nullptr ? quiet : now - at->last_byte;
    // A worker that is merely busy is no better left: what was sent there would be read twice, and the crowd would feed
    // itself. So one slow answer has to be late by far, unless nothing at all comes from its worker.
    bool const still = others > quiet_least;
    Micros const most = request.read ? std::max<Micros>(quiet_least * 2, request.route->gap * 2)
                        : still      ? std::max<Micros>(request.route->aim * 3 / 4, request.guess * 3)
                                     : std::max<Micros>(request.route->aim * 2, request.guess * 4);
    bool const dark =
        quiet > quiet_least && others > quiet_least && at != nullptr && at->running > 1 && quiet > request.guess * 3;
    // A worker that said farewell may serve on for long; one whose beats are late still sends what it has.
    bool const gone = at == nullptr || (at->standing == Standing::gone && !at->said_farewell() && still);
    if (!(quiet > most || dark || (gone && quiet > quiet_least / 2))) continue;
    if (request.sends >= request.route->attempts || !can_pay(*request.pool)) continue;
    if (!another_takes(request)) continue;  // what is cut would only wait, and its worker may still answer
    ++tally.silences;
    out.cuts.push_back(id);
    ended(id, AttemptEnd::silent, false, now, out);
  }
  check_requests(now);
}

// After each tick nobody waits beyond the time, and every request that came is under way or had one end.
void Dispatcher::check_requests(Micros now) const {
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests) {
    Request const& request = *item.second;
    bool const in_time = request.route == nullptr || now < request.due;
    check_invariant(in_time, Invariant::answered_in_time, [&] {
      return "route " + request.route->name + ", " + std::to_string((now - request.due) / 1000) +
             " ms late, at worker '" + request.at + "'";
    });
  }
  std::uint64_t const ended = tally.served + tally.refused + tally.failed + tally.passed + tally.broken + tally.hangups;
  check_invariant(tally.asked == ended + requests.size(), Invariant::request_ends_once, [&] {
    return std::to_string(tally.asked) + " came, " + std::to_string(ended) + " ended, " +
           std::to_string(requests.size()) + " are under way";
  });
}

}  // namespace pipit
