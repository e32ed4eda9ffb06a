// Status page and metrics of a router or configuration store (§9).
#include "base/json_writer.h"
#include "base/metrics_text.h"
#include "runtime/router_host.h"

namespace pipit {

std::string RouterHost::status() const {
  JsonWriter json;
  json.begin_object()
      .key("name")
      .text(settings_.name)
      .key("role")
      .text(role_ == MemberRole::router ? "passage" : "accord");
  json.key("zone")
      .text(settings_.zone)
      .key("ready")
      .boolean(node_->is_ready())
      .key("draining")
      .boolean(grace_until_ >= 0);
  json.key("serial").number(static_cast<std::int64_t>(node_->learner.serial()));
  json.key("emptied").begin_list();
  for (std::string const& zone : node_->chat_dispatcher.drained_zones()) json.text(zone);
  json.end_list().key("keepers").begin_list();
  for (wire::ReplicaT const& replica : node_->learner.membership().replicas) json.text(replica.name);
  json.end_list().key("epoch").number(static_cast<std::int64_t>(node_->learner.membership().epoch));
  json.key("peers").begin_list();
  for (std::pair<std::string const, Peer> const& item : node_->mesh.members.peers) {
    Peer const& peer = item.second;
    json.begin_object()
        .key("name")
        .text(item.first)
        .key("state")
        .text(state_name(peer.state()))
        .key("wire")
        .boolean(peer.connection != 0);
    json.key("role").text(peer.role() == MemberRole::router ? "passage" : "accord").key("zone").text(peer.member.zone);
    json.key("http").text(peer.member.http);
    json.key("serial")
        .number(static_cast<std::int64_t>(peer.member.serial))
        .key("ready")
        .boolean(peer.member.ready)
        .end_object();
  }
  json.end_list().key("workers").begin_list();
  for (std::pair<std::string const, Worker> const& item : node_->fleet.workers) {
    Worker const& worker = item.second;
    static char const* const state_names[] = {"serving", "leaving", "gone"};
    json.begin_object().key("id").text(item.first).key("zone").text(worker.row.zone).key("pool").text(worker.row.pool);
    json.key("standing")
        .text(state_names[static_cast<std::size_t>(worker.state)])
        .key("dark")
        .boolean(worker.unhealthy);
    json.key("incarnation").number(static_cast<std::int64_t>(worker.row.incarnation));
    Pool const* const pool = node_->chat_dispatcher.description()->find_pool(worker.row.pool);
    std::int64_t const slots = pool != nullptr ? worker.capacity(*pool) : worker.row.slots;
    json.key("slots").number(slots).key("sent").number(static_cast<std::int64_t>(worker.sent));
    json.key("demand").number(worker.estimated_load()).end_object();
  }
  json.end_list().key("backlog").number(static_cast<std::int64_t>(node_->chat_dispatcher.backlog_size()));
  json.key("under_way").number(static_cast<std::int64_t>(node_->chat_requests_in_flight())).end_object();
  return json.take();
}

std::string RouterHost::metrics() const {
  ChatCounters const& counters = node_->chat_dispatcher.counters;
  MetricsText text;
  text.counter("pipit_asked_total", counters.received);
  text.counter("pipit_first_sends_total", counters.first_sends);
  text.counter("pipit_resends_total", counters.retries);
  text.counter("pipit_done_total", counters.done);
  text.counter("pipit_refused_total", counters.refused);
  text.counter("pipit_streams_broken_total", counters.aborted);
  text.counter("pipit_hangups_total", counters.client_disconnects);
  text.counter("pipit_expired_total", counters.expired);
  text.counter("pipit_blocks_asked_total", counters.prompt_blocks);
  text.counter("pipit_blocks_hit_total", counters.cached_blocks);
  text.counter("pipit_far_sends_total", counters.cross_zone_sends);
  text.counter("pipit_wire_bytes_total", mesh_bytes_);
  text.counter("pipit_frames_in_total", node_->mesh.frames_received);
  text.counter("pipit_deltas_dropped_total", node_->index_sync.dropped);
  text.counter("pipit_tree_pulls_total", node_->index_sync.pulls);
  text.counter("pipit_tree_stalls_total", node_->index_sync.stalls);
  text.counter("pipit_clock_jumps_total", node_->clock_jumps);
  text.gauge("pipit_longest_turn_us", static_cast<std::uint64_t>(longest_loop_turn_us_));
  text.gauge("pipit_serial", node_->learner.serial());
  text.gauge("pipit_ready", node_->is_ready() ? 1u : 0u);
  text.gauge("pipit_backlog", node_->chat_dispatcher.backlog_size());
  text.gauge("pipit_under_way", node_->chat_requests_in_flight());
  text.gauge("pipit_wires", node_->mesh.open_connections());
  text.counters("pipit_mesh_bytes_total", "zone", mesh_bytes_by_zone_);
  text.gauge("pipit_mesh_backlog_bytes", connections_->backlog_bytes());
  traffic_.write_metrics(text);
  write_metrics(*budget_, text);
  text.counters("pipit_leg_bytes_total", "zone", attempt_bytes_by_zone_);
  text.counters("pipit_answers_total", "kind", error_answers_);
  text.invariants();
  return text.take();
}

}  // namespace pipit
