#include "testing/platform_fleet_test/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

#include "base/ip.h"
#include "testing/platform_fleet_test/clock.h"

namespace pipit::platform_fleet {

namespace {
constexpr Micros tick_interval = millis(2);
constexpr Micros connect_timeout = seconds(1);
}  // namespace

FaultRelay::FaultRelay(std::uint64_t seed, Identify identify_) : random(seed), identify(std::move(identify_)) {
  run_every(tick_interval, [this, weak_alive = std::weak_ptr<bool>(alive)] {
    if (weak_alive.expired()) return false;
    tick();
    return true;
  });
}

FaultRelay::~FaultRelay() {
  for (std::shared_ptr<RelayedConnection> const& connection : connections) {
    if (connection->downstream.link) connection->downstream.link->close();
    if (connection->upstream.link) connection->upstream.link->close();
  }
}

void FaultRelay::open(std::string const& public_address, std::string const& private_address) {
  std::unique_ptr<RelayListener>& listener = listeners[public_address];
  if (listener) return;
  listener = std::make_unique<RelayListener>();
  listener->target = private_address;
  std::uint16_t port = 0;
  split_address(public_address, listener->ip, port);
  listener->port = port;
  RelayListener const* const at = listener.get();
  Result<void> const opened = listener->listener.open(
      public_address, [this, at](std::shared_ptr<TcpConnection> link) { accept(*at, std::move(link)); });
  if (!opened)
    g_error("platform_fleet_test: the relay cannot listen at its public address: %s", opened.error().what.c_str());
}

void FaultRelay::close_listeners(std::string const& public_ip) {
  std::erase_if(listeners, [&public_ip](std::pair<std::string const, std::unique_ptr<RelayListener>> const& item) {
    return item.second->ip == public_ip;
  });
}

void FaultRelay::add_fault(LinkFault fault) { faults.push_back(std::move(fault)); }

void FaultRelay::reset(std::function<bool(std::string const&, std::string const&)> const& applies_to, double chance) {
  std::vector<std::shared_ptr<RelayedConnection>> chosen;
  for (std::shared_ptr<RelayedConnection> const& connection : connections)
    if (applies_to(connection->from, connection->to) && random.chance(chance)) chosen.push_back(connection);
  for (std::shared_ptr<RelayedConnection> const& connection : chosen) {
    ++resets;
    drop(connection);
  }
}

bool FaultRelay::is_cut(std::string const& from, std::string const& to, unsigned port) const {
  return std::any_of(faults.begin(), faults.end(), [&](LinkFault const& fault) {
    return fault.kind == LinkFault::Kind::cut && (fault.port == 0 || fault.port == port) && now() < fault.until &&
           fault.applies_to(from, to);
  });
}

Micros FaultRelay::current_delay(std::string const& from, std::string const& to, unsigned port) const {
  Micros out = 0;
  for (LinkFault const& fault : faults)
    if (fault.kind == LinkFault::Kind::delay && (fault.port == 0 || fault.port == port) && now() < fault.until &&
        fault.applies_to(from, to))
      out = std::max(out, fault.delay);
  return out;
}

void FaultRelay::accept(RelayListener const& listener, std::shared_ptr<TcpConnection> link) {
  std::shared_ptr<RelayedConnection> const connection = std::make_shared<RelayedConnection>();
  connection->source = link->peer_ip();
  connection->from = identify(connection->source);
  connection->to = identify(listener.ip);
  connection->port = listener.port;
  connection->target = listener.target;
  connection->downstream.link = std::move(link);
  for (LinkFault const& fault : faults)
    if (fault.kind == LinkFault::Kind::swallow && (fault.port == 0 || fault.port == connection->port) &&
        now() < fault.until && fault.applies_to(connection->from, connection->to) && random.chance(fault.chance))
      connection->replies_lost = true;
  if (connection->replies_lost) ++swallowed;
  connections.insert(connection);
  register_callbacks(connection, true);
  dial(connection);
}

void FaultRelay::dial(std::shared_ptr<RelayedConnection> const& connection) {
  // A connection is opened only while neither direction is cut.
  if (connection->connect_started || is_cut(connection->from, connection->to, connection->port) ||
      is_cut(connection->to, connection->from, connection->port))
    return;
  connection->connect_started = true;
  connection->upstream.link = TcpConnection::dial(connection->target, connection->source, connect_timeout);
  if (!connection->upstream.link->open()) return drop(connection);
  register_callbacks(connection, false);
}

void FaultRelay::register_callbacks(std::shared_ptr<RelayedConnection> const& connection, bool downstream) {
  std::weak_ptr<RelayedConnection> const weak = connection;
  Side& side = downstream ? connection->downstream : connection->upstream;
  side.link->set_callbacks(
      {[this, weak] {
         if (std::shared_ptr<RelayedConnection> const at = weak.lock()) pump(at);
       },
       [this, weak, downstream](std::string_view bytes) {
         std::shared_ptr<RelayedConnection> const at = weak.lock();
         if (at) enqueue(at, downstream, Chunk{0, std::string(bytes), false, false});
       },
       [this, weak, downstream](TcpConnection::CloseReason reason) {
         std::shared_ptr<RelayedConnection> const at = weak.lock();
         if (at) enqueue(at, downstream, Chunk{0, "", true, reason != TcpConnection::CloseReason::closed});
       },
       nullptr});
}

// Queues bytes, or the end of the connection, from one side for the other side.
void FaultRelay::enqueue(std::shared_ptr<RelayedConnection> const& connection, bool downstream, Chunk chunk) {
  if (!downstream && connection->replies_lost) {
    // The response is lost: the client sees neither its bytes nor the end of the connection.
    if (chunk.end) connection->upstream.link.reset();
    return;
  }
  if (downstream && connection->replies_lost && chunk.end) return drop(connection);
  bytes_forwarded += chunk.bytes.size();
  Side& other = downstream ? connection->upstream : connection->downstream;
  std::string const& from = downstream ? connection->from : connection->to;
  std::string const& to = downstream ? connection->to : connection->from;
  chunk.deliver_at = now() + current_delay(from, to, connection->port);
  if (!other.queue.empty()) chunk.deliver_at = std::max(chunk.deliver_at, other.queue.back().deliver_at);
  other.queue.push_back(std::move(chunk));
  pump(connection);
}

void FaultRelay::pump(std::shared_ptr<RelayedConnection> const& connection) {
  if (connections.count(connection) == 0) return;
  if (!deliver_due_chunks(connection, connection->upstream, connection->from, connection->to)) return;
  deliver_due_chunks(connection, connection->downstream, connection->to, connection->from);
}

// Writes the chunks that are due to one side; false once the connection has ended.
bool FaultRelay::deliver_due_chunks(std::shared_ptr<RelayedConnection> const& connection, Side& side,
                                    std::string const& from, std::string const& to) {
  while (!side.queue.empty() && side.queue.front().deliver_at <= now() && !is_cut(from, to, connection->port)) {
    if (!side.link || !side.link->connected()) return true;
    Chunk const chunk = std::move(side.queue.front());
    side.queue.pop_front();
    if (!chunk.bytes.empty()) side.link->write(chunk.bytes);
    if (!chunk.end) continue;
    std::shared_ptr<TcpConnection> const link = side.link;
    link->set_callbacks({});
    if (chunk.reset)
      link->close(true);
    else
      link->close_after_flush();
    connections.erase(connection);
    return false;
  }
  return true;
}

void FaultRelay::drop(std::shared_ptr<RelayedConnection> const& connection) {
  connections.erase(connection);
  for (Side* const side : {&connection->downstream, &connection->upstream}) {
    if (!side->link) continue;
    side->link->set_callbacks({});
    side->link->close(true);
  }
}

void FaultRelay::tick() {
  Micros const at = now();
  std::erase_if(faults, [at](LinkFault const& fault) { return fault.until <= at; });
  std::vector<std::shared_ptr<RelayedConnection>> const all(connections.begin(), connections.end());
  for (std::shared_ptr<RelayedConnection> const& connection : all) {
    if (!connection->connect_started) dial(connection);
    if (!connection->downstream.queue.empty() || !connection->upstream.queue.empty()) pump(connection);
  }
}

}  // namespace pipit::platform_fleet
