// Process of a node whose workers register themselves: runs the node core and performs its I/O with clients, workers,
// operators, peers and the disk (design §12.6).
#pragma once
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "node/node.h"
#include "server/request_proxy.h"
#include "runtime/disk/disk_task.h"
#include "runtime/mesh/connections.h"
#include "runtime/mesh/frame_traffic.h"

using GMainLoop = struct _GMainLoop;

namespace pipit {

// Settings of a NodeServer. An empty address disables its listener, except mesh_listen_address.
struct NodeServerOptions {
  NodePlan node;
  std::string front_address;        // IP:port for client requests
  std::string readiness_address;    // IP:port of the readiness check for load balancers
  std::string control_address;      // IP:port for calls of workers and operators
  std::string metrics_address;      // IP:port that serves the metrics without authentication
  std::string mesh_listen_address;  // IP:port to listen on for peers; empty: the address advertised to peers
  std::string readiness_path = "/ready";
  std::string data_directory;  // empty if the node stores nothing
  std::string log_path;
  std::string own_host;  // local IP address of outgoing connections
  HeaderNames header_names;
  std::size_t max_control_body_bytes = 4u << 20;
  ProcessLimits limits;                // of the process, shared by all listeners
  Micros shutdown_grace = seconds(8);  // time from the stop signal to the end of the process
};

// Owns the node core, its sockets and its disk task, and runs them on one GLib main loop. All methods must be called on
// the loop's thread.
class NodeServer {
 public:
  // Handles a call at the control address. Returns false if the path is not one of the handler's.
  using ControlHandler = std::function<bool(Server::Request&)>;
  using ChangeCallback = std::function<void(ChangeReply const&)>;
  using PeriodicCheck = std::function<void()>;

  explicit NodeServer(NodeServerOptions options);
  ~NodeServer();
  // Opens the disk, creates the node and listens on the configured addresses. Errors: the disk cannot be opened, or an
  // address cannot be listened on; a failure to listen for metrics is only logged.
  Result<void> open();
  // Runs the main loop until shutdown is complete, then ends the process with exit code 0; does not return.
  int run();

  // The handler is called before the paths that NodeServer serves itself.
  void set_control_handler(ControlHandler handler) { control_handler_ = std::move(handler); }
  // The check is called on SIGHUP and every two seconds.
  void set_periodic_check(PeriodicCheck periodic_check) { periodic_check_ = std::move(periodic_check); }

  using WorkerEndCallback = std::function<void(bool known)>;
  // Handles a worker's heartbeat. Returns false if this node cannot announce the worker to its peers.
  bool heartbeat(Heartbeat const& heartbeat);
  // Calls 'done' with true once the peers have acknowledged the end of a worker that was reported by heartbeat() or
  // worker_left(), or with false if they have not.
  void await_worker_end(std::string const& worker, WorkerEndCallback done);
  // Handles a worker's announcement that it leaves. Returns false if the worker is not registered at this node.
  bool worker_left(std::string const& id, std::uint64_t order);
  // Submits an operator's change or read; 'done' is called with its outcome.
  void submit_change(Change change, ChangeCallback done);
  // Replaces the seed addresses that the mesh dials.
  void set_mesh_seeds(std::vector<std::string> const& addresses) { node_->mesh.set_seeds(addresses); }
  // The description in force at this node.
  std::shared_ptr<Description const> const& description() const { return node_->dispatcher.description(); }
  // The version number that operators gave the description in force; 0 if there is none.
  std::uint64_t label() const { return node_->learner.value ? node_->learner.value->label : 0; }
  // Starts a graceful shutdown: requests in flight are finished first, within the shutdown grace.
  void begin_shutdown();
  // Answers a call at the control address with a JSON body.
  std::unique_ptr<Server> make_server(std::function<void(Server::Request&&)> handle, ListenerGroup group);
  void answer(std::uint64_t call, unsigned status, std::string const& body,
              std::vector<std::pair<std::string, std::string>> const& fields = {});
  // Counts and logs the answer to an operator's call; 'call' describes the call in the log, 'timing' where its time
  // went.
  void record_operator_call(std::string const& call, unsigned status, std::string const& why,
                            std::string const& timing);
  // The longest time between two ticks of the last seconds, less the planned one: how long the loop held up events.
  Micros recent_delay() const { return std::max(delay_, former_delay_); }
  // Performs timed work; run() calls it twenty times a second.
  void tick();

 private:
  void apply_effects(NodeEffects& out);
  void handle_control_call(Server::Request&& call);
  void handle_readiness_call(Server::Request&& call);
  void handle_metrics_call(Server::Request&& call);
  void advance_shutdown(Micros now);
  void record_delay(Micros now);
  std::string status() const;
  std::string metrics() const;
  std::string tenants() const;
  std::map<std::string, std::uint64_t> by_tenant(std::uint64_t TenantCounters::*of) const;

  NodeServerOptions const options_;
  GMainLoop* loop_;
  std::unique_ptr<Node> node_;
  std::shared_ptr<ConnectionBudget> budget_;
  std::unique_ptr<Connections> connections_;
  FrameTraffic traffic_;
  std::unique_ptr<RequestProxy> proxy_;
  std::unique_ptr<Server> control_server_;
  std::unique_ptr<Server> readiness_server_;
  std::unique_ptr<Server> metrics_server_;
  std::unique_ptr<DiskTask> disk_;
  ControlHandler control_handler_;
  PeriodicCheck periodic_check_;
  std::map<std::uint64_t, ChangeCallback> pending_changes_;
  std::map<std::uint64_t, WorkerEndCallback> pending_worker_ends_;
  std::uint64_t next_operation_id_ = 0;
  std::map<std::string, std::uint64_t> operator_answers_;  // answers to operators, by HTTP status
  std::shared_ptr<Description const> limits_description_;  // the description whose limits the proxy applies
  Micros next_cleanup_ = 0;
  Micros next_check_ = 0;
  Micros last_tick_ = -1;
  Micros delay_ = 0;         // the longest of the present span
  Micros former_delay_ = 0;  // and of the one before
  Micros delay_span_ends_ = 0;
  Micros shutdown_started_at_ = -1;  // -1: not shutting down
  bool listeners_closed_ = false;
};

}  // namespace pipit
