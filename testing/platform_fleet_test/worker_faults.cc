// Faults of the stand-in workers: crashes, hangs, releases, invalid answers, and reuse of their addresses.
#include "base/json_writer.h"
#include "testing/platform_fleet_test/clock.h"
#include "testing/platform_fleet_test/worker_parts.h"

namespace pipit::platform_fleet {

namespace {
constexpr Micros address_reuse = seconds(2);
}  // namespace

// Random running workers of the service under load: `count` of them, or `share` of all, rounded up.
std::vector<Workers::Worker*> Workers::choose_workers(Fault const& fault) {
  std::vector<Worker*> up;
  for (std::unique_ptr<Worker> const& worker : workers_)
    if (worker->state == State::up && !worker->is_silent && worker->service == shape_.service)
      up.push_back(worker.get());
  std::size_t wanted = fault.count > 0 ? static_cast<std::size_t>(fault.count)
                                       : static_cast<std::size_t>(fault.share * static_cast<double>(up.size()) + 0.999);
  std::vector<Worker*> out;
  while (wanted-- > 0 && !up.empty()) {
    std::size_t const i = random_.below(up.size());
    out.push_back(up[i]);
    up.erase(up.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return out;
}

// Gives the address of an ended worker to a worker of another service, at most twice in a run.
void Workers::reuse_address(std::string const& ip, std::string const& zone) {
  if (reused_ >= 2) return;
  ++reused_;
  run_after(address_reuse, [this, ip, zone] {
    if (!stopping_) open(zone, other_service, ip);
  });
}

void Workers::crash(Fault const& fault) {
  for (Worker* const worker : choose_workers(fault)) {
    end(*worker, true);
    reuse_address(worker->ip, worker->zone);
    if (fault.on == "lost") continue;
    std::string const zone = worker->zone;
    run_after(fault.span, [this, zone] {
      if (!stopping_) open(zone, shape_.service, next_ip());
    });
  }
}

void Workers::silence(Fault const& fault) {
  for (Worker* const worker : choose_workers(fault)) {
    worker->is_silent = true;
    for (std::pair<Connection* const, std::shared_ptr<Connection>> const& conn : worker->conns)
      conn.second->link->pause_reading(true);
    if (worker->listen_watch != 0) g_source_remove(worker->listen_watch);
    worker->listen_watch = 0;
    run_after(fault.span, [this, worker] {
      // Its requests are lost. A worker with another id starts at the old address.
      std::string const ip = worker->ip;
      std::string const zone = worker->zone;
      end(*worker, true);
      if (!stopping_) open(zone, shape_.service, ip);
    });
  }
}

void Workers::release(Fault const& fault) {
  Micros when = 0;
  for (Worker* const worker : choose_workers(fault)) {
    run_after(when, [this, worker, fault] {
      if (worker->state != State::up || stopping_) return;
      if (fault.x > 0)
        announce_leave(*worker, 0);
      else
        drain(*worker);
      std::string const zone = worker->zone;
      std::string const ip = worker->ip;
      run_after(millis(500), [this, zone] {
        if (!stopping_) open(zone, shape_.service, next_ip());
      });
      // A worker whose drain is not acknowledged may still serve at the address until then.
      run_after(unacknowledged_drain_timeout + seconds(1), [this, worker, ip, zone] {
        if (worker->state == State::ended) reuse_address(ip, zone);
      });
    });
    when += fault.gap;
  }
}

void Workers::misbehave(Fault const& fault) {
  for (Worker* const worker : choose_workers(fault)) {
    worker->misbehaviour = fault.kind == Fault::Kind::surplus ? Misbehaviour::surplus : Misbehaviour::garble;
    worker->misbehaviour_probability = fault.x;
    worker->misbehaves_until = now() + fault.span;
  }
}

}  // namespace pipit::platform_fleet
