#include "testing/control_plane_simulator/node_view.h"

#include "base/hash.h"

namespace pipit::control_plane_simulator {

Configuration configuration_of(wire::ValueT const& value) { return Configuration{value.label, value.text}; }

Configuration in_force_at(Node const& node) {
  return node.learner.value ? configuration_of(*node.learner.value) : Configuration{};
}

std::uint64_t serial_at(Node const& node) { return node.learner.serial(); }

std::vector<std::string> replicas_known_to(Node const& node) {
  std::vector<std::string> out;
  for (wire::ReplicaT const& replica : node.learner.membership().replicas) out.push_back(replica.name);
  return out;
}

std::uint64_t epoch_known_to(Node const& node) { return node.learner.membership().epoch; }

bool may_end(Node const& node, Micros now) { return node.may_stop(now); }

std::string change_id(std::string const& verb, std::uint64_t based_on, std::string const& body) {
  return verb + "-" + std::to_string(based_on) + "-" + std::to_string(hash_text(body)) + "-" +
         std::to_string(hash_text(body, body.size()));
}

Change replace_change(std::uint64_t based_on, std::uint64_t label, std::string const& body) {
  Change out;
  out.type = Change::Type::apply;
  out.id = change_id("replace", based_on, body);
  out.text = body;
  out.expected = based_on;
  out.label = label;
  return out;
}

Change read_change() {
  Change out;
  out.type = Change::Type::read;
  return out;
}

}  // namespace pipit::control_plane_simulator
