// Starts the real pipitspool-node processes, polls their readiness, injects process faults and ends them by their pids.
#pragma once
#include <sys/types.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "testing/platform_fleet_test/fault_relay.h"
#include "testing/platform_fleet_test/judge.h"
#include "testing/platform_fleet_test/line.h"
#include "testing/platform_fleet_test/shapes.h"

namespace pipit::platform_fleet {

// One node process, with the state of its faults and of its readiness polls.
struct Node {
  std::string name;
  std::string zone;
  std::string ip;
  std::string private_ip;   // the process listens here; equals `ip` without a relay
  std::string data_folder;  // path; only core nodes use it
  bool core = false;
  bool removed = false;  // removed for good; never restarted
  bool seed = false;
  pid_t pid = 0;
  bool frozen = false;
  bool terminating = false;  // SIGTERM or SIGKILL was sent
  Micros last_fault = 0;
  Micros link_fault_until = 0;
  bool cut_off = false;  // the only fault of its links is that they reach no other node, or none reaches it
  Micros termination_requested_at = -1;
  // Readiness as the platform's polls see it; two failed polls in a row take the node out of rotation.
  int failed_polls = 2;
  bool in_rotation = false;
  bool was_ready = false;
  std::shared_ptr<ClientConnection> readiness_poll;
  // CPU seconds of its earlier processes and of the current one, and the peak resident memory.
  double cpu_of_ended_processes = 0;
  double cpu = 0;
  double memory_mb = 0;
  std::string front_address() const { return ip + ":8263"; }
  std::string control_address() const { return ip + ":8262"; }
  std::string readiness_address() const { return ip + ":8268"; }
  std::string log;  // path
};

// How the node processes are started.
struct NodesPlan {
  std::string folder;
  std::string program;
  int net = 60;
  FaultRelay* relay = nullptr;  // not owned; nullptr where the machines connect to each other directly
};

constexpr unsigned front_port = 8263;
constexpr unsigned control_port = 8262;
constexpr unsigned ready_port = 8268;
constexpr unsigned mesh_port = 7300;
constexpr unsigned metrics_port = 9464;

// All node processes of one experiment. Its destructor kills the processes that are still running.
class Nodes {
 public:
  Nodes(NodesPlan plan_, Shape const& shape_, Judge& judge_);
  ~Nodes();

  // Starts every node, the readiness polls and the sampling.
  void start_all();
  // Sends SIGKILL; the node restarts after `back_after`.
  void kill(Node& node, Micros back_after);
  // Sends SIGTERM, and SIGKILL after the grace period. The node restarts after `back_after`; never if that is negative.
  void terminate(Node& node, Micros back_after);
  // Stops the process with SIGSTOP, and continues it after `span`.
  void freeze(Node& node, Micros span);
  // Kills the node and deletes its data; it restarts with an empty disk at the same address.
  void wipe(Node& node, Micros back_after);
  // Kills the node for good. A new node with the same role and an empty disk starts at another address.
  void replace(Node& node, Micros new_after);
  // Rewrites the node's settings file and sends SIGHUP.
  void reload(Node& node);
  // Records a fault of the node's links until `until`: the node does not count as in touch. 'cut_off': it cannot reach
  // the other nodes, or they cannot reach it; otherwise its links are slow or lose messages.
  void mark_link_fault(Node& node, Micros until, bool cut_off);
  // Translates a node's private address, with or without a port, to the public one; returns others unchanged.
  static std::string public_address(std::string const& address);
  // Whether a public IP address is a node's.
  static bool is_node_ip(std::string const& ip);
  // Reports the invariant violations (E910) in the logs, at most 3 for each node.
  void check_logs();
  // Reports the invariant violations in the metrics of the running nodes. Calls `done` once every request has ended.
  void check_metrics(std::function<void()> done);
  // Sends SIGTERM to every node, and SIGKILL after the grace period.
  void end_all();
  // True once no process is left.
  bool all_ended() const;
  // True once every node that was not removed is in rotation.
  bool all_ready() const;

  // Finds a node by its public or private IP address; nullptr if there is none.
  Node* by_ip(std::string const& ip);
  // The load balancer's choice for a client's new connection: a node in rotation in the client's zone, else one in
  // another zone, else any node of the client's zone. While some, but fewer than half, of the zone's nodes are in
  // rotation, it chooses among all nodes of the zone. nullptr if there is no node to choose.
  Node* choose_node(std::string const& zone, std::uint64_t client, int turn);
  // Records that the event loop of the experiment itself was delayed: no node is in touch for a while after it, so that
  // the nodes aren't judged by a clock that stood still.
  void record_loop_delay(Micros now) { last_loop_delay = now; }
  // Records a fault, other than a planned termination, that lasts until `until`.
  void record_unplanned_fault(Micros until) { last_unplanned_fault = std::max(last_unplanned_fault, until); }
  // Whether the planned termination of the node is the only fault that can have ended a request sent at `sent`.
  bool ended_by_planned_termination(Node const& node, Micros sent, Micros now) const;
  // Whether the node has been free of faults for the settle time and the core is settled.
  bool in_touch(Node const& node, Micros now) const;
  // Whether every node that was not removed is in touch.
  bool all_in_touch(Micros now) const;
  // Samples the CPU time, the peak memory and the mesh bytes of the nodes.
  void sample();

  std::vector<std::unique_ptr<Node>> all;      // removed nodes included
  std::map<std::string, std::string> zone_of;  // by IP address, of nodes and workers
  FaultRelay* relay() const { return plan.relay; }
  // Draws a node that was not removed.
  Node& random_node(RandomSource& random);
  std::uint64_t mesh_bytes = 0;
  std::uint64_t mesh_bytes_across = 0;
  std::uint64_t polls = 0;  // readiness polls of nodes in touch
  std::uint64_t polls_unready = 0;
  std::uint64_t metrics_read = 0;

 private:
  Node& add_node(std::string const& zone, bool core, bool seed);
  void poll_periodically(Node& node);
  void start(Node& node, bool first);
  void write_settings(Node const& node, bool first) const;
  void reap_processes();
  void poll(Node& node);
  void count_mesh_bytes();
  double cpu_of(Node const& node) const;
  bool core_is_settled(Micros at) const;

  NodesPlan const plan;
  Shape const& shape;
  Judge& judge;
  std::map<pid_t, Micros> planned_restarts;  // restart time of processes that are being ended; -1 for never
  bool ending = false;
  int last_number = 0;
  std::deque<std::shared_ptr<ClientConnection>> metrics_connections;
  Micros next_sample = 0;
  Micros last_loop_delay = -seconds(3600);
  Micros last_unplanned_fault = -seconds(3600);
  std::map<std::string, std::uint64_t> acknowledged_bytes;  // by socket inode, at the last sample
  int diagnostics_fd = -1;
};

}  // namespace pipit::platform_fleet
