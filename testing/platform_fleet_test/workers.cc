#include "testing/platform_fleet_test/worker_parts.h"

#include <arpa/inet.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <simdjson.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>

#include "base/json_writer.h"
#include "testing/platform_fleet_test/clock.h"

namespace pipit::platform_fleet {

namespace {
constexpr Micros tick = millis(2);
constexpr Micros heartbeat_interval = millis(1200);
constexpr Micros idle_timeout = seconds(5);
constexpr int relayed_part = 100;  // added to the third octet of a worker's address
}  // namespace

Workers::Workers(Shape const& shape, Nodes& nodes, Judge& judge, int net, std::uint64_t seed)
    : shape_(shape), nodes_(nodes), judge_(judge), net_(net), random_(seed) {}

Workers::~Workers() {
  for (std::unique_ptr<Worker>& worker : workers_) end(*worker, true);
}

// Returns the relay's address for a worker, which is the worker's IP address with relayed_part added to its third
// octet. Without a relay, returns the IP address itself.
std::string Workers::public_ip_of(std::string const& ip) const {
  if (nodes_.relay() == nullptr) return ip;
  std::size_t const second = ip.find('.', ip.find('.') + 1);
  std::size_t const third = ip.find('.', second + 1);
  int const part = std::atoi(ip.c_str() + second + 1) + relayed_part;
  return ip.substr(0, second + 1) + std::to_string(part) + ip.substr(third);
}

std::string Workers::next_ip() {
  ++last_ip_;
  return "127." + std::to_string(net_) + "." + std::to_string(10 + last_ip_ / 250) + "." +
         std::to_string(1 + last_ip_ % 250);
}

// Whether a worker that has not ended has this address.
bool Workers::ip_in_use(std::string const& ip) const {
  return std::any_of(workers_.begin(), workers_.end(), [&ip](std::unique_ptr<Worker> const& worker) {
    return worker->state != State::ended && worker->ip == ip;
  });
}

Workers::Worker& Workers::open(std::string const& zone, std::string const& service, std::string const& ip) {
  workers_.push_back(std::make_unique<Worker>(shape_.engine));
  Worker& worker = *workers_.back();
  worker.id = "i-" + std::to_string(++last_id_) + "-" + std::to_string(random_.below(100000));
  // Two faults may hit one worker, and both then assign its address to a new worker.
  worker.ip = ip_in_use(ip) ? next_ip() : ip;
  worker.public_ip = public_ip_of(worker.ip);
  worker.zone = zone;
  worker.service = service;
  worker.next_node = random_.below(nodes_.all.size());
  worker.numbers_by_clock = last_id_ % 2 == 0;
  nodes_.zone_of[worker.ip] = zone;
  listen(worker);
  Worker* const at = &worker;
  run_after(static_cast<Micros>(random_.below(300000)), [this, at] { heartbeat(*at, 0); });
  // Intervals differ by up to 20 ms either way, so that the heartbeats do not synchronize.
  run_every(heartbeat_interval + static_cast<Micros>(random_.below(40000)) - 20000, [this, at] {
    if (stopping_ || at->state == State::ended) return false;
    heartbeat(*at, 0);
    return true;
  });
  return worker;
}

void Workers::start_all() {
  for (Zone const& zone : shape_.zones)
    for (int i = 0; i < zone.workers; ++i) open(zone.name, shape_.service, next_ip());
  open(shape_.zones.front().name, other_service, next_ip());
  open(shape_.zones.back().name, other_service, next_ip());
  run_every(tick, [this] {
    advance();
    return true;
  });
  run_every(millis(50), [this] {
    Micros const at = now();
    for (std::unique_ptr<Worker>& item : workers_) {
      Worker& worker = *item;
      if (worker.state == State::ended) continue;
      // Adds a load report; the worker serves reports with a lag of 'report_lag'.
      JsonWriter json;
      json.begin_object()
          .key("stage")
          .text("combined")
          .key("models")
          .begin_list()
          .begin_object()
          .key("name")
          .text(shape_.model);
      json.key("version")
          .number(1)
          .key("adapters")
          .begin_list()
          .end_list()
          .end_object()
          .end_list()
          .key("busy")
          .boolean(false);
      json.key("call_sequence")
          .number(static_cast<std::int64_t>(worker.call_sequence))
          .key("waiting")
          .number(worker.engine.queued());
      json.key("running").number(worker.engine.running()).key("cache_used").number(worker.engine.pinned_tokens());
      json.key("cache_total").number(shape_.engine.cache_tokens).key("open_handles").number(0).end_object();
      worker.reports.emplace_back(at, json.take());
      // Leaves the newest report that is at least that old as the first one, which is served.
      while (worker.reports.size() > 1 && worker.reports[1].first <= at - shape_.report_lag) worker.reports.pop_front();
      if (worker.is_silent) continue;
      // Closes the connections that have been idle for too long.
      std::vector<Connection*> idle;
      for (std::pair<Connection* const, std::shared_ptr<Connection>> const& conn : worker.conns)
        if (!conn.second->busy && at - conn.second->idle_since > idle_timeout) idle.push_back(conn.first);
      for (Connection* const conn : idle) close_connection(worker, *conn);
    }
    return true;
  });
}

WorkersTally Workers::tally() const {
  WorkersTally out = count_;
  for (std::unique_ptr<Worker> const& worker : workers_) {
    out.tokens_prefilled += worker->engine.tokens_prefilled;
    out.cached_tokens_reused += worker->engine.cached_tokens_reused;
    out.preemptions += static_cast<std::uint64_t>(worker->engine.preemptions);
  }
  return out;
}

// --- connections

void Workers::listen(Worker& worker) {
  sockaddr_in own;
  std::memset(&own, 0, sizeof own);
  own.sin_family = AF_INET;
  own.sin_port = htons(worker_port);
  inet_pton(AF_INET, worker.ip.c_str(), &own.sin_addr);
  worker.listen_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int const one = 1;
  setsockopt(worker.listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (::bind(worker.listen_fd, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0 ||
      ::listen(worker.listen_fd, 512) != 0)
    g_error("platform_fleet_test: cannot listen on %s", worker.ip.c_str());
  std::string const port = ":" + std::to_string(worker_port);
  if (nodes_.relay() != nullptr) nodes_.relay()->open(worker.public_ip + port, worker.ip + port);
  struct Pair {
    Workers* self;
    Worker* worker;
  };
  worker.listen_watch = g_unix_fd_add_full(
      G_PRIORITY_DEFAULT, worker.listen_fd, G_IO_IN,
      [](gint, GIOCondition, gpointer data) -> gboolean {
        Pair const& pair = *static_cast<Pair*>(data);
        pair.self->accept(*pair.worker);
        return TRUE;
      },
      new Pair{this, &worker}, [](gpointer data) { delete static_cast<Pair*>(data); });
}

void Workers::accept(Worker& worker) {
  for (int turns = 0; turns < 32 && worker.listen_fd >= 0; ++turns) {
    sockaddr_in from;
    socklen_t size = sizeof from;
    int const fd = ::accept4(worker.listen_fd, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    char peer[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &from.sin_addr, peer, sizeof peer);
    ++count_.connections;
    std::shared_ptr<Connection> const made = std::make_shared<Connection>();
    Connection* const conn = made.get();
    conn->link = TcpConnection::adopt(fd);
    Node const* const node = nodes_.by_ip(peer);
    conn->peer = node != nullptr ? node->ip : peer;
    conn->idle_since = now();
    std::map<std::string, std::string>::const_iterator const zone = nodes_.zone_of.find(conn->peer);
    conn->cross_zone = zone != nodes_.zone_of.end() && zone->second != worker.zone;
    if (static_cast<std::int64_t>(worker.conns.size()) >= shape_.connection_limit) {
      ++count_.over_limit;
      conn->link->close(true);
      continue;
    }
    worker.conns.emplace(conn, made);
    conn->reader.callbacks.head = [conn](Head& head) {
      conn->head = head;
      conn->body.clear();
      return true;
    };
    conn->reader.callbacks.body = [conn](std::string_view bytes) { conn->body.append(bytes); };
    conn->reader.callbacks.complete = [] {};
    Worker* const at = &worker;
    conn->link->set_callbacks({nullptr,
                               [this, at, conn](std::string_view bytes) {
                                 std::map<Connection*, std::shared_ptr<Connection>>::iterator const position =
                                     at->conns.find(conn);
                                 if (position == at->conns.end()) return;
                                 std::shared_ptr<Connection> const keep = position->second;
                                 on_bytes(*at, *conn, bytes);
                               },
                               [this, at, conn](TcpConnection::CloseReason) {
                                 if (at->conns.count(conn) > 0) close_connection(*at, *conn);
                               },
                               nullptr});
  }
}

void Workers::close_connection(Worker& worker, Connection& conn) {
  std::map<Connection*, std::shared_ptr<Connection>>::iterator const position = worker.conns.find(&conn);
  if (position == worker.conns.end()) return;
  std::shared_ptr<Connection> const keep = position->second;
  worker.conns.erase(position);
  keep->link->close();
  std::map<std::uint64_t, Job>::iterator const job = worker.jobs.find(conn.job);
  if (job == worker.jobs.end()) return;
  if (job->second.began) ++count_.abandoned_while_running;
  worker.engine.cancel(job->first);
  worker.jobs.erase(job);
}

void Workers::send(Connection& conn, std::string_view bytes) {
  count_.bytes += bytes.size();
  if (conn.cross_zone) count_.cross_zone_bytes += bytes.size();
  conn.link->write(bytes);
}

void Workers::on_bytes(Worker& worker, Connection& conn, std::string_view bytes) {
  count_.bytes += bytes.size();
  if (conn.cross_zone) count_.cross_zone_bytes += bytes.size();
  if (conn.busy) {
    judge_.report_violation(Promise::unasked,
                            worker.id + " received bytes from " + conn.peer + " before its answer had ended");
    return close_connection(worker, conn);
  }
  std::size_t const consumed = conn.reader.feed(bytes);
  if (conn.reader.error() != HttpParser::Error::none) {
    judge_.report_violation(Promise::unasked,
                            worker.id + " received bytes from " + conn.peer + " that are not an HTTP request");
    return close_connection(worker, conn);
  }
  if (!conn.reader.complete()) return;
  if (consumed < bytes.size())
    judge_.report_violation(Promise::unasked, worker.id + " received a pipelined request from " + conn.peer);
  conn.busy = true;
  // Closes a few connections in a thousand after their answer, as a server may at any time.
  conn.close_after_answer = !conn.head.keep_alive || worker.state == State::draining || random_.chance(0.003);
  conn.reader.start_next_message();
  on_request(worker, conn);
}

std::string Workers::load(Worker const& worker) const {
  return std::to_string(worker.engine.running()) + "," + std::to_string(worker.engine.queued()) + "," +
         std::to_string(shape_.engine.slots);
}

void Workers::answer(Worker& worker, Connection& conn, unsigned status, std::string const& fields,
                     std::string const& body) {
  // The reason phrase is a dash; the keep-alive timeout is 'idle_timeout' in seconds.
  std::string out = "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields + "X-Instance-Load: " + load(worker) +
                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
                    (conn.close_after_answer ? "Connection: close\r\n" : "Keep-Alive: timeout=5\r\n") + "\r\n" + body;
  send(conn, out);
  on_answer_complete(worker, conn);
}

void Workers::on_answer_complete(Worker& worker, Connection& conn) {
  std::shared_ptr<Connection> const keep = worker.conns[&conn];
  conn.busy = false;
  conn.job = 0;
  conn.idle_since = now();
  if (!conn.close_after_answer) return;
  worker.conns.erase(&conn);
  keep->link->set_callbacks({});
  keep->link->close_after_flush();
}

}  // namespace pipit::platform_fleet
