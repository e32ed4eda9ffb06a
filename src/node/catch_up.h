// Catching up on the register's newest value: patches that arrived before their base, and requests for the full value.
//
// CatchUp buffers up to 'max_early_patches' patches until their base is held, and selects the peer to request the full
// value from, with at most one request open at a time. A full value may be half a megabyte, and a node's link may carry
// one a second: nodes that are behind together must neither repeat their requests quickly nor all send them to the same
// peer.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/micros.h"
#include "mesh/mesh.h"
#include "wire_generated.h"

namespace pipit {

// Buffer of early patches, and choice of the peer that sends the full value.
class CatchUp {
 public:
  // A message with a patch of the chosen value that could not be applied when it arrived.
  struct EarlyPatch {
    std::string from;
    wire::ChosenT update;
    Micros received_at = 0;
  };
  // 'self' and 'zone' are this node's. The mesh must outlive this object.
  CatchUp(std::string self, std::string zone, Mesh const& mesh)
      : self_(std::move(self)), zone_(std::move(zone)), mesh_(mesh) {}

  // Buffers the update's patch, in place of the oldest one if the buffer is full; ignores an update without a patch.
  void buffer_patch(std::string const& from, wire::ChosenT const& update, Micros now);
  // Removes and returns a buffered patch whose base is this revision or an older one; nullopt if there is none.
  std::optional<EarlyPatch> take_applicable_patch(std::uint64_t held_revision);
  // Whether a patch has waited for its base for so long that the base is unlikely to arrive without a request.
  bool is_stuck(Micros now) const;
  // Opens a request and returns the peer to send it to, which holds a newer value than this revision. Empty while a
  // request is open, and if no peer is known to hold a newer value. A request is open until a newer value is adopted or
  // its timeout passes; the timeout grows with each unanswered request.
  std::string select_peer(std::uint64_t held_revision, Micros now);
  // A newer value was adopted: closes the open request and resets the timeout.
  void value_adopted();

 private:
  std::vector<std::string> candidates(std::uint64_t held_revision) const;

  std::string const self_;
  std::string const zone_;
  Mesh const& mesh_;
  std::deque<EarlyPatch> early_patches_;
  Micros requested_at_ = -1;  // when the open request was sent; -1: none is open
  int unanswered_ = 0;        // consecutive requests without an answer
};

}  // namespace pipit
