// The I/O that the mesh requests from the process: connections to dial and to close, and frames to send. The mesh
// itself does no I/O (§2.2), so that simulators can run it on a virtual network.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace pipit {

// The id that the process assigns to a connection. Ids are never reused, and 0 stands for no connection.
using ConnectionId = std::uint64_t;

// Collected during one call into the node and carried out after it returns, in the order of the members.
struct ConnectionEffects {
  struct OutgoingFrame {
    ConnectionId connection;
    std::string bytes;  // the encoded frame with its length prefix
  };
  std::vector<std::string> dial_addresses;  // IP:port
  std::vector<OutgoingFrame> outgoing_frames;
  std::vector<ConnectionId> closed_connections;
};

}  // namespace pipit
