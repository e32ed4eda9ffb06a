// Fleets of nodes whose workers register themselves: node cores under virtual time, with links that lose no frames
// (§3.6, §12.7).
#include <gtest/gtest.h>

#include <deque>

#include "base/events.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros tick_interval = millis(50);
constexpr Micros link_latency = millis(1);

class SimulatedFleet {
 public:
  SimulatedFleet(std::size_t count, std::size_t zones, std::size_t replicas) {
    mute_log(true);
    for (std::size_t i = 0; i < count; ++i) {
      NodePlan plan;
      plan.name = "n" + std::to_string(100 + i);
      plan.zone = "z" + std::to_string(i % zones);
      plan.address = "10.0.0." + std::to_string(i + 1) + ":7000";
      for (std::size_t s = 0; s < 3; ++s) plan.seeds.push_back("10.0.0." + std::to_string(s + 1) + ":7000");
      plan.workers_self_register = true;
      plan.first_start = true;
      plan.is_replica = i < replicas;
      plan.random_seed = i + 1;
      plan.incarnation = 1000 + i;
      std::optional<wire::RecordT> recovered;
      if (plan.is_replica) {
        recovered.emplace();
        recovered->cluster = plan.cluster;
        recovered->name = plan.name;
        recovered->disk = 77 + i;
      }
      node_by_address[plan.address] = nodes.size();
      nodes.push_back(std::make_unique<Node>(plan, now, std::move(recovered)));
      replies.emplace_back();
    }
  }

  void run(Micros span) {
    for (Micros const stop = now + span; now < stop;) {
      Micros next = (now / tick_interval + 1) * tick_interval;
      while (!in_flight.empty() && in_flight.front().deliver_at <= next) {
        Message const message = std::move(in_flight.front());
        in_flight.pop_front();
        now = std::max(now, message.deliver_at);
        if (!connection_ends.count(message.connection) || message.to == isolated_node || removed.count(message.to) > 0)
          continue;
        ++frames;
        bytes += message.bytes.size();
        NodeEffects out;
        if (!nodes[message.to]->receive_frame(message.connection, message.bytes, now, out)) close(message.connection);
        apply_effects(message.to, out);
      }
      now = next;
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (removed.count(i) > 0) continue;
        NodeEffects out;
        nodes[i]->tick(now, out);
        apply_effects(i, out);
      }
    }
  }

  void apply_effects(std::size_t from, NodeEffects& out) {
    if (out.record_to_sync) pending_syncs.push_back(from);
    for (std::string const& address : out.mesh.dial_addresses) dial(from, address);
    for (ConnectionEffects::OutgoingFrame& send : out.mesh.outgoing_frames) {
      std::map<ConnectionId, std::pair<std::size_t, std::size_t>>::const_iterator const position =
          connection_ends.find(send.connection);
      if (position == connection_ends.end()) continue;
      std::size_t const to = position->second.first == from ? position->second.second : position->second.first;
      in_flight.push_back({now + link_latency, to, send.connection, std::move(send.bytes)});
    }
    for (ConnectionId const id : out.mesh.closed_connections) close(id, from);
    for (ChangeReply& item : out.replies) replies[from].push_back(std::move(item));
    for (DepartureAnswer const& item : out.end_answers) departure_answers[item.id] = item.acknowledged;
    while (!pending_syncs.empty()) {
      std::size_t const node = pending_syncs.back();
      pending_syncs.pop_back();
      NodeEffects more;
      nodes[node]->record_synced(now, more);
      apply_effects(node, more);
    }
  }

  void heartbeat(std::size_t node, Heartbeat const& heartbeat) {
    NodeEffects out;
    nodes[node]->handle_heartbeat(heartbeat, now, out);
    apply_effects(node, out);
  }

  // A worker says that it drains; the call's answer comes under this id.
  void drain(std::size_t node, Heartbeat heartbeat, std::uint64_t call) {
    heartbeat.leaving = true;
    NodeEffects out;
    nodes[node]->handle_heartbeat(heartbeat, now, out);
    nodes[node]->await_worker_end(call, heartbeat.id, now, out);
    apply_effects(node, out);
  }

  // Ends the process of a node; its address then refuses connections.
  void remove(std::size_t node) {
    removed.insert(node);
    std::vector<ConnectionId> open;
    for (std::pair<ConnectionId const, std::pair<std::size_t, std::size_t>> const& item : connection_ends)
      if (item.second.first == node || item.second.second == node) open.push_back(item.first);
    for (ConnectionId const id : open) close(id, node);
  }

  // Restarts a removed node without a disk at its old address.
  void restart(std::size_t node) {
    NodePlan plan = nodes[node]->plan;
    plan.first_start = false;
    plan.incarnation += 1000;
    plan.random_seed += 1000;
    nodes[node] = std::make_unique<Node>(plan, now, std::nullopt);
    removed.erase(node);
  }

  Micros now = seconds(10);
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::vector<ChangeReply>> replies;
  std::map<std::uint64_t, bool> departure_answers;  // by the id of the call
  // Submits an empty configuration.
  void configure(std::uint64_t label) {
    Change change;
    change.type = Change::Type::apply;
    change.text = R"({"format":1,"pools":[],"lanes":[]})";
    change.label = label;
    change.id = "configure-" + std::to_string(label);
    NodeEffects out;
    nodes[0]->submit_change(label, change, now, out);
    apply_effects(0, out);
  }

  std::uint64_t frames = 0;
  std::uint64_t bytes = 0;
  std::size_t isolated_node = SIZE_MAX;  // index of a node that receives no frames

 private:
  struct Message {
    Micros deliver_at;
    std::size_t to;
    ConnectionId connection;
    std::string bytes;
  };
  void dial(std::size_t from, std::string const& address) {
    std::map<std::string, std::size_t>::const_iterator const to = node_by_address.find(address);
    NodeEffects out;
    if (to == node_by_address.end() || removed.count(to->second) > 0) {
      nodes[from]->dial_failed(address, true, now, out);
      return apply_effects(from, out);
    }
    ConnectionId const id = ++last_connection;
    connection_ends[id] = {from, to->second};
    nodes[from]->connection_opened(id, true, address, now, out);
    apply_effects(from, out);
    NodeEffects other;
    nodes[to->second]->connection_opened(id, false, "", now, other);
    apply_effects(to->second, other);
  }
  void close(ConnectionId id, std::size_t except = SIZE_MAX) {
    std::map<ConnectionId, std::pair<std::size_t, std::size_t>>::const_iterator const position =
        connection_ends.find(id);
    if (position == connection_ends.end()) return;
    std::pair<std::size_t, std::size_t> const end_points = position->second;
    connection_ends.erase(position);
    for (std::size_t const node : {end_points.first, end_points.second}) {
      if (node == except) continue;
      NodeEffects out;
      nodes[node]->connection_closed(id, now, out);
      apply_effects(node, out);
    }
  }

  std::set<std::size_t> removed;
  std::map<std::string, std::size_t> node_by_address;
  std::map<ConnectionId, std::pair<std::size_t, std::size_t>> connection_ends;
  std::deque<Message> in_flight;
  std::vector<std::size_t> pending_syncs;
  ConnectionId last_connection = 0;
};

