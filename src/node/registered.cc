// A node whose workers register themselves: their words, routed requests, and what nodes tell of both (§12).
#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros poll_gap = millis(500);
constexpr Micros poll_wide = seconds(1);
constexpr Micros poll_rare = seconds(3);  // where pings bring news of revisions already
constexpr Micros adopt_gap = seconds(1);
constexpr Micros strange_owner = seconds(10);  // longer than a node needs to meet all others
}  // namespace

void Node::put_entry(wire::EntryT entry, Micros now, NodeEffects& out) {
  if (mesh.put_entry(std::move(entry), now)) mesh.flush_entries(out.mesh);
}

bool Node::heartbeat(Heartbeat const& word, Micros now, NodeEffects& out) {
  watch_clock(now);
  bool const heard = worker_departures_.is_connected(now);
  // The others know the worker by another node, which goes on hearing it: nothing of that is taken over here, where
  // nobody would hear of it.
  if (!heard && !word.leaving && registry.hear(word, now)) return false;
  if (std::optional<wire::EntryT> entry = registry.heartbeat(word, now)) put_entry(std::move(*entry), now, out);
  take_fresh(now);
  update_readiness(now, out);
  return heard;
}

void Node::worker_left(std::string const& id, std::uint64_t order, Micros now, NodeEffects& out) {
  watch_clock(now);
  if (std::optional<wire::EntryT> entry = registry.leave(id, order, now)) put_entry(std::move(*entry), now, out);
  take_fresh(now);
}

void Node::await_end(std::uint64_t id, std::string const& worker, Micros now, NodeEffects& out) {
  worker_departures_.add_call(id, worker, now, out.end_answers);
}

void Node::request(std::uint64_t id, RequestInfo query, Micros now, NodeEffects& out) {
  watch_clock(now);
  configuration_authority_.update_confirmations();
  dispatcher.on_request(id, std::move(query), now, out.dispatch);
  process_quota(now, out);
  exchange_now(now, out);
}

void Node::process_quota(Micros now, NodeEffects& out) {
  std::vector<OutgoingMessage> outgoing;
  quota_authority_.process_dispatch_effects(out.dispatch, now, outgoing);
  dispatch(outgoing, now, out);
}

void Node::attempt_ended(std::uint64_t id, AttemptEnd end, bool elsewhere, Micros now, NodeEffects& out) {
  watch_clock(now);
  dispatcher.on_attempt_end(id, end, elsewhere, now, out.dispatch);
  process_quota(now, out);
}

void Node::exchange_now(Micros now, NodeEffects& out) {
  if (mesh.is_large_fleet()) return;  // words of many nodes wait for the tick, so that more of them go together
  std::vector<OutgoingMessage> outgoing;
  exchange.tick(now, exchange_topology_.compute_paths(), outgoing);
  dispatch(outgoing, now, out);
}

// §12.7: a replica brings a chosen value to its part of its zone's other nodes.
void Node::forward(wire::ChosenT const& update, NodeEffects& out) {
  if (!plan.replica) return;
  std::vector<std::string> hands{plan.name};
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (item.second.member.replica && item.second.member.zone == plan.zone && item.second.connection != 0 &&
        item.second.state() == MemberState::alive)
      hands.push_back(item.first);
  std::sort(hands.begin(), hands.end());
  wire::ChosenT copy;
  copy.request_id = update.request_id;
  copy.origin = update.origin;
  if (update.value) copy.value = std::make_unique<wire::ValueT>(*update.value);
  if (update.patch) copy.patch = std::make_unique<wire::ValuePatchT>(*update.patch);
  std::string const bytes = encode_message(std::move(copy));
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
    Peer const& peer = item.second;
    if (peer.connection == 0 || peer.member.replica || item.first == update.origin) continue;
    if (peer.member.zone == plan.zone &&
        rendezvous(item.first, std::set<std::string>(hands.begin(), hands.end())) == plan.name)
      out.mesh.outgoing_frames.push_back({peer.connection, bytes});
  }
}

Micros Node::poll_span() const {
  if (!plan.registered || !mesh.is_large_fleet()) return poll_gap;
  if (!ready_now_ || stale_from_ >= 0) return poll_gap;
  return acceptor ? poll_wide : poll_rare;
}

// A worker whose owner is gone would stay for good if it is lost too: the first of the nodes that are there, in the
// worker's rendezvous order, takes it over, and ends it if it says nothing there either. One that is alive calls
// another node meanwhile, which owns it by then. Whoever hears too few others takes nothing over: it may be the one
// that is gone.
void Node::adopt_workers(Micros now, NodeEffects& out) {
  next_adoption_ = now + adopt_gap;
  if (leaving_ || !worker_departures_.is_connected(now)) return;
  std::set<std::string> const here = routers(false);
  for (std::pair<std::string const, Instance> const& item : registry.all) {
    Instance const& at = item.second;
    if (at.standing == WorkerState::ended || here.count(at.owner) > 0) continue;
    std::map<std::string, Peer>::const_iterator const owner = mesh.members.peers.find(at.owner);
    bool const met = owner != mesh.members.peers.end();
    // A node that is new has not met everybody yet.
    Micros const gone_for =
        met ? now - owner->second.state_since : now - std::max(started_at_, at.known) - strange_owner;
    if (gone_for < plan.heartbeat_interval * 2) continue;
    if (rendezvous(item.first, here) != plan.name) continue;
    put_entry(registry.adopt(item.first, now), now, out);
  }
}

void Node::tick_registered(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out) {
  GossipPaths const ways = exchange_topology_.compute_paths();
  // §12.7: an owner tells every peer itself; a hub tells its zone besides, for pairs that have no connection.
  mesh.entry_replication.forward_to_all = !ways.hierarchical;
  mesh.entry_replication.forward_targets.clear();
  if (ways.is_hub) mesh.entry_replication.forward_targets.insert(ways.zone_peers.begin(), ways.zone_peers.end());
  if (now >= next_round_) {
    next_round_ = now + seconds(1);
    index_sync.round(
        now, {}, [this](std::string const& model) { return bounds(model); }, outgoing);
  }
  index_sync.tick(now, index_peers(), outgoing);
  if (now >= next_reconcile_) {
    // §4.4: what the entry table holds and the table lost.
    next_reconcile_ = now + seconds(30);
    for (std::pair<std::string const, wire::EntryT> const& item : mesh.entry_table.entries())
      if (registry.find(item.first) == nullptr) registry.take_entry(item.second, now);
  }
  for (wire::EntryT& entry : registry.silent(now)) put_entry(std::move(entry), now, out);
  if (now >= next_adoption_) adopt_workers(now, out);
  take_fresh(now);
  worker_departures_.answer_calls(now, out.end_answers);
  dispatcher.set_node_count(routers(true).size(), mesh.is_large_fleet());
  update_readiness(now, out);
  configuration_authority_.renew_leases(dispatcher.description()->keys_required, now, outgoing);
  quota_authority_.tick(now, outgoing);
  dispatcher.tick(now, out.dispatch);
  process_quota(now, out);
  exchange.tick(now, ways, outgoing);
}

}  // namespace pipit
