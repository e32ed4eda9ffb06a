// The task that owns the mesh's sockets: it listens, dials, and carries whole frames (§3.2).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "net/link.h"
#include "mesh/effects.h"

namespace pipit {

class Connections {
 public:
  struct Callbacks {
    std::function<void(ConnectionId, bool outbound, std::string const& address)> opened;
    std::function<void(ConnectionId)> closed;
    std::function<void(std::string const& address, bool refused)> dial_failed;
    std::function<bool(ConnectionId, std::string_view frame)> frame;
  };
  explicit Connections(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}
  ~Connections();

  Result<void> listen(std::string const& address);
  void dial(std::string const& address);
  void send(ConnectionId id, std::string const& bytes);
  void close(ConnectionId id);

  // Bytes that wait for peers to take them, those of connections that are being closed included.
  std::size_t backlog_bytes() const;
  std::size_t backlog_of(ConnectionId id) const;

 private:
  struct Connection {
    ConnectionId id = 0;
    std::shared_ptr<Link> link;
    std::string dialled_address;  // that was dialled, until the link is up
    std::string received;
  };
  void adopt(std::shared_ptr<Connection> const& connection, bool outbound);
  void receive(Connection& connection, std::string_view bytes);
  void handle_close(ConnectionId id, Link::End how);
  void drop_overfull(ConnectionId id);
  ConnectionId largest_backlog() const;

  Callbacks callbacks_;
  Door door_;
  std::string own_host_;
  ConnectionId next_id_ = 0;
  std::map<ConnectionId, std::shared_ptr<Connection>> connections_;
  std::vector<std::weak_ptr<Link>> closing_;  // that still have a farewell to send
};

}  // namespace pipit