Heartbeat heartbeat_of(std::string const& id, std::uint64_t order) {
  Heartbeat out;
  out.id = id;
  out.address = "10.9.0.1:80";
  out.zone = "z0";
  out.pool = "p";
  out.slots = 8;
  out.order = order;
  return out;
}

// Whether a removed node, restarted and told at once that a worker drains, acknowledges it: the node is connected to no
// other yet, and the replica set becomes known to it before the deadline.
bool acknowledges_drain_after_restart(SimulatedFleet& fleet, std::size_t node, Heartbeat const& heartbeat) {
  constexpr std::uint64_t call = 1;
  fleet.run(millis(200));
  fleet.restart(node);
  fleet.drain(node, heartbeat, call);
  fleet.run(seconds(2));
  return fleet.departure_answers.count(call) > 0 && fleet.departure_answers[call];
}
}  // namespace

// Guards against nodes that connected before any worker was known and then never received worker entries: they kept
// sending requests to a draining worker.
TEST(SelfRegisteringFleet, every_node_learns_of_workers_and_of_their_departure) {
  SimulatedFleet fleet(40, 4, 8);
  fleet.run(seconds(8));
  for (std::uint64_t w = 0; w < 12; ++w) fleet.heartbeat((w * 7) % 40, heartbeat_of("w" + std::to_string(w), 1));
  fleet.run(millis(300));
  for (std::unique_ptr<Node> const& node : fleet.nodes) ASSERT_EQ(node->registry.all.size(), 12u) << node->plan.name;
  for (std::uint64_t w = 0; w < 12; ++w) {
    Heartbeat heartbeat = heartbeat_of("w" + std::to_string(w), 2);
    heartbeat.leaving = true;
    fleet.heartbeat((w * 7 + 3) % 40, heartbeat);
  }
  fleet.run(millis(300));
  for (std::unique_ptr<Node> const& node : fleet.nodes)
    for (std::pair<std::string const, Instance> const& item : node->registry.all)
      EXPECT_EQ(item.second.state, WorkerState::draining) << item.first << " at " << node->plan.name;
}

