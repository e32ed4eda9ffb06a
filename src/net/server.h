// The calls that come in at one address: read whole, answered whole or piece by piece (design §12.2).
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/tcp_connection.h"

namespace pipit {

class Server {
 public:
  struct Call {
    std::uint64_t id = 0;
    Head head;
    std::string body;
    Micros arrived_at = 0;  // when its first byte was read
  };
  struct Callbacks {
    std::function<void(Call&&)> call;
    std::function<void(std::uint64_t)> disconnected;  // the caller left before its answer ended
  };
  struct Limits {
    std::size_t head_most = 65536;
    std::size_t body_most = 4u << 20;
    Micros head_time = seconds(10);  // from the first byte of a head to its end
    Micros body_time = seconds(20);
    Micros idle = seconds(60);
  };
  explicit Server(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}
  ~Server();

  Result<void> listen(std::string const& address);
  // A caller's connection that came in another way.
  void adopt(std::shared_ptr<Link> link) { take(std::move(link)); }
  // No connection comes in any more, and each one that is here closes with the answer that it carries.
  void stop_listening() {
    door_.close();
    doors_shut_ = true;
  }
  // Every answer closes its connection from now on.
  void closing() { last_calls_ = true; }
  // Connections that carry no call are closed.
  void close_idle();
  void limit(Limits const& limits) { limits_ = limits; }

  void answer(std::uint64_t id, Head const& head, std::string_view body);
  // An answer that comes in pieces; length -1 when it is not known.
  void begin(std::uint64_t id, Head const& head, std::int64_t length);
  void write_chunk(std::uint64_t id, std::string_view bytes);
  void end(std::uint64_t id);
  // The answer cannot be whole any more, and must not look whole. Before its head the connection just ends.
  void break_off(std::uint64_t id);
  // Whether the caller has ended its connection, though that has not been read yet.
  bool given_up(std::uint64_t id) const;
  // Bytes that wait for a slow caller, and for how long some have waited without a pause.
  struct Backlog {
    std::size_t bytes = 0;
    Micros blocked_for = 0;
  };
  Backlog backlog_of(std::uint64_t id, Micros now) const;

  void close_expired(Micros now);  // closes what is idle or slow for too long
  std::size_t calls() const { return by_id_.size(); }
  // Those that carry calls or may, and those whose last answer has not yet been taken.
  std::size_t connections() const { return conns_.size() + finishing(); }
  // Those whose last answer still waits in this process: its end would cut them.
  std::size_t finishing() const;

 private:
  struct Conn;
  void take(std::shared_ptr<Link> link);
  void fed(Conn& conn, std::string_view bytes);
  void refuse(Conn& conn, unsigned status);
  void finished(Conn& conn);
  void drop(Conn& conn);
  Conn* conn_of(std::uint64_t id) const;
  // Takes a connection out of the books; it closes once what was written has been taken.
  void let_go(Conn& conn);

  Callbacks callbacks_;
  Limits limits_;
  Door door_;
  bool last_calls_ = false;
  bool doors_shut_ = false;
  std::uint64_t next_ = 0;
  std::map<Conn*, std::shared_ptr<Conn>> conns_;
  std::map<std::uint64_t, Conn*> by_id_;
  std::vector<std::weak_ptr<Link>> last_ones_;  // connections that were let go
};

}  // namespace pipit
