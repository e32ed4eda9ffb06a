// Clients that misbehave: half requests, bytes that are none, heads that are too large, bodies that stop, and whole
// requests whose client leaves at once. None of them is owed anything; the others are.
#pragma once
#include <deque>
#include <memory>
#include <string>

#include "base/random.h"
#include "net/link.h"
#include "testing/platform_fleet_test/nodes.h"

namespace pipit::platform_fleet {

class RudeClients {
 public:
  RudeClients(Nodes& nodes, int net, std::uint64_t seed) : nodes_(nodes), net_(net), random_(seed) {}
  // So many, one after the other.
  void connect_clients(int count, Micros gap);
  std::uint64_t connected = 0;

 private:
  void connect_one();
  std::string random_bytes();

  Nodes& nodes_;
  int const net_;
  RandomSource random_;
  std::deque<std::shared_ptr<Link>> links_;
};

}  // namespace pipit::platform_fleet
