#include "runtime/mesh/connections.h"

#include "base/events.h"
#include "base/ip.h"
#include "mesh/frame.h"

namespace pipit {

namespace {
// Bytes that wait for one peer, beyond which nothing is added, and for all peers together. A frame may be larger than
// the first; the second leaves room for two of the largest.
constexpr std::size_t connection_backlog_limit = 1u << 20;
constexpr std::size_t total_backlog_limit = 2 * max_frame_bytes;
// What may still be taken of a connection that is being closed: farewells and what stood before them.
constexpr std::size_t closing_backlog_limit = 64u << 10;
constexpr Micros dial_most = seconds(1);
}  // namespace

Connections::~Connections() {
  for (std::pair<ConnectionId const, std::shared_ptr<Connection>>& item : connections_) item.second->link->close();
}

Result<void> Connections::listen(std::string const& address) {
  std::uint16_t port = 0;
  split_address(address, own_host_, port);
  Result<void> const open = door_.open(address, [this](std::shared_ptr<TcpConnection> link) {
    std::shared_ptr<Connection> const made = std::make_shared<Connection>();
    made->id = ++next_;
    made->link = std::move(link);
    adopt(made, false);
  });
  if (!open) return fail(ErrorCode::bad_settings, "mesh: " + open.error().what);
  return boost::outcome_v2::success();
}

void Connections::dial(std::string const& address) {
  std::shared_ptr<Connection> const made = std::make_shared<Connection>();
  made->id = ++next_;
  made->address = address;
  // From the node's own number, so that peers and cuts see one number for one node.
  made->link = TcpConnection::dial(address, own_host_, dial_most);
  if (!made->link->open()) {
    callbacks_.failed(address, made->link->refused());
    return;
  }
  connections_[made->id] = made;
  made->link->set_callbacks(
      {[this, id = made->id] {
         std::map<ConnectionId, std::shared_ptr<Connection>>::iterator const position = connections_.find(id);
         if (position == connections_.end()) return;
         std::shared_ptr<Connection> const keep = position->second;
         adopt(keep, true);
       },
       nullptr, [this, id = made->id](TcpConnection::CloseReason how) { lost(id, how); }, nullptr});
}

void Connections::adopt(std::shared_ptr<Connection> const& connection, bool outbound) {
  ConnectionId const id = connection->id;
  std::string const address = std::move(connection->address);
  connection->address.clear();
  connections_[id] = connection;
  connection->link->set_callbacks({nullptr,
                                   [this, id](std::string_view bytes) {
                                     std::map<ConnectionId, std::shared_ptr<Connection>>::iterator const position =
                                         connections_.find(id);
                                     if (position == connections_.end()) return;
                                     std::shared_ptr<Connection> const keep = position->second;
                                     fed(*keep, bytes);
                                   },
                                   [this, id](TcpConnection::CloseReason how) { lost(id, how); }, nullptr});
  callbacks_.opened(id, outbound, address);
}

void Connections::fed(Connection& connection, std::string_view bytes) {
  ConnectionId const id = connection.id;
  if (!connection.in.empty()) {
    connection.in.append(bytes);
    bytes = connection.in;
  }
  std::size_t at = 0;
  while (bytes.size() - at >= 4) {
    std::string_view const rest = bytes.substr(at);
    std::size_t const need = announced_length(rest);
    if (need == 0) return lost(id, TcpConnection::CloseReason::closed);
    if (rest.size() < need + 4) break;
    bool const good = callbacks_.frame(id, rest.substr(0, need + 4));
    if (!connections_.count(id)) return;
    if (!good) return lost(id, TcpConnection::CloseReason::closed);
    at += need + 4;
  }
  if (connection.in.empty())
    connection.in.assign(bytes.substr(at));
  else
    connection.in.erase(0, at);
}

void Connections::send(ConnectionId id, std::string const& bytes) {
  std::map<ConnectionId, std::shared_ptr<Connection>>::iterator const position = connections_.find(id);
  if (position == connections_.end() || !position->second->link->connected()) return;
  std::size_t const waiting = position->second->link->buffered_bytes();
  // A peer that takes so little has fallen behind for good: it is dialled again and told anew.
  if (waiting > connection_backlog_limit) return drop_overfull(id);
  position->second->link->write(bytes);
  if (waiting > 0 && backlog_bytes() > total_backlog_limit) drop_overfull(largest_backlog());
}

std::size_t Connections::backlog_of(ConnectionId id) const {
  std::map<ConnectionId, std::shared_ptr<Connection>>::const_iterator const position = connections_.find(id);
  return position == connections_.end() ? 0 : position->second->link->buffered_bytes();
}

void Connections::drop_overfull(ConnectionId id) {
  std::map<ConnectionId, std::shared_ptr<Connection>>::const_iterator const position = connections_.find(id);
  if (position == connections_.end()) return;
  TcpConnection const& link = *position->second->link;
  log_event(Event::peer_backlog_dropped, link.peer_ip() + " " + std::to_string(link.buffered_bytes()));
  lost(id, TcpConnection::CloseReason::reset);
}

ConnectionId Connections::largest_backlog() const {
  ConnectionId out = 0;
  std::size_t most = 0;
  for (std::pair<ConnectionId const, std::shared_ptr<Connection>> const& item : connections_) {
    if (item.second->link->buffered_bytes() <= most) continue;
    most = item.second->link->buffered_bytes();
    out = item.first;
  }
  return out;
}

std::size_t Connections::backlog_bytes() const {
  std::size_t out = 0;
  for (std::pair<ConnectionId const, std::shared_ptr<Connection>> const& item : connections_)
    out += item.second->link->buffered_bytes();
  for (std::weak_ptr<TcpConnection> const& item : closing_)
    if (std::shared_ptr<TcpConnection> const link = item.lock()) out += link->buffered_bytes();
  return out;
}

void Connections::shut(ConnectionId id) {
  std::map<ConnectionId, std::shared_ptr<Connection>>::iterator const position = connections_.find(id);
  if (position == connections_.end()) return;
  std::shared_ptr<Connection> const keep = position->second;
  connections_.erase(position);
  keep->link->set_callbacks({});
  // What was written before, a farewell perhaps, still goes; but a peer that took nothing is not waited for.
  if (keep->link->buffered_bytes() > closing_backlog_limit) return keep->link->close();
  keep->link->close_after_flush();
  std::erase_if(closing_, [](std::weak_ptr<TcpConnection> const& item) { return item.expired(); });
  if (keep->link->open()) closing_.push_back(keep->link);
}

void Connections::lost(ConnectionId id, TcpConnection::CloseReason how) {
  std::map<ConnectionId, std::shared_ptr<Connection>>::iterator const position = connections_.find(id);
  if (position == connections_.end()) return;
  std::shared_ptr<Connection> const keep = position->second;
  connections_.erase(position);
  keep->link->set_callbacks({});
  bool const refused = keep->link->refused();
  keep->link->close();
  if (how == TcpConnection::CloseReason::connect_failed)
    callbacks_.failed(keep->address, refused);
  else
    callbacks_.shut(id);
}

}  // namespace pipit
