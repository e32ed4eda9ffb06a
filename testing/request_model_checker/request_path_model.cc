#include "testing/request_model_checker/request_path_model.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace pipit {

namespace {
constexpr char const* request_kinds[] = {"once", "safe", "live", "flow"};
constexpr std::size_t max_attempts = 2;  // of each route
constexpr double budget_ratio = 0.2;
constexpr double budget_limit = 2;
constexpr std::size_t max_events = 3;                // server-sent events in an answer
constexpr std::size_t answer_variants = 22;          // see play_answer()
constexpr std::size_t environment_event_kinds = 12;  // see environment_event()

HeaderNames dialect() {
  HeaderNames out;
  out.seal = "X-Seal";
  return out;
}

std::string route_text(std::string const& name, std::string const& more, int latency_target) {
  return "{\"name\":\"" + name + "\",\"host\":\"h.test\",\"prefix\":\"/" + name +
         "/\",\"shares\":[{\"pool\":\"p\"}],\"hold_ms\":4000,\"aim_ms\":" + std::to_string(latency_target) +
         ",\"attempts\":2" + more + "}";
}

// A description with one route for each request kind; without the route "once" unless `all` is set.
std::shared_ptr<Description const> compiled_description(int latency_target, bool all) {
  std::string const text = "{\"format\":1,\"lanes\":[],\"pools\":[{\"name\":\"p\",\"model\":\"m\"}],\"routes\":[" +
                           route_text("safe", ",\"repeatable\":true", latency_target) + "," +
                           route_text("live", ",\"streams\":true", latency_target) + "," +
                           route_text("flow", ",\"streams\":true,\"resumable\":true", latency_target) +
                           (all ? "," + route_text("once", "", latency_target) : "") + "]}";
  Result<std::shared_ptr<Description const>> const description = read_description(text);
  return description ? description.value() : nullptr;
}

std::string event_text(std::string const& id, std::size_t n) {
  return "id: " + std::to_string(n) + "\ndata: " + id + "." + std::to_string(n) + "\n\n";
}
std::string complete_body(std::string const& id) {
  std::string out;
  for (std::size_t n = 1; n <= max_events; ++n) out += event_text(id, n);
  return out;
}
bool socket_pair(int (&ends)[2]) {
  return ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0;
}
// Reads all available bytes. Returns false once the other end has closed the connection.
bool drain_socket(int fd, std::string& out) {
  char buffer[16384];
  for (;;) {
    ssize_t const n = ::recv(fd, buffer, sizeof buffer, 0);
    if (n > 0) {
      out.append(buffer, static_cast<std::size_t>(n));
      continue;
    }
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }
}
// Whether an answer with this status promises that the request did not run.
bool promises_not_run(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }
}  // namespace

// A caller, and its connection to the proxy.
struct RequestPathModel::CallerConnection {
  std::string name;
  int fd = -1;
  std::unique_ptr<HttpParser> reader;
  std::string awaited_id;  // id of the request that it awaits the answer to; empty if none
  std::string unsent;      // the rest of a request that has been sent in part
  Head head;
  std::string body;
  bool complete = false;
  ~CallerConnection() {
    if (fd >= 0) ::close(fd);
  }
};

// A connection of the proxy to a worker.
struct RequestPathModel::WorkerConnection {
  int fd = -1;
  HttpParser reader{true};
  Head head;
  std::string body;
  std::string unread;             // bytes received that have not been parsed
  std::string current_id;         // id of the request in flight; empty if the connection is idle
  bool request_run = false;       // the worker has run the request in flight
  std::size_t request_count = 0;  // requests received on this connection
  std::size_t events_sent = 0;    // number of the last event sent of the answer in flight
  std::size_t first_event = 1;    // number of the event that the answer begins with
  bool head_sent = false;         // of a chunked answer
  ~WorkerConnection() {
    if (fd >= 0) ::close(fd);
  }
};

// A worker process, or the process of another service that has taken over the address.
struct RequestPathModel::Worker {
  std::string address;
  std::string id;
  int process_count = 0;  // processes started at this address
  bool running = true;
  bool address_reassigned = false;  // another service has the address
  std::vector<std::unique_ptr<WorkerConnection>> connections;
};

