// Crowds of clients that do not behave against whole processes with lowered limits: the process lives, its peak memory
// and its descriptors stay within the limits of its settings, and ordinary callers get true answers.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "testing/process/crowd.h"
#include "testing/process/systems.h"

namespace pipit::process_tests {

namespace {
constexpr std::size_t mib = 1u << 20;
constexpr std::size_t body_limit = 4 * mib;    // of the configuration, and the default of the other listeners
constexpr std::size_t head_limit = 16u << 10;  // of the configuration
constexpr std::size_t frame_limit = 8 * mib;   // of the mesh

// An answer that an ordinary caller may get while a crowd holds the process: the true one, a refusal that promises that
// nothing ran and says when to come back, or none.
bool is_allowed_during_crowd(System const& system, Reply const& reply) {
  bool const refused = (reply.status == 503 || reply.status == 429) && !reply.field("Retry-After").empty();
  return reply.status == 0 || refused || system.is_true_answer(reply);
}

// Runs a crowd against a process that serves ordinary callers meanwhile, and checks all bounds.
void withstands(System& system, ProcessLimits const& limits, CrowdPlan plan) {
  ChildProcess& process = system.process();
  ASSERT_TRUE(process.running());
  std::size_t most_descriptors = 0;
  Crowd crowd(std::move(plan));
  std::atomic<bool> crowd_runs = true;
  std::string wrong_answer;
  std::thread callers([&] {
    while (crowd_runs) {
      Reply const reply = system.ordinary_call();
      if (!is_allowed_during_crowd(system, reply)) wrong_answer = reply.head + "\n" + reply.body;
    }
  });
  crowd.run([&] { most_descriptors = std::max(most_descriptors, process.open_descriptors()); });
  crowd_runs = false;
  callers.join();
  EXPECT_EQ(wrong_answer, "") << "an ordinary caller got a wrong answer during the crowd";
  EXPECT_TRUE(process.running()) << "the process has ended";
  EXPECT_TRUE(eventually([&] { return system.is_true_answer(system.ordinary_call()); }))
      << "no ordinary request is answered while the crowd's connections are still there";
  EXPECT_TRUE(process.running()) << "the process has ended";
  EXPECT_LE(process.peak_memory_kib(), limits.memory_mb * 1000) << "KiB of peak memory";
  EXPECT_LE(most_descriptors, limits.descriptors) << "open descriptors";
  std::string statuses;
  for (std::pair<unsigned const, std::size_t> const& item : crowd.statuses())
    statuses += std::to_string(item.first) + ":" + std::to_string(item.second) + " ";
  std::printf("peak %zu KiB, %zu descriptors, %zu connections of the crowd open, first answers %s\n",
              process.peak_memory_kib(), most_descriptors, crowd.open_connections(), statuses.c_str());
}

class HostileClientsOfNode : public testing::Test {
 protected:
  explicit HostileClientsOfNode(ProcessLimits const& limits_ = {}) : limits(limits_), node(limits_) {}
  void crowd(std::string const& address, std::size_t connections, std::shared_ptr<std::string const> bytes,
             bool reads = true) {
    withstands(node, limits, {address, connections, std::move(bytes), reads});
  }
  ProcessLimits const limits;
  NodeSystem node;
};

// The limit of descriptors is low, too.
class HostileClientsOfNodeWithFewDescriptors : public HostileClientsOfNode {
 protected:
  HostileClientsOfNodeWithFewDescriptors() : HostileClientsOfNode(ProcessLimits{64, 400}) {}
};

template <typename SystemType>
class HostileClientsOfChatServer : public testing::Test {
 protected:
  void crowd(std::string const& address, std::size_t connections, std::shared_ptr<std::string const> bytes,
             bool reads = true) {
    withstands(system, limits, {address, connections, std::move(bytes), reads});
  }
  ProcessLimits const limits;
  SystemType system{limits};
};
using HostileClientsOfRouter = HostileClientsOfChatServer<RouterSystem>;
using HostileClientsOfReplica = HostileClientsOfChatServer<ReplicaSystem>;

std::string const other_host = "Host: nobody.example\r\n";
}  // namespace

TEST_F(HostileClientsOfNode, bodies_that_lack_their_last_byte) {
  crowd(node.front, 60, body_with_length("/x", node.served_fields, body_limit, 1));
}

// What a process takes does not grow with the crowd: many bodies that grow side by side leave no holes in its memory.
TEST_F(HostileClientsOfNode, bodies_of_a_large_crowd) {
  crowd(node.front, 300, body_with_length("/x", node.served_fields, body_limit, 1));
}

TEST_F(HostileClientsOfNode, chunked_bodies_that_do_not_end) {
  crowd(node.front, 60, body_in_chunks("/x", node.served_fields, body_limit, mib, true));
}

TEST_F(HostileClientsOfNode, bodies_in_chunks_of_one_byte) {
  crowd(node.front, 60, body_in_chunks("/x", node.served_fields, 2 * mib, 1, true));
}

TEST_F(HostileClientsOfNode, whole_bodies_without_a_route) {
  crowd(node.front, 60, body_with_length("/x", other_host, body_limit, 0));
}

TEST_F(HostileClientsOfNode, whole_bodies_on_a_route) {
  crowd(node.front, 60, body_with_length("/x", node.served_fields, body_limit, 0));
}

TEST_F(HostileClientsOfNode, whole_bodies_to_a_worker_that_does_not_read) {
  std::string const fields =
      "Host: silent.example\r\nX-Request-Attempt: 00000000000000ab\r\nX-Model-Name: m\r\n"
      "X-Token-Counts: 10,10\r\nX-Deadline-Remaining: 20000\r\n";
  crowd(node.front, 60, body_with_length("/x", fields, body_limit, 0));
}

TEST_F(HostileClientsOfNode, chunked_bodies_far_over_the_limit) {
  crowd(node.front, 60, body_in_chunks("/x", node.served_fields, 64 * mib, mib, true));
}

TEST_F(HostileClientsOfNode, announcements_far_over_the_limit) {
  crowd(node.front, 100, body_with_length("/x", node.served_fields, 4096 * mib, 4095 * mib));
}

TEST_F(HostileClientsOfNode, heads_of_short_fields_that_do_not_end) {
  crowd(node.front, 300, head_of_short_fields(head_limit));
}

TEST_F(HostileClientsOfNode, bytes_behind_a_request_that_is_under_way) {
  std::string const fields =
      "Host: silent.example\r\nX-Request-Attempt: 00000000000000ac\r\nX-Model-Name: m\r\n"
      "X-Token-Counts: 10,10\r\nX-Deadline-Remaining: 20000\r\n";
  std::string const request = request_text("POST /x", fields, "");
  crowd(node.front, 800, pipelined(request, 2 * (64u << 10) / request.size()));
}

TEST_F(HostileClientsOfNode, control_bodies_that_lack_their_last_byte) {
  crowd(node.control, 60, body_with_length("/Configuration.Replace", other_host, body_limit, 1));
}

TEST_F(HostileClientsOfNode, readiness_bodies_that_lack_their_last_byte) {
  crowd(node.readiness, 60, body_with_length("/readiness", other_host, body_limit, 1));
}

TEST_F(HostileClientsOfNode, metrics_that_are_not_read) {
  crowd(node.metrics, 40, pipelined("GET /metrics HTTP/1.1\r\nHost: n1\r\n\r\n", 2000), false);
}

TEST_F(HostileClientsOfNode, configurations_that_are_not_read) {
  crowd(node.control, 80, pipelined("GET /Configuration.Read HTTP/1.1\r\nHost: n1\r\n\r\n", 60000), false);
}

TEST_F(HostileClientsOfNode, mesh_frames_of_nobody) { crowd(node.mesh, 30, unfinished_frame(frame_limit)); }

TEST_F(HostileClientsOfNodeWithFewDescriptors, idle_connections_to_the_front) {
  crowd(node.front, 1000, std::make_shared<std::string const>());
}

TEST_F(HostileClientsOfNodeWithFewDescriptors, idle_connections_to_the_mesh) {
  crowd(node.mesh, 1000, std::make_shared<std::string const>());
}

TEST_F(HostileClientsOfNodeWithFewDescriptors, idle_connections_to_control) {
  crowd(node.control, 1000, std::make_shared<std::string const>());
}

TEST_F(HostileClientsOfRouter, bodies_that_lack_their_last_byte) {
  crowd(system.http, 60, body_with_length("/v1/chat/completions", other_host, body_limit, 1));
}

TEST_F(HostileClientsOfRouter, chunked_bodies_that_do_not_end) {
  crowd(system.http, 60, body_in_chunks("/v1/chat/completions", other_host, body_limit, mib, true));
}

TEST_F(HostileClientsOfRouter, bodies_in_chunks_of_one_byte) {
  crowd(system.http, 15, body_in_chunks("/v1/chat/completions", other_host, mib, 1, true));
}

TEST_F(HostileClientsOfRouter, whole_bodies) {
  crowd(system.http, 60, body_with_length("/v1/chat/completions", other_host, body_limit, 0));
}

TEST_F(HostileClientsOfRouter, whole_bodies_of_a_large_crowd) {
  crowd(system.http, 300, body_with_length("/v1/chat/completions", other_host, body_limit, 0));
}

TEST_F(HostileClientsOfRouter, chunked_bodies_far_over_the_limit) {
  crowd(system.http, 60, body_in_chunks("/v1/chat/completions", other_host, 64 * mib, mib, true));
}

TEST_F(HostileClientsOfRouter, heads_of_short_fields_that_do_not_end) {
  crowd(system.http, 300, head_of_short_fields(head_limit));
}

TEST_F(HostileClientsOfRouter, status_pages_that_are_not_read) {
  crowd(system.http, 40, pipelined("GET /metrics HTTP/1.1\r\nHost: p1\r\n\r\n", 2000), false);
}

TEST_F(HostileClientsOfRouter, mesh_frames_of_nobody) { crowd(system.mesh, 30, unfinished_frame(frame_limit)); }

TEST_F(HostileClientsOfReplica, bodies_that_lack_their_last_byte) {
  crowd(system.http, 60, body_with_length("/v1/description", other_host, body_limit, 1));
}

TEST_F(HostileClientsOfReplica, bodies_in_chunks_of_one_byte) {
  crowd(system.http, 15, body_in_chunks("/v1/description", other_host, mib, 1, true));
}

TEST_F(HostileClientsOfReplica, mesh_frames_of_nobody) { crowd(system.mesh, 30, unfinished_frame(frame_limit)); }

// A single body of the largest legal size is served in calm on the smallest machine, and has a chance to be served
// while a crowd holds the room.
TEST_F(HostileClientsOfNode, a_legal_body_is_served_in_calm_and_after_a_crowd) {
  std::string const request = *body_with_length("/x", node.served_fields, body_limit, 0);
  EXPECT_EQ(call_http(node.front, request).status, 200u);
  crowd(node.front, 60, body_with_length("/x", node.served_fields, body_limit, 1));
  EXPECT_TRUE(eventually([&] { return call_http(node.front, request).status == 200; }));
}

}  // namespace pipit::process_tests
