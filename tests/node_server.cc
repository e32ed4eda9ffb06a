// A node of the users' platform with its sockets: the control and metrics addresses.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

#include "platform/control.h"
#include "tests/loopback.h"

namespace pipit::platform {

namespace {
class NodeServerEndpoints : public testing::Test {
 protected:
  explicit NodeServerEndpoints(std::string const& data_directory = "") {
    NodeServerOptions plan;
    plan.data_directory = data_directory;
    plan.node.is_replica = !data_directory.empty();
    plan.node.first_start = true;
    plan.node.name = "n1";
    plan.node.zone = "a";
    plan.node.workers_self_register = true;
    plan.node.address = free_address();
    plan.node.seeds = {plan.node.address};
    plan.control_address = free_address();
    plan.metrics_address = free_address();
    address = plan.control_address;
    metrics = plan.metrics_address;
    node_server = std::make_unique<NodeServer>(std::move(plan));
    calls = std::make_unique<ControlCalls>(*node_server, address);
    node_server->set_control_handler([this](Server::Request& call) { return calls->handle(call); });
    EXPECT_TRUE(node_server->open());
  }

  // Posts a call to the control address and returns the status line's first 12 bytes.
  std::string post(std::string const& path, std::string const& body) {
    LoopbackStream connection(address);
    connection.send("POST " + path + " HTTP/1.1\r\nHost: n1\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
    EXPECT_TRUE(until(
        [&connection] { return connection.closed || connection.received.find("\r\n\r\n") != std::string::npos; }));
    return connection.received.substr(0, 12);
  }
  static std::string heartbeat(std::uint64_t sequence) {
    return R"({"service":"s","address":"127.0.0.1:9","zone":"a","slots":4,"state":"available","call_sequence":)" +
           std::to_string(sequence) + "}";
  }

  std::string address;
  std::string metrics;
  std::unique_ptr<NodeServer> node_server;
  std::unique_ptr<ControlCalls> calls;
};

// A node that is the whole replica set of its fleet.
class NodeServerOfOnlyReplica : public NodeServerEndpoints {
 protected:
  NodeServerOfOnlyReplica() : NodeServerEndpoints(folder().native()) {
    ticker = g_timeout_add(
        20,
        [](gpointer data) -> gboolean {
          static_cast<NodeServerOfOnlyReplica*>(data)->node_server->tick();
          return G_SOURCE_CONTINUE;
        },
        this);
  }
  ~NodeServerOfOnlyReplica() override {
    g_source_remove(ticker);
    node_server.reset();
    std::filesystem::remove_all(folder());
  }

 private:
  static std::filesystem::path folder() {
    std::filesystem::path const out =
        std::filesystem::temp_directory_path() / ("node_server_" + std::to_string(::getpid()));
    std::filesystem::create_directories(out);
    return out;
  }

  unsigned ticker = 0;
};
}  // namespace

// A node that does not know the worker cannot announce its departure; the worker must call a node that does.
TEST_F(NodeServerOfOnlyReplica, acknowledges_departure_only_of_a_registered_worker) {
  std::string const leave_message = R"({"call_sequence":9})";
  EXPECT_EQ(post("/Instances.Leave/i-1", leave_message), "HTTP/1.1 503");
  EXPECT_TRUE(until([this] { return post("/Instances.Beat/i-1", heartbeat(8)) == "HTTP/1.1 200"; }))
      << "once the replica set is formed";
  EXPECT_EQ(post("/Instances.Leave/i-1", leave_message), "HTTP/1.1 200");
  EXPECT_EQ(post("/Instances.Leave/i-1", leave_message), "HTTP/1.1 200")
      << "a repeated call is acknowledged, because the first answer may have been lost";
  EXPECT_EQ(post("/Instances.Beat/i-1", heartbeat(10)), "HTTP/1.1 200");
  EXPECT_EQ(post("/Instances.Leave/i-2", leave_message), "HTTP/1.1 503");
}

TEST_F(NodeServerEndpoints, control_address_lists_tenants) {
  LoopbackStream connection(address);
  connection.send("GET /v1/tenants HTTP/1.1\r\nHost: n1\r\n\r\n");
  EXPECT_TRUE(until([&connection] { return connection.received.find("\"tenants\":[]") != std::string::npos; }))
      << connection.received;
  EXPECT_NE(connection.received.find("\"keys_required\":false"), std::string::npos) << connection.received;
}

TEST_F(NodeServerEndpoints, metrics_are_served_at_their_own_address) {
  LoopbackStream connection(metrics);
  connection.send("GET /metrics HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(until([&connection] { return connection.closed; }));
  EXPECT_EQ(connection.received.substr(0, 12), "HTTP/1.1 200");
  for (char const* const row :
       {"pipit_asked_total 0\n", "pipit_peers{state=\"down\"} 0\n", "pipit_quorum_heard_ms_ago 0\n",
        "pipit_invariant_violations_total{invariant=\"agreement\"} 0\n"})
    EXPECT_NE(connection.received.find(row), std::string::npos) << row;
}

}  // namespace pipit::platform
