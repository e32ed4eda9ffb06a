#include "flow/dispatch/dispatcher.h"

#include <algorithm>
#include <cstdlib>

#include "ground/events.h"
#include "ground/guards.h"
#include "ground/mix.h"

namespace pipit {

namespace {
constexpr Micros way_back = millis(25);      // of the caller's time, for the answer's way
constexpr Micros dial_most = millis(350);    // for opening a connection to a worker
constexpr Micros time_least = millis(60);    // with less left, no other worker is tried
constexpr int dials_most = 4;
// §12.5: what a first event takes on a worker that is free, and for each token that has to be read. Learnt figures
// take their place; these begin.
constexpr Micros first_least = millis(45);
constexpr double token_cost = 15.5;
constexpr Micros far_cost = millis(2);
constexpr Micros full_cost = millis(800);
constexpr Micros shun_cost = seconds(3);
constexpr Micros quiet_least = millis(400);  // nothing from a worker for so long while several wait: it is dark

bool digit_of(char c, std::uint64_t& out) {
  if (c >= '0' && c <= '9')
    out = static_cast<std::uint64_t>(c - '0');
  else if (c >= 'a' && c <= 'f')
    out = static_cast<std::uint64_t>(c - 'a' + 10);
  else if (c >= 'A' && c <= 'F')
    out = static_cast<std::uint64_t>(c - 'A' + 10);
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
    hash = mix(word.substr(0, colon), hash);
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

void Dispatcher::deny(Request& request, Kind kind, Micros wait, DispatchOut& out) {
  ++(wait > 0 ? tally.refused : tally.failed);
  out.denials.push_back({request.id, kind, wait});
  erase(request.id);
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
  if (rules->routes.empty()) return deny(request, Kind::not_ready, millis(300), out);
  request.route = rules->route(request.query.host, request.query.path);
  if (request.route == nullptr) return deny(request, Kind::not_found, 0, out);
  std::int64_t sum = 0;
  for (Route::Share const& share : request.route->shares) sum += share.weight;
  std::int64_t spot = static_cast<std::int64_t>(stir(++turn ^ mix(self)) % static_cast<std::uint64_t>(sum));
  for (Route::Share const& share : request.route->shares) {
    if (spot < share.weight) {
      request.pool = rules->pool(share.pool);
      break;
    }
    spot -= share.weight;
  }
  if (request.pool == nullptr) return deny(request, Kind::no_worker, millis(500), out);
  request.repeatable = request.route->repeatable || (request.route->streams && request.route->resumable);
  request.tree = request.pool->name + "/" + request.query.model;
  Micros const left = request.query.left > 0 ? request.query.left : request.route->hold;
  request.due = now + std::min(left, request.route->hold) - way_back;
  if (request.due <= now) return deny(request, Kind::expired, millis(100), out);
  request.give_up = now + std::min(request.route->aim / 5, left / 4);
  Bucket& earned = bucket(*request.pool);
  earned.level += resend_ratio;
  place(request, now, out);
}

void Dispatcher::place(Request& request, Micros now, DispatchOut& out) {
  if (held) return;
  Parts const& parts = request.query.parts;
  std::map<std::string, std::size_t> const hits = tide.index(request.tree).match(parts.path);
  std::int64_t sum = 0;
  for (std::uint32_t const n : parts.tokens) sum += n;
  std::int64_t const prompt = std::max(sum, request.query.tokens_in);
  // All parts but the last are shared. Where nobody is known to keep them, all nodes send to the same worker with no
  // talk between them: the first in rendezvous order (§12.5).
  std::size_t const shared = parts.path.empty() ? 0 : parts.path.size() - 1;
  std::uint64_t const key = shared == 0 ? 0 : parts.path[shared - 1];
  Instance* home = nullptr;
  std::uint64_t home_rank = 0;
  Instance* best = nullptr;
  std::int64_t best_missing = 0;
  Micros best_cost = 0;
  Micros best_guess = 0;
  if (shared > 0)
    for (std::pair<std::string const, Instance>& item : registry.all) {
      Instance& at = item.second;
      if (at.pool != request.pool->name || !at.takes() || at.shunned > now) continue;
      std::uint64_t const rank = mix(at.id, key);
      if (home != nullptr && rank <= home_rank) continue;
      home = &at;
      home_rank = rank;
    }
  std::int64_t const size = prompt + request.query.tokens_out;
  for (std::pair<std::string const, Instance>& item : registry.all) {
    Instance& at = item.second;
    if (at.pool != request.pool->name || !at.takes() || request.tried.count(item.first)) continue;
    std::map<std::string, std::size_t>::const_iterator const hit = hits.find(item.first);
    std::size_t depth = hit == hits.end() ? 0 : hit->second;
    bool const homely = &at == home && depth < shared;
    if (homely) depth = shared;
    std::int64_t kept = 0;
    for (std::size_t i = 0; i < depth && i < parts.tokens.size(); ++i) kept += parts.tokens[i];
    std::int64_t const missing = std::max<std::int64_t>(0, prompt - kept);
    Micros const guess = first_least + static_cast<Micros>(token_cost * static_cast<double>(
                                                               missing + at.reading + at.others_reading));
    Micros cost = guess + at.load() * 300;
    if (at.zone != zone) cost += far_cost;
    if (at.load() >= at.slots) cost += full_cost * (1 + (at.load() - at.slots) / std::max<std::int64_t>(1, at.slots / 8));
    if (request.pool->cache_tokens > 0 && at.held + at.others_held + size > request.pool->cache_tokens * 9 / 10)
      cost += full_cost;
    if (at.shunned > now) cost += shun_cost;
    if (best != nullptr && cost >= best_cost) continue;
    best = &at;
    best_cost = cost;
    best_guess = guess;
    best_missing = missing;
  }
  if (best == nullptr) return;  // it waits: tick() asks again, or gives up in time
  begin(request, *best, best_missing, best_guess, now, out);
}

void Dispatcher::begin(Request& request, Instance& instance, std::int64_t missing, Micros guess, Micros now,
                       DispatchOut& out) {
  request.at = instance.id;
  request.reach = request.begun ? Reach::answering : Reach::none;
  request.from = now;
  request.heard = now;
  request.guess = guess;
  request.missing = missing;
  request.read = false;
  request.tried.insert(instance.id);
  ++request.dials;
  ++instance.running;
  instance.reading += missing;
  instance.held += request.query.tokens_in + request.query.tokens_out;
  instance.last_sent = now;
  if (instance.zone != zone) ++tally.far_sends;
  Parts const& parts = request.query.parts;
  for (std::size_t i = 0; i + 1 < parts.tokens.size(); ++i) tally.tokens_shared += parts.tokens[i];
  Index::Bounds bounds;
  bounds.blocks = static_cast<std::size_t>(request.pool->cache_tokens > 0 ? request.pool->cache_tokens
                                                                          : request.pool->cache_blocks);
  bounds.age = request.pool->cache_age;
  if (!parts.path.empty())
    tide.queue(request.tree,
               tide.index(request.tree).touch(parts.path, instance.id, 1, bounds, now, parts.tokens));
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
    if (!request.read) at->reading -= request.missing;
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
    at->reading -= request.missing;
  }
  registry.well(*at, now);
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
        if (elsewhere) out.doubts.push_back(at);
        break;
      case AttemptEnd::whole:
      case AttemptEnd::failed:
        registry.well(*instance, now);
        break;
      default:
        // One slow answer among others that flow is no sign of a worker in trouble.
        if (end == AttemptEnd::silent && now - instance->last_byte < quiet_least) break;
        if (registry.doubt(at, now)) {
          tell(Event::worker_doubted, at);
          out.doubts.push_back(at);
        }
        break;
    }
  }
  bool const clean = end == AttemptEnd::unreached || end == AttemptEnd::declined;
  Traits traits;
  traits.repeatable = request.repeatable;
  traits.resumable = request.route->streams && request.route->resumable;
  traits.attempts = request.sends < request.route->attempts;
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
      return erase(request.id);
    case Fate::refuse:
      return deny(request, Kind::worker_refused, millis(150), out);
    case Fate::fail:
      return deny(request, Kind::worker_broke, 0, out);
    case Fate::cut:
      ++tally.broken;
      out.breaks.push_back(request.id);
      return erase(request.id);
  }
}

