// A dispatcher alone, with workers that are registry entries only, under a clock that the test moves (§12.5).
#pragma once
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "routing/dispatch/dispatcher.h"

namespace pipit {

inline constexpr char hosts[] = "api.test";

inline std::shared_ptr<Description const> compiled_description(std::string const& routes) {
  Result<std::shared_ptr<Description const>> const made = read_description(
      "{\"format\":1,\"lanes\":[],\"pools\":[{\"name\":\"p\",\"model\":\"m\"},{\"name\":\"q\",\"model\":\"m\"}],"
      "\"routes\":[" +
      routes + "]}");
  EXPECT_TRUE(made) << made.error().where << " " << made.error().what;
  return made ? made.value() : std::make_shared<Description const>();
}

inline std::string route_text(std::string const& name, std::string const& more,
                              std::string const& shares = "{\"pool\":\"p\"}") {
  return "{\"name\":\"" + name + "\",\"host\":\"api.test\",\"prefix\":\"/" + name + "/\",\"shares\":[" + shares +
         "],\"hold_ms\":3000,\"aim_ms\":1000,\"attempts\":3" + more + "}";
}

inline std::shared_ptr<Description const> usual_description() {
  return compiled_description(route_text("once", "") + "," + route_text("safe", ",\"repeatable\":true") + "," +
                              route_text("flow", ",\"streams\":true,\"resumable\":true") + "," +
                              route_text("live", ",\"streams\":true"));
}

inline RequestInfo query_of(std::string const& route) {
  RequestInfo out;
  out.host = hosts;
  out.path = "/" + route + "/x";
  out.model = "m";
  out.input_tokens = 100;
  out.output_tokens = 50;
  return out;
}

inline Heartbeat heartbeat_of(std::string const& id, std::uint64_t order, std::string const& pool = "p") {
  Heartbeat out;
  out.id = id;
  out.address = "127.0.0.1:9000";
  out.zone = "a";
  out.pool = pool;
  out.slots = 8;
  out.order = order;
  return out;
}

class DispatcherTest : public testing::Test {
 protected:
  DispatcherTest() {
    dispatcher.set_description(usual_description());
    dispatcher.set_retry_budget(0.2, 10);
  }
  void worker(std::string const& id, std::string const& pool = "p") {
    registry.heartbeat(heartbeat_of(id, ++order, pool), now);
  }
  // A request that was placed at once; its worker, or nothing.
  std::string place(std::uint64_t id, std::string const& route) { return place(id, query_of(route)); }
  std::string place(std::uint64_t id, RequestInfo query) {
    out = DispatchEffects();
    dispatcher.on_request(id, std::move(query), now, out);
    return started(id);
  }
  std::string started(std::uint64_t id) const {
    for (Attempt const& item : out.attempts)
      if (item.request == id) return item.instance;
    return "";
  }
  void end(std::uint64_t id, AttemptEnd how) {
    out = DispatchEffects();
    dispatcher.on_attempt_end(id, how, false, now, out);
  }
  // Ticks until something comes out, or the time is over.
  void wait(Micros most) {
    out = DispatchEffects();
    for (Micros const stop = now + most; now < stop && out.empty();) {
      now += millis(10);
      dispatcher.tick(now, out);
    }
  }
  // The workers that peers are told to doubt.
  std::vector<std::string> suspects() {
    GossipPaths paths;
    paths.peers = {"n2"};
    std::vector<OutgoingMessage> outgoing;
    exchange.tick(now, paths, outgoing);
    std::vector<std::string> out;
    for (OutgoingMessage const& item : outgoing)
      if (item.body.type == wire::Body::Loads)
        for (std::unique_ptr<wire::LoadT> const& row : item.body.AsLoads()->list)
          if (row->suspected) out.push_back(row->worker);
    return out;
  }
  bool free_of_work() {
    for (std::pair<std::string const, Instance> const& item : registry.all)
      if (item.second.running != 0 || item.second.reserved_tokens != 0) return false;
    return dispatcher.active_requests() == 0;
  }

  Micros now = seconds(100);
  std::uint64_t order = 0;
  IndexSync index_sync{1};
  Registry registry{"n1"};
  ReportExchange exchange{"n1"};
  Dispatcher dispatcher{"n1", "a", index_sync, registry, exchange};
  DispatchEffects out;
};

}  // namespace pipit
