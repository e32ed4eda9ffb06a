// Stand-in model workers. All of them run in one event loop; each has its own engine, IP address and heartbeats.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "net/http.h"
#include "net/tcp_connection.h"
#include "testing/platform_fleet_test/judge.h"
#include "testing/platform_fleet_test/line.h"
#include "testing/platform_fleet_test/nodes.h"
#include "testing/platform_fleet_test/shapes.h"
#include "testing/platform_fleet_test/faults.h"

namespace pipit::platform_fleet {

constexpr char other_service[] = "other-lm";  // serves the routes that the operators add and remove

// Counters over all workers.
struct WorkersTally {
  std::uint64_t arrivals = 0;        // generation requests received
  std::uint64_t probes = 0;          // report requests and health checks received
  std::uint64_t declined = 0;        // rejected because the queue was full
  std::uint64_t wrong_instance = 0;  // rejected because X-Expected-Instance named another worker
  std::uint64_t connections = 0;     // accepted
  std::uint64_t over_limit = 0;      // reset because the worker had reached its connection limit
  std::uint64_t bytes = 0;
  std::uint64_t cross_zone_bytes = 0;
  std::uint64_t abandoned_while_running = 0;  // cancelled by a disconnect after the run had begun
  std::int64_t tokens_prefilled = 0;
  std::int64_t cached_tokens_reused = 0;
  std::int64_t recomputed_tokens = 0;  // prompt tokens of parts that some worker had processed before
  std::uint64_t preemptions = 0;
  std::uint64_t unacknowledged_leaves = 0;
};

// The workers of a test run, with the faults that can be injected into them.
class Workers {
 public:
  Workers(Shape const& shape, Nodes& nodes, Judge& judge, int net, std::uint64_t seed);
  ~Workers();

  // Starts the workers of every zone, and two that serve `other_service`.
  void start_all();
  // Ends workers with connection resets. Replacements start after the fault's span unless its `on` is `lost`.
  // The addresses may pass to workers of another service.
  void crash(Fault const& fault);
  // Workers stop reading, answering and sending heartbeats; after the fault's span they restart at their addresses.
  void silence(Fault const& fault);
  // Workers drain, one per `gap`, or leave at once if the fault's `x` is positive; each is replaced.
  void release(Fault const& fault);
  // Workers send surplus or broken answers with probability `x` for the fault's span.
  void misbehave(Fault const& fault);
  // Stops the heartbeats at the end of the run, and starts no more replacements.
  void stop_heartbeats() { stopping_ = true; }
  // The counters, including those of the engines.
  WorkersTally tally() const;

 private:
  struct Worker;
  struct Connection;
  struct Job;
  enum class State : std::uint8_t { up, draining, ended };
  enum class Misbehaviour : std::uint8_t { none, surplus, garble };

  // Starts a worker at the address, or at a new one if that is in use.
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
  // Sends a heartbeat; `retries` is the number of failed attempts so far.
  void heartbeat(Worker& worker, int retries);
  // The number of the worker's next call; it rises with each call.
  static std::uint64_t next_call_number(Worker& worker);
  // The body of a heartbeat with a number of its own.
  std::string heartbeat_body(Worker& worker, bool leaving) const;
  // The body of Instances.Leave; the pages show the call without one.
  static std::string leave_body(Worker& worker);
  // A heartbeat that the worker sent before it left reaches a node late.
  void deliver_late_heartbeat(Worker& worker, std::string const& body);
  // POSTs JSON to a node. `done` is told whether the node answered 2xx within 1 s, and the body.
  void call(Worker& worker, std::string const& address, std::string const& target, std::string const& body,
            std::function<void(bool good, std::string const& body)> done);
  void drain(Worker& worker);
  void leave(Worker& worker, int retries);
  void announce_leave(Worker& worker, int retries, std::string const& late_heartbeat = "");
  std::string any_node(Worker& worker);
  void end(Worker& worker, bool reset);
  void reuse_address(std::string const& ip, std::string const& zone);
  std::vector<Worker*> choose_workers(Fault const& fault);
  // Value of X-Instance-Load: running, queued, slots.
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
  int reused_ = 0;         // addresses given to a worker of another service
  int late_arrivals_ = 0;  // requests that arrived long after their client had disconnected
  std::vector<std::unique_ptr<Worker>> workers_;
  std::set<std::uint64_t> prefilled_parts_;  // processed by any worker so far
  WorkersTally count_;
};

}  // namespace pipit::platform_fleet
