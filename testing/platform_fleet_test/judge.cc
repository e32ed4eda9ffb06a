#include "testing/platform_fleet_test/judge.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace pipit::platform_fleet {

namespace {
constexpr std::size_t details_most = 40;

// How many of the sorted times lie in [from, from + span).
std::size_t within(std::vector<Micros> const& times, Micros from, Micros span) {
  return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), from + span) -
                                  std::lower_bound(times.begin(), times.end(), from));
}
}  // namespace

std::vector<PromiseRow> const& promise_rows() {
  static std::vector<PromiseRow> const rows = {
#define PROMISE(name, text) {#name, text},
      PLATFORM_FLEET_PROMISES(PROMISE)
#undef PROMISE
  };
  return rows;
}

std::string event_text(std::string const& attempt, std::int64_t number, std::uint64_t seal, Micros made,
                       std::size_t size) {
  std::string out = "id: " + std::to_string(number) + "\ndata: " + attempt + " " + std::to_string(number) + " " +
                    std::to_string(seal) + " " + std::to_string(made) + " ";
  if (out.size() < size) out.append(size - out.size(), 'x');
  return out + "\n\n";
}

void Judge::broken(Promise promise, std::string const& detail) {
  ++counts[static_cast<std::size_t>(promise)];
  if (details.size() < details_most)
    details.push_back(std::string(promise_rows()[static_cast<std::size_t>(promise)].name) + ": " + detail);
}

std::uint64_t Judge::total() const {
  std::uint64_t out = 0;
  for (std::uint64_t const n : counts) out += n;
  return out;
}

Attempt& Judge::sent(Attempt attempt) {
  asked_at[attempt.service].push_back(attempt.sent);
  std::string const id = attempt.id;
  return attempts.insert_or_assign(id, std::move(attempt)).first->second;
}

Attempt* Judge::arrived(std::string const& id, std::string const& target, std::uint64_t body,
                        std::string const& service, std::string const& worker, Micros now) {
  std::map<std::string, Attempt>::iterator const position = attempts.find(id);
  if (position == attempts.end()) {
    broken(Promise::unasked, worker + " got '" + id + "' " + target);
    return nullptr;
  }
  Attempt& attempt = position->second;
  if (attempt.target != target || attempt.body != body) {
    broken(Promise::unasked, worker + " got " + id + " changed: " + target);
    return nullptr;
  }
  if (++attempt.arrivals > 1) {
    ++repeats;
    repeat_at[attempt.service].push_back(now);
  }
  return &attempt;
}

void Judge::record_run(Attempt& attempt, std::uint64_t seal, std::string const& worker) {
  attempt.seals.insert(seal);
  if (++attempt.runs > 1 && !attempt.repeatable) broken(Promise::twice, attempt.id + " at " + worker);
  if (attempt.refused && !attempt.repeatable) broken(Promise::refused_ran, attempt.id + " ran later at " + worker);
}

void Judge::refused(Attempt& attempt, unsigned status) {
  attempt.refused = true;
  if (attempt.runs > 0 && !attempt.repeatable)
    broken(Promise::refused_ran, attempt.id + " had run when it got " + std::to_string(status) + " of " + attempt.node);
}

std::vector<std::int64_t> Judge::read(Attempt const& attempt, Reading& reading, std::string_view bytes, Micros now) {
  std::vector<std::int64_t> out;
  reading.rest.append(bytes);
  std::size_t at = 0;
  for (std::size_t end = 0; !reading.bad && (end = reading.rest.find("\n\n", at)) != std::string::npos; at = end + 2) {
    std::string const event = reading.rest.substr(at, end - at);
    long long number = 0;
    long long again = 0;
    unsigned long long run = 0;
    long long made = 0;
    char id[64] = "";
    if (std::sscanf(event.c_str(), "id: %lld\ndata: %63s %lld %llu %lld", &number, id, &again, &run, &made) != 5 ||
        number != again || attempt.id != id || attempt.seals.count(run) == 0) {
      broken(Promise::mixed, attempt.id + " by " + attempt.node + " got '" + event.substr(0, 80) + "'");
      reading.bad = true;
      break;
    }
    if (number != reading.last + 1 || (reading.run != 0 && reading.run != run && !attempt.repeatable)) {
      broken(Promise::order, attempt.id + " by " + attempt.node + " got event " + std::to_string(number) + " of run " +
                                 std::to_string(run) + " after " + std::to_string(reading.last) + " of run " +
                                 std::to_string(reading.run));
      reading.bad = true;
      break;
    }
    reading.last = number;
    reading.run = run;
    reading.slowest = std::max(reading.slowest, now - static_cast<Micros>(made));
    passing.push_back(now - static_cast<Micros>(made));
    out.push_back(number);
  }
  reading.rest.erase(0, at);
  return out;
}

void Judge::record_complete(Attempt const& attempt, Reading const& reading, std::string const& seal) {
  if (reading.bad) return;
  std::uint64_t const run = std::strtoull(seal.c_str(), nullptr, 10);
  if (seal.empty() || attempt.seals.count(run) == 0)
    broken(Promise::mixed, attempt.id + " by " + attempt.node + " got a success with the seal '" + seal + "'");
  if (!reading.rest.empty())
    broken(Promise::mixed, attempt.id + " by " + attempt.node + " got a success that ends inside an event");
  if (reading.last < attempt.events)
    broken(Promise::order, attempt.id + " by " + attempt.node + " ended as whole after event " +
                               std::to_string(reading.last) + " of " + std::to_string(attempt.events));
}

void Judge::check_retries(double ratio, int extra, Micros window) {
  for (std::pair<std::string const, std::vector<Micros>>& item : repeat_at) {
    std::vector<Micros>& repeats_here = item.second;
    std::vector<Micros>& asked = asked_at[item.first];
    std::sort(repeats_here.begin(), repeats_here.end());
    std::sort(asked.begin(), asked.end());
    for (Micros const from : repeats_here) {
      std::size_t const found = within(repeats_here, from, window);
      std::size_t const base = std::max({within(asked, from, window), within(asked, from - window, window),
                                         within(asked, from - window / 2, window)});
      if (static_cast<double>(found) <= ratio * static_cast<double>(base) + extra) continue;
      broken(Promise::too_many_retries,
             item.first + " got " + std::to_string(found) + " repeats beside " + std::to_string(base) + " requests");
      break;
    }
  }
}

}  // namespace pipit::platform_fleet
