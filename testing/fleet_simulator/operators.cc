// Operators of a world: what they ask, and what they are told (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "consensus/register/router_registrations.h"
#include "routing/index/path.h"

namespace pipit {

World::Box* World::pick(std::function<bool(Box const&)> const& fits) {
  std::vector<Box*> field;
  for (std::pair<std::string const, std::unique_ptr<Box>>& item : boxes)
    if (item.second->up() && fits(*item.second)) field.push_back(item.second.get());
  return field.empty() ? nullptr : field[random.below(field.size())];
}

void World::operate(Change::Type type, std::string const& text, std::uint64_t expected, Box& box) {
  std::uint64_t const id = ++change_count;
  std::unique_ptr<Change_> made = std::make_unique<Change_>();
  made->type = type;
  made->text = text;
  made->expected = expected;
  made->from = now;
  made->floor = yes_serial;
  made->box = box.name;
  changes[id] = std::move(made);
  if (type == Change::Type::refill)
    for (DrainedZones& zone : drained_zones[text])
      if (zone.to < 0) zone.to = now;
  enter(box, box.process_id, [this, id, type, text, expected](Box& b, Micros t, NodeEffects& out) {
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

void World::answered(Box& box, ChangeReply const& reply) {
  std::map<std::uint64_t, std::unique_ptr<Change_>>::iterator const position = changes.find(reply.id);
  if (position == changes.end() || position->second->over) return;
  Change_& change = *position->second;
  change.over = true;
  change.answered = now;
  Outcome const& outcome = reply.outcome;
  note(reply.change_id + " answered " + std::to_string(static_cast<int>(outcome.type)));
  bool const holds = outcome.type == Outcome::Type::chosen || outcome.type == Outcome::Type::unchanged;
  if (outcome.type == Outcome::Type::refused) {
    refused_changes.insert(reply.change_id);
    for (std::pair<std::uint64_t const, std::string> const& seen : serial_change)
      if (seen.second == reply.change_id)
        fault("N8 the refused change " + reply.change_id + " was in force before its refusal");
  }
  if (!holds) return;
  std::uint64_t const serial = outcome.value.serial;
  std::uint64_t const own = outcome.serial;
  // Whatever is read or chosen is not older than what was accepted before it was asked for.
  if (serial < change.floor)
    fault("N9 " + reply.change_id + " saw serial " + std::to_string(serial) + " after " + std::to_string(change.floor) +
          " was accepted");
  std::map<std::uint64_t, std::string>::const_iterator const seen = serial_change.find(serial);
  if (seen != serial_change.end() && seen->second != outcome.value.change)
    fault("N8 serial " + std::to_string(serial) + " is " + seen->second + " and " + outcome.value.change);
  serial_change[serial] = outcome.value.change;
  if (change.type == Change::Type::read) {
    ++end.reads;
    std::map<std::uint64_t, std::pair<Micros, std::string>>::iterator last = yes.upper_bound(serial);
    // The text is that of the last accepted apply, unless an apply of unknown outcome came after it.
    if (last != yes.begin()) {
      --last;
      if (last->first == serial && outcome.value.text != last->second.second)
        fault("N9 what is read differs from what was accepted");
    }
    return;
  }
  if (outcome.type == Outcome::Type::chosen) {
    ++end.accepted;
    yes_serial = std::max(yes_serial, own);
    due_force[own] = now;
    if (change.type == Change::Type::apply) {
      if (yes.count(own)) fault("N8 two rivals were told yes for serial " + std::to_string(own));
      if (own != change.expected + 1) fault("N8 a change was accepted against the wrong serial");
      yes[own] = {now, change.text};
    }
  }
  if (closing && outcome.type == Outcome::Type::chosen) {
    closing = false;
    for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
      if (item.second->role == MemberRole::config_store && item.second->up()) {
        std::string const name = item.first;
        after(1, [this, name] { halt(*boxes[name], true); });
        after(lag(millis(300), seconds(2)), [this, name] { boot(*boxes[name]); });
      }
  }
  if (change.type == Change::Type::empty && quiet) {
    end.drained_zones = true;
    end.unconfirmed = reply.unconfirmed;
  }
  if (change.type == Change::Type::empty && reply.unconfirmed.empty()) {
    // Not when a refill was under way: it may have come after. One of unknown outcome may still come.
    bool undone = false;
    for (std::pair<std::uint64_t const, std::unique_ptr<Change_>> const& other : changes)
      if (other.second->type == Change::Type::refill && other.second->text == change.text &&
          (other.second->answered < 0 || other.second->answered >= change.from))
        undone = true;
    if (!undone) drained_zones[change.text].push_back(DrainedZones{now, -1});
  }
}

void World::operator_turn() {
  if (quiet) return;
  Box* const box = pick_up();
  if (box != nullptr) {
    std::uint64_t const r = random.below(10);
    std::string const& zone = plan.shape->zones[random.below(plan.shape->zones.size())];
    bool any_empty = false;
    for (std::pair<std::string const, std::vector<DrainedZones>> const& item : drained_zones)
      for (DrainedZones const& e : item.second) any_empty = any_empty || e.to < 0;
    // One zone at a time: with every zone drained there is rightly no service.
    std::set<std::string> const& seen = box->node->chat_dispatcher.drained_zones();
    bool asked = false;
    for (std::pair<std::uint64_t const, std::unique_ptr<Change_>> const& item : changes)
      asked = asked || (item.second->type == Change::Type::empty && now - item.second->from < seconds(5));
    if (r < 4)
      operate(Change::Type::apply, description_of(*plan.shape, ++turn), yes_serial, *box);
    else if (r < 6)
      operate(Change::Type::read, "", 0, *box);
    else if (r < 8 && !any_empty && !asked && seen.empty())
      operate(Change::Type::empty, zone, 0, *box);
    else if (!seen.empty())
      operate(Change::Type::refill, std::string(*seen.begin()), 0, *box);
    else
      for (std::pair<std::string const, std::vector<DrainedZones>> const& item : drained_zones)
        if (!item.second.empty() && item.second.back().to < 0) {
          operate(Change::Type::refill, item.first, 0, *box);
          break;
        }
  }
  after(lag(millis(300), millis(2200)), [this] { operator_turn(); });
}

}  // namespace pipit
