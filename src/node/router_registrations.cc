#include "node/router_registrations.h"

#include <utility>

#include "base/events.h"
#include "base/guards.h"
#include "consensus/register/router_registrations.h"

namespace pipit {

namespace {
constexpr Micros request_interval = millis(150);  // least time between two requests to register
constexpr Micros newcomer_period = seconds(2);
}  // namespace

RouterRegistrations::RouterRegistrations(RouterRegistrationOptions options, Mesh& mesh, Learner const& learner)
    : options_(std::move(options)), mesh_(mesh), learner_(learner) {}

bool RouterRegistrations::is_registered() const {
  if (!guard_enabled(Guard::registrations) || !options_.required) return true;
  if (!learner_.value) return false;
  wire::RouterRegistrationT const* const registration = registration_of(*learner_.value, options_.name);
  return registration != nullptr && registration->incarnation == mesh_.members.self.incarnation;
}

// A new router node reduces the other nodes' shares of a cold worker's limit. Where workers register themselves there
// are no such shares.
bool RouterRegistrations::is_newcomer(Micros now) const {
  if (!options_.required) return false;
  return options_.is_router && !had_predecessor_ && registered_at_ >= 0 && now - registered_at_ < newcomer_period;
}

bool RouterRegistrations::is_evicted() const {
  if (!guard_enabled(Guard::registrations) || registered_at_ >= 0 || !learner_.value) return false;
  for (std::unique_ptr<wire::RouterRegistrationT> const& item : learner_.value->evicted)
    if (item->name == options_.name && item->incarnation >= mesh_.members.self.incarnation) return true;
  return false;
}

std::optional<Change> RouterRegistrations::next_registration(Micros now) {
  if (is_pending_ || now < next_request_at_) return std::nullopt;
  is_pending_ = true;
  next_request_at_ = now + request_interval;
  Change change;
  change.type = Change::Type::register_router;
  change.registration.name = options_.name;
  change.registration.address = options_.address;
  change.registration.incarnation = mesh_.members.self.incarnation;
  return change;
}

bool RouterRegistrations::apply_register(Micros now, ConnectionEffects& out) {
  if (!learner_.value) return false;
  for (std::unique_ptr<wire::RouterRegistrationT> const& registration : learner_.value->registrations)
    mesh_.members.apply_registration(*registration, now);
  mesh_.members.apply_evictions(learner_.value->evicted);
  if (!options_.is_router) return false;
  raise_incarnation(out);
  return update_own_registration(now);
}

void RouterRegistrations::raise_incarnation(ConnectionEffects& out) {
  wire::RouterRegistrationT const* const own = registration_of(*learner_.value, options_.name);
  if (own == nullptr) return;
  if (own->incarnation > mesh_.members.self.incarnation) {
    // An earlier incarnation had a clock that was ahead of the present one.
    mesh_.members.self.incarnation = own->incarnation + 1;
    mesh_.announce_self(out);
  }
  if (own->incarnation != mesh_.members.self.incarnation) had_predecessor_ = true;
}

bool RouterRegistrations::update_own_registration(Micros now) {
  bool const registered = is_registered();
  if (registered && registered_at_ < 0) {
    log_event(Event::router_registered, std::to_string(mesh_.members.self.incarnation));
    registered_at_ = now;
  }
  if (registered == was_registered_) return false;
  was_registered_ = registered;
  if (!registered) {
    // The node was evicted while running: it places no work until it is registered again, and then counts as a
    // newcomer.
    had_predecessor_ = false;
    registered_at_ = -1;
  }
  return true;
}

bool RouterRegistrations::must_confirm(std::string const& name) const {
  wire::RouterRegistrationT const* const registration =
      learner_.value ? registration_of(*learner_.value, name) : nullptr;
  std::map<std::string, Peer>::const_iterator const peer = mesh_.members.peers.find(name);
  bool const known = peer != mesh_.members.peers.end();
  // That a known incarnation left, or its address refused a dial, says nothing about a later incarnation.
  if (registration != nullptr && (!known || peer->second.member.incarnation < registration->incarnation)) return true;
  return !mesh_.members.cannot_be_serving(name);
}

std::optional<Error> RouterRegistrations::eviction_refusal(std::string const& name) const {
  bool const known = learner_.value && registration_of(*learner_.value, name) != nullptr;
  std::map<std::string, Peer>::const_iterator const peer = mesh_.members.peers.find(name);
  bool const here = name == options_.name || (peer != mesh_.members.peers.end() && peer->second.connection != 0);
  if (here) return Error{ErrorCode::node_alive, "the node '" + name + "' is alive", ""};
  if (!known) return Error{ErrorCode::unknown_node, "no router node '" + name + "' is registered", ""};
  return std::nullopt;
}

}  // namespace pipit
