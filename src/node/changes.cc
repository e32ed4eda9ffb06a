// Operators' changes in a node: asked, settled, confirmed (§5.3, §5.5).
#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros confirm_bound = millis(2000);
constexpr Micros half_bound = millis(1200);
}  // namespace

void Node::operate(std::uint64_t id, Change change, Micros now, NodeEffects& out) {
  watch_clock(now);
  if (change.id.empty())
    change.id = plan.name + "-" + std::to_string(plan.incarnation) + "-" + std::to_string(++change_count_);
  note_call(id, change);
  if (change_forwarder_.forward_change(id, change, now, out)) return;
  if (plan.registered && id != 0 && !replica_directory_.has_quorum_contact(now))
    return refuse_now(id, change, ErrorCode::no_majority, out);
  propose(id, std::move(change), now, out);
  check_replies(out);
}

void Node::refuse_now(std::uint64_t id, Change const& change, ErrorCode kind, NodeEffects& out) {
  Reply reply;
  reply.id = id;
  reply.change = change.id;
  reply.outcome.type = change.proposed_elsewhere ? Outcome::Type::unknown : Outcome::Type::refused;
  reply.outcome.error.code = change.proposed_elsewhere ? ErrorCode::change_unknown : kind;
  out.replies.push_back(std::move(reply));
}

void Node::propose(std::uint64_t id, Change change, Micros now, NodeEffects& out) {
  Change const kept = change;
  bool const taken = proposer.submit(
      std::move(change),
      [this, id, kept](Outcome const& outcome) {
        ended_.push_back({id, kept, outcome});
      },
      now);
  if (!taken) {
    refuse_now(id, kept, ErrorCode::too_many_changes, out);
    return;
  }
  std::vector<OutgoingMessage> outgoing;
  proposer.tick(now, outgoing);
  dispatch(outgoing, now, out);
  settle_ended(now, out);
}

void Node::settle_ended(Micros now, NodeEffects& out) {
  while (!ended_.empty()) {
    Ended const item = std::move(ended_.front());
    ended_.erase(ended_.begin());
    settle(item.id, item.change, item.outcome, now, out);
  }
}

void Node::settle(std::uint64_t id, Change const& change, Outcome const& outcome, Micros now, NodeEffects& out) {
  Reply reply;
  reply.id = id;
  reply.change = change.id;
  reply.outcome = outcome;
  bool const holds = outcome.type == Outcome::Type::chosen || outcome.type == Outcome::Type::unchanged;
  std::uint64_t const request_id = ++next_request_id_;
  if (holds) {
    log_event(Event::value_chosen,
              "serial " + std::to_string(outcome.value.serial) + " change " + outcome.value.change);
    bool const fresh = learner.adopt(outcome.value, now);
    if (fresh) after_value(now, out);
    // Also when a poll brought it here first: the others may hear of it from nobody else.
    if (fresh || outcome.type == Outcome::Type::chosen || change.type >= Change::Type::empty)
      spread(outcome.value, fresh ? learner.previous_value : std::nullopt, request_id, out);
    update_readiness(now, out);
  } else {
    log_event(outcome.type == Outcome::Type::unknown ? Event::change_outcome_unknown : Event::change_rejected,
              change.id + " " + error_code_row(outcome.error.code).name);
    if (outcome.value.serial > 0 && learner.adopt(outcome.value, now)) after_value(now, out);
  }
  if (id == 0) {
    if (change.type == Change::Type::register_router)
      router_registrations_.finish_registration();
    else
      replica_set_manager_.finish_change();
    return;
  }
  if (change.type == Change::Type::empty && holds) {
    Waiting wait;
    wait.serial = outcome.serial > 0 ? outcome.serial : outcome.value.serial;
    wait.due = now + confirm_bound;
    // Whoever may serve: router nodes that are heard of, and every one that has a registration (§5.9).
    for (std::string const& name : routers(true))
      if (guard(Guard::confirm_all)) wait.owe.insert(name);
    for (std::unique_ptr<wire::RouterRegistrationT> const& registration : outcome.value.registrations)
      if (guard(Guard::registrations) && guard(Guard::confirm_all)) wait.owe.insert(registration->name);
    wait.owe.erase(plan.name);
    wait.reply = std::move(reply);
    waiting_.emplace(request_id, std::move(wait));
    settle_waiting(now, out);
    return;
  }
  if (outcome.type == Outcome::Type::chosen && guard(Guard::spread)) {
    // §5.5: yes is said once half of the router nodes have it, so that it gets round whatever happens to the rest.
    Waiting wait;
    wait.half = outcome.value.revision;
    wait.due = now + (plan.registered ? millis(700) : half_bound);
    wait.reply = std::move(reply);
    waiting_.emplace(request_id, std::move(wait));
    settle_waiting(now, out);
    return;
  }
  out.replies.push_back(std::move(reply));
}

void Node::settle_waiting(Micros now, NodeEffects& out) {
  for (std::map<std::uint64_t, Waiting>::iterator it = waiting_.begin(); it != waiting_.end();) {
    Waiting& item = it->second;
    std::set<std::string> owe;
    for (std::string const& name : item.owe)
      if (is_unconfirmed(item, name)) owe.insert(name);
    bool const half = plan.registered ? (item.sure.size() + 1) * 2 >= routers(false).size() : half_has(item.half);
    bool const more = item.half > 0 ? !half : !owe.empty();
    if (more && now < item.due) {
      ++it;
      continue;
    }
    item.reply.missing.assign(owe.begin(), owe.end());
    out.replies.push_back(std::move(item.reply));
    it = waiting_.erase(it);
  }
}

bool Node::half_has(std::uint64_t revision) const {
  std::size_t all = 0;
  std::size_t have = 0;
  for (std::string const& name : routers(false)) {
    ++all;
    std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
    if ((peer == mesh.members.peers.end() ? learner.revision() : peer->second.member.revision) >= revision) ++have;
  }
  return have > 0 && have * 2 >= all;
}

bool Node::zone_known(std::string const& zone) const {
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
