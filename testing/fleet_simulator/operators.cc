// Simulated operators: submission of changes and checks of their results (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "consensus/register/router_registrations.h"
#include "routing/index/path.h"

namespace pipit {

World::Machine* World::pick_running(std::function<bool(Machine const&)> const& fits) {
  std::vector<Machine*> candidates;
  for (std::pair<std::string const, std::unique_ptr<Machine>>& item : machines)
    if (item.second->up() && fits(*item.second)) candidates.push_back(item.second.get());
  return candidates.empty() ? nullptr : candidates[random.below(candidates.size())];
}

void World::submit_operator_change(Change::Type type, std::string const& text, std::uint64_t expected,
                                   Machine& machine) {
  std::uint64_t const id = ++change_count;
  std::unique_ptr<PendingChange> pending = std::make_unique<PendingChange>();
  pending->type = type;
  pending->text = text;
  pending->expected = expected;
  pending->from = now;
  pending->floor = accepted_serial;
  pending->machine = machine.name;
  changes[id] = std::move(pending);
  if (type == Change::Type::refill)
    for (DrainInterval& zone : drained_zones[text])
      if (zone.to < 0) zone.to = now;
  run_step(machine, machine.process_id, [this, id, type, text, expected](Machine& b, Micros t, NodeEffects& out) {
    Change change;
    if (type == Change::Type::evict_router) {
      if (b.node->eviction_refusal(text)) return;
      change.registration = *registration_of(*b.node->learner.value, text);
    }
    change.type = type;
    change.text = text;
    change.expected = expected;
    change.id = "c" + std::to_string(id);
    b.node->submit_change(id, change, t, out);
  });
}

void World::handle_change_reply(Machine& machine, ChangeReply const& reply) {
  std::map<std::uint64_t, std::unique_ptr<PendingChange>>::iterator const position = changes.find(reply.id);
  if (position == changes.end() || position->second->finished) return;
  PendingChange& change = *position->second;
  change.finished = true;
  change.answered = now;
  Outcome const& outcome = reply.outcome;
  add_to_hash(reply.change_id + " answered " + std::to_string(static_cast<int>(outcome.type)));
  bool const succeeded = outcome.type == Outcome::Type::chosen || outcome.type == Outcome::Type::unchanged;
  if (outcome.type == Outcome::Type::refused) {
    refused_changes.insert(reply.change_id);
    for (std::pair<std::uint64_t const, std::string> const& seen : serial_change)
      if (seen.second == reply.change_id)
        record_violation("N8 the refused change " + reply.change_id + " was in force before its refusal");
  }
  if (!succeeded) return;
  std::uint64_t const serial = outcome.value.serial;
  std::uint64_t const own = outcome.serial;
  // A value that is read or chosen is not older than a change accepted before this one was submitted.
  if (serial < change.floor)
    record_violation("N9 " + reply.change_id + " saw serial " + std::to_string(serial) + " after " +
                     std::to_string(change.floor) + " was accepted");
  std::map<std::uint64_t, std::string>::const_iterator const seen = serial_change.find(serial);
  if (seen != serial_change.end() && seen->second != outcome.value.change)
    record_violation("N8 serial " + std::to_string(serial) + " is " + seen->second + " and " + outcome.value.change);
  serial_change[serial] = outcome.value.change;
  if (change.type == Change::Type::read) {
    ++end.reads;
    std::map<std::uint64_t, std::pair<Micros, std::string>>::iterator last = accepted_applies.upper_bound(serial);
    // The text is that of the last accepted apply, unless a later apply has an unknown outcome.
    if (last != accepted_applies.begin()) {
      --last;
      if (last->first == serial && outcome.value.text != last->second.second)
        record_violation("N9 the text that was read differs from the accepted text");
    }
    return;
  }
  if (outcome.type == Outcome::Type::chosen) {
    ++end.accepted;
    accepted_serial = std::max(accepted_serial, own);
    awaiting_force[own] = now;
    if (change.type == Change::Type::apply) {
      if (accepted_applies.count(own))
        record_violation("N8 two competing changes were accepted for serial " + std::to_string(own));
      if (own != change.expected + 1) record_violation("N8 a change was accepted against the wrong serial");
      accepted_applies[own] = {now, change.text};
    }
  }
  if (power_cut_after_accept && outcome.type == Outcome::Type::chosen) {
    power_cut_after_accept = false;
    for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines)
      if (item.second->role == MemberRole::config_store && item.second->up()) {
        std::string const name = item.first;
        after(1, [this, name] { stop_machine(*machines[name], true); });
        after(random_delay(millis(300), seconds(2)), [this, name] { start_machine(*machines[name]); });
      }
  }
  if (change.type == Change::Type::empty && quiet) {
    end.drained_zones = true;
    end.unconfirmed = reply.unconfirmed;
  }
  if (change.type == Change::Type::empty && reply.unconfirmed.empty()) {
    // The zone doesn't count as drained if a refill of it was in flight, since that may be chosen after the drain.
    // A refill of unknown outcome may still be chosen.
    bool refill_may_follow = false;
    for (std::pair<std::uint64_t const, std::unique_ptr<PendingChange>> const& other : changes)
      if (other.second->type == Change::Type::refill && other.second->text == change.text &&
          (other.second->answered < 0 || other.second->answered >= change.from))
        refill_may_follow = true;
    if (!refill_may_follow) drained_zones[change.text].push_back(DrainInterval{now, -1});
  }
}

void World::operator_turn() {
  if (quiet) return;
  Machine* const machine = pick_any_running();
  if (machine != nullptr) {
    std::uint64_t const r = random.below(10);
    std::string const& zone = plan.shape->zones[random.below(plan.shape->zones.size())];
    bool any_empty = false;
    for (std::pair<std::string const, std::vector<DrainInterval>> const& item : drained_zones)
      for (DrainInterval const& e : item.second) any_empty = any_empty || e.to < 0;
    // Only one zone is drained at a time: with every zone drained, requests are rightly refused.
    std::set<std::string> const& seen = machine->node->chat_dispatcher.drained_zones();
    bool asked = false;
    for (std::pair<std::uint64_t const, std::unique_ptr<PendingChange>> const& item : changes)
      asked = asked || (item.second->type == Change::Type::empty && now - item.second->from < seconds(5));
    if (r < 4)
      submit_operator_change(Change::Type::apply, description_of(*plan.shape, ++description_version), accepted_serial,
                             *machine);
    else if (r < 6)
      submit_operator_change(Change::Type::read, "", 0, *machine);
    else if (r < 8 && !any_empty && !asked && seen.empty())
      submit_operator_change(Change::Type::empty, zone, 0, *machine);
    else if (!seen.empty())
      submit_operator_change(Change::Type::refill, std::string(*seen.begin()), 0, *machine);
    else
      for (std::pair<std::string const, std::vector<DrainInterval>> const& item : drained_zones)
        if (!item.second.empty() && item.second.back().to < 0) {
          submit_operator_change(Change::Type::refill, item.first, 0, *machine);
          break;
        }
  }
  after(random_delay(millis(300), millis(2200)), [this] { operator_turn(); });
}

}  // namespace pipit
