#include "net/upstream_pool.h"

#include <glib.h>

#include <algorithm>

#include "net/clock.h"

namespace pipit {

namespace {
constexpr Micros default_keep_alive = seconds(4);  // if the worker announces no time
constexpr Micros max_keep_alive = seconds(20);     // also if the worker announces a longer time
constexpr Micros keep_alive_margin = millis(300);
constexpr std::int64_t max_announced_seconds = 3600;
constexpr int max_skipped_responses = 3;  // per request
Micros now() { return loop_time(); }

// How long a connection may stay idle, given the value of its Keep-Alive field such as "timeout=5, max=100" (seconds).
Micros keep_alive_time(std::string const& text) {
  static constexpr std::string_view timeout = "timeout=";
  std::size_t const at = text.find(timeout);
  if (at == std::string::npos) return default_keep_alive;
  Micros const announced = seconds(std::clamp<std::int64_t>(
      std::strtoll(text.c_str() + at + timeout.size(), nullptr, 10), 0, max_announced_seconds));
  // The worker counts from when it sent the end of its response, so the network delay and a margin are subtracted.
  return std::min(max_keep_alive, announced - keep_alive_margin);
}
}  // namespace

struct UpstreamPool::Connection {
  std::shared_ptr<TcpConnection> tcp;
  HttpParser parser{false};
  std::string peer;
  std::string address;
  std::uint64_t request_id = 0;             // 0 while the connection is idle
  std::string request;                      // serialized, until it is sent
  std::shared_ptr<std::string const> body;  // sent after it; null if the request contains it
  bool request_started = false;             // bytes of the current request may have been sent
  int requests_sent = 0;                    // over the lifetime of the connection
  bool is_head_request = false;             // the response has no body
  bool response_matches = false;            // the response being parsed belongs to the request
  bool response_rejected = false;           // the response being parsed belongs to no request
  int skipped_responses = 0;                // to other requests, since the current one was sent
  bool reusable = true;
  Micros max_idle_time = 0;
  Micros idle_since = 0;
};

UpstreamPool::~UpstreamPool() {
  for (std::pair<Connection* const, std::shared_ptr<Connection>>& item : connections_) item.second->tcp->close();
}

std::size_t UpstreamPool::idle_connections(std::string const& peer) const {
  std::map<std::string, std::vector<Connection*>>::const_iterator const position = idle_by_peer_.find(peer);
  return position == idle_by_peer_.end() ? 0 : position->second.size();
}

void UpstreamPool::erase(Connection& conn, bool reset) {
  std::vector<Connection*>& list = idle_by_peer_[conn.peer];
  list.erase(std::remove(list.begin(), list.end(), &conn), list.end());
  if (list.empty()) idle_by_peer_.erase(conn.peer);
  if (conn.request_id != 0) connections_by_request_.erase(conn.request_id);
  conn.request_id = 0;  // the parser callbacks ignore the rest of the bytes
  conn.tcp->close(reset);
  connections_.erase(&conn);
}

void UpstreamPool::start_request(std::uint64_t id, std::string const& peer, std::string const& address,
                                 std::string request, Micros connect_timeout, std::shared_ptr<std::string const> body) {
  std::map<std::string, std::vector<Connection*>>::iterator const list = idle_by_peer_.find(peer);
  while (list != idle_by_peer_.end() && !list->second.empty()) {
    Connection* const conn = list->second.back();
    std::shared_ptr<Connection> const owner = connections_[conn];
    // A request that must not be repeated fails if it is sent on a connection that the worker has just closed.
    if (conn->address != address || now() - conn->idle_since > conn->max_idle_time || !conn->tcp->is_idle()) {
      bool const last = list->second.size() == 1;
      erase(*conn);
      if (last) break;
      continue;
    }
    list->second.pop_back();
    ++reused;
    conn->request_id = id;
    conn->request = std::move(request);
    conn->body = std::move(body);
    connections_by_request_[id] = conn;
    send(*conn);
    return;
  }
  ++dialled;
  std::shared_ptr<Connection> const connection = std::make_shared<Connection>();
  Connection* const conn = connection.get();
  conn->peer = peer;
  conn->address = address;
  conn->request_id = id;
  conn->request = std::move(request);
  conn->body = std::move(body);
  conn->tcp = dialer_(address, source_ip_, connect_timeout);
  conn->parser.callbacks.head = [this, conn](Head& head) {
    if (conn->request_id == 0) return true;
    ResponseOwner const owner = callbacks_.response_head(conn->request_id, head, conn->requests_sent == 1);
    conn->response_matches = owner == ResponseOwner::current_request;
    conn->response_rejected = owner == ResponseOwner::none;
    conn->reusable = head.keep_alive;
    conn->max_idle_time = keep_alive_time(head.get("Keep-Alive"));
    return !(conn->response_matches && conn->is_head_request);
  };
  conn->parser.callbacks.body = [this, conn](std::string_view part) {
    if (conn->response_matches && conn->request_id != 0) callbacks_.response_body(conn->request_id, part);
  };
  connections_.emplace(conn, connection);
  connections_by_request_[id] = conn;
  if (!conn->tcp->open()) return fail(*conn, Failure::connect_failed, "cannot start a connection to the worker");
  conn->tcp->set_callbacks({[this, conn] { send(*conn); },
                            [this, conn](std::string_view part) {
                              std::map<Connection*, std::shared_ptr<Connection>>::iterator const position =
                                  connections_.find(conn);
                              if (position == connections_.end()) return;
                              std::shared_ptr<Connection> const owner = position->second;
                              on_data(*conn, part);
                            },
                            [this, conn](TcpConnection::CloseReason close_reason) {
                              std::map<Connection*, std::shared_ptr<Connection>>::iterator const position =
                                  connections_.find(conn);
                              if (position == connections_.end()) return;
                              std::shared_ptr<Connection> const owner = position->second;
                              on_close(*conn, close_reason);
                            },
                            nullptr});
}

void UpstreamPool::send(Connection& conn) {
  conn.request_started = true;
  ++conn.requests_sent;
  conn.response_matches = false;
  conn.skipped_responses = 0;
  conn.is_head_request = conn.request.starts_with("HEAD ");
  std::string const bytes = std::move(conn.request);
  conn.request.clear();
  std::shared_ptr<std::string const> const body = std::move(conn.body);
  // Reported before the kernel accepts the first byte: from here on the worker may have executed the request.
  callbacks_.request_sent(conn.request_id);
  conn.tcp->write(bytes);
  if (body) conn.tcp->write_shared(body);
}

void UpstreamPool::on_data(Connection& conn, std::string_view bytes) {
  while (!bytes.empty()) {
    if (conn.request_id == 0) return erase(conn);  // no response is expected on an idle connection
    std::size_t const consumed = conn.parser.feed(bytes);
    if (!conn.tcp->open() || connections_.find(&conn) == connections_.end()) return;
    if (conn.parser.error() != HttpParser::Error::none)
      return fail(conn, conn.response_matches ? Failure::truncated : Failure::broken,
                  "the worker sent an invalid response");
    if (conn.response_rejected) return fail(conn, Failure::broken, "the response does not name the request");
    bytes.remove_prefix(std::min(consumed, bytes.size()));
    if (!conn.parser.complete()) {
      if (consumed == 0)
        return fail(conn, conn.response_matches ? Failure::truncated : Failure::broken,
                    "the worker sent an invalid response");
      continue;
    }
    bool const matches = conn.response_matches;
    if (!matches && ++conn.skipped_responses > max_skipped_responses)
      return fail(conn, Failure::broken, "the worker sent too many responses to other requests");
    conn.parser.start_next_message();
    conn.response_matches = false;
    if (!matches) {
      if (!conn.reusable)
        return fail(conn, Failure::broken, "the last response on the connection belongs to another request");
      continue;
    }
    // No request expects the bytes after the response.
    if (!bytes.empty()) conn.reusable = false;
    return complete_response(conn);
  }
}

void UpstreamPool::complete_response(Connection& conn) {
  std::uint64_t const id = conn.request_id;
  connections_by_request_.erase(id);
  conn.request_id = 0;
  conn.request_started = false;
  conn.tcp->pause_reading(false);
  // If the response ended before the whole request was sent, the next request would be queued behind the rest of it.
  bool const all_sent = conn.tcp->buffered_bytes() == 0;
  if (conn.reusable && conn.max_idle_time > 0 && all_sent) {
    conn.idle_since = now();
    idle_by_peer_[conn.peer].push_back(&conn);
  } else {
    erase(conn);
  }
  callbacks_.response_complete(id);
}

void UpstreamPool::fail(Connection& conn, Failure failure, std::string const& reason) {
  std::uint64_t const id = conn.request_id;
  erase(conn);
  if (id != 0) callbacks_.request_failed(id, failure, reason);
}

void UpstreamPool::on_close(Connection& conn, TcpConnection::CloseReason close_reason) {
  if (conn.request_id == 0) return erase(conn);
  if (!conn.request_started) return fail(conn, Failure::connect_failed, "cannot connect to the worker");
  if (close_reason == TcpConnection::CloseReason::closed && conn.response_matches && !conn.parser.complete() &&
      conn.parser.eof()) {
    conn.reusable = false;
    conn.parser.start_next_message();
    return complete_response(conn);
  }
  fail(conn, conn.response_matches ? Failure::truncated : Failure::broken,
       close_reason == TcpConnection::CloseReason::reset ? "the worker reset the connection"
                                                         : "the worker closed the connection");
}

void UpstreamPool::pause_response(std::uint64_t id, bool paused) {
  std::map<std::uint64_t, Connection*>::iterator const position = connections_by_request_.find(id);
  if (position != connections_by_request_.end()) position->second->tcp->pause_reading(paused);
}

void UpstreamPool::cancel(std::uint64_t id) {
  std::map<std::uint64_t, Connection*>::iterator const position = connections_by_request_.find(id);
  if (position == connections_by_request_.end()) return;
  std::shared_ptr<Connection> const owner = connections_[position->second];
  erase(*owner, true);
}

void UpstreamPool::close_idle_connections(std::string const& peer) {
  std::map<std::string, std::vector<Connection*>>::iterator const position = idle_by_peer_.find(peer);
  if (position == idle_by_peer_.end()) return;
  std::vector<Connection*> const list = position->second;
  for (Connection* const conn : list) {
    std::shared_ptr<Connection> const owner = connections_[conn];
    erase(*owner);
  }
}

void UpstreamPool::close_expired(Micros now) {
  std::vector<Connection*> expired;
  for (std::pair<std::string const, std::vector<Connection*>> const& item : idle_by_peer_)
    for (Connection* const conn : item.second)
      if (now - conn->idle_since > conn->max_idle_time) expired.push_back(conn);
  for (Connection* const conn : expired) {
    std::shared_ptr<Connection> const owner = connections_[conn];
    erase(*owner);
  }
}

}  // namespace pipit
