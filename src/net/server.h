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
  struct Request {
    std::uint64_t id = 0;
    Head head;
    std::string body;
    Micros arrived_at = 0;  // when its first byte was read
  };
  struct Callbacks {
    std::function<void(Request&&)> request;
    std::function<void(std::uint64_t)> disconnected;  // the caller left before its answer ended
  };
  struct Limits {
    std::size_t max_head_bytes = 65536;
    std::size_t max_body_bytes = 4u << 20;
    Micros head_timeout = seconds(10);  // from the first byte of a head to its end
    Micros body_timeout = seconds(20);
    Micros idle_timeout = seconds(60);
  };
  explicit Server(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}
  ~Server();

  Result<void> listen(std::string const& address);
  // A caller's connection that came in another way.
  void adopt(std::shared_ptr<TcpConnection> tcp) { add_connection(std::move(tcp)); }
  // No connection comes in any more, and each one that is here closes with the answer that it carries.
  void stop_listening() {
    listener_.close();
    listening_stopped_ = true;
  }
  // Every answer closes its connection from now on.
  void close_after_responses() { close_after_responses_ = true; }
  // Connections that carry no call are closed.
  void close_idle_connections();
  void set_limits(Limits const& limits) { limits_ = limits; }

  void respond(std::uint64_t id, Head const& head, std::string_view body);
  // An answer that comes in pieces; length -1 when it is not known.
  void begin_response(std::uint64_t id, Head const& head, std::int64_t length);
  void write_body(std::uint64_t id, std::string_view bytes);
  void end_response(std::uint64_t id);
  // The answer cannot be whole any more, and must not look whole. Before its head the connection just ends.
  void abort_response(std::uint64_t id);
  // Whether the caller has ended its connection, though that has not been read yet.
  bool closed_by_client(std::uint64_t id) const;
  // Bytes that wait for a slow caller, and for how long some have waited without a pause.
  struct Backlog {
    std::size_t bytes = 0;
    Micros blocked_for = 0;
  };
  Backlog backlog_of(std::uint64_t id, Micros now) const;

  void close_expired(Micros now);  // closes what is idle or slow for too long
  std::size_t active_requests() const { return connections_by_request_.size(); }
  // Those that carry calls or may, and those whose last answer has not yet been taken.
  std::size_t connections() const { return connections_.size() + flushing_connections(); }
  // Those whose last answer still waits in this process: its end would cut them.
  std::size_t flushing_connections() const;

 private:
  struct Connection;
  void add_connection(std::shared_ptr<TcpConnection> tcp);
  void on_data(Connection& conn, std::string_view bytes);
  void reject(Connection& conn, unsigned status);
  void on_response_end(Connection& conn);
  void disconnect(Connection& conn);
  Connection* connection_of(std::uint64_t id) const;
  // Takes a connection out of the books; it closes once what was written has been taken.
  void close_after_flush(Connection& conn);

  Callbacks callbacks_;
  Limits limits_;
  Listener listener_;
  bool close_after_responses_ = false;
  bool listening_stopped_ = false;
  std::uint64_t last_request_id_ = 0;
  std::map<Connection*, std::shared_ptr<Connection>> connections_;
  std::map<std::uint64_t, Connection*> connections_by_request_;
  std::vector<std::weak_ptr<TcpConnection>> flushing_;  // connections that were let go
};

}  // namespace pipit
