// The registrations of router nodes in the register's value (§5.9). They do not change the operators' serial, and
// repeating a registration or eviction has no further effect.
#pragma once
#include <string>

#include "wire_generated.h"

namespace pipit {

// The registration of a router node; nullptr if there is none. Points into `value`.
wire::RouterRegistrationT const* registration_of(wire::ValueT const& value, std::string const& name);
// Adds or replaces a registration. False if the value has one of the same or a later incarnation.
bool register_router(wire::ValueT& value, wire::RouterRegistrationT const& registration);
// Moves the registration of a router node to the evicted ones. False if the value has none, or one of a later
// incarnation.
bool evict_router(wire::ValueT& value, wire::RouterRegistrationT const& registration);

}  // namespace pipit
