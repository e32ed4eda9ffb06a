// Invariants that a node checks of itself, and why it does not take requests yet.
#include "base/events.h"
#include "base/invariants.h"
#include "consensus/register/orders.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros waiting_gap = seconds(5);    // between two lines that say why the node is not ready
constexpr Micros waiting_first = seconds(3);  // after its start

// Refusals that say of an order that it has not been taken and never will be.
bool refuses_for_good(Outcome const& outcome) {
  if (outcome.type != Outcome::Type::refused) return false;
  return outcome.error.code == ErrorCode::stale_serial || outcome.error.code == ErrorCode::bad_description;
}
}  // namespace

void Node::note_call(std::uint64_t id, Change const& change) {
  if (id != 0) open_calls_[id] = OpenCall{change.type, change.id, learner.revision()};
}

void Node::check_replies(NodeEffects const& out) {
  if (open_calls_.empty()) return;
  for (Reply const& reply : out.replies) check_reply(reply);
}

void Node::check_reply(Reply const& reply) {
  std::map<std::uint64_t, OpenCall>::iterator const position = open_calls_.find(reply.id);
  if (position == open_calls_.end()) return;
  OpenCall const call = std::move(position->second);
  open_calls_.erase(position);
  Outcome const& outcome = reply.outcome;
  bool const holds = outcome.type == Outcome::Type::chosen || outcome.type == Outcome::Type::unchanged;
  bool const current = call.type != Change::Type::read || !holds || outcome.value.revision >= call.revision;
  check_invariant(current, Invariant::read_is_current, [&] {
    return "revision " + std::to_string(outcome.value.revision) + " is told, " + std::to_string(call.revision) +
           " was known when it was asked";
  });
  bool const taken = refuses_for_good(outcome) && learner.value && serial_of_order(*learner.value, call.change) > 0;
  check_invariant(!taken, Invariant::taken_is_not_refused, [&] {
    return call.change + " is refused as " + error_code_row(outcome.error.code).name + ", revision " +
           std::to_string(learner.revision()) + " remembers it";
  });
}

// A chosen value is about to come into force here.
void Node::check_value(wire::ValueT const& value) {
  wire::MemberT const& self = mesh.members.self;
  check_invariant(value.revision >= self.revision && value.serial >= self.serial, Invariant::revision_rises, [&] {
    return "revision " + std::to_string(value.revision) + " serial " + std::to_string(value.serial) + " after " +
           std::to_string(self.revision) + " and " + std::to_string(self.serial);
  });
  if (learner.membership().is_joint()) return;
  // With so many members the set outlives the loss of as many disks as are allowed, whatever else is without power.
  std::size_t const least = 2 * plan.tolerated + 1;
  std::size_t const size = learner.membership().replicas.size();
  check_invariant(size >= settled_size_ || size >= least, Invariant::quorum_possible, [&] {
    return std::to_string(size) + " keepers after " + std::to_string(settled_size_) + " in epoch " +
           std::to_string(value.epoch) + ", " + std::to_string(plan.tolerated) + " may lose their disks";
  });
  settled_size_ = size;
}

void Node::tell_waiting(Micros now) {
  if (ready_now_ || leaving_ || now - started_at_ < waiting_first || now < next_waiting_) return;
  next_waiting_ = now + waiting_gap;
  log_event(Event::node_not_ready, waits_for(now));
}

std::string Node::waits_for(Micros now) const {
  Micros const from = stale_from_ >= 0 ? stale_from_ : started_at_;
  if (learner.confirmed_at < from)
    return "no majority of keepers has answered since " + std::to_string((now - from) / 1000) + " ms, " +
           std::to_string(mesh.open_connections()) + " connections to peers, " +
           std::to_string(learner.membership().replicas.size()) + " keepers known";
  if (!router_registrations_.is_registered()) return "it has no seat in the register";
  if (learner.serial() == 0) return "there is no configuration yet";
  return "no worker is known, or it is new and others may not know of it";
}

}  // namespace pipit
