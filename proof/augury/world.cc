#include "proof/augury/world.h"

#include <algorithm>
#include <cstdio>

#include "flow/index/path.h"
#include "ground/events.h"

namespace pipit {

struct World::Box {
  std::string name, address, zone;
  std::vector<std::string> seeds;
  std::string seeded_at;
  Role role = Role::passage;
  std::unique_ptr<Node> node;
  std::uint64_t life = 0;
  bool frozen = false;
  bool power = false;  // ended without a word on the wire
  std::vector<std::function<void()>> deferred;
  double rate = 1.0;
  Micros offset = 0;
  std::optional<wire::RecordT> disk;
  std::optional<wire::RecordT> writing;
  Micros disk_low = 500, disk_high = 6000;
  std::map<WireId, std::pair<std::shared_ptr<Link>, int>> wires;
  WireId next_wire = 0;
  std::map<std::uint64_t, std::uint64_t> errands;  // errand to wish
  std::map<std::uint64_t, int> legs;               // errand to the leg that runs
  std::map<std::uint64_t, int> begun;              // errand to the leg whose answer began
  std::uint64_t next_errand = 0;
  std::uint64_t serial = 0;
  Micros troubled = -seconds(60);  // when it was last cut, frozen, ended or started
  Tally banked;
  bool up() const { return node != nullptr; }
};

struct World::Link {
  std::uint64_t id = 0;
  std::string name[2];
  std::uint64_t life[2] = {0, 0};
  WireId wire[2] = {0, 0};
  bool open = true;
  Micros last[2] = {0, 0};  // arrival times keep their order
  std::vector<std::string> stalled[2];
};

struct World::Hand {
  ListRow row;
  std::uint64_t life = 0;  // 0 while it is down
  bool frozen = false;
  bool refusing = false;
  Micros woke = 0;
  std::set<std::uint64_t> runs;
  std::vector<std::pair<Micros, std::int64_t>> history;
  std::vector<Micros> cold_starts;
  std::string state = "serving";
};

struct World::Wish {
  std::string tag;
  std::uint64_t call = 0;
  bool safe = false;
  std::uint64_t opening = 0;
  int tries = 0;
  Micros came = 0;
  std::string told;
  int begun = 0, ended = 0;
  Micros knocked = -1;  // when its leg reached a worker that has not begun it yet
  bool over = false;
};

struct World::Change_ {
  Change::Sort sort = Change::Sort::read;
  std::string text;
  std::uint64_t expected = 0;
  Micros from = 0;
  std::uint64_t floor = 0;  // the highest accepted serial when it was asked
  std::string box;
  bool over = false;
  Micros answered = -1;
};

World::World(WorldPlan plan_) : plan(std::move(plan_)), dice(plan.seed * 7919 + 17) {}
World::~World() = default;

std::vector<std::string> World::troubles() {
  return {"kill",  "power", "freeze",  "cut",   "split",   "keepers", "blank", "exchange", "slow",
          "hand",  "dark",  "release", "leave", "list",    "race",    "storm", "large",    "loss",
          "group", "stray", "amnesia", "drain", "closing", "crowd",   "refuse"};
}

void World::at(Micros when, std::function<void()> act) { events.push(Event_{when, ++order, std::move(act)}); }
void World::note(std::string const& what) { end.hash = stir(end.hash ^ mix(what) ^ static_cast<std::uint64_t>(now)); }
void World::fault(std::string const& what) {
  if (end.faults.size() < 20) end.faults.push_back(what + " at " + std::to_string(now / 1000) + " ms");
}
Micros World::clock(Box const& box) const {
  return box.offset + static_cast<Micros>(static_cast<double>(now) * box.rate);
}

// ---- machines

World::Box& World::add(std::string const& name, std::string const& address, std::string const& zone, Role role) {
  std::unique_ptr<Box>& slot = boxes[name];
  slot = std::make_unique<Box>();
  slot->name = name;
  slot->address = address;
  slot->zone = zone;
  slot->role = role;
  // Clocks differ by up to three percent.
  slot->rate = 1.0 + (static_cast<double>(dice.below(2001)) - 1000.0) / 1e6 * 30;
  slot->offset = static_cast<Micros>(dice.below(1000000000));
  return *slot;
}

void World::boot(Box& box) {
  if (box.up()) return;
  box.life = ++lives;
  if (!hushed())
    std::printf("default] %lld BOOT %s %s\n", static_cast<long long>(now / 1000), box.name.c_str(),
                box.address.c_str());
  box.frozen = false;
  box.power = false;
  box.deferred.clear();
  box.wires.clear();
  box.errands.clear();
  box.legs.clear();
  box.begun.clear();
  box.serial = 0;
  box.troubled = now;
  NodePlan p;
  p.name = box.name;
  p.zone = box.zone;
  p.address = box.address;
  p.role = box.role;
  // A machine is set up with the addresses that the first three keepers have by then, and keeps them.
  if (box.seeds.empty() || box.seeded_at != box.address) {
    box.seeds.clear();
    box.seeded_at = box.address;
    for (int i = 1; i <= 3; ++i) {
      std::string const name = "k" + std::to_string(i);
      box.seeds.push_back(boxes.count(name) ? boxes[name]->address : "10.0.2." + std::to_string(i) + ":7000");
    }
  }
  p.seeds = box.seeds;
  if (box.role == Role::accord)
    for (int i = 1; i <= plan.shape->keepers; ++i) p.founders.push_back("k" + std::to_string(i));
  p.incarnation = 1000 + lives;
  p.chance = stir(plan.seed * 31 + lives);
  std::optional<wire::RecordT> slate;
  if (box.role == Role::accord) {
    // What was being written when the power went may be there, or not.
    if (box.writing && dice.chance(0.5)) box.disk = box.writing;
    box.writing.reset();
    if (!box.disk) {
      wire::RecordT blank;
      blank.cluster = "pipit";
      blank.name = box.name;
      blank.disk = stir(plan.seed ^ (lives << 20));
      box.disk = blank;
    }
    slate = box.disk;
  }
  box.node = std::make_unique<Node>(p, clock(box), slate);
  std::string const name = box.name;
  std::uint64_t const life = box.life;
  after(lag(), [this, name, life] { tick(*boxes[name], life); });
}

void World::halt(Box& box, bool power) {
  if (!box.up()) return;
  box.troubled = now;
  Tally const& t = box.node->desk.tally;
  first_sends += t.first_sends;
  resends += t.resends;
  box.power = power;
  std::map<WireId, std::pair<std::shared_ptr<Link>, int>> const wires = box.wires;
  box.wires.clear();
  box.node.reset();
  for (std::pair<WireId const, std::pair<std::shared_ptr<Link>, int>> const& item : wires) {
    if (power) continue;
    hang(item.second.first, item.second.second);
  }
  // Its legs' wires end with it, so its workers stop; its callers know nothing.
  for (std::pair<std::uint64_t const, std::uint64_t> const& item : box.errands) {
    std::uint64_t const wish = item.second;
    after(lag(), [this, wish] { told(wish, "lost", 0); });
    for (std::pair<std::string const, std::unique_ptr<Hand>>& hand : hands) hand.second->runs.erase(wish);
  }
  for (std::pair<std::uint64_t const, std::unique_ptr<Change_>>& item : changes)
    if (item.second->box == box.name) item.second->over = true;
}

void World::freeze(Box& box, Micros span) {
  if (!box.up() || box.frozen) return;
  box.frozen = true;
  box.troubled = now;
  std::string const name = box.name;
  std::uint64_t const life = box.life;
  after(span, [this, name, life] {
    Box& item = *boxes[name];
    if (item.life != life || !item.up()) return;
    item.frozen = false;
    item.troubled = now;
    std::vector<std::function<void()>> const list = std::move(item.deferred);
    item.deferred.clear();
    for (std::function<void()> const& act : list) act();
  });
}

// Runs one step of a node: later when it is frozen, never when that life has ended.
void World::enter(Box& box, std::uint64_t life, std::function<void(Box&, Micros, NodeOut&)> step) {
  if (!box.up() || box.life != life) return;
  if (box.frozen) {
    std::string const name = box.name;
    box.deferred.push_back([this, name, life, step = std::move(step)] { enter(*boxes[name], life, step); });
    return;
  }
  if (!hushed()) speaker() = std::to_string(now / 1000) + " " + box.name + " ";
  NodeOut out;
  step(box, clock(box), out);
  obey(box, out);
  if (!box.up()) return;
  // What is in force on a node is checked whenever it may have changed.
  std::uint64_t const serial = box.node->learner.serial();
  if (serial == box.serial) return;
  if (serial < box.serial)
    fault("N7 " + box.name + " went from serial " + std::to_string(box.serial) + " to " + std::to_string(serial));
  box.serial = serial;
  std::string const& change = box.node->learner.value->change;
  note(box.name + " " + std::to_string(serial) + " " + change);
  std::map<std::uint64_t, std::string>::const_iterator const seen = serial_change.find(serial);
  if (seen != serial_change.end() && seen->second != change)
    fault("N8 serial " + std::to_string(serial) + " is " + seen->second + " and " + change);
  serial_change[serial] = change;
  if (refused_changes.count(change)) fault("N8 the refused change " + change + " is in force on " + box.name);
}

void World::tick(Box& box, std::uint64_t life) {
  if (!box.up() || box.life != life) return;
  if (!box.frozen) enter(box, life, [](Box& item, Micros t, NodeOut& out) { item.node->tick(t, out); });
  std::string const name = box.name;
  after(millis(50), [this, name, life] { tick(*boxes[name], life); });
}

void World::set_cut(std::string const& a, std::string const& b, bool on) {
  if (on)
    cuts.insert({a, b});
  else
    cuts.erase({a, b});
  for (std::string const& name : {a, b})
    if (boxes.count(name)) boxes[name]->troubled = now;
}

void World::heal() {
  std::set<std::pair<std::string, std::string>> const old = std::move(cuts);
  cuts.clear();
  for (std::pair<std::string, std::string> const& item : old)
    for (std::string const& name : {item.first, item.second})
      if (boxes.count(name)) boxes[name]->troubled = now;
  // What stood still on open wires goes on, in order.
  for (std::shared_ptr<Link> const& link : links)
    for (int side = 0; side < 2; ++side) {
      std::vector<std::string> const list = std::move(link->stalled[side]);
      link->stalled[side].clear();
      for (std::string const& bytes : list) pass(link, side, bytes);
    }
}

void World::dial(Box& box, std::string const& address) {
  std::string const from = box.name;
  std::uint64_t const life = box.life;
  Box* target = nullptr;
  for (std::pair<std::string const, std::unique_ptr<Box>>& item : boxes)
    if (item.second->address == address && (item.second->up() || target == nullptr)) target = item.second.get();
  bool const dead_end = target == nullptr || target->power || cut(from, target->name) || cut(target->name, from);
  if (dead_end || !target->up()) {
    // A machine without power, or behind a cut, says nothing; a machine without the process refuses.
    after(dead_end ? seconds(1) : lag(), [this, from, life, address, dead_end] {
      enter(*boxes[from], life, [address, dead_end](Box& item, Micros t, NodeOut& out) {
        item.node->dial_failed(address, !dead_end, t, out);
      });
    });
    return;
  }
  std::shared_ptr<Link> const link = std::make_shared<Link>();
  link->id = ++link_count;
  link->name[0] = from;
  link->name[1] = target->name;
  link->life[0] = life;
  link->life[1] = target->life;
  links.push_back(link);
  Micros const there = lag();
  Micros const back = there + lag();
  link->last[1] = now + back;  // nothing reaches the dialler before its wire is open
  for (int side = 0; side < 2; ++side)
    after(side == 1 ? there : back, [this, link, side, address] {
      Box& item = *boxes[link->name[side]];
      if (!item.up() || item.life != link->life[side]) return;
      if (!link->open) {  // the other side ended it already
        if (side == 0)
          enter(item, item.life,
                [address](Box& b, Micros t, NodeOut& out) { b.node->dial_failed(address, false, t, out); });
        return;
      }
      link->wire[side] = ++item.next_wire;
      item.wires[link->wire[side]] = {link, side};
      WireId const id = link->wire[side];
      enter(item, item.life,
            [id, side, address](Box& b, Micros t, NodeOut& out) { b.node->opened(id, side == 0, address, t, out); });
    });
}

void World::hang(std::shared_ptr<Link> link, int from) {
  if (!link->open) return;
  link->open = false;
  int const to = 1 - from;
  if (boxes[link->name[from]]->up() && link->wire[from] != 0) boxes[link->name[from]]->wires.erase(link->wire[from]);
  if (cut(link->name[from], link->name[to])) return;  // the other side finds out by itself
  after(lag(), [this, link, to] {
    Box& item = *boxes[link->name[to]];
    if (!item.up() || item.life != link->life[to] || link->wire[to] == 0) return;
    item.wires.erase(link->wire[to]);
    WireId const id = link->wire[to];
    enter(item, item.life, [id](Box& b, Micros t, NodeOut& out) { b.node->shut(id, t, out); });
  });
}

void World::pass(std::shared_ptr<Link> link, int side, std::string bytes) {
  int const to = 1 - side;
  if (cut(link->name[side], link->name[to])) {
    if (link->stalled[side].size() < 200) link->stalled[side].push_back(std::move(bytes));
    return;
  }
  // Wires differ in pace; on one wire the order stands.
  Micros const when =
      std::max(link->last[side] + 1, now + lag() + (dice.chance(0.01) ? lag(millis(5), millis(80)) : 0));
  link->last[side] = when;
  at(when, [this, link, to, side, bytes = std::move(bytes)] {
    if (!link->open) {
      return;
    }
    Box& item = *boxes[link->name[to]];
    if (!item.up() || item.life != link->life[to]) return;
    if (cut(link->name[side], link->name[to])) {
      link->stalled[side].push_back(bytes);
      return;
    }
    ++end.frames;
    enter(item, item.life, [this, link, to, bytes](Box& b, Micros t, NodeOut& out) {
      if (!b.wires.count(link->wire[to])) return;
      if (!b.node->bytes(link->wire[to], bytes, t, out)) fault("frame: a frame did not verify");
    });
  });
}

void World::carry(Box& box, WireId id, std::string bytes) {
  std::map<WireId, std::pair<std::shared_ptr<Link>, int>>::const_iterator const spot = box.wires.find(id);
  if (spot == box.wires.end()) return;
  if (!spot->second.first->open) {
    // A wire whose other end is gone: writing to it finds that out.
    box.wires.erase(id);
    std::string const name = box.name;
    std::uint64_t const life = box.life;
    after(lag(), [this, name, life, id] {
      enter(*boxes[name], life, [id](Box& b, Micros t, NodeOut& out) { b.node->shut(id, t, out); });
    });
    return;
  }
  pass(spot->second.first, spot->second.second, std::move(bytes));
}

void World::save(Box& box, wire::RecordT record) {
  box.writing = record;
  std::string const name = box.name;
  std::uint64_t const life = box.life;
  after(lag(box.disk_low, box.disk_high), [this, name, life, record = std::move(record)] {
    Box& item = *boxes[name];
    if (!item.up() || item.life != life) return;
    item.disk = record;
    item.writing.reset();
    enter(item, life, [](Box& b, Micros t, NodeOut& out) { b.node->disk_done(t, out); });
  });
}

void World::obey(Box& box, NodeOut& out) {
  std::string const name = box.name;
  std::uint64_t const life = box.life;
  if (out.save) save(box, std::move(*out.save));
  for (std::string const& address : out.mesh.dials) dial(box, address);
  for (Sends::Send& send : out.mesh.sends) carry(box, send.wire, std::move(send.bytes));
  for (WireId const id : out.mesh.shuts) {
    std::map<WireId, std::pair<std::shared_ptr<Link>, int>>::const_iterator const spot = box.wires.find(id);
    if (spot == box.wires.end()) continue;
    std::pair<std::shared_ptr<Link>, int> const item = spot->second;
    hang(item.first, item.second);
    box.wires.erase(id);
  }
  for (Start const& start : out.desk.starts) leg(box, start);
  for (Verdict const& verdict : out.desk.ends) {
    std::uint64_t const wish = box.errands.count(verdict.errand) ? box.errands[verdict.errand] : 0;
    box.errands.erase(verdict.errand);
    box.legs.erase(verdict.errand);
    std::string const ran = ran_word(verdict.ran);
    Micros const back = verdict.wait;
    ++end.kinds[std::string("answer ") + kind_row(verdict.fault.kind).name];
    after(lag(), [this, wish, ran, back] { told(wish, ran, back); });
  }
  for (std::uint64_t const id : out.desk.drops) box.legs.erase(id);
  for (Reply const& reply : out.replies) answered(box, reply);
  if (out.read_list) {
    bool const mute = (list_down && list_silent) || cut(name, "list");
    bool const odd = list_down || dice.chance(0.02);
    bool const bad = mute || odd;
    bool const spoke = odd && !mute;  // refused, or an answer that is none
    after(mute ? seconds(1) : lag(millis(3), millis(40)), [this, name, life, bad, spoke] {
      std::optional<std::vector<ListRow>> rows;
      // Readers see the list a little behind the truth.
      if (!bad)
        for (std::pair<Micros, std::vector<ListRow>> const& item : list)
          if (item.first <= now - millis(700) || !rows) rows = item.second;
      enter(*boxes[name], life, [rows, spoke](Box& b, Micros t, NodeOut& o) { b.node->list(rows, spoke, t, o); });
    });
  }
  for (Check const& check : out.checks) {
    Hand* hand = nullptr;
    for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands)
      if (item.second->row.address == check.address) hand = item.second.get();
    bool const silent = hand == nullptr || hand->frozen || cut(name, hand->row.id);
    bool const refused = !silent && hand->life == 0;
    after(silent ? seconds(1) : lag(millis(1), millis(15)), [this, name, life, check, silent, refused] {
      std::optional<Vitals> report;
      bool no = refused;
      if (!silent && !refused)
        for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands)
          if (item.second->row.address == check.address) {
            if (item.second->life == 0) {
              no = true;
              break;
            }
            Vitals v;
            v.incarnation = item.second->life;
            v.awake = now - item.second->woke;
            for (std::pair<Micros, std::int64_t> const& past : item.second->history)
              if (past.first <= now - seconds(1)) v.demand = past.second;
            report = v;
          }
      enter(*boxes[name], life,
            [check, report, no](Box& b, Micros t, NodeOut& o) { b.node->vitals(check, report, no, t, o); });
    });
  }
}

