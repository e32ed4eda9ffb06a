// Methods of Node for workers that register themselves: heartbeats, routed requests, quota, and the reports on both
// that nodes exchange (§12).
#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros default_poll_interval = millis(500);
constexpr Micros large_fleet_replica_poll_interval = seconds(1);
constexpr Micros large_fleet_poll_interval = seconds(3);  // pings announce revisions already
constexpr Micros adoption_interval = seconds(1);
constexpr Micros gossip_paths_interval = millis(250);
constexpr Micros index_round_interval = seconds(1);
constexpr Micros reconcile_interval = seconds(30);
constexpr Micros unknown_owner_grace = seconds(10);  // longer than a node needs to connect to all others
}  // namespace

bool Node::handle_heartbeat(Heartbeat const& heartbeat, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  restore_worker(heartbeat.id, now);
  bool const connected = worker_departures_.is_connected(now);
  // Another node owns the worker and still receives its heartbeats. A node that is cut off does not take the worker
  // over, since the others would not learn of it.
  if (!connected && !heartbeat.leaving && registry.record_liveness(heartbeat, now)) return false;
  if (std::optional<wire::EntryT> entry = registry.heartbeat(heartbeat, now))
    publish_entry(std::move(*entry), now, out);
  apply_updated_entries(now, out);
  update_readiness(now, out);
  return connected;
}

void Node::worker_left(std::string const& id, std::uint64_t call_sequence, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  if (std::optional<wire::EntryT> entry = registry.leave(id, call_sequence, now))
    publish_entry(std::move(*entry), now, out);
  apply_updated_entries(now, out);
}

void Node::await_worker_end(std::uint64_t id, std::string const& worker, Micros now, NodeEffects& out) {
  worker_departures_.add_call(id, worker, now, out.end_answers);
}

void Node::start_request(std::uint64_t id, RequestInfo request, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  configuration_authority_.update_confirmations();
  dispatcher.on_request(id, std::move(request), now, out.dispatch);
  process_quota(now, out);
  send_reports(now, out);
}

void Node::process_quota(Micros now, NodeEffects& out) {
  std::vector<OutgoingMessage> outgoing;
  quota_authority_.process_dispatch_effects(out.dispatch, now, outgoing);
  send_messages(outgoing, now, out);
}

void Node::attempt_ended(std::uint64_t id, AttemptEnd end, bool wrong_instance, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  dispatcher.on_attempt_end(id, end, wrong_instance, now, out.dispatch);
  process_quota(now, out);
}

void Node::send_reports(Micros now, NodeEffects& out) {
  if (mesh.is_large_fleet()) return;  // reports wait for the tick, so that more of them share a message
  std::vector<OutgoingMessage> outgoing;
  exchange.tick(now, exchange_topology_.compute_paths(), outgoing);
  send_messages(outgoing, now, out);
}

void Node::log_report_hub(GossipPaths const& paths) {
  std::string const hub = !paths.hierarchical ? std::string() : paths.is_hub ? plan.name : paths.zone_hub;
  if (hub == report_hub_) return;
  report_hub_ = hub;
  log_event(Event::report_hub_changed, hub.empty() ? "every node sends to all" : hub);
}

// §12.7: the replicas of a zone divide the zone's other nodes among themselves; each forwards a chosen value to its
// share.
void Node::forward_to_zone(wire::ChosenT const& update, NodeEffects& out) {
  if (!plan.is_replica) return;
  std::vector<std::string> forwarders{plan.name};
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (item.second.member.replica && item.second.member.zone == plan.zone && item.second.connection != 0 &&
        item.second.state() == MemberState::alive)
      forwarders.push_back(item.first);
  std::sort(forwarders.begin(), forwarders.end());
  wire::ChosenT copy;
  copy.request_id = update.request_id;
  copy.origin = update.origin;
  if (update.value) copy.value = std::make_unique<wire::ValueT>(*update.value);
  if (update.patch) copy.patch = std::make_unique<wire::ValuePatchT>(*update.patch);
  std::string const bytes = encode_message(std::move(copy));
  std::size_t receivers = 0;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
    Peer const& peer = item.second;
    if (peer.connection == 0 || peer.member.replica || item.first == update.origin) continue;
    if (peer.member.zone == plan.zone &&
        rendezvous(item.first, std::set<std::string>(forwarders.begin(), forwarders.end())) == plan.name) {
      out.mesh.outgoing_frames.push_back({peer.connection, bytes});
      ++receivers;
    }
  }
  std::uint64_t const serial = update.value         ? update.value->serial
                               : update.patch->rest ? update.patch->rest->serial
                                                    : 0;
  log_event(Event::value_forwarded, "serial " + std::to_string(serial) + " of " + update.origin + " to " +
                                        std::to_string(receivers) + " nodes");
}

