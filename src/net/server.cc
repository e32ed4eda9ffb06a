#include "net/server.h"

#include <glib.h>

#include <algorithm>

#include "base/events.h"
#include "net/body_buffer.h"
#include "net/clock.h"

namespace pipit {

namespace {
constexpr std::size_t max_read_ahead_bytes = 4096;  // behind the current request; reading pauses from there on
constexpr std::size_t head_read_bytes = 8192;       // read at once as long as no body is being received
constexpr std::size_t body_read_bytes = 65536;
// The next request of a connection waits as long as its client has left more than this of the last answer unread.
constexpr std::size_t max_unread_answer_bytes = 64u << 10;
constexpr Micros unread_answer_timeout = seconds(30);
constexpr Micros memory_retry_after = seconds(1);
Micros now() { return loop_time(); }

// Logs the end of a flushed connection unless it was orderly: the client may lack a part of its last response.
void log_lost_response(std::string const& peer, TcpConnection::CloseReason reason) {
  if (reason != TcpConnection::CloseReason::closed) log_event(Event::last_answer_lost, peer);
}

// The answer to a request for which there is no memory. Nothing of it has run.
Head unavailable_head() {
  Head head;
  head.status = 503;
  head.fields.emplace_back("Retry-After", std::to_string(memory_retry_after / seconds(1)));
  return head;
}
}  // namespace

struct Server::Connection {
  std::shared_ptr<TcpConnection> tcp;
  HttpParser parser{true};
  Request request;
  BodyBuffer body;             // of the request, until it is complete
  std::size_t head_bytes = 0;  // memory of the request's head
  std::string read_ahead;      // bytes received after the current request
  bool reading_paused = false;
  bool awaits_reader = false;     // the client has left too much of the last answer unread
  bool has_request = false;       // a request was delivered and its response has not ended
  bool response_started = false;  // the response head was sent
  bool chunked = false;
  bool no_body = false;  // response to HEAD, or with a status that forbids a body
  bool close_after_response = false;
  bool parse_scheduled = false;            // read_ahead will be parsed in a later iteration of the main loop
  std::int64_t remaining_body_bytes = -1;  // remaining bytes of a response with known length, otherwise -1
  Micros phase_started_at = 0;             // first byte of the current request, or end of the last response
  Micros idle_timeout = 0;  // in force when the idle time began; the client may not know a shorter one yet
};

Server::Server(Callbacks callbacks, std::shared_ptr<ConnectionBudget> budget, ListenerGroup group)
    : callbacks_(std::move(callbacks)), budget_(std::move(budget)), group_(group) {
  if (budget_) listener_.set_budget(*budget_, group_);
}

Server::~Server() {
  for (std::pair<Connection* const, std::shared_ptr<Connection>>& item : connections_) item.second->tcp->close();
}

Result<void> Server::listen(std::string const& address) {
  return listener_.open(address, [this](std::shared_ptr<TcpConnection> tcp) { add_connection(std::move(tcp)); });
}

Server::Connection* Server::connection_of(std::uint64_t id) const {
  std::map<std::uint64_t, Connection*>::const_iterator const position = connections_by_request_.find(id);
  return position == connections_by_request_.end() ? nullptr : position->second;
}

void Server::add_connection(std::shared_ptr<TcpConnection> tcp) {
  std::shared_ptr<Connection> const connection = std::make_shared<Connection>();
  Connection* const conn = connection.get();
  conn->tcp = std::move(tcp);
  conn->phase_started_at = now();
  conn->idle_timeout = limits_.idle_timeout;
  connections_.emplace(conn, connection);
  conn->tcp->set_read_size(head_read_bytes);
  if (ConnectionAccount* const account = conn->tcp->account()) account->give_way = [conn] { give_way(*conn); };
  conn->parser.callbacks.head = [conn](Head& head) {
    conn->head_bytes = conn->parser.received_head_bytes();
    conn->request.head = std::move(head);
    conn->body.expect(conn->request.head.content_length);
    return true;
  };
  conn->parser.callbacks.body = [conn](std::string_view bytes) { conn->body.append(bytes); };
  conn->parser.callbacks.complete = [] {};
  conn->tcp->set_callbacks({nullptr,
                            [this, conn](std::string_view bytes) {
                              std::map<Connection*, std::shared_ptr<Connection>>::iterator const position =
                                  connections_.find(conn);
                              if (position == connections_.end()) return;
                              std::shared_ptr<Connection> const owner = position->second;
                              on_data(*conn, bytes);
                            },
                            [this, conn](TcpConnection::CloseReason) {
                              std::map<Connection*, std::shared_ptr<Connection>>::iterator const position =
                                  connections_.find(conn);
                              if (position != connections_.end()) disconnect(*conn);
                            },
                            [this, conn] {
                              if (conn->awaits_reader) continue_reading(*conn);
                              if (conn->has_request && callbacks_.drained) callbacks_.drained(conn->request.id);
                            }});
}

void Server::disconnect(Connection& conn) {
  std::shared_ptr<Connection> const owner = connections_[&conn];
  std::uint64_t const id = conn.has_request ? conn.request.id : 0;
  owner->tcp->close();
  connections_.erase(&conn);
  if (id == 0) return;
  connections_by_request_.erase(id);
  callbacks_.disconnected(id);
}

void Server::reject(Connection& conn, unsigned status) {
  // The budget logs what it has no room for, once a second.
  if (status != 503) log_event(Event::call_rejected, std::to_string(status) + " to " + conn.tcp->peer_ip());
  Head head;
  head.status = status;
  if (status == 503) head = unavailable_head();
  std::string const body = callbacks_.rejection_body ? callbacks_.rejection_body(status) : "";
  if (!body.empty()) head.fields.emplace_back("Content-Type", "application/json");
  conn.tcp->write(serialize_response_head(head, static_cast<std::int64_t>(body.size()), true) + body);
  close_after_flush(conn, true);
}

// Frees what the connection holds, for another one that needs the room.
void Server::give_way(Connection& conn) {
  bool const receiving = !conn.has_request && !conn.parser.idle();
  conn.read_ahead = std::string();
  if (!conn.has_request) {
    conn.request = Request();
    conn.body.clear();
    conn.parser.start_next_message();
  }
  conn.tcp->abandon(receiving ? serialize_response_head(unavailable_head(), 0, true) : "");
}

void Server::close_after_flush(Connection& conn, bool discards_input) {
  std::shared_ptr<Connection> const owner = connections_[&conn];
  connections_.erase(&conn);
  if (ConnectionAccount* const account = owner->tcp->account()) {
    account->unpin_request();
    account->hold_request(0);
    account->hold_read_ahead(0, now());
    account->give_way = [tcp = owner->tcp.get()] { tcp->abandon(); };
  }
  owner->tcp->set_callbacks(
      {nullptr, nullptr,
       [peer = owner->tcp->peer_ip()](TcpConnection::CloseReason reason) { log_lost_response(peer, reason); },
       nullptr});
  if (discards_input)
    owner->tcp->close_after_discarding();
  else
    owner->tcp->close_after_flush();
  std::erase_if(flushing_, [](std::weak_ptr<TcpConnection> const& item) { return item.expired(); });
  if (owner->tcp->open()) flushing_.push_back(owner->tcp);
}

std::size_t Server::flushing_connections() const {
  std::size_t out = 0;
  for (std::weak_ptr<TcpConnection> const& item : flushing_) {
    std::shared_ptr<TcpConnection> const tcp = item.lock();
    if (tcp && tcp->buffered_bytes() > 0) ++out;
  }
  return out;
}

// Reports the memory of the request to the account. False if there is no room for it.
bool Server::hold_request(Connection const& conn) const {
  ConnectionAccount* const account = conn.tcp->account();
  if (account == nullptr) return true;
  std::size_t const body = conn.body.held_bytes();
  // A small body is copied into the request to the worker, a large one is shared with it.
  std::size_t const copies = body <= max_copied_body_bytes ? 2 : 1;
  std::int64_t const announced = conn.request.head.content_length;
  if (announced > 0 && static_cast<std::size_t>(announced) > budget_->max_bytes(group_)) return false;
  return account->hold_request(conn.head_bytes + conn.parser.held_head_bytes() + body * copies);
}

// While reading is paused, the kernel may receive a whole buffer.
bool Server::hold_read_ahead(Connection const& conn) {
  ConnectionAccount* const account = conn.tcp->account();
  std::size_t const in_kernel = conn.reading_paused ? counted_receive_buffer_bytes : 0;
  return account == nullptr || account->hold_read_ahead(conn.read_ahead.size() + in_kernel, now());
}

void Server::hold_back(Connection& conn, std::string_view bytes) {
  conn.read_ahead.append(bytes);
  if (conn.read_ahead.size() >= max_read_ahead_bytes && !conn.reading_paused) {
    conn.reading_paused = true;
    conn.tcp->pause_reading(true);
  }
  if (!hold_read_ahead(conn)) give_way(conn);
}

void Server::on_data(Connection& conn, std::string_view bytes) {
  if (conn.has_request || conn.parse_scheduled || conn.awaits_reader) return hold_back(conn, bytes);
  std::string combined;
  if (!conn.read_ahead.empty()) {
    combined = std::move(conn.read_ahead);
    conn.read_ahead.clear();
    combined.append(bytes);
    bytes = combined;
  }
  if (bytes.empty()) return;
  if (receive(conn, bytes)) deliver(conn);
}

// Parses bytes of the next request; returns whether it is complete. May close the connection.
bool Server::receive(Connection& conn, std::string_view bytes) {
  if (conn.parser.idle() && !conn.parser.complete()) {
    conn.phase_started_at = now();
    if (conn.tcp->account() != nullptr) conn.tcp->account()->begin_progress(conn.phase_started_at);
    conn.request.arrived_at = conn.phase_started_at;
    conn.parser.set_limits(limits_.max_head_bytes, limits_.max_body_bytes);
  }
  std::size_t const consumed = conn.parser.feed(bytes);
  if (conn.parser.error() != HttpParser::Error::none) {
    switch (conn.parser.error()) {
      case HttpParser::Error::head_too_large:
        reject(conn, 431);
        return false;
      case HttpParser::Error::body_too_large:
        reject(conn, 413);
        return false;
      default:
        reject(conn, 400);
        return false;
    }
  }
  if (conn.parser.complete()) conn.read_ahead.assign(bytes.substr(consumed));
  conn.tcp->set_read_size(conn.parser.in_body() ? body_read_bytes : head_read_bytes);
  if (hold_request(conn) && hold_read_ahead(conn)) return conn.parser.complete();
  reject(conn, 503);
  return false;
}

// Delivers a request that was received completely.
void Server::deliver(Connection& conn) {
  if (conn.tcp->account() != nullptr && !conn.tcp->account()->pin_request()) return reject(conn, 503);
  conn.tcp->set_read_size(max_read_ahead_bytes);
  conn.has_request = true;
  conn.response_started = false;
  conn.chunked = false;
  conn.remaining_body_bytes = -1;
  conn.close_after_response = !conn.request.head.keep_alive;
  conn.no_body = conn.request.head.method == "HEAD";
  Request request = std::move(conn.request);
  request.body = conn.body.take();
  request.id = ++last_request_id_;
  conn.request = Request();
  conn.request.id = request.id;
  connections_by_request_.emplace(request.id, &conn);
  conn.parser.start_next_message();
  callbacks_.request(std::move(request));
}

void Server::begin_response(std::uint64_t id, Head const& head, std::int64_t length) {
  Connection* const conn = connection_of(id);
  if (conn == nullptr || conn->response_started) return;
  conn->response_started = true;
  conn->close_after_response = conn->close_after_response || close_after_responses_;
  conn->no_body = conn->no_body || status_forbids_body(head.status);
  conn->chunked = length < 0;
  conn->remaining_body_bytes = length;
  conn->tcp->write(serialize_response_head(head, length, conn->close_after_response));
}

void Server::write_body(std::uint64_t id, std::string_view bytes) {
  Connection* const conn = connection_of(id);
  if (conn == nullptr || bytes.empty() || conn->no_body) return;
  if (conn->chunked) {
    conn->tcp->write(encode_chunk(bytes));
  } else {
    // The client would parse bytes beyond the announced length as the next response.
    bytes = bytes.substr(0, static_cast<std::size_t>(conn->remaining_body_bytes));
    conn->remaining_body_bytes -= static_cast<std::int64_t>(bytes.size());
    conn->tcp->write(bytes);
  }
}

void Server::end_response(std::uint64_t id) {
  Connection* const conn = connection_of(id);
  if (conn == nullptr) return;
  if (!conn->no_body && conn->remaining_body_bytes > 0) return abort_response(id);
  if (conn->chunked && !conn->no_body) conn->tcp->write("0\r\n\r\n");
  on_response_end(*conn);
}

void Server::respond(std::uint64_t id, Head const& head, std::string_view body) {
  Connection* const conn = connection_of(id);
  if (conn == nullptr || conn->response_started) return;
  conn->close_after_response = conn->close_after_response || close_after_responses_;
  conn->no_body = conn->no_body || status_forbids_body(head.status);
  std::string text = serialize_response_head(head, static_cast<std::int64_t>(body.size()), conn->close_after_response);
  if (!conn->no_body) text.append(body);
  conn->tcp->write(text);
  on_response_end(*conn);
}

void Server::abort_response(std::uint64_t id) {
  Connection* const conn = connection_of(id);
  if (conn == nullptr) return;
  connections_by_request_.erase(id);
  close_after_flush(*conn);
}

void Server::on_response_end(Connection& conn) {
  std::shared_ptr<Connection> const owner = connections_[&conn];
  connections_by_request_.erase(conn.request.id);
  conn.has_request = false;
  conn.phase_started_at = now();
  conn.idle_timeout = limits_.idle_timeout;
  conn.head_bytes = 0;
  if (ConnectionAccount* const account = conn.tcp->account()) {
    account->unpin_request();
    account->hold_request(0);
    account->begin_progress(conn.phase_started_at);
  }
  // A response whose head was sent before close_after_responses() did not announce "Connection: close", so its client
  // would send the next request at once; a request received after listening stopped may outlast the process.
  if (conn.close_after_response || (listening_stopped_ && conn.read_ahead.empty())) return close_after_flush(conn);
  conn.awaits_reader = conn.tcp->buffered_bytes() > max_unread_answer_bytes;
  if (!conn.awaits_reader) return continue_reading(conn);
  conn.reading_paused = true;
  conn.tcp->pause_reading(true);
  if (!hold_read_ahead(conn)) give_way(conn);
}

void Server::continue_reading(Connection& conn) {
  conn.awaits_reader = false;
  conn.reading_paused = false;
  conn.phase_started_at = now();
  conn.tcp->set_read_size(head_read_bytes);
  conn.tcp->pause_reading(false);
  hold_read_ahead(conn);
  if (!conn.read_ahead.empty()) schedule_parse(conn);
}

// Parses the next request in a later iteration of the main loop, not within the call that ended the response.
void Server::schedule_parse(Connection& conn) {
  struct DeferredParse {
    Server* self;
    std::weak_ptr<Connection> conn;
  };
  conn.parse_scheduled = true;
  g_idle_add_full(
      G_PRIORITY_DEFAULT,
      [](gpointer data) -> gboolean {
        DeferredParse const& deferred = *static_cast<DeferredParse*>(data);
        std::shared_ptr<Connection> const conn = deferred.conn.lock();
        if (conn && conn->tcp->open()) {
          conn->parse_scheduled = false;
          if (!conn->has_request) deferred.self->on_data(*conn, "");
        }
        return G_SOURCE_REMOVE;
      },
      new DeferredParse{this, connections_[&conn]}, [](gpointer data) { delete static_cast<DeferredParse*>(data); });
}

bool Server::response_begun(std::uint64_t id) const {
  Connection const* const conn = connection_of(id);
  return conn == nullptr || conn->response_started;
}

void Server::cut_connection(std::uint64_t id) {
  if (Connection* const conn = connection_of(id)) give_way(*conn);
}

void Server::abort_stalled_responses(Micros now, Micros timeout) {
  for (std::pair<std::uint64_t const, Connection*> const& item : connections_by_request_)
    if (item.second->tcp->write_stalled_for(now) > timeout) give_way(*item.second);
}

bool Server::closed_by_client(std::uint64_t id) const {
  Connection const* const conn = connection_of(id);
  return conn == nullptr || conn->tcp->closed_by_peer();
}

Server::Backlog Server::backlog_of(std::uint64_t id, Micros now) const {
  Connection const* const conn = connection_of(id);
  if (conn == nullptr) return {};
  return {conn->tcp->buffered_bytes(), conn->tcp->write_blocked_for(now)};
}

void Server::close_idle_connections() {
  std::vector<Connection*> idle;
  for (std::pair<Connection* const, std::shared_ptr<Connection>> const& item : connections_)
    if (!item.second->has_request && item.second->parser.idle() && item.second->read_ahead.empty())
      idle.push_back(item.first);
  for (Connection* const conn : idle) close_after_flush(*conn);
}

void Server::close_expired(Micros now) {
  std::vector<Connection*> idle;
  std::vector<Connection*> slow;
  for (std::pair<Connection* const, std::shared_ptr<Connection>> const& item : connections_) {
    Connection const& conn = *item.second;
    if (conn.has_request) continue;
    Micros const span = now - conn.phase_started_at;
    if (conn.awaits_reader) {
      if (conn.tcp->write_stalled_for(now) > unread_answer_timeout) idle.push_back(item.first);
      continue;
    }
    if (conn.parser.idle() && conn.read_ahead.empty()) {
      if (span > std::max(limits_.idle_timeout, conn.idle_timeout)) idle.push_back(item.first);
    } else if (span > (conn.parser.in_body() ? limits_.body_timeout : limits_.head_timeout)) {
      slow.push_back(item.first);
    }
  }
  for (Connection* const conn : idle) disconnect(*conn);
  for (Connection* const conn : slow) reject(*conn, 408);
}

}  // namespace pipit
