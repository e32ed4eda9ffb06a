// What the cases of a worker that leaves have in common: five machines, three workers, clients, and the judge of DRAIN.
#pragma once
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "harness.h"

namespace review {

constexpr std::int64_t drain_ms = 2000;     // bounds.drain_ms
constexpr std::int64_t in_touch_ms = 3000;  // bounds.in_touch_ms

class Farewell {
 public:
  explicit Farewell(bool numbers_by_clock) : fleet(3, 2), numbers_by_clock_(numbers_by_clock) {}

  // Starts machines, workers and clients, and lets them run for some seconds. Then the first worker's own heartbeats
  // end.
  void start() {
    fleet.write_settings({0, 1, 2}, true);
    fleet.start_all();
    for (int n = 0; n < 3; ++n) {
      workers_.push_back(std::make_unique<Worker>("i-" + random_hex().substr(0, 8), fleet.addresses.worker(n),
                                                  fleet.machines[static_cast<std::size_t>(n)]->zone, fleet));
      workers_.back()->numbers_by_clock = numbers_by_clock_;
      workers_.back()->start();
    }
    if (!replace(fleet, 1, 0, 20000)) finish(2, "the first configuration was not acknowledged");
    if (!fleet.wait_until_all_ready(15000)) finish(2, "the machines did not become ready");
    clients_ = std::make_unique<Clients>(fleet, 8, 30);
    sleep_ms(5000);
    worker().stop_heartbeats();
  }
  Worker& worker() { return *workers_[0]; }
  // A heartbeat of the first worker that says that it is available, with a number of its own.
  std::string make_heartbeat() { return worker().heartbeat("available", worker().take_sequence()); }
  // The first worker's farewell, until it is acknowledged.
  void say() {
    acknowledged_at = worker().announce(
        request_text("POST", "/Instances.Leave/" + worker().id, {{"Host", "control"}}, ""), "its farewell", 4000);
    if (acknowledged_at < 0) finish(2, "the farewell was not acknowledged");
    calm_from = acknowledged_at;
  }
  // The worker ends; then the requests that reached it too late are counted.
  [[noreturn]] void judge() {
    std::int64_t const ended_at = now_ms();
    worker().stop();
    record("worker " + worker().id + " has ended");
    sleep_ms(1500);
    clients_->stop();
    std::set<std::string> in_touch;  // requests sent while all machines were in touch
    std::set<std::string> lost;      // of these, those that may not be repeated and got no whole answer
    int served = 0;
    for (Sent const& item : clients_->sent()) {
      if (item.at <= calm_from || item.at > ended_at) continue;
      in_touch.insert(item.id);
      if (item.status == 200) ++served;
      if (item.status == 0 && !item.repeatable) lost.insert(item.id);
    }
    int late_requests = 0;
    int lost_requests = 0;
    std::int64_t first = 0;
    for (Worker::Arrival const& item : worker().arrivals()) {
      if (item.at <= acknowledged_at + drain_ms || in_touch.count(item.id) == 0) continue;
      if (late_requests++ == 0) first = item.at - acknowledged_at;
      if (lost.count(item.id) > 0) ++lost_requests;
    }
    std::string const figures =
        std::to_string(late_requests) + " of " + std::to_string(in_touch.size()) +
        " requests reached the worker later than drain_ms after its acknowledgement, the first " +
        std::to_string(first) + " ms after it; " + std::to_string(lost_requests) +
        " of them were cut by the worker's end; " + std::to_string(served) + " of all were served";
    if (served * 4 < static_cast<int>(in_touch.size())) finish(2, "could not run: " + figures);
    finish(late_requests > 0 ? 1 : 0, (late_requests > 0 ? "broken: " : "held: ") + figures);
  }

  Fleet fleet;
  std::int64_t acknowledged_at = -1;
  std::int64_t calm_from = 0;  // all machines are in touch from then on

 private:
  bool const numbers_by_clock_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unique_ptr<Clients> clients_;
};

}  // namespace review
