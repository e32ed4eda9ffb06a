// Messages of the control plane, addressed to a node.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "wire_generated.h"

namespace pipit {

// A message to the node named `to`. The mesh carries it and may lose it.
struct OutgoingMessage {
  std::string to;
  wire::BodyUnion body;
  std::vector<std::string> also_to;  // further nodes that the same message goes to, none of which is the sender
};

// Wraps a message body, which is moved if it is an rvalue.
template <class T>
OutgoingMessage message_to(std::string to, T&& body) {
  OutgoingMessage out;
  out.to = std::move(to);
  out.body.Set(std::forward<T>(body));
  return out;
}

}  // namespace pipit
