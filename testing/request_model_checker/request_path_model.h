// A model of the path of a request: the product's dispatcher and request proxy between two callers and two workers that
// are socket pairs, under a clock that the model advances. Events happen one at a time, and every byte that the proxy
// sends is checked (docs/requests.md).
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

// One execution of the model. It needs the default main context of GLib for itself.
class RequestPathModel {
 public:
  // Chooses one of n alternatives, 0 to n - 1.
  using Choose = std::function<std::size_t(std::size_t n)>;
  explicit RequestPathModel(Choose choose);
  ~RequestPathModel();

  // The source of an event: a caller, a worker, or the environment (time, crashes, configuration, drains).
  enum class Side : std::uint8_t { caller, worker, environment };
  // Makes one event of that source happen.
  void step(Side side);
  // Starts an execution with a request in flight: the first caller sends a request of the kind, and its worker reads it
  // if `read` is set.
  void begin(std::size_t kind, bool read);
  // Ends every request and connection, and checks the final state.
  void finish();

  std::vector<std::string> faults;                  // broken rules; later ones may follow from the first
  std::vector<std::string> trace;                   // the events, one on a line
  std::map<std::string, std::size_t> event_counts;  // how often each kind of event and answer occurred

 private:
  // A request of a caller. Its id goes to the worker in X-Pipit-Attempt.
  struct ClientRequest {
    std::string id;
    std::string kind;
    std::string body;
    bool repeatable = false;
    bool sent = false;  // the caller sent it to its last byte
    bool answered = false;
    bool connection_lost = false;
    bool abandoned = false;
    bool promised_not_run = false;           // the answer promises that the request did not run and never will
    std::size_t runs = 0;                    // how often a worker ran it
    std::set<std::string> run_seals;         // seals of the workers that ran it
    std::size_t deliveries = 0;              // how often it reached a worker
    std::vector<unsigned> failure_statuses;  // statuses of the failures that workers answered with
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
  std::shared_ptr<TcpConnection> dial(std::string const& address);
  std::string success_head(Worker const& worker, ClientRequest const& item) const;

  Choose choose_;
  ManualTime time_{seconds(1000)};
  IndexSync index_sync_{1};
  Registry registry_{"n1"};
  ReportExchange exchange_{"n1"};
  Dispatcher dispatcher_{"n1", "a", index_sync_, registry_, exchange_};
  std::shared_ptr<Description const> descriptions_[2];
  std::unique_ptr<RequestProxy> proxy_;
  std::map<std::string, ClientRequest> requests_;
  std::vector<std::string> request_order_;  // ids of the requests, in the order of sending
  std::vector<std::unique_ptr<CallerConnection>> callers_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::uint64_t heartbeat_count_ = 0;
  std::size_t description_index_ = 0;
  bool dispatch_paused_ = false;
  bool stopping_ = false;
};

}  // namespace pipit