// ---- workers and callers

void World::hand_up(Hand& hand) {
  hand.life = hand.row.incarnation;
  hand.woke = now;
  hand.frozen = false;
  hand.cold_starts.clear();
  hand.history.clear();
}

void World::hand_down(Hand& hand) {
  hand.life = 0;
  hand.runs.clear();
}

void World::write_list() {
  std::vector<ListRow> rows;
  for (std::pair<std::string const, std::unique_ptr<Hand>> const& item : hands) {
    if (item.second->state == "gone") continue;
    ListRow row = item.second->row;
    row.leaving = item.second->state == "leaving";
    rows.push_back(row);
  }
  list.emplace_back(now, rows);
  if (list.size() > 60) list.erase(list.begin(), list.begin() + 20);
}

// One leg: the wire opens, the request leaves, the worker runs it, the answer begins and ends.
void World::leg(Box& box, Start const& start) {
  std::string const name = box.name;
  std::uint64_t const life = box.life;
  std::uint64_t const errand = start.errand;
  int const number = start.leg;
  std::uint64_t const wish = box.errands.count(errand) ? box.errands[errand] : 0;
  box.legs[errand] = number;
  Hand& hand = *hands[start.worker];
  auto const done = [this, name, life, errand, number](LegEnd how) {
    enter(*boxes[name], life, [errand, number, how](Box& b, Micros t, NodeOut& out) {
      std::map<std::uint64_t, int>::const_iterator const spot = b.legs.find(errand);
      if (spot == b.legs.end() || spot->second != number) return;
      b.node->leg_ended(errand, how, "", 0, t, out);
    });
  };
  if (hand.life == 0) return after(lag(), [done] { done(LegEnd::unreached); });
  if (cut(name, start.worker)) return after(seconds(1), [done] { done(LegEnd::unreached); });
  std::uint64_t const hand_life = hand.life;
  std::string const worker = start.worker;
  Micros const answer = start.answer;
  Micros const stall = start.stall;
  after(lag(), [this, name, life, errand, number, worker, hand_life, wish, answer, stall, done] {
    Box& item = *boxes[name];
    if (!item.up() || item.life != life || !item.legs.count(errand) || item.legs[errand] != number) return;
    if (hands[worker]->life != hand_life) return done(LegEnd::unreached);
    // The wire is open: from here a byte may have left, even if this node is stopped in the very next moment.
    item.node->leg_sent(errand);
    after(lag(), [this, name, life, errand, number, worker, hand_life, wish, stall] {
      arrive(name, life, errand, number, worker, hand_life, wish, stall);
    });
    after(answer, [this, name, life, errand, number, worker, hand_life, wish, done] {
      Box& late = *boxes[name];
      if (late.up() && late.life == life && late.legs.count(errand) && late.legs[errand] == number &&
          !(late.begun.count(errand) && late.begun[errand] == number)) {
        hands[worker]->runs.erase(wish);
        done(LegEnd::silent);
      }
    });
  });
}

