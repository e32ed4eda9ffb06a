// Age of this node's knowledge of the platform's list of workers, and whether it is recent enough to place requests
// (§4.3). Without a recent reading of the list a node cannot know which workers are marked there as leaving.
//
// Owns the times of the latest reading by this node or a peer, and until which no departure mark can have been missed.
// They never decrease. All times are microseconds of this node's monotonic clock; -1 means never.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include "base/micros.h"
#include "mesh/mesh.h"

namespace pipit {

// Tracks how recent this node's knowledge of the list of workers is.
class ListFreshness {
 public:
  // The mesh must outlive this object.
  explicit ListFreshness(Mesh const& mesh) : mesh_(mesh) {}

  // Records a successful reading by this node that began at 'began_at'.
  void note_reading(Micros began_at);
  // Records that a peer's latest known reading is 'age' microseconds old; negative: the peer knows of none.
  void note_peer_age(Micros age, Micros now);
  // Records that the list's own address refused the connection or sent a malformed answer: no node can have read the
  // list at 'now'.
  void note_source_failure(Micros now) { source_failed_at_ = now; }

  // The age of the latest known reading in microseconds, as reported to peers; -1 if none is known.
  Micros age(Micros now) const { return read_at_ < 0 ? -1 : now - read_at_; }
  // Advances the state to 'now'. Returns whether the knowledge is recent enough to place requests.
  bool update(Micros now);

 private:
  // Tracks since when at least half of all members have been heard from; true while they are.
  bool update_half_heard(Micros half_heard_at, Micros now);

  Mesh const& mesh_;
  Micros read_at_ = -1;           // start of the latest known reading, by this node or a peer
  Micros up_to_date_at_ = -1;     // until then no departure mark can have been missed
  Micros half_heard_since_ = -1;  // since then at least half of all members are heard from
  Micros source_failed_at_ = -1;
};

}  // namespace pipit
