// Selection of the peers that a question goes to: which are reachable, and whose turn it is.
//
// PeerRotation owns one counter. The parts of a node that ask peers in turn share it, so that their questions spread
// over the peers together. Not synchronized: used by the node's loop only.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "mesh/mesh.h"

namespace pipit {

// Whether the peer has an open connection and is alive.
inline bool is_reachable(Peer const& peer) { return peer.connection != 0 && peer.state() == MemberState::alive; }
inline bool is_reachable(Mesh const& mesh, std::string const& name) {
  std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
  return peer != mesh.members.peers.end() && is_reachable(peer->second);
}

class PeerRotation {
 public:
  // Begins the next turn.
  void advance() { ++turn_; }
  // The peer whose turn it is; 'peers' must not be empty.
  std::string const& current(std::vector<std::string> const& peers) const { return peers[turn_ % peers.size()]; }

 private:
  std::uint64_t turn_ = 0;
};

}  // namespace pipit
