// The chat dispatcher: every request in this node, from its arrival to its answer. It decides; an executor obeys (§7).
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

// How a attempt ended.
enum class ChatAttemptEnd : std::uint8_t {
  done,       // the whole answer came
  unreached,  // no connection could be opened; nothing was sent
  refused,    // the worker said that it did not run it (429, or 503 with a time to come back)
  failed,     // the worker answered with a failure
  broke,      // the connection broke before the answer began
  silent,     // the answer did not begin in time
  wrong,      // the answer began but is not one to this request
  torn,       // the answer began and ended before its end
};

struct Ask {
  std::string lane;  // as named by the caller, or empty
  Facts facts;
  Path path;
  bool safe = false;  // the caller says that it may be repeated
};

struct Start {
  std::uint64_t chat_request = 0;
  int attempt = 0;
  std::string worker;
  std::string address;
  Micros answer = 0;  // how long the first byte may take
  Micros stall = 0;   // how long the next one may
};
struct Verdict {  // the end of an chat request that is not a success
  std::uint64_t chat_request = 0;
  Error error;
  ExecutionStatus execution = ExecutionStatus::no;
  Micros wait = 0;
};
struct ChatEffects {
  std::vector<Start> starts;
  std::vector<Verdict> ends;
  std::vector<std::pair<std::string, std::uint64_t>>
      suspects;                      // workers, with their incarnation, whose connections broke
  std::vector<std::string> asks;     // workers that must answer before they are sent more
  std::vector<std::uint64_t> drops;  // attempts to cut because their caller has gone
};

struct Tally {
  std::uint64_t asked = 0, first_sends = 0, resends = 0, done = 0, refused = 0, broken = 0, hangups = 0;
  std::uint64_t blocks_asked = 0, blocks_hit = 0, cross_zone_sends = 0, late = 0;
};

class ChatDispatcher {
 public:
  ChatDispatcher(std::string self, std::string zone, IndexSync& index_sync, Fleet& fleet)
      : self_(std::move(self)), zone_(std::move(zone)), index_sync_(index_sync), fleet_(fleet) {}
  ~ChatDispatcher() { backlog_.clear(); }

  void in_force(std::shared_ptr<Description const> description, std::set<std::string> drained_zones);
  // Placing stops while the node does not know enough: at its start, and after its clock jumped.
  void hold(bool paused) { paused_ = paused; }
  void ready(bool ready) { open_ = ready; }
  void drain() { draining_ = true; }
  // All router nodes that may send, and whether this one is new among them: then it has no share yet (§6.6).
  void nodes(std::set<std::string> names, bool newcomer) {
    names_ = std::move(names);
    newcomer_ = newcomer;
  }

  void fresh(std::uint64_t id, Ask ask, Micros now, ChatEffects& out);
  void sent(std::uint64_t id);   // a byte may have left
  void began(std::uint64_t id);  // a byte was forwarded to the caller
  void ended(std::uint64_t id, ChatAttemptEnd end, std::string const& why, Micros back, Micros now, ChatEffects& out);
  void hung_up(std::uint64_t id, Micros now, ChatEffects& out);
  void work(Micros now, ChatEffects& out);  // looks through the backlog

  std::size_t under_way() const { return chat_requests_.size(); }
  std::size_t waiting() const { return backlog_.size(); }
  std::shared_ptr<Description const> const& description() const { return rules_; }
  std::set<std::string> const& drained_zones() const { return shut_; }
  Tally tally;