void World::arrive(std::string const& name, std::uint64_t life, std::uint64_t errand, int number,
                   std::string const& worker, std::uint64_t hand_life, std::uint64_t wish, Micros stall) {
  Hand& hand = *hands[worker];
  auto const done = [this, name, life, errand, number](LegEnd how) {
    enter(*boxes[name], life, [errand, number, how](Box& b, Micros t, NodeOut& out) {
      std::map<std::uint64_t, int>::const_iterator const spot = b.legs.find(errand);
      if (spot == b.legs.end() || spot->second != number) return;
      if (how == LegEnd::done) {
        b.legs.erase(errand);
        b.errands.erase(errand);
      }
      b.node->leg_ended(errand, how, "", 0, t, out);
    });
  };
  if (hand.life != hand_life) return after(lag(), [done] { done(LegEnd::broke); });
  if (hand.refusing) return after(lag(), [done] { done(LegEnd::refused); });
  Wish& item = *wishes[wish];
  if (item.knocked < 0) item.knocked = now;
  if (hand.frozen) {  // it lies in the worker's socket until the worker wakes
    after(millis(200), [this, name, life, errand, number, worker, hand_life, wish, stall] {
      arrive(name, life, errand, number, worker, hand_life, wish, stall);
    });
    return;
  }
  Box& box = *boxes[name];
  // It came when it reached the worker's socket, though the worker may have stood still since.
  Micros const came = item.knocked;
  item.knocked = -1;
  ++item.begun;
  ++end.runs;
  note(worker + " runs " + item.tag);
  // The bounds on where requests may go are judged where they arrive.
  std::map<std::uint64_t, Micros> const& marked = marks[worker];
  bool const unread = list_down && marked.count(hand.life) && marked.at(hand.life) >= list_down_from - millis(1500);
  if (marked.count(hand.life) && !unread) {
    Micros const gap = came - marked.at(hand.life);
    end.margins.mark = std::max(end.margins.mark, gap);
    if (gap > seconds(3))
      fault("N5 " + worker + " got a request from " + name + " " + std::to_string(gap / 1000) + " ms after its mark");
  }
  for (Emptied const& zone : emptied[hand.row.zone]) {
    if (zone.to >= 0 && came >= zone.to) continue;
    Micros const gap = came - zone.from;
    end.margins.empty = std::max(end.margins.empty, gap);
    if (gap > seconds(5))
      fault("N6 " + worker + " got a request from " + name + " " + std::to_string(gap / 1000) + " ms after the yes");
  }
  if (now - hand.woke < seconds(5) && hand.woke > seconds(4)) {
    hand.cold_starts.push_back(now);
    int n = 0;
    for (Micros const t : hand.cold_starts)
      if (now - t < seconds(1)) ++n;
    end.margins.cold = std::max(end.margins.cold, n);
    if (n > plan.shape->cold)
      fault("N11 " + worker + " got " + std::to_string(n) + " within a second of its cold start");
  }
  // Whoever sent it may be gone already: then its wire is shut and the worker stops at once.
  if (!box.up() || box.life != life) return;
  hand.runs.insert(wish);
  hand.history.emplace_back(now, static_cast<std::int64_t>(hand.runs.size()));
  if (hand.history.size() > 400) hand.history.erase(hand.history.begin(), hand.history.begin() + 200);
  Micros const first = lag(millis(10), millis(200));
  Micros const whole = first + lag(millis(100), millis(1500));
  after(first, [this, name, life, errand, number, worker, hand_life, wish, done] {
    Hand& here = *hands[worker];
    if (here.life != hand_life || !here.runs.count(wish)) {
      if (here.life != hand_life) done(LegEnd::broke);
      return;
    }
    if (here.frozen) return;  // the answer's time will run out
    enter(*boxes[name], life, [errand, number](Box& b, Micros, NodeOut&) {
      if (!b.legs.count(errand) || b.legs[errand] != number) return;
      b.begun[errand] = number;
      b.node->leg_began(errand);
    });
  });
  after(whole, [this, worker, hand_life, wish, stall, done] {
    Hand& here = *hands[worker];
    if (here.life != hand_life) return done(LegEnd::torn);
    if (here.frozen) return after(stall, [done] { done(LegEnd::torn); });
    if (!here.runs.count(wish)) return;
    here.runs.erase(wish);
    here.history.emplace_back(now, static_cast<std::int64_t>(here.runs.size()));
    ++wishes[wish]->ended;
    after(lag(), [this, wish, done] {
      done(LegEnd::done);
      told(wish, "done", 0);
    });
  });
}

