// How a node that lacks the newest value gets it: patches that came too early, and questions for the whole value.
//
// Job: keeps patches whose base is not held yet until that comes; chooses which peer is asked for a whole value, and
// sees to it that one question at a time is open. A whole value may be half a megabyte, and the link of a node may
// carry one a second: nodes that are behind together must neither ask again and again nor all ask the same peer. State:
// the early patches; the open question. Thread: the node's loop only. Invariants: at most one question is open; at most
// 'max_early_patches' patches are kept.
#pragma once
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/micros.h"
#include "mesh/mesh.h"
#include "wire_generated.h"

namespace pipit {

class CatchUp {
 public:
  // A message about a chosen value that could not be applied when it came.
  struct EarlyPatch {
    std::string from;
    wire::ChosenT update;
    Micros received_at = 0;
  };
  CatchUp(std::string self, std::string zone, Mesh const& mesh)
      : self_(std::move(self)), zone_(std::move(zone)), mesh_(mesh) {}

  void buffer_patch(std::string const& from, wire::ChosenT const& update, Micros now);
  // The kept patch that can be applied to this revision, or whose result it already holds; nothing when there is none.
  std::optional<EarlyPatch> take_applicable_patch(std::uint64_t held_revision);
  // Whether a patch has waited for its base for so long that the base will hardly come by itself.
  bool is_stuck(Micros now) const;
  // The peer that is to be asked for a whole value newer than this revision; empty while a question is open, or when
  // nobody is known to have one. A question stays open until its value comes or for a while, longer each time.
  std::string select_peer(std::uint64_t held_revision, Micros now);
  // A newer value is held from now on.
  void value_adopted();

 private:
  std::vector<std::string> candidates(std::uint64_t held_revision) const;

  std::string const self_;
  std::string const zone_;
  Mesh const& mesh_;
  std::deque<EarlyPatch> early_patches_;
  Micros requested_at_ = -1;  // when the open question was asked; -1 when there is none
  int unanswered_ = 0;        // questions in a row that brought nothing
};

}  // namespace pipit
