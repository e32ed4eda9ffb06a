// Control-plane traffic of a large fleet: complete nodes under virtual time, each with ten workers and a request load,
// and the bytes that they exchange by type of frame.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "mesh/frame.h"
#include "testing/control_plane_simulator/node_view.h"
#include "testing/control_plane_simulator/world.h"

namespace pipit {

namespace {
using control_plane_simulator::FrameCount;
using control_plane_simulator::Machine;
using control_plane_simulator::MachineId;
using control_plane_simulator::World;
using control_plane_simulator::WorldPlan;

constexpr std::size_t workers_per_node = 10;
constexpr Micros heartbeat_interval = millis(1200);
constexpr Micros request_interval = millis(220);  // between the requests of a node
constexpr std::size_t prefix_blocks = 3;          // blocks of a prompt prefix
constexpr std::uint64_t prefill_us = 60000;       // prefill time of a request in microseconds

struct FleetPlan {
  std::size_t nodes = 30;
  std::size_t disks = 8;  // nodes with a disk, of all nodes
  std::size_t zones = 3;
  std::size_t worker_restarts = 0;  // per second
  Micros change_interval = 0;       // between configuration changes; 0 for none
  bool requests = true;
  bool node_restarts = false;
};

// Simulates worker heartbeats, placed requests and configuration changes.
class LoadedFleet {
 public:
  explicit LoadedFleet(FleetPlan const& fleet_plan) : plan(fleet_plan), world(world_plan_of(fleet_plan)) {
    mute_log(true);
    world.on_reply = [this](Machine&, ChangeReply const& reply) {
      if (reply.outcome.type != Outcome::Type::chosen) return;
      slowest_change = std::max(slowest_change, world.now() - submitted_at[reply.id]);
      ++changes;
      confirmed = std::max(confirmed, reply.id);
    };
    for (std::size_t n = 0; n < plan.nodes * workers_per_node; ++n)
      workers.push_back(Worker{worker_id_of(n, 0), n % plan.nodes, 0, 0, false});
    world.boot_all(true);
    world.run_until(seconds(8));
    submit_configuration_change();
    world.run(seconds(4));
    for (std::size_t n = 0; n < workers.size(); ++n)
      world.after(random_delay(heartbeat_interval), [this, n] { heartbeat(n); });
    if (plan.requests)
      for (MachineId id = 0; id < plan.nodes; ++id)
        world.after(random_delay(request_interval), [this, id] { request(id); });
    world.run(seconds(12));
    if (plan.worker_restarts > 0) restart_worker();
    if (plan.change_interval > 0) repeat_changes();
    if (plan.node_restarts) restart_node(0);
    world.run(seconds(2));
  }

  // Runs the fleet for 'span' and counts its traffic during that time.
  void measure(Micros span) {
    world.sent.clear();
    changes = 0;
    slowest_change = 0;
    for (MachineId id = 0; id < plan.nodes; ++id) world.machine(id).bytes_moved = 0;
    world.run(span);
    measured = span;
  }

  // Bytes per second and node, sent and received.
  double mean_rate() const { return rate(total()) / static_cast<double>(plan.nodes); }
  // Bytes per second of the node with the most traffic.
  double busiest_rate() const {
    std::uint64_t most = 0;
    for (MachineId id = 0; id < plan.nodes; ++id) most = std::max(most, world.machine(id).bytes_moved);
    return rate(most);
  }

  // The same of the nodes without a disk, and their mean.
  double busiest_plain_rate() const {
    std::uint64_t most = 0;
    for (MachineId id = plan.disks; id < plan.nodes; ++id) most = std::max(most, world.machine(id).bytes_moved);
    return rate(most);
  }
  double mean_plain_rate() const {
    std::uint64_t sum = 0;
    for (MachineId id = plan.disks; id < plan.nodes; ++id) sum += world.machine(id).bytes_moved;
    return rate(sum) / static_cast<double>(plan.nodes - plan.disks);
  }

