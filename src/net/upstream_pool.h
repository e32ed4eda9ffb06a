// Connections to workers: kept while they are good, judged byte by byte (design §12.2).
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/tcp_connection.h"

namespace pipit {

class UpstreamPool {
 public:
  enum class Failure : std::uint8_t {
    connect_failed,  // no connection came up: no byte has left
    broken,          // it ended, or what came is no answer
    truncated,       // the answer began and ended before its end
  };
  // Whom the head of an answer belongs to.
  enum class ResponseOwner : std::uint8_t {
    current_request,  // the request that the connection carries
    other_request,    // interim, or to an earlier request: it is passed over, and what follows may be the asker's
    none,             // no answer to anything: the request breaks and the connection is not used again
  };
  struct Callbacks {
    std::function<void(std::uint64_t)> request_sent;  // a byte of the request may have left
    // 'first': nothing was asked on the connection before.
    std::function<ResponseOwner(std::uint64_t, Head const&, bool first)> response_head;
    std::function<void(std::uint64_t, std::string_view)> response_body;
    std::function<void(std::uint64_t)> response_complete;
    std::function<void(std::uint64_t, Failure, std::string const& reason)> request_failed;
  };
  UpstreamPool(Callbacks callbacks, std::string source_ip)
      : callbacks_(std::move(callbacks)), source_ip_(std::move(source_ip)) {}
  ~UpstreamPool();

  // How connections are opened; Link::dial unless a test says otherwise.
  using Dialer = std::function<std::shared_ptr<TcpConnection>(std::string const& address, std::string const& source_ip,
                                                              Micros connect_timeout)>;
  void set_dialer(Dialer dialer) { dialer_ = std::move(dialer); }

  // Sends a request; 'peer' names who incarnations at the address, and kept connections belong to that name.
  void start_request(std::uint64_t id, std::string const& peer, std::string const& address, std::string request,
                     Micros connect_timeout);
  // Gives a request up: its connection is reset, so that nothing the system still holds of it arrives later.
  void cancel(std::uint64_t id);
  // Nobody of that name is there any more: its kept connections are closed.
  void close_idle_connections(std::string const& peer);
  void close_expired(Micros now);
  std::size_t active_requests() const { return connections_by_request_.size(); }
  std::size_t idle_connections(std::string const& peer) const;
  std::size_t connections() const { return connections_.size(); }

  std::uint64_t dialled = 0;
  std::uint64_t reused = 0;

 private:
  struct Connection;
  void send(Connection& conn);
  void on_data(Connection& conn, std::string_view bytes);
  void on_close(Connection& conn, TcpConnection::CloseReason how);
  void fail(Connection& conn, Failure how, std::string const& reason);
  void complete_response(Connection& conn);
  void erase(Connection& conn, bool reset = false);

  Callbacks callbacks_;
  std::string const source_ip_;
  Dialer dialer_ = TcpConnection::dial;
  std::map<Connection*, std::shared_ptr<Connection>> connections_;
  std::map<std::uint64_t, Connection*> connections_by_request_;
  std::map<std::string, std::vector<Connection*>> idle_by_peer_;  // by peer, the last used at the end
};

}  // namespace pipit
