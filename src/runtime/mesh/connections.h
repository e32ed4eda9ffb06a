// Connections between the nodes of the mesh (§3.2).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "net/tcp_connection.h"
#include "mesh/effects.h"

namespace pipit {

// Owns the mesh's sockets: listens, dials, and sends and receives whole frames. Unsent bytes are limited per connection
// and in total; a connection whose peer does not keep up is closed.
class Connections {
 public:
  struct Callbacks {
    std::function<void(ConnectionId, bool outbound, std::string const& address)> opened;
    std::function<void(ConnectionId)> closed;
    std::function<void(std::string const& address, bool refused)> dial_failed;
    // A whole frame with its length prefix. Returns false if it is malformed; the connection is then closed.
    std::function<bool(ConnectionId, std::string_view frame)> frame;
  };
  // With a budget, accepted connections count in it, and give way to others when the mesh needs room.
  explicit Connections(Callbacks callbacks, std::shared_ptr<ConnectionBudget> budget = nullptr)
      : callbacks_(std::move(callbacks)), budget_(std::move(budget)) {}
  ~Connections();

  // 'address' is IP:port; its IP is also the source of outgoing connections. Error: bad_settings if it cannot be
  // listened on.
  Result<void> listen(std::string const& address);
  // Opens a connection; 'opened' or 'dial_failed' is called later, or 'dial_failed' at once.
  void dial(std::string const& address);
  // Sends a frame. May close this or another connection if a backlog limit is exceeded.
  void send(ConnectionId id, std::string const& bytes);
  // Closes a connection without a callback, after its unsent bytes if these are few.
  void close(ConnectionId id);

  // Bytes not yet accepted by peers, including those of connections that are being closed.
  std::size_t backlog_bytes() const;
  // Bytes not yet accepted by the peer of one connection.
  std::size_t backlog_of(ConnectionId id) const;

 private:
  struct Connection {
    ConnectionId id = 0;
    std::shared_ptr<TcpConnection> link;
    std::string dialled_address;  // set until the connection is open
    std::string received;         // start of an incomplete frame
    bool identified = false;      // the peer has said who it is, or was dialled
  };
  void adopt(std::shared_ptr<Connection> const& connection, bool outbound);
  void receive(Connection& connection, std::string_view bytes);
  static void identify(Connection& connection, std::string_view frame);
  static bool hold_received(Connection const& connection);
  void handle_close(ConnectionId id, TcpConnection::CloseReason how);
  void drop_overfull(ConnectionId id);
  ConnectionId largest_backlog() const;

  Callbacks callbacks_;
  std::shared_ptr<ConnectionBudget> const budget_;
  Listener door_;
  std::string own_host_;
  ConnectionId next_id_ = 0;
  std::map<ConnectionId, std::shared_ptr<Connection>> connections_;
  std::vector<std::weak_ptr<TcpConnection>> closing_;  // closed connections that still have bytes to send
};

}  // namespace pipit
