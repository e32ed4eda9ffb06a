#include "net/tcp_connection.h"

#include <arpa/inet.h>
#include <cerrno>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

#include "base/events.h"
#include "base/ip.h"
#include "net/clock.h"

namespace pipit {

namespace {
constexpr int user_timeout_ms = 8000;         // TCP_USER_TIMEOUT: limit for sent bytes to stay unacknowledged
constexpr unsigned flush_timeout_ms = 30000;  // time for the peer to receive the rest after close_after_flush()
constexpr std::size_t read_buffer_size = 65536;
constexpr int max_reads_per_event = 4;
constexpr int max_accepts_per_event = 32;
constexpr int listen_backlog = 512;
constexpr unsigned discard_timeout_ms = 2000;  // time for the peer to end its side after close_after_discarding()
constexpr unsigned accept_pause_ms = 100;      // pause of a listener when no file descriptor is left

bool parse_ipv4_address(std::string const& text, sockaddr_in& out) {
  std::string host;
  std::uint16_t port = 0;
  if (!split_address(text, host, port)) return false;
  std::memset(&out, 0, sizeof out);
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  return inet_pton(AF_INET, host.c_str(), &out.sin_addr) == 1;
}

void set_socket_options(int fd) {
  int const one = 1;
  unsigned const timeout = user_timeout_ms;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}
}  // namespace

// A GLib source for one descriptor, whose watched events can change without a new source.
struct TcpConnection::SocketSource {
  GSource base;
  TcpConnection* connection;
  static gboolean dispatch(GSource* source, GSourceFunc, gpointer) {
    SocketSource* const self = reinterpret_cast<SocketSource*>(source);
    std::shared_ptr<TcpConnection> const keep = self->connection->shared_from_this();
    keep->on_socket_event(g_source_query_unix_fd(source, keep->fd_tag_));
    return G_SOURCE_CONTINUE;
  }
};

void TcpConnection::watch() {
  static GSourceFuncs funcs = {nullptr, nullptr, SocketSource::dispatch, nullptr, nullptr, nullptr};
  source_ = g_source_new(&funcs, sizeof(SocketSource));
  reinterpret_cast<SocketSource*>(source_)->connection = this;
  watched_events_ = state_ == State::connecting ? G_IO_OUT : G_IO_IN;
  fd_tag_ = g_source_add_unix_fd(source_, fd_, static_cast<GIOCondition>(watched_events_));
  g_source_attach(source_, nullptr);
}

std::shared_ptr<TcpConnection> TcpConnection::adopt(int fd) {
  std::shared_ptr<TcpConnection> const out(new TcpConnection);
  out->fd_ = fd;
  set_socket_options(fd);
  out->watch();
  return out;
}

std::shared_ptr<TcpConnection> TcpConnection::dial(std::string const& address, std::string const& from,
                                                   Micros connect_timeout) {
  std::shared_ptr<TcpConnection> const out(new TcpConnection);
  sockaddr_in remote;
  sockaddr_in local;
  if (!parse_ipv4_address(address, remote)) return out;
  int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return out;
  if (!from.empty() && parse_ipv4_address(from + ":1", local)) {
    local.sin_port = 0;
    int const one = 1;
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof one);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0) {
      ::close(fd);
      return out;
    }
  }
  set_socket_options(fd);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&remote), sizeof remote) != 0 && errno != EINPROGRESS) {
    out->refused_ = errno == ECONNREFUSED;
    ::close(fd);
    return out;
  }
  return adopt_connecting(fd, connect_timeout);
}

std::shared_ptr<TcpConnection> TcpConnection::adopt_connecting(int fd, Micros connect_timeout) {
  std::shared_ptr<TcpConnection> const out(new TcpConnection);
  out->fd_ = fd;
  out->state_ = State::connecting;
  out->watch();
  out->timer_ = g_timeout_add(
      static_cast<guint>(std::max<Micros>(1, connect_timeout / 1000)),
      [](gpointer self) -> gboolean {
        std::shared_ptr<TcpConnection> const connection = static_cast<TcpConnection*>(self)->shared_from_this();
        connection->timer_ = 0;
        connection->close_with(CloseReason::connect_failed);
        return G_SOURCE_REMOVE;
      },
      out.get());
  return out;
}

