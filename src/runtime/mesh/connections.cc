#include "runtime/mesh/connections.h"

#include "base/events.h"
#include "base/ip.h"
#include "mesh/frame.h"
#include "net/clock.h"

namespace pipit {

namespace {
// Limits of unsent bytes for one peer, above which no frame is added, and for all peers together. A frame may be larger
// than the first limit; the second leaves room for two of the largest frames.
constexpr std::size_t connection_backlog_limit = 1u << 20;
constexpr std::size_t total_backlog_limit = 2 * max_frame_bytes;
// Limit of unsent bytes that are still sent on a connection that is being closed: a leave message and frames before it.
constexpr std::size_t closing_backlog_limit = 64u << 10;
// Limit of the first frame of a connection, in which a peer says who it is.
constexpr std::size_t max_first_frame_bytes = 64u << 10;
constexpr Micros dial_timeout = seconds(1);
}  // namespace

Connections::~Connections() {
  for (std::pair<ConnectionId const, std::shared_ptr<Connection>>& item : connections_) item.second->link->close();
}

Result<void> Connections::listen(std::string const& address) {
  std::uint16_t port = 0;
  split_address(address, own_host_, port);
  if (budget_) door_.set_budget(*budget_, ListenerGroup::mesh);
  Result<void> const open = door_.open(address, [this](std::shared_ptr<TcpConnection> link) {
    std::shared_ptr<Connection> const connection = std::make_shared<Connection>();
    connection->id = ++next_id_;
    connection->link = std::move(link);
    adopt(connection, false);
  });
  if (!open) return fail(ErrorCode::bad_settings, "mesh: " + open.error().what);
  return boost::outcome_v2::success();
}

void Connections::dial(std::string const& address) {
  std::shared_ptr<Connection> const connection = std::make_shared<Connection>();
  connection->id = ++next_id_;
  connection->dialled_address = address;
  // Binds to the node's own IP address, so that peers and network faults see one address for one node.
  connection->link = TcpConnection::dial(address, own_host_, dial_timeout);
  if (!connection->link->open()) {
    callbacks_.dial_failed(address, connection->link->refused());
    return;
  }
  connections_[connection->id] = connection;
  connection->link->set_callbacks(
      {[this, id = connection->id] {
         std::map<ConnectionId, std::shared_ptr<Connection>>::iterator const position = connections_.find(id);
         if (position == connections_.end()) return;
         std::shared_ptr<Connection> const dialled = position->second;
         adopt(dialled, true);
       },
       nullptr, [this, id = connection->id](TcpConnection::CloseReason how) { handle_close(id, how); }, nullptr});
}

void Connections::adopt(std::shared_ptr<Connection> const& connection, bool outbound) {
  ConnectionId const id = connection->id;
  std::string const address = std::move(connection->dialled_address);
  connection->dialled_address.clear();
  connections_[id] = connection;
  connection->identified = outbound;
  if (ConnectionAccount* const account = connection->link->account())
    account->give_way = [link = connection.get()] {
      link->received = std::string();
      link->link->abandon();
    };
  connection->link->set_callbacks({nullptr,
                                   [this, id](std::string_view bytes) {
                                     std::map<ConnectionId, std::shared_ptr<Connection>>::iterator const position =
                                         connections_.find(id);
                                     if (position == connections_.end()) return;
                                     std::shared_ptr<Connection> const receiver = position->second;
                                     receive(*receiver, bytes);
                                   },
                                   [this, id](TcpConnection::CloseReason how) { handle_close(id, how); }, nullptr});
  callbacks_.opened(id, outbound, address);
}

void Connections::receive(Connection& connection, std::string_view bytes) {
  ConnectionId const id = connection.id;
  if (!connection.received.empty()) {
    connection.received.append(bytes);
    bytes = connection.received;
  }
  std::size_t at = 0;
  while (bytes.size() - at >= 4) {
    std::string_view const rest = bytes.substr(at);
    std::size_t const need = announced_length(rest);
    bool const refused = need == 0 || (!connection.identified && need > max_first_frame_bytes);
    if (refused) return handle_close(id, TcpConnection::CloseReason::closed);
    if (rest.size() < need + 4) break;
    bool const good = callbacks_.frame(id, rest.substr(0, need + 4));
    if (!connections_.count(id)) return;
    if (!good) return handle_close(id, TcpConnection::CloseReason::closed);
    identify(connection, rest);
    at += need + 4;
  }
  if (connection.received.empty())
    connection.received.assign(bytes.substr(at));
  else
    connection.received.erase(0, at);
  if (!hold_received(connection)) handle_close(id, TcpConnection::CloseReason::reset);
}

// The connection of a known peer does not give way to new connections.
void Connections::identify(Connection& connection, std::string_view frame) {
  if (connection.identified || body_type_of(frame) != wire::Body::Hello) return;
  connection.identified = true;
  if (ConnectionAccount* const account = connection.link->account()) account->pin_request();
}

bool Connections::hold_received(Connection const& connection) {
  ConnectionAccount* const account = connection.link->account();
  return account == nullptr || account->hold_read_ahead(connection.received.size(), loop_time());
}

void Connections::send(ConnectionId id, std::string const& bytes) {
  std::map<ConnectionId, std::shared_ptr<Connection>>::iterator const position = connections_.find(id);
  if (position == connections_.end() || !position->second->link->connected()) return;
  std::size_t const waiting = position->second->link->buffered_bytes();
  // A peer that reads so slowly cannot catch up: its connection is closed, dialled again and synchronized afresh.
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
  handle_close(id, TcpConnection::CloseReason::reset);
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

void Connections::close(ConnectionId id) {
  std::map<ConnectionId, std::shared_ptr<Connection>>::iterator const position = connections_.find(id);
  if (position == connections_.end()) return;
  std::shared_ptr<Connection> const connection = position->second;
  connections_.erase(position);
  connection->link->set_callbacks({});
  // Bytes written before, such as a leave message, are still sent, unless the peer has left too many unread.
  if (connection->link->buffered_bytes() > closing_backlog_limit) return connection->link->close();
  connection->link->close_after_flush();
  std::erase_if(closing_, [](std::weak_ptr<TcpConnection> const& item) { return item.expired(); });
  if (connection->link->open()) closing_.push_back(connection->link);
}

void Connections::handle_close(ConnectionId id, TcpConnection::CloseReason how) {
  std::map<ConnectionId, std::shared_ptr<Connection>>::iterator const position = connections_.find(id);
  if (position == connections_.end()) return;
  std::shared_ptr<Connection> const connection = position->second;
  connections_.erase(position);
  connection->link->set_callbacks({});
  bool const refused = connection->link->refused();
  connection->link->close();
  if (how == TcpConnection::CloseReason::connect_failed)
    callbacks_.dial_failed(connection->dialled_address, refused);
  else
    callbacks_.closed(id);
}

}  // namespace pipit