void World::call() {
  std::unique_ptr<Wish> wish = std::make_unique<Wish>();
  wish->call = ++call_count;
  Kin const& kin = plan.shape->kinds[dice.below(plan.shape->kinds.size())];
  wish->safe = kin.safe;
  wish->tag = kin.lane;
  wish->opening = std::min(dice.below(static_cast<std::uint64_t>(kin.openings)),
                           dice.below(static_cast<std::uint64_t>(kin.openings)));
  wish->came = now;
  std::uint64_t const id = ++wish_count;
  wishes[id] = std::move(wish);
  attempt(id);
}

void World::attempt(std::uint64_t id) {
  Wish& wish = *wishes[id];
  ++wish.tries;
  Box* const box = pick([](Box const& b) { return b.role == Role::passage; });
  if (box == nullptr) return after(lag(), [this, id] { told(id, "no", millis(500)); });
  std::uint64_t const life = box->life;
  std::string const name = box->name;
  after(lag(), [this, id, name, life] {
    Box& b = *boxes[name];
    if (!b.up() || b.life != life) return told(id, "lost", 0);
    Ask ask;
    Wish const& item = *wishes[id];
    ask.facts.model = "tribute";
    ask.facts.user = item.tag;
    ask.facts.size = 5000;
    std::uint64_t hash = mix(item.tag, item.opening + 1);
    for (int i = 0; i < 20; ++i) ask.path.push_back(hash = stir(hash + 1));
    ask.path.push_back(stir(hash ^ id));
    std::uint64_t const errand = ++b.next_errand;
    b.errands[errand] = id;
    enter(b, life, [errand, ask](Box& here, Micros t, NodeOut& out) { here.node->errand(errand, ask, t, out); });
  });
}