  // Frames and bytes per second and node, by type of frame.
  std::string table() const {
    std::string out;
    for (std::pair<wire::Body const, FrameCount> const& item : world.sent) {
      char row[120];
      std::snprintf(row, sizeof row, "  %-10s %9.1f frames/s %9.0f bytes/s per node\n", wire::EnumNameBody(item.first),
                    rate(item.second.frames) / static_cast<double>(plan.nodes),
                    2 * rate(item.second.bytes) / static_cast<double>(plan.nodes));
      out += row;
    }
    return out;
  }
  std::uint64_t changes = 0;
  Micros slowest_change = 0;
  // Bytes per second and node, sent and received, of one type of frame.
  double rate_of(wire::Body kind) { return 2 * rate(world.sent[kind].bytes) / static_cast<double>(plan.nodes); }

  // Sizes of messages with all entries and with all members.
  std::uint64_t entry_table_bytes() {
    wire::EntriesT message;
    for (std::pair<std::string const, wire::EntryT> const& item : world.machine(0).node->mesh.entry_table.entries())
      message.list.push_back(std::make_unique<wire::EntryT>(item.second));
    return encode_message(std::move(message)).size();
  }
  std::uint64_t member_table_bytes() {
    wire::MembershipUpdateT message;
    message.table = world.machine(0).node->mesh.members.records_since();
    return encode_message(std::move(message)).size();
  }

  World& machines() { return world; }
  // Number of workers that are serving in the view of a node.
  std::size_t serving_at(MachineId id) {
    std::size_t out = 0;
    for (std::pair<std::string const, Instance> const& item : world.machine(id).node->registry.all)
      if (item.second.state == WorkerState::serving) ++out;
    return out;
  }
  // Whether a worker is serving in the view of a node.
  bool serves(std::size_t number, MachineId observer) {
    Instance const* const item = world.machine(observer).node->registry.find(workers[number].id);
    return item != nullptr && item->state == WorkerState::serving;
  }
  // A node reports the load of a worker, and that the worker caches a prefix with the worker's number.
  void report(MachineId id, std::size_t number) {
    std::string const worker = workers[number].id;
    world.enter(id, world.machine(id).process, [worker, number](Node& node, Micros, NodeEffects&) {
      wire::DeltaT delta;
      delta.tail.push_back(number + 1);
      delta.weights.push_back(600);
      delta.worker = worker;
      node.exchange.report_index_change("s-llm/m", delta);
      node.exchange.report_load(worker, 12);
    });
  }
  // Whether a node knows both from the report of another node.
  bool knows_report(std::size_t number, MachineId observer) {
    Node& node = *world.machine(observer).node;
    Instance const* const item = node.registry.find(workers[number].id);
    bool const cached = node.index_sync.index("s-llm/m").match({number + 1}).count(workers[number].id) > 0;
    return item != nullptr && item->reported_load == 12 && cached;
  }
  // A worker announces its end to its node.
  void end_worker(std::size_t number) {
    Worker& worker = workers[number];
    std::string const id = worker.id;
    std::uint64_t const order = ++worker.order;
    world.enter(worker.home, world.machine(worker.home).process,
                [id, order](Node& node, Micros now, NodeEffects& out) { node.worker_left(id, order, now, out); });
    worker.ended = true;
  }

 private:
  struct Worker {
    std::string id;
    MachineId home;
    std::uint64_t incarnation;
    std::uint64_t order;
    bool ended = false;
  };
  static WorldPlan world_plan_of(FleetPlan const& plan) {
    WorldPlan out;
    out.seed = 3;
    out.disks = plan.disks;
    out.plain = plan.nodes - plan.disks;
    out.zones = plan.zones;
    return out;
  }
  static std::string worker_id_of(std::size_t number, std::uint64_t incarnation) {
    return "i-" + std::to_string(100000 + number) + std::to_string(1000 + incarnation);
  }
  Micros random_delay(Micros span) {
    return static_cast<Micros>(world.chance().below(static_cast<std::uint64_t>(span)));
  }
  double rate(std::uint64_t count) const { return static_cast<double>(count) * 1e6 / static_cast<double>(measured); }
  std::uint64_t total() const {
    std::uint64_t out = 0;
    for (MachineId id = 0; id < plan.nodes; ++id) out += world.machine(id).bytes_moved;
    return out;
  }

