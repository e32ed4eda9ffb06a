// The acknowledgement of a worker's end holds for all nodes: a node that cannot inform the others answers 503, and the
// worker calls the next node. Two nodes on loopback; the peer is the only replica and can be suspended.
#include <gtest/gtest.h>

#include "platform/control.h"
#include "tests/loopback.h"

namespace pipit::platform {

namespace {
constexpr char draining[] = "draining";
constexpr char available[] = "available";

// The record of the only replica of a set, which has chosen its first value.
wire::RecordT record_of_only_replica(std::string const& name, std::string const& address) {
  wire::RecordT record;
  record.cluster = NodePlan().cluster;
  record.name = name;
  record.disk = 7;
  record.formed = true;
  record.accepted = wire::Ballot(1, 0);
  record.value = std::make_unique<wire::ValueT>();
  record.value->epoch = 1;
  record.value->revision = 1;
  wire::ReplicaT replica;
  replica.name = name;
  replica.disk = record.disk;
  replica.address = address;
  record.value->replicas.push_back(std::make_unique<wire::ReplicaT>(replica));
  return record;
}

// A peer: a Node with sockets, but without a listener for clients or operators.
class PeerNode {
 public:
  PeerNode(std::string const& address, std::string const& seed) {
    NodePlan plan;
    plan.name = "n2";
    plan.zone = "a";
    plan.workers_self_register = true;
    plan.is_replica = true;
    plan.address = address;
    plan.seeds = {seed};
    plan.random_seed = 5;
    node = std::make_unique<Node>(plan, g_get_monotonic_time(), record_of_only_replica(plan.name, address));
    Connections::Callbacks callbacks;
    callbacks.opened = [this](ConnectionId id, bool outbound, std::string const& to) {
      step([&](NodeEffects& out) { node->connection_opened(id, outbound, to, g_get_monotonic_time(), out); });
    };
    callbacks.closed = [this](ConnectionId id) {
      step([&](NodeEffects& out) { node->connection_closed(id, g_get_monotonic_time(), out); });
    };
    callbacks.dial_failed = [this](std::string const& to, bool refused) {
      step([&](NodeEffects& out) { node->dial_failed(to, refused, g_get_monotonic_time(), out); });
    };
    callbacks.frame = [this](ConnectionId id, std::string_view frame) {
      waiting_frames.emplace_back(id, frame);
      if (!suspended) receive_waiting_frames();
      return true;
    };
    connections = std::make_unique<Connections>(std::move(callbacks));
    EXPECT_TRUE(connections->listen(address));
    ticker = g_timeout_add(
        20,
        [](gpointer data) -> gboolean {
          PeerNode& self = *static_cast<PeerNode*>(data);
          if (!self.suspended) self.step([&](NodeEffects& out) { self.node->tick(g_get_monotonic_time(), out); });
          return G_SOURCE_CONTINUE;
        },
        this);
  }
  ~PeerNode() { g_source_remove(ticker); }

  // Whether this node's registry shows the worker as leaving or ended.
  bool knows_end(std::string const& worker) const {
    Instance const* const at = node->registry.find(worker);
    return at != nullptr && at->state != WorkerState::serving;
  }
  bool connected() const { return node->mesh.open_connections() > 0 && !node->mesh.members.peers.empty(); }

  // Frames that arrive while the peer is suspended wait until it resumes.
  void suspend() { suspended = true; }
  void resume() {
    suspended = false;
    receive_waiting_frames();
  }

 private:
  void receive_waiting_frames() {
    std::vector<std::pair<ConnectionId, std::string>> const frames = std::move(waiting_frames);
    waiting_frames.clear();
    for (std::pair<ConnectionId, std::string> const& frame : frames)
      step([&](NodeEffects& out) { node->receive_frame(frame.first, frame.second, g_get_monotonic_time(), out); });
  }
  void step(std::function<void(NodeEffects&)> const& act) {
    NodeEffects out;
    act(out);
    if (out.record_to_sync) step([&](NodeEffects& more) { node->record_synced(g_get_monotonic_time(), more); });
    for (std::string const& to : out.mesh.dial_addresses) connections->dial(to);
    for (ConnectionEffects::OutgoingFrame& send : out.mesh.outgoing_frames)
      connections->send(send.connection, send.bytes);
    for (ConnectionId const id : out.mesh.closed_connections) connections->close(id);
  }

