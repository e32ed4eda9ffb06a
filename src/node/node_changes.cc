// Methods of Node for operators' changes: proposing them, spreading chosen values, awaiting confirmations (§5.3, §5.5).
#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "node/change_times.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros confirmation_timeout = millis(2000);
constexpr Micros spread_timeout = millis(1200);

// The wait for confirmations of a change that has just been chosen. Where workers register themselves, the node that
// forwarded the change must be answered before it proposes the change itself.
Micros spread_wait(NodePlan const& plan, ChangeStages const& stages) {
  if (!plan.workers_self_register) return spread_timeout;
  return std::max(min_spread_wait, chosen_reply_limit - stages.queued - stages.proposed);
}
}  // namespace

void Node::submit_change(std::uint64_t id, Change change, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  if (change.id.empty())
    change.id = plan.name + "-" + std::to_string(plan.incarnation) + "-" + std::to_string(++change_count_);
  record_call(id, change);
  if (change_forwarder_.forward_change(id, change, now, out)) return;
  if (plan.workers_self_register && id != 0 && !replica_directory_.has_quorum_contact(now))
    return refuse_change(id, change, ErrorCode::no_majority, out);
  propose(id, std::move(change), now, out);
  check_replies(out);
}

void Node::refuse_change(std::uint64_t id, Change const& change, ErrorCode code, NodeEffects& out) {
  ChangeReply reply;
  reply.id = id;
  reply.change_id = change.id;
  reply.outcome.type = change.proposed_elsewhere ? Outcome::Type::unknown : Outcome::Type::refused;
  reply.outcome.error.code = change.proposed_elsewhere ? ErrorCode::change_unknown : code;
  out.replies.push_back(std::move(reply));
}

void Node::propose(std::uint64_t id, Change change, Micros now, NodeEffects& out) {
  Change const submitted = change;
  bool const accepted = proposer.submit(
      std::move(change),
      [this, id, submitted](Outcome const& outcome) {
        ended_changes_.push_back({id, submitted, outcome});
      },
      now);
  if (!accepted) {
    refuse_change(id, submitted, ErrorCode::too_many_changes, out);
    return;
  }
  std::vector<OutgoingMessage> outgoing;
  proposer.tick(now, outgoing);
  send_messages(outgoing, now, out);
  finish_ended_changes(now, out);
}

void Node::finish_ended_changes(Micros now, NodeEffects& out) {
  while (!ended_changes_.empty()) {
    EndedChange const item = std::move(ended_changes_.front());
    ended_changes_.erase(ended_changes_.begin());
    finish_change(item.id, item.change, item.outcome, now, out);
  }
}

void Node::finish_change(std::uint64_t id, Change const& change, Outcome const& outcome, Micros now, NodeEffects& out) {
  ChangeReply reply;
  reply.id = id;
  reply.change_id = change.id;
  reply.outcome = outcome;
  reply.path = {plan.name, 0, change.forward_lost};
  bool const in_force = outcome.type == Outcome::Type::chosen || outcome.type == Outcome::Type::unchanged;
  std::uint64_t const request_id = ++next_request_id_;
  if (in_force)
    bring_into_force(change, outcome, request_id, now, out);
  else
    note_failed_change(change, outcome, now, out);
  if (id == 0) return finish_own_change(change);
  if (change.type == Change::Type::empty && in_force)
    await_drain_confirmations(std::move(reply), request_id, now, out);
  else if (outcome.type == Outcome::Type::chosen && guard_enabled(Guard::spread))
    await_spread(std::move(reply), request_id, now, out);
  else
    out.replies.push_back(std::move(reply));
}

void Node::bring_into_force(Change const& change, Outcome const& outcome, std::uint64_t request_id, Micros now,
                            NodeEffects& out) {
  log_event(Event::value_chosen, "serial " + std::to_string(outcome.value.serial) + " change " + outcome.value.change);
  bool const fresh = learner.adopt(outcome.value, now);
  if (fresh) apply_adopted_value(ValueSource::proposal, plan.name, now, out);
  // Also if a poll brought the value here first: this may be the only node that sends it to the others.
  if (fresh || outcome.type == Outcome::Type::chosen || change.type >= Change::Type::empty)
    broadcast_value(outcome.value, fresh ? learner.previous_value : std::nullopt, request_id, out);
  update_readiness(now, out);
}