// Guards against full tables on every ping and broadcasts to all nodes, which overloaded a fleet of 72 small machines.
// The traffic of an idle node may grow with the fleet only as fast as the maintenance of its connections.
TEST(SelfRegisteringFleet, idle_node_exchanges_few_frames) {
  double small = 0;
  for (std::size_t const count : {std::size_t(30), std::size_t(60)}) {
    SimulatedFleet fleet(count, 4, 8);
    fleet.run(seconds(5));
    // A node is ready only with a configuration; until then it polls twice a second.
    fleet.configure(1);
    fleet.run(seconds(5));
    fleet.frames = fleet.bytes = 0;
    fleet.run(seconds(10));
    double const each = static_cast<double>(fleet.frames) / static_cast<double>(count) / 10;
    double const load = static_cast<double>(fleet.bytes) / static_cast<double>(count) / 10;
    EXPECT_LT(each, 40) << count;
    EXPECT_LT(load, 8192) << count;
    if (small > 0) {
      EXPECT_LT(each, small * 1.6) << "frames per node and second after doubling the fleet";
    }
    small = each;
  }
}

// Guards against whole member and entry tables on every ping while workers keep registering.
TEST(SelfRegisteringFleet, anti_entropy_stays_rare_while_changes_propagate) {
  SimulatedFleet fleet(40, 4, 8);
  fleet.run(seconds(10));
  for (std::uint64_t w = 0; w < 100; ++w) fleet.heartbeat(w % 40, heartbeat_of("w" + std::to_string(w), 1));
  fleet.run(seconds(3));
  fleet.bytes = 0;
  for (std::uint64_t w = 100; w < 160; ++w) {
    fleet.heartbeat(w % 40, heartbeat_of("w" + std::to_string(w), 1));
    fleet.run(millis(100));
  }
  double const load = static_cast<double>(fleet.bytes) / 40 / 6;
  EXPECT_LT(load, 40000) << "bytes per node and second";
}

TEST(SelfRegisteringFleet, reported_work_reaches_all_nodes_and_is_counted_once) {
  SimulatedFleet fleet(40, 4, 8);
  fleet.run(seconds(8));
  fleet.heartbeat(0, heartbeat_of("w", 1));
  fleet.run(millis(300));
  for (std::size_t const node : {std::size_t(0), std::size_t(5), std::size_t(39)}) {  // a hub and two others
    fleet.nodes[node]->exchange.report_work("w", seconds(100));
    fleet.nodes[node]->registry.find("w")->work(seconds(100), fleet.now);
  }
  fleet.run(millis(400));
  for (std::unique_ptr<Node> const& node : fleet.nodes) {
    Micros const busy = node->registry.find("w")->busy(fleet.now);
    EXPECT_GT(busy, seconds(299)) << node->plan.name;
    EXPECT_LE(busy, seconds(300)) << node->plan.name;
  }
}

TEST(SelfRegisteringFleet, seeds_become_first_replicas_and_change_reaches_all_nodes) {
  SimulatedFleet fleet(40, 4, 8);
  fleet.run(seconds(20));
  EXPECT_EQ(fleet.nodes[0]->learner.membership().replicas.size(), 7u) << "the largest odd number of replica candidates";
  Change change;
  change.type = Change::Type::apply;
  change.text = R"({"format":1,"pools":[{"name":"p","model":"m"}],"lanes":[],)"
                R"("routes":[{"name":"r","host":"h","prefix":"/","shares":[{"pool":"p"}]}]})";
  change.expected = 0;
  change.label = 7;
  NodeEffects out;
  fleet.nodes[31]->submit_change(1, change, fleet.now, out);
  fleet.apply_effects(31, out);
  fleet.run(millis(900));
  ASSERT_EQ(fleet.replies[31].size(), 1u);
  EXPECT_EQ(fleet.replies[31][0].outcome.type, Outcome::Type::chosen);
  for (std::unique_ptr<Node> const& node : fleet.nodes) {
    ASSERT_TRUE(node->learner.value) << node->plan.name;
    EXPECT_EQ(node->learner.value->label, 7u) << node->plan.name;
    EXPECT_EQ(node->dispatcher.description()->routes.size(), 1u) << node->plan.name;
  }
}

