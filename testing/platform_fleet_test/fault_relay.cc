#include "testing/platform_fleet_test/fault_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <vector>

#include "base/ip.h"
#include "testing/platform_fleet_test/clock.h"

namespace pipit::platform_fleet {

namespace {
constexpr Micros waiting_interval = millis(2);  // between two looks at the connections that wait
constexpr int idle_wait_ms = 50;
constexpr Micros connect_timeout = seconds(1);
constexpr int listen_backlog = 512;
constexpr int max_events = 256;
constexpr int max_accepts_per_event = 64;
constexpr int max_reads_per_event = 4;
constexpr std::size_t read_buffer_size = 65536;
// The key of an epoll event: a number, with the kind of its source in the lowest bits.
constexpr unsigned source_bits = 2;

bool parse_address(std::string const& ip, std::uint16_t port, sockaddr_in& out) {
  std::memset(&out, 0, sizeof out);
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  return ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr) == 1;
}

void enable(int fd, int level, int option) {
  int const one = 1;
  ::setsockopt(fd, level, option, &one, sizeof one);
}

void close_with_reset(int fd) {
  linger const at_once = {1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::close(fd);
}

bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

// Opens a listening socket; -1 if the address cannot be bound.
int listen_at(std::string const& ip, std::uint16_t port) {
  sockaddr_in own;
  if (!parse_address(ip, port, own)) return -1;
  int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  enable(fd, SOL_SOCKET, SO_REUSEADDR);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof own) == 0 && ::listen(fd, listen_backlog) == 0) return fd;
  ::close(fd);
  return -1;
}

// Starts to connect from the source address; -1 if that fails at once.
int connect_from(std::string const& source_ip, std::string const& target) {
  std::string ip;
  std::uint16_t port = 0;
  sockaddr_in remote;
  sockaddr_in local;
  if (!split_address(target, ip, port) || !parse_address(ip, port, remote) || !parse_address(source_ip, 0, local))
    return -1;
  int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  enable(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT);
  enable(fd, IPPROTO_TCP, TCP_NODELAY);
  bool const bound = ::bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof local) == 0;
  if (bound && (::connect(fd, reinterpret_cast<sockaddr*>(&remote), sizeof remote) == 0 || errno == EINPROGRESS))
    return fd;
  ::close(fd);
  return -1;
}
}  // namespace

FaultRelay::FaultRelay(std::uint64_t seed, Identify identify) : identify_(std::move(identify)), random_(seed) {
  epoll_fd_ = ::epoll_create1(EPOLL_CLOEXEC);
  wake_fd_ = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = static_cast<std::uint64_t>(EventSource::wake);
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd_, &event);
  thread_ = std::thread([this] { run(); });
}

FaultRelay::~FaultRelay() {
  {
    std::lock_guard<std::mutex> const lock(mutex_);
    stopping_ = true;
  }
  ::eventfd_write(wake_fd_, 1);
  thread_.join();
  for (std::pair<int const, RelayListener*> const& listener : listener_of_fd_) ::close(listener.first);
  for (std::pair<ConnectionNumber const, std::unique_ptr<RelayedConnection>> const& item : connections_)
    for (int const fd : {item.second->downstream.fd, item.second->upstream.fd})
      if (fd >= 0) ::close(fd);
  ::close(wake_fd_);
  ::close(epoll_fd_);
}

// --- public functions

void FaultRelay::open(std::string const& public_address, std::string const& private_address) {
  std::lock_guard<std::mutex> const lock(mutex_);
  std::unique_ptr<RelayListener>& listener = listeners_[public_address];
  if (listener) return;
  listener = std::make_unique<RelayListener>();
  listener->target = private_address;
  std::uint16_t port = 0;
  split_address(public_address, listener->ip, port);
  listener->port = port;
  listener->fd = listen_at(listener->ip, port);
  if (listener->fd < 0)
    g_error("platform_fleet_test: the relay cannot listen at its public address %s", public_address.c_str());
  listener_of_fd_[listener->fd] = listener.get();
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 =
      static_cast<std::uint64_t>(listener->fd) << source_bits | static_cast<std::uint64_t>(EventSource::listener);
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, listener->fd, &event);
}

