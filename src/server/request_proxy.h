// Routed requests between callers and workers: the executor that obeys the dispatcher (design §12.5, §12.6).
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "node/node.h"
#include "net/server.h"
#include "net/upstream_pool.h"
#include "server/failure_log.h"

namespace pipit {

// The names of the fields that carry what the dispatcher needs to know. These are the product's own; whoever speaks
// another dialect gives other names.
struct Dialect {
  std::string attempt = "X-Pipit-Attempt";    // the request's id, which its answer carries back
  std::string remaining = "X-Pipit-Left-Ms";  // the milliseconds that the caller will wait
  std::string instance = "X-Pipit-Instance";  // only the worker of this id may run it
  std::string not_run = "X-Pipit-Not-Run";    // the worker did not run it
  std::string load = "X-Pipit-Load";          // running, waiting, slots
  std::string rank = "X-Pipit-Rank";          // 0 to 9, 0 first
  std::string model = "X-Pipit-Model";
  std::string tokens = "X-Pipit-Tokens";  // of the prompt, and the most out
  std::string parts = "X-Pipit-Parts";    // ID:TOKENS, joined by commas
  std::string after = "Last-Event-Id";
  std::string authorization = "Authorization";  // SCHEME KEY, by the caller
  std::string scheme = "Bearer";
  std::string tenant = "X-Pipit-Tenant";  // whose request it is, for the worker
  std::string seal;                       // a success without it is nobody's answer; empty: none is asked for

  // The fields that are for the other end, whatever a connection names as its own.
  std::vector<std::string> end_to_end() const { return {attempt, remaining, model, tokens, parts, after, seal}; }
};

class RequestProxy {
 public:
  struct Callbacks {
    std::function<void(std::uint64_t, RequestInfo)> request;
    std::function<void(std::uint64_t, AttemptEnd, bool elsewhere)> ended;
    std::function<std::optional<FailedRequest>(std::uint64_t)> disconnected;
  };
  RequestProxy(Dispatcher& dispatcher, Dialect dialect, std::string own_host, Callbacks callbacks);

  Result<void> listen(std::string const& address) { return server.listen(address); }
  void act(DispatchEffects& out);
  void limits(CallLimits const& limits);
  void forget(std::string const& instance) { upstream.close_idle_connections(instance); }
  void close_expired(Micros now);

  Server server;
  UpstreamPool upstream;
  std::map<std::string, std::uint64_t> kinds;  // answers of this node's own, by kind

 private:
  struct Caller {
    Head head;  // as it goes on to a worker
    std::string body;
    std::string attempt;
    std::string instance;
    bool streams = false;
    bool resumable = false;
    bool resumed = false;
    bool declined = false;
    bool elsewhere = false;
    bool failing = false;
    bool withheld = false;          // a failure that can't go back: too large, or its status promises what was not said
    bool unbounded = false;         // the answer has neither length nor chunks and ends with its connection
    bool begun = false;             // the answer's head has gone to the caller
    Head answer;                    // of the worker, to go with the first bytes
    std::string tail;               // the last bytes of a stream without bounds
    std::string pending;            // a failing answer's body, or the beginning of an event that is not whole
    std::string last_event;         // id of the last event that was passed on
    bool spliced = false;           // an event of the present attempt was passed on
    std::string failure;            // why its last attempt ended
    std::uint64_t taken_bytes = 0;  // of answers' bodies, from workers
    std::uint64_t passed_bytes = 0;  // of those, written to the caller
    // Attempts of which a byte may have left, and those of them that their workers say they did not run.
    int sent = 0;
    int declined_count = 0;
    bool may_have_run() const { return sent > declined_count; }
  };
  void on_call(Server::Request&& call);
  void start(Attempt const& attempt);
  UpstreamPool::ResponseOwner on_head(std::uint64_t id, Head const& head, bool first);
  void on_body(std::uint64_t id, std::string_view bytes);
  void on_done(std::uint64_t id);
  static bool stops_in_event(Caller const& caller);
  void on_ended(std::uint64_t id, UpstreamPool::Failure end, std::string const& why);
  void pass_on(std::uint64_t id, Caller& caller, std::string_view bytes);
  std::string complete_events(std::uint64_t id, Caller& caller);
  void reject(Rejection const& denial);
  bool may_repeat(std::uint64_t id) const;
  void decline(std::uint64_t id, Caller& caller);
  void check_own(Caller const& caller) const;
  void log_failure(FailedRequest const& failed);

  Dispatcher& dispatcher_;
  Dialect const dialect_;
  std::vector<std::string> const end_to_end_;
  Callbacks callbacks_;
  std::map<std::uint64_t, Caller> callers_;
  FailureLog failure_log_;
};

}  // namespace pipit
