// Routed requests between callers and workers: the executor that obeys the dispatcher (design §12.5, §12.6).
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "node/node.h"
#include "net/server.h"
#include "net/upstream.h"
#include "server/failure_log.h"

namespace pipit {

// The names of the fields that carry what the dispatcher needs to know. These are the product's own; whoever speaks
// another dialect gives other names.
struct HeaderNames {
  std::string request_id = "X-Pipit-Attempt";      // the request's id, which its answer carries back
  std::string time_remaining = "X-Pipit-Left-Ms";  // the milliseconds that the caller will wait
  std::string instance = "X-Pipit-Instance";       // only the worker of this id may run it
  std::string not_executed = "X-Pipit-Not-Run";    // the worker did not run it
  std::string load = "X-Pipit-Load";               // running, waiting, slots
  std::string priority = "X-Pipit-Rank";           // 0 to 9, 0 first
  std::string model = "X-Pipit-Model";
  std::string token_counts = "X-Pipit-Tokens";  // of the prompt, and the most out
  std::string prompt_parts = "X-Pipit-Parts";   // ID:TOKENS, joined by commas
  std::string last_event_id = "Last-Event-Id";
  std::string authorization = "Authorization";  // SCHEME KEY, by the caller
  std::string scheme = "Bearer";
  std::string tenant = "X-Pipit-Tenant";  // whose request it is, for the worker
  std::string seal;                       // a success without it is nobody's answer; empty: none is asked for

  // The fields that are for the other end, whatever a connection names as its own.
  std::vector<std::string> end_to_end_fields() const {
    return {request_id, time_remaining, model, token_counts, prompt_parts, last_event_id, seal};
  }
};

class RequestProxy {
 public:
  struct Callbacks {
    std::function<void(std::uint64_t, RequestInfo)> request_received;
    std::function<void(std::uint64_t, AttemptEnd, bool wrong_instance)> attempt_ended;
    std::function<std::optional<FailedRequest>(std::uint64_t)> disconnected;
  };
  RequestProxy(Dispatcher& dispatcher, HeaderNames header_names, std::string own_host, Callbacks callbacks);

  Result<void> listen(std::string const& address) { return server.listen(address); }
  void apply_effects(DispatchEffects& out);
  void set_limits(CallLimits const& limits);
  void forget_worker(std::string const& instance) { upstream.forget(instance); }
  void close_expired(Micros now);

  Server server;
  Upstream upstream;
  std::map<std::string, std::uint64_t> error_answers;  // answers of this node's own, by kind

 private:
  struct ProxiedRequest {
    Head head;  // as it goes on to a worker
    std::string body;
    std::string request_id;
    std::string instance;
    bool streams = false;
    bool resumable = false;
    bool resumed = false;
    bool declined = false;
    bool wrong_instance = false;
    bool failed = false;
    bool withheld = false;         // a failure that can't go back: too large, or its status promises what was not said
    bool ends_at_close = false;    // the answer has neither length nor chunks and ends with its connection
    bool answer_begun = false;     // the answer's head has gone to the caller
    Head answer_head;              // of the worker, to go with the first bytes
    std::string tail;              // the last bytes of a stream without bounds
    std::string buffered;          // a failing answer's body, or the beginning of an event that is not whole
    std::string last_event_id;     // id of the last event that was passed on
    bool event_forwarded = false;  // an event of the present attempt was passed on
    std::string last_failure;      // why its last attempt ended
    std::uint64_t received_bytes = 0;   // of answers' bodies, from workers
    std::uint64_t forwarded_bytes = 0;  // of those, written to the caller
    // Attempts of which a byte may have left, and those of them that their workers say they did not run.
    int attempts_sent = 0;
    int attempts_declined = 0;
    bool may_have_run() const { return attempts_sent > attempts_declined; }
  };
  void handle_call(Server::Call&& call);
  void start_attempt(Attempt const& attempt);
  Upstream::Owner on_head(std::uint64_t id, Head const& head, bool first);
  void on_body(std::uint64_t id, std::string_view bytes);
  void on_done(std::uint64_t id);
  static bool ends_within_event(ProxiedRequest const& request);
  void on_ended(std::uint64_t id, Upstream::End end, std::string const& why);
  void forward(std::uint64_t id, ProxiedRequest& request, std::string_view bytes);
  std::string complete_events(std::uint64_t id, ProxiedRequest& request);
  void reject(Rejection const& rejection);
  bool may_repeat(std::uint64_t id) const;
  void report_declined(std::uint64_t id, ProxiedRequest& request);
  void check_own_answer(ProxiedRequest const& request) const;
  void log_failure(FailedRequest const& failed);

  Dispatcher& dispatcher_;
  HeaderNames const header_names_;
  std::vector<std::string> const end_to_end_;
  Callbacks callbacks_;
  std::map<std::uint64_t, ProxiedRequest> requests_;
  FailureLog failure_log_;
};

}  // namespace pipit
