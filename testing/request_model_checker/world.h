// A model of the path of a request: the product's dispatcher and relay between two callers and two workers made of
// socket pairs, under a clock that a test moves. One event is played at a time, and every byte that comes out is judged
// (docs/requests.md).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/clock.h"
#include "server/request_proxy.h"

namespace pipit {

class RequestWorld {
 public:
  // Says which of n ways the world goes on, 0 to n - 1.
  using Choose = std::function<std::size_t(std::size_t n)>;
  explicit RequestWorld(Choose choose_);
  ~RequestWorld();

  enum class Side : std::uint8_t { caller, worker, world };
  // Plays one event on that side.
  void step(Side side);
  // The first events of a walk that is not to begin empty: a request of that kind is sent and, if so, read by its
  // worker.
  void begin(std::size_t kind, bool read);
  // Lets everything come to its end, and judges what is left.
  void finish();

  std::vector<std::string> faults;          // broken rules; the first one counts
  std::vector<std::string> trace;           // the events, one a line
  std::map<std::string, std::size_t> seen;  // how often each kind of end and event came about

 private:
  // One try of a caller, which bears an id of its own.
  struct Attempt {
    std::string id;
    std::string kind;
    std::string body;
    bool repeatable = false;
    bool sent = false;  // whole
    bool answered = false;
    bool broken = false;
    bool given_up = false;
    bool refused = false;  // promised not to have run, and never to
    std::size_t runs = 0;
    std::set<std::string> run_seals;
    std::size_t arrivals = 0;
    std::vector<unsigned> failures;  // the statuses of failures that workers gave
  };
  struct CallerSide;
  struct WorkerSide;
  struct Worker;

  void pump();
  bool read_caller(CallerSide& caller);
  void judge_answer(CallerSide& caller);
  void lose_caller(CallerSide& caller, bool reset);
  void connect(CallerSide& caller);
  void send_request(CallerSide& caller, std::size_t kind);
  void caller_event();
  void worker_event();
  void world_event();
  void read_worker(Worker& worker, WorkerSide& side);
  void arrive(Worker& worker, WorkerSide& side, Head const& head, std::string const& body);
  void run(Worker& worker, WorkerSide& side);
  void answer(Worker& worker, WorkerSide& side, std::size_t way);
  bool answer_in_way(Worker& worker, WorkerSide& side, std::size_t way);
  bool answer_properly(Worker& worker, WorkerSide& side, std::size_t way);
  void answer_failure(Worker& worker, WorkerSide& side, std::size_t way);
  bool answer_late(Worker& worker, WorkerSide& side, std::size_t way);
  void answer_malformed(Worker& worker, WorkerSide& side, std::size_t way);
  void answer_without_length(Worker& worker, WorkerSide& side, std::size_t way);
  static std::string rest_of_body(Attempt const& item, WorkerSide const& side);
  std::string full_answer(Worker const& worker, Attempt const& item, std::string const& body) const;
  std::string malformed_answer(Worker const& worker, Attempt const& item, std::string const& body,
                               std::size_t way) const;
  void send(WorkerSide& side, std::string const& bytes);
  void shut(WorkerSide& side);
  void crash(Worker& worker);
  void revive(Worker& worker, bool elsewhere);
  void heartbeat(Worker const& worker, bool leaving);
  void tick(Micros span);
  void fault(std::string const& text);
  void note(std::string const& text);
  std::shared_ptr<TcpConnection> dial(std::string const& address);
  std::string success_head(Worker const& worker, Attempt const& item) const;

  Choose choose;
  ManualTime time{seconds(1000)};
  IndexSync index_sync{1};
  Registry registry{"n1"};
  ReportExchange exchange{"n1"};
  Dispatcher dispatcher{"n1", "a", index_sync, registry, exchange};
  std::shared_ptr<Description const> descriptions[2];
  std::unique_ptr<RequestProxy> relay;
  std::map<std::string, Attempt> attempts;
  std::vector<std::string> order;  // of the tries
  std::vector<std::unique_ptr<CallerSide>> callers;
  std::vector<std::unique_ptr<Worker>> workers;
  std::uint64_t heartbeats = 0;
  std::size_t description = 0;
  bool placing_held = false;
  bool stopping = false;
};

}  // namespace pipit
