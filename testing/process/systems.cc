#include "testing/process/systems.h"

#include <gtest/gtest.h>

#include <sys/stat.h>

#include <fstream>

namespace pipit::process_tests {

namespace {
std::string const json_type = "Content-Type: application/json\r\n";
std::string const worker_address = loopback_ip(11) + ":9001";
std::string const silent_worker_address = loopback_ip(12) + ":9001";

std::string route(std::string const& name, std::string const& host, std::string const& service) {
  return R"({"name":")" + name + R"(","host":")" + host +
         R"(","path_prefix":"/","route_kind":"idempotent","timeout_ms":20000,"target_latency_ms":1000,"priority":0,)" +
         R"("max_attempts":1,"service":")" + service + R"("})";
}

std::string service(std::string const& name) {
  return R"({"name":")" + name +
         R"(","health_path":"/health","connection_limit":330,"protocol":"h1","transport_security":false})";
}

std::string configuration() {
  return R"({"version":1,"routes":[)" + route("r1", "a.example", "s1") + "," + route("r2", "silent.example", "s2") +
         R"(],"services":[)" + service("s1") + "," + service("s2") +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)" +
         R"("idle_timeout_ms":15000}})";
}

// Limits as flags of the program; empty if it has none.
std::vector<std::string> limit_flags(std::string const& program, ProcessLimits const& limits) {
  if (!has_flag(program, "memory-mb")) return {};
  return {"--memory-mb", std::to_string(limits.memory_mb), "--descriptors", std::to_string(limits.descriptors)};
}

std::vector<std::string> joined(std::vector<std::string> first, std::vector<std::string> const& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}
}  // namespace

void NodeSystem::write_settings(ProcessLimits const& limits) const {
  std::ofstream file(folder_.path("node.conf"));
  file << "node_name=n1\nrole=node\nmachine_class=edge\nserves=edge,control\nip_address=" << loopback_ip(1)
       << "\nzone=a\nregion=here\nzones.a=here\nlisten_addresses.front=" << front
       << "\nlisten_addresses.readiness=" << readiness << "\nlisten_addresses.control=" << control
       << "\ninternal_port_range=7300,7315\nseed_addresses=" << control
       << "\nfirst_start=true\nloss_counted=true\nlimits.memory_mb=" << limits.memory_mb
       << "\nlimits.file_descriptors=" << limits.descriptors << "\ndata_directory=" << folder_.path("data")
       << "\nbeat_interval_ms=60000\ntolerated_losses.machines=0\nbounds.grace_s=8\n";
}

NodeSystem::NodeSystem(ProcessLimits const& limits) {
  worker_ = std::make_unique<StandInWorker>(worker_address, false);
  silent_worker_ = std::make_unique<StandInWorker>(silent_worker_address, true);
  write_settings(limits);
  std::ofstream(folder_.path("log"));
  EXPECT_EQ(::mkdir(folder_.path("data").c_str(), 0755), 0);
  node_ = std::make_unique<ChildProcess>("pipitspool-node", std::vector<std::string>{},
                                         std::vector<std::string>{"PIPITSPOOL_NODE_FILE=" + folder_.path("node.conf")},
                                         folder_.path("log"));
  EXPECT_TRUE(eventually([this] { return configure(); }));
  EXPECT_TRUE(eventually([this] {
    return beat("i-1", "s1", worker_address) && beat("i-2", "s2", silent_worker_address) &&
           is_true_answer(ordinary_call());
  }));
}

bool NodeSystem::configure() {
  return call_http(control, request_text("POST /Configuration.Replace",
                                         "Host: n1\r\nX-Based-On-Version: 0\r\n" + json_type, configuration()))
             .status == 200;
}

bool NodeSystem::beat(std::string const& id, std::string const& service, std::string const& address) {
  std::string const body = R"({"service":")" + service + R"(","address":")" + address +
                           R"(","zone":"a","version":"v1","slots":48,"state":"available","cold_remaining_ms":0,)" +
                           R"("call_sequence":)" + std::to_string(++heartbeats_) + "}";
  return call_http(control, request_text("POST /Instances.Beat/" + id, "Host: n1\r\n" + json_type, body)).status == 200;
}

