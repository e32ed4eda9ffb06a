// What the stand-in workers are made of; for their own source files only.
#pragma once
#include "testing/platform_fleet_test/workers.h"

namespace pipit::platform_fleet {

constexpr unsigned worker_port = 9000;
constexpr Micros drain_duration = seconds(2);  // between a drain that is acknowledged and the end
constexpr Micros unacknowledged_drain_timeout =
    seconds(6);  // a worker whose drain nobody acknowledges ends all the same

struct Workers::Job {
  std::uint64_t id = 0;  // its seal too
  Connection* conn = nullptr;
  Attempt* attempt = nullptr;
  bool head_sent = false;
  bool began = false;
  std::int64_t breaks_after = -1;  // it breaks off behind that event
};

struct Workers::Connection {
  std::shared_ptr<Link> link;
  Reader reader{true};
  Head head;
  std::string body;
  bool busy = false;
  std::uint64_t job = 0;
  std::string peer;  // IP number
  bool cross_zone = false;
  Micros idle_since = 0;
  bool close_after_answer = false;
  std::string previous_attempt_id;  // id of the request before
};

struct Workers::Worker {
  explicit Worker(EngineConfig const& config) : engine(config) {}
  std::string id;
  std::string ip;
  std::string public_ip;  // that nodes are told
  std::string zone;
  std::string service;
  State state = State::up;
  bool is_silent = false;
  Engine engine;
  int listen_fd = -1;
  unsigned listen_watch = 0;
  std::map<Connection*, std::shared_ptr<Connection>> conns;
  std::map<std::uint64_t, Job> jobs;
  std::uint64_t call_sequence = 0;
  std::string heartbeat_address;
  std::size_t next_node = 0;
  std::shared_ptr<Line> line;
  Micros drain_announced_at = -1;     // since when it says that it leaves
  Micros drain_acknowledged_at = -1;  // since when that is acknowledged, by whichever node
  std::string drain_acknowledged_by;
  Misbehaviour misbehaviour = Misbehaviour::none;
  double misbehaviour_probability = 0;
  Micros misbehaves_until = 0;
  std::deque<std::pair<Micros, std::string>> reports;
};

}  // namespace pipit::platform_fleet
