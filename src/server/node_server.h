// A node whose workers register themselves, with its I/O: callers, workers, operators, peers, disk (design §12.6).
#pragma once
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

struct NodeServerOptions {
  NodePlan node;
  std::string front_address;        // IP:port for callers; empty for none
  std::string readiness_address;    // IP:port that tells whether new callers are wanted
  std::string control_address;      // IP:port for workers and operators
  std::string metrics_address;      // IP:port where anybody may fetch the metrics; empty for none
  std::string mesh_listen_address;  // IP:port to listen at for peers; empty: the address that peers are told
  std::string readiness_path = "/ready";
  std::string data_directory;  // the one data folder, empty for none
  std::string log_path;
  std::string own_host;
  HeaderNames header_names;
  std::size_t max_control_body_bytes = 4u << 20;
  Micros shutdown_grace = seconds(8);  // from the word to stop until the process is ended
};

class NodeServer {
 public:
  // A call at the control address. False: it is not one of the caller's own paths.
  using ControlHandler = std::function<bool(Server::Call&)>;
  using ChangeCallback = std::function<void(ChangeReply const&)>;
  using PeriodicCheck = std::function<void()>;

  explicit NodeServer(NodeServerOptions options);
  ~NodeServer();
  // Opens the disk and the addresses.
  Result<void> open();
  // Returns the exit code once the process is to end.
  int run();

  void set_control_handler(ControlHandler handler) { control_handler_ = std::move(handler); }
  // Called on SIGHUP and every other second.
  void set_periodic_check(PeriodicCheck periodic_check) { periodic_check_ = std::move(periodic_check); }

  using WorkerEndCallback = std::function<void(bool known)>;
  // False when this node cannot tell the others of the worker.
  bool heartbeat(Heartbeat const& heartbeat);
  // Says whether the end of a worker, of which heartbeat() or worker_left() was told, is known to the others.
  void await_worker_end(std::string const& worker, WorkerEndCallback done);
  // False when no worker of that name is known here.
  bool worker_left(std::string const& id, std::uint64_t order);
  void submit_change(Change change, ChangeCallback done);
  void set_mesh_seeds(std::vector<std::string> const& addresses) { node_->mesh.set_seeds(addresses); }
  // The description in force here, with the operators' own number for it.
  std::shared_ptr<Description const> const& description() const { return node_->dispatcher.description(); }
  std::uint64_t label() const { return node_->learner.value ? node_->learner.value->label : 0; }
  // The word to stop: what is under way comes to its end first.
  void begin_shutdown();
  void answer(std::uint64_t call, unsigned status, std::string const& body,
              std::vector<std::pair<std::string, std::string>> const& fields = {});
  // Counts and logs how an operator's call was answered; 'call' names it.
  void record_operator_call(std::string const& call, unsigned status, std::string const& why);
  // What falls due with time; run() calls it twenty times a second.
  void tick();

 private:
  void apply_effects(NodeEffects& out);
  void handle_control_call(Server::Call&& call);
  void handle_readiness_call(Server::Call&& call);
  void handle_metrics_call(Server::Call&& call);
  void advance_shutdown(Micros now);
  std::string status() const;
  std::string metrics() const;
  std::string tenants() const;
  std::map<std::string, std::uint64_t> by_tenant(std::uint64_t TenantCounters::*of) const;

  NodeServerOptions const options_;
  GMainLoop* loop_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<Connections> connections_;
  FrameTraffic traffic_;
  std::unique_ptr<RequestProxy> proxy_;
  std::unique_ptr<Server> control_server_;
  std::unique_ptr<Server> ready_server_;
  std::unique_ptr<Server> metrics_server_;
  std::unique_ptr<DiskTask> disk_;
  ControlHandler control_handler_;
  PeriodicCheck periodic_check_;
  std::map<std::uint64_t, ChangeCallback> pending_changes_;
  std::map<std::uint64_t, WorkerEndCallback> pending_worker_ends_;
  std::uint64_t next_operation_id_ = 0;
  std::map<std::string, std::uint64_t> operator_answers_;  // of operators, by status
  std::shared_ptr<Description const> limits_description_;
  Micros next_cleanup_ = 0;
  Micros next_check_ = 0;
  Micros shutdown_started_at_ = -1;
  bool listeners_closed_ = false;
};

}  // namespace pipit
