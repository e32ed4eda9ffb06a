// The troubles of the large deployments in which operators' orders are measured.
#pragma once
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "testing/control_plane_simulator/order_fleet.h"

namespace pipit::control_plane_simulator {

struct OrderTrouble {
  std::string name;
  std::function<void(OrderFleet&)> begin;
};

// Prints the name, for the messages of tests.
std::ostream& operator<<(std::ostream& out, OrderTrouble const& trouble);

std::vector<OrderTrouble> const& order_troubles();
// Sends orders one after another, with the trouble two seconds after the first, and waits for the last one.
void play_trouble(OrderFleet& fleet, OrderTrouble const& trouble);

}  // namespace pipit::control_plane_simulator