RequestPathModel::RequestPathModel(Choose choose) : choose_(std::move(choose)) {
  descriptions_[0] = compiled_description(1000, true);
  descriptions_[1] = compiled_description(400, false);
  dispatcher_.set_description(descriptions_[0]);
  dispatcher_.set_retry_budget(budget_ratio, budget_limit);
  RequestProxy::Callbacks callbacks;
  callbacks.request_received = [this](std::uint64_t id, RequestInfo query) {
    DispatchEffects out;
    dispatcher_.on_request(id, std::move(query), loop_time(), out);
    proxy_->apply_effects(out);
  };
  callbacks.attempt_ended = [this](std::uint64_t id, AttemptEnd end, bool elsewhere) {
    DispatchEffects out;
    dispatcher_.on_attempt_end(id, end, elsewhere, loop_time(), out);
    proxy_->apply_effects(out);
  };
  callbacks.disconnected = [this](std::uint64_t id) { return dispatcher_.on_client_disconnect(id, loop_time()); };
  proxy_ = std::make_unique<RequestProxy>(dispatcher_, dialect(), "", std::move(callbacks));
  proxy_->upstream.set_dialer([this](std::string const& address, std::string const&, Micros) { return dial(address); });
  for (int n = 0; n < 2; ++n) {
    callers_.push_back(std::make_unique<CallerConnection>());
    callers_.back()->name = "caller " + std::to_string(n + 1);
    workers_.push_back(std::make_unique<Worker>());
    workers_.back()->address = "10.0.0." + std::to_string(n + 1) + ":80";
    start_process(*workers_.back(), false);
    heartbeat(*workers_.back(), false);
  }
}

RequestPathModel::~RequestPathModel() {
  proxy_.reset();
  while (g_main_context_iteration(nullptr, FALSE)) {
  }
}

void RequestPathModel::add_fault(std::string const& text) {
  faults.push_back(text);
  record_event("FAULT " + text);
}
void RequestPathModel::record_event(std::string const& text) { trace.push_back(text); }

// Runs the main loop until neither it nor a caller has anything to do.
void RequestPathModel::run_event_loop() {
  for (int turn = 0; turn < 500; ++turn) {
    bool more = false;
    while (g_main_context_iteration(nullptr, FALSE)) more = true;
    for (std::unique_ptr<CallerConnection> const& caller : callers_) more = read_caller(*caller) || more;
    if (!more) return;
  }
  add_fault("the main loop does not become idle within 500 rounds");
}

void RequestPathModel::advance_time(Micros span) {
  time_.advance(span);
  DispatchEffects out;
  dispatcher_.tick(loop_time(), out);
  proxy_->apply_effects(out);
  proxy_->close_expired(loop_time());
  registry_.end_silent_workers(loop_time());
}

// ---- callers ----

void RequestPathModel::connect(CallerConnection& caller) {
  int ends[2];
  if (!socket_pair(ends)) return add_fault("a socket pair cannot be created");
  caller.fd = ends[0];
  caller.reader = std::make_unique<HttpParser>(false);
  caller.complete = false;
  caller.reader->callbacks.head = [&caller](Head& head) {
    caller.head = head;
    caller.body.clear();
    return true;
  };
  caller.reader->callbacks.body = [&caller](std::string_view bytes) { caller.body.append(bytes); };
  caller.reader->callbacks.complete = [&caller] { caller.complete = true; };
  proxy_->server.adopt(TcpConnection::adopt(ends[1]));
}

void RequestPathModel::send_request(CallerConnection& caller, std::size_t kind) {
  if (caller.fd < 0) connect(caller);
  ClientRequest item;
  item.id = "r" + std::to_string(requests_.size() + 1);
  item.kind = request_kinds[kind];
  item.repeatable = item.kind == "safe" || item.kind == "flow";
  item.body = "body of " + item.id;
  std::string const text = "POST /" + item.kind + "/x HTTP/1.1\r\nHost: h.test\r\nX-Pipit-Attempt: " + item.id +
                           "\r\nContent-Length: " + std::to_string(item.body.size()) + "\r\n\r\n" + item.body;
  std::size_t const cut = choose_(2) == 0 ? text.size() / 2 : text.size();
  record_event(caller.name + " sends " + item.id + " (" + item.kind + ")" +
               (cut < text.size() ? ", the first half" : ""));
  caller.awaited_id = item.id;
  caller.unsent = text.substr(cut);
  item.sent = caller.unsent.empty();
  request_order_.push_back(item.id);
  requests_.emplace(item.id, item);
  if (::send(caller.fd, text.data(), cut, MSG_NOSIGNAL) < 0) close_caller(caller, true);
}

