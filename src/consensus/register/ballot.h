// The order of ballots. A ballot is a number and the id of the proposer that issued it. Ballots are ordered by number,
// then by proposer id, so that no two proposers ever use the same ballot.
#pragma once
#include "wire_generated.h"

namespace pipit {

// Whether `a` is lower than `b`: by number, then by proposer id.
inline bool operator<(wire::Ballot const& a, wire::Ballot const& b) {
  return a.n() != b.n() ? a.n() < b.n() : a.who() < b.who();
}
// Whether two ballots have the same number and proposer.
inline bool same_ballot(wire::Ballot const& a, wire::Ballot const& b) { return a.n() == b.n() && a.who() == b.who(); }
// False for the accepted ballot of a replica that has accepted no value yet.
inline bool is_set(wire::Ballot const& ballot) { return ballot.n() != 0; }

}  // namespace pipit
