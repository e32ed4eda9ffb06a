// The chat dispatcher owns every chat completion request of this node from its arrival to its answer. It makes the
// decisions and returns them as ChatEffects, which an executor carries out (§7).
#pragma once
#include <boost/intrusive/set.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "config/description/description.h"
#include "routing/fleet/fleet.h"
#include "routing/index/index_sync.h"

namespace pipit {

// How an attempt ended.
enum class ChatAttemptEnd : std::uint8_t {
  done,       // the complete answer arrived
  unreached,  // no connection to the worker could be opened; nothing was sent
  refused,    // the worker stated that it did not run the request (429, or 503 with a time to retry)
  failed,     // the worker answered with an error
  broke,      // the connection broke before the answer began
  silent,     // the answer did not begin in time
  wrong,      // an answer began, but not one to this request
  torn,       // the answer ended before it was complete
};

// What the chat dispatcher needs of a client's request.
struct ChatRequestInfo {
  std::string lane;  // as named by the client, or empty
  RequestAttributes facts;
  Path path;                // of the prompt's blocks, for the prefix index
  bool repeatable = false;  // the client allows the request to run more than once
};

// An attempt to start: one send of a chat request to one worker.
struct ChatAttemptStart {
  std::uint64_t chat_request = 0;
  int attempt = 0;  // 1 for the first
  std::string worker;
  std::string address;
  Micros first_byte_timeout = 0;
  Micros idle_timeout = 0;  // between two reads of the answer
};

// The end of a chat request that was not served.
struct ChatFailure {
  std::uint64_t chat_request = 0;
  Error error;
  ExecutionStatus execution = ExecutionStatus::no;
  Micros retry_after = 0;  // 0: the answer names no time
};

// Decisions of the chat dispatcher, for the executor to carry out.
struct ChatEffects {
  std::vector<ChatAttemptStart> attempts;
  std::vector<ChatFailure> failures;
  // Workers whose connections broke, each with its incarnation.
  std::vector<std::pair<std::string, std::uint64_t>> suspected_workers;
  std::vector<std::string> probes;                // workers to probe: they must answer before they are sent more
  std::vector<std::uint64_t> cancelled_attempts;  // of requests whose client disconnected
};

// Counters of all chat requests since the start of this node.
struct ChatCounters {
  std::uint64_t received = 0, first_sends = 0, retries = 0, done = 0, refused = 0, aborted = 0, client_disconnects = 0;
  std::uint64_t prompt_blocks = 0;  // of all first attempts
  std::uint64_t cached_blocks = 0;  // of those, in the cache of the chosen worker by the prefix index
  std::uint64_t cross_zone_sends = 0;
  std::uint64_t expired = 0;  // rejected because their wait ended in the backlog
};

// Owns the chat requests of one node. The index and the fleet are referenced and must outlive it. All times are
// microseconds of one monotonic clock, passed in by the caller. Not thread-safe: one event loop uses it.
class ChatDispatcher {
 public:
  ChatDispatcher(std::string self, std::string zone, IndexSync& index_sync, Fleet& fleet)
      : self_(std::move(self)), zone_(std::move(zone)), index_sync_(index_sync), fleet_(fleet) {}
  ~ChatDispatcher() { backlog_.clear(); }

  // Places requests by this description from now on, and at no worker in a drained zone.
  void set_description(std::shared_ptr<Description const> description, std::set<std::string> drained_zones);
  // While paused, no request is placed: at the start of the node and after its clock jumped, while its view of the
  // fleet is incomplete.
  void set_paused(bool paused) { paused_ = paused; }
  // While not ready, every request is rejected.
  void set_ready(bool ready) { ready_ = ready; }
  // Rejects new requests and makes no retries from now on.
  void drain() { draining_ = true; }
  // All router nodes that may send. 'newcomer': this node is new among them and has no share of a cold worker's
  // capacity yet (§6.6).
  void set_routers(std::set<std::string> names, bool newcomer) {
    router_names_ = std::move(names);
    newcomer_ = newcomer;
  }

  // A request has arrived. 'id' must be new.
  void on_request(std::uint64_t id, ChatRequestInfo info, Micros now, ChatEffects& out);
  // A byte of the current attempt may have left this node.
  void on_sent(std::uint64_t id);
  // A byte of the answer was forwarded to the client.
  void on_answer_begin(std::uint64_t id);
  // The current attempt has ended. 'reason' is for the log and the client's error; 'retry_after' is the worker's, or 0.
  void on_attempt_end(std::uint64_t id, ChatAttemptEnd end, std::string const& reason, Micros retry_after, Micros now,
                      ChatEffects& out);
  // The client disconnected: cancels the attempt and forgets the request.
  void on_client_disconnect(std::uint64_t id, Micros now, ChatEffects& out);
  // Places requests of the backlog, and rejects those that cannot be placed in time.
  void process_backlog(Micros now, ChatEffects& out);