// The router closed the connection.
void RequestPathModel::close_caller(CallerConnection& caller, bool reset) {
  if (caller.fd < 0) return;
  ::close(caller.fd);
  caller.fd = -1;
  if (!caller.awaited_id.empty()) {
    requests_.at(caller.awaited_id).connection_lost = true;
    ++event_counts["break"];
    record_event(caller.name + "'s connection ended while it awaited the answer to " + caller.awaited_id);
  }
  caller.awaited_id.clear();
  caller.unsent.clear();
}

bool RequestPathModel::read_caller(CallerConnection& caller) {
  if (caller.fd < 0) return false;
  std::string received;
  bool const open = drain_socket(caller.fd, received);
  std::string_view rest = received;
  while (!rest.empty() && caller.fd >= 0) {
    if (caller.awaited_id.empty()) {
      add_fault(caller.name + " received bytes without a request in flight: " + std::string(rest));
      break;
    }
    std::size_t const consumed = caller.reader->feed(rest);
    if (caller.reader->error() != HttpParser::Error::none) {
      add_fault(caller.name + " received bytes that are not an HTTP answer");
      break;
    }
    rest.remove_prefix(std::min(consumed, rest.size()));
    if (!caller.complete) continue;
    caller.complete = false;
    caller.reader->start_next_message();
    judge_answer(caller);
  }
  if (open) return !received.empty();
  if (!caller.awaited_id.empty() && !caller.reader->idle() && caller.reader->eof())
    add_fault("the answer to " + caller.awaited_id + " has no length and ended with its connection");
  close_caller(caller, false);
  return true;
}

void RequestPathModel::judge_answer(CallerConnection& caller) {
  ClientRequest& item = requests_.at(caller.awaited_id);
  unsigned const status = caller.head.status;
  std::string const seal = caller.head.get("X-Seal");
  record_event(caller.name + " receives " + std::to_string(status) + " for " + item.id);
  ++event_counts[std::to_string(status)];
  caller.awaited_id.clear();
  caller.unsent.clear();
  item.answered = true;
  if (status >= 200 && status < 300) {
    if (caller.head.get("X-Pipit-Attempt") != item.id) add_fault(item.id + " received the answer to another request");
    if (caller.body != complete_body(item.id))
      add_fault(item.id + " received a body that is not its complete body: " + caller.body);
    if (item.runs == 0) add_fault(item.id + " succeeded but did not run");
    if (seal.empty() || item.run_seals.count(seal) == 0)
      add_fault(item.id + " succeeded without the seal of a worker that ran it");
    return;
  }
  if (!seal.empty()) {
    if (item.run_seals.count(seal) == 0) add_fault(item.id + " failed with the seal of a worker that did not run it");
    if (std::count(item.failure_statuses.begin(), item.failure_statuses.end(), status) == 0)
      add_fault(item.id + " failed with a seal and a status that no worker answered");
    if (caller.body != "failed " + item.id)
      add_fault(item.id + " received the body of another failure: " + caller.body);
  }
  if (!promises_not_run(status) || item.repeatable) return;
  item.promised_not_run = true;
  if (item.runs > 0) add_fault(item.id + " ran, but the answer promises that it did not");
}

void RequestPathModel::caller_event() {
  CallerConnection& caller = *callers_[choose_(callers_.size())];
  if (caller.awaited_id.empty()) return send_request(caller, choose_(std::size(request_kinds)));
  ClientRequest& item = requests_.at(caller.awaited_id);
  if (!caller.unsent.empty()) {
    record_event(caller.name + " sends the rest of " + caller.awaited_id);
    std::string const rest = std::move(caller.unsent);
    caller.unsent.clear();
    item.sent = true;
    if (::send(caller.fd, rest.data(), rest.size(), MSG_NOSIGNAL) < 0) close_caller(caller, true);
    return;
  }
  if (choose_(3) != 0) return;
  record_event(caller.name + " closes its connection");
  item.abandoned = true;
  ++event_counts["caller gone"];
  ::close(caller.fd);
  caller.fd = -1;
  caller.awaited_id.clear();
}

// ---- workers ----

