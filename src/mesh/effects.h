// What the mesh asks of the process around it: connections to dial and to close, frames to send. The mesh itself does
// no I/O (§2.2), so that simulators can run it on a virtual network.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace pipit {

// A number that the process gives to each connection; it is never used twice, and 0 names none.
using ConnectionId = std::uint64_t;

// Collected during one call into the node and carried out, in this order, after it returned.
struct ConnectionEffects {
  struct OutgoingFrame {
    ConnectionId connection;
    std::string bytes;  // with the four bytes of length in front
  };
  std::vector<std::string> dial_addresses;  // IP:port
  std::vector<OutgoingFrame> outgoing_frames;
  std::vector<ConnectionId> closed_connections;
};

}  // namespace pipit