void World::told(std::uint64_t id, std::string const& what, Micros back) {
  if (id == 0) return;
  Wish& wish = *wishes[id];
  if (wish.over) {
    // The answer and the end of its node can cross; the first counts, as on a wire.
    return;
  }
  note(wish.tag + " told " + what);
  wish.told = what;
  wish.over = true;
  if (what == "done") {
    ++end.done;
    if (wish.ended == 0) fault("N4 a caller was told done without an end");
    if (lost_at >= 0 && back_at < 0 && now > lost_at) back_at = now;
    return;
  }
  bool const again = what == "no" || (what == "lost" && wish.safe);
  if (what == "lost") ++end.lost;
  if (again && now - wish.came < seconds(12) && !quiet) {
    if (what == "no" && back <= 0) fault("contract: a refusal without a time to come back");
    // The next attempt is judged on its own, and with all of its call.
    std::unique_ptr<Wish> next = std::make_unique<Wish>(wish);
    next->over = false;
    next->told.clear();
    next->begun = next->ended = 0;
    std::uint64_t const fresh = ++wish_count;
    wishes[fresh] = std::move(next);
    after(std::max<Micros>(back, millis(200)), [this, fresh] { attempt(fresh); });
    return;
  }
  ++end.refused;
}

// ---- operators

World::Box* World::pick(std::function<bool(Box const&)> const& fits) {
  std::vector<Box*> field;
  for (std::pair<std::string const, std::unique_ptr<Box>>& item : boxes)
    if (item.second->up() && fits(*item.second)) field.push_back(item.second.get());
  return field.empty() ? nullptr : field[dice.below(field.size())];
}

void World::operate(Change::Sort sort, std::string const& text, std::uint64_t expected, Box& box) {
  std::uint64_t const id = ++change_count;
  std::unique_ptr<Change_> made = std::make_unique<Change_>();
  made->sort = sort;
  made->text = text;
  made->expected = expected;
  made->from = now;
  made->floor = yes_serial;
  made->box = box.name;
  changes[id] = std::move(made);
  if (sort == Change::Sort::refill)
    for (Emptied& zone : emptied[text])
      if (zone.to < 0) zone.to = now;
  enter(box, box.life, [this, id, sort, text, expected](Box& b, Micros t, NodeOut& out) {
    Change change;
    if (sort == Change::Sort::strike) {
      if (b.node->keeps(text)) return;
      change.seat = *seat_of(*b.node->learner.value, text);
    }
    change.sort = sort;
    change.text = text;
    change.expected = expected;
    change.id = "c" + std::to_string(id);
    b.node->operate(id, change, t, out);
  });
}

