// Misbehaving clients: truncated requests, bytes that are not HTTP, oversized heads, bodies that stop, and complete
// requests whose client disconnects at once. Their answers are not checked; they must not harm the other clients.
#pragma once
#include <deque>
#include <memory>
#include <string>

#include "base/random.h"
#include "net/tcp_connection.h"
#include "testing/platform_fleet_test/nodes.h"

namespace pipit::platform_fleet {

// Opens connections to random nodes and sends malformed requests.
class RudeClients {
 public:
  RudeClients(Nodes& nodes, int net, std::uint64_t seed) : nodes_(nodes), net_(net), random_(seed) {}
  // Connects `count` clients, one every `gap`.
  void connect_clients(int count, Micros gap);
  std::uint64_t connected = 0;  // connections opened so far

 private:
  void connect_one();
  std::string random_bytes();

  Nodes& nodes_;
  int const net_;
  RandomSource random_;
  std::deque<std::shared_ptr<TcpConnection>> links_;
};

}  // namespace pipit::platform_fleet