  void heartbeat(std::size_t number) {
    Worker& worker = workers[number];
    if (worker.ended) return;
    Machine& machine = world.machine(worker.home);
    if (!machine.up()) worker.home = (worker.home + 1) % plan.nodes;
    Heartbeat message;
    message.id = worker.id;
    message.address = "10.9." + std::to_string(number / 200) + "." + std::to_string(number % 200) + ":8080";
    message.zone = machine.zone;
    message.pool = "s-llm";
    message.slots = 48;
    message.order = ++worker.order;
    world.enter(worker.home, world.machine(worker.home).process,
                [message](Node& node, Micros now, NodeEffects& out) { node.handle_heartbeat(message, now, out); });
    world.after(heartbeat_interval, [this, number] { heartbeat(number); });
  }

  void request(MachineId id) {
    std::string const worker = workers[world.chance().below(workers.size())].id;
    std::uint64_t const prefix = world.chance().below(2000);
    world.enter(id, world.machine(id).process, [worker, prefix](Node& node, Micros now, NodeEffects&) {
      node.exchange.report_work(worker, prefill_us);
      if (Instance* const item = node.registry.find(worker)) item->work(prefill_us, now);
      wire::DeltaT delta;
      delta.base = prefix;
      for (std::size_t n = 0; n < prefix_blocks; ++n) {
        delta.tail.push_back(prefix * 100 + n);
        delta.weights.push_back(600);
      }
      delta.worker = worker;
      node.exchange.report_index_change("s-llm/m", delta);
      node.exchange.report_load(worker, 12);
    });
    world.after(request_interval, [this, id] { request(id); });
  }

  void restart_worker() {
    Worker& worker = workers[world.chance().below(workers.size())];
    std::string const id = worker.id;
    std::uint64_t const order = ++worker.order;
    world.enter(worker.home, world.machine(worker.home).process,
                [id, order](Node& node, Micros now, NodeEffects& out) { node.worker_left(id, order, now, out); });
    worker.id = worker_id_of(static_cast<std::size_t>(&worker - workers.data()), ++worker.incarnation);
    worker.order = 0;
    world.after(seconds(1) / static_cast<Micros>(plan.worker_restarts), [this] { restart_worker(); });
  }

  void restart_node(MachineId id) {
    world.kill(id);
    world.after(millis(800), [this, id] { world.boot(id); });
    world.after(seconds(1), [this, id] { restart_node((id + 7) % plan.nodes); });
  }

  void submit_configuration_change() {
    std::uint64_t const label = ++labels;
    std::string text = R"({"format":1,"pools":[{"name":"s-llm","model":"m"})";
    for (int n = 0; n < 80; ++n)
      text += R"(,{"name":"filler-)" + std::to_string(n) + R"(","model":"some-model-of-a-service","slots":48})";
    text += R"(,{"name":"at-)" + std::to_string(label) + R"(","model":"m"}],"lanes":[]})";
    Change const change = control_plane_simulator::replace_change(confirmed, label, text);
    submitted_at[label] = world.now();
    MachineId const id = world.chance().below(plan.nodes);
    if (!world.machine(id).up()) return;
    world.enter(id, world.machine(id).process, [label, change](Node& node, Micros now, NodeEffects& out) {
      node.submit_change(label, change, now, out);
    });
  }
  void repeat_changes() {
    submit_configuration_change();
    world.after(plan.change_interval, [this] { repeat_changes(); });
  }