void World::answered(Box& box, Reply const& reply) {
  std::map<std::uint64_t, std::unique_ptr<Change_>>::iterator const spot = changes.find(reply.id);
  if (spot == changes.end() || spot->second->over) return;
  Change_& change = *spot->second;
  change.over = true;
  change.answered = now;
  Outcome const& outcome = reply.outcome;
  note(reply.change + " answered " + std::to_string(static_cast<int>(outcome.sort)));
  bool const holds = outcome.sort == Outcome::Sort::chosen || outcome.sort == Outcome::Sort::kept;
  if (outcome.sort == Outcome::Sort::refused) {
    refused_changes.insert(reply.change);
    for (std::pair<std::uint64_t const, std::string> const& seen : serial_change)
      if (seen.second == reply.change)
        fault("N8 the refused change " + reply.change + " was in force before its refusal");
  }
  if (!holds) return;
  std::uint64_t const serial = outcome.value.serial;
  std::uint64_t const own = outcome.serial;
  // Whatever is read or chosen is not older than what was accepted before it was asked for.
  if (serial < change.floor)
    fault("N9 " + reply.change + " saw serial " + std::to_string(serial) + " after " + std::to_string(change.floor) +
          " was accepted");
  std::map<std::uint64_t, std::string>::const_iterator const seen = serial_change.find(serial);
  if (seen != serial_change.end() && seen->second != outcome.value.change)
    fault("N8 serial " + std::to_string(serial) + " is " + seen->second + " and " + outcome.value.change);
  serial_change[serial] = outcome.value.change;
  if (change.sort == Change::Sort::read) {
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
  if (outcome.sort == Outcome::Sort::chosen) {
    ++end.accepted;
    yes_serial = std::max(yes_serial, own);
    due_force[own] = now;
    if (change.sort == Change::Sort::apply) {
      if (yes.count(own)) fault("N8 two rivals were told yes for serial " + std::to_string(own));
      if (own != change.expected + 1) fault("N8 a change was accepted against the wrong serial");
      yes[own] = {now, change.text};
    }
  }
  if (closing && outcome.sort == Outcome::Sort::chosen) {
    closing = false;
    for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
      if (item.second->role == Role::accord && item.second->up()) {
        std::string const name = item.first;
        after(1, [this, name] { halt(*boxes[name], true); });
        after(lag(millis(300), seconds(2)), [this, name] { boot(*boxes[name]); });
      }
  }
  if (change.sort == Change::Sort::empty && quiet) {
    end.emptied = true;
    end.unconfirmed = reply.missing;
  }
  if (change.sort == Change::Sort::empty && reply.missing.empty()) {
    // Not when a refill was under way: it may have come after. One of unknown outcome may still come.
    bool undone = false;
    for (std::pair<std::uint64_t const, std::unique_ptr<Change_>> const& other : changes)
      if (other.second->sort == Change::Sort::refill && other.second->text == change.text &&
          (other.second->answered < 0 || other.second->answered >= change.from))
        undone = true;
    if (!undone) emptied[change.text].push_back(Emptied{now, -1});
  }
}

void World::operator_turn() {
  if (quiet) return;
  Box* const box = pick_up();
  if (box != nullptr) {
    std::uint64_t const r = dice.below(10);
    std::string const& zone = plan.shape->zones[dice.below(plan.shape->zones.size())];
    bool any_empty = false;
    for (std::pair<std::string const, std::vector<Emptied>> const& item : emptied)
      for (Emptied const& e : item.second) any_empty = any_empty || e.to < 0;
    // One zone at a time: with every zone emptied there is rightly no service.
    std::set<std::string> const& seen = box->node->desk.emptied();
    bool asked = false;
    for (std::pair<std::uint64_t const, std::unique_ptr<Change_>> const& item : changes)
      asked = asked || (item.second->sort == Change::Sort::empty && now - item.second->from < seconds(5));
    if (r < 4)
      operate(Change::Sort::apply, description_of(*plan.shape, ++turn), yes_serial, *box);
    else if (r < 6)
      operate(Change::Sort::read, "", 0, *box);
    else if (r < 8 && !any_empty && !asked && seen.empty())
      operate(Change::Sort::empty, zone, 0, *box);
    else if (!seen.empty())
      operate(Change::Sort::refill, std::string(*seen.begin()), 0, *box);
    else
      for (std::pair<std::string const, std::vector<Emptied>> const& item : emptied)
        if (!item.second.empty() && item.second.back().to < 0) {
          operate(Change::Sort::refill, item.first, 0, *box);
          break;
        }
  }
  after(lag(millis(300), millis(2200)), [this] { operator_turn(); });
}

// ---- trouble

void World::full_loss() {
  lost_at = -1;
  back_at = -1;
  bool const power = dice.chance(0.5);
  for (std::pair<std::string const, std::unique_ptr<Box>>& item : boxes) halt(*item.second, power);
  heal();
  list_up();
  after(millis(800), [this] {
    lost_at = now;
    for (std::pair<std::string const, std::unique_ptr<Box>>& item : boxes) boot(*item.second);
    Micros const from = now;
    after(seconds(12), [this, from] {
      if (lost_at != from) return;
      if (back_at < 0 && !hushed())
        for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
          if (item.second->up() && item.second->role == Role::passage)
            for (std::pair<std::string const, Worker> const& w : item.second->node->fleet.workers)
              std::printf("%s knows %s incarnation %llu standing %d dark %d doubted %d zone %s\n", item.first.c_str(),
                          w.first.c_str(), static_cast<unsigned long long>(w.second.row.incarnation),
                          static_cast<int>(w.second.standing), w.second.dark, w.second.doubted,
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
  std::string const sort = all[dice.below(all.size())];
  ++end.troubles;
  ++end.kinds[sort];
  note("trouble " + sort);
  if (!hushed()) std::printf("default] %lld TROUBLE %s\n", static_cast<long long>(now / 1000), sort.c_str());
  Micros const span = lag(millis(500), millis(6000));
  bool const loss_under_way = lost_at >= 0 && now - lost_at < seconds(12);
  std::vector<std::string> names;
  for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes) names.push_back(item.first);
  Box* const box = pick_up();
  std::vector<Hand*> field;
  for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands)
    if (item.second->life != 0 && item.second->state == "serving") field.push_back(item.second.get());
  Hand* const hand = field.size() < 6 ? nullptr : field[dice.below(field.size())];
  if (box == nullptr || loss_under_way) {
    // What service after a full loss is worth is judged without more trouble on top.
  } else if (sort == "kill" || sort == "power") {
    std::string const name = box->name;
    halt(*box, sort == "power");
    after(span, [this, name] { boot(*boxes[name]); });
  } else if (sort == "freeze") {
    freeze(*box, span);
  } else if (sort == "cut") {
    bool const one_way = dice.chance(0.3);
    bool const outside = dice.chance(0.5);
    for (std::string const& name : names) {
      if (name == box->name) continue;
      set_cut(box->name, name, true);
      if (!one_way) set_cut(name, box->name, true);
    }
    if (outside) set_cut(box->name, "list", true);
    after(lag(millis(500), seconds(9)), [this] { heal(); });
  } else if (sort == "split" || sort == "keepers") {
    std::set<std::string> side;
    for (std::string const& name : names)
      if (sort == "keepers" ? name[0] == 'k' : dice.chance(0.5)) side.insert(name);
    bool const each = sort == "keepers" && dice.chance(0.5);
    for (std::string const& a : names)
      for (std::string const& b : names)
        if (a != b && (side.count(a) != side.count(b) || (each && side.count(a) && side.count(b)))) set_cut(a, b, true);
    after(span, [this] { heal(); });
  } else if (sort == "blank") {
    // One lost disk at a time: the next only once the set has taken the last one in.
    std::size_t whole = 0;
    Box* keeper = pick([](Box const& b) { return b.role == Role::accord; });
    if (keeper != nullptr && cuts.empty()) {
      Ring const& ring = keeper->node->learner.ring();
      for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
        if (item.second->role == Role::accord && item.second->up() && item.second->disk &&
            ring.holds(item.first, item.second->disk->disk))
          ++whole;
      if (whole == static_cast<std::size_t>(plan.shape->keepers) && ring.keepers.size() == whole) {
        halt(*keeper, dice.chance(0.5));
        keeper->disk.reset();
        keeper->writing.reset();
        keeper->address = "10.0.5." + std::to_string(++moved) + ":7000";
        std::string const name = keeper->name;
        after(span, [this, name] { boot(*boxes[name]); });
      }
    }
  } else if (sort == "exchange") {
    Box* const old = pick([](Box const& b) { return b.role == Role::passage; });
    if (old != nullptr && boxes.size() < 40) {
      std::string const zone = old->zone;
      bool const same_address = dice.chance(0.3);
      std::string const address = same_address ? old->address : "10.0.6." + std::to_string(++moved) + ":7000";
      bool const power = dice.chance(0.3);
      halt(*old, power);
      ++end.exchanges;
      if (power) silent.push_back(old->name);
      if (same_address) old->address = "10.0.7." + std::to_string(++moved) + ":7000";
      std::string const name = "px" + std::to_string(++moved);
      boot(add(name, address, zone, Role::passage));
    }
  } else if (sort == "slow") {
    Box* const keeper = pick([](Box const& b) { return b.role == Role::accord; });
    if (keeper != nullptr) {
      bool const stall = dice.chance(0.3);
      keeper->disk_low = stall ? seconds(4) : millis(100);
      keeper->disk_high = stall ? seconds(8) : millis(700);
      std::string const name = keeper->name;
      after(span, [this, name] {
        boxes[name]->disk_low = 500;
        boxes[name]->disk_high = 6000;
      });
    }
  } else if (sort == "hand" && hand != nullptr) {
    // A worker crashes and comes back within moments or later, as its next life.
    hand_down(*hand);
    std::string const id = hand->row.id;
    after(dice.chance(0.5) ? lag(millis(20), millis(300)) : span, [this, id] {
      Hand& item = *hands[id];
      if (item.life != 0) return;
      ++item.row.incarnation;
      item.state = "serving";
      write_list();
      hand_up(item);
    });
  } else if (sort == "dark" && hand != nullptr) {
    hand->frozen = true;
    std::string const id = hand->row.id;
    std::uint64_t const life = hand->life;
    after(span, [this, id, life] {
      if (hands[id]->life == life) hands[id]->frozen = false;
    });
  } else if (sort == "release") {
    // Workers are replaced one after another.
    Micros wait = 0;
    for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands) {
      if (dice.chance(0.6)) continue;
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
  } else if (sort == "leave" && hand != nullptr) {
    hand->state = dice.chance(0.5) ? "leaving" : "gone";
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
  } else if (sort == "list" && !list_down) {
    list_down = true;
    list_silent = dice.chance(0.5);
    list_down_from = now;
    after(span, [this] { list_up(); });
  } else if (sort == "race") {
    for (int i = 0; i < 2 + static_cast<int>(dice.below(3)); ++i)
      if (Box* const at_box = pick_up())
        operate(Change::Sort::apply, description_of(*plan.shape, ++turn), yes_serial, *at_box);
  } else if (sort == "storm") {
    for (int i = 0; i < 20; ++i)
      after(lag(1, millis(800)), [this] {
        if (Box* const at_box = pick_up())
          operate(Change::Sort::apply, description_of(*plan.shape, ++turn), yes_serial, *at_box);
      });
  } else if (sort == "large") {
    operate(Change::Sort::apply, description_of(*plan.shape, ++turn) + std::string(300000, ' '), yes_serial, *box);
  } else if (sort == "loss") {
    full_loss();
  } else if (sort == "group") {
    // Router nodes that hear one another and reach the workers, but neither the list nor any other node.
    std::set<std::string> side;
    std::size_t const size = 2 + dice.below(2);
    for (int i = 0; i < 10 && side.size() < size; ++i)
      if (Box* const one = pick([](Box const& b) { return b.role == Role::passage; })) side.insert(one->name);
    for (std::string const& a : side) {
      for (std::string const& b : names)
        if (!side.count(b)) set_cut(a, b, true), set_cut(b, a, true);
      set_cut(a, "list", true);
    }
    after(lag(seconds(2), seconds(11)), [this] { heal(); });
  } else if (sort == "stray") {
    // One router node is cut off and goes on serving, while all others end and return; then a zone is emptied.
    Box* const one = pick([](Box const& b) { return b.role == Role::passage; });
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
        if (at_box != nullptr && !quiet && at_box->node->desk.emptied().empty())
          operate(Change::Sort::empty, plan.shape->zones[dice.below(plan.shape->zones.size())], 0, *at_box);
      });
      after(seconds(14), [this] { heal(); });
    }
  } else if (sort == "amnesia") {
    // A change is chosen while one keeper is cut off; then one that took it loses its disk, another its power, and the
    // one that was cut off is back: whoever counted the blank one would go on from the older value.
    Ring const& ring = box->node->learner.ring();
    std::vector<std::string> whole;
    for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
      if (item.second->role == Role::accord && item.second->up() && item.second->disk &&
          ring.holds(item.first, item.second->disk->disk))
        whole.push_back(item.first);
    if (cuts.empty() && box->role == Role::passage && whole.size() == static_cast<std::size_t>(plan.shape->keepers)) {
      for (std::string const& name : names)
        if (name != whole[2]) set_cut(name, whole[2], true), set_cut(whole[2], name, true);
      operate(Change::Sort::apply, description_of(*plan.shape, ++turn), yes_serial, *box);
      after(millis(400), [this, whole] {
        halt(*boxes[whole[0]], true);
        boxes[whole[0]]->disk.reset();
        boxes[whole[0]]->writing.reset();
        halt(*boxes[whole[1]], true);
        heal();
        boot(*boxes[whole[0]]);
      });
      after(seconds(3), [this] {
        if (Box* const at_box = pick_up()) operate(Change::Sort::read, "", 0, *at_box);
        if (Box* const at_box = pick_up())
          operate(Change::Sort::apply, description_of(*plan.shape, ++turn), yes_serial, *at_box);
      });
      after(seconds(7), [this, whole] { boot(*boxes[whole[1]]); });
    }
  } else if (sort == "drain") {
    std::string const name = box->name;
    std::uint64_t const life = box->life;
    enter(*box, life, [](Box& b, Micros t, NodeOut& out) { b.node->drain(t, out); });
    after(seconds(4), [this, name, life] {
      if (boxes[name]->life == life) halt(*boxes[name], false);
      boot(*boxes[name]);
    });
  } else if (sort == "closing") {
    // Right after a yes: the node that said it loses its power, and one keeper with it.
    closing = dice.chance(0.6);
    operate(Change::Sort::apply, description_of(*plan.shape, ++turn), yes_serial, *box);
    std::string const name = box->name;
    if (!closing)
      after(lag(millis(10), millis(60)), [this, name] {
        halt(*boxes[name], true);
        if (Box* const keeper = pick([](Box const& b) { return b.role == Role::accord; })) {
          std::string const other = keeper->name;
          halt(*keeper, true);
          after(lag(millis(500), seconds(3)), [this, other] { boot(*boxes[other]); });
        }
        after(lag(millis(500), seconds(3)), [this, name] { boot(*boxes[name]); });
      });
  } else if (sort == "refuse") {
    // Every worker says for a while that it does not run what it gets.
    for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands) item.second->refusing = true;
    after(span, [this] {
      for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands) item.second->refusing = false;
    });
  } else if (sort == "crowd") {
    for (int i = 0; i < 200; ++i) after(lag(1, millis(1000)), [this] { call(); });
  }
  after(lag(millis(400), millis(3500)), [this] { trouble(); });
}

