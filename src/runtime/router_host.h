// Process of a router or a configuration store: connects the node core with its sockets, timers and disk (§2.2).
#pragma once
#include <map>
#include <memory>
#include <string>

#include "base/settings.h"
#include "node/node.h"
#include "runtime/disk/disk_task.h"
#include "runtime/http/chat_server.h"
#include "runtime/http/chat_upstream.h"
#include "runtime/mesh/connections.h"
#include "runtime/mesh/frame_traffic.h"

namespace pipit {

// Owns the node core and the tasks that perform its I/O, and runs them on one GLib main loop. The core decides; this
// class reports events to it and performs the effects that it returns. Not thread-safe: everything runs on the loop.
class RouterHost {
 public:
  // 'recovered', 'disk' and 'store' are set for configuration stores only.
  RouterHost(Settings settings, MemberRole role, std::optional<wire::RecordT> recovered,
             std::unique_ptr<PosixDisk> disk, std::unique_ptr<RecordStore> store);
  ~RouterHost();
  // Listens for peers and for HTTP. Error: an address cannot be listened on.
  Result<void> listen();
  // Runs the main loop until shutdown; returns the exit code of the process: 0, or 3 after a failed disk write.
  int run();

 private:
  struct ClientRequest {  // a client's request in flight
    std::string id;
    std::string path;
    std::shared_ptr<std::string const> body;
    bool stream = false;
    bool answer_begun = false;
    std::string worker_zone;
    Micros arrived_at = 0;
  };
  void apply_effects(NodeEffects& out);
  void handle_call(ChatServer::Call& call);
  void handle_chat_call(ChatServer::Call& call, bool chat);
  void handle_operator_call(ChatServer::Call const& call);
  void handle_fault_call(ChatServer::Call const& call);
  void refuse(std::uint64_t id, Error const& error);
  void fail_request(ChatFailure const& failure);
  void answer_operator(ChangeReply const& reply);
  std::string status() const;
  std::string metrics() const;
  void begin_drain();
  void check_drain();
  void reload();
  bool drops_incoming(ConnectionId id, std::string_view frame);
  bool drops_outgoing(ConnectionId id, std::string const& frame);

  Settings settings_;
  MemberRole const role_;
  GMainLoop* loop_;
  std::unique_ptr<Node> node_;
  std::shared_ptr<ConnectionBudget> budget_;
  std::unique_ptr<Connections> connections_;
  std::unique_ptr<ChatUpstream> upstream_;
  std::unique_ptr<ChatServer> chat_server_;
  std::unique_ptr<DiskTask> disk_;
  std::map<std::uint64_t, ClientRequest> requests_;
  std::map<ConnectionId, std::string> connection_names_;
  std::map<std::uint64_t, std::pair<Change::Type, std::string>>
      operator_calls_;                                  // operators' calls in flight, by call id
  std::map<std::string, std::uint64_t> error_answers_;  // error answers, by error code
  Micros last_tick_at_ = 0;
  std::uint64_t longest_loop_turn_us_ = 0;
  std::uint64_t mesh_bytes_ = 0;                             // bytes sent to and received from peers
  std::map<std::string, std::uint64_t> mesh_bytes_by_zone_;  // bytes sent to peers, by zone
  FrameTraffic traffic_;
  std::map<std::string, std::uint64_t>
      attempt_bytes_by_zone_;  // bytes of requests and answers, by the zone of the worker
  Micros grace_until_ = -1;    // end of the grace; -1: not shutting down
  Micros drain_until_ = -1;    // end of the drain; -1: not draining yet
  int exit_code_ = 0;
  guint tick_source_ = 0;
};

// Main function of both programs: reads the settings, opens the log and the data directory, and runs a RouterHost.
// Returns the exit code; 2 means bad settings, a bad data directory or an address that cannot be listened on.
int run_node(int argc, char** argv, MemberRole role);

}  // namespace pipit