// Guards against rival proposers that outbid each other's ballots for seconds: one replica proposes for all nodes, and
// a node that gets no answer from it proposes itself.
TEST(SelfRegisteringFleet, concurrent_changes_are_answered_in_time_even_if_the_proposing_replica_is_silent) {
  SimulatedFleet fleet(40, 4, 8);
  fleet.run(seconds(20));
  std::size_t chosen = 0;
  for (std::uint64_t n = 0; n < 8; ++n) {
    Change change;
    change.type = Change::Type::apply;
    change.text = R"({"format":1,"pools":[],"lanes":[]})";
    change.label = 10 + n;
    change.id = "change-" + std::to_string(n);
    NodeEffects out;
    fleet.nodes[9 + n]->submit_change(1, change, fleet.now, out);
    fleet.apply_effects(9 + n, out);
  }
  fleet.run(millis(900));
  for (std::uint64_t n = 0; n < 8; ++n) {
    ASSERT_EQ(fleet.replies[9 + n].size(), 1u) << n;
    if (fleet.replies[9 + n][0].outcome.type == Outcome::Type::chosen) ++chosen;
  }
  EXPECT_EQ(chosen, 1u) << "all changes expect the same label, so only one may be chosen";
  fleet.isolated_node = 0;  // the proposing replica goes silent, but its connections stay open
  Change change;
  change.type = Change::Type::apply;
  change.text = R"({"format":1,"pools":[],"lanes":[]})";
  change.expected = fleet.nodes[20]->learner.value->label;
  change.label = 100;
  change.id = "later";
  NodeEffects out;
  fleet.nodes[20]->submit_change(2, change, fleet.now, out);
  fleet.apply_effects(20, out);
  fleet.run(millis(1800));
  ASSERT_EQ(fleet.replies[20].size(), 1u);
  EXPECT_EQ(fleet.replies[20][0].outcome.type, Outcome::Type::chosen);
}

// A node forwards a change as a patch of the configuration that it holds. A replica that holds another configuration
// requests the full text.
TEST(SelfRegisteringFleet, change_is_resent_in_full_if_its_patch_has_another_base) {
  SimulatedFleet fleet(30, 3, 3);
  fleet.run(seconds(12));
  fleet.configure(1);
  fleet.run(seconds(3));
  Node& node = *fleet.nodes[20];
  ASSERT_TRUE(node.learner.value);
  node.learner.value->text += " ";
  Change change;
  change.type = Change::Type::apply;
  change.text = R"({"format":1,"pools":[{"name":"p","model":"m"}],"lanes":[]})";
  change.expected = 1;
  change.label = 2;
  change.id = "order";
  NodeEffects out;
  node.submit_change(7, change, fleet.now, out);
  fleet.apply_effects(20, out);
  fleet.run(millis(500));  // shorter than the time after which the node would propose the change itself
  ASSERT_EQ(fleet.replies[20].size(), 1u);
  EXPECT_EQ(fleet.replies[20][0].outcome.type, Outcome::Type::chosen);
  for (std::unique_ptr<Node> const& item : fleet.nodes) {
    ASSERT_TRUE(item->learner.value) << item->plan.name;
    EXPECT_EQ(item->learner.value->text, change.text) << item->plan.name;
  }
}

// Guards against an isolated node that becomes a worker's owner: the other nodes learn of a worker only from its owner
// and would treat it as ended.
TEST(Heartbeats, isolated_node_does_not_become_owner_of_a_worker) {
  SimulatedFleet fleet(6, 3, 3);
  fleet.run(seconds(5));
  fleet.configure(1);
  fleet.run(seconds(3));
  fleet.heartbeat(1, heartbeat_of("w", 1));
  fleet.run(millis(300));
  ASSERT_EQ(fleet.nodes[5]->registry.find("w")->owner, fleet.nodes[1]->plan.name);
  fleet.isolated_node = 5;
  for (std::uint64_t order = 2; order < 6; ++order) {
    fleet.run(seconds(1));
    fleet.heartbeat(1, heartbeat_of("w", order));
  }
  NodeEffects out;
  EXPECT_FALSE(fleet.nodes[5]->handle_heartbeat(heartbeat_of("w", 6), fleet.now, out))
      << "the worker must call another node";
  EXPECT_EQ(fleet.nodes[5]->registry.find("w")->owner, fleet.nodes[1]->plan.name);
  EXPECT_EQ(fleet.nodes[5]->registry.find("w")->state, WorkerState::serving)
      << "the isolated node still serves its own clients";
  NodeEffects other;
  EXPECT_TRUE(fleet.nodes[2]->handle_heartbeat(heartbeat_of("w", 7), fleet.now, other));
}

