// How old this node's knowledge of the platform's list of workers is, and whether it is recent enough to place work
// (§4.3). Who knows no late reading of the list cannot know which workers are marked there.
//
// Owns the moments at which the list was read, by this node or a peer, and until when no mark can have been missed.
// These moments never go back; all are microseconds of this node's monotonic clock, -1 for never.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include "base/micros.h"
#include "mesh/mesh.h"

namespace pipit {

class ListFreshness {
 public:
  // The mesh must outlive this object.
  explicit ListFreshness(Mesh const& mesh) : mesh_(mesh) {}

  // Notes a successful reading by this node, which began at that moment.
  void note_reading(Micros began_at);
  // Notes a peer's knowledge, which is 'age' old; negative: the peer has none.
  void note_peer_age(Micros age, Micros now);
  // Notes that the list's own address refused, or answered oddly: nobody can have read it at that moment.
  void note_source_failure(Micros now) { source_failed_at_ = now; }

  // The age of the latest reading that is known here, to be passed on to peers; -1 where none is known.
  Micros age(Micros now) const { return read_at_ < 0 ? -1 : now - read_at_; }
  // Brings the state up to 'now', and says whether the knowledge is recent enough to place work.
  bool update(Micros now);

 private:
  // Notes since when at least half of all members have been heard; true while they are.
  bool update_half_heard(Micros half_heard_at, Micros now);

  Mesh const& mesh_;
  Micros read_at_ = -1;           // when the latest known reading began, by whomever
  Micros up_to_date_at_ = -1;     // until when no mark can have been missed
  Micros half_heard_since_ = -1;  // since when at least half of all members are heard
  Micros source_failed_at_ = -1;
};

}  // namespace pipit
