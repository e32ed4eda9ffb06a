// The stand-in model workers: many in one loop, each with an engine, an address and heartbeats of its own.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "net/http.h"
#include "net/link.h"
#include "testing/platform_fleet_test/judge.h"
#include "testing/platform_fleet_test/line.h"
#include "testing/platform_fleet_test/nodes.h"
#include "testing/platform_fleet_test/shapes.h"
#include "testing/platform_fleet_test/faults.h"

namespace pipit::platform_fleet {

constexpr char other_service[] = "other-lm";  // serves the routes that come and go

struct WorkersTally {
  std::uint64_t arrivals = 0;        // of requests
  std::uint64_t probes = 0;          // of reports and health checks
  std::uint64_t declined = 0;        // turned away, since full
  std::uint64_t wrong_instance = 0;  // turned away, since another worker was meant
  std::uint64_t connections = 0;     // taken
  std::uint64_t over_limit = 0;      // reset, since there were too many
  std::uint64_t bytes = 0;
  std::uint64_t cross_zone_bytes = 0;
  std::uint64_t abandoned_while_running = 0;  // left by their caller while the worker was at work
  std::int64_t tokens_prefilled = 0;
  std::int64_t cached_tokens_reused = 0;
  std::int64_t recomputed_tokens = 0;  // of parts that some worker had read before
  std::uint64_t preemptions = 0;
  std::uint64_t unacknowledged_leaves = 0;
};

class Workers {
 public:
  Workers(Shape const& shape, Nodes& nodes, Judge& judge, int net, std::uint64_t seed);
  ~Workers();

  void start_all();
  void crash(Fault const& fault);
  void silence(Fault const& fault);
  void release(Fault const& fault);
  void misbehave(Fault const& fault);
  void stop_heartbeats() { stopping_ = true; }  // the experiment ends: no more heartbeats
  WorkersTally tally() const;

 private:
  struct Worker;
  struct Connection;
  struct Job;
  enum class State : std::uint8_t { up, draining, ended };
  enum class Misbehaviour : std::uint8_t { none, surplus, garble };

  Worker& open(std::string const& zone, std::string const& service, std::string const& ip);
  std::string next_ip();
  bool ip_in_use(std::string const& ip) const;
  std::string public_ip_of(std::string const& ip) const;
  void listen(Worker& worker);
  void accept(Worker& worker);
  void on_bytes(Worker& worker, Connection& conn, std::string_view bytes);
  void close_connection(Worker& worker, Connection& conn);
  void on_request(Worker& worker, Connection& conn);
  void on_generation(Worker& worker, Connection& conn);
  void answer(Worker& worker, Connection& conn, unsigned status, std::string const& fields, std::string const& body);
  void on_answer_complete(Worker& worker, Connection& conn);
  void on_engine_event(Worker& worker, EngineEvent const& item);
  void send(Connection& conn, std::string_view bytes);
  void advance();
  void heartbeat(Worker& worker, int retries);
  void call(Worker& worker, std::string const& address, std::string const& target, std::string const& body,
            std::function<void(bool good, std::string const& body)> done);
  void drain(Worker& worker);
  void leave(Worker& worker, int retries);
  void announce_leave(Worker& worker, int retries);
  std::string any_node(Worker& worker);
  void end(Worker& worker, bool reset);
  void reuse_address(std::string const& ip, std::string const& zone);
  std::vector<Worker*> choose_workers(Fault const& fault);
  std::string load(Worker const& worker) const;

  Shape const& shape_;
  Nodes& nodes_;
  Judge& judge_;
  int const net_;
  RandomSource random_;
  int last_ip_ = 0;
  std::uint64_t last_id_ = 0;
  std::uint64_t last_job_ = 0;
  bool stopping_ = false;
  int reused_ = 0;
  int late_arrivals_ = 0;  // requests that came half a second after their caller had left, and more
  std::vector<std::unique_ptr<Worker>> workers_;
  std::set<std::uint64_t> prefilled_parts_;
  WorkersTally count_;
};

}  // namespace pipit::platform_fleet
