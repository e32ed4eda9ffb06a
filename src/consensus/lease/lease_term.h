// The term of a lease on a singleton role: a role that at most one node has at a time (§5.7).
#pragma once
#include "base/micros.h"

namespace pipit {

// Shorter than the time after which a replica counts as lost, so that the loss of the leaseholder delays nothing.
constexpr Micros lease_term = millis(2400);

}  // namespace pipit
