// The one place of the simulation that looks into a node: what its register's value holds. A change of the value's
// layout needs changes here alone.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "node/node.h"

namespace pipit::control_plane_simulator {

// What an answer of the register brought: the operators' label and the description under it.
struct Configuration {
  std::uint64_t label = 0;
  std::string text;
};

Configuration configuration_of(wire::ValueT const& value);
// What is in force on a node; label 0 before the first.
Configuration in_force_at(Node const& node);
std::uint64_t serial_at(Node const& node);
// The replicas of the set that a node knows, and the set's epoch.
std::vector<std::string> replicas_known_to(Node const& node);
std::uint64_t epoch_known_to(Node const& node);

// Whether a node that announced its departure may end its process, as the shell asks the core.
bool may_end(Node const& node, Micros now);

// An order as the shell hands it to the core: a change by label whose id is made of its bytes.
Change replace_change(std::uint64_t based_on, std::uint64_t label, std::string const& body);
Change read_change();
std::string change_id(std::string const& verb, std::uint64_t based_on, std::string const& body);

}  // namespace pipit::control_plane_simulator