TcpConnection::~TcpConnection() { close(); }

void TcpConnection::close(bool reset) {
  std::shared_ptr<TcpConnection> const keep = std::move(self_while_flushing_);
  account_.reset();
  shared_.reset();
  if (timer_ != 0) g_source_remove(timer_);
  timer_ = 0;
  if (source_ != nullptr) {
    g_source_destroy(source_);
    g_source_unref(source_);
    source_ = nullptr;
  }
  if (fd_ >= 0) {
    if (reset) {
      linger const now = {1, 0};
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    ::close(fd_);
    fd_ = -1;
  }
  state_ = State::closed;
}

void TcpConnection::close_with(CloseReason reason) {
  if (fd_ < 0) return;
  std::shared_ptr<TcpConnection> const keep = std::move(self_while_flushing_);
  std::function<void(CloseReason)> const callback = std::move(callbacks_.closed);
  close();
  callbacks_ = {};
  if (callback) callback(reason);
}

void TcpConnection::update_watched_events() {
  if (source_ == nullptr) return;
  unsigned events = state_ == State::connecting || buffered_bytes() > 0 ? G_IO_OUT : 0;
  if (state_ == State::connected && !paused_) events |= G_IO_IN;
  if (events == watched_events_) return;
  watched_events_ = events;
  g_source_modify_unix_fd(source_, fd_tag_, static_cast<GIOCondition>(events));
}

void TcpConnection::pause_reading(bool paused) {
  paused_ = paused;
  update_watched_events();
}

void TcpConnection::on_socket_event(unsigned conditions) {
  if (fd_ < 0) return;
  if (abandoned_) return close_with(CloseReason::reset);
  if (state_ == State::connecting) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    refused_ = error == ECONNREFUSED;
    if (error != 0) return close_with(CloseReason::connect_failed);
    if ((conditions & G_IO_OUT) == 0) return;
    state_ = State::connected;
    if (timer_ != 0) g_source_remove(timer_);
    timer_ = 0;
    update_watched_events();
    // A copy, since the callback may replace the callbacks.
    std::function<void()> const callback = callbacks_.connected;
    if (callback) callback();
    return;
  }
  if ((conditions & G_IO_OUT) != 0) flush();
  if (fd_ < 0 || (conditions & (G_IO_IN | G_IO_HUP | G_IO_ERR)) == 0) return;
  if (discards_input_) return discard_input();
  // G_IO_HUP or G_IO_ERR while reading is paused: both directions are closed, so unread input no longer matters.
  if (paused_) return close_with(CloseReason::reset);
  read_available();
}

void TcpConnection::read_available() {
  static char buffer[read_buffer_size];
  // Reads until the socket is empty, but only a few times, since other sources share the loop.
  for (int i = 0; i < max_reads_per_event && fd_ >= 0 && !paused_; ++i) {
    std::size_t const size = read_size_ == 0 ? sizeof buffer : read_size_;
    ssize_t const n = ::recv(fd_, buffer, size, 0);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (n < 0) return close_with(CloseReason::reset);
    if (n == 0) return close_with(write_failed_ ? CloseReason::reset : CloseReason::closed);
    if (account_) account_->count_progress(static_cast<std::size_t>(n), loop_time());
    std::string const received(buffer, static_cast<std::size_t>(n));
    if (callbacks_.data) callbacks_.data(received);
    if (abandoned_ || static_cast<std::size_t>(n) < size) return;
  }
}

std::string TcpConnection::peer_ip() const {
  sockaddr_in peer;
  socklen_t size = sizeof peer;
  char text[INET_ADDRSTRLEN];
  if (fd_ < 0 || getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return "";
  return inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text) == nullptr ? "" : text;
}