Micros Node::poll_interval() const {
  if (!plan.workers_self_register || !mesh.is_large_fleet()) return default_poll_interval;
  if (!ready_ || stale_since_ >= 0) return default_poll_interval;
  return acceptor ? large_fleet_replica_poll_interval : large_fleet_poll_interval;
}

// A worker that is lost together with its owner would stay in the table for good. The first alive node in the worker's
// rendezvous order therefore adopts it, and ends it if no heartbeat arrives there either. A worker that is alive calls
// another node meanwhile, which then owns it. A node that is connected to too few others adopts nothing: it may itself
// be the one that is cut off.
void Node::adopt_workers(Micros now, NodeEffects& out) {
  next_adoption_ = now + adoption_interval;
  if (draining_ || !worker_departures_.is_connected(now)) return;
  std::set<std::string> const alive = known_routers(false);
  for (std::pair<std::string const, Instance> const& item : registry.all) {
    Instance const& at = item.second;
    if (at.state == WorkerState::ended || alive.count(at.owner) > 0) continue;
    std::map<std::string, Peer>::const_iterator const owner = mesh.members.peers.find(at.owner);
    bool const owner_known = owner != mesh.members.peers.end();
    // A node that has just started is not connected to all others yet, and may not know the owner.
    Micros const absent_for = owner_known ? now - owner->second.state_since
                                          : now - std::max(started_at_, at.state_since) - unknown_owner_grace;
    if (absent_for < plan.heartbeat_interval * 2) continue;
    if (rendezvous(item.first, alive) != plan.name) continue;
    publish_entry(registry.adopt(item.first, now), now, out);
  }
}

// In a large fleet the paths are kept for an interval, since each computation visits every member.
void Node::update_gossip_paths(Micros now) {
  if (mesh.is_large_fleet() && gossip_paths_.hierarchical && now < next_gossip_paths_) return;
  next_gossip_paths_ = now + gossip_paths_interval;
  gossip_paths_ = exchange_topology_.compute_paths();
  log_report_hub(gossip_paths_);
  // §12.7: an owner sends its entries to every peer itself; a hub also forwards them within its zone, for pairs of
  // nodes that have no connection.
  mesh.entry_replication.forward_to_all = !gossip_paths_.hierarchical;
  mesh.entry_replication.forward_targets.clear();
  if (gossip_paths_.is_hub)
    mesh.entry_replication.forward_targets.insert(gossip_paths_.served_peers.begin(), gossip_paths_.served_peers.end());
}

void Node::tick_registered_workers(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out) {
  update_gossip_paths(now);
  if (now >= next_index_round_) {
    next_index_round_ = now + index_round_interval;
    index_sync.round(
        now, {}, [this](std::string const& model) { return index_bounds(model); }, outgoing);
  }
  index_sync.tick(
      now, [this] { return index_peers(); }, outgoing);
  if (now >= next_reconcile_) {
    next_reconcile_ = now + reconcile_interval;
    for (std::pair<std::string const, wire::EntryT> const& item : mesh.entry_table.entries())
      restore_worker(item.first, now);
  }
  for (wire::EntryT& entry : registry.end_silent_workers(now)) publish_entry(std::move(entry), now, out);
  if (now >= next_adoption_) adopt_workers(now, out);
  apply_updated_entries(now, out);
  worker_departures_.answer_calls(now, out.end_answers);
  dispatcher.set_node_count(count_known_routers(true), mesh.is_large_fleet());
  update_readiness(now, out);
  configuration_authority_.renew_leases(dispatcher.description()->keys_required, now, outgoing);
  quota_authority_.tick(now, outgoing);
  dispatcher.tick(now, out.dispatch);
  process_quota(now, out);
  exchange.tick(now, gossip_paths_, outgoing);
}

}  // namespace pipit
