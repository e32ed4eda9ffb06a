// The processes of the system: started here alone, watched, troubled, and ended by their ids.
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
#include "testing/platform_fleet_test/fault_proxy.h"
#include "testing/platform_fleet_test/judge.h"
#include "testing/platform_fleet_test/line.h"
#include "testing/platform_fleet_test/shapes.h"

namespace pipit::platform_fleet {

struct Node {
  std::string name;
  std::string zone;
  std::string ip;
  std::string private_ip;   // where its process listens; the same without a relay
  std::string data_folder;  // its data folder
  bool core = false;
  bool removed = false;  // it is gone for good
  bool seed = false;
  pid_t pid = 0;
  bool frozen = false;
  bool leaving = false;  // it was told to end
  Micros last_fault = 0;
  Micros link_fault_until = 0;
  Micros termination_requested_at = -1;
  // As the platform sees its readiness.
  int failed_polls = 2;
  bool in_rotation = false;
  bool was_ready = false;
  std::shared_ptr<ClientConnection> poll;
  // What it used: the lives that ended, and the present one.
  double cpu_of_ended_processes = 0;
  double cpu = 0;
  double memory_mb = 0;
  std::string front_address() const { return ip + ":8263"; }
  std::string control_address() const { return ip + ":8262"; }
  std::string readiness_address() const { return ip + ":8268"; }
  std::string log;  // path
};

struct NodesPlan {
  std::string folder;
  std::string program;
  int net = 60;
  FaultRelay* relay = nullptr;  // between all machines; none where they reach each other directly
};

constexpr unsigned front_port = 8263;
constexpr unsigned control_port = 8262;
constexpr unsigned ready_port = 8268;
constexpr unsigned mesh_port = 7300;
constexpr unsigned metrics_port = 9464;

class Nodes {
 public:
  Nodes(NodesPlan plan_, Shape const& shape_, Judge& judge_);
  ~Nodes();

  void start_all();
  void kill(Node& node, Micros back_after);
  void terminate(Node& node, Micros back_after);
  void freeze(Node& node, Micros span);
  // Killed, and its disk is lost; it comes back empty at its address.
  void wipe(Node& node, Micros back_after);
  // Gone for good; a new one with the same role and an empty disk takes its place at another address.
  void replace(Node& node, Micros new_after);
  // Its settings file changes, and it is told so.
  void reload(Node& node);
  // Its links are in trouble until then: it is not in touch.
  void mark_link_fault(Node& node, Micros until);
  // The public address of a node's address.
  std::string public_address(std::string const& address) const;
  // The first lines of its logs that tell of a violated invariant.
  void check_logs();
  // The same of the metrics of those that run; 'done' once all have answered, or could not.
  void check_metrics(std::function<void()> done);
  // Told to end, and ended at last; true once none is there any more.
  void end_all();
  bool all_ended() const;
  bool all_ready() const;

  Node* by_ip(std::string const& ip);
  // Where a new connection of that client goes; nullptr when no node is there at all.
  Node* choose_node(std::string const& zone, std::uint64_t client, int turn);
  // This machine, and with it the experiment, stood still: for a while nobody is judged by the clock.
  void loop_delayed(Micros now) { last_loop_delay = now; }
  // Something that nobody planned happens until then.
  void record_unplanned_fault(Micros until) { last_unplanned_fault = std::max(last_unplanned_fault, until); }
  // That a request sent then ends now is due to nothing but the planned end of its node.
  bool ended_by_planned_termination(Node const& node, Micros sent, Micros now) const;
  // No trouble there and in the core for that long.
  bool in_touch(Node const& node, Micros now) const;
  bool all_in_touch(Micros now) const;
  void sample();

  std::vector<std::unique_ptr<Node>> all;      // also those that were removed
  std::map<std::string, std::string> zone_of;  // by IP number: nodes and workers
  FaultRelay* relay() const { return plan.relay; }
  // One that was not removed, by chance.
  Node& random_node(RandomSource& random);
  std::uint64_t mesh_bytes = 0;
  std::uint64_t mesh_bytes_across = 0;
  std::uint64_t polls = 0;  // of nodes in touch
  std::uint64_t polls_unready = 0;
  std::uint64_t metrics_read = 0;

 private:
  Node& add(std::string const& zone, bool core, bool seed);
  void watch(Node& node);
  void start(Node& node, bool first);
  void write_settings(Node const& node, bool first) const;
  void reap();
  void poll(Node& node);
  void count_mesh_bytes();
  double cpu_of(Node const& node) const;

  NodesPlan const plan;
  Shape const& shape;
  Judge& judge;
  std::map<pid_t, Micros> planned_restarts;  // processes that are being ended, and when they start again; -1 for never
  bool ending = false;
  int last_number = 0;
  std::deque<std::shared_ptr<ClientConnection>> metric_lines;
  std::map<std::string, std::string> public_of;  // by private IP number
  Micros next_sample = 0;
  Micros last_loop_delay = -seconds(3600);
  Micros last_unplanned_fault = -seconds(3600);
  std::map<std::string, std::uint64_t> acknowledged_bytes;  // of a connection's end, at the last look
  int diagnostics_fd = -1;
};

}  // namespace pipit::platform_fleet