Reply NodeSystem::ordinary_call() {
  std::string const fields = "Host: a.example\r\nX-Request-Attempt: " + std::to_string(++calls_) +
                             "\r\nX-Model-Name: m\r\nX-Token-Counts: 10,10\r\nX-Deadline-Remaining: 4000\r\n";
  return call_http(front, request_text("POST /x", fields, "hello"));
}

bool NodeSystem::is_true_answer(Reply const& reply) const {
  return reply.status == 200 && reply.body == "done" && reply.field("X-Request-Attempt") == std::to_string(calls_);
}

ReplicaSystem::ReplicaSystem(ProcessLimits const& limits) {
  std::vector<std::string> const arguments = {"--name",     "k1", "--zone",  "a",  "--mesh", mesh,
                                              "--http",     http, "--seeds", mesh, "--data", folder_.path("data"),
                                              "--founders", "k1"};
  store_ = std::make_unique<ChildProcess>("pipitspool-config-store",
                                          joined(arguments, limit_flags("pipitspool-config-store", limits)),
                                          std::vector<std::string>{}, folder_.path("log"));
  EXPECT_TRUE(eventually([this] { return is_true_answer(ordinary_call()); }));
}

Reply ReplicaSystem::ordinary_call() { return call_http(http, "GET /v1/description HTTP/1.1\r\nHost: k1\r\n\r\n"); }

bool ReplicaSystem::is_true_answer(Reply const& reply) const {
  return reply.status == 200 && !reply.field("X-Pipit-Serial").empty();
}

RouterSystem::RouterSystem(ProcessLimits const& limits) : replica_(ProcessLimits{}) {
  std::string const list_address = loopback_ip(4) + ":9100";
  list_ = std::make_unique<ChildProcess>("fake_backend", std::vector<std::string>{"platform", "--http", list_address},
                                         std::vector<std::string>{}, folder_.path("log"));
  worker_ = std::make_unique<ChildProcess>("fake_backend",
                                           std::vector<std::string>{"worker", "--http", worker_address, "--id", "w1"},
                                           std::vector<std::string>{}, folder_.path("log"));
  std::vector<std::string> const arguments = {"--name", "p1", "--zone",  "a",           "--mesh",     mesh,
                                              "--http", http, "--seeds", replica_.mesh, "--platform", list_address};
  router_ =
      std::make_unique<ChildProcess>("pipitspool-router", joined(arguments, limit_flags("pipitspool-router", limits)),
                                     std::vector<std::string>{}, folder_.path("log"));
  std::string const rows = R"({"workers":[{"id":"w1","address":")" + worker_address +
                           R"(","zone":"a","pool":"main","incarnation":1,"state":"serving"}]})";
  EXPECT_TRUE(eventually([&] {
    return call_http(list_address, request_text("PUT /workers", "Host: l\r\n" + json_type, rows)).status == 200;
  }));
  std::string const description =
      R"({"format":1,"pools":[{"name":"main","model":"tribute","slots":60}],"lanes":[{"name":"drafts",)"
      R"("binding":"match model = \"tribute\"; pool main","policy":"wait 2s; repeat never"}]})";
  EXPECT_TRUE(eventually([&] {
    Reply const serial = replica_.ordinary_call();
    return call_http(replica_.http,
                     request_text("PUT /v1/description",
                                  "Host: k1\r\nIf-Match: " + serial.field("X-Pipit-Serial") + "\r\n" + json_type,
                                  description))
               .status == 200;
  }));
  EXPECT_TRUE(eventually([this] { return is_true_answer(ordinary_call()); }));
}

Reply RouterSystem::ordinary_call() {
  return call_http(http, request_text("POST /v1/chat/completions", "Host: p1\r\n" + json_type,
                                      R"({"model":"tribute","messages":[{"role":"user","content":"hello"}]})"));
}

bool RouterSystem::is_true_answer(Reply const& reply) const {
  return reply.status == 200 && !reply.field("X-Request-Id").empty() &&
         reply.body.find("\"choices\"") != std::string::npos;
}

}  // namespace pipit::process_tests
