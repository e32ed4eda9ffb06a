// What the control side moves as the fleet grows: whole nodes under virtual time with ten workers and the requests of a
// node each, counted by kind of frame.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "testing/control_plane_simulator/node_view.h"
#include "testing/control_plane_simulator/world.h"

namespace pipit {

namespace {
using control_plane_simulator::FrameCount;
using control_plane_simulator::Machine;
using control_plane_simulator::MachineId;
using control_plane_simulator::World;
using control_plane_simulator::WorldPlan;

constexpr std::size_t workers_each = 10;
constexpr Micros heartbeat_interval = millis(1200);
constexpr Micros request_gap = millis(220);   // of a node
constexpr std::size_t path_blocks = 3;        // of a prompt's prefix
constexpr std::uint64_t prompt_work = 60000;  // microseconds of reading that a request brings

struct FleetPlan {
  std::size_t nodes = 30;
  std::size_t disks = 8;
  std::size_t worker_restarts = 0;  // a second
  Micros change_gap = 0;            // between changes of the configuration; 0 for none
  bool requests = true;
  bool node_restarts = false;
};

// Workers that call home, requests that are placed, and operators' changes.
class LoadedFleet {
 public:
  explicit LoadedFleet(FleetPlan const& plan_) : plan(plan_), world(world_of(plan_)) {
    mute_log(true);
    world.on_reply = [this](Machine&, ChangeReply const& reply) {
      if (reply.outcome.type != Outcome::Type::chosen) return;
      slowest = std::max(slowest, world.now() - asked[reply.id]);
      ++changes;
      confirmed = std::max(confirmed, reply.id);
    };
    for (std::size_t n = 0; n < plan.nodes * workers_each; ++n)
      workers.push_back(Worker{name_of(n, 0), n % plan.nodes, 0, 0, false});
    world.boot_all(true);
    world.run_until(seconds(8));
    change();
    world.run(seconds(4));
    for (std::size_t n = 0; n < workers.size(); ++n)
      world.after(spread(heartbeat_interval), [this, n] { heartbeat(n); });
    if (plan.requests)
      for (MachineId id = 0; id < plan.nodes; ++id) world.after(spread(request_gap), [this, id] { request(id); });
    world.run(seconds(12));
    if (plan.worker_restarts > 0) restart_worker();
    if (plan.change_gap > 0) changing();
    if (plan.node_restarts) restart_node(0);
    world.run(seconds(2));
  }

  void measure(Micros span) {
    world.sent.clear();
    changes = 0;
    slowest = 0;
    for (MachineId id = 0; id < plan.nodes; ++id) world.machine(id).bytes_moved = 0;
    world.run(span);
    measured = span;
  }

  double mean_rate() const { return rate(total()) / static_cast<double>(plan.nodes); }
  double busiest_rate() const {
    std::uint64_t most = 0;
    for (MachineId id = 0; id < plan.nodes; ++id) most = std::max(most, world.machine(id).bytes_moved);
    return rate(most);
  }

  std::string table() const {
    std::string out;
    for (std::pair<wire::Body const, FrameCount> const& item : world.sent) {
      char row[120];
      std::snprintf(row, sizeof row, "  %-10s %9.1f frames/s %9.0f bytes/s a node\n", wire::EnumNameBody(item.first),
                    rate(item.second.frames) / static_cast<double>(plan.nodes),
                    2 * rate(item.second.bytes) / static_cast<double>(plan.nodes));
      out += row;
    }
    return out;
  }
  std::uint64_t changes = 0;
  Micros slowest = 0;

  World& machines() { return world; }
  // Workers that serve, as a node knows them.
  std::size_t serving_at(MachineId id) {
    std::size_t out = 0;
    for (std::pair<std::string const, Instance> const& item : world.machine(id).node->registry.all)
      if (item.second.standing == WorkerState::serving) ++out;
    return out;
  }
  bool serves(std::size_t number, MachineId seen_by) {
    Instance const* const item = world.machine(seen_by).node->registry.find(workers[number].id);
    return item != nullptr && item->standing == WorkerState::serving;
  }
  // One worker says farewell at its node.
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
  static WorldPlan world_of(FleetPlan const& plan) {
    WorldPlan out;
    out.seed = 3;
    out.disks = plan.disks;
    out.plain = plan.nodes - plan.disks;
    return out;
  }
  static std::string name_of(std::size_t number, std::uint64_t incarnation) {
    return "i-" + std::to_string(100000 + number) + std::to_string(1000 + incarnation);
  }
  Micros spread(Micros span) { return static_cast<Micros>(world.chance().below(static_cast<std::uint64_t>(span))); }
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
    Heartbeat word;
    word.id = worker.id;
    word.address = "10.9." + std::to_string(number / 200) + "." + std::to_string(number % 200) + ":8080";
    word.zone = machine.zone;
    word.pool = "s-llm";
    word.slots = 48;
    word.order = ++worker.order;
    world.enter(worker.home, world.machine(worker.home).process,
                [word](Node& node, Micros now, NodeEffects& out) { node.handle_heartbeat(word, now, out); });
    world.after(heartbeat_interval, [this, number] { heartbeat(number); });
  }

