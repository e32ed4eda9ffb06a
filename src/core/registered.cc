// A node whose workers register themselves: their words, routed requests, and what nodes tell of both (§12).
#include "core/node.h"
#include "ground/events.h"
#include "ground/guards.h"

namespace pipit {

namespace {
constexpr Micros load_gap = millis(200);
constexpr Micros hint_least = millis(40);
constexpr Micros load_most = millis(700);  // after which loads are told though nothing changed
}  // namespace

void Node::put_entry(wire::EntryT entry, Micros now, NodeOut& out) {
  if (mesh.ledger.put(std::move(entry), now)) mesh.flush_entries(out.mesh);
}

void Node::beat(Beat const& word, Micros now, NodeOut& out) {
  watch_clock(now);
  if (std::optional<wire::EntryT> entry = registry.beat(word, now)) put_entry(std::move(*entry), now, out);
  take_fresh(now);
  look_ready(now, out);
}

void Node::beat_end(std::string const& id, std::uint64_t order, Micros now, NodeOut& out) {
  watch_clock(now);
  if (std::optional<wire::EntryT> entry = registry.leave(id, order, now)) put_entry(std::move(*entry), now, out);
  take_fresh(now);
}

void Node::request(std::uint64_t id, Query query, Micros now, NodeOut& out) {
  watch_clock(now);
  dispatcher.fresh(id, std::move(query), now, out.dispatch);
  hint(now, out);
}

// §12.5: a long prompt keeps a worker busy for longer than the next telling of loads is away. Peers hear of it at once.
void Node::hint(Micros now, NodeOut& out) {
  bool due = false;
  for (std::pair<std::string const, Instance> const& item : registry.all) due = due || item.second.untold >= hint_least;
  if (!due) return;
  wire::LoadsT const work = registry.own_loads(true);
  for (std::string const& name : tide_peers()) mesh.post(name, wire::LoadsT(work), out.mesh);
}

void Node::attempt_ended(std::uint64_t id, AttemptEnd end, bool elsewhere, Micros now, NodeOut& out) {
  watch_clock(now);
  dispatcher.ended(id, end, elsewhere, now, out.dispatch);
  share_doubts(now, out);
}

void Node::share_doubts(Micros now, NodeOut& out) {
  for (std::string const& id : out.dispatch.doubts)
    for (std::string const& name : tide_peers()) {
      wire::DoubtT word;
      word.worker = id;
      word.incarnation = 1;
      mesh.post(name, std::move(word), out.mesh);
    }
  out.dispatch.doubts.clear();
}

void Node::tick_registered(Micros now, std::vector<Letter>& letters, NodeOut& out) {
  if (now >= next_round) {
    next_round = now + seconds(1);
    std::vector<std::pair<std::string, std::vector<std::string>>> peers;
    for (std::string const& name : tide_peers()) peers.emplace_back(name, std::vector<std::string>());
    tide.round(
        now, peers, [this](std::string const& model) { return bounds(model); }, letters);
  }
  tide.tick(now, tide_peers(), letters);
  if (now >= next_reconcile) {
    // §4.4: what the ledger holds and the table lost.
    next_reconcile = now + seconds(30);
    for (std::pair<std::string const, wire::EntryT> const& item : mesh.ledger.all())
      if (registry.find(item.first) == nullptr) registry.take_entry(item.second, now);
  }
  for (wire::EntryT& entry : registry.silent(now)) put_entry(std::move(entry), now, out);
  take_fresh(now);
  if (now >= next_loads) {
    next_loads = now + load_gap;
    wire::LoadsT const loads = registry.own_loads(false);
    std::string print;
    bool work = false;
    for (std::unique_ptr<wire::LoadT> const& item : loads.list) {
      print += item->worker + " " + std::to_string(item->legs) + " ";
      work = work || item->reading > 0;
    }
    if (work || print != loads_last || (now - loads_told > load_most && !print.empty())) {
      loads_last = print;
      loads_told = now;
      for (std::string const& name : tide_peers()) letters.push_back(letter(name, wire::LoadsT(loads)));
    }
    registry.sum_others(now);
  }
  dispatcher.nodes(passages(true).size());
  look_ready(now, out);
  dispatcher.tick(now, out.dispatch);
  hint(now, out);
  share_doubts(now, out);
}

}  // namespace pipit
