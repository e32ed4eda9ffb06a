#include "testing/request_model_checker/world.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace pipit {

namespace {
constexpr char const* kinds[] = {"once", "safe", "live", "flow"};
constexpr std::size_t attempts_most = 2;
constexpr double budget_ratio = 0.2;
constexpr double budget_store = 2;
constexpr std::size_t events_most = 3;  // of an answer
constexpr std::size_t answer_ways = 22;
constexpr std::size_t world_events = 12;

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

std::shared_ptr<Description const> compiled_description(int latency_target, bool all) {
  std::string const text = "{\"format\":1,\"lanes\":[],\"pools\":[{\"name\":\"p\",\"model\":\"m\"}],\"routes\":[" +
                           route_text("safe", ",\"repeatable\":true", latency_target) + "," +
                           route_text("live", ",\"streams\":true", latency_target) + "," +
                           route_text("flow", ",\"streams\":true,\"resumable\":true", latency_target) +
                           (all ? "," + route_text("once", "", latency_target) : "") + "]}";
  Result<std::shared_ptr<Description const>> const made = read_description(text);
  return made ? made.value() : nullptr;
}

std::string event_of(std::string const& id, std::size_t n) {
  return "id: " + std::to_string(n) + "\ndata: " + id + "." + std::to_string(n) + "\n\n";
}
std::string complete_body(std::string const& id) {
  std::string out;
  for (std::size_t n = 1; n <= events_most; ++n) out += event_of(id, n);
  return out;
}
bool socket_pair(int (&ends)[2]) {
  return ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0;
}
// Reads what is there. False once the other end is closed.
bool read_all(int fd, std::string& out) {
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
bool promise(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }
}  // namespace

struct RequestWorld::CallerSide {
  std::string name;
  int fd = -1;
  std::unique_ptr<Reader> reader;
  std::string waits;  // id of the try that it waits for, or nothing
  std::string rest;   // of a request that has been sent in part
  Head head;
  std::string body;
  bool complete = false;
  ~CallerSide() {
    if (fd >= 0) ::close(fd);
  }
};

struct RequestWorld::WorkerSide {
  int fd = -1;
  Reader reader{true};
  Head head;
  std::string body;
  std::string unread;
  std::string current;  // id of the request that it holds
  bool has_run = false;
  std::size_t carried = 0;  // requests that came on it
  std::size_t events = 0;   // of its answer that have been sent, with its head
  std::size_t first = 1;    // event that it begins with
  bool headed = false;
  ~WorkerSide() {
    if (fd >= 0) ::close(fd);
  }
};

struct RequestWorld::Worker {
  std::string address;
  std::string id;
  int process_count = 0;
  bool up = true;
  bool elsewhere = false;  // another service holds the address
  std::vector<std::unique_ptr<WorkerSide>> sides;
};

RequestWorld::RequestWorld(Choose choose_) : choose(std::move(choose_)) {
  descriptions[0] = compiled_description(1000, true);
  descriptions[1] = compiled_description(400, false);
  dispatcher.set_description(descriptions[0]);
  dispatcher.set_retry_budget(budget_ratio, budget_store);
  RequestProxy::Callbacks callbacks;
  callbacks.request_received = [this](std::uint64_t id, RequestInfo query) {
    DispatchEffects out;
    dispatcher.on_request(id, std::move(query), loop_time(), out);
    relay->apply_effects(out);
  };
  callbacks.attempt_ended = [this](std::uint64_t id, AttemptEnd end, bool elsewhere) {
    DispatchEffects out;
    dispatcher.on_attempt_end(id, end, elsewhere, loop_time(), out);
    relay->apply_effects(out);
  };
  callbacks.disconnected = [this](std::uint64_t id) { return dispatcher.on_client_disconnect(id, loop_time()); };
  relay = std::make_unique<RequestProxy>(dispatcher, dialect(), "", std::move(callbacks));
  relay->upstream.dial_by([this](std::string const& address, std::string const&, Micros) { return dial(address); });
  for (int n = 0; n < 2; ++n) {
    callers.push_back(std::make_unique<CallerSide>());
    callers.back()->name = "caller " + std::to_string(n + 1);
    workers.push_back(std::make_unique<Worker>());
    workers.back()->address = "10.0.0." + std::to_string(n + 1) + ":80";
    revive(*workers.back(), false);
    heartbeat(*workers.back(), false);
  }
}

RequestWorld::~RequestWorld() {
  relay.reset();
  while (g_main_context_iteration(nullptr, FALSE)) {
  }
}

void RequestWorld::fault(std::string const& text) {
  faults.push_back(text);
  note("FAULT " + text);
}
void RequestWorld::note(std::string const& text) { trace.push_back(text); }

void RequestWorld::pump() {
  for (int turn = 0; turn < 500; ++turn) {
    bool more = false;
    while (g_main_context_iteration(nullptr, FALSE)) more = true;
    for (std::unique_ptr<CallerSide> const& caller : callers) more = read_caller(*caller) || more;
    if (!more) return;
  }
  fault("the loop does not come to rest");
}

void RequestWorld::tick(Micros span) {
  time.advance(span);
  DispatchEffects out;
  dispatcher.tick(loop_time(), out);
  relay->apply_effects(out);
  relay->close_expired(loop_time());
  registry.end_silent_workers(loop_time());
}

// ---- callers ----

void RequestWorld::connect(CallerSide& caller) {
  int ends[2];
  if (!socket_pair(ends)) return fault("no sockets");
  caller.fd = ends[0];
  caller.reader = std::make_unique<Reader>(false);
  caller.complete = false;
  caller.reader->callbacks.head = [&caller](Head& head) {
    caller.head = head;
    caller.body.clear();
    return true;
  };
  caller.reader->callbacks.body = [&caller](std::string_view bytes) { caller.body.append(bytes); };
  caller.reader->callbacks.complete = [&caller] { caller.complete = true; };
  relay->server.adopt(Link::adopt(ends[1]));
}

void RequestWorld::send_request(CallerSide& caller, std::size_t kind) {
  if (caller.fd < 0) connect(caller);
  Attempt item;
  item.id = "r" + std::to_string(attempts.size() + 1);
  item.kind = kinds[kind];
  item.repeatable = item.kind == "safe" || item.kind == "flow";
  item.body = "body of " + item.id;
  std::string const text = "POST /" + item.kind + "/x HTTP/1.1\r\nHost: h.test\r\nX-Pipit-Attempt: " + item.id +
                           "\r\nContent-Length: " + std::to_string(item.body.size()) + "\r\n\r\n" + item.body;
  std::size_t const cut = choose(2) == 0 ? text.size() / 2 : text.size();
  note(caller.name + " sends " + item.id + " (" + item.kind + ")" + (cut < text.size() ? ", half of it" : ""));
  caller.waits = item.id;
  caller.rest = text.substr(cut);
  item.sent = caller.rest.empty();
  order.push_back(item.id);
  attempts.emplace(item.id, item);
  if (::send(caller.fd, text.data(), cut, MSG_NOSIGNAL) < 0) lose_caller(caller, true);
}

// The connection ended on the router's side.
void RequestWorld::lose_caller(CallerSide& caller, bool reset) {
  if (caller.fd < 0) return;
  ::close(caller.fd);
  caller.fd = -1;
  if (!caller.waits.empty()) {
    attempts.at(caller.waits).broken = true;
    ++seen["break"];
    note(caller.name + " sees its connection end while " + caller.waits + " waits");
  }
  caller.waits.clear();
  caller.rest.clear();
}

bool RequestWorld::read_caller(CallerSide& caller) {
  if (caller.fd < 0) return false;
  std::string got;
  bool const open = read_all(caller.fd, got);
  std::string_view rest = got;
  while (!rest.empty() && caller.fd >= 0) {
    if (caller.waits.empty()) {
      fault(caller.name + " gets bytes that it does not wait for: " + std::string(rest));
      break;
    }
    std::size_t const took = caller.reader->feed(rest);
    if (caller.reader->error() != Reader::Error::none) {
      fault(caller.name + " gets bytes that are no answer");
      break;
    }
    rest.remove_prefix(std::min(took, rest.size()));
    if (!caller.complete) continue;
    caller.complete = false;
    caller.reader->next();
    judge_answer(caller);
  }
  if (open) return !got.empty();
  if (!caller.waits.empty() && !caller.reader->idle() && caller.reader->eof())
    fault("an answer to " + caller.waits + " ends with its connection");
  lose_caller(caller, false);
  return true;
}

void RequestWorld::judge_answer(CallerSide& caller) {
  Attempt& item = attempts.at(caller.waits);
  unsigned const status = caller.head.status;
  std::string const seal = caller.head.get("X-Seal");
  note(caller.name + " gets " + std::to_string(status) + " for " + item.id);
  ++seen[std::to_string(status)];
  caller.waits.clear();
  caller.rest.clear();
  item.answered = true;
  if (status >= 200 && status < 300) {
    if (caller.head.get("X-Pipit-Attempt") != item.id) fault(item.id + " gets an answer to another");
    if (caller.body != complete_body(item.id))
      fault(item.id + " gets another body than its own whole one: " + caller.body);
    if (item.runs == 0) fault(item.id + " has a success and did not run");
    if (seal.empty() || item.run_seals.count(seal) == 0) fault(item.id + " has a success without its worker's seal");
    return;
  }
  if (!seal.empty()) {
    if (item.run_seals.count(seal) == 0) fault(item.id + " bears the seal of a worker that did not run it");
    if (std::count(item.failures.begin(), item.failures.end(), status) == 0)
      fault(item.id + " bears a seal and a status that no worker gave");
    if (caller.body != "failed " + item.id) fault(item.id + " gets another failure's body: " + caller.body);
  }
  if (!promise(status) || item.repeatable) return;
  item.refused = true;
  if (item.runs > 0) fault(item.id + " has run and is told not to have");
}

void RequestWorld::caller_event() {
  CallerSide& caller = *callers[choose(callers.size())];
  if (caller.waits.empty()) return send_request(caller, choose(std::size(kinds)));
  Attempt& item = attempts.at(caller.waits);
  if (!caller.rest.empty()) {
    note(caller.name + " sends the rest of " + caller.waits);
    std::string const rest = std::move(caller.rest);
    caller.rest.clear();
    item.sent = true;
    if (::send(caller.fd, rest.data(), rest.size(), MSG_NOSIGNAL) < 0) lose_caller(caller, true);
    return;
  }
  if (choose(3) != 0) return;
  note(caller.name + " goes away");
  item.given_up = true;
  ++seen["caller gone"];
  ::close(caller.fd);
  caller.fd = -1;
  caller.waits.clear();
}

// ---- workers ----

std::shared_ptr<Link> RequestWorld::dial(std::string const& address) {
  for (std::unique_ptr<Worker> const& worker : workers) {
    if (worker->address != address || !worker->up) continue;
    int ends[2];
    if (!socket_pair(ends)) break;
    std::unique_ptr<WorkerSide> side = std::make_unique<WorkerSide>();
    side->fd = ends[0];
    WorkerSide* const at = side.get();
    side->reader.callbacks.head = [at](Head& head) {
      at->head = head;
      at->body.clear();
      return true;
    };
    side->reader.callbacks.body = [at](std::string_view bytes) { at->body.append(bytes); };
    worker->sides.push_back(std::move(side));
    return Link::opening(ends[1], seconds(60));
  }
  return Link::dial("nowhere", "", millis(1));
}

void RequestWorld::heartbeat(Worker const& worker, bool leaving) {
  Heartbeat message;
  message.id = worker.id;
  message.address = worker.address;
  message.zone = "a";
  message.pool = "p";
  message.slots = 8;
  message.order = ++heartbeats;
  message.leaving = leaving;
  registry.heartbeat(message, loop_time());
}

void RequestWorld::crash(Worker& worker) {
  worker.sides.clear();
  worker.up = false;
}

void RequestWorld::revive(Worker& worker, bool elsewhere) {
  worker.sides.clear();
  worker.up = true;
  worker.elsewhere = elsewhere;
  worker.id = (elsewhere ? "x" : "w") + worker.address.substr(7, 1) + "-" + std::to_string(++worker.process_count);
}

void RequestWorld::send(WorkerSide& side, std::string const& bytes) {
  if (side.fd >= 0) (void)!::send(side.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void RequestWorld::shut(WorkerSide& side) {
  if (side.fd >= 0) ::close(side.fd);
  side.fd = -1;
  side.current.clear();
}

void RequestWorld::read_worker(Worker& worker, WorkerSide& side) {
  if (side.fd < 0) return;
  bool const open = read_all(side.fd, side.unread);
  while (side.current.empty() && !side.unread.empty()) {
    std::size_t const took = side.reader.feed(side.unread);
    if (side.reader.error() != Reader::Error::none) return fault(worker.id + " gets what is no request");
    side.unread.erase(0, took);
    if (!side.reader.complete()) break;
    side.reader.next();
    arrive(worker, side, side.head, side.body);
  }
  if (!open && side.current.empty()) shut(side);
}

void RequestWorld::arrive(Worker& worker, WorkerSide& side, Head const& head, std::string const& body) {
  std::string const id = head.get("X-Pipit-Attempt");
  note(worker.id + " has " + id);
  std::map<std::string, Attempt>::iterator const position = attempts.find(id);
  if (position == attempts.end() || !position->second.sent)
    return fault(worker.id + " gets " + id + ", which nobody sent");
  Attempt& item = position->second;
  if (body != item.body || head.target != "/" + item.kind + "/x" || head.method != "POST")
    fault(id + " arrives changed");
  if (++item.arrivals > attempts_most) fault(id + " comes to more workers than its route allows");
  std::string const wanted = head.get("X-Pipit-Instance");
  if (!wanted.empty() && wanted != worker.id) {
    ++seen["421 of a worker"];
    return send(side, "HTTP/1.1 421 Elsewhere\r\nX-Instance-Id: " + worker.id + "\r\nContent-Length: 0\r\n\r\n");
  }
  side.current = id;
  ++side.carried;
  side.has_run = false;
  side.headed = false;
  side.events = 0;
  std::string const after = head.get("Last-Event-Id");
  side.first = after.empty() ? 1 : static_cast<std::size_t>(std::strtoull(after.c_str(), nullptr, 10)) + 1;
  // A worker that takes a stream up may begin a little before the place that it was told.
  if (side.first > 1 && choose(2) == 0) --side.first;
}

void RequestWorld::run(Worker& worker, WorkerSide& side) {
  if (side.has_run) return;
  side.has_run = true;
  Attempt& item = attempts.at(side.current);
  ++item.runs;
  item.run_seals.insert("s-" + worker.id);
  ++seen["run"];
  note(worker.id + " runs " + item.id);
  if (worker.elsewhere) fault("another service runs " + item.id);
  if (!item.repeatable && item.runs > 1) fault(item.id + " runs twice");
  if (item.refused) fault(item.id + " runs after it was promised not to");
}

std::string RequestWorld::success_head(Worker const& worker, Attempt const& item) const {
  return "HTTP/1.1 200 OK\r\nX-Pipit-Attempt: " + item.id + "\r\nX-Seal: s-" + worker.id + "\r\n";
}

// Every event from the first that is asked for, as one body.
std::string RequestWorld::rest_of_body(Attempt const& item, WorkerSide const& side) {
  std::string body;
  for (std::size_t n = side.first; n <= events_most; ++n) body += event_of(item.id, n);
  return body;
}

std::string RequestWorld::full_answer(Worker const& worker, Attempt const& item, std::string const& body) const {
  return success_head(worker, item) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The whole answer (way 0), or its next part. True when it is over.
bool RequestWorld::answer_properly(Worker& worker, WorkerSide& side, std::size_t way) {
  Attempt& item = attempts.at(side.current);
  run(worker, side);
  if (!side.headed && way == 0) {
    send(side, full_answer(worker, item, rest_of_body(item, side)));
    return true;
  }
  if (!side.headed) {
    side.headed = true;
    side.events = side.first - 1;
    send(side, success_head(worker, item) + "Transfer-Encoding: chunked\r\n\r\n");
  }
  while (side.events < events_most) {
    ++side.events;
    send(side, chunk_text(event_of(item.id, side.events)));
    if (way > 0) break;
  }
  if (way == 0) send(side, "0\r\n\r\n");
  return way == 0;
}

// A refusal that names the request, one that does not, or a failure after it ran.
void RequestWorld::answer_failure(Worker& worker, WorkerSide& side, std::size_t way) {
  Attempt& item = attempts.at(side.current);
  std::string const id = "X-Pipit-Attempt: " + item.id + "\r\n";
  if (way == 3) return send(side, "HTTP/1.1 503 Busy\r\n" + id + "X-Pipit-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  if (way == 4) return send(side, "HTTP/1.1 503 Busy\r\nX-Pipit-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy");
  unsigned const status = way == 5 ? 500 : way == 6 ? 429 : 503;
  run(worker, side);
  item.failures.push_back(status);
  send(side, "HTTP/1.1 " + std::to_string(status) + " Odd\r\n" + id + "X-Seal: s-" + worker.id +
                 "\r\nContent-Length: " + std::to_string(7 + item.id.size()) + "\r\n\r\nfailed " + item.id);
}

// An answer to an earlier request comes first (way 8), and perhaps alone. True when its own answer is over.
bool RequestWorld::answer_late(Worker& worker, WorkerSide& side, std::size_t way) {
  Attempt const& item = attempts.at(side.current);
  Attempt const& other = attempts.at(order[choose(order.size())]);
  if (other.id == item.id || other.run_seals.count("s-" + worker.id) == 0) return false;
  send(side, full_answer(worker, other, complete_body(other.id)));
  run(worker, side);
  if (way == 8) send(side, full_answer(worker, item, rest_of_body(item, side)));
  return way == 8;
}

// An answer that breaks the protocol, after the request ran. Its text, from the answer as it should be.
std::string RequestWorld::malformed_answer(Worker const& worker, Attempt const& item, std::string const& body,
                                           std::size_t way) const {
  std::string const answer = full_answer(worker, item, body);
  std::string const length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  switch (way) {
    case 10:
      return answer + answer;
    case 11:
      return "HTTP/1.1 20 OK\r\n\r\n" + answer;
    case 12:
      return "HTTP/1.1 200 OK\r\nX-Seal: s-" + worker.id + "\r\n" + length;
    case 13:
      return "HTTP/1.1 200 OK\r\nX-Pipit-Attempt: " + item.id + "\r\n" + length;
    case 14:
      return "HTTP/1.1 100 Continue\r\n\r\n" + answer;
    case 16:  // a part, less than was announced
      return answer.substr(0, answer.size() - 4);
    default:
      return answer;
  }
}

// No length: the end of the connection ends the answer, perhaps too early (way 20).
void RequestWorld::answer_without_length(Worker& worker, WorkerSide& side, std::size_t way) {
  Attempt const& item = attempts.at(side.current);
  std::string const body = rest_of_body(item, side);
  run(worker, side);
  ++seen["answer without length"];
  // Of what is no stream nobody could tell that it stopped in the middle.
  bool const stops = way == 20 && (item.kind == "live" || item.kind == "flow");
  send(side, success_head(worker, item) + "\r\n" + (stops ? body.substr(0, body.size() - 3) : body));
  shut(side);
}

// The request runs, and an answer comes that is malformed or has something before it.
void RequestWorld::answer_malformed(Worker& worker, WorkerSide& side, std::size_t way) {
  Attempt const& item = attempts.at(side.current);
  run(worker, side);
  // A late refusal of an earlier request, which does not name it.
  if (way == 18 && side.carried > 1) send(side, "HTTP/1.1 503 Busy\r\nX-Pipit-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  send(side, malformed_answer(worker, item, rest_of_body(item, side), way));
  if (way == 16) shut(side);
}

// Answers in one of the ways and tells whether the answer is over.
bool RequestWorld::answer_in_way(Worker& worker, WorkerSide& side, std::size_t way) {
  switch (way) {
    case 0:
    case 1:
    case 2:
      return answer_properly(worker, side, way);
    case 3:
    case 4:
    case 5:
    case 6:
    case 7:
      answer_failure(worker, side, way);
      return true;
    case 8:
    case 9:
      return answer_late(worker, side, way);
    case 10:
    case 11:
    case 12:
    case 13:
    case 14:
    case 16:
    case 18:
      answer_malformed(worker, side, way);
      return true;
    case 15:  // it runs and says nothing yet
      run(worker, side);
      return false;
    case 17:
      send(side, "\x01garbage\r\n\r\n");
      return true;
    case 19:
    case 20:
      answer_without_length(worker, side, way);
      return true;
    default:
      shut(side);
      return true;
  }
}

// The ways in which a worker may answer what it holds, good and bad.
void RequestWorld::answer(Worker& worker, WorkerSide& side, std::size_t way) {
  note(worker.id + " answers " + side.current + " in way " + std::to_string(way));
  if (side.headed && way > 2 && way != 17 && way < 21) way = 0;
  if (side.has_run && (way == 3 || way == 4)) way = 0;  // no worker says that it did not run what it ran
  if (!answer_in_way(worker, side, way)) return;
  side.current.clear();
  side.headed = false;
}

void RequestWorld::worker_event() {
  Worker& worker = *workers[choose(workers.size())];
  std::erase_if(worker.sides, [](std::unique_ptr<WorkerSide> const& side) { return side->fd < 0; });
  if (worker.sides.empty()) return;
  WorkerSide& side = *worker.sides[choose(worker.sides.size())];
  if (side.current.empty()) read_worker(worker, side);
  if (!side.current.empty()) return answer(worker, side, choose(answer_ways));
  if (side.fd < 0) return;
  switch (choose(3)) {
    case 0:
      note(worker.id + " closes a connection that rests");
      return shut(side);
    case 1: {
      if (order.empty()) return;
      Attempt const& other = attempts.at(order[choose(order.size())]);
      if (other.run_seals.count("s-" + worker.id) == 0) return;
      std::string const late = complete_body(other.id);
      note(worker.id + " answers " + other.id + " unasked");
      return send(side,
                  success_head(worker, other) + "Content-Length: " + std::to_string(late.size()) + "\r\n\r\n" + late);
    }
    default:
      note(worker.id + " sends garbage on a connection that rests");
      return send(side, "HTTP/1.1 2");
  }
}

// ---- the rest of the world ----

void RequestWorld::world_event() {
  Worker& worker = *workers[choose(workers.size())];
  switch (choose(world_events)) {
    case 0:
      note("50 ms go by");
      return tick(millis(50));
    case 1:
      note("0.4 s go by");
      for (int n = 0; n < 8; ++n) {
        tick(millis(50));
        pump();
      }
      return;
    case 2:
      note("1.5 s go by");
      for (int n = 0; n < 30; ++n) {
        tick(millis(50));
        pump();
      }
      return;
    case 3:
      note("the node stands still for 3 s");
      ++seen["freeze"];
      return tick(seconds(3));
    case 4:
      note(worker.id + " crashes");
      return crash(worker);
    case 5:
      note(worker.id + " is replaced at its address");
      if (choose(2) == 0) registry.leave(worker.id, ++heartbeats, loop_time());
      relay->forget_worker(worker.id);
      revive(worker, false);
      return heartbeat(worker, false);
    case 6:
      note(worker.id + " gives its address to another service");
      return revive(worker, true);
    case 7:
      if (worker.elsewhere) return;
      note(worker.id + " drains");
      return heartbeat(worker, true);
    case 8:
      description = 1 - description;
      note("configuration " + std::to_string(description));
      return dispatcher.set_description(descriptions[description]);
    case 9:
      placing_held = !placing_held;
      note(placing_held ? "placing is held" : "placing goes on");
      return dispatcher.set_paused(placing_held);
    case 10:
      if (worker.elsewhere || !worker.up) return;
      note(worker.id + " says farewell and serves on");
      ++seen["farewell"];
      registry.leave(worker.id, ++heartbeats, loop_time());
      return;
    default:
      if (stopping) return;
      stopping = true;
      note("the node was told to stop");
      relay->server.closing();
      return relay->server.close_idle();
  }
}

void RequestWorld::begin(std::size_t kind, bool read) {
  send_request(*callers[0], kind);
  pump();
  if (!read) return;
  for (std::unique_ptr<Worker> const& worker : workers)
    for (std::unique_ptr<WorkerSide> const& side : worker->sides) read_worker(*worker, *side);
}

void RequestWorld::step(Side side) {
  switch (side) {
    case Side::caller:
      caller_event();
      break;
    case Side::worker:
      worker_event();
      break;
    case Side::world:
      world_event();
      break;
  }
  pump();
}

void RequestWorld::finish() {
  note("to the end");
  dispatcher.set_paused(false);
  for (int n = 0; n < 50; ++n) {
    // Workers run whatever has reached them, and never answer.
    for (std::unique_ptr<Worker> const& worker : workers)
      for (std::unique_ptr<WorkerSide> const& side : worker->sides) {
        if (side->current.empty()) read_worker(*worker, *side);
        if (!side->current.empty()) run(*worker, *side);
      }
    tick(millis(100));
    pump();
  }
  for (std::unique_ptr<CallerSide> const& caller : callers)
    if (!caller->waits.empty() && caller->rest.empty()) fault(caller->waits + " is never answered");
  for (std::unique_ptr<Worker> const& worker : workers) crash(*worker);
  callers.clear();
  pump();
  if (dispatcher.active_requests() != 0) fault("requests stay under way");
  for (std::pair<std::string const, Instance> const& item : registry.all)
    if (item.second.running != 0 || item.second.reserved_tokens != 0) fault(item.first + " is held to be busy");
  double extra = 0;
  for (std::pair<std::string const, Attempt> const& item : attempts)
    extra += static_cast<double>(item.second.arrivals > 1 ? item.second.arrivals - 1 : 0);
  if (extra > budget_ratio * static_cast<double>(attempts.size()) + budget_store)
    fault("more is sent again than the budget holds");
  seen["sent again"] += static_cast<std::size_t>(extra);
}

}  // namespace pipit
