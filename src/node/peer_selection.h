// Selection of the peers that this node sends requests to: reachability, and rotation over several candidates.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "mesh/mesh.h"

namespace pipit {

// Whether the peer has an open connection and is alive.
inline bool is_reachable(Peer const& peer) { return peer.connection != 0 && peer.state() == MemberState::alive; }
// The same by name; false for a peer that the mesh does not know.
inline bool is_reachable(Mesh const& mesh, std::string const& name) {
  std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
  return peer != mesh.members.peers.end() && is_reachable(peer->second);
}

// Round-robin choice of a peer. The parts of a node that send requests to one peer at a time share one rotation, so
// that their requests together spread over the peers.
class PeerRotation {
 public:
  // Moves to the next peer.
  void advance() { ++turn_; }
  // The current peer; 'peers' must not be empty.
  std::string const& current(std::vector<std::string> const& peers) const { return peers[turn_ % peers.size()]; }

 private:
  std::uint64_t turn_ = 0;
};

}  // namespace pipit