  std::unique_ptr<Node> node;
  std::unique_ptr<Connections> connections;
  unsigned ticker = 0;
  bool suspended = false;
  std::vector<std::pair<ConnectionId, std::string>> waiting_frames;
};

class WorkerEndAcknowledgement : public testing::Test {
 protected:
  WorkerEndAcknowledgement() : peer_address(free_address()) {
    NodeServerOptions plan;
    plan.node.name = "n1";
    plan.node.zone = "a";
    plan.node.workers_self_register = true;
    plan.node.address = free_address();
    plan.node.seeds = {plan.node.address, peer_address};
    plan.node.random_seed = 3;
    plan.control_address = free_address();
    address = plan.control_address;
    mesh_address = plan.node.address;
    node_server = std::make_unique<NodeServer>(std::move(plan));
    calls = std::make_unique<ControlCalls>(*node_server, address);
    node_server->set_control_handler([this](Server::Request& call) { return calls->handle(call); });
    EXPECT_TRUE(node_server->open());
    ticker = g_timeout_add(
        20,
        [](gpointer data) -> gboolean {
          static_cast<WorkerEndAcknowledgement*>(data)->node_server->tick();
          return G_SOURCE_CONTINUE;
        },
        this);
  }
  ~WorkerEndAcknowledgement() override { g_source_remove(ticker); }

  // Starts the peer, and waits until the node under test knows the replica set.
  void start_peer() {
    peer = std::make_unique<PeerNode>(peer_address, mesh_address);
    EXPECT_TRUE(until([this] { return peer->connected(); }));
    EXPECT_TRUE(until([this] { return heartbeat(available) == "HTTP/1.1 200"; }));
  }

  std::string post(std::string const& path, std::string const& body) {
    LoopbackStream connection(address);
    connection.send("POST " + path + " HTTP/1.1\r\nHost: n1\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
    EXPECT_TRUE(until(
        [&connection] { return connection.closed || connection.received.find("\r\n\r\n") != std::string::npos; }));
    return connection.received.substr(0, 12);
  }
  std::string heartbeat(char const* state) {
    return post("/Instances.Beat/i-1", R"({"service":"s","address":"127.0.0.1:9","zone":"a","slots":4,"state":")" +
                                           std::string(state) + R"(","call_sequence":)" + std::to_string(++sequence) +
                                           "}");
  }
  std::string leave() {
    return post("/Instances.Leave/i-1", R"({"call_sequence":)" + std::to_string(++sequence) + "}");
  }

  std::string const peer_address;
  std::string mesh_address;
  std::string address;
  std::unique_ptr<PeerNode> peer;
  std::unique_ptr<NodeServer> node_server;
  std::unique_ptr<ControlCalls> calls;
  unsigned ticker = 0;
  std::uint64_t sequence = 0;
};
}  // namespace

TEST_F(WorkerEndAcknowledgement, an_acknowledged_end_is_known_to_the_peer) {
  start_peer();
  EXPECT_EQ(heartbeat(available), "HTTP/1.1 200");
  EXPECT_EQ(heartbeat(draining), "HTTP/1.1 200");
  EXPECT_TRUE(peer->knows_end("i-1")) << "the peer would go on sending requests to the worker";
}

TEST_F(WorkerEndAcknowledgement, a_node_with_unresponsive_peers_does_not_acknowledge_draining) {
  start_peer();
  EXPECT_EQ(heartbeat(available), "HTTP/1.1 200");
  peer->suspend();
  EXPECT_EQ(heartbeat(draining), "HTTP/1.1 503") << "the worker must report to another node";
  peer->resume();
  EXPECT_EQ(heartbeat(draining), "HTTP/1.1 200");
  EXPECT_TRUE(peer->knows_end("i-1"));
}

TEST_F(WorkerEndAcknowledgement, a_node_with_unresponsive_peers_does_not_acknowledge_a_departure) {
  start_peer();
  EXPECT_EQ(heartbeat(available), "HTTP/1.1 200");
  peer->suspend();
  EXPECT_EQ(leave(), "HTTP/1.1 503");
  peer->resume();
  EXPECT_EQ(leave(), "HTTP/1.1 200");
  EXPECT_TRUE(peer->knows_end("i-1"));
}

// Guards against a node that starts while it is cut off: it took itself for a majority, and requests went on to workers
// whose end nobody else knew of.
TEST_F(WorkerEndAcknowledgement, a_node_that_knows_no_other_node_acknowledges_nothing) {
  EXPECT_EQ(heartbeat(available), "HTTP/1.1 503") << "the other nodes would not learn of the worker";
  EXPECT_EQ(heartbeat(draining), "HTTP/1.1 503");
  EXPECT_EQ(leave(), "HTTP/1.1 503");
  start_peer();
  EXPECT_EQ(leave(), "HTTP/1.1 200");
  EXPECT_TRUE(peer->knows_end("i-1"));
}

}  // namespace pipit::platform
