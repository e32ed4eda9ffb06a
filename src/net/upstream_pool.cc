#include "net/upstream_pool.h"

#include <glib.h>

#include <algorithm>

#include "net/clock.h"

namespace pipit {

namespace {
constexpr Micros max_keep_alive = seconds(20);
constexpr int max_skipped_responses = 3;
Micros now() { return loop_time(); }

// "timeout=5, max=100" in whole seconds; a default where nothing is said.
Micros keep_alive_time(std::string const& text) {
  std::size_t const at = text.find("timeout=");
  if (at == std::string::npos) return seconds(4);
  Micros const stated = seconds(std::clamp<std::int64_t>(std::strtoll(text.c_str() + at + 8, nullptr, 10), 0, 3600));
  // The worker counts from when it sent the end; some way and some slack are taken off.
  return std::min(max_keep_alive, stated - millis(300));
}
}  // namespace

struct UpstreamPool::Connection {
  std::shared_ptr<TcpConnection> tcp;
  HttpParser parser{false};
  std::string peer;
  std::string address;
  std::uint64_t request_id = 0;  // of the request that it carries, 0 when it is kept
  std::string request;
  bool request_started = false;
  int requests_sent = 0;           // how many requests it has carried
  bool is_head_request = false;    // it asks for a head alone
  bool response_matches = false;   // the answer that is being read is the one that was asked for
  bool response_rejected = false;  // what came is an answer to nobody
  int skipped_responses = 0;
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
  conn.request_id = 0;  // whatever is still being read of it is nobody's
  conn.tcp->close(reset);
  connections_.erase(&conn);
}

void UpstreamPool::start_request(std::uint64_t id, std::string const& peer, std::string const& address,
                                 std::string request, Micros connect_timeout) {
  std::map<std::string, std::vector<Connection*>>::iterator const list = idle_by_peer_.find(peer);
  while (list != idle_by_peer_.end() && !list->second.empty()) {
    Connection* const conn = list->second.back();
    std::shared_ptr<Connection> const owner = connections_[conn];
    // What may not repeat is lost on a connection that the worker has just closed.
    if (conn->address != address || now() - conn->idle_since > conn->max_idle_time || !conn->tcp->is_idle()) {
      bool const only = list->second.size() == 1;
      erase(*conn);
      if (only) break;
      continue;
    }
    list->second.pop_back();
    ++reused;
    conn->request_id = id;
    conn->request = std::move(request);
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
  if (!conn->tcp->open()) return fail(*conn, Failure::connect_failed, "no connection could be begun");
  conn->tcp->set_callbacks({[this, conn] { send(*conn); },
                            [this, conn](std::string_view part) {
                              std::map<Connection*, std::shared_ptr<Connection>>::iterator const position =
                                  connections_.find(conn);
                              if (position == connections_.end()) return;
                              std::shared_ptr<Connection> const owner = position->second;
                              on_data(*conn, part);
                            },
                            [this, conn](TcpConnection::CloseReason how) {
                              std::map<Connection*, std::shared_ptr<Connection>>::iterator const position =
                                  connections_.find(conn);
                              if (position == connections_.end()) return;
                              std::shared_ptr<Connection> const owner = position->second;
                              on_close(*conn, how);
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
  // Said before the system takes the first byte: from here on nobody can know.
  callbacks_.request_sent(conn.request_id);
  conn.tcp->write(bytes);
}

void UpstreamPool::on_data(Connection& conn, std::string_view bytes) {
  while (!bytes.empty()) {
    if (conn.request_id == 0) return erase(conn);  // nothing is due on a kept connection
    std::size_t const consumed = conn.parser.feed(bytes);
    if (!conn.tcp->open() || connections_.find(&conn) == connections_.end()) return;
    if (conn.parser.error() != HttpParser::Error::none)
      return fail(conn, conn.response_matches ? Failure::truncated : Failure::broken, "what came is no answer");
    if (conn.response_rejected) return fail(conn, Failure::broken, "what came does not name the request");
    bytes.remove_prefix(std::min(consumed, bytes.size()));
    if (!conn.parser.complete()) {
      if (consumed == 0)
        return fail(conn, conn.response_matches ? Failure::truncated : Failure::broken, "what came is no answer");
      continue;
    }
    bool const matches = conn.response_matches;
    if (!matches && ++conn.skipped_responses > max_skipped_responses)
      return fail(conn, Failure::broken, "only answers to others came");
    conn.parser.start_next_message();
    conn.response_matches = false;
    if (!matches) {
      if (!conn.reusable) return fail(conn, Failure::broken, "an answer to another request came last");
      continue;
    }
    // More than the answer: whatever follows was asked for by nobody.
    if (!bytes.empty()) conn.reusable = false;
    return complete_response(conn);
  }
}

void UpstreamPool::complete_response(Connection& conn) {
  std::uint64_t const id = conn.request_id;
  connections_by_request_.erase(id);
  conn.request_id = 0;
  conn.request_started = false;
  // An answer before the request was whole: the next one would come behind the rest of this.
  bool const all_sent = conn.tcp->buffered_bytes() == 0;
  if (conn.reusable && conn.max_idle_time > 0 && all_sent) {
    conn.idle_since = now();
    idle_by_peer_[conn.peer].push_back(&conn);
  } else {
    erase(conn);
  }
  callbacks_.response_complete(id);
}

void UpstreamPool::fail(Connection& conn, Failure how, std::string const& reason) {
  std::uint64_t const id = conn.request_id;
  erase(conn);
  if (id != 0) callbacks_.request_failed(id, how, reason);
}

void UpstreamPool::on_close(Connection& conn, TcpConnection::CloseReason how) {
  if (conn.request_id == 0) return erase(conn);
  if (!conn.request_started) return fail(conn, Failure::connect_failed, "the worker cannot be reached");
  if (how == TcpConnection::CloseReason::closed && conn.response_matches && !conn.parser.complete() &&
      conn.parser.eof()) {
    conn.reusable = false;
    conn.parser.start_next_message();
    return complete_response(conn);
  }
  fail(conn, conn.response_matches ? Failure::truncated : Failure::broken,
       how == TcpConnection::CloseReason::reset ? "the worker reset the connection"
                                                : "the worker closed the connection");
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
  std::vector<Connection*> old;
  for (std::pair<std::string const, std::vector<Connection*>> const& item : idle_by_peer_)
    for (Connection* const conn : item.second)
      if (now - conn->idle_since > conn->max_idle_time) old.push_back(conn);
  for (Connection* const conn : old) {
    std::shared_ptr<Connection> const owner = connections_[conn];
    erase(*owner);
  }
}

}  // namespace pipit
