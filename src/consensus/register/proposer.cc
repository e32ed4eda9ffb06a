#include "consensus/register/proposer.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "base/guards.h"
#include "consensus/register/orders.h"
#include "consensus/register/router_registrations.h"
#include "consensus/register/value_patch.h"

namespace pipit {

namespace {
// After `rejections_without_leap` rejections, each further one adds `ballot_leap` to the next ballot number, at most
// `max_leaps` times.
constexpr int rejections_without_leap = 8;
constexpr int max_leaps = 16;
constexpr std::uint64_t ballot_leap = 4;
// A backoff lasts `min_backoff` and a random time, whose limit grows with the number of attempts up to
// `max_backoff_attempts`.
constexpr Micros min_backoff = millis(5);
constexpr Micros backoff_per_attempt = millis(20);
constexpr int max_backoff_attempts = 8;
}  // namespace

Proposer::Proposer(std::string self, std::uint64_t seed, ProposerOptions options)
    : self_(std::move(self)),
      options_(options),
      random_(derived_seed(seed, self_)),
      proposer_id_(hash_bits(random_.next())),
      request_id_(random_.next() >> 8) {}

bool Proposer::submit(Change change, DoneCallback done, Micros now) {
  if (pending_.size() >= options_.max_pending) return false;
  PendingChange pending;
  pending.change = std::move(change);
  pending.done = std::move(done);
  pending.submitted_at = now;
  pending.deadline = now + options_.change_timeout;
  pending_.push_back(std::move(pending));
  return true;
}

void Proposer::adopt_membership(Membership const& members) {
  if (members.epoch <= chosen_membership_.epoch) return;
  chosen_membership_ = members;
  if (members.is_joint()) chosen_joint_fingerprint_ = members.fingerprint();
  if (members.epoch <= membership_.epoch) return;
  membership_ = members;
  if (phase_ == Phase::prepare) phase_ = Phase::backoff;  // phase one is repeated with the newer membership
}

void Proposer::suggest_membership(Membership const& members) {
  suggested_membership_ = members;
  if (membership_.empty()) membership_ = members;
}

std::uint64_t Proposer::serial_of(wire::ValueT const& value, std::string const& id) {
  return serial_of_order(value, id);
}

void Proposer::start_prepare_phase(Micros now, std::vector<OutgoingMessage>& out) {
  if (pending_.front().started_at < 0) pending_.front().started_at = now;
  ++pending_.front().attempts;
  ballot_ = wire::Ballot(++highest_ballot_number_, proposer_id_);
  ++request_id_;
  promises_.clear();
  accepted_by_.clear();
  // The cached value counts as found even if no replica of the membership has it. Otherwise the proposer could
  // alternate between two memberships forever.
  highest_accepted_ballot_ = cached_ballot_;
  highest_accepted_value_ = cached_value_;
  rejection_.reset();
  phase_ = Phase::prepare;
  phase_deadline_ = now + options_.phase_timeout;
  for (std::string const& name : membership_.participant_names()) {
    wire::PrepareT request;
    request.request_id = request_id_;
    request.ballot = ballot_;
    request.epoch = membership_.epoch;
    request.known = cached_ballot_;
    out.push_back(message_to(name, std::move(request)));
  }
}

void Proposer::back_off(Micros now, std::uint64_t promised) {
  PendingChange& pending = pending_.front();
  // A rival proposer with many changes raises its ballots faster than this proposer's timers expire. After a few
  // rejections, each further one therefore raises the ballot further above the one promised to the rival.
  if (promised > 0) ++pending.rejections;
  int const leaps = std::clamp(pending.rejections - rejections_without_leap, 0, max_leaps);
  std::uint64_t const leap = promised > 0 ? static_cast<std::uint64_t>(leaps) * ballot_leap : 0;
  highest_ballot_number_ = std::max(highest_ballot_number_, promised + leap);
  phase_ = Phase::backoff;
  // Rival proposers back off for a random time that grows with the attempts.
  Micros const longest = backoff_per_attempt * std::min(pending.attempts, max_backoff_attempts);
  phase_deadline_ = now + min_backoff + static_cast<Micros>(random_.below(static_cast<std::uint64_t>(longest)));
}

void Proposer::complete_change(Outcome outcome, Micros now) {
  PendingChange pending = std::move(pending_.front());
  pending_.pop_front();
  phase_ = Phase::idle;
  outcome.stages = stages_of(pending, now);
  pending.done(outcome);
}

ChangeStages Proposer::stages_of(PendingChange const& pending, Micros now) {
  ChangeStages out;
  bool const started = pending.started_at >= 0;
  out.queued = (started ? pending.started_at : now) - pending.submitted_at;
  out.proposed = started ? now - pending.started_at : 0;
  out.rounds = static_cast<unsigned>(pending.attempts);
  return out;
}

void Proposer::handle_promise(std::string const& from, wire::PromiseT const& reply, Micros now,
                              std::vector<OutgoingMessage>& out) {
  if (phase_ != Phase::prepare || reply.request_id != request_id_ || !membership_.has_participant(from, reply.disk))
    return;
  if (!reply.ok) return back_off(now, reply.promised.n());
  if (!same_ballot(reply.promised, ballot_)) return;  // a reply to another round, even if the request id is the same
  promises_[from] = ReceivedPromise{reply.disk, reply.accepted};
  if (!record_accepted_value(reply)) return back_off(now, 0);
  if (!has_promise_quorum()) return;
  // Only the first membership (epoch 1) may have no value yet.
  if (!highest_accepted_value_ && membership_.epoch != 1) return back_off(now, 0);
  if (!adopt_found_value()) return back_off(now, 0);
  start_accept_phase(now, out);
}

bool Proposer::record_accepted_value(wire::PromiseT const& reply) {
  if (!is_set(reply.accepted) || !(highest_accepted_ballot_ < reply.accepted)) return true;
  bool const is_cached = cached_value_ && same_ballot(reply.accepted, cached_ballot_);
  if (!is_cached && !reply.value) return false;
  highest_accepted_ballot_ = reply.accepted;
  highest_accepted_value_ = is_cached ? *cached_value_ : *reply.value;
  return true;
}

bool Proposer::has_promise_quorum() const {
  Voters voters;
  for (std::pair<std::string const, ReceivedPromise> const& item : promises_) voters[item.first] = item.second.disk;
  return membership_.is_quorum(voters);
}

bool Proposer::adopt_found_value() {
  if (!highest_accepted_value_) return true;
  cached_ballot_ = highest_accepted_ballot_;
  cached_value_ = *highest_accepted_value_;
  Membership const found = membership_of(*highest_accepted_value_);
  if (found.fingerprint() == membership_.fingerprint() || !guard_enabled(Guard::found_set)) return true;
  // Phase one counts only at a quorum of the membership in the value that it found; it is repeated with that one.
  membership_ = found;
  return false;
}

void Proposer::start_accept_phase(Micros now, std::vector<OutgoingMessage>& out) {
  if (!make_draft(now)) return;
  phase_ = Phase::accept;
  phase_deadline_ = now + options_.phase_timeout;
  Membership const next = membership_of(draft_);
  std::vector<std::string> names = membership_.participant_names();
  for (std::string const& name : next.participant_names())
    if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
  for (std::string const& name : names) {
    std::map<std::string, ReceivedPromise>::const_iterator const position = promises_.find(name);
    bool const has_other_value =
        position != promises_.end() && !same_ballot(position->second.accepted, highest_accepted_ballot_);
    send_accept(name, has_other_value || !highest_accepted_value_, out);
  }
}

void Proposer::send_accept(std::string const& to, bool full_value, std::vector<OutgoingMessage>& out) const {
  wire::AcceptT request;
  request.request_id = request_id_;
  request.ballot = ballot_;
  if (full_value) {
    request.value = std::make_unique<wire::ValueT>(draft_);
  } else {
    request.base = highest_accepted_ballot_;
    request.patch = make_value_patch(*highest_accepted_value_, draft_);
  }
  out.push_back(message_to(to, std::move(request)));
}

bool Proposer::make_draft(Micros now) {
  PendingChange& pending = pending_.front();
  draft_ = highest_accepted_value_ ? *highest_accepted_value_ : wire::ValueT();
  // No replica has a value yet: the draft starts with the first membership.
  if (!highest_accepted_value_) store_membership(membership_, draft_);
  order_applied_ = false;
  draft_type_ = DraftType::change;
  if (membership_.is_joint()) {
    draft_joint_step();
    return true;
  }
  if (serial_of_order(draft_, pending.change.id) > 0) return true;
  if (std::optional<Error> const unknown = unknown_outcome_before_draft(pending)) {
    Outcome outcome;
    outcome.error = *unknown;
    complete_change(std::move(outcome), now);
    return false;
  }
  apply_change(pending.change);
  return true;
}

void Proposer::draft_joint_step() {
  bool const is_chosen = chosen_joint_fingerprint_ == membership_.fingerprint() || !guard_enabled(Guard::joint_chosen);
  draft_type_ = is_chosen ? DraftType::leave_joint : DraftType::confirm_joint;
  if (!is_chosen) return;
  draft_.former.clear();
  ++draft_.epoch;
  ++draft_.revision;
}

std::optional<Error> Proposer::unknown_outcome_before_draft(PendingChange const& pending) const {
  if (pending.sent_serial > 0 && pending.sent_serial <= draft_.forgotten_serial)
    return Error{ErrorCode::change_unknown, "", ""};
  if (pending.change.type != Change::Type::apply) return std::nullopt;
  OrderBase const base{pending.change.expected, pending.change.label > 0};
  return unknown_outcome_error(draft_, order_status(draft_, pending.change.id, base));
}

void Proposer::apply_change(Change const& change) {
  bool members_or_routers_changed = false;
  switch (change.type) {
    case Change::Type::read:
      break;
    case Change::Type::apply:
      apply_description(change);
      break;
    case Change::Type::empty:
    case Change::Type::refill:
      apply_zone_change(change);
      break;
    case Change::Type::admit:
    case Change::Type::dismiss:
    case Change::Type::replace:
      members_or_routers_changed = draft_membership_change(change);
      break;
    // §5.9: registrations do not change the operators' serial.
    case Change::Type::register_router:
      members_or_routers_changed = register_router(draft_, change.registration);
      break;
    case Change::Type::evict_router:
      members_or_routers_changed = evict_router(draft_, change.registration);
      break;
  }
  PendingChange& pending = pending_.front();
  if (order_applied_) {
    ++draft_.serial;
    draft_.change = change.id;
    remember_order(draft_, change.id);
    pending.sent_serial = draft_.serial;
  }
  if (order_applied_ || members_or_routers_changed) {
    ++draft_.revision;
    pending.accept_sent = true;
  }
}

void Proposer::apply_description(Change const& change) {
  bool const by_label = change.label > 0;
  OrderStatus const status = order_status(draft_, change.id, OrderBase{change.expected, by_label});
  if (status != OrderStatus::applicable && guard_enabled(Guard::expected)) {
    rejection_ = stale_base_error(draft_, by_label);
  } else if (by_label && change.label <= draft_.label) {
    rejection_ = Error{
        ErrorCode::bad_description,
        "the label " + std::to_string(change.label) + " is not above the present label " + std::to_string(draft_.label),
        ""};
  } else {
    draft_.text = change.text;
    if (by_label) draft_.label = change.label;
    order_applied_ = true;
  }
}

void Proposer::apply_zone_change(Change const& change) {
  std::vector<std::string>& zones = draft_.drained_zones;
  std::vector<std::string>::iterator const zone = std::find(zones.begin(), zones.end(), change.text);
  bool const is_drained = zone != zones.end();
  if (change.type == Change::Type::empty && !is_drained) {
    zones.push_back(change.text);
    order_applied_ = true;
  } else if (change.type == Change::Type::refill && is_drained) {
    zones.erase(zone);
    order_applied_ = true;
  }
}

bool Proposer::draft_membership_change(Change const& change) {
  if (draft_.epoch != change.expected || draft_.replicas.empty()) return false;
  Membership next = membership_of(draft_);
  bool const adds = change.type != Change::Type::dismiss;
  if (adds && next.contains(change.replica.name, change.replica.disk)) return false;
  next.former = next.replicas;
  if (change.type != Change::Type::admit) {
    wire::ReplicaT const& leaving = adds ? change.replaced_replica : change.replica;
    std::vector<wire::ReplicaT>::iterator const position =
        std::find_if(next.replicas.begin(), next.replicas.end(), [&leaving](wire::ReplicaT const& replica) {
          return replica.name == leaving.name && replica.disk == leaving.disk;
        });
    if (position == next.replicas.end() || (!adds && next.replicas.size() == 1)) return false;
    next.replicas.erase(position);
  }
  if (adds) next.replicas.push_back(change.replica);
  ++next.epoch;
  store_membership(next, draft_);
  pending_.front().joint_fingerprint = next.fingerprint();
  return true;
}

void Proposer::handle_accepted(std::string const& from, wire::AcceptedT const& reply, Micros now,
                               std::vector<OutgoingMessage>& out) {
  if (phase_ != Phase::accept || reply.request_id != request_id_) return;
  Membership const members = membership_of(draft_);
  if (!members.has_participant(from, reply.disk) && !membership_.has_participant(from, reply.disk)) return;
  if (reply.need_value) return send_accept(from, true, out);
  if (!reply.ok) return back_off(now, reply.promised.n());
  if (!same_ballot(reply.promised, ballot_)) return;  // a reply to another round, even if the request id is the same
  accepted_by_[from] = reply.disk;
  if (members.is_quorum(accepted_by_)) handle_chosen(now, out);
}

// A joint membership is left before anything else; then the pending change is proposed.
void Proposer::handle_chosen(Micros now, std::vector<OutgoingMessage>& out) {
  cached_ballot_ = ballot_;
  cached_value_ = draft_;
  membership_ = membership_of(draft_);
  if (membership_.epoch > chosen_membership_.epoch) chosen_membership_ = membership_;
  if (membership_.is_joint()) {
    chosen_joint_fingerprint_ = membership_.fingerprint();
    return start_prepare_phase(now, out);
  }
  PendingChange const& pending = pending_.front();
  std::uint64_t const serial = serial_of_order(draft_, pending.change.id);
  bool const left_joint = draft_type_ == DraftType::leave_joint;
  bool const members_changed =
      left_joint && chosen_joint_fingerprint_ != 0 && pending.joint_fingerprint == chosen_joint_fingerprint_;
  if (left_joint && serial == 0 && !members_changed) return start_prepare_phase(now, out);
  complete_change(outcome_of_draft(serial, members_changed), now);
}

Outcome Proposer::outcome_of_draft(std::uint64_t serial, bool members_changed) const {
  Outcome outcome;
  outcome.value = draft_;
  if (rejection_) {
    outcome.type = Outcome::Type::refused;
    outcome.error = *rejection_;
    return outcome;
  }
  outcome.serial = serial;
  outcome.type = serial > 0 || members_changed ? Outcome::Type::chosen : Outcome::Type::unchanged;
  return outcome;
}

void Proposer::handle_reply(std::string const& from, wire::BodyUnion const& body, Micros now,
                            std::vector<OutgoingMessage>& out) {
  if (wire::PromiseT const* const reply = body.AsPromise()) handle_promise(from, *reply, now, out);
  if (wire::AcceptedT const* const reply = body.AsAccepted()) handle_accepted(from, *reply, now, out);
}

void Proposer::abandon_unsent_changes() {
  std::deque<PendingChange> remaining;
  std::vector<PendingChange> abandoned;
  for (PendingChange& pending : pending_) {
    if (pending.accept_sent)
      remaining.push_back(std::move(pending));
    else
      abandoned.push_back(std::move(pending));
  }
  pending_ = std::move(remaining);
  if (abandoned.empty()) return;
  phase_ = Phase::idle;
  for (PendingChange& pending : abandoned) pending.done(outcome_without_quorum(pending));
}

Outcome Proposer::outcome_without_quorum(PendingChange const& pending) {
  bool const may_be_chosen = pending.accept_sent || pending.change.proposed_elsewhere;
  Outcome outcome;
  outcome.type = may_be_chosen ? Outcome::Type::unknown : Outcome::Type::refused;
  outcome.error.code = may_be_chosen ? ErrorCode::change_unknown : ErrorCode::no_majority;
  return outcome;
}

void Proposer::tick(Micros now, std::vector<OutgoingMessage>& out) {
  while (!pending_.empty()) {
    PendingChange& pending = pending_.front();
    if (now >= pending.deadline) {
      complete_change(outcome_without_quorum(pending), now);
      continue;
    }
    if (phase_ == Phase::idle) {
      if (membership_.empty()) return;
      start_prepare_phase(now, out);
    } else if (phase_ == Phase::backoff) {
      if (now >= phase_deadline_ && !membership_.empty()) start_prepare_phase(now, out);
    } else if (now >= phase_deadline_) {
      // A membership that was found but not known to be chosen may be impossible to complete: the next attempt starts
      // with the chosen membership.
      membership_ = chosen_membership_.empty() ? suggested_membership_ : chosen_membership_;
      cached_value_.reset();
      cached_ballot_ = wire::Ballot(0, 0);
      back_off(now, 0);
    }
    return;
  }
}

}  // namespace pipit
