// Callers, workers, the relay and the dispatcher on loopback, for tests of the path of a request (§12.5).
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

inline std::string route_text(std::string const& name, std::string const& more) {
  return "{\"name\":\"" + name + "\",\"host\":\"h.test\",\"prefix\":\"/" + name +
         "/\",\"shares\":[{\"pool\":\"p\"}],\"hold_ms\":20000,\"aim_ms\":1000,\"attempts\":3" + more + "}";
}

class Passing : public testing::Test {
 protected:
  struct Worker {
    Door door;
    std::string address;
    std::vector<std::unique_ptr<LoopbackStream>> connections;
    std::string got() const {
      std::string out;
      for (std::unique_ptr<LoopbackStream> const& connection : connections) out += connection->received;
      return out;
    }
  };

  explicit Passing(HeaderNames const& dialect = HeaderNames())
      : relay(dispatcher, dialect, "",
              {[this](std::uint64_t id, RequestInfo query) {
                 DispatchEffects out;
                 dispatcher.on_request(id, std::move(query), g_get_monotonic_time(), out);
                 obey(out);
               },
               [this](std::uint64_t id, AttemptEnd end, bool elsewhere) {
                 DispatchEffects out;
                 dispatcher.on_attempt_end(id, end, elsewhere, g_get_monotonic_time(), out);
                 obey(out);
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
    address = listen_on_free_port([this](std::string const& at) { return relay.listen(at); });
  }
  ~Passing() override { caller.reset(); }

  // Parts of limits are granted or refused at once, by the test's word.
  void obey(DispatchEffects& out) {
    std::vector<QuotaClaim> const needs = std::move(out.quota_claims);
    out.quota_claims.clear();
    for (QuotaClaim const& need : needs) {
      quota_needs.push_back(need);
      QuotaResult result{need.request, quota_answer, millis(1500)};
      if (!need.is_retry) dispatcher.quota_result(result, g_get_monotonic_time(), out);
    }
    relay.apply_effects(out);
  }

  void worker(std::string const& id) {
    std::unique_ptr<Worker>& made = workers[id];
    made = std::make_unique<Worker>();
    Worker* const at = made.get();
    at->address = listen_on_free_port([at](std::string const& address) {
      return at->door.open(address, [at](std::shared_ptr<Link> link) {
        at->connections.push_back(std::make_unique<LoopbackStream>(std::move(link)));
      });
    });
    Heartbeat word;
    word.id = id;
    word.address = at->address;
    word.zone = "a";
    word.pool = "p";
    word.slots = 8;
    word.order = 1;
    registry.heartbeat(word, g_get_monotonic_time());
  }
  void ask(std::string const& method, std::string const& path, std::string const& fields = "") {
    if (!caller || caller->closed) caller = std::make_unique<LoopbackStream>(address);
    caller->received.clear();
    caller->send(method + " " + path + " HTTP/1.1\r\nHost: h.test:80\r\nX-Pipit-Attempt: r1\r\n" + fields +
                 (method == "POST" ? "Content-Length: 2\r\n\r\nhi" : "\r\n"));
  }
  // The worker, other than one, that has the request now.
  std::string reached(std::string const& but = "") {
    std::string out;
    EXPECT_TRUE(until([&] {
      for (std::pair<std::string const, std::unique_ptr<Worker>> const& item : workers)
        if (item.first != but && item.second->got().find("\r\n\r\n") != std::string::npos) out = item.first;
      return !out.empty();
    }));
    return out;
  }
  LoopbackStream& connection_of(std::string const& id) { return *workers.at(id)->connections.back(); }
  bool hears(std::string const& text) {
    return until([&] { return caller->received.find(text) != std::string::npos; });
  }
  bool quiet() const {
    for (std::pair<std::string const, Instance> const& item : registry.all)
      if (item.second.running != 0 || item.second.reserved_tokens != 0) return false;
    return dispatcher.active_requests() == 0;
  }

  std::vector<QuotaClaim> quota_needs;
  QuotaResult::Type quota_answer = QuotaResult::Type::granted;
  IndexSync index_sync{1};
  Registry registry{"n1"};
  ReportExchange exchange{"n1"};
  Dispatcher dispatcher{"n1", "a", index_sync, registry, exchange};
  RequestProxy relay;
  std::string address;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::unique_ptr<LoopbackStream> caller;
};

}  // namespace pipit
