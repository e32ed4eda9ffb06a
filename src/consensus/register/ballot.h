// The order of ballots. A ballot is a number with the id of the proposer that drew it; ballots are ordered by number,
// then by proposer, so that no two proposers ever use the same one.
#pragma once
#include "wire_generated.h"

namespace pipit {

inline bool operator<(wire::Ballot const& a, wire::Ballot const& b) {
  return a.n() != b.n() ? a.n() < b.n() : a.who() < b.who();
}
inline bool same_ballot(wire::Ballot const& a, wire::Ballot const& b) { return a.n() == b.n() && a.who() == b.who(); }
// False for the ballot of a replica that has accepted nothing yet.
inline bool is_set(wire::Ballot const& ballot) { return ballot.n() != 0; }

}  // namespace pipit
