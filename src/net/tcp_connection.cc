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
constexpr int user_timeout_ms = 8000;  // for how long sent bytes may stay unacknowledged
constexpr unsigned finish_ms = 30000;  // for how long a peer may take what is left for it
constexpr std::size_t read_size = 65536;
constexpr unsigned rest_ms = 100;  // of a listening socket when no descriptor is left

bool address_of(std::string const& text, sockaddr_in& out) {
  std::string host;
  std::uint16_t port = 0;
  if (!split_address(text, host, port)) return false;
  std::memset(&out, 0, sizeof out);
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  return inet_pton(AF_INET, host.c_str(), &out.sin_addr) == 1;
}

void tune(int fd) {
  int const one = 1;
  unsigned const most = user_timeout_ms;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &most, sizeof most);
}
}  // namespace

// A source of the loop for one descriptor, whose conditions change without making it anew.
struct Link::Watch {
  GSource base;
  Link* link;
  static gboolean dispatch(GSource* source, GSourceFunc, gpointer) {
    Watch* const self = reinterpret_cast<Watch*>(source);
    std::shared_ptr<Link> const keep = self->link->shared_from_this();
    keep->ready(g_source_query_unix_fd(source, keep->tag_));
    return G_SOURCE_CONTINUE;
  }
};

void Link::watch() {
  static GSourceFuncs funcs = {nullptr, nullptr, Watch::dispatch, nullptr, nullptr, nullptr};
  source_ = g_source_new(&funcs, sizeof(Watch));
  reinterpret_cast<Watch*>(source_)->link = this;
  asked_ = state_ == State::dialling ? G_IO_OUT : G_IO_IN;
  tag_ = g_source_add_unix_fd(source_, fd_, static_cast<GIOCondition>(asked_));
  g_source_attach(source_, nullptr);
}

std::shared_ptr<Link> Link::adopt(int fd) {
  std::shared_ptr<Link> const out(new Link);
  out->fd_ = fd;
  tune(fd);
  out->watch();
  return out;
}

std::shared_ptr<Link> Link::dial(std::string const& address, std::string const& from, Micros within) {
  std::shared_ptr<Link> const out(new Link);
  sockaddr_in to;
  sockaddr_in own;
  if (!address_of(address, to)) return out;
  int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return out;
  if (!from.empty() && address_of(from + ":1", own)) {
    own.sin_port = 0;
    int const one = 1;
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof one);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0) {
      ::close(fd);
      return out;
    }
  }
  tune(fd);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
    out->refused_ = errno == ECONNREFUSED;
    ::close(fd);
    return out;
  }
  return opening(fd, within);
}

std::shared_ptr<Link> Link::opening(int fd, Micros within) {
  std::shared_ptr<Link> const out(new Link);
  out->fd_ = fd;
  out->state_ = State::dialling;
  out->watch();
  out->timer_ = g_timeout_add(
      static_cast<guint>(std::max<Micros>(1, within / 1000)),
      [](gpointer self) -> gboolean {
        std::shared_ptr<Link> const link = static_cast<Link*>(self)->shared_from_this();
        link->timer_ = 0;
        link->end(End::unreached);
        return G_SOURCE_REMOVE;
      },
      out.get());
  return out;
}

Link::~Link() { close(); }

void Link::close(bool reset) {
  std::shared_ptr<Link> const keep = std::move(own_);
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
  state_ = State::shut;
}

void Link::end(End how) {
  if (fd_ < 0) return;
  std::shared_ptr<Link> const keep = std::move(own_);
  std::function<void(End)> const callback = std::move(callbacks_.shut);
  close();
  callbacks_ = {};
  if (callback) callback(how);
}

void Link::want() {
  if (source_ == nullptr) return;
  unsigned need = state_ == State::dialling || waiting() > 0 ? G_IO_OUT : 0;
  if (state_ == State::up && !paused_) need |= G_IO_IN;
  if (need == asked_) return;
  asked_ = need;
  g_source_modify_unix_fd(source_, tag_, static_cast<GIOCondition>(need));
}

void Link::pause_reading(bool paused) {
  paused_ = paused;
  want();
}

void Link::ready(unsigned conditions) {
  if (fd_ < 0) return;
  if (state_ == State::dialling) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    refused_ = error == ECONNREFUSED;
    if (error != 0) return end(End::unreached);
    if ((conditions & G_IO_OUT) == 0) return;
    state_ = State::up;
    if (timer_ != 0) g_source_remove(timer_);
    timer_ = 0;
    want();
    // The callbacks may be others by the time it returns.
    std::function<void()> const callback = callbacks_.up;
    if (callback) callback();
    return;
  }
  if ((conditions & G_IO_OUT) != 0) flush();
  if (fd_ < 0 || (conditions & (G_IO_IN | G_IO_HUP | G_IO_ERR)) == 0) return;
  // Held, and the connection is dead both ways: nothing that is still to be read matters any more.
  if (paused_) return end(End::reset);
  read_some();
}

