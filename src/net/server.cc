#include "net/server.h"

#include <glib.h>

#include <algorithm>

#include "base/events.h"
#include "net/clock.h"

namespace pipit {

namespace {
constexpr std::size_t ahead_most = 65536;  // what a caller may send before its last call is answered
Micros now() { return loop_time(); }

// The end of a connection that was let go: anything but an orderly end means that a caller lacks a part of its answer.
void log_lost_answer(std::string const& peer, Link::End how) {
  if (how != Link::End::closed) log_event(Event::last_answer_lost, peer);
}
}  // namespace

struct Server::Conn {
  std::shared_ptr<Link> link;
  Reader reader{true};
  Call call;
  std::string ahead;    // bytes of later calls
  bool busy = false;    // a call is with the callbacks, or being answered
  bool headed = false;  // its answer has begun
  bool chunked = false;
  bool head_only = false;  // a HEAD, or an answer whose status has no body
  bool last = false;       // the connection closes after this answer
  bool parsing = false;
  std::int64_t remaining_length = -1;  // what is left of an announced length
  Micros since = 0;                    // of the first byte of what is being read, or of the last end of an answer
  Micros may_rest = 0;                 // the idle limit when its rest began; its caller may not know a shorter one yet
};

Server::~Server() {
  for (std::pair<Conn* const, std::shared_ptr<Conn>>& item : conns_) item.second->link->close();
}

Result<void> Server::listen(std::string const& address) {
  return door_.open(address, [this](std::shared_ptr<Link> link) { take(std::move(link)); });
}

Server::Conn* Server::conn_of(std::uint64_t id) const {
  std::map<std::uint64_t, Conn*>::const_iterator const position = by_id_.find(id);
  return position == by_id_.end() ? nullptr : position->second;
}

void Server::take(std::shared_ptr<Link> link) {
  std::shared_ptr<Conn> const made = std::make_shared<Conn>();
  Conn* const conn = made.get();
  conn->link = std::move(link);
  conn->since = now();
  conn->may_rest = limits_.idle;
  conns_.emplace(conn, made);
  conn->reader.callbacks.head = [conn](Head& head) {
    conn->call.head = head;
    return true;
  };
  conn->reader.callbacks.body = [conn](std::string_view bytes) { conn->call.body.append(bytes); };
  conn->reader.callbacks.complete = [] {};
  conn->link->listen({nullptr,
                      [this, conn](std::string_view bytes) {
                        std::map<Conn*, std::shared_ptr<Conn>>::iterator const position = conns_.find(conn);
                        if (position == conns_.end()) return;
                        std::shared_ptr<Conn> const keep = position->second;
                        fed(*conn, bytes);
                      },
                      [this, conn](Link::End) {
                        std::map<Conn*, std::shared_ptr<Conn>>::iterator const position = conns_.find(conn);
                        if (position != conns_.end()) drop(*conn);
                      },
                      nullptr});
}

void Server::drop(Conn& conn) {
  std::shared_ptr<Conn> const keep = conns_[&conn];
  std::uint64_t const id = conn.busy ? conn.call.id : 0;
  keep->link->close();
  conns_.erase(&conn);
  if (id == 0) return;
  by_id_.erase(id);
  callbacks_.disconnected(id);
}

void Server::refuse(Conn& conn, unsigned status) {
  log_event(Event::call_rejected, std::to_string(status) + " to " + conn.link->peer_ip());
  Head head;
  head.status = status;
  conn.link->write(answer_text(head, 0, true));
  let_go(conn);
}

void Server::let_go(Conn& conn) {
  std::shared_ptr<Conn> const keep = conns_[&conn];
  conns_.erase(&conn);
  keep->link->listen(
      {nullptr, nullptr, [peer = keep->link->peer_ip()](Link::End how) { log_lost_answer(peer, how); }, nullptr});
  keep->link->finish();
  std::erase_if(last_ones_, [](std::weak_ptr<Link> const& item) { return item.expired(); });
  if (keep->link->open()) last_ones_.push_back(keep->link);
}

std::size_t Server::finishing() const {
  std::size_t out = 0;
  for (std::weak_ptr<Link> const& item : last_ones_) {
    std::shared_ptr<Link> const link = item.lock();
    if (link && link->open()) ++out;
  }
  return out;
}

void Server::fed(Conn& conn, std::string_view bytes) {
  if (conn.busy || conn.parsing) {
    conn.ahead.append(bytes);
    if (conn.ahead.size() > ahead_most) conn.link->pause_reading(true);
    return;
  }
  std::string combined;
  if (!conn.ahead.empty()) {
    combined = std::move(conn.ahead);
    conn.ahead.clear();
    combined.append(bytes);
    bytes = combined;
  }
  if (bytes.empty()) return;
  if (conn.reader.idle() && !conn.reader.complete()) {
    conn.since = now();
    conn.call.arrived_at = conn.since;
    conn.reader.limit(limits_.head_most, limits_.body_most);
  }
  std::size_t const took = conn.reader.feed(bytes);
  if (conn.reader.error() != Reader::Error::none) {
    switch (conn.reader.error()) {
      case Reader::Error::head_large:
        return refuse(conn, 431);
      case Reader::Error::body_large:
        return refuse(conn, 413);
      default:
        return refuse(conn, 400);
    }
  }
  if (!conn.reader.complete()) return;
  conn.ahead.assign(bytes.substr(took));
  conn.busy = true;
  conn.headed = false;
  conn.chunked = false;
  conn.remaining_length = -1;
  conn.last = !conn.call.head.keep;
  conn.head_only = conn.call.head.method == "HEAD";
  Call call = std::move(conn.call);
  call.id = ++next_;
  conn.call = Call();
  conn.call.id = call.id;
  by_id_.emplace(call.id, &conn);
  conn.reader.next();
  callbacks_.call(std::move(call));
}

void Server::begin(std::uint64_t id, Head const& head, std::int64_t length) {
  Conn* const conn = conn_of(id);
  if (conn == nullptr || conn->headed) return;
  conn->headed = true;
  conn->last = conn->last || last_calls_;
  conn->head_only = conn->head_only || bodiless(head.status);
  conn->chunked = length < 0;
  conn->remaining_length = length;
  conn->link->write(answer_text(head, length, conn->last));
}

void Server::write_chunk(std::uint64_t id, std::string_view bytes) {
  Conn* const conn = conn_of(id);
  if (conn == nullptr || bytes.empty() || conn->head_only) return;
  if (conn->chunked) {
    conn->link->write(chunk_text(bytes));
  } else {
    // More than was announced would be taken for the next answer.
    bytes = bytes.substr(0, static_cast<std::size_t>(conn->remaining_length));
    conn->remaining_length -= static_cast<std::int64_t>(bytes.size());
    conn->link->write(bytes);
  }
}

void Server::end(std::uint64_t id) {
  Conn* const conn = conn_of(id);
  if (conn == nullptr) return;
  if (!conn->head_only && conn->remaining_length > 0) return break_off(id);
  if (conn->chunked && !conn->head_only) conn->link->write("0\r\n\r\n");
  finished(*conn);
}

void Server::answer(std::uint64_t id, Head const& head, std::string_view body) {
  Conn* const conn = conn_of(id);
  if (conn == nullptr || conn->headed) return;
  conn->last = conn->last || last_calls_;
  conn->head_only = conn->head_only || bodiless(head.status);
  std::string text = answer_text(head, static_cast<std::int64_t>(body.size()), conn->last);
  if (!conn->head_only) text.append(body);
  conn->link->write(text);
  finished(*conn);
}

void Server::break_off(std::uint64_t id) {
  Conn* const conn = conn_of(id);
  if (conn == nullptr) return;
  by_id_.erase(id);
  let_go(*conn);
}

void Server::finished(Conn& conn) {
  std::shared_ptr<Conn> const keep = conns_[&conn];
  by_id_.erase(conn.call.id);
  conn.busy = false;
  conn.since = now();
  conn.may_rest = limits_.idle;
  // An answer whose head left before `closing` did not say that it is the last: its caller would ask again at once, and
  // a call taken after the doors were shut may not end before the process does.
  if (conn.last || (doors_shut_ && conn.ahead.empty())) return let_go(conn);
  conn.link->pause_reading(false);
  if (!conn.ahead.empty()) {
    // Not from inside the answer: the next call is read in a turn of its own.
    struct Later {
      Server* self;
      std::weak_ptr<Conn> conn;
    };
    conn.parsing = true;
    g_idle_add_full(
        G_PRIORITY_DEFAULT,
        [](gpointer data) -> gboolean {
          Later const& later = *static_cast<Later*>(data);
          std::shared_ptr<Conn> const conn = later.conn.lock();
          if (conn && conn->link->open()) {
            conn->parsing = false;
            if (!conn->busy) later.self->fed(*conn, "");
          }
          return G_SOURCE_REMOVE;
        },
        new Later{this, keep}, [](gpointer data) { delete static_cast<Later*>(data); });
  }
}

bool Server::given_up(std::uint64_t id) const {
  Conn const* const conn = conn_of(id);
  return conn == nullptr || conn->link->ended_by_peer();
}

Server::Backlog Server::backlog_of(std::uint64_t id, Micros now) const {
  Conn const* const conn = conn_of(id);
  if (conn == nullptr) return {};
  return {conn->link->waiting(), conn->link->blocked_for(now)};
}

void Server::close_idle() {
  std::vector<Conn*> idle;
  for (std::pair<Conn* const, std::shared_ptr<Conn>> const& item : conns_)
    if (!item.second->busy && item.second->reader.idle() && item.second->ahead.empty()) idle.push_back(item.first);
  for (Conn* const conn : idle) let_go(*conn);
}

void Server::close_expired(Micros now) {
  std::vector<Conn*> idle;
  std::vector<Conn*> slow;
  for (std::pair<Conn* const, std::shared_ptr<Conn>> const& item : conns_) {
    Conn const& conn = *item.second;
    if (conn.busy) continue;
    Micros const span = now - conn.since;
    if (conn.reader.idle() && conn.ahead.empty()) {
      if (span > std::max(limits_.idle, conn.may_rest)) idle.push_back(item.first);
    } else if (span > (conn.reader.in_body() ? limits_.body_time : limits_.head_time)) {
      slow.push_back(item.first);
    }
  }
  for (Conn* const conn : idle) drop(*conn);
  for (Conn* const conn : slow) refuse(*conn, 408);
}

}  // namespace pipit