// ---- judging

void World::check() {
  // N7: two seconds after a yes it is in force on every node that nothing has befallen.
  for (std::map<std::uint64_t, Micros>::iterator it = due_force.begin(); it != due_force.end();) {
    Micros const age = now - it->second;
    bool all = true;
    std::string who;
    for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes) {
      Box const& box = *item.second;
      bool const befallen = !box.up() || box.frozen || box.troubled > it->second - seconds(3) || !cuts.empty();
      if (box.role != Role::passage || befallen) continue;
      if (box.node->learner.serial() < it->first) {
        all = false;
        who += " " + box.name;
      }
    }
    if (all) {
      end.margins.force = std::max(end.margins.force, age);
      it = due_force.erase(it);
    } else if (age > seconds(2)) {
      fault("N7 serial " + std::to_string(it->first) + " is not in force after two seconds at" + who);
      it = due_force.erase(it);
    } else {
      ++it;
    }
  }
  after(millis(100), [this] { check(); });
}

void World::last_checks() {
  std::map<std::uint64_t, int> per_call;
  for (std::pair<std::uint64_t const, std::unique_ptr<Wish>> const& item : wishes) {
    Wish const& wish = *item.second;
    if (!wish.safe) per_call[wish.call] += wish.begun;
    if (wish.told == "no" && wish.begun > 0) fault("N2 a caller was told no, and it ran (" + wish.tag + ")");
    if (wish.told == "yes" && wish.begun == 0) fault("N4 a caller was told that it ran, and it did not");
    if (wish.told.empty()) fault("contract: a caller was never answered (" + wish.tag + ")");
  }
  for (std::pair<std::uint64_t const, int> const& item : per_call)
    if (item.second > 1) fault("N1 a request that may not repeat ran " + std::to_string(item.second) + " times");
  for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
    if (item.second->up()) {
      first_sends += item.second->node->desk.tally.first_sends;
      resends += item.second->node->desk.tally.resends;
    }
  if (first_sends > 0) end.margins.resend = static_cast<double>(resends) / static_cast<double>(first_sends);
  if (static_cast<double>(resends) > 0.2 * static_cast<double>(first_sends) + 3.0 * static_cast<double>(lives))
    fault("N10 " + std::to_string(resends) + " re-sends for " + std::to_string(first_sends) + " sends");
  // After a quiet while everything is whole again: one serial, every node ready, the keeper set full.
  std::set<std::uint64_t> serials;
  for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
    if (item.second->up() && item.second->role == Role::passage) ++end.routers;
  for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes) {
    if (!item.second->up()) continue;
    serials.insert(item.second->node->learner.serial());
    if (!item.second->node->ready()) fault("N12 " + item.first + " is not ready after a quiet while");
  }
  if (serials.size() != 1 && !hushed())
    for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
      if (item.second->up())
        for (std::pair<std::string const, Peer> const& peer : item.second->node->mesh.roll.peers)
          if (peer.first[0] == 'k')
            std::printf("%s serial %llu knows %s at %s %s wire %llu dialling %d refused %d\n", item.first.c_str(),
                        static_cast<unsigned long long>(item.second->node->learner.serial()), peer.first.c_str(),
                        peer.second.member.address.c_str(), state_word(peer.second.state()),
                        static_cast<unsigned long long>(peer.second.wire), peer.second.dialling, peer.second.refused);
  if (serials.size() != 1)
    fault("N7 nodes differ in serial after a quiet while");
  else if (*serials.begin() < yes_serial)
    fault("N9 serial " + std::to_string(yes_serial) + " was accepted, and " + std::to_string(*serials.begin()) +
          " is in force at the end");
  if (end.done == 0) fault("no traffic was seen");
  for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
    if (item.second->up()) {
      if (item.second->node->learner.value) end.seats = item.second->node->learner.value->seats.size();
      if (item.second->node->learner.ring().keepers.size() != static_cast<std::size_t>(plan.shape->keepers))
        fault("repair: the set of keepers is not whole after a quiet while");
      break;
    }
}

