#include "consensus/register/router_registrations.h"

#include <algorithm>

namespace pipit {

namespace {
// Registrations; the oldest evicted ones beyond this number are forgotten.
constexpr std::size_t evicted_limit = 256;

void remove_registration(std::vector<std::unique_ptr<wire::RouterRegistrationT>>& list, std::string const& name) {
  list.erase(
      std::remove_if(list.begin(), list.end(),
                     [&name](std::unique_ptr<wire::RouterRegistrationT> const& item) { return item->name == name; }),
      list.end());
}
}  // namespace

wire::RouterRegistrationT const* registration_of(wire::ValueT const& value, std::string const& name) {
  for (std::unique_ptr<wire::RouterRegistrationT> const& item : value.registrations)
    if (item->name == name) return item.get();
  return nullptr;
}

bool register_router(wire::ValueT& value, wire::RouterRegistrationT const& registration) {
  wire::RouterRegistrationT const* const old = registration_of(value, registration.name);
  if (old != nullptr && old->incarnation >= registration.incarnation) return false;
  remove_registration(value.registrations, registration.name);
  remove_registration(value.evicted, registration.name);
  value.registrations.push_back(std::make_unique<wire::RouterRegistrationT>(registration));
  return true;
}

bool evict_router(wire::ValueT& value, wire::RouterRegistrationT const& registration) {
  wire::RouterRegistrationT const* const old = registration_of(value, registration.name);
  if (old == nullptr || old->incarnation > registration.incarnation) return false;
  wire::RouterRegistrationT const evicted = *old;
  remove_registration(value.registrations, registration.name);
  remove_registration(value.evicted, registration.name);
  value.evicted.push_back(std::make_unique<wire::RouterRegistrationT>(evicted));
  if (value.evicted.size() > evicted_limit) value.evicted.erase(value.evicted.begin());
  return true;
}

}  // namespace pipit
