// The programs under test, each with what it needs to answer an ordinary request.
#pragma once
#include <memory>
#include <string>

#include "testing/process/child_process.h"
#include "testing/process/http_call.h"
#include "testing/process/stand_in_worker.h"

namespace pipit::process_tests {

// Limits of the process under test, told to it by its settings.
struct ProcessLimits {
  std::size_t memory_mb = 64;
  std::size_t descriptors = 4100;
};

// A process under test. Its ordinary callers call it as often as they like.
class System {
 public:
  virtual ~System() = default;
  virtual ChildProcess& process() = 0;
  // Sends an ordinary request and returns its answer.
  virtual Reply ordinary_call() = 0;
  // Whether the answer is the true one to the last ordinary request.
  virtual bool is_true_answer(Reply const& reply) const = 0;
};

// pipitspool-node with a configuration and two workers, one of which reads nothing.
class NodeSystem : public System {
 public:
  explicit NodeSystem(ProcessLimits const& limits);
  ChildProcess& process() override { return *node_; }
  Reply ordinary_call() override;
  bool is_true_answer(Reply const& reply) const override;

  std::string const front = loopback_ip(1) + ":8263";
  std::string const readiness = loopback_ip(1) + ":8268";
  std::string const control = loopback_ip(1) + ":8262";
  std::string const mesh = loopback_ip(1) + ":7300";
  std::string const metrics = loopback_ip(1) + ":9464";
  // Header lines of requests on the two routes.
  std::string const served_fields =
      "Host: a.example\r\nX-Request-Attempt: 00000000000000aa\r\n"
      "X-Model-Name: m\r\nX-Token-Counts: 10,10\r\nX-Deadline-Remaining: 20000\r\n";

 private:
  void write_settings(ProcessLimits const& limits) const;
  bool beat(std::string const& id, std::string const& service, std::string const& address);
  bool configure();

  TestFolder folder_;
  std::unique_ptr<StandInWorker> worker_;
  std::unique_ptr<StandInWorker> silent_worker_;
  std::unique_ptr<ChildProcess> node_;
  std::uint64_t calls_ = 0;
  std::uint64_t heartbeats_ = 0;
};

// pipitspool-config-store, alone in its replica set.
class ReplicaSystem : public System {
 public:
  explicit ReplicaSystem(ProcessLimits const& limits);
  ChildProcess& process() override { return *store_; }
  Reply ordinary_call() override;
  bool is_true_answer(Reply const& reply) const override;

  std::string const http = loopback_ip(2) + ":7081";
  std::string const mesh = loopback_ip(2) + ":7001";

 private:
  TestFolder folder_;
  std::unique_ptr<ChildProcess> store_;
};

// pipitspool-router with a replica, a worker list and a worker.
class RouterSystem : public System {
 public:
  explicit RouterSystem(ProcessLimits const& limits);
  ChildProcess& process() override { return *router_; }
  Reply ordinary_call() override;
  bool is_true_answer(Reply const& reply) const override;

  std::string const http = loopback_ip(3) + ":7080";
  std::string const mesh = loopback_ip(3) + ":7000";

 private:
  ReplicaSystem replica_;
  TestFolder folder_;
  std::unique_ptr<ChildProcess> list_;
  std::unique_ptr<ChildProcess> worker_;
  std::unique_ptr<ChildProcess> router_;
};

}  // namespace pipit::process_tests
