// Status page, tenant page and metrics of a node whose workers register themselves (§9).
#include <glib.h>

#include "base/json_writer.h"
#include "base/key_digest.h"
#include "base/metrics_text.h"
#include "server/node_server.h"

namespace pipit {

namespace {
Micros now() { return g_get_monotonic_time(); }

std::map<std::string, std::uint64_t> peers_by_state(Node const& node) {
  std::map<std::string, std::uint64_t> out;
  for (MemberState const state : {MemberState::alive, MemberState::suspected, MemberState::down, MemberState::leaving})
    out[state_name(state)] = 0;
  for (std::pair<std::string const, Peer> const& item : node.mesh.members.peers) ++out[state_name(item.second.state())];
  return out;
}

std::map<std::string, std::uint64_t> workers_by_state(Node const& node) {
  std::map<std::string, std::uint64_t> out = {{"serving", 0}, {"leaving", 0}, {"gone", 0}, {"doubted", 0}};
  static char const* const names[] = {"serving", "leaving", "gone"};
  for (std::pair<std::string const, Instance> const& item : node.registry.all) {
    ++out[names[static_cast<std::size_t>(item.second.state)]];
    if (item.second.suspected >= 0) ++out["doubted"];
  }
  return out;
}

std::map<std::string, std::uint64_t> index_changes_by_source(IndexChangeCounters const& counters) {
  return {{"announced", counters.announced},
          {"zone", counters.from_zone},
          {"hubs", counters.from_hubs},
          {"hubs_at_other", counters.from_hubs_at_other}};
}

constexpr std::size_t max_tenant_rows = 32;

template <class Value>
Value value_at(std::map<std::string, Value> const& from, std::string const& name) {
  typename std::map<std::string, Value>::const_iterator const position = from.find(name);
  return position == from.end() ? Value() : position->second;
}

// Time since the key lease was last confirmed; -1 before the first confirmation.
std::int64_t lease_age_ms(Node const& node) {
  Micros const at = node.key_lease().confirmed_at();
  return at < 0 ? -1 : (now() - at) / 1000;
}

std::uint64_t age_ms(Micros at, Micros now) { return at < 0 ? 0 : static_cast<std::uint64_t>((now - at) / 1000); }
}  // namespace

std::string NodeServer::status() const {
  JsonWriter json;
  json.begin_object()
      .key("name")
      .text(options_.node.name)
      .key("role")
      .text("passage")
      .key("zone")
      .text(options_.node.zone);
  json.key("keeper")
      .boolean(options_.node.is_replica)
      .key("ready")
      .boolean(node_->is_ready())
      .key("draining")
      .boolean(shutdown_started_at_ >= 0);
  json.key("serial").number(static_cast<std::int64_t>(node_->learner.serial()));
  json.key("label").number(static_cast<std::int64_t>(label()));
  json.key("emptied").begin_list().end_list().key("keepers").begin_list();
  for (wire::ReplicaT const& replica : node_->learner.membership().replicas) json.text(replica.name);
  json.end_list()
      .key("epoch")
      .number(static_cast<std::int64_t>(node_->learner.membership().epoch))
      .key("peers")
      .begin_list();
  for (std::pair<std::string const, Peer> const& item : node_->mesh.members.peers) {
    Peer const& peer = item.second;
    json.begin_object().key("name").text(item.first).key("state").text(state_name(peer.state()));
    json.key("wire").boolean(peer.connection != 0).key("role").text("passage").key("zone").text(peer.member.zone);
    json.key("http").text(peer.member.http).key("keeper").boolean(peer.member.replica);
    json.key("serial")
        .number(static_cast<std::int64_t>(peer.member.serial))
        .key("ready")
        .boolean(peer.member.ready)
        .end_object();
  }
  json.end_list().key("workers").begin_list();
  for (std::pair<std::string const, Instance> const& item : node_->registry.all) {
    Instance const& instance = item.second;
    static char const* const names[] = {"serving", "leaving", "gone"};
    json.begin_object().key("id").text(instance.id).key("zone").text(instance.zone).key("pool").text(instance.pool);
    json.key("standing").text(names[static_cast<std::size_t>(instance.state)]).key("owner").text(instance.owner);
    json.key("doubted")
        .boolean(instance.suspected >= 0)
        .key("slots")
        .number(instance.slots)
        .key("demand")
        .number(instance.load(now()))
        .end_object();
  }
  json.end_list().key("under_way").number(static_cast<std::int64_t>(node_->dispatcher.active_requests())).end_object();
  return json.take();
}

// Lists the tenants with their quotas and this node's counters. Keys are shown only as digests.
std::string NodeServer::tenants() const {
  Description const& description = *node_->dispatcher.description();
  JsonWriter json;
  json.begin_object().key("keys_required").boolean(description.keys_required);
  json.key("configuration_confirmed_ms_ago").number(lease_age_ms(*node_));
  json.key("keys_taken").boolean(node_->key_lease().valid(now())).key("tenants").begin_list();
  for (Tenant const& tenant : description.tenants) {
    json.begin_object().key("name").text(tenant.name).key("rank").number(tenant.rank).key("keys").begin_list();
    for (Digest const& key : tenant.keys) json.text(abbreviated_digest(key));
    json.end_list().key("counts").text(tenant.unit == CountingUnit::tokens ? "tokens" : "requests");
    json.key("rate").number(tenant.rate).key("burst").number(tenant.burst);
    TenantCounters const counters = value_at(node_->dispatcher.tenant_counters, tenant.name);
    QuotaOwner::Tally const granted = value_at(node_->quota_authority().owner().tallies, tenant.name);
    json.key("here").begin_object();
    json.key("asked").number(static_cast<std::int64_t>(counters.quota_requests));
    json.key("refused").number(static_cast<std::int64_t>(counters.refused));
    json.key("unreachable").number(static_cast<std::int64_t>(counters.unreachable));
    json.key("granted_for_all").number(static_cast<std::int64_t>(granted.count));
    json.end_object().end_object();
  }
  json.end_list().end_object();
  return json.take();
}

// Returns one row per tenant for the first tenants by name and one row that sums the others, to bound the metrics'
// size.
std::map<std::string, std::uint64_t> NodeServer::by_tenant(std::uint64_t TenantCounters::*of) const {
  std::map<std::string, std::uint64_t> out;
  for (std::pair<std::string const, TenantCounters> const& item : node_->dispatcher.tenant_counters)
    out[out.size() < max_tenant_rows ? item.first : "(others)"] += item.second.*of;
  return out;
}

std::string NodeServer::metrics() const {
  DispatchCounters const& counters = node_->dispatcher.counters;
  MetricsText text;
  text.counter("pipit_asked_total", counters.received);
  text.counter("pipit_done_total", counters.served);
  text.counter("pipit_refused_total", counters.refused);
  text.counter("pipit_failed_total", counters.failed);
  text.counter("pipit_passed_total", counters.forwarded_failures);
  text.counter("pipit_streams_broken_total", counters.aborted);
  text.counter("pipit_hangups_total", counters.client_disconnects);
  text.counter("pipit_first_sends_total", counters.sends - counters.retries);
  text.counter("pipit_resends_total", counters.retries);
  text.counter("pipit_resumes_total", counters.resumed);
  text.counter("pipit_silences_total", counters.silent_attempts);
  text.counter("pipit_far_sends_total", counters.cross_zone_sends);
  text.counter("pipit_connections_dialled_total", proxy_->upstream.dialled);
  text.counter("pipit_connections_reused_total", proxy_->upstream.reused);
  text.counter("pipit_frames_in_total", node_->mesh.frames_received);
  text.counter("pipit_deltas_dropped_total", node_->index_sync.dropped);
  text.counters("pipit_index_changes_total", "source", index_changes_by_source(node_->exchange.index_changes));
  text.counter("pipit_index_changes_dropped_total", node_->exchange.index_changes.dropped);
  text.counter("pipit_tree_pulls_total", node_->index_sync.pulls);
  text.counter("pipit_clock_jumps_total", node_->clock_jumps);
  text.gauge("pipit_serial", node_->learner.serial());
  text.gauge("pipit_revision", node_->learner.revision());
  text.gauge("pipit_label", label());
  text.gauge("pipit_keepers", node_->learner.membership().replicas.size());
  text.gauge("pipit_keepers_epoch", node_->learner.membership().epoch);
  text.gauge("pipit_quorum_heard_ms_ago", age_ms(node_->learner.last_quorum_poll_at(), now()));
  text.gauge("pipit_ready", node_->is_ready() ? 1u : 0u);
  text.gauge("pipit_stopping", shutdown_started_at_ >= 0 ? 1u : 0u);
  text.gauge("pipit_under_way", node_->dispatcher.active_requests());
  text.gauge("pipit_oldest_request_ms", static_cast<std::uint64_t>(node_->dispatcher.oldest_request_age(now()) / 1000));
  text.gauge("pipit_callers", proxy_->server.connections());
  text.gauge("pipit_orders_under_way", pending_changes_.size());
  text.gauge("pipit_wires", node_->mesh.open_connections());
  text.gauge("pipit_mesh_backlog_bytes", connections_->backlog_bytes());
  traffic_.write_metrics(text);
  write_metrics(*budget_, text);
  text.gauges("pipit_peers", "state", peers_by_state(*node_));
  text.gauges("pipit_workers", "standing", workers_by_state(*node_));
  text.gauge("pipit_configuration_confirmed_ms_ago", age_ms(node_->key_lease().confirmed_at(), now()));
  text.counter("pipit_keys_unknown_total", counters.unknown_keys);
  text.counter("pipit_keys_unconfirmed_total", counters.unconfirmed);
  text.counter("pipit_quota_messages_total", node_->quota_authority().client().tally.messages);
  text.counter("pipit_quota_timeouts_total", node_->quota_authority().client().tally.timeouts);
  text.counters("pipit_quota_asked_total", "tenant", by_tenant(&TenantCounters::quota_requests));
  text.counters("pipit_quota_refused_total", "tenant", by_tenant(&TenantCounters::refused));
  text.counters("pipit_quota_unreachable_total", "tenant", by_tenant(&TenantCounters::unreachable));
  text.counters("pipit_answers_total", "kind", proxy_->error_answers);
  text.counters("pipit_order_answers_total", "status", operator_answers_);
  text.invariants();
  return text.take();
}

}  // namespace pipit