void Link::read_some() {
  static char buffer[read_size];
  // Until it is empty, but not for ever: others wait for the loop too.
  for (int turns = 0; turns < 4 && fd_ >= 0 && !paused_; ++turns) {
    ssize_t const n = ::recv(fd_, buffer, sizeof buffer, 0);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (n < 0) return end(End::reset);
    if (n == 0) return end(lost_ ? End::reset : End::closed);
    std::string const got(buffer, static_cast<std::size_t>(n));
    if (callbacks_.bytes) callbacks_.bytes(got);
    if (static_cast<std::size_t>(n) < sizeof buffer) return;
  }
}

std::string Link::peer_ip() const {
  sockaddr_in peer;
  socklen_t size = sizeof peer;
  char text[INET_ADDRSTRLEN];
  if (fd_ < 0 || getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return "";
  return inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text) == nullptr ? "" : text;
}

bool Link::quiet() const {
  if (fd_ < 0 || state_ != State::up) return false;
  char byte = 0;
  ssize_t const n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

bool Link::ended_by_peer() const {
  if (fd_ < 0 || state_ != State::up) return fd_ < 0;
  char byte = 0;
  ssize_t const n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Link::write(std::string_view bytes) {
  if (fd_ < 0 || lost_) return;
  if (state_ == State::up && waiting() == 0) {
    out_.clear();
    sent_bytes_ = 0;
    ssize_t const n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n > 0) bytes.remove_prefix(static_cast<std::size_t>(n));
    // What follows must not take the place of what is lost: nothing more is sent, and the peer sees an end. Here that
    // is heard of when it is read; the caller of write() must not find the connection gone under its feet.
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      lost_ = true;
      ::shutdown(fd_, SHUT_RDWR);
      return;
    }
  }
  if (bytes.empty()) return;
  if (waiting() == 0) blocked_since_ = loop_time();
  out_.append(bytes);
  want();
}

void Link::flush() {
  while (waiting() > 0) {
    ssize_t const n = ::send(fd_, out_.data() + sent_bytes_, waiting(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (n <= 0) return lose();
    sent_bytes_ += static_cast<std::size_t>(n);
  }
  if (waiting() == 0) {
    out_.clear();
    sent_bytes_ = 0;
    if (last_) return end(End::closed);
    if (callbacks_.drained) callbacks_.drained();
    if (fd_ < 0) return;
  } else if (sent_bytes_ > read_size) {
    out_.erase(0, sent_bytes_);
    sent_bytes_ = 0;
  }
  want();
}

// The peer takes no more; what it said before that may still be here, as an answer that came early.
void Link::lose() {
  lost_ = true;
  if (!paused_) read_some();
  end(End::reset);
}

void Link::finish() {
  if (fd_ < 0) return;
  last_ = true;
  if (waiting() == 0) return end(End::closed);
  if (own_) return;
  // What still comes is not read any more; the peer's end of it does not matter.
  callbacks_.bytes = nullptr;
  own_ = shared_from_this();
  if (timer_ != 0) g_source_remove(timer_);
  timer_ = g_timeout_add(
      finish_ms,
      [](gpointer self) -> gboolean {
        std::shared_ptr<Link> const link = static_cast<Link*>(self)->own_;
        link->timer_ = 0;
        link->end(End::reset);
        return G_SOURCE_REMOVE;
      },
      this);
  pause_reading(true);
}

Result<void> Door::open(std::string const& address, Taken taken) {
  taken_ = std::move(taken);
  sockaddr_in own;
  if (!address_of(address, own))
    return fail(ErrorCode::bad_settings, "'" + address + "' is not an IP number with a port");
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int const one = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0 || ::listen(fd_, 512) != 0) {
    std::string const why = std::strerror(errno);
    close();
    return fail(ErrorCode::bad_settings, address + " cannot be listened on: " + why);
  }
  listen_on();
  return boost::outcome_v2::success();
}

void Door::listen_on() {
  watch_ = g_unix_fd_add(
      fd_, G_IO_IN,
      [](gint, GIOCondition, gpointer self) -> gboolean {
        static_cast<Door*>(self)->accept_some();
        return G_SOURCE_CONTINUE;
      },
      this);
}

void Door::rest() {
  if (!short_of_descriptors_) log_event(Event::descriptors_exhausted, std::strerror(errno));
  short_of_descriptors_ = true;
  if (watch_ != 0) g_source_remove(watch_);
  watch_ = 0;
  timer_ = g_timeout_add(
      rest_ms,
      [](gpointer data) -> gboolean {
        Door* const self = static_cast<Door*>(data);
        self->timer_ = 0;
        self->listen_on();
        return G_SOURCE_REMOVE;
      },
      this);
}

void Door::accept_some() {
  for (int turns = 0; turns < 32 && fd_ >= 0; ++turns) {
    int const got = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (got < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)) return rest();
    if (got < 0) return;
    short_of_descriptors_ = false;
    taken_(Link::adopt(got));
  }
}

void Door::close() {
  if (watch_ != 0) g_source_remove(watch_);
  if (timer_ != 0) g_source_remove(timer_);
  watch_ = timer_ = 0;
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

}  // namespace pipit
