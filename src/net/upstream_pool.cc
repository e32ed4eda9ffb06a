#include "net/upstream_pool.h"

#include <glib.h>

#include <algorithm>

#include "net/clock.h"

namespace pipit {

namespace {
constexpr Micros keep_most = seconds(20);
constexpr int surplus_most = 3;
Micros now() { return loop_time(); }

// "timeout=5, max=100" in whole seconds; a default where nothing is said.
Micros keep_time(std::string const& text) {
  std::size_t const at = text.find("timeout=");
  if (at == std::string::npos) return seconds(4);
  Micros const stated = seconds(std::clamp<std::int64_t>(std::strtoll(text.c_str() + at + 8, nullptr, 10), 0, 3600));
  // The worker counts from when it sent the end; some way and some slack are taken off.
  return std::min(keep_most, stated - millis(300));
}
}  // namespace

struct Upstream::Conn {
  std::shared_ptr<Link> link;
  Reader reader{false};
  std::string peer;
  std::string address;
  std::uint64_t id = 0;  // of the request that it carries, 0 when it is kept
  std::string bytes;
  bool sent = false;
  int asked = 0;          // how many requests it has carried
  bool bodiless = false;  // it asks for a head alone
  bool ours = false;      // the answer that is being read is the one that was asked for
  bool spoiled = false;   // what came is an answer to nobody
  int surplus = 0;
  bool keep = true;
  Micros keep_for = 0;
  Micros idle_since = 0;
};

Upstream::~Upstream() {
  for (std::pair<Conn* const, std::shared_ptr<Conn>>& item : conns_) item.second->link->close();
}

std::size_t Upstream::kept(std::string const& peer) const {
  std::map<std::string, std::vector<Conn*>>::const_iterator const position = idle_.find(peer);
  return position == idle_.end() ? 0 : position->second.size();
}

void Upstream::erase(Conn& conn, bool reset) {
  std::vector<Conn*>& list = idle_[conn.peer];
  list.erase(std::remove(list.begin(), list.end(), &conn), list.end());
  if (list.empty()) idle_.erase(conn.peer);
  if (conn.id != 0) by_id_.erase(conn.id);
  conn.id = 0;  // whatever is still being read of it is nobody's
  conn.link->close(reset);
  conns_.erase(&conn);
}

void Upstream::start(std::uint64_t id, std::string const& peer, std::string const& address, std::string bytes,
                     Micros within) {
  std::map<std::string, std::vector<Conn*>>::iterator const list = idle_.find(peer);
  while (list != idle_.end() && !list->second.empty()) {
    Conn* const conn = list->second.back();
    std::shared_ptr<Conn> const keep_alive = conns_[conn];
    // What may not repeat is lost on a connection that the worker has just closed.
    if (conn->address != address || now() - conn->idle_since > conn->keep_for || !conn->link->quiet()) {
      bool const only = list->second.size() == 1;
      erase(*conn);
      if (only) break;
      continue;
    }
    list->second.pop_back();
    ++reused;
    conn->id = id;
    conn->bytes = std::move(bytes);
    by_id_[id] = conn;
    send(*conn);
    return;
  }
  ++dialled;
  std::shared_ptr<Conn> const made = std::make_shared<Conn>();
  Conn* const conn = made.get();
  conn->peer = peer;
  conn->address = address;
  conn->id = id;
  conn->bytes = std::move(bytes);
  conn->link = dial_(address, from_, within);
  conn->reader.callbacks.head = [this, conn](Head& head) {
    if (conn->id == 0) return true;
    Owner const owner = callbacks_.head(conn->id, head, conn->asked == 1);
    conn->ours = owner == Owner::asker;
    conn->spoiled = owner == Owner::nobody;
    conn->keep = head.keep;
    conn->keep_for = keep_time(head.get("Keep-Alive"));
    return !(conn->ours && conn->bodiless);
  };
  conn->reader.callbacks.body = [this, conn](std::string_view part) {
    if (conn->ours && conn->id != 0) callbacks_.body(conn->id, part);
  };
  conns_.emplace(conn, made);
  by_id_[id] = conn;
  if (!conn->link->open()) return fail(*conn, End::unreached, "no connection could be begun");
  conn->link->listen({[this, conn] { send(*conn); },
                      [this, conn](std::string_view part) {
                        std::map<Conn*, std::shared_ptr<Conn>>::iterator const position = conns_.find(conn);
                        if (position == conns_.end()) return;
                        std::shared_ptr<Conn> const keep_alive = position->second;
                        fed(*conn, part);
                      },
                      [this, conn](Link::End how) {
                        std::map<Conn*, std::shared_ptr<Conn>>::iterator const position = conns_.find(conn);
                        if (position == conns_.end()) return;
                        std::shared_ptr<Conn> const keep_alive = position->second;
                        shut(*conn, how);
                      },
                      nullptr});
}

void Upstream::send(Conn& conn) {
  conn.sent = true;
  ++conn.asked;
  conn.ours = false;
  conn.surplus = 0;
  conn.bodiless = conn.bytes.starts_with("HEAD ");
  std::string const bytes = std::move(conn.bytes);
  conn.bytes.clear();
  // Said before the system takes the first byte: from here on nobody can know.
  callbacks_.sent(conn.id);
  conn.link->write(bytes);
}

void Upstream::fed(Conn& conn, std::string_view bytes) {
  while (!bytes.empty()) {
    if (conn.id == 0) return erase(conn);  // nothing is due on a kept connection
    std::size_t const took = conn.reader.feed(bytes);
    if (!conn.link->open() || conns_.find(&conn) == conns_.end()) return;
    if (conn.reader.error() != Reader::Error::none)
      return fail(conn, conn.ours ? End::torn : End::broke, "what came is no answer");
    if (conn.spoiled) return fail(conn, End::broke, "what came does not name the request");
    bytes.remove_prefix(std::min(took, bytes.size()));
    if (!conn.reader.complete()) {
      if (took == 0) return fail(conn, conn.ours ? End::torn : End::broke, "what came is no answer");
      continue;
    }
    bool const ours = conn.ours;
    if (!ours && ++conn.surplus > surplus_most) return fail(conn, End::broke, "only answers to others came");
    conn.reader.next();
    conn.ours = false;
    if (!ours) {
      if (!conn.keep) return fail(conn, End::broke, "an answer to another request came last");
      continue;
    }
    // More than the answer: whatever follows was asked for by nobody.
    if (!bytes.empty()) conn.keep = false;
    return complete_answer(conn);
  }
}

void Upstream::complete_answer(Conn& conn) {
  std::uint64_t const id = conn.id;
  by_id_.erase(id);
  conn.id = 0;
  conn.sent = false;
  // An answer before the request was whole: the next one would come behind the rest of this.
  bool const all_sent = conn.link->waiting() == 0;
  if (conn.keep && conn.keep_for > 0 && all_sent) {
    conn.idle_since = now();
    idle_[conn.peer].push_back(&conn);
  } else {
    erase(conn);
  }
  callbacks_.done(id);
}

void Upstream::fail(Conn& conn, End how, std::string const& why) {
  std::uint64_t const id = conn.id;
  erase(conn);
  if (id != 0) callbacks_.ended(id, how, why);
}

void Upstream::shut(Conn& conn, Link::End how) {
  if (conn.id == 0) return erase(conn);
  if (!conn.sent) return fail(conn, End::unreached, "the worker cannot be reached");
  if (how == Link::End::closed && conn.ours && !conn.reader.complete() && conn.reader.eof()) {
    conn.keep = false;
    conn.reader.next();
    return complete_answer(conn);
  }
  fail(conn, conn.ours ? End::torn : End::broke,
       how == Link::End::reset ? "the worker reset the connection" : "the worker closed the connection");
}

void Upstream::cut(std::uint64_t id) {
  std::map<std::uint64_t, Conn*>::iterator const position = by_id_.find(id);
  if (position == by_id_.end()) return;
  std::shared_ptr<Conn> const keep_alive = conns_[position->second];
  erase(*keep_alive, true);
}

void Upstream::forget(std::string const& peer) {
  std::map<std::string, std::vector<Conn*>>::iterator const position = idle_.find(peer);
  if (position == idle_.end()) return;
  std::vector<Conn*> const list = position->second;
  for (Conn* const conn : list) {
    std::shared_ptr<Conn> const keep_alive = conns_[conn];
    erase(*keep_alive);
  }
}

void Upstream::close_expired(Micros now) {
  std::vector<Conn*> old;
  for (std::pair<std::string const, std::vector<Conn*>> const& item : idle_)
    for (Conn* const conn : item.second)
      if (now - conn->idle_since > conn->keep_for) old.push_back(conn);
  for (Conn* const conn : old) {
    std::shared_ptr<Conn> const keep_alive = conns_[conn];
    erase(*keep_alive);
  }
}

}  // namespace pipit
