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

class RequestPathModel {
 public:
  // Says which of n ways the world goes on, 0 to n - 1.
  using Choose = std::function<std::size_t(std::size_t n)>;
  explicit RequestPathModel(Choose choice);
  ~RequestPathModel();

  enum class Side : std::uint8_t { caller, worker, environment };
  // Plays one event on that side.
  void step(Side side);
  // The first events of a walk that is not to begin empty: a request of that kind is sent and, if so, read by its
  // worker.
  void begin(std::size_t kind, bool read);
  // Lets everything come to its end, and judges what is left.
  void finish();

  std::vector<std::string> faults;                  // broken rules; the first one counts
  std::vector<std::string> trace;                   // the events, one a line
  std::map<std::string, std::size_t> event_counts;  // how often each kind of end and event came about

 private:
  // One try of a caller, which bears an id of its own.
  struct ClientRequest {
    std::string id;
    std::string kind;
    std::string body;
    bool repeatable = false;
    bool sent = false;  // whole
    bool answered = false;
    bool connection_lost = false;
    bool abandoned = false;
    bool promised_not_run = false;  // promised not to have run, and never to
    std::size_t runs = 0;
    std::set<std::string> run_seals;
    std::size_t deliveries = 0;
    std::vector<unsigned> failure_statuses;  // the statuses of failures that workers gave
  };
  struct CallerConnection;
  struct WorkerConnection;
  struct Worker;

  void run_event_loop();
  bool read_caller(CallerConnection& caller);
  void judge_answer(CallerConnection& caller);
  void close_caller(CallerConnection& caller, bool reset);
  void connect(CallerConnection& caller);
  void send_request(CallerConnection& caller, std::size_t kind);
  void caller_event();
  void worker_event();
  void environment_event();
  void read_worker(Worker& worker, WorkerConnection& connection);
  void receive_request(Worker& worker, WorkerConnection& connection, Head const& head, std::string const& body);
  void run_request(Worker& worker, WorkerConnection& connection);
  void answer(Worker& worker, WorkerConnection& connection, std::size_t variant);
  bool play_answer(Worker& worker, WorkerConnection& connection, std::size_t variant);
  bool answer_success(Worker& worker, WorkerConnection& connection, std::size_t variant);
  void answer_failure(Worker& worker, WorkerConnection& connection, std::size_t variant);
  bool answer_late(Worker& worker, WorkerConnection& connection, std::size_t variant);
  void answer_malformed(Worker& worker, WorkerConnection& connection, std::size_t variant);
  void answer_without_length(Worker& worker, WorkerConnection& connection, std::size_t variant);
  static std::string rest_of_body(ClientRequest const& item, WorkerConnection const& connection);
  std::string full_answer(Worker const& worker, ClientRequest const& item, std::string const& body) const;
  std::string malformed_answer(Worker const& worker, ClientRequest const& item, std::string const& body,
                               std::size_t variant) const;
  void send(WorkerConnection& connection, std::string const& bytes);
  void close_connection(WorkerConnection& connection);
  void crash(Worker& worker);
  void start_process(Worker& worker, bool address_reassigned);
  void heartbeat(Worker const& worker, bool leaving);
  void advance_time(Micros span);
  void add_fault(std::string const& text);
  void record_event(std::string const& text);
  std::shared_ptr<Link> dial(std::string const& address);
  std::string success_head(Worker const& worker, ClientRequest const& item) const;

  Choose choose;
  ManualTime time{seconds(1000)};
  IndexSync index_sync{1};
  Registry registry{"n1"};
  ReportExchange exchange{"n1"};
  Dispatcher dispatcher{"n1", "a", index_sync, registry, exchange};
  std::shared_ptr<Description const> descriptions[2];
  std::unique_ptr<RequestProxy> proxy;
  std::map<std::string, ClientRequest> requests;
  std::vector<std::string> request_order;  // of the tries
  std::vector<std::unique_ptr<CallerConnection>> callers;
  std::vector<std::unique_ptr<Worker>> workers;
  std::uint64_t heartbeat_count = 0;
  std::size_t description_index = 0;
  bool dispatch_paused = false;
  bool stopping = false;
};

}  // namespace pipit
