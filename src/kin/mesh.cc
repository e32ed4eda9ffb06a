#include "kin/mesh.h"

#include <algorithm>

#include "ground/guards.h"
#include "ground/events.h"

namespace pipit {

namespace {
constexpr std::uint64_t whole_table = 16;  // one in so many tables of pings and answers is whole
}  // namespace

Mesh::Mesh(MeshPlan plan_, wire::MemberT const& self, std::uint64_t seed)
    : roll(self), ledger(self.name), plan(std::move(plan_)), dice(seed) {
  for (std::string const& address : plan.seeds)
    if (address != self.address) seeds.push_back({address, 0, 0, false});
}

void Mesh::reseed(std::vector<std::string> const& addresses) {
  std::vector<Seed> fresh;
  for (std::string const& address : addresses) {
    if (address == roll.self.address) continue;
    Seed made{address, 0, 0, false};
    for (Seed const& old : seeds)
      if (old.address == address) made = old;
    fresh.push_back(std::move(made));
  }
  seeds = std::move(fresh);
}

void Mesh::retell(Sends& out) {
  ++roll.self.bump;
  tell_member(roll.self, out);
}

void Mesh::leave(Sends& out) {
  roll.self.state = static_cast<std::uint8_t>(State::leaving);
  retell(out);
}

void Mesh::tell_member(wire::MemberT const& member, Sends& out) {
  for (std::pair<std::string const, Peer> const& item : roll.peers) {
    if (item.second.wire == 0) continue;
    wire::NewsT news;
    news.table.push_back(std::make_unique<wire::MemberT>(member));
    post(item.first, std::move(news), out);
  }
}

// §3.6: what this node found out about another goes to some peers at once and to the rest on pings. All who find the
// same at the same time would else tell everybody, each.
void Mesh::find_member(wire::MemberT const& member, Sends& out) {
  if (!wide()) return tell_member(member, out);
  int rounds = 3;
  for (std::size_t n = roll.peers.size(); n > 0; n >>= 1) rounds += 3;
  rumoured[member.name] = rounds;
  std::vector<std::string> hands;
  for (std::pair<std::string const, Peer> const& item : roll.peers)
    if (item.second.wire != 0 && item.first != member.name) hands.push_back(item.first);
  for (std::size_t n = 0; n < plan.told && !hands.empty(); ++n) {
    std::size_t const pick = dice.below(hands.size());
    wire::NewsT news;
    news.table.push_back(std::make_unique<wire::MemberT>(member));
    post(hands[pick], std::move(news), out);
    hands[pick] = hands.back();
    hands.pop_back();
  }
}

// What goes along with a ping or its answer.
std::vector<std::unique_ptr<wire::MemberT>> Mesh::rumours() {
  std::vector<std::unique_ptr<wire::MemberT>> out;
  for (std::map<std::string, int>::iterator it = rumoured.begin(); it != rumoured.end() && out.size() < 12;) {
    std::map<std::string, Peer>::const_iterator const peer = roll.peers.find(it->first);
    if (peer != roll.peers.end()) out.push_back(std::make_unique<wire::MemberT>(peer->second.member));
    it = peer == roll.peers.end() || --it->second <= 0 ? rumoured.erase(it) : std::next(it);
  }
  return out;
}

namespace {
constexpr Micros repair_calm = seconds(1);  // without a change here, before everything is compared
constexpr Micros repair_gap = millis(1500);
}  // namespace

bool Mesh::Repair::due(std::uint64_t own, std::uint64_t theirs, Micros now) {
  if (own != digest) {
    digest = own;
    changed = now;
  }
  if (own == theirs || now - last < repair_calm) return false;
  if (now - changed < repair_calm && now - last < repair_gap) return false;
  last = now;
  return true;
}

void Mesh::mend_ledger(std::string const& name, std::uint64_t theirs, Micros now, Sends& out) {
  if (!wide() || !ledger_repair.due(ledger.digest(), theirs, now)) return;
  ledger.owe_all(name);
  wire::EntriesT batch = ledger.batch(name, false);
  if (!batch.list.empty()) post(name, std::move(batch), out);
}

// What a peer says of itself on frames that pass anyway.
void Mesh::heard(std::string const& name, std::uint64_t turn, std::uint64_t serial, bool ready) {
  std::map<std::string, Peer>::iterator const who = roll.peers.find(name);
  if (who == roll.peers.end()) return;
  who->second.member.turn = std::max(who->second.member.turn, turn);
  who->second.member.serial = std::max(who->second.member.serial, serial);
  who->second.member.ready = ready;
}

// Every pair's silence looked into by turns, not all pairs each second.
Micros Mesh::quiet_span() const {
  return wide() ? std::max(plan.quiet, static_cast<Micros>(roll.peers.size()) * millis(200)) : plan.quiet;
}
Micros Mesh::knock_span() const {
  return wide() ? std::max(plan.knock_most, static_cast<Micros>(roll.peers.size()) * millis(50)) : plan.knock_most;
}

bool Mesh::gone(std::string const& name) const {
  std::map<std::string, Peer>::const_iterator const spot = roll.peers.find(name);
  if (spot == roll.peers.end()) return false;
  Peer const& peer = spot->second;
  return peer.wire == 0 && (peer.refused || peer.state() == State::leaving);
}

std::string Mesh::zone_of(WireId id) const {
  std::map<WireId, Wire>::const_iterator const wire = wires.find(id);
  if (wire == wires.end()) return "";
  std::map<std::string, Peer>::const_iterator const peer = roll.peers.find(wire->second.peer);
  return peer == roll.peers.end() ? "" : peer->second.member.zone;
}

Micros Mesh::half_heard(Micros now) const {
  std::vector<Micros> heard{now};
  for (std::pair<std::string const, Peer> const& item : roll.peers) {
    if (gone(item.first)) continue;
    std::map<WireId, Wire>::const_iterator const wire = wires.find(item.second.wire);
    heard.push_back(item.second.wire == 0 || wire == wires.end() ? -1 : wire->second.heard);
  }
  std::sort(heard.rbegin(), heard.rend());
  return heard[(heard.size() + 1) / 2 - 1];
}

void Mesh::opened(WireId id, bool outbound, std::string const& address, Micros now, Sends& out) {
  wires[id] = Wire{"", outbound, address, now, now, 0};
  if (outbound) {
    for (Seed& seed : seeds)
      if (seed.address == address) seed.dialling = false;
    for (std::pair<std::string const, Peer>& item : roll.peers)
      if (item.second.member.address == address) item.second.dialling = false;
  }
  wire::HelloT hello;
  hello.digest = roll.digest();
  hello.ledger = ledger.digest();
  hello.cluster = plan.cluster;
  hello.format = frame_format;
  hello.members = static_cast<std::uint32_t>(roll.peers.size());
  hello.entries = static_cast<std::uint32_t>(ledger.all().size());
  hello.self = std::make_unique<wire::MemberT>(roll.self);
  out.sends.push_back({id, encode_body(std::move(hello))});
}

void Mesh::unbind(WireId id, Micros now) {
  std::map<WireId, Wire>::iterator const spot = wires.find(id);
  if (spot == wires.end()) return;
  std::string const name = spot->second.peer;
  wires.erase(spot);
  if (name.empty()) return;
  tell(Event::wire_shut, name);
  std::map<std::string, Peer>::iterator const who = roll.peers.find(name);
  if (who == roll.peers.end() || who->second.wire != id) return;
  who->second.wire = 0;
  for (std::pair<WireId const, Wire> const& item : wires)
    if (item.second.peer == name) who->second.wire = item.first;
  if (who->second.wire != 0) return;
  who->second.bare_since = now;
  who->second.next_dial = now;  // §3.4: a wire that ends is a hint; look at once
  who->second.pause = 0;
  ledger.drop(name);
}

void Mesh::drop(WireId id, Micros now, Sends& out) {
  out.shuts.push_back(id);
  unbind(id, now);
}

void Mesh::shut(WireId id, Micros now, Sends& out) {
  std::map<WireId, Wire>::const_iterator const spot = wires.find(id);
  if (spot == wires.end()) return;
  std::string const name = spot->second.peer;
  unbind(id, now);
  std::map<std::string, Peer>::iterator const who = roll.peers.find(name);
  if (who == roll.peers.end() || who->second.wire != 0) return;
  State const state = who->second.state();
  if (state == State::alive || state == State::suspected) probe(who->second, now, out);
}

void Mesh::dial_failed(std::string const& address, bool refused, Micros now, Sends& out) {
  for (Seed& seed : seeds)
    if (seed.address == address) seed.dialling = false;
  for (std::pair<std::string const, Peer>& item : roll.peers) {
    Peer& peer = item.second;
    if (peer.member.address != address) continue;
    peer.dialling = false;
    if (peer.wire != 0) continue;
    peer.refuse(refused, now);
    // A refusal is proof that no process is there: the probe need not run out its time.
    if (refused && (peer.state() == State::alive || peer.state() == State::suspected)) {
      for (std::map<std::uint64_t, Probe>::iterator it = probes.begin(); it != probes.end();)
        it = it->second.peer == item.first ? probes.erase(it) : std::next(it);
      probe_failed(item.first, now, out);
    }
  }
}

void Mesh::dial(Peer& peer, Micros now, Sends& out) {
  if (peer.dialling || peer.wire != 0 || now < peer.next_dial) return;
  for (Seed const& seed : seeds)
    if (seed.dialling && seed.address == peer.member.address) return;
  peer.pause = std::clamp(peer.pause * 2, plan.knock, std::max(plan.knock, knock_span()));
  peer.next_dial = now + peer.pause;
  // An entry machine was exchanged: another name answers at this address, so this one is no more (§3.3).
  for (std::pair<std::string const, Peer> const& item : roll.peers)
    if (item.second.wire != 0 && item.second.member.address == peer.member.address) {
      peer.refuse(true, now);
      return;
    }
  peer.dialling = true;
  out.dials.push_back(peer.member.address);
}

void Mesh::dials(Micros now, Sends& out) {
  for (std::pair<std::string const, Peer>& item : roll.peers) {
    Peer& peer = item.second;
    if (peer.wire != 0 || peer.state() == State::leaving) continue;
    if (peer.state() == State::down && !guard(Guard::redial)) continue;
    // §3.2: the name that sorts first opens the pair's wire; the other steps in when none has come.
    if (roll.self.name < item.first || now - peer.bare_since > plan.round) dial(peer, now, out);
  }
  for (Seed& seed : seeds) {
    if (seed.dialling || now < seed.next_dial || (seed.pause > 0 && !guard(Guard::redial))) continue;
    bool known = false;
    for (std::pair<std::string const, Peer> const& item : roll.peers)
      if (item.second.member.address == seed.address && item.second.state() != State::leaving) known = true;
    for (std::pair<WireId const, Wire> const& item : wires)
      if (item.second.outbound && item.second.address == seed.address) known = true;
    for (std::pair<std::string const, Peer> const& item : roll.peers)
      if (item.second.dialling && item.second.member.address == seed.address) known = true;
    if (known) continue;
    seed.pause = std::clamp(seed.pause * 2, plan.knock, plan.knock_most);
    seed.next_dial = now + seed.pause;
    seed.dialling = true;
    out.dials.push_back(seed.address);
  }
}

std::vector<std::unique_ptr<wire::MemberT>> Mesh::table_for(WireId id, bool whole) {
  // A wire keeps its order and loses nothing, so what was told on it need not be told again; the whole table once in
  // a while mends what a peer has dropped since (§3.3).
  std::map<WireId, Wire>::iterator const wire = wires.find(id);
  if (wire == wires.end()) return roll.table();
  std::uint64_t const since = whole || ++tables % whole_table == 0 ? 0 : wire->second.told;
  wire->second.told = roll.version;
  return roll.table(since);
}

void Mesh::probe(Peer& peer, Micros now, Sends& out) {
  for (std::pair<std::uint64_t const, Probe> const& item : probes)
    if (item.second.peer == peer.member.name) return;
  std::uint64_t const seq = ++next_seq;
  probes[seq] = Probe{peer.member.name, false, now + plan.probe};
  if (peer.wire == 0) {
    dial(peer, now, out);
    return;
  }
  wire::PingT ping;
  ping.seq = seq;
  ping.table = wide() ? rumours() : table_for(peer.wire, false);
  ping.digest = roll.digest();
  ping.ledger = ledger.digest();
  ping.turn = roll.self.turn;
  ping.serial = roll.self.serial;
  ping.ready = roll.self.ready;
  post(peer.member.name, std::move(ping), out);
}

void Mesh::probe_done(std::uint64_t seq, Micros now) {
  std::map<std::uint64_t, Probe>::iterator const spot = probes.find(seq);
  if (spot == probes.end()) return;
  std::map<std::string, Peer>::iterator const who = roll.peers.find(spot->second.peer);
  if (who != roll.peers.end()) who->second.refuse(false, now);
  probes.erase(spot);
}

void Mesh::probe_failed(std::string const& name, Micros now, Sends& out) {
  std::map<std::string, Peer>::iterator const who = roll.peers.find(name);
  if (who == roll.peers.end()) return;
  Peer& peer = who->second;
  if (peer.state() == State::alive) {
    roll.mark(peer, State::suspected, now);
  } else if (peer.state() == State::suspected) {
    roll.mark(peer, State::down, now);
    if (peer.wire != 0) drop(peer.wire, now, out);
  } else {
    return;
  }
  find_member(peer.member, out);
}

void Mesh::tick(Micros now, Sends& out) {
  for (std::map<std::uint64_t, Probe>::iterator it = probes.begin(); it != probes.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    std::string const name = it->second.peer;
    std::uint64_t const seq = it->first;
    if (!it->second.indirect) {
      it->second.indirect = true;
      it->second.due = now + plan.probe;
      // §3.4: a wire that stayed silent through a direct probe is given up and dialled anew, while others ask too.
      std::map<std::string, Peer>::const_iterator const who = roll.peers.find(name);
      if (who != roll.peers.end() && who->second.wire != 0 && now - wires[who->second.wire].heard > plan.quiet)
        drop(who->second.wire, now, out);
      std::vector<std::string> hands;
      for (std::pair<std::string const, Peer> const& item : roll.peers)
        if (item.first != name && item.second.wire != 0 && item.second.state() == State::alive)
          hands.push_back(item.first);
      int asked = 0;
      while (!hands.empty() && asked < 3) {
        std::size_t const pick = dice.below(hands.size());
        wire::PingReqT req;
        req.seq = seq;
        req.target = name;
        post(hands[pick], std::move(req), out);
        hands.erase(hands.begin() + static_cast<std::ptrdiff_t>(pick));
        ++asked;
      }
      if (asked > 0) {
        ++it;
        continue;
      }
    }
    it = probes.erase(it);
    probe_failed(name, now, out);
  }
  for (std::map<std::uint64_t, Relay>::iterator it = relays.begin(); it != relays.end();)
    it = now >= it->second.due ? relays.erase(it) : std::next(it);

  Micros const quiet = quiet_span();
  for (std::pair<std::string const, Peer>& item : roll.peers)
    if (item.second.wire != 0 && item.second.state() == State::alive && now - wires[item.second.wire].heard > quiet)
      probe(item.second, now, out);
  if (now >= next_round) {
    next_round = now + plan.round;
    std::vector<Peer*> field;
    for (std::pair<std::string const, Peer>& item : roll.peers) {
      State const state = item.second.state();
      if (state == State::alive) field.push_back(&item.second);
      if (state == State::suspected) probe(item.second, now, out);
    }
    if (!field.empty()) probe(*field[dice.below(field.size())], now, out);
    // What was not acked within a round goes again; where many are told, after three.
    if (!wide() || ++rounds % 3 == 0) flush_entries(out, true);
    roll.forget(now, plan.forget);
    ledger.forget(now, plan.forget);
    std::vector<WireId> stale;
    for (std::pair<WireId const, Wire> const& item : wires) {
      bool const mute = item.second.peer.empty() && now - item.second.opened > seconds(5);
      if (mute || now - item.second.heard > plan.idle) stale.push_back(item.first);
    }
    for (WireId const id : stale) drop(id, now, out);
  }
  dials(now, out);
}

void Mesh::flush_entries(Sends& out, bool again) {
  for (std::pair<std::string const, Peer> const& item : roll.peers) {
    if (item.second.wire == 0) continue;
    wire::EntriesT batch = ledger.batch(item.first, again);
    while (!batch.list.empty()) {
      post(item.first, std::move(batch), out);
      batch = ledger.batch(item.first, false);
    }
  }
}

void Mesh::greet(WireId id, wire::HelloT const& hello, Micros now, Sends& out) {
  if (hello.format != frame_format) {
    tell(Event::wire_foreign, "frames of format " + std::to_string(hello.format));
    drop(id, now, out);
    return;
  }
  if (hello.cluster != plan.cluster || !hello.self || hello.self->name.empty() || hello.self->name == roll.self.name) {
    tell(Event::wire_foreign, hello.cluster);
    drop(id, now, out);
    return;
  }
  std::string const& name = hello.self->name;
  wires[id].peer = name;
  wires[id].life = hello.self->incarnation;
  roll.unstrike(name);
  if (roll.merge(*hello.self, now) == Roll::News::fresh) find_member(*hello.self, out);
  Peer& peer = roll.peers.at(name);
  peer.refuse(false, now);
  if (peer.wire != 0 && peer.wire != id) {
    // §3.2: of two wires the one stays that the name sorting first opened. Of two by the same opener only the
    // opener ends one: the two sides may have seen them in different orders.
    bool const old_mine = wires[peer.wire].outbound;
    bool const new_mine = wires[id].outbound;
    bool const self_first = roll.self.name < name;
    // A peer dials only when it has no wire. So an older one is a remnant, of a former life or of a cut, unless
    // both sides dialled in the same moment.
    bool const remnant = wires[peer.wire].life != hello.self->incarnation || now - wires[peer.wire].opened > plan.round;
    if (remnant) {
      out.shuts.push_back(peer.wire);
      wires.erase(peer.wire);
    } else if (old_mine == new_mine) {
      if (new_mine) {
        out.shuts.push_back(peer.wire);
        wires.erase(peer.wire);
      }
    } else {
      WireId const loser = old_mine == self_first ? id : peer.wire;
      out.shuts.push_back(loser);
      wires.erase(loser);
      if (loser == id) return;
    }
  } else {
    tell(Event::wire_open, name);
  }
  peer.wire = id;
  peer.pause = 0;
  // The greeting answers a probe that was waiting for a wire.
  for (std::map<std::uint64_t, Probe>::iterator it = probes.begin(); it != probes.end();)
    it = it->second.peer == name ? probes.erase(it) : std::next(it);
  ledger.meet(name);
  owe_entries(name, hello);
  tell_met(id, name, hello, out);
  flush_entries(out);
}

// Where many meet one that has just started, or that was cut off, not each of them tells it everything: its seeds do
// when it knows nothing yet, and every node tells what it owns. What an owner that is gone has said is repaired by
// pings.
void Mesh::owe_entries(std::string const& name, wire::HelloT const& hello) {
  if (!wide() || hello.entries == 0) {
    ledger.owe_all(name);
  } else if (hello.ledger != ledger.digest()) {
    ledger.owe_own(name);
  }
}

// §3.3: the peer learns what is said of it, and answers with a higher bump if it is wrong.
void Mesh::tell_met(WireId id, std::string const& name, wire::HelloT const& hello, Sends& out) {
  if (wide() && hello.digest == roll.digest()) return;
  bool const whole = !wide() || hello.members < roll.peers.size() / 2;
  wire::NewsT news;
  news.table = whole ? table_for(id, true) : rumours();
  if (!whole) news.table.push_back(std::make_unique<wire::MemberT>(roll.peers.at(name).member));
  post(name, std::move(news), out);
}

void Mesh::take_table(std::vector<std::unique_ptr<wire::MemberT>> const& table, Micros now, Sends& out) {
  for (std::unique_ptr<wire::MemberT> const& item : table) {
    Roll::News const news = roll.merge(*item, now);
    if (news == Roll::News::refuted) tell_member(roll.self, out);
    // A peer that lives anew cannot have the wire of its former life.
    if (news != Roll::News::fresh) continue;
    if (wide() && table.size() <= 12) rumoured[item->name] = 6;
    std::map<std::string, Peer>::const_iterator const who = roll.peers.find(item->name);
    if (who != roll.peers.end() && who->second.wire != 0 && wires[who->second.wire].life < item->incarnation)
      drop(who->second.wire, now, out);
  }
}

std::string Mesh::frame(WireId id, wire::FrameT& frame, Micros now, Sends& out) {
  std::map<WireId, Wire>::iterator const spot = wires.find(id);
  if (spot == wires.end()) return "";
  ++frames_in;
  spot->second.heard = now;
  if (wire::HelloT const* const hello = frame.body.AsHello()) {
    if (spot->second.peer.empty()) greet(id, *hello, now, out);
    return "";
  }
  std::string const name = spot->second.peer;
  if (name.empty()) {
    tell(Event::wire_garbage, "a frame before the greeting");
    drop(id, now, out);
    return "";
  }
  switch (frame.body.type) {
    case wire::Body::Ping: {
      wire::PingT const& ping = *frame.body.AsPing();
      take_table(ping.table, now, out);
      heard(name, ping.turn, ping.serial, ping.ready);
      wire::PongT pong;
      pong.seq = ping.seq;
      pong.digest = roll.digest();
      pong.ledger = ledger.digest();
      pong.turn = roll.self.turn;
      pong.serial = roll.self.serial;
      pong.ready = roll.self.ready;
      // §3.6: whoever knows something else is told everything, and answers with what it knows besides.
      pong.whole = !wide() || table_repair.due(pong.digest, ping.digest, now);
      pong.table = !wide() ? table_for(id, false) : pong.whole ? roll.table() : rumours();
      mend_ledger(name, ping.ledger, now, out);
      out.sends.push_back({id, encode_body(std::move(pong))});
      return "";
    }
    case wire::Body::Pong: {
      wire::PongT const& pong = *frame.body.AsPong();
      take_table(pong.table, now, out);
      heard(name, pong.turn, pong.serial, pong.ready);
      if (wide() && pong.whole && pong.digest != roll.digest()) {
        wire::NewsT news;
        news.table = roll.table();
        post(name, std::move(news), out);
      }
      mend_ledger(name, pong.ledger, now, out);
      probe_done(pong.seq, now);
      std::map<std::uint64_t, Relay>::iterator const relay = relays.find(pong.seq);
      if (relay != relays.end()) {
        wire::PingResT res;
        res.seq = relay->second.seq;
        res.target = name;
        res.ok = true;
        if (wires.count(relay->second.asker)) out.sends.push_back({relay->second.asker, encode_body(std::move(res))});
        relays.erase(relay);
      }
      return "";
    }
    case wire::Body::PingReq: {
      wire::PingReqT const& req = *frame.body.AsPingReq();
      std::map<std::string, Peer>::const_iterator const target = roll.peers.find(req.target);
      if (target == roll.peers.end() || target->second.wire == 0) return "";
      std::uint64_t const seq = ++next_seq;
      wire::PingT ping;
      ping.seq = seq;
      ping.table = wide() ? rumours() : table_for(target->second.wire, false);
      ping.digest = roll.digest();
      ping.ledger = ledger.digest();
      ping.turn = roll.self.turn;
      ping.serial = roll.self.serial;
      ping.ready = roll.self.ready;
      if (post(req.target, std::move(ping), out)) relays[seq] = Relay{id, req.seq, now + plan.probe};
      return "";
    }
    case wire::Body::PingRes: {
      wire::PingResT const& res = *frame.body.AsPingRes();
      if (res.ok) probe_done(res.seq, now);
      return "";
    }
    case wire::Body::News:
      take_table(frame.body.AsNews()->table, now, out);
      return "";
    case wire::Body::Entries: {
      wire::EntriesT const& list = *frame.body.AsEntries();
      for (std::unique_ptr<wire::EntryT> const& item : list.list)
        if (ledger.merge(name, *item, now)) fresh.push_back(item->key);
      wire::EntriesAckT ack;
      ack.batch = list.batch;
      out.sends.push_back({id, encode_body(std::move(ack))});
      if (!fresh.empty()) flush_entries(out);
      return "";
    }
    case wire::Body::EntriesAck:
      ledger.acked(name, frame.body.AsEntriesAck()->batch);
      return "";
    default:
      return name;
  }
}

}  // namespace pipit
