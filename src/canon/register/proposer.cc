#include "canon/register/proposer.h"

#include <algorithm>
#include <utility>

#include "canon/register/orders.h"
#include "canon/register/value_patch.h"
#include "ground/digest.h"
#include "ground/guards.h"

namespace pipit {

wire::SeatT const* seat_of(wire::ValueT const& value, std::string const& name) {
  for (std::unique_ptr<wire::SeatT> const& item : value.seats)
    if (item->name == name) return item.get();
  return nullptr;
}

namespace {
constexpr std::size_t struck_most = 256;
constexpr std::uint64_t ballot_leap = 4;
constexpr int refusals_without_leap = 8;
constexpr int leaps_most = 16;

void unseat(std::vector<std::unique_ptr<wire::SeatT>>& list, std::string const& name) {
  list.erase(std::remove_if(list.begin(), list.end(),
                            [&name](std::unique_ptr<wire::SeatT> const& item) { return item->name == name; }),
             list.end());
}

bool take_seat(wire::ValueT& value, wire::SeatT const& seat) {
  wire::SeatT const* const old = seat_of(value, seat.name);
  if (old != nullptr && old->incarnation >= seat.incarnation) return false;
  unseat(value.seats, seat.name);
  unseat(value.struck, seat.name);
  value.seats.push_back(std::make_unique<wire::SeatT>(seat));
  return true;
}

bool strike_seat(wire::ValueT& value, wire::SeatT const& seat) {
  wire::SeatT const* const old = seat_of(value, seat.name);
  if (old == nullptr || old->incarnation > seat.incarnation) return false;
  wire::SeatT const gone = *old;
  unseat(value.seats, seat.name);
  unseat(value.struck, seat.name);
  value.struck.push_back(std::make_unique<wire::SeatT>(gone));
  if (value.struck.size() > struck_most) value.struck.erase(value.struck.begin());
  return true;
}
}  // namespace

Proposer::Proposer(std::string self_, std::uint64_t seed, ProposerPlan plan_)
    : self(std::move(self_)),
      plan(plan_),
      dice(seed ^ mix(self)),
      owner(stir(dice.roll())),
      req(stir(seed ^ mix(self)) >> 8) {}

bool Proposer::ask(Change change, Done done, Micros now) {
  if (jobs.size() >= plan.backlog) return false;
  Job job;
  job.change = std::move(change);
  job.done = std::move(done);
  job.due = now + plan.whole;
  jobs.push_back(std::move(job));
  return true;
}

void Proposer::know(Membership const& members) {
  if (members.epoch <= known.epoch) return;
  known = members;
  if (members.joint()) joint_chosen = members.fingerprint();
  if (members.epoch <= set.epoch) return;
  set = members;
  if (phase == Phase::first) phase = Phase::pause;  // round one begins anew with the newer set
}

void Proposer::suggest(Membership const& members) {
  suggested = members;
  if (set.empty()) set = members;
}

std::uint64_t Proposer::serial_of(wire::ValueT const& value, std::string const& id) {
  return serial_of_order(value, id);
}

void Proposer::start(Micros now, std::vector<Letter>& out) {
  ++jobs.front().tries;
  ballot = wire::Ballot(++top, owner);
  ++req;
  promises.clear();
  accepts.clear();
  // What this proposer saw at a ballot stays seen, also where no keeper of the set holds it: else it could go to and
  // fro between two sets for ever.
  best = held_ballot;
  found = held;
  verdict.reset();
  phase = Phase::first;
  due = now + plan.phase;
  for (std::string const& name : set.names()) {
    wire::PrepareT ask;
    ask.req = req;
    ask.ballot = ballot;
    ask.epoch = set.epoch;
    ask.known = held_ballot;
    out.push_back(letter(name, std::move(ask)));
  }
}

void Proposer::again(Micros now, std::uint64_t seen) {
  // A rival that makes many changes raises its ballots faster than this proposer's timers come round: after a few
  // refusals each one leaps further beyond what was promised to it.
  if (seen > 0) ++jobs.front().refusals;
  int const leaps = std::clamp(jobs.front().refusals - refusals_without_leap, 0, leaps_most);
  top = std::max(top, seen > 0 ? seen + static_cast<std::uint64_t>(leaps) * ballot_leap : seen);
  phase = Phase::pause;
  // Rivals step aside for a random while, longer with each try.
  due = now + millis(5) +
        static_cast<Micros>(dice.below(static_cast<std::uint64_t>(millis(20) * std::min(jobs.front().tries, 8))));
}

void Proposer::finish(Outcome const& outcome) {
  Job job = std::move(jobs.front());
  jobs.pop_front();
  phase = Phase::idle;
  job.done(outcome);
}

void Proposer::promise(std::string const& from, wire::PromiseT const& ans, Micros now, std::vector<Letter>& out) {
  if (phase != Phase::first || ans.req != req || !set.concerns(from, ans.disk)) return;
  if (!ans.ok) return again(now, ans.promised.n());
  promises[from] = Promised{ans.disk, ans.accepted};
  if (is_set(ans.accepted) && best < ans.accepted) {
    bool const have = held && same(ans.accepted, held_ballot);
    if (!have && !ans.value) return again(now, 0);
    best = ans.accepted;
    found = have ? *held : *ans.value;
  }
  Voters voters;
  for (std::pair<std::string const, Promised> const& item : promises) voters[item.first] = item.second.disk;
  if (!set.quorum(voters)) return;
  if (!found && set.epoch != 1) return again(now, 0);
  if (found) {
    held_ballot = best;
    held = *found;
    Membership const members = membership_of(*found);
    if (members.fingerprint() != set.fingerprint() && guard(Guard::found_set)) {
      // Round one counts only at a quorum of the set that it found: it is begun again with that one.
      set = members;
      return again(now, 0);
    }
  }
  round_two(now, out);
}

void Proposer::round_two(Micros now, std::vector<Letter>& out) {
  if (!make_draft()) return;
  phase = Phase::second;
  due = now + plan.phase;
  Membership const next = membership_of(draft);
  std::vector<std::string> names = set.names();
  for (std::string const& name : next.names())
    if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
  for (std::string const& name : names) {
    std::map<std::string, Promised>::const_iterator const spot = promises.find(name);
    bool const other = spot != promises.end() && !same(spot->second.accepted, best);
    send_accept(name, other || !found, out);
  }
}

void Proposer::send_accept(std::string const& to, bool whole, std::vector<Letter>& out) const {
  wire::AcceptT ask;
  ask.req = req;
  ask.ballot = ballot;
  if (whole) {
    ask.value = std::make_unique<wire::ValueT>(draft);
  } else {
    ask.base = best;
    ask.patch = patch_between(*found, draft);
  }
  out.push_back(letter(to, std::move(ask)));
}

bool Proposer::make_draft() {
  Job& job = jobs.front();
  draft = found ? *found : wire::ValueT();
  if (!found) put_membership(set, draft);  // the first set, which no keeper has written yet
  order_taken = false;
  step = Step::change;
  if (set.joint()) {
    // A joint set that was found is first made chosen, and settled only then.
    bool const agreed = joint_chosen == set.fingerprint() || !guard(Guard::settle_chosen);
    step = agreed ? Step::settle : Step::confirm_joint;
    if (!agreed) return true;
    draft.former.clear();
    ++draft.epoch;
    ++draft.turn;
    return true;
  }
  if (serial_of_order(draft, job.change.id) > 0) return true;
  // The value remembers a bounded number of orders. Where that memory no longer reaches back, nothing is certain.
  bool const by_label = job.change.label > 0;
  bool const forgotten = (job.sent_serial > 0 && job.sent_serial <= draft.forgotten_serial) ||
                         (job.change.sort == Change::Sort::apply &&
                          order_may_be_forgotten(draft, job.change.expected, job.change.expected, by_label));
  if (forgotten) {
    Outcome lost;
    lost.fault.kind = Kind::change_unknown;
    finish(lost);
    return false;
  }
  make_change(job.change);
  return true;
}

void Proposer::make_change(Change const& change) {
  bool turned = false;
  switch (change.sort) {
    case Change::Sort::read:
      break;
    case Change::Sort::apply:
      apply(change);
      break;
    case Change::Sort::empty:
    case Change::Sort::refill:
      change_zones(change);
      break;
    case Change::Sort::admit:
    case Change::Sort::dismiss:
    case Change::Sort::replace:
      turned = change_members(change);
      break;
    // §5.9: seats are no business of the operators' serial. Asking twice changes nothing more.
    case Change::Sort::seat:
      turned = take_seat(draft, change.seat);
      break;
    case Change::Sort::strike:
      turned = strike_seat(draft, change.seat);
      break;
  }
  Job& job = jobs.front();
  if (order_taken) {
    ++draft.serial;
    draft.change = change.id;
    remember_order(draft, change.id);
    job.sent_serial = draft.serial;
  }
  if (order_taken || turned) {
    ++draft.turn;
    job.sent = true;
  }
}

void Proposer::apply(Change const& change) {
  bool const by_label = change.label > 0;
  if (by_label && draft.label != change.expected && guard(Guard::expected)) {
    verdict = Fault{Kind::stale_serial, "the present label is " + std::to_string(draft.label), ""};
  } else if (by_label && change.label <= draft.label) {
    verdict = Fault{Kind::bad_description, "the label is not above " + std::to_string(draft.label), ""};
  } else if (!by_label && draft.serial != change.expected && guard(Guard::expected)) {
    verdict = Fault{Kind::stale_serial, "the present serial is " + std::to_string(draft.serial), ""};
  } else {
    draft.text = change.text;
    if (by_label) draft.label = change.label;
    order_taken = true;
  }
}

void Proposer::change_zones(Change const& change) {
  std::vector<std::string>& zones = draft.emptied;
  std::vector<std::string>::iterator const zone = std::find(zones.begin(), zones.end(), change.text);
  bool const there = zone != zones.end();
  if (change.sort == Change::Sort::empty && !there) {
    zones.push_back(change.text);
    order_taken = true;
  } else if (change.sort == Change::Sort::refill && there) {
    zones.erase(zone);
    order_taken = true;
  }
}

// Writes the joint set of a change of members; false when it does not fit the present set.
bool Proposer::change_members(Change const& change) {
  if (draft.epoch != change.expected || draft.keepers.empty()) return false;
  Membership next = membership_of(draft);
  bool const adds = change.sort != Change::Sort::dismiss;
  if (adds && next.holds(change.keeper.name, change.keeper.disk)) return false;
  next.former = next.keepers;
  if (change.sort != Change::Sort::admit) {
    wire::KeeperT const& leaving = adds ? change.leaving : change.keeper;
    std::vector<wire::KeeperT>::iterator const spot = std::find_if(
        next.keepers.begin(), next.keepers.end(),
        [&leaving](wire::KeeperT const& keeper) { return keeper.name == leaving.name && keeper.disk == leaving.disk; });
    if (spot == next.keepers.end() || (!adds && next.keepers.size() == 1)) return false;
    next.keepers.erase(spot);
  }
  if (adds) next.keepers.push_back(change.keeper);
  ++next.epoch;
  put_membership(next, draft);
  jobs.front().joint_written = next.fingerprint();
  return true;
}

void Proposer::accepted(std::string const& from, wire::AcceptedT const& ans, Micros now, std::vector<Letter>& out) {
  if (phase != Phase::second || ans.req != req) return;
  Membership const members = membership_of(draft);
  if (!members.concerns(from, ans.disk) && !set.concerns(from, ans.disk)) return;
  if (ans.need_value) return send_accept(from, true, out);
  if (!ans.ok) return again(now, ans.promised.n());
  accepts[from] = ans.disk;
  if (members.quorum(accepts)) chosen(now, out);
}

// The draft is chosen. A joint set is settled before anything else; then the change that was asked has its turn.
void Proposer::chosen(Micros now, std::vector<Letter>& out) {
  held_ballot = ballot;
  held = draft;
  set = membership_of(draft);
  known = set.epoch > known.epoch ? set : known;
  if (set.joint()) {
    joint_chosen = set.fingerprint();
    return start(now, out);
  }
  bool const taken = serial_of_order(draft, jobs.front().change.id) > 0;
  bool const members_changed = step == Step::settle && joint_chosen != 0 && jobs.front().joint_written == joint_chosen;
  if (step == Step::settle && !taken && !members_changed) return start(now, out);
  Outcome outcome;
  outcome.value = draft;
  if (verdict) {
    outcome.sort = Outcome::Sort::refused;
    outcome.fault = *verdict;
  } else {
    outcome.serial = serial_of_order(draft, jobs.front().change.id);
    outcome.sort = outcome.serial > 0 || members_changed ? Outcome::Sort::chosen : Outcome::Sort::kept;
  }
  finish(outcome);
}

void Proposer::take(std::string const& from, wire::BodyUnion const& body, Micros now, std::vector<Letter>& out) {
  if (wire::PromiseT const* const ans = body.AsPromise()) promise(from, *ans, now, out);
  if (wire::AcceptedT const* const ans = body.AsAccepted()) accepted(from, *ans, now, out);
}

void Proposer::give_up_unsent() {
  Outcome refused;
  refused.sort = Outcome::Sort::refused;
  refused.fault.kind = Kind::no_majority;
  std::deque<Job> kept;
  std::vector<Job> given_up;
  for (Job& job : jobs) {
    if (job.sent)
      kept.push_back(std::move(job));
    else
      given_up.push_back(std::move(job));
  }
  jobs = std::move(kept);
  if (given_up.empty()) return;
  phase = Phase::idle;
  for (Job& job : given_up) job.done(refused);
}

void Proposer::tick(Micros now, std::vector<Letter>& out) {
  while (!jobs.empty()) {
    Job& job = jobs.front();
    if (now >= job.due) {
      Outcome outcome;
      outcome.sort = job.sent ? Outcome::Sort::unknown : Outcome::Sort::refused;
      outcome.fault.kind = job.sent ? Kind::change_unknown : Kind::no_majority;
      finish(outcome);
      continue;
    }
    if (phase == Phase::idle) {
      if (set.empty()) return;
      start(now, out);
    } else if (phase == Phase::pause) {
      if (now >= due && !set.empty()) start(now, out);
    } else if (now >= due) {
      // A set that was only found may be one that nobody can complete: the next try begins with the chosen one.
      set = known.empty() ? suggested : known;
      held.reset();
      held_ballot = wire::Ballot(0, 0);
      again(now, 0);
    }
    return;
  }
}

}  // namespace pipit
