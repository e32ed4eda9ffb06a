// The kinds of trouble, each brought about by a seed (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "routing/index/path.h"

namespace pipit {

void World::full_loss() {
  lost_at = -1;
  back_at = -1;
  bool const power = random.chance(0.5);
  for (std::pair<std::string const, std::unique_ptr<Box>>& item : boxes) halt(*item.second, power);
  heal();
  list_up();
  after(millis(800), [this] {
    lost_at = now;
    for (std::pair<std::string const, std::unique_ptr<Box>>& item : boxes) boot(*item.second);
    Micros const from = now;
    after(seconds(12), [this, from] {
      if (lost_at != from) return;
      if (back_at < 0 && !log_is_muted())
        for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
          if (item.second->up() && item.second->role == Role::router)
            for (std::pair<std::string const, Worker> const& w : item.second->node->fleet.workers)
              std::printf("%s knows %s incarnation %llu standing %d dark %d doubted %d zone %s\n", item.first.c_str(),
                          w.first.c_str(), static_cast<unsigned long long>(w.second.row.incarnation),
                          static_cast<int>(w.second.standing), w.second.unhealthy, w.second.suspected,
                          w.second.row.zone.c_str());
      if (back_at < 0)
        fault("N12 service was not back twelve seconds after a full loss");
      else
        end.margins.back = std::max(end.margins.back, back_at - from);
    });
  });
}

// What is marked while nobody can read the list is known to nobody: such a mark counts from when it can be read.
void World::list_up() {
  if (!list_down) return;
  list_down = false;
  for (std::pair<std::string const, std::map<std::uint64_t, Micros>>& worker : marks)
    for (std::pair<std::uint64_t const, Micros>& mark : worker.second)
      if (mark.second >= list_down_from - millis(1500)) mark.second = now;
}

void World::trouble() {
  if (quiet) return;
  std::vector<std::string> const all = plan.only.empty() ? troubles() : plan.only;
  std::string const type = all[random.below(all.size())];
  ++end.troubles;
  ++end.kinds[type];
  note("trouble " + type);
  if (!log_is_muted()) std::printf("default] %lld TROUBLE %s\n", static_cast<long long>(now / 1000), type.c_str());
  Micros const span = lag(millis(500), millis(6000));
  bool const loss_under_way = lost_at >= 0 && now - lost_at < seconds(12);
  std::vector<std::string> names;
  for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes) names.push_back(item.first);
  Box* const box = pick_up();
  std::vector<Hand*> field;
  for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands)
    if (item.second->life != 0 && item.second->state == "serving") field.push_back(item.second.get());
  Hand* const hand = field.size() < 6 ? nullptr : field[random.below(field.size())];
  if (box == nullptr || loss_under_way) {
    // What service after a full loss is worth is judged without more trouble on top.
  } else if (type == "kill" || type == "power") {
    std::string const name = box->name;
    halt(*box, type == "power");
    after(span, [this, name] { boot(*boxes[name]); });
  } else if (type == "freeze") {
    freeze(*box, span);
  } else if (type == "cut") {
    bool const one_way = random.chance(0.3);
    bool const outside = random.chance(0.5);
    for (std::string const& name : names) {
      if (name == box->name) continue;
      set_cut(box->name, name, true);
      if (!one_way) set_cut(name, box->name, true);
    }
    if (outside) set_cut(box->name, "list", true);
    after(lag(millis(500), seconds(9)), [this] { heal(); });
  } else if (type == "split" || type == "keepers") {
    std::set<std::string> side;
    for (std::string const& name : names)
      if (type == "keepers" ? name[0] == 'k' : random.chance(0.5)) side.insert(name);
    bool const each = type == "keepers" && random.chance(0.5);
    for (std::string const& a : names)
      for (std::string const& b : names)
        if (a != b && (side.count(a) != side.count(b) || (each && side.count(a) && side.count(b)))) set_cut(a, b, true);
    after(span, [this] { heal(); });
  } else if (type == "blank") {
    // One lost disk at a time: the next only once the set has taken the last one in.
    std::size_t whole = 0;
    Box* replica = pick([](Box const& b) { return b.role == Role::config_store; });
    if (replica != nullptr && cuts.empty()) {
      Membership const& members = replica->node->learner.membership();
      for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
        if (item.second->role == Role::config_store && item.second->up() && item.second->disk &&
            members.holds(item.first, item.second->disk->disk))
          ++whole;
      if (whole == static_cast<std::size_t>(plan.shape->replicas) && members.replicas.size() == whole) {
        halt(*replica, random.chance(0.5));
        replica->disk.reset();
        replica->writing.reset();
        replica->address = "10.0.5." + std::to_string(++moved) + ":7000";
        std::string const name = replica->name;
        after(span, [this, name] { boot(*boxes[name]); });
      }
    }
  } else if (type == "exchange") {
    Box* const old = pick([](Box const& b) { return b.role == Role::router; });
    if (old != nullptr && boxes.size() < 40) {
      std::string const zone = old->zone;
      bool const same_address = random.chance(0.3);
      std::string const address = same_address ? old->address : "10.0.6." + std::to_string(++moved) + ":7000";
      bool const power = random.chance(0.3);
      halt(*old, power);
      ++end.exchanges;
      if (power) silent.push_back(old->name);
      if (same_address) old->address = "10.0.7." + std::to_string(++moved) + ":7000";
      std::string const name = "px" + std::to_string(++moved);
      boot(add(name, address, zone, Role::router));
    }
  } else if (type == "slow") {
    Box* const replica = pick([](Box const& b) { return b.role == Role::config_store; });
    if (replica != nullptr) {
      bool const stall = random.chance(0.3);
      replica->disk_low = stall ? seconds(4) : millis(100);
      replica->disk_high = stall ? seconds(8) : millis(700);
      std::string const name = replica->name;
      after(span, [this, name] {
        boxes[name]->disk_low = 500;
        boxes[name]->disk_high = 6000;
      });
    }
  } else if (type == "hand" && hand != nullptr) {
    // A worker crashes and comes back within moments or later, as its next life.
    hand_down(*hand);
    std::string const id = hand->row.id;
    after(random.chance(0.5) ? lag(millis(20), millis(300)) : span, [this, id] {
      Hand& item = *hands[id];
      if (item.life != 0) return;
      ++item.row.incarnation;
      item.state = "serving";
      write_list();
      hand_up(item);
    });
  } else if (type == "dark" && hand != nullptr) {
    hand->frozen = true;
    std::string const id = hand->row.id;
    std::uint64_t const life = hand->life;
    after(span, [this, id, life] {
      if (hands[id]->life == life) hands[id]->frozen = false;
    });
  } else if (type == "release") {
    // Workers are replaced one after another.
    Micros wait = 0;
    for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands) {
      if (random.chance(0.6)) continue;
      std::string const id = item.first;
      wait += lag(millis(300), millis(1500));
      after(wait, [this, id] {
        Hand& h = *hands[id];
        if (quiet || h.life == 0) return;
        hand_down(h);
        after(lag(millis(20), millis(600)), [this, id] {
          Hand& next = *hands[id];
          if (next.life != 0) return;
          ++next.row.incarnation;
          next.state = "serving";
          write_list();
          hand_up(next);
        });
      });
    }
  } else if (type == "leave" && hand != nullptr) {
    hand->state = random.chance(0.5) ? "leaving" : "gone";
    marks[hand->row.id][hand->row.incarnation] = now;
    write_list();
    std::string const id = hand->row.id;
    after(span + seconds(4), [this, id] {
      Hand& item = *hands[id];
      ++item.row.incarnation;
      item.state = "serving";
      write_list();
      hand_down(item);
      hand_up(item);
    });
  } else if (type == "list" && !list_down) {
    list_down = true;
    list_silent = random.chance(0.5);
    list_down_from = now;
    after(span, [this] { list_up(); });
  } else if (type == "race") {
    for (int i = 0; i < 2 + static_cast<int>(random.below(3)); ++i)
      if (Box* const at_box = pick_up())
        operate(Change::Type::apply, description_of(*plan.shape, ++turn), yes_serial, *at_box);
  } else if (type == "storm") {
    for (int i = 0; i < 20; ++i)
      after(lag(1, millis(800)), [this] {
        if (Box* const at_box = pick_up())
          operate(Change::Type::apply, description_of(*plan.shape, ++turn), yes_serial, *at_box);
      });
  } else if (type == "large") {
    operate(Change::Type::apply, description_of(*plan.shape, ++turn) + std::string(300000, ' '), yes_serial, *box);
  } else if (type == "loss") {
    full_loss();
  } else if (type == "group") {
    // Router nodes that hear one another and reach the workers, but neither the list nor any other node.
    std::set<std::string> side;
    std::size_t const size = 2 + random.below(2);
    for (int i = 0; i < 10 && side.size() < size; ++i)
      if (Box* const one = pick([](Box const& b) { return b.role == Role::router; })) side.insert(one->name);
    for (std::string const& a : side) {
      for (std::string const& b : names)
        if (!side.count(b)) set_cut(a, b, true), set_cut(b, a, true);
      set_cut(a, "list", true);
    }
    after(lag(seconds(2), seconds(11)), [this] { heal(); });
  } else if (type == "stray") {
    // One router node is cut off and goes on serving, while all others end and return; then a zone is drained.
    Box* const one = pick([](Box const& b) { return b.role == Role::router; });
    if (one != nullptr && cuts.empty()) {
      std::string const stray = one->name;
      for (std::string const& name : names) {
        if (name == stray) continue;
        set_cut(stray, name, true);
        set_cut(name, stray, true);
        halt(*boxes[name], false);
        bool const gone = boxes[name]->address.rfind("10.0.7.", 0) == 0;
        if (!gone) after(lag(millis(200), millis(600)), [this, name] { boot(*boxes[name]); });
      }
      after(seconds(5), [this, stray] {
        Box* const at_box = pick([&stray](Box const& b) { return b.name != stray && b.node->ready(); });
        if (at_box != nullptr && !quiet && at_box->node->chat_dispatcher.drained_zones().empty())
          operate(Change::Type::empty, plan.shape->zones[random.below(plan.shape->zones.size())], 0, *at_box);
      });
      after(seconds(14), [this] { heal(); });
    }
  } else if (type == "amnesia") {
    // A change is chosen while one replica is cut off; then one that took it loses its disk, another its power, and the
    // one that was cut off is back: whoever counted the blank one would go on from the older value.
    Membership const& members = box->node->learner.membership();
    std::vector<std::string> whole;
    for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
      if (item.second->role == Role::config_store && item.second->up() && item.second->disk &&
          members.holds(item.first, item.second->disk->disk))
        whole.push_back(item.first);
    if (cuts.empty() && box->role == Role::router && whole.size() == static_cast<std::size_t>(plan.shape->replicas)) {
      for (std::string const& name : names)
        if (name != whole[2]) set_cut(name, whole[2], true), set_cut(whole[2], name, true);
      operate(Change::Type::apply, description_of(*plan.shape, ++turn), yes_serial, *box);
      after(millis(400), [this, whole] {
        halt(*boxes[whole[0]], true);
        boxes[whole[0]]->disk.reset();
        boxes[whole[0]]->writing.reset();
        halt(*boxes[whole[1]], true);
        heal();
        boot(*boxes[whole[0]]);
      });
      after(seconds(3), [this] {
        if (Box* const at_box = pick_up()) operate(Change::Type::read, "", 0, *at_box);
        if (Box* const at_box = pick_up())
          operate(Change::Type::apply, description_of(*plan.shape, ++turn), yes_serial, *at_box);
      });
      after(seconds(7), [this, whole] { boot(*boxes[whole[1]]); });
    }
  } else if (type == "drain") {
    std::string const name = box->name;
    std::uint64_t const life = box->life;
    enter(*box, life, [](Box& b, Micros t, NodeEffects& out) { b.node->drain(t, out); });
    after(seconds(4), [this, name, life] {
      if (boxes[name]->life == life) halt(*boxes[name], false);
      boot(*boxes[name]);
    });
  } else if (type == "closing") {
    // Right after a yes: the node that said it loses its power, and one replica with it.
    closing = random.chance(0.6);
    operate(Change::Type::apply, description_of(*plan.shape, ++turn), yes_serial, *box);
    std::string const name = box->name;
    if (!closing)
      after(lag(millis(10), millis(60)), [this, name] {
        halt(*boxes[name], true);
        if (Box* const replica = pick([](Box const& b) { return b.role == Role::config_store; })) {
          std::string const other = replica->name;
          halt(*replica, true);
          after(lag(millis(500), seconds(3)), [this, other] { boot(*boxes[other]); });
        }
        after(lag(millis(500), seconds(3)), [this, name] { boot(*boxes[name]); });
      });
  } else if (type == "refuse") {
    // Every worker says for a while that it does not run what it gets.
    for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands) item.second->refusing = true;
    after(span, [this] {
      for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands) item.second->refusing = false;
    });
  } else if (type == "crowd") {
    for (int i = 0; i < 200; ++i) after(lag(1, millis(1000)), [this] { call(); });
  }
  after(lag(millis(400), millis(3500)), [this] { trouble(); });
}

}  // namespace pipit
