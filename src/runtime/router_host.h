// A node with its I/O: the core is asked, and the tasks that own sockets and disk obey (§2.2).
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

class RouterHost {
 public:
  RouterHost(Settings settings, MemberRole role, std::optional<wire::RecordT> recovered,
             std::unique_ptr<PosixDisk> disk, std::unique_ptr<RecordStore> store);
  ~RouterHost();
  Result<void> listen();
  // Returns the exit code once the process is to end.
  int run();

 private:
  struct Caller {  // a caller's request, by the id of its call
    std::string id;
    std::string path;
    std::string body;
    bool stream = false;
    bool begun = false;
    std::string worker_zone;
    Micros arrived_at = 0;
  };
  void act(NodeEffects& out);
  void on_call(ChatServer::Call const& call);
  void on_chat_request(ChatServer::Call const& call, bool chat);
  void on_operator(ChatServer::Call const& call);
  void on_fault(ChatServer::Call const& call);
  void refuse(std::uint64_t id, Error const& error);
  void finish(ChatFailure const& verdict);
  void reply(ChangeReply const& reply);
  std::string status() const;
  std::string metrics() const;
  void begin_drain();
  void check_drain();
  void reload();
  bool dropped_in(ConnectionId id, std::string_view frame);
  bool dropped_out(ConnectionId id, std::string const& frame);

  Settings settings_;
  MemberRole const role_;
  GMainLoop* loop_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<Connections> connections_;
  std::unique_ptr<ChatUpstream> attempts_;
  std::unique_ptr<ChatServer> chat_server_;
  std::unique_ptr<DiskTask> disk_;
  std::map<std::uint64_t, Caller> callers_;
  std::map<ConnectionId, std::string> connection_names_;
  std::map<std::uint64_t, std::pair<Change::Type, std::string>> asked_;  // operators' calls under way
  std::map<std::string, std::uint64_t> kinds_;                           // refusals by kind
  Micros ticked_ = 0;
  std::uint64_t longest_turn_ = 0;
  std::uint64_t connection_bytes_ = 0;
  std::map<std::string, std::uint64_t> mesh_to_;  // bytes sent to nodes, by their zone
  FrameTraffic traffic_;
  std::map<std::string, std::uint64_t> attempts_with_;  // bytes of requests and answers, by the worker's zone
  Micros grace_until_ = -1;
  Micros drain_until_ = -1;
  int code_ = 0;
  guint ticker_ = 0;
};

// What both programs share: settings, log, the data folder, the loop.
int run_node(int argc, char** argv, MemberRole role);

}  // namespace pipit
