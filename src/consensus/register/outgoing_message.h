// A message of the control plane that waits to be sent.
#pragma once
#include <string>
#include <utility>

#include "wire_generated.h"

namespace pipit {

// A message for the node of this name; the mesh carries it, and may lose it.
struct OutgoingMessage {
  std::string to;
  wire::BodyUnion body;
};

template <class T>
OutgoingMessage message_to(std::string to, T&& body) {
  OutgoingMessage out;
  out.to = std::move(to);
  out.body.Set(std::forward<T>(body));
  return out;
}

}  // namespace pipit