  void request(MachineId id) {
    std::string const worker = workers[world.chance().below(workers.size())].id;
    std::uint64_t const path = world.chance().below(2000);
    world.enter(id, world.machine(id).process, [worker, path](Node& node, Micros now, NodeEffects&) {
      node.exchange.report_work(worker, prompt_work);
      if (Instance* const item = node.registry.find(worker)) item->work(prompt_work, now);
      wire::DeltaT delta;
      delta.base = path;
      for (std::size_t n = 0; n < path_blocks; ++n) {
        delta.tail.push_back(path * 100 + n);
        delta.weights.push_back(600);
      }
      delta.worker = worker;
      node.exchange.report_index_change("s-llm/m", delta);
      node.exchange.report_load(worker, 12);
    });
    world.after(request_gap, [this, id] { request(id); });
  }

  void restart_worker() {
    Worker& worker = workers[world.chance().below(workers.size())];
    std::string const id = worker.id;
    std::uint64_t const order = ++worker.order;
    world.enter(worker.home, world.machine(worker.home).process,
                [id, order](Node& node, Micros now, NodeEffects& out) { node.worker_left(id, order, now, out); });
    worker.id = name_of(static_cast<std::size_t>(&worker - workers.data()), ++worker.incarnation);
    worker.order = 0;
    world.after(seconds(1) / static_cast<Micros>(plan.worker_restarts), [this] { restart_worker(); });
  }

  void restart_node(MachineId id) {
    world.kill(id);
    world.after(millis(800), [this, id] { world.boot(id); });
    world.after(seconds(1), [this, id] { restart_node((id + 7) % plan.nodes); });
  }

  void change() {
    std::uint64_t const label = ++labels;
    std::string text = R"({"format":1,"pools":[{"name":"s-llm","model":"m"})";
    for (int n = 0; n < 80; ++n)
      text += R"(,{"name":"filler-)" + std::to_string(n) + R"(","model":"some-model-of-a-service","slots":48})";
    text += R"(,{"name":"at-)" + std::to_string(label) + R"(","model":"m"}],"lanes":[]})";
    Change const made = control_plane_simulator::replace_change(confirmed, label, text);
    asked[label] = world.now();
    MachineId const id = world.chance().below(plan.nodes);
    if (!world.machine(id).up()) return;
    world.enter(id, world.machine(id).process,
                [label, made](Node& node, Micros now, NodeEffects& out) { node.submit_change(label, made, now, out); });
  }
  void changing() {
    change();
    world.after(plan.change_gap, [this] { changing(); });
  }

  FleetPlan const plan;
  World world;
  std::vector<Worker> workers;
  std::map<std::uint64_t, Micros> asked;
  std::uint64_t confirmed = 0;
  std::uint64_t labels = 0;
  Micros measured = 1;
};
}  // namespace

namespace {
// The mean over all nodes, in bytes a second.
double restarts_cost(std::size_t nodes) {
  FleetPlan plan;
  plan.nodes = nodes;
  plan.requests = false;
  plan.node_restarts = true;
  LoadedFleet fleet(plan);
  fleet.measure(seconds(8));
  std::printf("%zu nodes, one restarts each second: %.0f bytes a second and node, busiest %.0f\n%s", nodes,
              fleet.mean_rate(), fleet.busiest_rate(), fleet.table().c_str());
  return fleet.mean_rate();
}
}  // namespace

// Each node that met one that had just started told it all that it knew of workers and members, and the whole
// configuration: 145,390 bytes a second and node at 30 nodes of which one restarts each second.
TEST(FleetTraffic, a_node_that_restarts_is_told_everything_once) { EXPECT_LT(restarts_cost(30), 40000); }

// Entries of workers that come and go are told once to each, and whole entry tables are not compared meanwhile.
TEST(FleetTraffic, workers_that_restart_cost_each_node_little) {
  FleetPlan plan;
  plan.requests = false;
  plan.worker_restarts = 6;
  LoadedFleet fleet(plan);
  fleet.measure(seconds(8));
  EXPECT_LT(fleet.mean_rate(), 20000) << fleet.table();
}

// What is told of requests grows with the requests alone.
TEST(FleetTraffic, requests_cost_each_node_what_is_told_of_them) {
  FleetPlan plan;
  LoadedFleet fleet(plan);
  fleet.measure(seconds(6));
  EXPECT_LT(fleet.mean_rate(), 50000) << fleet.table();
}

// Told less, a node that restarts still knows all workers and the configuration at once.
TEST(FleetTraffic, a_node_that_restarts_knows_everything_within_a_second) {
  FleetPlan plan;
  plan.nodes = 40;
  plan.requests = false;
  LoadedFleet fleet(plan);
  World& world = fleet.machines();
  for (MachineId const id : {MachineId(3), MachineId(17), MachineId(39)}) {
    std::uint64_t const turn = world.machine(id).node->learner.revision();
    world.kill(id);
    world.run(millis(300));
    world.boot(id);
    world.run(seconds(1));
    EXPECT_EQ(fleet.serving_at(id), plan.nodes * workers_each) << id;
    EXPECT_EQ(world.machine(id).node->learner.revision(), turn) << id;
  }
}

// What happened to workers on the other side of a cut is known soon after it, though the owner of one was lost as well.
TEST(FleetTraffic, after_a_cut_all_know_which_workers_ended) {
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
      EXPECT_FALSE(fleet.serves(worker, id)) << worker << " at " << id;
}

}  // namespace pipit
