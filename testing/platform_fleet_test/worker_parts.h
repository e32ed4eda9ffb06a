// Internal types of the stand-in workers; included only by the sources of class Workers.
#pragma once
#include "testing/platform_fleet_test/workers.h"

namespace pipit::platform_fleet {

constexpr unsigned worker_port = 9000;
// A draining worker that receives no acknowledgement exits after this time.
constexpr Micros unacknowledged_drain_timeout = seconds(6);

// A request that a worker is running or has queued.
struct Workers::Job {
  std::uint64_t id = 0;  // also its X-Server-Seal
  Connection* conn = nullptr;
  Attempt* attempt = nullptr;
  bool head_sent = false;
  bool began = false;              // its first token was produced
  std::int64_t breaks_after = -1;  // the worker cuts the answer after this event; -1 for never
};

// A connection accepted by a worker.
struct Workers::Connection {
  std::shared_ptr<TcpConnection> link;
  HttpParser reader{true};
  Head head;
  std::string body;
  bool busy = false;
  std::uint64_t job = 0;
  std::string peer;         // IP address
  bool cross_zone = false;  // the node is in another zone than the worker
  Micros idle_since = 0;
  bool close_after_answer = false;  // the answer says Connection: close
  std::string previous_attempt_id;  // attempt id of the previous request
};

// One stand-in worker.
struct Workers::Worker {
  explicit Worker(EngineConfig const& config) : engine(config) {}
  std::string id;
  std::string ip;
  std::string public_ip;  // address in its heartbeats; the relay's if there is one
  std::string zone;
  std::string service;
  State state = State::up;
  bool is_silent = false;  // hangs: reads, answers and sends nothing
  Engine engine;
  int listen_fd = -1;
  unsigned listen_watch = 0;
  std::map<Connection*, std::shared_ptr<Connection>> conns;
  std::map<std::uint64_t, Job> jobs;
  std::uint64_t call_sequence = 0;  // number of its last call
  bool numbers_by_clock = false;    // numbers its calls by a clock in microseconds instead of counting them
  std::string heartbeat_address;    // node that receives the heartbeats; empty to choose another one
  std::size_t next_node = 0;
  std::shared_ptr<ClientConnection> line;
  Micros drain_announced_at = -1;     // time of the first heartbeat that says `draining`; -1 if none
  Micros drain_acknowledged_at = -1;  // time of the first acknowledgement by any node; -1 if none
  std::string drain_acknowledged_by;
  Misbehaviour misbehaviour = Misbehaviour::none;
  double misbehaviour_probability = 0;
  Micros misbehaves_until = 0;
  std::deque<std::pair<Micros, std::string>> reports;  // load reports with their times; the first one is served
};

}  // namespace pipit::platform_fleet
