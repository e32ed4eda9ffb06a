#include "testing/platform_fleet_test/judge.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace pipit::platform_fleet {

namespace {
constexpr std::size_t max_details = 40;

// Number of the sorted times that lie in [from, from + span).
std::size_t count_within(std::vector<Micros> const& times, Micros from, Micros span) {
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

std::string event_text(std::string const& attempt, std::int64_t number, std::uint64_t seal, Micros sent_at,
                       std::size_t size) {
  std::string out = "id: " + std::to_string(number) + "\ndata: " + attempt + " " + std::to_string(number) + " " +
                    std::to_string(seal) + " " + std::to_string(sent_at) + " ";
  if (out.size() < size) out.append(size - out.size(), 'x');
  return out + "\n\n";
}

void Judge::report_violation(Promise promise, std::string const& detail) {
  ++counts[static_cast<std::size_t>(promise)];
  if (details.size() < max_details)
    details.push_back(std::string(promise_rows()[static_cast<std::size_t>(promise)].name) + ": " + detail);
}

std::uint64_t Judge::violation_count() const {
  std::uint64_t out = 0;
  for (std::uint64_t const n : counts) out += n;
  return out;
}

Attempt& Judge::record_sent(Attempt attempt) {
  sent_times_[attempt.service].push_back(attempt.sent);
  std::string const id = attempt.id;
  return attempts_.insert_or_assign(id, std::move(attempt)).first->second;
}

Attempt* Judge::record_arrival(std::string const& id, std::string const& target, std::uint64_t body,
                               std::string const& service, std::string const& worker, Micros now) {
  std::map<std::string, Attempt>::iterator const position = attempts_.find(id);
  if (position == attempts_.end()) {
    report_violation(Promise::unasked, worker + " received attempt '" + id + "' " + target);
    return nullptr;
  }
  Attempt& attempt = position->second;
  if (attempt.target != target || attempt.body != body) {
    report_violation(Promise::unasked, worker + " received " + id + " with another target or body: " + target);
    return nullptr;
  }
  if (++attempt.arrivals > 1) {
    ++repeats;
    repeat_times_[attempt.service].push_back(now);
  }
  return &attempt;
}

void Judge::record_run(Attempt& attempt, std::uint64_t seal, std::string const& worker) {
  attempt.seals.insert(seal);
  if (++attempt.runs > 1 && !attempt.repeatable)
    report_violation(Promise::twice, attempt.id + " ran again at " + worker);
  if (attempt.refused && !attempt.repeatable)
    report_violation(Promise::refused_ran, attempt.id + " ran at " + worker + " after it was refused");
}

void Judge::record_refusal(Attempt& attempt, unsigned status) {
  attempt.refused = true;
  if (attempt.runs > 0 && !attempt.repeatable)
    report_violation(Promise::refused_ran, attempt.id + " had run before " + attempt.node + " refused it with status " +
                                               std::to_string(status));
}

std::vector<std::int64_t> Judge::read_events(Attempt const& attempt, StreamProgress& reading, std::string_view bytes,
                                             Micros now) {
  std::vector<std::int64_t> out;
  reading.partial_event.append(bytes);
  std::size_t at = 0;
  for (std::size_t end = 0; !reading.invalid && (end = reading.partial_event.find("\n\n", at)) != std::string::npos;
       at = end + 2) {
    std::string const event = reading.partial_event.substr(at, end - at);
    long long number = 0;
    long long repeated_number = 0;
    unsigned long long run = 0;
    long long sent_at = 0;
    char id[64] = "";
    if (std::sscanf(event.c_str(), "id: %lld\ndata: %63s %lld %llu %lld", &number, id, &repeated_number, &run,
                    &sent_at) != 5 ||
        number != repeated_number || attempt.id != id || attempt.seals.count(run) == 0) {
      report_violation(Promise::mixed,
                       attempt.id + " through " + attempt.node + ": the client received '" + event.substr(0, 80) + "'");
      reading.invalid = true;
      break;
    }
    if (number != reading.last_event + 1 || (reading.run != 0 && reading.run != run && !attempt.repeatable)) {
      report_violation(Promise::order, attempt.id + " through " + attempt.node + ": the client received event " +
                                           std::to_string(number) + " of run " + std::to_string(run) + " after " +
                                           std::to_string(reading.last_event) + " of run " +
                                           std::to_string(reading.run));
      reading.invalid = true;
      break;
    }
    reading.last_event = number;
    reading.run = run;
    reading.longest_transit = std::max(reading.longest_transit, now - static_cast<Micros>(sent_at));
    event_transit_times.push_back(now - static_cast<Micros>(sent_at));
    out.push_back(number);
  }
  reading.partial_event.erase(0, at);
  return out;
}

void Judge::record_complete(Attempt const& attempt, StreamProgress const& reading, std::string const& seal) {
  if (reading.invalid) return;
  std::uint64_t const run = std::strtoull(seal.c_str(), nullptr, 10);
  if (seal.empty() || attempt.seals.count(run) == 0)
    report_violation(Promise::mixed, attempt.id + " through " + attempt.node +
                                         ": the client received a success with the seal '" + seal + "'");
  if (!reading.partial_event.empty())
    report_violation(Promise::mixed, attempt.id + " through " + attempt.node +
                                         ": the client received a success that ends inside an event");
  if (reading.last_event < attempt.events)
    report_violation(Promise::order, attempt.id + " through " + attempt.node +
                                         ": the stream ended as complete after event " +
                                         std::to_string(reading.last_event) + " of " + std::to_string(attempt.events));
}

void Judge::check_retries(double ratio, int extra, Micros window) {
  for (std::pair<std::string const, std::vector<Micros>>& item : repeat_times_) {
    std::vector<Micros>& service_repeats = item.second;
    std::vector<Micros>& sent_times = sent_times_[item.first];
    std::sort(service_repeats.begin(), service_repeats.end());
    std::sort(sent_times.begin(), sent_times.end());
    for (Micros const from : service_repeats) {
      std::size_t const repeats_in_window = count_within(service_repeats, from, window);
      std::size_t const attempts_in_window =
          std::max({count_within(sent_times, from, window), count_within(sent_times, from - window, window),
                    count_within(sent_times, from - window / 2, window)});
      if (static_cast<double>(repeats_in_window) <= ratio * static_cast<double>(attempts_in_window) + extra) continue;
      report_violation(Promise::too_many_retries, item.first + " received " + std::to_string(repeats_in_window) +
                                                      " repeated arrivals for " + std::to_string(attempts_in_window) +
                                                      " requests");
      break;
    }
  }
}

}  // namespace pipit::platform_fleet
