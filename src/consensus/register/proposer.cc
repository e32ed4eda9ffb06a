#include "consensus/register/proposer.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "base/guards.h"
#include "consensus/register/orders.h"
#include "consensus/register/value_patch.h"

namespace pipit {

wire::RouterRegistrationT const* registration_of(wire::ValueT const& value, std::string const& name) {
  for (std::unique_ptr<wire::RouterRegistrationT> const& item : value.registrations)
    if (item->name == name) return item.get();
  return nullptr;
}

namespace {
constexpr std::size_t evicted_limit = 256;
constexpr std::uint64_t ballot_leap = 4;
constexpr int refusals_without_leap = 8;
constexpr int leaps_most = 16;

void unseat(std::vector<std::unique_ptr<wire::RouterRegistrationT>>& list, std::string const& name) {
  list.erase(
      std::remove_if(list.begin(), list.end(),
                     [&name](std::unique_ptr<wire::RouterRegistrationT> const& item) { return item->name == name; }),
      list.end());
}

bool register_router(wire::ValueT& value, wire::RouterRegistrationT const& registration) {
  wire::RouterRegistrationT const* const old = registration_of(value, registration.name);
  if (old != nullptr && old->incarnation >= registration.incarnation) return false;
  unseat(value.registrations, registration.name);
  unseat(value.evicted, registration.name);
  value.registrations.push_back(std::make_unique<wire::RouterRegistrationT>(registration));
  return true;
}

bool evict_router(wire::ValueT& value, wire::RouterRegistrationT const& registration) {
  wire::RouterRegistrationT const* const old = registration_of(value, registration.name);
  if (old == nullptr || old->incarnation > registration.incarnation) return false;
  wire::RouterRegistrationT const gone = *old;
  unseat(value.registrations, registration.name);
  unseat(value.evicted, registration.name);
  value.evicted.push_back(std::make_unique<wire::RouterRegistrationT>(gone));
  if (value.evicted.size() > evicted_limit) value.evicted.erase(value.evicted.begin());
  return true;
}
}  // namespace

Proposer::Proposer(std::string self, std::uint64_t seed, ProposerPlan plan)
    : self_(std::move(self)),
      plan_(plan),
      random_(derived_seed(seed, self_)),
      owner_(hash_bits(random_.next())),
      request_id_(random_.next() >> 8) {}

bool Proposer::ask(Change change, Done done, Micros now) {
  if (jobs_.size() >= plan_.backlog) return false;
  Job job;
  job.change = std::move(change);
  job.done = std::move(done);
  job.due = now + plan_.whole;
  jobs_.push_back(std::move(job));
  return true;
}

void Proposer::know(Membership const& members) {
  if (members.epoch <= known_.epoch) return;
  known_ = members;
  if (members.joint()) joint_chosen_ = members.fingerprint();
  if (members.epoch <= set_.epoch) return;
  set_ = members;
  if (phase_ == Phase::first) phase_ = Phase::pause;  // round one begins anew with the newer set
}

void Proposer::suggest(Membership const& members) {
  suggested_ = members;
  if (set_.empty()) set_ = members;
}

std::uint64_t Proposer::serial_of(wire::ValueT const& value, std::string const& id) {
  return serial_of_order(value, id);
}

void Proposer::start(Micros now, std::vector<OutgoingMessage>& out) {
  ++jobs_.front().tries;
  ballot_ = wire::Ballot(++top_, owner_);
  ++request_id_;
  promises_.clear();
  accepts_.clear();
  // What this proposer saw at a ballot stays seen, also where no replica of the set holds it: else it could go to and
  // fro between two sets for ever.
  best_ = held_ballot_;
  found_ = held_;
  verdict_.reset();
  phase_ = Phase::first;
  due_ = now + plan_.phase;
  for (std::string const& name : set_.names()) {
    wire::PrepareT ask;
    ask.request_id = request_id_;
    ask.ballot = ballot_;
    ask.epoch = set_.epoch;
    ask.known = held_ballot_;
    out.push_back(message_to(name, std::move(ask)));
  }
}

void Proposer::again(Micros now, std::uint64_t seen) {
  // A rival that makes many changes raises its ballots faster than this proposer's timers come round: after a few
  // refusals each one leaps further beyond what was promised to it.
  if (seen > 0) ++jobs_.front().refusals;
  int const leaps = std::clamp(jobs_.front().refusals - refusals_without_leap, 0, leaps_most);
  top_ = std::max(top_, seen > 0 ? seen + static_cast<std::uint64_t>(leaps) * ballot_leap : seen);
  phase_ = Phase::pause;
  // Rivals step aside for a random while, longer with each try.
  due_ = now + millis(5) +
         static_cast<Micros>(random_.below(static_cast<std::uint64_t>(millis(20) * std::min(jobs_.front().tries, 8))));
}

void Proposer::finish(Outcome const& outcome) {
  Job job = std::move(jobs_.front());
  jobs_.pop_front();
  phase_ = Phase::idle;
  job.done(outcome);
}

void Proposer::promise(std::string const& from, wire::PromiseT const& ans, Micros now,
                       std::vector<OutgoingMessage>& out) {
  if (phase_ != Phase::first || ans.request_id != request_id_ || !set_.concerns(from, ans.disk)) return;
  if (!ans.ok) return again(now, ans.promised.n());
  if (!same(ans.promised, ballot_)) return;  // an answer to another round, whatever its number
  promises_[from] = Promised{ans.disk, ans.accepted};
  if (is_set(ans.accepted) && best_ < ans.accepted) {
    bool const have = held_ && same(ans.accepted, held_ballot_);
    if (!have && !ans.value) return again(now, 0);
    best_ = ans.accepted;
    found_ = have ? *held_ : *ans.value;
  }
  Voters voters;
  for (std::pair<std::string const, Promised> const& item : promises_) voters[item.first] = item.second.disk;
  if (!set_.quorum(voters)) return;
  if (!found_ && set_.epoch != 1) return again(now, 0);
  if (found_) {
    held_ballot_ = best_;
    held_ = *found_;
    Membership const members = membership_of(*found_);
    if (members.fingerprint() != set_.fingerprint() && guard(Guard::found_set)) {
      // Round one counts only at a quorum of the set that it found: it is begun again with that one.
      set_ = members;
      return again(now, 0);
    }
  }
  round_two(now, out);
}

void Proposer::round_two(Micros now, std::vector<OutgoingMessage>& out) {
  if (!make_draft()) return;
  phase_ = Phase::second;
  due_ = now + plan_.phase;
  Membership const next = membership_of(draft_);
  std::vector<std::string> names = set_.names();
  for (std::string const& name : next.names())
    if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
  for (std::string const& name : names) {
    std::map<std::string, Promised>::const_iterator const position = promises_.find(name);
    bool const other = position != promises_.end() && !same(position->second.accepted, best_);
    send_accept(name, other || !found_, out);
  }
}

void Proposer::send_accept(std::string const& to, bool whole, std::vector<OutgoingMessage>& out) const {
  wire::AcceptT ask;
  ask.request_id = request_id_;
  ask.ballot = ballot_;
  if (whole) {
    ask.value = std::make_unique<wire::ValueT>(draft_);
  } else {
    ask.base = best_;
    ask.patch = patch_between(*found_, draft_);
  }
  out.push_back(message_to(to, std::move(ask)));
}

bool Proposer::make_draft() {
  Job& job = jobs_.front();
  draft_ = found_ ? *found_ : wire::ValueT();
  if (!found_) put_membership(set_, draft_);  // the first set, which no replica has written yet
  order_taken_ = false;
  step_ = Step::change;
  if (set_.joint()) {
    // A joint set that was found is first made chosen, and settled only then.
    bool const agreed = joint_chosen_ == set_.fingerprint() || !guard(Guard::joint_chosen);
    step_ = agreed ? Step::settle : Step::confirm_joint;
    if (!agreed) return true;
    draft_.former.clear();
    ++draft_.epoch;
    ++draft_.revision;
    return true;
  }
  if (serial_of_order(draft_, job.change.id) > 0) return true;
  if (std::optional<Error> const unknown = unknown_outcome_of(job)) {
    Outcome lost;
    lost.error = *unknown;
    finish(lost);
    return false;
  }
  make_change(job.change);
  return true;
}

// Why nobody can say what became, or will become, of the order that is to be tried now; nothing when that is certain.
std::optional<Error> Proposer::unknown_outcome_of(Job const& job) const {
  if (job.sent_serial > 0 && job.sent_serial <= draft_.forgotten_serial)
    return Error{ErrorCode::change_unknown, "", ""};
  if (job.change.type != Change::Type::apply) return std::nullopt;
  OrderBase const base{job.change.expected, job.change.label > 0};
  return unknown_outcome_of_order(draft_, standing_of_order(draft_, job.change.id, base));
}

void Proposer::make_change(Change const& change) {
  bool turned = false;
  switch (change.type) {
    case Change::Type::read:
      break;
    case Change::Type::apply:
      apply(change);
      break;
    case Change::Type::empty:
    case Change::Type::refill:
      change_zones(change);
      break;
    case Change::Type::admit:
    case Change::Type::dismiss:
    case Change::Type::replace:
      turned = change_members(change);
      break;
    // §5.9: registrations are no business of the operators' serial. Asking twice changes nothing more.
    case Change::Type::register_router:
      turned = register_router(draft_, change.registration);
      break;
    case Change::Type::evict_router:
      turned = evict_router(draft_, change.registration);
      break;
  }
  Job& job = jobs_.front();
  if (order_taken_) {
    ++draft_.serial;
    draft_.change = change.id;
    remember_order(draft_, change.id);
    job.sent_serial = draft_.serial;
  }
  if (order_taken_ || turned) {
    ++draft_.revision;
    job.sent = true;
  }
}

void Proposer::apply(Change const& change) {
  bool const by_label = change.label > 0;
  OrderStanding const standing = standing_of_order(draft_, change.id, OrderBase{change.expected, by_label});
  if (standing != OrderStanding::fits && guard(Guard::expected)) {
    verdict_ = outdated_error(draft_, by_label);
  } else if (by_label && change.label <= draft_.label) {
    verdict_ = Error{ErrorCode::bad_description, "the label is not above " + std::to_string(draft_.label), ""};
  } else {
    draft_.text = change.text;
    if (by_label) draft_.label = change.label;
    order_taken_ = true;
  }
}

void Proposer::change_zones(Change const& change) {
  std::vector<std::string>& zones = draft_.drained_zones;
  std::vector<std::string>::iterator const zone = std::find(zones.begin(), zones.end(), change.text);
  bool const there = zone != zones.end();
  if (change.type == Change::Type::empty && !there) {
    zones.push_back(change.text);
    order_taken_ = true;
  } else if (change.type == Change::Type::refill && there) {
    zones.erase(zone);
    order_taken_ = true;
  }
}

// Writes the joint set of a change of members; false when it does not fit the present set.
bool Proposer::change_members(Change const& change) {
  if (draft_.epoch != change.expected || draft_.replicas.empty()) return false;
  Membership next = membership_of(draft_);
  bool const adds = change.type != Change::Type::dismiss;
  if (adds && next.holds(change.replica.name, change.replica.disk)) return false;
  next.former = next.replicas;
  if (change.type != Change::Type::admit) {
    wire::ReplicaT const& leaving = adds ? change.leaving : change.replica;
    std::vector<wire::ReplicaT>::iterator const position =
        std::find_if(next.replicas.begin(), next.replicas.end(), [&leaving](wire::ReplicaT const& replica) {
          return replica.name == leaving.name && replica.disk == leaving.disk;
        });
    if (position == next.replicas.end() || (!adds && next.replicas.size() == 1)) return false;
    next.replicas.erase(position);
  }
  if (adds) next.replicas.push_back(change.replica);
  ++next.epoch;
  put_membership(next, draft_);
  jobs_.front().joint_written = next.fingerprint();
  return true;
}

void Proposer::accepted(std::string const& from, wire::AcceptedT const& ans, Micros now,
                        std::vector<OutgoingMessage>& out) {
  if (phase_ != Phase::second || ans.request_id != request_id_) return;
  Membership const members = membership_of(draft_);
  if (!members.concerns(from, ans.disk) && !set_.concerns(from, ans.disk)) return;
  if (ans.need_value) return send_accept(from, true, out);
  if (!ans.ok) return again(now, ans.promised.n());
  if (!same(ans.promised, ballot_)) return;  // an answer to another round, whatever its number
  accepts_[from] = ans.disk;
  if (members.quorum(accepts_)) chosen(now, out);
}

// The draft is chosen. A joint set is settled before anything else; then the change that was asked has its turn.
void Proposer::chosen(Micros now, std::vector<OutgoingMessage>& out) {
  held_ballot_ = ballot_;
  held_ = draft_;
  set_ = membership_of(draft_);
  known_ = set_.epoch > known_.epoch ? set_ : known_;
  if (set_.joint()) {
    joint_chosen_ = set_.fingerprint();
    return start(now, out);
  }
  bool const taken = serial_of_order(draft_, jobs_.front().change.id) > 0;
  bool const members_changed =
      step_ == Step::settle && joint_chosen_ != 0 && jobs_.front().joint_written == joint_chosen_;
  if (step_ == Step::settle && !taken && !members_changed) return start(now, out);
  Outcome outcome;
  outcome.value = draft_;
  if (verdict_) {
    outcome.type = Outcome::Type::refused;
    outcome.error = *verdict_;
  } else {
    outcome.serial = serial_of_order(draft_, jobs_.front().change.id);
    outcome.type = outcome.serial > 0 || members_changed ? Outcome::Type::chosen : Outcome::Type::kept;
  }
  finish(outcome);
}

void Proposer::take(std::string const& from, wire::BodyUnion const& body, Micros now,
                    std::vector<OutgoingMessage>& out) {
  if (wire::PromiseT const* const ans = body.AsPromise()) promise(from, *ans, now, out);
  if (wire::AcceptedT const* const ans = body.AsAccepted()) accepted(from, *ans, now, out);
}

void Proposer::give_up_unsent() {
  std::deque<Job> kept;
  std::vector<Job> given_up;
  for (Job& job : jobs_) {
    if (job.sent)
      kept.push_back(std::move(job));
    else
      given_up.push_back(std::move(job));
  }
  jobs_ = std::move(kept);
  if (given_up.empty()) return;
  phase_ = Phase::idle;
  for (Job& job : given_up) job.done(outcome_without_quorum(job));
}

Outcome Proposer::outcome_without_quorum(Job const& job) {
  bool const maybe_taken = job.sent || job.change.proposed_elsewhere;
  Outcome outcome;
  outcome.type = maybe_taken ? Outcome::Type::unknown : Outcome::Type::refused;
  outcome.error.code = maybe_taken ? ErrorCode::change_unknown : ErrorCode::no_majority;
  return outcome;
}

void Proposer::tick(Micros now, std::vector<OutgoingMessage>& out) {
  while (!jobs_.empty()) {
    Job& job = jobs_.front();
    if (now >= job.due) {
      finish(outcome_without_quorum(job));
      continue;
    }
    if (phase_ == Phase::idle) {
      if (set_.empty()) return;
      start(now, out);
    } else if (phase_ == Phase::pause) {
      if (now >= due_ && !set_.empty()) start(now, out);
    } else if (now >= due_) {
      // A set that was only found may be one that nobody can complete: the next try begins with the chosen one.
      set_ = known_.empty() ? suggested_ : known_;
      held_.reset();
      held_ballot_ = wire::Ballot(0, 0);
      again(now, 0);
    }
    return;
  }
}

}  // namespace pipit
