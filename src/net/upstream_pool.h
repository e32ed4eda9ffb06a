// HTTP/1.1 connection pool for requests to workers (design §12.2).
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/tcp_connection.h"

namespace pipit {

// Sends each request on an idle connection to its worker or on a new one, parses the responses strictly, and keeps
// connections that may carry another request. The caller assigns the request ids, which must not be 0. Each request
// that is not cancelled ends with exactly one call of response_complete or request_failed.
class UpstreamPool {
 public:
  enum class Failure : std::uint8_t {
    connect_failed,  // no connection was established, so no byte was sent
    broken,          // the connection ended or sent an invalid response before a response to the request began
    truncated,       // the response began, but the connection ended or sent invalid bytes before its end
  };
  // The request to which a response head belongs.
  enum class ResponseOwner : std::uint8_t {
    current_request,  // the request on this connection
    other_request,    // an interim response or one to an earlier request: skipped, as the next one may match
    none,             // not a response to any request: the request fails and the connection is closed
  };
  struct Callbacks {
    // Called before the first byte of the request is sent: from then on the worker may have executed it.
    std::function<void(std::uint64_t)> request_sent;
    // Decides to which request the head belongs. 'first' is true if the connection carried no request before.
    std::function<ResponseOwner(std::uint64_t, Head const&, bool first)> response_head;
    std::function<void(std::uint64_t, std::string_view)> response_body;
    std::function<void(std::uint64_t)> response_complete;
    std::function<void(std::uint64_t, Failure, std::string const& reason)> request_failed;
  };
  UpstreamPool(Callbacks callbacks, std::string source_ip)
      : callbacks_(std::move(callbacks)), source_ip_(std::move(source_ip)) {}
  ~UpstreamPool();

  // Opens connections; TcpConnection::dial by default, replaced in tests.
  using Dialer = std::function<std::shared_ptr<TcpConnection>(std::string const& address, std::string const& source_ip,
                                                              Micros connect_timeout)>;
  void set_dialer(Dialer dialer) { dialer_ = std::move(dialer); }

  // Sends the serialized 'request', followed by 'body' if that is not null, to 'address' ("IP:port"). 'peer' names the
  // worker process at that address: an idle connection is reused only for the same peer and address. 'connect_timeout'
  // in microseconds limits only the connecting.
  void start_request(std::uint64_t id, std::string const& peer, std::string const& address, std::string request,
                     Micros connect_timeout, std::shared_ptr<std::string const> body = nullptr);
  // Stops or resumes reading the response to a request, so that the worker waits for a slow client. Unknown ids are
  // ignored.
  void pause_response(std::uint64_t id, bool paused);
  // Cancels a request without a further callback. Its connection is reset, so that request bytes still buffered in the
  // kernel do not reach the worker later. Unknown ids are ignored.
  void cancel(std::uint64_t id);
  // Closes the idle connections of a peer that no longer exists.
  void close_idle_connections(std::string const& peer);
  // Closes the connections that have been idle for longer than their keep-alive time.
  void close_expired(Micros now);
  // Requests that have neither ended nor been cancelled.
  std::size_t active_requests() const { return connections_by_request_.size(); }
  // Idle connections of this peer.
  std::size_t idle_connections(std::string const& peer) const;
  // All connections, idle or not.
  std::size_t connections() const { return connections_.size(); }

  // Counters for metrics: requests sent on a new connection and on a reused one.
  std::uint64_t dialled = 0;
  std::uint64_t reused = 0;

 private:
  struct Connection;
  void send(Connection& conn);
  void on_data(Connection& conn, std::string_view bytes);
  void on_close(Connection& conn, TcpConnection::CloseReason close_reason);
  void fail(Connection& conn, Failure failure, std::string const& reason);
  void complete_response(Connection& conn);
  void erase(Connection& conn, bool reset = false);

  Callbacks callbacks_;
  std::string const source_ip_;
  Dialer dialer_ = TcpConnection::dial;
  std::map<Connection*, std::shared_ptr<Connection>> connections_;
  std::map<std::uint64_t, Connection*> connections_by_request_;
  std::map<std::string, std::vector<Connection*>> idle_by_peer_;  // by peer; the most recently used one is the last
};

}  // namespace pipit