std::shared_ptr<TcpConnection> RequestPathModel::dial(std::string const& address) {
  for (std::unique_ptr<Worker> const& worker : workers_) {
    if (worker->address != address || !worker->running) continue;
    int ends[2];
    if (!socket_pair(ends)) break;
    std::unique_ptr<WorkerConnection> connection = std::make_unique<WorkerConnection>();
    connection->fd = ends[0];
    WorkerConnection* const at = connection.get();
    connection->reader.callbacks.head = [at](Head& head) {
      at->head = head;
      at->body.clear();
      return true;
    };
    connection->reader.callbacks.body = [at](std::string_view bytes) { at->body.append(bytes); };
    worker->connections.push_back(std::move(connection));
    return TcpConnection::adopt_connecting(ends[1], seconds(60));
  }
  return TcpConnection::dial("nowhere", "", millis(1));
}

void RequestPathModel::heartbeat(Worker const& worker, bool leaving) {
  Heartbeat message;
  message.id = worker.id;
  message.address = worker.address;
  message.zone = "a";
  message.pool = "p";
  message.slots = 8;
  message.order = ++heartbeat_count_;
  message.leaving = leaving;
  registry_.heartbeat(message, loop_time());
}

void RequestPathModel::crash(Worker& worker) {
  worker.connections.clear();
  worker.running = false;
}

void RequestPathModel::start_process(Worker& worker, bool address_reassigned) {
  worker.connections.clear();
  worker.running = true;
  worker.address_reassigned = address_reassigned;
  worker.id =
      (address_reassigned ? "x" : "w") + worker.address.substr(7, 1) + "-" + std::to_string(++worker.process_count);
}

