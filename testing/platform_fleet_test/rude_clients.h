// Clients that misbehave: half requests, bytes that are none, heads that are too large, bodies that stop, and whole
// requests whose client leaves at once. None of them is owed anything; the others are.
#pragma once
#include <deque>
#include <memory>
#include <string>

#include "base/random.h"
#include "net/tcp_connection.h"
#include "testing/platform_fleet_test/nodes.h"

namespace pipit::platform_fleet {

class RudeClients {
 public:
  RudeClients(Nodes& nodes_, int net_, std::uint64_t seed) : nodes(nodes_), net(net_), random(seed) {}
  // So many, one after the other.
  void come(int count, Micros gap);
  std::uint64_t connected = 0;

 private:
  void one();
  std::string random_text();

  Nodes& nodes;
  int const net;
  RandomSource random;
  std::deque<std::shared_ptr<TcpConnection>> links;
};

}  // namespace pipit::platform_fleet