void Dispatcher::hung_up(std::uint64_t id, Micros now) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const spot = requests.find(id);
  if (spot == requests.end()) return;
  ++tally.hangups;
  if (!spot->second->at.empty()) release(*spot->second);
  erase(id);
}

void Dispatcher::tick(Micros now, DispatchOut& out) {
  std::vector<std::uint64_t> ids;
  ids.reserve(requests.size());
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& item : requests) ids.push_back(item.first);
  for (std::uint64_t const id : ids) {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const spot = requests.find(id);
    if (spot == requests.end()) continue;
    Request& request = *spot->second;
    if (request.at.empty()) {
      place(request, now, out);
      if (!request.at.empty()) continue;
      if (now < std::min(request.give_up, request.due)) continue;
      if (request.begun) {
        ++tally.broken;
        out.breaks.push_back(id);
        erase(id);
      } else if (request.ran && !request.repeatable) {
        deny(request, Kind::worker_broke, 0, out);
      } else {
        deny(request, Kind::no_worker, millis(250), out);
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
        ++tally.broken;
        out.breaks.push_back(id);
        erase(id);
      } else if (reached) {
        deny(request, Kind::worker_silent, 0, out);
      } else {
        deny(request, Kind::worker_unreached, millis(100), out);
      }
      continue;
    }
    if (!request.repeatable || request.reach == Reach::none || held) continue;
    // What has begun and cannot go on elsewhere is waited for, as is anything once another worker would come too late.
    if (request.begun && !(request.route->streams && request.route->resumable)) continue;
    if (now + time_least >= request.due || request.dials >= dials_most) continue;
    // A stream that may go on elsewhere does not wait for a worker that has fallen silent (§12.5).
    Instance const* const at = registry.find(request.at);
    Micros const quiet = now - request.heard;
    Micros const others = at == nullptr ? quiet : now - at->last_byte;
    Micros const most = request.read ? std::max<Micros>(quiet_least * 2, request.route->gap * 2)
                                     : std::max<Micros>(request.route->aim * 3 / 4, request.guess * 4);
    bool const dark = quiet > quiet_least && others > quiet_least && at != nullptr && at->running > 1 &&
                      quiet > request.guess * 3;
    bool const gone = at == nullptr || at->standing == Standing::gone;
    if (!(quiet > most || dark || (gone && quiet > quiet_least / 2))) continue;
    if (request.sends >= request.route->attempts || !can_pay(*request.pool)) continue;
    ++tally.silences;
    out.cuts.push_back(id);
    ended(id, AttemptEnd::silent, false, now, out);
  }
}

}  // namespace pipit