bool TcpConnection::is_idle() const {
  if (fd_ < 0 || state_ != State::connected) return false;
  char byte = 0;
  ssize_t const n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

bool TcpConnection::closed_by_peer() const {
  if (fd_ < 0 || state_ != State::connected) return fd_ < 0;
  char byte = 0;
  ssize_t const n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void TcpConnection::write(std::string_view bytes) {
  if (fd_ < 0 || write_failed_) return;
  if (state_ == State::connected && buffered_bytes() == 0) {
    write_buffer_.clear();
    written_bytes_ = 0;
    ssize_t const n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n > 0) bytes.remove_prefix(static_cast<std::size_t>(n));
    // Bytes sent after the lost ones would arrive in their place, so nothing more is sent and the peer sees the end of
    // the connection. This side closes when it reads that end: write() must not destroy the connection under its
    // caller.
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      write_failed_ = true;
      ::shutdown(fd_, SHUT_RDWR);
      return;
    }
  }
  if (bytes.empty()) return;
  begin_backlog();
  if (shared_bytes_left() > 0) write_buffer_.append(*shared_, shared_written_);
  shared_.reset();
  write_buffer_.append(bytes);
  update_watched_events();
  count_unsent(0);
}

void TcpConnection::write_shared(std::shared_ptr<std::string const> const& bytes) {
  if (fd_ < 0 || write_failed_ || bytes->empty()) return;
  if (shared_bytes_left() > 0) return write(*bytes);
  begin_backlog();
  shared_ = bytes;
  shared_written_ = 0;
  // Sends now what the kernel accepts; a failed write is noticed with the next event of the socket.
  if (state_ == State::connected) send_buffered();
  update_watched_events();
  count_unsent(0);
}

void TcpConnection::begin_backlog() {
  if (buffered_bytes() > 0) return;
  blocked_since_ = accepted_at_ = loop_time();
}

// Reports the unsent bytes to the account, after the peer has accepted some.
void TcpConnection::count_unsent(std::size_t accepted) {
  if (!account_) return;
  Micros const now = loop_time();
  if (accepted > 0) account_->count_progress(accepted, now);
  if (!account_->hold_unsent(buffered_bytes(), now)) abandon();
}

void TcpConnection::abandon(std::string_view last_bytes) {
  if (fd_ < 0 || abandoned_) return;
  if (!last_bytes.empty() && buffered_bytes() == 0) ::send(fd_, last_bytes.data(), last_bytes.size(), MSG_NOSIGNAL);
  abandoned_ = write_failed_ = true;
  write_buffer_ = std::string();
  written_bytes_ = 0;
  shared_.reset();
  account_.reset();
  ::shutdown(fd_, SHUT_RDWR);
  set_close_timer(0);
}

void TcpConnection::set_close_timer(unsigned timeout_ms) {
  if (timer_ != 0) g_source_remove(timer_);
  timer_ = g_timeout_add(
      timeout_ms,
      [](gpointer self) -> gboolean {
        std::shared_ptr<TcpConnection> const connection = static_cast<TcpConnection*>(self)->shared_from_this();
        connection->timer_ = 0;
        connection->close_with(CloseReason::reset);
        return G_SOURCE_REMOVE;
      },
      this);
}

void TcpConnection::set_read_size(std::size_t bytes) { read_size_ = std::min(bytes, read_buffer_size); }

// Sends the next buffered bytes; returns what send() returned.
ssize_t TcpConnection::send_buffered() {
  bool const from_buffer = write_buffer_.size() > written_bytes_;
  char const* const data = from_buffer ? write_buffer_.data() + written_bytes_ : shared_->data() + shared_written_;
  std::size_t const size = from_buffer ? write_buffer_.size() - written_bytes_ : shared_bytes_left();
  ssize_t const n = ::send(fd_, data, size, MSG_NOSIGNAL);
  if (n <= 0) return n;
  (from_buffer ? written_bytes_ : shared_written_) += static_cast<std::size_t>(n);
  accepted_at_ = loop_time();
  return n;
}

void TcpConnection::flush() {
  std::size_t accepted = 0;
  while (buffered_bytes() > 0) {
    ssize_t const n = send_buffered();
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (n <= 0) return on_write_error();
    accepted += static_cast<std::size_t>(n);
  }
  count_unsent(accepted);
  if (buffered_bytes() == 0) {
    write_buffer_.clear();
    written_bytes_ = 0;
    shared_.reset();
    if (close_after_flush_) return finish_flush();
    if (callbacks_.drained) callbacks_.drained();
    if (fd_ < 0) return;
  } else if (written_bytes_ > read_buffer_size) {
    write_buffer_.erase(0, written_bytes_);
    written_bytes_ = 0;
  }
  update_watched_events();
}