 private:
  struct ChatRequest : boost::intrusive::set_base_hook<> {
    std::uint64_t id = 0;
    Ask ask;
    std::shared_ptr<Description const> rules;  // keeps the lane alive
    Lane const* lane = nullptr;
    std::string model;
    Micros arrived_at = 0;
    Micros due = 0;    // when the lane's wait ends
    Micros guess = 0;  // how long it was predicted to wait when it came
    bool safe = false;
    int attempts = 0;
    ExecutionStatus execution = ExecutionStatus::no;
    bool sent = false;  // a byte of this attempt may have left
    bool begun = false;
    std::string worker;
    std::uint64_t incarnation = 0;  // of the worker
    std::string pool;
    Micros attempt_from = 0;
    std::set<std::string> attempted;
    friend bool operator<(ChatRequest const& a, ChatRequest const& b) {
      if (a.lane->policy.urgency != b.lane->policy.urgency) return a.lane->policy.urgency > b.lane->policy.urgency;
      return a.due != b.due ? a.due < b.due : a.id < b.id;
    }
  };
  using Backlog = boost::intrusive::set<ChatRequest>;

  enum class PlacementDecision : std::uint8_t { place, wait, reject };
  struct Choice {
    PlacementDecision decision = PlacementDecision::reject;
    Worker* worker = nullptr;
    std::size_t hit = 0;
    Micros wait = 0;
    ErrorCode kind = ErrorCode::no_worker;
    std::string ask;  // the worker that is waited for
  };
  // The workers of one pool that may serve a request, and the pool's load.
  struct PoolCandidates {
    std::vector<Worker*> workers;
    std::int64_t slots = 0;
    std::int64_t busy = 0;
    Micros service_time = 0;
  };
  // What select() looks for, and what it has found so far.
  struct Selection {
    ChatRequest const& request;
    std::size_t ahead;  // requests that go first
    Micros now;
    bool confirmed_only;                      // no worker that would have to answer first
    std::map<std::string, std::size_t> hits;  // blocks of the prompt that workers keep, by worker
    Choice best = {};
    Micros cost = 0;               // of the best
    bool without_share = false;    // this node has no share of the best worker's bound
    Micros soonest = -1;           // the shortest wait offered; -1 for none
    std::int64_t cold_shares = 0;  // of workers that are free but cold
    Micros cold_ends = -1;         // when the first of them is warm; -1 for none
    void offer_wait(Micros wait) {
      if (soonest < 0 || wait < soonest) soonest = wait;
    }
  };
  PoolCandidates candidates_in(Pool const& pool, ChatRequest const& chat_request) const;
  void consider(Worker& worker, Pool const& pool, PoolCandidates const& candidates, Selection& selection);
  Micros cost_of(ChatRequest const& chat_request, Worker const& worker, Pool const& pool, Micros service_time,
                 std::size_t kept_blocks) const;
  static Choice placement(Selection const& selection);
  static Choice wait_or_rejection(Selection& selection);
  Choice select(ChatRequest const& chat_request, std::size_t ahead, Micros now, bool confirmed_only = false);
  void start_attempt(ChatRequest& chat_request, Choice const& choice, Micros now, ChatEffects& out);
  void give_up(ChatRequest& chat_request, Error error, Micros wait, ChatEffects& out);
  void erase(ChatRequest& chat_request);
  void release(ChatRequest& chat_request, Micros now, bool good);
  Micros service(Pool const& pool) const;
  void learn_wait(ChatRequest const& chat_request, Micros took);
  Micros likely(Micros wait) const;
  Micros overdue(ChatRequest const& chat_request, Micros now) const;

  std::string const self_;
  std::string const zone_;
  IndexSync& index_sync_;
  Fleet& fleet_;
  std::shared_ptr<Description const> rules_ = std::make_shared<Description>();
  std::set<std::string> shut_;
  std::set<std::string> names_;
  bool newcomer_ = false;
  bool paused_ = false;
  bool open_ = false;
  bool draining_ = false;
  double bucket_ = 1.0;
  double longer_ = 1.0;
  std::map<std::uint64_t, std::unique_ptr<ChatRequest>> chat_requests_;
  Backlog backlog_;
  std::map<std::string, std::int64_t> lane_waiting_;
  std::map<std::string, double> service_seen_;
};

}  // namespace pipit