void FaultRelay::close_listeners(std::string const& public_ip) {
  std::lock_guard<std::mutex> const lock(mutex_);
  std::erase_if(listeners_,
                [this, &public_ip](std::pair<std::string const, std::unique_ptr<RelayListener>> const& item) {
                  if (item.second->ip != public_ip) return false;
                  listener_of_fd_.erase(item.second->fd);
                  ::close(item.second->fd);
                  return true;
                });
}

void FaultRelay::add_fault(LinkFault fault) {
  std::lock_guard<std::mutex> const lock(mutex_);
  faults_.push_back(std::move(fault));
}

void FaultRelay::reset(std::function<bool(std::string const&, std::string const&)> const& applies_to, double chance) {
  std::lock_guard<std::mutex> const lock(mutex_);
  std::vector<ConnectionNumber> chosen;
  for (std::pair<ConnectionNumber const, std::unique_ptr<RelayedConnection>> const& item : connections_)
    if (applies_to(item.second->from, item.second->to) && random_.chance(chance)) chosen.push_back(item.first);
  for (ConnectionNumber const number : chosen) {
    ++resets;
    remove(number, true);
  }
}

void FaultRelay::handle_received() {
  std::unique_lock<std::mutex> lock(mutex_);
  std::uint64_t const pass = ++requested_passes_;
  ::eventfd_write(wake_fd_, 1);
  handled_.wait(lock, [this, pass] { return completed_passes_ >= pass; });
}

// --- the relay's thread

void FaultRelay::run() {
  std::vector<epoll_event> events(max_events);
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    std::uint64_t const pass = requested_passes_;
    bool const waited_for = completed_passes_ < pass;
    int const wait_ms = waited_for ? 0 : waiting_.empty() ? idle_wait_ms : static_cast<int>(waiting_interval / 1000);
    lock.unlock();
    int const count = ::epoll_wait(epoll_fd_, events.data(), max_events, wait_ms);
    lock.lock();
    for (int n = 0; n < count; ++n)
      handle_event(events[static_cast<std::size_t>(n)].data.u64, events[static_cast<std::size_t>(n)].events);
    if (Micros const at = now(); at >= next_look_at_waiting_) handle_waiting(at);
    if (waited_for && count == 0) {
      completed_passes_ = pass;
      handled_.notify_all();
    }
  }
}

FaultRelay::RelayedConnection* FaultRelay::find(ConnectionNumber number) {
  std::unordered_map<ConnectionNumber, std::unique_ptr<RelayedConnection>>::iterator const position =
      connections_.find(number);
  return position == connections_.end() ? nullptr : position->second.get();
}

void FaultRelay::handle_event(std::uint64_t key, std::uint32_t events) {
  EventSource const source = static_cast<EventSource>(key & ((1u << source_bits) - 1));
  std::uint64_t const number = key >> source_bits;
  if (source == EventSource::wake) {
    eventfd_t ignored = 0;
    ::eventfd_read(wake_fd_, &ignored);
    return;
  }
  if (source == EventSource::listener) {
    std::unordered_map<int, RelayListener*>::const_iterator const listener =
        listener_of_fd_.find(static_cast<int>(number));
    if (listener != listener_of_fd_.end()) accept_pending(*listener->second);
    return;
  }
  bool const downstream = source == EventSource::downstream;
  RelayedConnection* const connection = find(number);
  if (connection == nullptr || connection->side(downstream).fd < 0) return;
  if (!connection->side(downstream).connected) return finish_connecting(*connection);
  if ((events & EPOLLOUT) != 0 && !flush(*connection, downstream)) return;
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) read_side(number, downstream);
}

void FaultRelay::accept_pending(RelayListener const& listener) {
  for (int n = 0; n < max_accepts_per_event; ++n) {
    sockaddr_in peer;
    socklen_t size = sizeof peer;
    int const fd = ::accept4(listener.fd, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    enable(fd, IPPROTO_TCP, TCP_NODELAY);
    char text[INET_ADDRSTRLEN] = "";
    ::inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text);
    add_connection(listener, fd, text);
  }
}

