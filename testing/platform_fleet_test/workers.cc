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
constexpr Micros idle_most = seconds(5);
constexpr int relayed_part = 100;
}  // namespace

Workers::Workers(Shape const& shape_, Nodes& nodes_, Judge& judge_, int net_, std::uint64_t seed)
    : shape(shape_), nodes(nodes_), judge(judge_), net(net_), random(seed) {}

Workers::~Workers() {
  for (std::unique_ptr<Worker>& worker : all) end(*worker, true);
}

// The relay's number for a worker: its own with another third part.
std::string Workers::public_ip_of(std::string const& ip) const {
  if (nodes.relay() == nullptr) return ip;
  std::size_t const second = ip.find('.', ip.find('.') + 1);
  std::size_t const third = ip.find('.', second + 1);
  int const part = std::atoi(ip.c_str() + second + 1) + relayed_part;
  return ip.substr(0, second + 1) + std::to_string(part) + ip.substr(third);
}

std::string Workers::next_ip() {
  ++last_ip;
  return "127." + std::to_string(net) + "." + std::to_string(10 + last_ip / 250) + "." +
         std::to_string(1 + last_ip % 250);
}

// Two troubles may have met one worker, and given its address to two others.
bool Workers::taken(std::string const& ip) const {
  return std::any_of(all.begin(), all.end(), [&ip](std::unique_ptr<Worker> const& worker) {
    return worker->state != State::ended && worker->ip == ip;
  });
}

Workers::Worker& Workers::open(std::string const& zone, std::string const& service, std::string const& ip) {
  all.push_back(std::make_unique<Worker>(shape.engine));
  Worker& worker = *all.back();
  worker.id = "i-" + std::to_string(++last_id) + "-" + std::to_string(random.below(100000));
  worker.ip = taken(ip) ? next_ip() : ip;
  worker.public_ip = public_ip_of(worker.ip);
  worker.zone = zone;
  worker.service = service;
  worker.next_node = random.below(nodes.all.size());
  nodes.zone_of[worker.ip] = zone;
  listen(worker);
  Worker* const at = &worker;
  after(static_cast<Micros>(random.below(300000)), [this, at] { heartbeat(*at, 0); });
  // Heartbeats drift a little, so that they do not come in step.
  every(heartbeat_interval + static_cast<Micros>(random.below(40000)) - 20000, [this, at] {
    if (over || at->state == State::ended) return false;
    heartbeat(*at, 0);
    return true;
  });
  return worker;
}

void Workers::start_all() {
  for (Zone const& zone : shape.zones)
    for (int i = 0; i < zone.workers; ++i) open(zone.name, shape.service, next_ip());
  open(shape.zones.front().name, other_service, next_ip());
  open(shape.zones.back().name, other_service, next_ip());
  every(tick, [this] {
    advance();
    return true;
  });
  every(millis(50), [this] {
    Micros const at = now();
    for (std::unique_ptr<Worker>& item : all) {
      Worker& worker = *item;
      if (worker.state == State::ended) continue;
      JsonWriter json;
      json.begin_object()
          .key("stage")
          .text("combined")
          .key("models")
          .begin_list()
          .begin_object()
          .key("name")
          .text(shape.model);
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
          .number(static_cast<std::int64_t>(worker.order))
          .key("waiting")
          .number(worker.engine.waiting());
      json.key("running").number(worker.engine.running()).key("cache_used").number(worker.engine.used());
      json.key("cache_total").number(shape.engine.cache_tokens).key("open_handles").number(0).end_object();
      worker.reports.emplace_back(at, json.take());
      while (worker.reports.size() > 1 && worker.reports[1].first <= at - shape.report_lag) worker.reports.pop_front();
      if (worker.is_silent) continue;
      std::vector<Conn*> idle;
      for (std::pair<Conn* const, std::shared_ptr<Conn>> const& conn : worker.conns)
        if (!conn.second->busy && at - conn.second->since > idle_most) idle.push_back(conn.first);
      for (Conn* const conn : idle) drop(worker, *conn);
    }
    return true;
  });
}