WorldEnd World::run() {
  int i = 0;
  for (int n = 1; n <= plan.shape->keepers; ++n) {
    std::string const& zone = plan.shape->zones[static_cast<std::size_t>(n - 1) % plan.shape->zones.size()];
    boot(add("k" + std::to_string(n), "10.0.2." + std::to_string(n) + ":7000", zone, Role::accord));
  }
  for (int n = 1; n <= plan.shape->passages; ++n) {
    std::string const& zone = plan.shape->zones[static_cast<std::size_t>(n - 1) % plan.shape->zones.size()];
    boot(add("p" + std::to_string(n), "10.0.1." + std::to_string(n) + ":7000", zone, Role::passage));
  }
  for (int n = 1; n <= plan.shape->workers; ++n) {
    std::unique_ptr<Hand> hand = std::make_unique<Hand>();
    hand->row = ListRow{"w" + std::to_string(n),
                        "10.0.3." + std::to_string(n) + ":9000",
                        plan.shape->zones[static_cast<std::size_t>(i++) % plan.shape->zones.size()],
                        n % 3 == 0 ? "press" : "main",
                        1,
                        60,
                        false};
    hand_up(*hand);
    hands[hand->row.id] = std::move(hand);
  }
  write_list();
  at(seconds(3), [this] { operate(Change::Sort::apply, description_of(*plan.shape, 0), 0, *boxes["p1"]); });
  Micros const end_trouble = seconds(5) + plan.length;
  at(seconds(6), [this] { operator_turn(); });
  at(seconds(7), [this] { trouble(); });
  at(seconds(4), [this] { check(); });
  Micros gap = static_cast<Micros>(1e6 / plan.rate);
  for (Micros t = seconds(5); t < end_trouble + seconds(6); t += gap)
    at(t + static_cast<Micros>(dice.below(static_cast<std::uint64_t>(gap))), [this] { call(); });
  at(end_trouble, [this] {
    quiet = true;
    heal();
    list_up();
    closing = false;
    for (std::pair<std::string const, std::unique_ptr<Box>>& item : boxes) {
      item.second->disk_low = 500;
      item.second->disk_high = 6000;
      // Entry machines that were exchanged stay away; all else is started again.
      bool const gone = item.second->address.rfind("10.0.7.", 0) == 0;
      if (!gone && (item.second->role == Role::accord || item.second->power || item.first[1] != 'x')) {
        std::string const name = item.first;
        after(seconds(3), [this, name] { boot(*boxes[name]); });
      }
    }
    for (std::pair<std::string const, std::unique_ptr<Hand>>& item : hands) item.second->frozen = false;
  });
  if (plan.finale) {
    at(end_trouble + seconds(24), [this] {
      for (std::string const& name : silent)
        if (Box* const box = pick_up()) operate(Change::Sort::strike, name, 0, *box);
    });
    at(end_trouble + seconds(30), [this] {
      if (Box* const box = pick_up()) operate(Change::Sort::empty, plan.shape->zones[0], 0, *box);
    });
  }
  Micros const last = end_trouble + seconds(plan.finale ? 36 : 28);
  while (!events.empty() && events.top().at <= last) {
    Event_ item = events.top();
    events.pop();
    now = std::max(now, item.at);
    item.act();
    if (links.size() > 400)
      links.erase(
          std::remove_if(links.begin(), links.end(), [](std::shared_ptr<Link> const& link) { return !link->open; }),
          links.end());
  }
  last_checks();
  note("frames " + std::to_string(end.frames) + " done " + std::to_string(end.done));
  return end;
}

}  // namespace pipit
