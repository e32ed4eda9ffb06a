// What the stand-in workers are made of; for their own source files only.
#pragma once
#include "testing/platform_fleet_test/workers.h"

namespace pipit::platform_fleet {

constexpr unsigned worker_port = 9000;
constexpr Micros drain_span = seconds(2);   // between a drain that is acknowledged and the end
constexpr Micros unheard_end = seconds(6);  // a worker whose drain nobody acknowledges ends all the same

struct Workers::Job {
  std::uint64_t id = 0;  // its seal too
  Conn* conn = nullptr;
  Attempt* attempt = nullptr;
  bool headed = false;
  bool began = false;
  std::int64_t broken_at = -1;  // it breaks off behind that event
};

struct Workers::Conn {
  std::shared_ptr<TcpConnection> link;
  HttpParser reader{true};
  Head head;
  std::string body;
  bool busy = false;
  std::uint64_t job = 0;
  std::string peer;  // IP number
  bool across = false;
  Micros since = 0;
  bool last = false;
  std::string earlier;  // id of the request before
};

struct Workers::Worker {
  explicit Worker(EngineShape const& shape) : engine(shape) {}
  std::string id;
  std::string ip;
  std::string public_ip;  // that nodes are told
  std::string zone;
  std::string service;
  State state = State::up;
  bool is_silent = false;
  Engine engine;
  int door = -1;
  unsigned watch = 0;
  std::map<Conn*, std::shared_ptr<Conn>> conns;
  std::map<std::uint64_t, Job> jobs;
  std::uint64_t order = 0;
  std::string heartbeat_at;
  std::size_t next_node = 0;
  std::shared_ptr<ClientConnection> line;
  Micros drain_said = -1;   // since when it says that it leaves
  Micros drain_heard = -1;  // since when that is acknowledged, by whichever node
  std::string drain_heard_by;
  Lie lie = Lie::none;
  double lie_chance = 0;
  Micros lie_until = 0;
  std::deque<std::pair<Micros, std::string>> reports;
};

}  // namespace pipit::platform_fleet
