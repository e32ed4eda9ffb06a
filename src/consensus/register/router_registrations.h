// The registrations of router nodes that the register's value holds (§5.9). They are no business of the operators'
// serial, and asking twice changes nothing more.
#pragma once
#include <string>

#include "wire_generated.h"

namespace pipit {

// The registration of a router node, or nullptr.
wire::RouterRegistrationT const* registration_of(wire::ValueT const& value, std::string const& name);
// Writes a registration into the value; false where the value holds one of this or a later incarnation.
bool register_router(wire::ValueT& value, wire::RouterRegistrationT const& registration);
// Moves the registration of a router node to the evicted ones; false where the value holds none, or one of a later
// incarnation.
bool evict_router(wire::ValueT& value, wire::RouterRegistrationT const& registration);

}  // namespace pipit
