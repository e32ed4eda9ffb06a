// What a node tells of itself: its status and its metrics (§9).
#include "base/json_writer.h"
#include "runtime/host.h"

namespace pipit {

std::string Host::status() const {
  JsonWriter json;
  json.begin_object().key("name").text(settings.name).key("role").text(role == Role::passage ? "passage" : "accord");
  json.key("zone").text(settings.zone).key("ready").boolean(node->ready()).key("draining").boolean(grace_until >= 0);
  json.key("serial").number(static_cast<std::int64_t>(node->learner.serial()));
  json.key("emptied").begin_list();
  for (std::string const& zone : node->desk.emptied()) json.text(zone);
  json.end_list().key("keepers").begin_list();
  for (wire::KeeperT const& keeper : node->learner.membership().keepers) json.text(keeper.name);
  json.end_list().key("epoch").number(static_cast<std::int64_t>(node->learner.membership().epoch));
  json.key("peers").begin_list();
  for (std::pair<std::string const, Peer> const& item : node->mesh.members.peers) {
    Peer const& peer = item.second;
    json.begin_object()
        .key("name")
        .text(item.first)
        .key("state")
        .text(state_word(peer.state()))
        .key("wire")
        .boolean(peer.wire != 0);
    json.key("role").text(peer.role() == Role::passage ? "passage" : "accord").key("zone").text(peer.member.zone);
    json.key("http").text(peer.member.http);
    json.key("serial")
        .number(static_cast<std::int64_t>(peer.member.serial))
        .key("ready")
        .boolean(peer.member.ready)
        .end_object();
  }
  json.end_list().key("workers").begin_list();
  for (std::pair<std::string const, Worker> const& item : node->fleet.workers) {
    Worker const& worker = item.second;
    static char const* const words[] = {"serving", "leaving", "gone"};
    json.begin_object().key("id").text(item.first).key("zone").text(worker.row.zone).key("pool").text(worker.row.pool);
    json.key("standing").text(words[static_cast<std::size_t>(worker.standing)]).key("dark").boolean(worker.dark);
    json.key("incarnation").number(static_cast<std::int64_t>(worker.row.incarnation));
    Pool const* const pool = node->desk.description()->pool(worker.row.pool);
    std::int64_t const slots = pool != nullptr ? worker.room(*pool) : worker.row.slots;
    json.key("slots").number(slots).key("sent").number(static_cast<std::int64_t>(worker.sent));
    json.key("demand").number(worker.guess()).end_object();
  }
  json.end_list().key("backlog").number(static_cast<std::int64_t>(node->desk.waiting()));
  json.key("under_way").number(static_cast<std::int64_t>(node->under_way())).end_object();
  return json.take();
}

std::string Host::metrics() const {
  std::string out;
  Tally const& t = node->desk.tally;
  struct Row {
    char const* name;
    char const* type;
    std::uint64_t value;
  };
  Row const rows[] = {
      {"pipit_asked_total", "counter", t.asked},
      {"pipit_first_sends_total", "counter", t.first_sends},
      {"pipit_resends_total", "counter", t.resends},
      {"pipit_done_total", "counter", t.done},
      {"pipit_refused_total", "counter", t.refused},
      {"pipit_streams_broken_total", "counter", t.broken},
      {"pipit_hangups_total", "counter", t.hangups},
      {"pipit_expired_total", "counter", t.late},
      {"pipit_blocks_asked_total", "counter", t.blocks_asked},
      {"pipit_blocks_hit_total", "counter", t.blocks_hit},
      {"pipit_far_sends_total", "counter", t.far_sends},
      {"pipit_wire_bytes_total", "counter", wire_bytes},
      {"pipit_frames_in_total", "counter", node->mesh.frames_in},
      {"pipit_deltas_dropped_total", "counter", node->index_sync.dropped},
      {"pipit_tree_pulls_total", "counter", node->index_sync.pulls},
      {"pipit_tree_stalls_total", "counter", node->index_sync.stalls},
      {"pipit_clock_jumps_total", "counter", node->jumps},
      {"pipit_longest_turn_us", "gauge", longest_turn},
      {"pipit_serial", "gauge", node->learner.serial()},
      {"pipit_ready", "gauge", node->ready() ? 1u : 0u},
      {"pipit_backlog", "gauge", node->desk.waiting()},
      {"pipit_under_way", "gauge", node->under_way()},
      {"pipit_wires", "gauge", node->mesh.wires_open()},
  };
  for (Row const& row : rows)
    out +=
        std::string("# TYPE ") + row.name + " " + row.type + "\n" + row.name + " " + std::to_string(row.value) + "\n";
  out += "# TYPE pipit_mesh_bytes_total counter\n";
  for (std::pair<std::string const, std::uint64_t> const& item : mesh_to)
    out += "pipit_mesh_bytes_total{zone=\"" + item.first + "\"} " + std::to_string(item.second) + "\n";
  out += "# TYPE pipit_frame_bytes_total counter\n";
  for (std::pair<wire::Body const, std::uint64_t> const& item : frame_bytes)
    out += std::string("pipit_frame_bytes_total{frame=\"") + wire::EnumNameBody(item.first) + "\"} " +
           std::to_string(item.second) + "\n";
  out += "# TYPE pipit_leg_bytes_total counter\n";
  for (std::pair<std::string const, std::uint64_t> const& item : legs_with)
    out += "pipit_leg_bytes_total{zone=\"" + item.first + "\"} " + std::to_string(item.second) + "\n";
  out += "# TYPE pipit_answers_total counter\n";
  for (std::pair<std::string const, std::uint64_t> const& item : kinds)
    out += "pipit_answers_total{kind=\"" + item.first + "\"} " + std::to_string(item.second) + "\n";
  return out;
}

}  // namespace pipit