  std::size_t active_requests() const { return chat_requests_.size(); }
  std::size_t backlog_size() const { return backlog_.size(); }
  std::shared_ptr<Description const> const& description() const { return rules_; }
  std::set<std::string> const& drained_zones() const { return drained_zones_; }
  ChatCounters counters;

 private:
  struct ChatRequest : boost::intrusive::set_base_hook<> {
    std::uint64_t id = 0;
    ChatRequestInfo info;
    std::shared_ptr<Description const> rules;  // keeps the lane alive
    Lane const* lane = nullptr;
    std::string model;
    Micros arrived_at = 0;
    Micros deadline = 0;        // the end of the lane's wait
    Micros predicted_wait = 0;  // at its arrival
    bool repeatable = false;    // by its lane or its client
    int attempts = 0;
    ExecutionStatus execution = ExecutionStatus::no;
    bool sent = false;  // a byte of the current attempt may have left
    bool answer_begun = false;
    std::string worker_id;          // of the current attempt
    std::uint64_t incarnation = 0;  // of that worker
    std::string pool;
    Micros attempt_started_at = 0;
    std::set<std::string> attempted;  // workers of all attempts
    // The order of the backlog.
    friend bool operator<(ChatRequest const& a, ChatRequest const& b) {
      if (a.lane->policy.urgency != b.lane->policy.urgency) return a.lane->policy.urgency > b.lane->policy.urgency;
      return a.deadline != b.deadline ? a.deadline < b.deadline : a.id < b.id;
    }
  };
  using Backlog = boost::intrusive::set<ChatRequest>;

  enum class PlacementDecision : std::uint8_t { place, wait, reject };
  struct Placement {
    PlacementDecision decision = PlacementDecision::reject;
    Worker* worker = nullptr;
    std::size_t cached_blocks = 0;
    Micros wait = 0;
    ErrorCode error = ErrorCode::no_worker;
    std::string probe;  // id of a worker that must answer a probe first, or empty
  };
  // The workers of one pool that may serve a request, and the pool's load.
  struct PoolCandidates {
    std::vector<Worker*> workers;
    std::int64_t slots = 0;
    std::int64_t busy = 0;
    Micros service_time = 0;
  };
  // The input of select() and its result so far.
  struct Selection {
    ChatRequest const& request;
    std::size_t ahead;  // requests that precede this one in the backlog
    Micros now;
    bool confirmed_only;                      // leave out workers that would have to answer a probe first
    std::map<std::string, std::size_t> hits;  // cached blocks of the prompt, by worker
    Placement best = {};
    Micros cost = 0;               // of the best
    bool without_share = false;    // this node has no share of the best worker's capacity
    Micros shortest_wait = -1;     // -1: no wait would help
    std::int64_t cold_shares = 0;  // this node's shares of workers that are free but cold
    Micros first_warm_in = -1;     // until the first of them is warm; -1: there are none
    void offer_wait(Micros wait) {
      if (shortest_wait < 0 || wait < shortest_wait) shortest_wait = wait;
    }
  };
  PoolCandidates candidates_in(Pool const& pool, ChatRequest const& chat_request) const;
  void consider(Worker& worker, Pool const& pool, PoolCandidates const& candidates, Selection& selection);
  Micros cost_of(ChatRequest const& chat_request, Worker const& worker, Pool const& pool, Micros service_time,
                 std::size_t cached_blocks) const;
  static Placement placement(Selection const& selection);
  static Placement wait_or_rejection(Selection& selection);
  Placement select(ChatRequest const& chat_request, std::size_t ahead, Micros now, bool confirmed_only = false);
  void start_attempt(ChatRequest& chat_request, Placement const& choice, Micros now, ChatEffects& out);
  void reject(ChatRequest& chat_request, Error error, Micros retry_after, ChatEffects& out);
  void erase(ChatRequest& chat_request);
  void release(ChatRequest& chat_request, Micros now, bool served);
  Micros service_time(Pool const& pool) const;
  void observe_wait(ChatRequest const& chat_request, Micros actual_wait);
  Micros corrected_wait(Micros predicted_wait) const;
  Micros overdue_penalty(ChatRequest const& chat_request, Micros now) const;

  std::string const self_;
  std::string const zone_;
  IndexSync& index_sync_;
  Fleet& fleet_;
  std::shared_ptr<Description const> rules_ = std::make_shared<Description>();
  std::set<std::string> drained_zones_;
  std::set<std::string> router_names_;
  bool newcomer_ = false;
  bool paused_ = false;
  bool ready_ = false;
  bool draining_ = false;
  double retry_budget_ = 1.0;     // retries that this node may still make
  double wait_correction_ = 1.0;  // recent actual waits over their predictions
  std::map<std::uint64_t, std::unique_ptr<ChatRequest>> chat_requests_;
  Backlog backlog_;
  std::map<std::string, std::int64_t> lane_backlogs_;     // requests in the backlog, by lane
  std::map<std::string, double> measured_service_times_;  // moving average in microseconds, by pool
};

}  // namespace pipit
