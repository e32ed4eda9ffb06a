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
#include "net/tcp_connection.h"
#include "testing/platform_fleet_test/judge.h"
#include "testing/platform_fleet_test/line.h"
#include "testing/platform_fleet_test/nodes.h"
#include "testing/platform_fleet_test/shapes.h"
#include "testing/platform_fleet_test/faults.h"

namespace pipit::platform_fleet {

constexpr char other_service[] = "other-lm";  // serves the routes that come and go

struct WorkersTally {
  std::uint64_t arrivals = 0;     // of requests
  std::uint64_t probes = 0;       // of reports and health checks
  std::uint64_t declined = 0;     // turned away, since full
  std::uint64_t elsewhere = 0;    // turned away, since another worker was meant
  std::uint64_t connections = 0;  // taken
  std::uint64_t over_limit = 0;   // reset, since there were too many
  std::uint64_t bytes = 0;
  std::uint64_t bytes_across = 0;
  std::uint64_t broken_off = 0;  // left by their caller while the worker was at work
  std::int64_t tokens_read = 0;
  std::int64_t tokens_spared = 0;
  std::int64_t recomputed_tokens = 0;  // of parts that some worker had read before
  std::uint64_t put_back = 0;
  std::uint64_t unacknowledged_leaves = 0;
};

class Workers {
 public:
  Workers(Shape const& shape_, Nodes& nodes_, Judge& judge_, int net_, std::uint64_t seed);
  ~Workers();

  void start_all();
  void crash(Fault const& fault);
  void silence(Fault const& fault);
  void release(Fault const& fault);
  void lie(Fault const& fault);
  void quiet() { over = true; }  // the experiment ends: no more heartbeats
  WorkersTally tally() const;

 private:
  struct Worker;
  struct Conn;
  struct Job;
  enum class State : std::uint8_t { up, draining, ended };
  enum class Lie : std::uint8_t { none, surplus, garble };

  Worker& open(std::string const& zone, std::string const& service, std::string const& ip);
  std::string next_ip();
  bool taken(std::string const& ip) const;
  std::string public_ip_of(std::string const& ip) const;
  void listen(Worker& worker);
  void accept(Worker& worker);
  void fed(Worker& worker, Conn& conn, std::string_view bytes);
  void drop(Worker& worker, Conn& conn);
  void on_request(Worker& worker, Conn& conn);
  void on_generation(Worker& worker, Conn& conn);
  void answer(Worker& worker, Conn& conn, unsigned status, std::string const& fields, std::string const& body);
  void finished(Worker& worker, Conn& conn);
  void happened(Worker& worker, Happening const& item);
  void send(Conn& conn, std::string_view bytes);
  void advance();
  void heartbeat(Worker& worker, int moves);
  void call(Worker& worker, std::string const& address, std::string const& target, std::string const& body,
            std::function<void(bool good, std::string const& body)> done);
  void drain(Worker& worker);
  void leave(Worker& worker, int moves);
  void announce_leave(Worker& worker, int moves);
  std::string any_node(Worker& worker);
  void end(Worker& worker, bool reset);
  void reuse(std::string const& ip, std::string const& zone);
  std::vector<Worker*> some(Fault const& fault);
  std::string load(Worker const& worker) const;

  Shape const& shape;
  Nodes& nodes;
  Judge& judge;
  int const net;
  RandomSource random;
  int last_ip = 0;
  std::uint64_t last_id = 0;
  std::uint64_t last_job = 0;
  bool over = false;
  int reused = 0;
  int after_caller_left = 0;  // requests that came half a second after their caller had left, and more
  std::vector<std::unique_ptr<Worker>> all;
  std::set<std::uint64_t> read_before;
  WorkersTally count;
};

}  // namespace pipit::platform_fleet