void FaultRelay::add_connection(RelayListener const& listener, int fd, std::string const& peer_ip) {
  ConnectionNumber const number = ++last_number_;
  std::unique_ptr<RelayedConnection>& connection = connections_[number];
  connection = std::make_unique<RelayedConnection>();
  connection->number = number;
  connection->source = peer_ip;
  connection->from = identify_(peer_ip);
  connection->to = identify_(listener.ip);
  connection->port = listener.port;
  connection->target = listener.target;
  connection->downstream.fd = fd;
  connection->downstream.connected = true;
  for (LinkFault const& fault : faults_)
    if (fault.kind == LinkFault::Kind::swallow && (fault.port == 0 || fault.port == connection->port) &&
        now() < fault.until && fault.applies_to(connection->from, connection->to) && random_.chance(fault.chance))
      connection->replies_lost = true;
  if (connection->replies_lost) ++swallowed;
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = number << source_bits | static_cast<std::uint64_t>(EventSource::downstream);
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
  waiting_.insert(number);
  start_connecting(*connection);
}

void FaultRelay::start_connecting(RelayedConnection& connection) {
  // A connection is opened only while neither direction is cut.
  if (connection.connect_started || is_cut(connection.from, connection.to, connection.port) ||
      is_cut(connection.to, connection.from, connection.port))
    return;
  connection.connect_started = true;
  connection.connect_deadline = now() + connect_timeout;
  connection.upstream.fd = connect_from(connection.source, connection.target);
  if (connection.upstream.fd < 0) return remove(connection.number, true);
  epoll_event event = {};
  event.events = EPOLLOUT;
  event.data.u64 = connection.number << source_bits | static_cast<std::uint64_t>(EventSource::upstream);
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, connection.upstream.fd, &event);
}

void FaultRelay::finish_connecting(RelayedConnection& connection) {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(connection.upstream.fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return remove(connection.number, true);
  connection.upstream.connected = true;
  watch(connection, false);
  pump(connection.number);
}

void FaultRelay::read_side(ConnectionNumber number, bool downstream) {
  static thread_local char buffer[read_buffer_size];
  for (int n = 0; n < max_reads_per_event; ++n) {
    RelayedConnection* const connection = find(number);
    if (connection == nullptr) return;
    Side const& side = connection->side(downstream);
    if (side.fd < 0) return;
    ssize_t const size = ::recv(side.fd, buffer, sizeof buffer, 0);
    if (size < 0 && would_block()) return;
    if (size <= 0) return end_side(*connection, downstream, size < 0);
    enqueue(*connection, downstream, Chunk{0, std::string(buffer, static_cast<std::size_t>(size)), false, false});
    if (static_cast<std::size_t>(size) < sizeof buffer) return;
  }
}

void FaultRelay::end_side(RelayedConnection& connection, bool downstream, bool reset) {
  Side& side = connection.side(downstream);
  ::close(side.fd);
  side.fd = -1;
  side.connected = false;
  Side const& other = connection.side(!downstream);
  if (side.closing || other.closing || (other.fd < 0 && connection.connect_started))
    return remove(connection.number, false);
  enqueue(connection, downstream, Chunk{0, "", true, reset});
}

// Queues bytes, or the end of the connection, from one side for the other side.
void FaultRelay::enqueue(RelayedConnection& connection, bool downstream, Chunk chunk) {
  if (!downstream && connection.replies_lost) return;  // the client sees neither bytes nor the end of the connection
  if (downstream && connection.replies_lost && chunk.end) return remove(connection.number, true);
  bytes_forwarded += chunk.bytes.size();
  Side& other = connection.side(!downstream);
  std::string const& from = downstream ? connection.from : connection.to;
  std::string const& to = downstream ? connection.to : connection.from;
  chunk.deliver_at = now() + current_delay(from, to, connection.port);
  if (!other.queue.empty()) chunk.deliver_at = std::max(chunk.deliver_at, other.queue.back().deliver_at);
  other.queue.push_back(std::move(chunk));
  pump(connection.number);
}

bool FaultRelay::is_cut(std::string const& from, std::string const& to, unsigned port) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](LinkFault const& fault) {
    return fault.kind == LinkFault::Kind::cut && (fault.port == 0 || fault.port == port) && now() < fault.until &&
           fault.applies_to(from, to);
  });
}