void Node::note_failed_change(Change const& change, Outcome const& outcome, Micros now, NodeEffects& out) {
  log_event(outcome.type == Outcome::Type::unknown ? Event::change_outcome_unknown : Event::change_rejected,
            change.id + " " + error_code_row(outcome.error.code).name);
  if (outcome.value.serial > 0 && learner.adopt(outcome.value, now))
    apply_adopted_value(ValueSource::proposal, plan.name, now, out);
}

void Node::finish_own_change(Change const& change) {
  if (change.type == Change::Type::register_router)
    router_registrations_.finish_registration();
  else
    replica_set_manager_.finish_change();
}

// All router nodes that may be serving must confirm: those in the member table, and all that are registered (§5.9).
void Node::await_drain_confirmations(ChangeReply reply, std::uint64_t request_id, Micros now, NodeEffects& out) {
  Outcome const& outcome = reply.outcome;
  PendingConfirmation pending;
  pending.serial = outcome.serial > 0 ? outcome.serial : outcome.value.serial;
  pending.deadline = now + confirmation_timeout;
  for (std::string const& name : known_routers(true))
    if (guard_enabled(Guard::confirm_all)) pending.unconfirmed.insert(name);
  for (std::unique_ptr<wire::RouterRegistrationT> const& registration : outcome.value.registrations)
    if (guard_enabled(Guard::registrations) && guard_enabled(Guard::confirm_all))
      pending.unconfirmed.insert(registration->name);
  pending.unconfirmed.erase(plan.name);
  pending.chosen_at = now;
  pending.reply = std::move(reply);
  pending_confirmations_.emplace(request_id, std::move(pending));
  complete_confirmations(now, out);
}

// §5.5: the change is acknowledged once half of the router nodes hold it, so that it reaches all nodes whatever happens
// to the others.
void Node::await_spread(ChangeReply reply, std::uint64_t request_id, Micros now, NodeEffects& out) {
  PendingConfirmation pending;
  pending.spread_revision = reply.outcome.value.revision;
  pending.deadline = now + spread_wait(plan, reply.outcome.stages);
  pending.chosen_at = now;
  pending.reply = std::move(reply);
  pending_confirmations_.emplace(request_id, std::move(pending));
  complete_confirmations(now, out);
}

void Node::complete_confirmations(Micros now, NodeEffects& out) {
  for (std::map<std::uint64_t, PendingConfirmation>::iterator it = pending_confirmations_.begin();
       it != pending_confirmations_.end();) {
    PendingConfirmation& item = it->second;
    std::set<std::string> unconfirmed;
    for (std::string const& name : item.unconfirmed)
      if (is_unconfirmed(item, name)) unconfirmed.insert(name);
    bool const half = plan.workers_self_register ? (item.confirmed.size() + 1) * 2 >= count_known_routers(false)
                                                 : is_on_half_of_routers(item.spread_revision);
    bool const waiting = item.spread_revision > 0 ? !half : !unconfirmed.empty();
    if (waiting && now < item.deadline) {
      ++it;
      continue;
    }
    item.reply.outcome.stages.spread = now - item.chosen_at;
    item.reply.unconfirmed.assign(unconfirmed.begin(), unconfirmed.end());
    out.replies.push_back(std::move(item.reply));
    it = pending_confirmations_.erase(it);
  }
}

bool Node::is_on_half_of_routers(std::uint64_t revision) const {
  std::size_t routers = 0;
  std::size_t holders = 0;
  for (std::string const& name : known_routers(false)) {
    ++routers;
    std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
    if ((peer == mesh.members.peers.end() ? learner.revision() : peer->second.member.revision) >= revision) ++holders;
  }
  return holders > 0 && holders * 2 >= routers;
}

bool Node::is_known_zone(std::string const& zone) const {
  if (zone == plan.zone) return true;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (item.second.member.zone == zone) return true;
  for (std::pair<std::string const, wire::EntryT> const& item : mesh.entry_table.entries())
    if (item.second.zone == zone) return true;
  for (std::pair<std::string const, Worker> const& item : fleet.workers)
    if (item.second.row.zone == zone) return true;
  return learner.value &&
         std::count(learner.value->drained_zones.begin(), learner.value->drained_zones.end(), zone) > 0;
}

}  // namespace pipit
