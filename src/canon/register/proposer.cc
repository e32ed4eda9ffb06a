#include "canon/register/proposer.h"

#include <algorithm>
#include "ground/guards.h"

namespace pipit {

bool Ring::holds(std::string const& name, std::uint64_t disk) const {
  for (wire::KeeperT const& item : keepers)
    if (item.name == name && (item.disk == disk || !guard(Guard::disk_id))) return true;
  return false;
}

Ring ring_of(wire::ValueT const& value) {
  Ring out;
  out.epoch = value.epoch;
  for (std::unique_ptr<wire::KeeperT> const& item : value.keepers) out.keepers.push_back(*item);
  return out;
}

wire::SeatT const* seat_of(wire::ValueT const& value, std::string const& name) {
  for (std::unique_ptr<wire::SeatT> const& item : value.seats)
    if (item->name == name) return item.get();
  return nullptr;
}

namespace {
constexpr std::size_t struck_most = 256;

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
    : self(std::move(self_)), plan(plan_), dice(seed ^ mix(self)), req(stir(seed ^ mix(self)) >> 8) {}

bool Proposer::ask(Change change, Done done, Micros now) {
  if (jobs.size() >= plan.backlog) return false;
  jobs.push_back(Job{std::move(change), std::move(done), now + plan.whole, false, 0});
  return true;
}

void Proposer::know(Ring const& ring) {
  if (ring.epoch <= set.epoch) return;
  set = ring;
  if (phase == Phase::first) phase = Phase::pause;  // round one begins anew with the newer set
}

std::uint64_t Proposer::serial_of(wire::ValueT const& value, std::string const& id) {
  if (value.change == id) return value.serial;
  for (std::unique_ptr<wire::MarkT> const& mark : value.past)
    if (mark->change == id) return mark->serial;
  return 0;
}

void Proposer::start(Micros now, std::vector<Letter>& out) {
  Job& job = jobs.front();
  ++job.tries;
  ballot = wire::Ballot(++top, mix(self));
  ++req;
  yes.clear();
  best = wire::Ballot(0, 0);
  found.reset();
  verdict.reset();
  phase = Phase::first;
  due = now + plan.phase;
  for (wire::KeeperT const& keeper : set.keepers) {
    wire::PrepareT ask;
    ask.req = req;
    ask.ballot = ballot;
    ask.epoch = set.epoch;
    out.push_back(letter(keeper.name, std::move(ask)));
  }
}

void Proposer::again(Micros now, std::uint64_t seen) {
  top = std::max(top, seen);
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

void Proposer::accept(Micros now, std::vector<Letter>& out) {
  Job& job = jobs.front();
  Change const& change = job.change;
  draft = found ? *found : wire::ValueT();
  draft_new = false;
  bool const mine = serial_of(draft, change.id) > 0;
  bool const seats = change.sort == Change::Sort::seat || change.sort == Change::Sort::strike;
  bool seats_new = false;
  // The value remembers its last changes only. Where that memory no longer reaches back, nothing is certain.
  if (!mine && !seats && job.sent && !draft.past.empty() && draft.past.front()->serial > job.sent_serial) {
    Outcome lost;
    lost.fault.kind = Kind::change_unknown;
    finish(lost);
    return;
  }
  std::vector<std::string>& zones = draft.emptied;
  std::vector<std::string>::iterator const zone = std::find(zones.begin(), zones.end(), change.text);
  if (!mine) {
    switch (change.sort) {
      case Change::Sort::read:
        break;
      case Change::Sort::apply:
        if (change.label > 0 && draft.label != change.expected && guard(Guard::expected)) {
          verdict = Fault{Kind::stale_serial, "the present label is " + std::to_string(draft.label), ""};
        } else if (change.label > 0 && change.label <= draft.label) {
          verdict = Fault{Kind::bad_description, "the label is not above " + std::to_string(draft.label), ""};
        } else if (change.label == 0 && draft.serial != change.expected && guard(Guard::expected)) {
          verdict = Fault{Kind::stale_serial, "the present serial is " + std::to_string(draft.serial), ""};
        } else {
          draft.text = change.text;
          if (change.label > 0) draft.label = change.label;
          draft_new = true;
        }
        break;
      case Change::Sort::empty:
        if (zone == zones.end()) {
          zones.push_back(change.text);
          draft_new = true;
        }
        break;
      case Change::Sort::refill:
        if (zone != zones.end()) {
          zones.erase(zone);
          draft_new = true;
        }
        break;
      case Change::Sort::admit:
        if (!ring_of(draft).holds(change.keeper.name, change.keeper.disk) && draft.epoch == change.expected) {
          draft.keepers.push_back(std::make_unique<wire::KeeperT>(change.keeper));
          ++draft.epoch;
          draft_new = true;
        }
        break;
      case Change::Sort::dismiss:
        if (draft.keepers.size() > 1 && draft.epoch == change.expected)
          for (std::size_t i = 0; i < draft.keepers.size(); ++i)
            if (draft.keepers[i]->name == change.keeper.name && draft.keepers[i]->disk == change.keeper.disk) {
              draft.keepers.erase(draft.keepers.begin() + static_cast<std::ptrdiff_t>(i));
              ++draft.epoch;
              draft_new = true;
              break;
            }
        break;
      // §5.9: seats are no business of the operators' serial. Asking twice changes nothing more.
      case Change::Sort::seat:
        seats_new = take_seat(draft, change.seat);
        break;
      case Change::Sort::strike:
        seats_new = strike_seat(draft, change.seat);
        break;
    }
    if (draft_new || seats_new) ++draft.turn;
    if (draft_new) {
      if (!draft.change.empty()) {
        std::unique_ptr<wire::MarkT> mark = std::make_unique<wire::MarkT>();
        mark->serial = draft.serial;
        mark->change = draft.change;
        draft.past.push_back(std::move(mark));
        if (draft.past.size() > 64) draft.past.erase(draft.past.begin());
      }
      ++draft.serial;
      draft.change = change.id;
    }
  }
  if (draft_new || seats_new) job.sent = true;
  if (draft_new) {
    job.sent_serial = draft.serial;
  }
  yes.clear();
  phase = Phase::second;
  due = now + plan.phase;
  for (wire::KeeperT const& keeper : set.keepers) {
    wire::AcceptT ask;
    ask.req = req;
    ask.ballot = ballot;
    ask.value = std::make_unique<wire::ValueT>(draft);
    out.push_back(letter(keeper.name, std::move(ask)));
  }
}

void Proposer::take(std::string const& from, wire::BodyUnion const& body, Micros now, std::vector<Letter>& out) {
  if (wire::PromiseT const* const ans = body.AsPromise()) {
    if (phase != Phase::first || ans->req != req || !set.holds(from, ans->disk)) return;
    if (!ans->ok) {
      again(now, ans->promised.n());
      return;
    }
    yes.insert(from);
    if (ans->value && (!found || best < ans->accepted)) {
      best = ans->accepted;
      found = *ans->value;
    }
    if (yes.size() < set.majority()) return;
    if (found && found->epoch > set.epoch) {
      // §5.4: a newer set shows itself; round one is begun again with it.
      set = ring_of(*found);
      again(now, 0);
      return;
    }
    accept(now, out);
    return;
  }
  if (wire::AcceptedT const* const ans = body.AsAccepted()) {
    if (phase != Phase::second || ans->req != req || !set.holds(from, ans->disk)) return;
    if (!ans->ok) {
      again(now, ans->promised.n());
      return;
    }
    yes.insert(from);
    if (yes.size() < set.majority()) return;
    Outcome outcome;
    outcome.value = draft;
    if (draft.epoch > set.epoch) set = ring_of(draft);
    if (verdict) {
      outcome.sort = Outcome::Sort::refused;
      outcome.fault = *verdict;
    } else {
      outcome.serial = serial_of(draft, jobs.front().change.id);
      outcome.sort = outcome.serial > 0 ? Outcome::Sort::chosen : Outcome::Sort::kept;
    }
    finish(outcome);
  }
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
      if (set.keepers.empty()) return;
      start(now, out);
    } else if (phase == Phase::pause) {
      if (now >= due && !set.keepers.empty()) start(now, out);
    } else if (now >= due) {
      again(now, 0);
    }
    return;
  }
}

}  // namespace pipit