Micros FaultRelay::current_delay(std::string const& from, std::string const& to, unsigned port) const {
  Micros out = 0;
  for (LinkFault const& fault : faults_)
    if (fault.kind == LinkFault::Kind::delay && (fault.port == 0 || fault.port == port) && now() < fault.until &&
        fault.applies_to(from, to))
      out = std::max(out, fault.delay);
  return out;
}

void FaultRelay::pump(ConnectionNumber number) {
  RelayedConnection* const connection = find(number);
  if (connection == nullptr) return;
  if (!deliver_due_chunks(*connection, false) || !deliver_due_chunks(*connection, true)) return;
  if (has_waiting_chunks(*connection) || (connection->upstream.fd >= 0 && !connection->upstream.connected) ||
      !connection->connect_started)
    waiting_.insert(number);
  else
    waiting_.erase(number);
}

bool FaultRelay::has_waiting_chunks(RelayedConnection const& connection) const {
  return (connection.downstream.connected && !connection.downstream.queue.empty()) ||
         (connection.upstream.connected && !connection.upstream.queue.empty());
}

bool FaultRelay::deliver_due_chunks(RelayedConnection& connection, bool downstream) {
  Side& side = connection.side(downstream);
  std::string const& from = downstream ? connection.to : connection.from;
  std::string const& to = downstream ? connection.from : connection.to;
  while (!side.queue.empty() && side.queue.front().deliver_at <= now() && !is_cut(from, to, connection.port)) {
    if (!side.connected) return true;
    Chunk const chunk = std::move(side.queue.front());
    side.queue.pop_front();
    if (chunk.end && chunk.reset) {
      remove(connection.number, true);
      return false;
    }
    side.unsent.append(chunk.bytes);
    side.closing = chunk.end;
    if (!flush(connection, downstream)) return false;
  }
  return true;
}

bool FaultRelay::flush(RelayedConnection& connection, bool downstream) {
  Side& side = connection.side(downstream);
  while (side.fd >= 0 && !side.unsent.empty()) {
    ssize_t const size = ::send(side.fd, side.unsent.data(), side.unsent.size(), MSG_NOSIGNAL);
    if (size < 0 && would_block()) break;
    if (size < 0) {
      // The other side still gets what this one had sent; it reads the error as the end of this side.
      side.unsent.clear();
      break;
    }
    side.unsent.erase(0, static_cast<std::size_t>(size));
  }
  if (side.unsent.empty() && side.closing) {
    remove(connection.number, false);
    return false;
  }
  watch(connection, downstream);
  return true;
}

void FaultRelay::watch(RelayedConnection const& connection, bool downstream) {
  Side const& side = downstream ? connection.downstream : connection.upstream;
  if (side.fd < 0) return;
  epoll_event event = {};
  event.events = (side.closing ? 0u : static_cast<unsigned>(EPOLLIN)) |
                 (side.unsent.empty() ? 0u : static_cast<unsigned>(EPOLLOUT));
  event.data.u64 = connection.number << source_bits |
                   static_cast<std::uint64_t>(downstream ? EventSource::downstream : EventSource::upstream);
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, side.fd, &event);
}

void FaultRelay::remove(ConnectionNumber number, bool with_reset) {
  RelayedConnection* const connection = find(number);
  if (connection == nullptr) return;
  for (int const fd : {connection->downstream.fd, connection->upstream.fd}) {
    if (fd < 0) continue;
    if (with_reset)
      close_with_reset(fd);
    else
      ::close(fd);
  }
  waiting_.erase(number);
  connections_.erase(number);
}

void FaultRelay::handle_waiting(Micros at) {
  next_look_at_waiting_ = at + waiting_interval;
  std::erase_if(faults_, [at](LinkFault const& fault) { return fault.until <= at; });
  std::vector<ConnectionNumber> const numbers(waiting_.begin(), waiting_.end());
  for (ConnectionNumber const number : numbers) {
    RelayedConnection* const connection = find(number);
    if (connection == nullptr) continue;
    bool const connecting = connection->connect_started && !connection->upstream.connected;
    if (!connection->connect_started)
      start_connecting(*connection);
    else if (connecting && connection->upstream.fd >= 0 && at >= connection->connect_deadline)
      remove(number, true);
    else
      pump(number);
  }
}

}  // namespace pipit::platform_fleet