// Guards against a worker and its owner failing together: no other node counts the worker's heartbeats, and requests
// were sent to it forever.
TEST(Heartbeats, worker_ends_at_all_nodes_when_it_fails_with_its_owner) {
  for (std::size_t const count : {6u, 30u}) {
    SimulatedFleet fleet(count, 3, 3);
    fleet.run(seconds(6));
    fleet.configure(1);
    fleet.run(seconds(3));
    fleet.heartbeat(4, heartbeat_of("lost", 1));
    fleet.heartbeat(4, heartbeat_of("here", 1));
    fleet.run(millis(300));
    fleet.remove(4);
    for (std::uint64_t order = 2; order < 26; ++order) {
      fleet.run(seconds(1));
      fleet.heartbeat(1, heartbeat_of("here", order));
    }
    for (std::size_t n = 0; n < count; ++n) {
      if (n == 4) continue;
      EXPECT_EQ(fleet.nodes[n]->registry.find("lost")->state, WorkerState::ended) << n << " of " << count;
      EXPECT_EQ(fleet.nodes[n]->registry.find("here")->state, WorkerState::serving) << n << " of " << count;
    }
  }
}

// Guards against an end that its peers had not taken: a restarted node writes its first entries with low stamps, which
// a peer with a newer entry rejects but acknowledges. The node then acknowledged the end, and others sent requests on.
TEST(Heartbeats, acknowledged_end_reported_to_a_restarted_node_is_known_to_all) {
  for (std::size_t const count : {6u, 30u}) {
    SimulatedFleet fleet(count, 3, 3);
    fleet.run(seconds(6));
    fleet.configure(1);
    fleet.run(seconds(3));
    for (std::uint64_t order = 1; order < 9; ++order) {
      Heartbeat resized = heartbeat_of("w", order);
      resized.slots = static_cast<std::int64_t>(order);
      fleet.heartbeat(4, resized);  // an entry with a new stamp each time
    }
    fleet.run(millis(300));
    fleet.remove(4);
    fleet.remove(5);
    ASSERT_TRUE(acknowledges_drain_after_restart(fleet, 5, heartbeat_of("w", 20))) << "in a fleet of " << count;
    for (std::size_t n = 0; n < count; ++n) {
      if (n == 4) continue;
      EXPECT_EQ(fleet.nodes[n]->registry.find("w")->state, WorkerState::draining) << "node " << n << " of " << count;
    }
  }
}

// Guards against stamps that a restarted node uses again: peers took its entry for one of the same owner and stamp that
// it had written before, and nobody learned that the worker drains.
TEST(Heartbeats, acknowledged_end_reported_to_the_restarted_owner_is_known_to_all) {
  for (std::size_t const count : {6u, 30u}) {
    SimulatedFleet fleet(count, 3, 3);
    fleet.run(seconds(6));
    fleet.configure(1);
    fleet.run(seconds(3));
    fleet.heartbeat(5, heartbeat_of("w", 1));
    fleet.run(millis(300));
    fleet.remove(5);
    ASSERT_TRUE(acknowledges_drain_after_restart(fleet, 5, heartbeat_of("w", 2))) << "in a fleet of " << count;
    for (std::size_t n = 0; n < count; ++n)
      EXPECT_EQ(fleet.nodes[n]->registry.find("w")->state, WorkerState::draining) << "node " << n << " of " << count;
  }
}

// Guards against a delay, meant for fleets whose nodes share the limits of cold workers, that kept every restarted node
// unready for two more seconds.
TEST(Readiness, returns_within_a_second_of_a_restart) {
  SimulatedFleet fleet(9, 3, 3);
  fleet.run(seconds(6));
  fleet.heartbeat(4, heartbeat_of("w", 1));
  fleet.configure(1);
  fleet.run(seconds(3));
  fleet.remove(8);
  fleet.run(seconds(2));
  fleet.restart(8);
  fleet.run(seconds(1));
  EXPECT_TRUE(fleet.nodes[8]->is_ready());
}

}  // namespace pipit