// The peer accepts no more bytes, but its input may still be unread, such as a response that it sent early.
void TcpConnection::on_write_error() {
  write_failed_ = true;
  if (!paused_) read_available();
  close_with(CloseReason::reset);
}

void TcpConnection::close_after_flush() {
  if (fd_ < 0) return;
  if (abandoned_) {
    self_while_flushing_ = shared_from_this();
    return;
  }
  close_after_flush_ = true;
  if (buffered_bytes() == 0 && !discards_input_) return close_with(CloseReason::closed);
  if (self_while_flushing_) return;
  // Further input is not delivered.
  callbacks_.data = nullptr;
  self_while_flushing_ = shared_from_this();
  set_close_timer(flush_timeout_ms);
  pause_reading(!discards_input_);
  if (buffered_bytes() == 0) finish_flush();
}

void TcpConnection::close_after_discarding() {
  discards_input_ = true;
  close_after_flush();
}

// All bytes were sent on a connection that is being closed.
void TcpConnection::finish_flush() {
  if (!discards_input_) return close_with(CloseReason::closed);
  ::shutdown(fd_, SHUT_WR);
  set_close_timer(discard_timeout_ms);
  update_watched_events();
}

void TcpConnection::discard_input() {
  static char buffer[read_buffer_size];
  ssize_t const n = ::recv(fd_, buffer, sizeof buffer, 0);
  if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))) return;
  if (n < 0) return close_with(CloseReason::reset);
  if (buffered_bytes() == 0) return close_with(CloseReason::closed);
  // The peer has sent everything, and still reads.
  discards_input_ = false;
  pause_reading(true);
}

Result<void> Listener::open(std::string const& address, AcceptCallback on_accept) {
  on_accept_ = std::move(on_accept);
  sockaddr_in local;
  if (!parse_ipv4_address(address, local))
    return fail(ErrorCode::bad_settings, "'" + address + "' is not an IP address with a port");
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int const one = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  // Accepted connections inherit the size.
  int const receive_buffer = counted_receive_buffer_bytes;
  if (budget_ != nullptr) setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0 ||
      ::listen(fd_, listen_backlog) != 0) {
    std::string const reason = std::strerror(errno);
    close();
    return fail(ErrorCode::bad_settings, "cannot listen on " + address + ": " + reason);
  }
  watch_socket();
  return boost::outcome_v2::success();
}

void Listener::watch_socket() {
  watch_ = g_unix_fd_add(
      fd_, G_IO_IN,
      [](gint, GIOCondition, gpointer self) -> gboolean {
        static_cast<Listener*>(self)->accept_pending();
        return G_SOURCE_CONTINUE;
      },
      this);
}

void Listener::pause_accepting() {
  if (!descriptor_shortage_logged_) log_event(Event::descriptors_exhausted, std::strerror(errno));
  descriptor_shortage_logged_ = true;
  if (watch_ != 0) g_source_remove(watch_);
  watch_ = 0;
  timer_ = g_timeout_add(
      accept_pause_ms,
      [](gpointer data) -> gboolean {
        Listener* const self = static_cast<Listener*>(data);
        self->timer_ = 0;
        self->watch_socket();
        return G_SOURCE_REMOVE;
      },
      this);
}

void Listener::accept_pending() {
  for (int i = 0; i < max_accepts_per_event && fd_ >= 0; ++i) {
    int const accepted_fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted_fd < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM))
      return pause_accepting();
    if (accepted_fd < 0) return;
    descriptor_shortage_logged_ = false;
    accept_connection(accepted_fd);
  }
}

void Listener::accept_connection(int accepted_fd) {
  if (budget_ == nullptr) return on_accept_(TcpConnection::adopt(accepted_fd));
  std::unique_ptr<ConnectionAccount> account = budget_->open_account(group_, loop_time());
  if (!account) {
    ::close(accepted_fd);
    return;
  }
  std::shared_ptr<TcpConnection> const connection = TcpConnection::adopt(accepted_fd);
  connection->set_account(std::move(account));
  on_accept_(connection);
}

void Listener::close() {
  if (watch_ != 0) g_source_remove(watch_);
  if (timer_ != 0) g_source_remove(timer_);
  watch_ = timer_ = 0;
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

}  // namespace pipit
