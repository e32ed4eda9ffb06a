// Test fixture with RequestProxy and Dispatcher between a client and workers on loopback sockets (§12.5).
#pragma once
#include <gtest/gtest.h>

#include <glib.h>

#include <map>
#include <memory>
#include <string>

#include "net/clock.h"
#include "server/request_proxy.h"
#include "tests/loopback.h"

namespace pipit {

// JSON of a route "/NAME/" to pool "p" with 'more_members' appended.
inline std::string route_text(std::string const& name, std::string const& more_members) {
  return "{\"name\":\"" + name + "\",\"host\":\"h.test\",\"prefix\":\"/" + name +
         "/\",\"shares\":[{\"pool\":\"p\"}],\"hold_ms\":20000,\"aim_ms\":1000,\"attempts\":3" + more_members + "}";
}

// Routes: once (not repeatable), safe (repeatable), live (stream), flow (resumable stream).
class RequestProxyTest : public testing::Test {
 protected:
  struct Worker {
    Listener listener;
    std::string address;
    std::vector<std::unique_ptr<LoopbackStream>> connections;
    // All bytes received on all connections.
    std::string received() const {
      std::string out;
      for (std::unique_ptr<LoopbackStream> const& connection : connections) out += connection->received;
      return out;
    }
  };

  explicit RequestProxyTest(HeaderNames const& dialect = HeaderNames())
      : proxy(dispatcher, dialect, "",
              {[this](std::uint64_t id, RequestInfo query) {
                 DispatchEffects out;
                 dispatcher.on_request(id, std::move(query), g_get_monotonic_time(), out);
                 apply(out);
               },
               [this](std::uint64_t id, AttemptEnd end, bool elsewhere) {
                 DispatchEffects out;
                 dispatcher.on_attempt_end(id, end, elsewhere, g_get_monotonic_time(), out);
                 apply(out);
               },
               [this](std::uint64_t id) { return dispatcher.on_client_disconnect(id, g_get_monotonic_time()); }}) {
    Result<std::shared_ptr<Description const>> const rules =
        read_description("{\"format\":1,\"lanes\":[],\"pools\":[{\"name\":\"p\",\"model\":\"m\"}],\"routes\":[" +
                         route_text("once", "") + "," + route_text("safe", ",\"repeatable\":true") + "," +
                         route_text("live", ",\"streams\":true") + "," +
                         route_text("flow", ",\"streams\":true,\"resumable\":true") + "]}");
    EXPECT_TRUE(rules);
    dispatcher.set_description(rules.value());
    dispatcher.set_retry_budget(0.2, 10);
    address = listen_on_free_port([this](std::string const& at) { return proxy.listen(at); });
  }
  ~RequestProxyTest() override { client.reset(); }

  // Executes the effects of the dispatcher. Quota claims are answered at once with 'quota_result', except for retries.
  void apply(DispatchEffects& out) {
    std::vector<QuotaClaim> const claims = std::move(out.quota_claims);
    out.quota_claims.clear();
    for (QuotaClaim const& claim : claims) {
      quota_claims.push_back(claim);
      QuotaResult result{claim.request, quota_result, millis(1500)};
      if (!claim.is_retry) dispatcher.quota_result(result, g_get_monotonic_time(), out);
    }
    proxy.apply_effects(out);
  }

  // Starts a worker with 8 slots in pool "p" and registers it.
  void add_worker(std::string const& id) {
    std::unique_ptr<Worker>& worker = workers[id];
    worker = std::make_unique<Worker>();
    Worker* const added = worker.get();
    added->address = listen_on_free_port([added](std::string const& address) {
      return added->listener.open(address, [added](std::shared_ptr<TcpConnection> link) {
        added->connections.push_back(std::make_unique<LoopbackStream>(std::move(link)));
      });
    });
    Heartbeat heartbeat;
    heartbeat.id = id;
    heartbeat.address = added->address;
    heartbeat.zone = "a";
    heartbeat.pool = "p";
    heartbeat.slots = 8;
    heartbeat.order = 1;
    registry.heartbeat(heartbeat, g_get_monotonic_time());
  }
  // Sends a request with id r1 on the client's connection, opened again if it is closed, and clears what was received.
  void send_request(std::string const& method, std::string const& path, std::string const& fields = "") {
    if (!client || client->closed) client = std::make_unique<LoopbackStream>(address);
    client->received.clear();
    client->send(method + " " + path + " HTTP/1.1\r\nHost: h.test:80\r\nX-Pipit-Attempt: r1\r\n" + fields +
                 (method == "POST" ? "Content-Length: 2\r\n\r\nhi" : "\r\n"));
  }
  // Waits until a worker other than 'excluded' has received the head of a request, and returns its id.
  std::string worker_with_request(std::string const& excluded = "") {
    std::string out;
    EXPECT_TRUE(until([&] {
      for (std::pair<std::string const, std::unique_ptr<Worker>> const& item : workers)
        if (item.first != excluded && item.second->received().find("\r\n\r\n") != std::string::npos) out = item.first;
      return !out.empty();
    }));
    return out;
  }
  // The newest connection to a worker.
  LoopbackStream& connection_of(std::string const& id) { return *workers.at(id)->connections.back(); }
  // Waits until the client has received 'text'.
  bool client_receives(std::string const& text) {
    return until([&] { return client->received.find(text) != std::string::npos; });
  }
  bool no_requests_in_flight() const {
    for (std::pair<std::string const, Instance> const& item : registry.all)
      if (item.second.running != 0 || item.second.reserved_tokens != 0) return false;
    return dispatcher.active_requests() == 0;
  }

  std::vector<QuotaClaim> quota_claims;
  QuotaResult::Type quota_result = QuotaResult::Type::granted;
  IndexSync index_sync{1};
  Registry registry{"n1"};
  ReportExchange exchange{"n1"};
  Dispatcher dispatcher{"n1", "a", index_sync, registry, exchange};
  RequestProxy proxy;
  std::string address;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::unique_ptr<LoopbackStream> client;
};

}  // namespace pipit