void RequestPathModel::send(WorkerConnection& connection, std::string const& bytes) {
  if (connection.fd >= 0) (void)!::send(connection.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void RequestPathModel::close_connection(WorkerConnection& connection) {
  if (connection.fd >= 0) ::close(connection.fd);
  connection.fd = -1;
  connection.current_id.clear();
}

void RequestPathModel::read_worker(Worker& worker, WorkerConnection& connection) {
  if (connection.fd < 0) return;
  bool const open = drain_socket(connection.fd, connection.unread);
  while (connection.current_id.empty() && !connection.unread.empty()) {
    std::size_t const consumed = connection.reader.feed(connection.unread);
    if (connection.reader.error() != HttpParser::Error::none)
      return add_fault(worker.id + " received bytes that are not a request");
    connection.unread.erase(0, consumed);
    if (!connection.reader.complete()) break;
    connection.reader.start_next_message();
    receive_request(worker, connection, connection.head, connection.body);
  }
  if (!open && connection.current_id.empty()) close_connection(connection);
}

void RequestPathModel::receive_request(Worker& worker, WorkerConnection& connection, Head const& head,
                                       std::string const& body) {
  std::string const id = head.get("X-Pipit-Attempt");
  record_event(worker.id + " receives " + id);
  std::map<std::string, ClientRequest>::iterator const position = requests_.find(id);
  if (position == requests_.end() || !position->second.sent)
    return add_fault(worker.id + " received " + id + ", which no caller sent to its end");
  ClientRequest& item = position->second;
  if (body != item.body || head.target != "/" + item.kind + "/x" || head.method != "POST")
    add_fault(id + " reached the worker with another method, target or body");
  if (++item.deliveries > max_attempts) add_fault(id + " was sent more often than its route allows");
  std::string const wanted = head.get("X-Pipit-Instance");
  if (!wanted.empty() && wanted != worker.id) {
    ++event_counts["421 of a worker"];
    return send(connection, "HTTP/1.1 421 Elsewhere\r\nX-Instance-Id: " + worker.id + "\r\nContent-Length: 0\r\n\r\n");
  }
  connection.current_id = id;
  ++connection.request_count;
  connection.request_run = false;
  connection.head_sent = false;
  connection.events_sent = 0;
  std::string const after = head.get("Last-Event-Id");
  connection.first_event = after.empty() ? 1 : static_cast<std::size_t>(std::strtoull(after.c_str(), nullptr, 10)) + 1;
  // A worker that resumes a stream may repeat the last event that the caller already has.
  if (connection.first_event > 1 && choose_(2) == 0) --connection.first_event;
}

void RequestPathModel::run_request(Worker& worker, WorkerConnection& connection) {
  if (connection.request_run) return;
  connection.request_run = true;
  ClientRequest& item = requests_.at(connection.current_id);
  ++item.runs;
  item.run_seals.insert("s-" + worker.id);
  ++event_counts["run"];
  record_event(worker.id + " runs " + item.id);
  if (worker.address_reassigned) add_fault("another service at the worker's address runs " + item.id);
  if (!item.repeatable && item.runs > 1) add_fault(item.id + " runs twice");
  if (item.promised_not_run) add_fault(item.id + " runs, although the answer promised that it never will");
}

std::string RequestPathModel::success_head(Worker const& worker, ClientRequest const& item) const {
  return "HTTP/1.1 200 OK\r\nX-Pipit-Attempt: " + item.id + "\r\nX-Seal: s-" + worker.id + "\r\n";
}

// The events from the first one of this answer on, as one body.
std::string RequestPathModel::rest_of_body(ClientRequest const& item, WorkerConnection const& connection) {
  std::string body;
  for (std::size_t n = connection.first_event; n <= max_events; ++n) body += event_text(item.id, n);
  return body;
}

std::string RequestPathModel::full_answer(Worker const& worker, ClientRequest const& item,
                                          std::string const& body) const {
  return success_head(worker, item) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends the complete answer or the rest of it (variant 0), or the next part (1 and 2). Returns true at its end.
bool RequestPathModel::answer_success(Worker& worker, WorkerConnection& connection, std::size_t variant) {
  ClientRequest& item = requests_.at(connection.current_id);
  run_request(worker, connection);
  if (!connection.head_sent && variant == 0) {
    send(connection, full_answer(worker, item, rest_of_body(item, connection)));
    return true;
  }
  if (!connection.head_sent) {
    connection.head_sent = true;
    connection.events_sent = connection.first_event - 1;
    send(connection, success_head(worker, item) + "Transfer-Encoding: chunked\r\n\r\n");
  }
  while (connection.events_sent < max_events) {
    ++connection.events_sent;
    send(connection, encode_chunk(event_text(item.id, connection.events_sent)));
    if (variant > 0) break;
  }
  if (variant == 0) send(connection, "0\r\n\r\n");
  return variant == 0;
}

// Sends a refusal that names the request (variant 3), one that does not (4), or a failure after the request ran (5:
// 500, 6: 429, 7: 503).
void RequestPathModel::answer_failure(Worker& worker, WorkerConnection& connection, std::size_t variant) {
  ClientRequest& item = requests_.at(connection.current_id);
  std::string const id = "X-Pipit-Attempt: " + item.id + "\r\n";
  if (variant == 3)
    return send(connection, "HTTP/1.1 503 Busy\r\n" + id + "X-Pipit-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  if (variant == 4) return send(connection, "HTTP/1.1 503 Busy\r\nX-Pipit-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy");
  unsigned const status = variant == 5 ? 500 : variant == 6 ? 429 : 503;
  run_request(worker, connection);
  item.failure_statuses.push_back(status);
  send(connection, "HTTP/1.1 " + std::to_string(status) + " Odd\r\n" + id + "X-Seal: s-" + worker.id +
                       "\r\nContent-Length: " + std::to_string(7 + item.id.size()) + "\r\n\r\nfailed " + item.id);
}

// Sends a late answer to an earlier request, followed by the right answer (variant 8) or alone (9). Returns true if the
// right answer was sent.
bool RequestPathModel::answer_late(Worker& worker, WorkerConnection& connection, std::size_t variant) {
  ClientRequest const& item = requests_.at(connection.current_id);
  ClientRequest const& other = requests_.at(request_order_[choose_(request_order_.size())]);
  if (other.id == item.id || other.run_seals.count("s-" + worker.id) == 0) return false;
  send(connection, full_answer(worker, other, complete_body(other.id)));
  run_request(worker, connection);
  if (variant == 8) send(connection, full_answer(worker, item, rest_of_body(item, connection)));
  return variant == 8;
}

// The text of an answer that breaks the protocol, made from the correct answer.
std::string RequestPathModel::malformed_answer(Worker const& worker, ClientRequest const& item, std::string const& body,
                                               std::size_t variant) const {
  std::string const answer = full_answer(worker, item, body);
  std::string const length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  switch (variant) {
    case 10:  // sent twice
      return answer + answer;
    case 11:  // follows a head with an invalid status
      return "HTTP/1.1 20 OK\r\n\r\n" + answer;
    case 12:  // does not name the request
      return "HTTP/1.1 200 OK\r\nX-Seal: s-" + worker.id + "\r\n" + length;
    case 13:  // has no seal
      return "HTTP/1.1 200 OK\r\nX-Pipit-Attempt: " + item.id + "\r\n" + length;
    case 14:  // follows an interim answer
      return "HTTP/1.1 100 Continue\r\n\r\n" + answer;
    case 16:  // shorter than its announced length
      return answer.substr(0, answer.size() - 4);
    default:
      return answer;
  }
}

// Sends an answer without a length, which ends with its connection; for a stream in variant 20 within an event.
void RequestPathModel::answer_without_length(Worker& worker, WorkerConnection& connection, std::size_t variant) {
  ClientRequest const& item = requests_.at(connection.current_id);
  std::string const body = rest_of_body(item, connection);
  run_request(worker, connection);
  ++event_counts["answer without length"];
  // Without a length, a truncated answer can be recognized only if it is a stream.
  bool const truncated = variant == 20 && (item.kind == "live" || item.kind == "flow");
  send(connection, success_head(worker, item) + "\r\n" + (truncated ? body.substr(0, body.size() - 3) : body));
  close_connection(connection);
}

// Runs the request and sends an answer that is malformed or that follows other bytes.
void RequestPathModel::answer_malformed(Worker& worker, WorkerConnection& connection, std::size_t variant) {
  ClientRequest const& item = requests_.at(connection.current_id);
  run_request(worker, connection);
  // A late refusal of an earlier request, which it does not name.
  if (variant == 18 && connection.request_count > 1)
    send(connection, "HTTP/1.1 503 Busy\r\nX-Pipit-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  send(connection, malformed_answer(worker, item, rest_of_body(item, connection), variant));
  if (variant == 16) close_connection(connection);
}

// Answers the request in flight in one of the variants, 0 to answer_variants - 1. Returns true if the answer has ended.
bool RequestPathModel::play_answer(Worker& worker, WorkerConnection& connection, std::size_t variant) {
  switch (variant) {
    case 0:
    case 1:
    case 2:
      return answer_success(worker, connection, variant);
    case 3:
    case 4:
    case 5:
    case 6:
    case 7:
      answer_failure(worker, connection, variant);
      return true;
    case 8:
    case 9:
      return answer_late(worker, connection, variant);
    case 10:
    case 11:
    case 12:
    case 13:
    case 14:
    case 16:
    case 18:
      answer_malformed(worker, connection, variant);
      return true;
    case 15:  // runs the request and does not answer yet
      run_request(worker, connection);
      return false;
    case 17:
      send(connection, "\x01garbage\r\n\r\n");
      return true;
    case 19:
    case 20:
      answer_without_length(worker, connection, variant);
      return true;
    default:
      close_connection(connection);
      return true;
  }
}

// Answers the request in flight. A variant that contradicts what the worker has already done is replaced by variant 0.
void RequestPathModel::answer(Worker& worker, WorkerConnection& connection, std::size_t variant) {
  record_event(worker.id + " answers " + connection.current_id + " in variant " + std::to_string(variant));
  if (connection.head_sent && variant > 2 && variant != 17 && variant < 21) variant = 0;
  if (connection.request_run && (variant == 3 || variant == 4)) variant = 0;  // no worker denies that it ran a request
  if (!play_answer(worker, connection, variant)) return;
  connection.current_id.clear();
  connection.head_sent = false;
}

void RequestPathModel::worker_event() {
  Worker& worker = *workers_[choose_(workers_.size())];
  std::erase_if(worker.connections,
                [](std::unique_ptr<WorkerConnection> const& connection) { return connection->fd < 0; });
  if (worker.connections.empty()) return;
  WorkerConnection& connection = *worker.connections[choose_(worker.connections.size())];
  if (connection.current_id.empty()) read_worker(worker, connection);
  if (!connection.current_id.empty()) return answer(worker, connection, choose_(answer_variants));
  if (connection.fd < 0) return;
  switch (choose_(3)) {
    case 0:
      record_event(worker.id + " closes an idle connection");
      return close_connection(connection);
    case 1: {
      if (request_order_.empty()) return;
      ClientRequest const& other = requests_.at(request_order_[choose_(request_order_.size())]);
      if (other.run_seals.count("s-" + worker.id) == 0) return;
      std::string const late = complete_body(other.id);
      record_event(worker.id + " answers " + other.id + " on an idle connection");
      return send(connection,
                  success_head(worker, other) + "Content-Length: " + std::to_string(late.size()) + "\r\n\r\n" + late);
    }
    default:
      record_event(worker.id + " sends garbage on an idle connection");
      return send(connection, "HTTP/1.1 2");
  }
}

// ---- environment ----

void RequestPathModel::environment_event() {
  Worker& worker = *workers_[choose_(workers_.size())];
  switch (choose_(environment_event_kinds)) {
    case 0:
      record_event("50 ms pass");
      return advance_time(millis(50));
    case 1:
      record_event("0.4 s pass");
      for (int n = 0; n < 8; ++n) {
        advance_time(millis(50));
        run_event_loop();
      }
      return;
    case 2:
      record_event("1.5 s pass");
      for (int n = 0; n < 30; ++n) {
        advance_time(millis(50));
        run_event_loop();
      }
      return;
    case 3:
      record_event("the node does not run for 3 s");
      ++event_counts["freeze"];
      return advance_time(seconds(3));
    case 4:
      record_event(worker.id + " crashes");
      return crash(worker);
    case 5:
      record_event(worker.id + " is replaced by a new process at its address");
      if (choose_(2) == 0) registry_.leave(worker.id, ++heartbeat_count_, loop_time());
      proxy_->forget_worker(worker.id);
      start_process(worker, false);
      return heartbeat(worker, false);
    case 6:
      record_event(worker.id + " loses its address to another service");
      return start_process(worker, true);
    case 7:
      if (worker.address_reassigned) return;
      record_event(worker.id + " drains");
      return heartbeat(worker, true);
    case 8:
      description_index_ = 1 - description_index_;
      record_event("the node applies configuration " + std::to_string(description_index_));
      return dispatcher_.set_description(descriptions_[description_index_]);
    case 9:
      dispatch_paused_ = !dispatch_paused_;
      record_event(dispatch_paused_ ? "dispatch is paused" : "dispatch resumes");
      return dispatcher_.set_paused(dispatch_paused_);
    case 10:
      if (worker.address_reassigned || !worker.running) return;
      record_event(worker.id + " reports its departure and continues to serve");
      ++event_counts["farewell"];
      registry_.leave(worker.id, ++heartbeat_count_, loop_time());
      return;
    default:
      if (stopping_) return;
      stopping_ = true;
      record_event("the node begins to stop");
      proxy_->server.close_after_responses();
      return proxy_->server.close_idle_connections();
  }
}

void RequestPathModel::begin(std::size_t kind, bool read) {
  send_request(*callers_[0], kind);
  run_event_loop();
  if (!read) return;
  for (std::unique_ptr<Worker> const& worker : workers_)
    for (std::unique_ptr<WorkerConnection> const& connection : worker->connections) read_worker(*worker, *connection);
}

void RequestPathModel::step(Side side) {
  switch (side) {
    case Side::caller:
      caller_event();
      break;
    case Side::worker:
      worker_event();
      break;
    case Side::environment:
      environment_event();
      break;
  }
  run_event_loop();
}

void RequestPathModel::finish() {
  record_event("the execution ends: every event that is due happens");
  dispatcher_.set_paused(false);
  for (int n = 0; n < 50; ++n) {
    // Workers run every request that has reached them and send no answers.
    for (std::unique_ptr<Worker> const& worker : workers_)
      for (std::unique_ptr<WorkerConnection> const& connection : worker->connections) {
        if (connection->current_id.empty()) read_worker(*worker, *connection);
        if (!connection->current_id.empty()) run_request(*worker, *connection);
      }
    advance_time(millis(100));
    run_event_loop();
  }
  for (std::unique_ptr<CallerConnection> const& caller : callers_)
    if (!caller->awaited_id.empty() && caller->unsent.empty()) add_fault(caller->awaited_id + " was never answered");
  for (std::unique_ptr<Worker> const& worker : workers_) crash(*worker);
  callers_.clear();
  run_event_loop();
  if (dispatcher_.active_requests() != 0) add_fault("the dispatcher still has active requests at the end");
  for (std::pair<std::string const, Instance> const& item : registry_.all)
    if (item.second.running != 0 || item.second.reserved_tokens != 0)
      add_fault(item.first + " still has running requests or reserved tokens at the end");
  double extra = 0;
  for (std::pair<std::string const, ClientRequest> const& item : requests_)
    extra += static_cast<double>(item.second.deliveries > 1 ? item.second.deliveries - 1 : 0);
  if (extra > budget_ratio * static_cast<double>(requests_.size()) + budget_limit)
    add_fault("there were more retries than the retry budget allows");
  event_counts["sent again"] += static_cast<std::size_t>(extra);
}

}  // namespace pipit