WorkersTally Workers::tally() const {
  WorkersTally out = count;
  for (std::unique_ptr<Worker> const& worker : all) {
    out.tokens_read += worker->engine.tokens_read;
    out.tokens_spared += worker->engine.tokens_spared;
    out.put_back += static_cast<std::uint64_t>(worker->engine.put_back);
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
  worker.door = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int const one = 1;
  setsockopt(worker.door, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (::bind(worker.door, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0 || ::listen(worker.door, 512) != 0)
    g_error("platform_fleet_test: %s cannot be listened on", worker.ip.c_str());
  std::string const port = ":" + std::to_string(worker_port);
  if (nodes.relay() != nullptr) nodes.relay()->open(worker.public_ip + port, worker.ip + port);
  struct Pair {
    Workers* self;
    Worker* worker;
  };
  worker.watch = g_unix_fd_add_full(
      G_PRIORITY_DEFAULT, worker.door, G_IO_IN,
      [](gint, GIOCondition, gpointer data) -> gboolean {
        Pair const& pair = *static_cast<Pair*>(data);
        pair.self->accept(*pair.worker);
        return TRUE;
      },
      new Pair{this, &worker}, [](gpointer data) { delete static_cast<Pair*>(data); });
}

void Workers::accept(Worker& worker) {
  for (int turns = 0; turns < 32 && worker.door >= 0; ++turns) {
    sockaddr_in from;
    socklen_t size = sizeof from;
    int const fd = ::accept4(worker.door, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    char peer[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &from.sin_addr, peer, sizeof peer);
    ++count.connections;
    std::shared_ptr<Conn> const made = std::make_shared<Conn>();
    Conn* const conn = made.get();
    conn->link = TcpConnection::adopt(fd);
    Node const* const node = nodes.by_ip(peer);
    conn->peer = node != nullptr ? node->ip : peer;
    conn->since = now();
    std::map<std::string, std::string>::const_iterator const zone = nodes.zone_of.find(conn->peer);
    conn->across = zone != nodes.zone_of.end() && zone->second != worker.zone;
    if (static_cast<std::int64_t>(worker.conns.size()) >= shape.connection_limit) {
      ++count.over_limit;
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
                                 std::map<Conn*, std::shared_ptr<Conn>>::iterator const position = at->conns.find(conn);
                                 if (position == at->conns.end()) return;
                                 std::shared_ptr<Conn> const keep = position->second;
                                 fed(*at, *conn, bytes);
                               },
                               [this, at, conn](TcpConnection::CloseReason) {
                                 if (at->conns.count(conn) > 0) drop(*at, *conn);
                               },
                               nullptr});
  }
}

void Workers::drop(Worker& worker, Conn& conn) {
  std::map<Conn*, std::shared_ptr<Conn>>::iterator const position = worker.conns.find(&conn);
  if (position == worker.conns.end()) return;
  std::shared_ptr<Conn> const keep = position->second;
  worker.conns.erase(position);
  keep->link->close();
  std::map<std::uint64_t, Job>::iterator const job = worker.jobs.find(conn.job);
  if (job == worker.jobs.end()) return;
  if (job->second.began) ++count.broken_off;
  worker.engine.cancel(job->first);
  worker.jobs.erase(job);
}

void Workers::send(Conn& conn, std::string_view bytes) {
  count.bytes += bytes.size();
  if (conn.across) count.bytes_across += bytes.size();
  conn.link->write(bytes);
}

void Workers::fed(Worker& worker, Conn& conn, std::string_view bytes) {
  count.bytes += bytes.size();
  if (conn.across) count.bytes_across += bytes.size();
  if (conn.busy) {
    judge.broken(Promise::unasked, worker.id + " got bytes of " + conn.peer + " before its answer had ended");
    return drop(worker, conn);
  }
  std::size_t const took = conn.reader.feed(bytes);
  if (conn.reader.error() != HttpParser::Error::none) {
    judge.broken(Promise::unasked, worker.id + " got bytes of " + conn.peer + " that are no request");
    return drop(worker, conn);
  }
  if (!conn.reader.complete()) return;
  if (took < bytes.size()) judge.broken(Promise::unasked, worker.id + " got more than one request of " + conn.peer);
  conn.busy = true;
  conn.last = !conn.head.keep_alive || worker.state == State::draining || random.chance(0.003);
  conn.reader.start_next_message();
  on_request(worker, conn);
}

std::string Workers::load(Worker const& worker) const {
  return std::to_string(worker.engine.running()) + "," + std::to_string(worker.engine.waiting()) + "," +
         std::to_string(shape.engine.slots);
}

void Workers::answer(Worker& worker, Conn& conn, unsigned status, std::string const& fields, std::string const& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields + "X-Instance-Load: " + load(worker) +
                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
                    (conn.last ? "Connection: close\r\n" : "Keep-Alive: timeout=5\r\n") + "\r\n" + body;
  send(conn, out);
  finished(worker, conn);
}

void Workers::finished(Worker& worker, Conn& conn) {
  std::shared_ptr<Conn> const keep = worker.conns[&conn];
  conn.busy = false;
  conn.job = 0;
  conn.since = now();
  if (!conn.last) return;
  worker.conns.erase(&conn);
  keep->link->set_callbacks({});
  keep->link->close_after_flush();
}

}  // namespace pipit::platform_fleet
