// What a node tells of itself: its status and its metrics (§9).
#include <glib.h>

#include "base/json_writer.h"
#include "base/metrics_text.h"
#include "gate/station/station.h"

namespace pipit {

namespace {
Micros now() { return g_get_monotonic_time(); }

std::map<std::string, std::uint64_t> peers_by_state(Node const& node) {
  std::map<std::string, std::uint64_t> out;
  for (State const state : {State::alive, State::suspected, State::down, State::leaving}) out[state_word(state)] = 0;
  for (std::pair<std::string const, Peer> const& item : node.mesh.members.peers) ++out[state_word(item.second.state())];
  return out;
}

std::map<std::string, std::uint64_t> workers_by_standing(Node const& node) {
  std::map<std::string, std::uint64_t> out = {{"serving", 0}, {"leaving", 0}, {"gone", 0}, {"doubted", 0}};
  static char const* const words[] = {"serving", "leaving", "gone"};
  for (std::pair<std::string const, Instance> const& item : node.registry.all) {
    ++out[words[static_cast<std::size_t>(item.second.standing)]];
    if (item.second.doubted >= 0) ++out["doubted"];
  }
  return out;
}

std::uint64_t age_ms(Micros at, Micros now) { return at < 0 ? 0 : static_cast<std::uint64_t>((now - at) / 1000); }
}  // namespace

std::string Station::status() const {
  JsonWriter json;
  json.begin_object().key("name").text(plan.node.name).key("role").text("passage").key("zone").text(plan.node.zone);
  json.key("keeper")
      .boolean(plan.node.keeper)
      .key("ready")
      .boolean(node->ready())
      .key("draining")
      .boolean(stop_from >= 0);
  json.key("serial").number(static_cast<std::int64_t>(node->learner.serial()));
  json.key("label").number(static_cast<std::int64_t>(label()));
  json.key("emptied").begin_list().end_list().key("keepers").begin_list();
  for (wire::KeeperT const& keeper : node->learner.membership().keepers) json.text(keeper.name);
  json.end_list()
      .key("epoch")
      .number(static_cast<std::int64_t>(node->learner.membership().epoch))
      .key("peers")
      .begin_list();
  for (std::pair<std::string const, Peer> const& item : node->mesh.members.peers) {
    Peer const& peer = item.second;
    json.begin_object().key("name").text(item.first).key("state").text(state_word(peer.state()));
    json.key("wire").boolean(peer.wire != 0).key("role").text("passage").key("zone").text(peer.member.zone);
    json.key("http").text(peer.member.http).key("keeper").boolean(peer.member.keeper);
    json.key("serial")
        .number(static_cast<std::int64_t>(peer.member.serial))
        .key("ready")
        .boolean(peer.member.ready)
        .end_object();
  }
  json.end_list().key("workers").begin_list();
  for (std::pair<std::string const, Instance> const& item : node->registry.all) {
    Instance const& at = item.second;
    static char const* const words[] = {"serving", "leaving", "gone"};
    json.begin_object().key("id").text(at.id).key("zone").text(at.zone).key("pool").text(at.pool);
    json.key("standing").text(words[static_cast<std::size_t>(at.standing)]).key("owner").text(at.owner);
    json.key("doubted")
        .boolean(at.doubted >= 0)
        .key("slots")
        .number(at.slots)
        .key("demand")
        .number(at.load(now()))
        .end_object();
  }
  json.end_list().key("under_way").number(static_cast<std::int64_t>(node->dispatcher.under_way())).end_object();
  return json.take();
}

std::string Station::metrics() const {
  DispatchTally const& t = node->dispatcher.tally;
  MetricsText text;
  text.counter("pipit_asked_total", t.asked);
  text.counter("pipit_done_total", t.served);
  text.counter("pipit_refused_total", t.refused);
  text.counter("pipit_failed_total", t.failed);
  text.counter("pipit_passed_total", t.passed);
  text.counter("pipit_streams_broken_total", t.broken);
  text.counter("pipit_hangups_total", t.hangups);
  text.counter("pipit_first_sends_total", t.sends - t.resends);
  text.counter("pipit_resends_total", t.resends);
  text.counter("pipit_resumes_total", t.resumes);
  text.counter("pipit_silences_total", t.silences);
  text.counter("pipit_far_sends_total", t.far_sends);
  text.counter("pipit_connections_dialled_total", relay->upstream.dialled);
  text.counter("pipit_connections_reused_total", relay->upstream.reused);
  text.counter("pipit_frames_in_total", node->mesh.frames_in);
  text.counter("pipit_deltas_dropped_total", node->index_sync.dropped);
  text.counter("pipit_tree_pulls_total", node->index_sync.pulls);
  text.counter("pipit_clock_jumps_total", node->jumps);
  text.gauge("pipit_serial", node->learner.serial());
  text.gauge("pipit_revision", node->learner.revision());
  text.gauge("pipit_label", label());
  text.gauge("pipit_keepers", node->learner.membership().keepers.size());
  text.gauge("pipit_keepers_epoch", node->learner.membership().epoch);
  text.gauge("pipit_quorum_heard_ms_ago", age_ms(node->learner.contact(), now()));
  text.gauge("pipit_ready", node->ready() ? 1u : 0u);
  text.gauge("pipit_stopping", stop_from >= 0 ? 1u : 0u);
  text.gauge("pipit_under_way", node->dispatcher.under_way());
  text.gauge("pipit_oldest_request_ms", static_cast<std::uint64_t>(node->dispatcher.oldest(now()) / 1000));
  text.gauge("pipit_callers", relay->server.connections());
  text.gauge("pipit_orders_under_way", asked.size());
  text.gauge("pipit_wires", node->mesh.wires_open());
  text.gauges("pipit_peers", "state", peers_by_state(*node));
  text.gauges("pipit_workers", "standing", workers_by_standing(*node));
  text.counters("pipit_answers_total", "kind", relay->kinds);
  text.counters("pipit_order_answers_total", "status", order_answers);
  text.invariants();
  return text.take();
}

}  // namespace pipit
