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

struct NodeServerPlan {
  NodePlan node;
  std::string front;    // IP:port for callers; empty for none
  std::string ready;    // IP:port that tells whether new callers are wanted
  std::string control;  // IP:port for workers and operators
  std::string metrics;  // IP:port where anybody may fetch the metrics; empty for none
  std::string mesh;     // IP:port to listen at for peers; empty: the address that peers are told
  std::string ready_path = "/ready";
  std::string data;  // the one data folder, empty for none
  std::string log;
  std::string own_host;
  Dialect dialect;
  std::size_t control_body = 4u << 20;
  Micros grace = seconds(8);  // from the word to stop until the process is ended
};

class NodeServer {
 public:
  // A call at the control address. False: it is not one of the caller's own paths.
  using Control = std::function<bool(Server::Request&)>;
  using Done = std::function<void(ChangeReply const&)>;
  using PeriodicCheck = std::function<void()>;

  explicit NodeServer(NodeServerPlan plan);
  ~NodeServer();
  // Opens the disk and the addresses.
  Result<void> open();
  // Returns the exit code once the process is to end.
  int run();

  void on_control(Control control) { control_ = std::move(control); }
  // Called on SIGHUP and every other second.
  void on_periodic_check(PeriodicCheck periodic_check) { periodic_check_ = std::move(periodic_check); }

  using EndDone = std::function<void(bool known)>;
  // False when this node cannot tell the others of the worker.
  bool heartbeat(Heartbeat const& heartbeat);
  // Says whether the end of a worker, of which heartbeat() or worker_left() was told, is known to the others.
  void await_end(std::string const& worker, EndDone done);
  // False when no worker of that name is known here.
  bool worker_left(std::string const& id, std::uint64_t order);
  void operate(Change change, Done done);
  void reseed(std::vector<std::string> const& addresses) { node_->mesh.set_seeds(addresses); }
  // The description in force here, with the operators' own number for it.
  std::shared_ptr<Description const> const& description() const { return node_->dispatcher.description(); }
  std::uint64_t label() const { return node_->learner.value ? node_->learner.value->label : 0; }
  // The word to stop: what is under way comes to its end first.
  void stop();
  void answer(std::uint64_t call, unsigned status, std::string const& body,
              std::vector<std::pair<std::string, std::string>> const& fields = {});
  // Counts and logs how an operator's call was answered; 'call' names it.
  void note_order(std::string const& call, unsigned status, std::string const& why);
  // What falls due with time; run() calls it twenty times a second.
  void tick();

 private:
  void act(NodeEffects& out);
  void on_call(Server::Request&& call);
  void on_ready(Server::Request&& call);
  void on_metrics(Server::Request&& call);
  void check_stop(Micros now);
  std::string status() const;
  std::string metrics() const;
  std::string tenants() const;
  std::map<std::string, std::uint64_t> by_tenant(std::uint64_t TenantCounters::*of) const;

  NodeServerPlan const plan_;
  GMainLoop* loop_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<Connections> connections_;
  FrameTraffic traffic_;
  std::unique_ptr<RequestProxy> proxy_;
  std::unique_ptr<Server> control_server_;
  std::unique_ptr<Server> ready_server_;
  std::unique_ptr<Server> metrics_server_;
  std::unique_ptr<DiskTask> disk_;
  Control control_;
  PeriodicCheck periodic_check_;
  std::map<std::uint64_t, Done> asked_;
  std::map<std::uint64_t, EndDone> ends_asked_;
  std::uint64_t next_ask_ = 0;
  std::map<std::string, std::uint64_t> order_answers_;  // of operators, by status
  std::shared_ptr<Description const> limits_of_;
  Micros next_cleanup_ = 0;
  Micros next_check_ = 0;
  Micros stop_from_ = -1;
  bool doors_shut_ = false;
};

}  // namespace pipit