  FleetPlan const plan;
  World world;
  std::vector<Worker> workers;
  std::map<std::uint64_t, Micros> submitted_at;
  std::uint64_t confirmed = 0;
  std::uint64_t labels = 0;
  Micros measured = 1;
};
}  // namespace

namespace {
// Mean traffic in bytes per second and node while one node restarts each second.
double traffic_of_restarts(std::size_t nodes) {
  FleetPlan plan;
  plan.nodes = nodes;
  plan.requests = false;
  plan.node_restarts = true;
  LoadedFleet fleet(plan);
  fleet.measure(seconds(8));
  std::printf("%zu nodes, one restart per second: %.0f bytes/s per node on average, %.0f on the busiest node\n%s",
              nodes, fleet.mean_rate(), fleet.busiest_rate(), fleet.table().c_str());
  return fleet.mean_rate();
}
}  // namespace

// Each node that connected to a restarted one used to send it all worker and member records and the whole
// configuration: 145,390 bytes per second and node at 30 nodes of which one restarts each second.
TEST(FleetTraffic, restarted_node_receives_the_full_state_once) { EXPECT_LT(traffic_of_restarts(30), 40000); }

// Records of starting and ending workers are sent once to each node, and do not cause comparisons of whole entry
// tables.
TEST(FleetTraffic, worker_restarts_cause_little_traffic) {
  FleetPlan plan;
  plan.requests = false;
  plan.worker_restarts = 6;
  LoadedFleet fleet(plan);
  fleet.measure(seconds(8));
  EXPECT_LT(fleet.mean_rate(), 20000) << fleet.table();
}

// The traffic that reports requests depends only on the number of requests.
TEST(FleetTraffic, request_reports_cause_bounded_traffic) {
  FleetPlan plan;
  LoadedFleet fleet(plan);
  fleet.measure(seconds(6));
  EXPECT_LT(fleet.mean_rate(), 50000) << fleet.table();
}

// The reduced state transfer still gives a restarted node all workers and the configuration at once.
TEST(FleetTraffic, restarted_node_has_the_full_state_within_a_second) {
  FleetPlan plan;
  plan.nodes = 40;
  plan.requests = false;
  LoadedFleet fleet(plan);
  World& world = fleet.machines();
  for (MachineId const id : {MachineId(3), MachineId(17), MachineId(39)}) {
    std::uint64_t const revision = world.machine(id).node->learner.revision();
    world.kill(id);
    world.run(millis(300));
    world.boot(id);
    world.run(seconds(1));
    EXPECT_EQ(fleet.serving_at(id), plan.nodes * workers_per_node) << "node " << id;
    EXPECT_EQ(world.machine(id).node->learner.revision(), revision) << "node " << id;
  }
}

// Its three seeds send a restarted node what they know, and all others what is their own.
TEST(FleetTraffic, restarted_nodes_receive_the_tables_from_few_peers) {
  constexpr std::size_t restarts = 18;
  constexpr std::uint64_t tables_allowed = 5;
  FleetPlan plan;
  plan.nodes = 90;
  plan.disks = 6;
  plan.requests = false;
  LoadedFleet fleet(plan);
  World& world = fleet.machines();
  std::vector<MachineId> restarted;
  for (std::size_t n = 0; n < restarts; ++n) restarted.push_back(plan.disks + 3 * n);
  for (MachineId const id : restarted) world.kill(id);
  world.run(millis(500));
  for (MachineId const id : restarted) {
    world.machine(id).received.clear();
    world.boot(id);
  }
  world.run(seconds(1));
  std::uint64_t const entry_table = fleet.entry_table_bytes();
  std::uint64_t const member_table = fleet.member_table_bytes();
  for (MachineId const id : restarted) {
    EXPECT_EQ(world.machine(id).node->mesh.members.peers.size(), plan.nodes - 1) << "node " << id;
    std::map<wire::Body, FrameCount>& received = world.machine(id).received;
    EXPECT_LE(received[wire::Body::Entries].bytes, tables_allowed * entry_table) << "node " << id;
    EXPECT_LE(received[wire::Body::MembershipUpdate].bytes, tables_allowed * member_table) << "node " << id;
  }
}

// Worker ends on the other side of a network partition reach all nodes soon after it heals, although the node of one
// worker was lost as well.
TEST(FleetTraffic, worker_ends_reach_all_nodes_after_a_partition) {
  FleetPlan plan;
  plan.nodes = 40;
  plan.requests = false;
  LoadedFleet fleet(plan);
  World& world = fleet.machines();
  world.isolate({21, 22, 23, 24, 25}, control_plane_simulator::CutKind::silent, control_plane_simulator::CutWay::both);
  world.run(seconds(2));
  fleet.end_worker(30);
  fleet.end_worker(36);
  world.run(seconds(1));
  world.kill(36);
  world.run(seconds(3));
  world.heal();
  world.run(seconds(3));
  for (MachineId const id : {MachineId(2), MachineId(21), MachineId(23), MachineId(25)})
    for (std::size_t const worker : {std::size_t(30), std::size_t(36)})
      EXPECT_FALSE(fleet.serves(worker, id)) << "worker " << worker << " at node " << id;
}

namespace {
// One machine with a disk in each zone is the zone's hub. The hub of the first zone is cut off from the other hubs and
// restarted: the others then select a plain machine for its zone, and it selects plain machines for theirs.
FleetPlan one_hub_per_zone() {
  FleetPlan plan;
  plan.nodes = 48;
  plan.disks = 6;
  plan.zones = 6;
  return plan;
}
void cut_first_hub_off(World& world) {
  world.part({0}, {1, 2, 3, 4, 5});
  world.kill(0);
  world.run(millis(600));
  world.boot(0);
  world.run(seconds(6));
}
}  // namespace

TEST(FleetTraffic, reports_do_not_circulate_while_zones_select_different_hubs) {
  LoadedFleet fleet(one_hub_per_zone());
  fleet.measure(seconds(4));
  double const calm = fleet.rate_of(wire::Body::Deltas);
  cut_first_hub_off(fleet.machines());
  fleet.measure(seconds(4));
  EXPECT_LE(fleet.rate_of(wire::Body::Deltas), 1.25 * calm) << fleet.table();
}

// Machines with a disk have the links for it.
TEST(FleetTraffic, plain_machines_do_not_pass_reports_on_while_a_machine_with_a_disk_can) {
  for (bool const cut : {false, true}) {
    LoadedFleet fleet(one_hub_per_zone());
    World& world = fleet.machines();
    if (cut)
      cut_first_hub_off(world);
    else
      world.kill(0);
    world.run(seconds(2));
    fleet.measure(seconds(4));
    EXPECT_LT(fleet.busiest_plain_rate(), 2 * fleet.mean_plain_rate()) << (cut ? "cut off" : "down");
  }
}

TEST(FleetTraffic, reports_reach_all_zones_while_zones_select_different_hubs) {
  FleetPlan plan = one_hub_per_zone();
  plan.requests = false;
  LoadedFleet fleet(plan);
  World& world = fleet.machines();
  cut_first_hub_off(world);
  constexpr MachineId reporter_in_first_zone = 6;
  constexpr MachineId reporter_in_second_zone = 7;
  for (MachineId const reporter : {reporter_in_first_zone, reporter_in_second_zone}) fleet.report(reporter, reporter);
  world.run(seconds(2));
  for (MachineId id = 0; id < plan.nodes; ++id)
    for (MachineId const reporter : {reporter_in_first_zone, reporter_in_second_zone}) {
      // A report does not reach the machines from which the hub of the reporter's zone is cut off.
      MachineId const hub = reporter % plan.zones;
      if (id == reporter || world.cut(hub, id)) continue;
      EXPECT_TRUE(fleet.knows_report(reporter, id)) << "report of " << reporter << " at node " << id;
    }
}

}  // namespace pipit
