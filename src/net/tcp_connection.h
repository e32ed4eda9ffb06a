// Non-blocking TCP connections and listeners on the GLib main loop (design §12.2).
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <sys/types.h>

#include "base/error.h"
#include "base/micros.h"
#include "net/connection_budget.h"

using GSource = struct _GSource;

namespace pipit {

// The receive buffer of a connection that counts in a budget, which the kernel may fill while reading is paused.
constexpr std::size_t counted_receive_buffer_bytes = 64u << 10;

// A TCP connection that owns its socket. All members must be called on the thread of the main loop; none of them
// blocks.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  enum class CloseReason : std::uint8_t {
    closed,          // orderly end: by the peer, or after close_after_flush() wrote everything
    reset,           // reset by the peer, a failed write, or a timeout of close_after_flush()
    connect_failed,  // never connected, so nothing was sent
  };
  struct Callbacks {
    std::function<void()> connected;             // a dialled connection is established
    std::function<void(std::string_view)> data;  // received bytes; the callback may close the connection
    std::function<void(CloseReason)> closed;     // called at most once, and never after close()
    std::function<void()> drained;               // the kernel accepted all buffered bytes
  };
  // Takes ownership of a connected, non-blocking socket.
  static std::shared_ptr<TcpConnection> adopt(int fd);
  // Connects to "IP:port", from the local IP address 'from' unless that is empty. 'connect_timeout' in microseconds
  // limits only the connecting. On an immediate failure the returned connection is not open() and calls no callback.
  static std::shared_ptr<TcpConnection> dial(std::string const& address, std::string const& from,
                                             Micros connect_timeout);
  // Takes ownership of a non-blocking socket whose connect() is in progress. 'connect_timeout' is in microseconds.
  static std::shared_ptr<TcpConnection> adopt_connecting(int fd, Micros connect_timeout);
  ~TcpConnection();

  // Counts what is held for this connection; the account is closed with the connection.
  void set_account(std::unique_ptr<ConnectionAccount> account) { account_ = std::move(account); }
  // Null for a connection without an account, and once the connection has been abandoned.
  ConnectionAccount* account() const { return account_.get(); }
  // Replaces all callbacks.
  void set_callbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }
  // Sends what the kernel accepts now and buffers the remaining bytes. After a failed write it discards all bytes.
  void write(std::string_view bytes);
  // Like write(), but shares the bytes with the caller instead of copying those that have to wait.
  void write_shared(std::shared_ptr<std::string const> const& bytes);
  // Bytes that the kernel has not accepted yet.
  std::size_t buffered_bytes() const { return write_buffer_.size() - written_bytes_ + shared_bytes_left(); }
  // Time in microseconds for which there have been buffered bytes without interruption; 0 if there are none.
  Micros write_blocked_for(Micros now) const { return buffered_bytes() == 0 ? 0 : now - blocked_since_; }
  // Time in microseconds since the peer last accepted any of the buffered bytes; 0 if there are none.
  Micros write_stalled_for(Micros now) const { return buffered_bytes() == 0 ? 0 : now - accepted_at_; }
  // Limits the bytes that are read at once, at most 64 KiB.
  void set_read_size(std::size_t bytes);
  // Stops or resumes reading; while it is paused, TCP flow control slows the peer down.
  void pause_reading(bool paused);
  // Closes at once without a callback. A reset tells the peer that it may not have received everything.
  void close(bool reset = false);
  // Closes after the kernel accepted all buffered bytes, for which the peer has 30 seconds. Until then the connection
  // keeps itself alive and reads nothing; the closed callback reports how it ended.
  void close_after_flush();
  // Like close_after_flush(), for a peer that may still send: reads and discards that for up to two seconds, because a
  // connection that closes with unread bytes is reset, and the peer then may not get what was sent last.
  void close_after_discarding();
  // Frees the buffers and closes the account at once, tries to send 'last_bytes', and ends the connection in both
  // directions; the closed callback follows in a later turn of the main loop.
  void abandon(std::string_view last_bytes = "");
  // True until the connection is closed, also while it is being established.
  bool open() const { return fd_ >= 0; }
  // True if the peer refused the connection (ECONNREFUSED): no process listens at the address.
  bool refused() const { return refused_; }
  // True while the connection is established.
  bool connected() const { return state_ == State::connected; }
  // The IP address of the peer; empty once the connection is closed.
  std::string peer_ip() const;
  // True if the connection is established and has no unread input: neither bytes nor the end of the connection.
  bool is_idle() const;
  // True if the connection is closed, or if the peer ended it and that end is the only unread input.
  bool closed_by_peer() const;

 private:
  enum class State : std::uint8_t { connecting, connected, closed };
  struct SocketSource;
  TcpConnection() = default;
  void watch();
  void update_watched_events();
  void on_socket_event(unsigned conditions);
  void read_available();
  void flush();
  ssize_t send_buffered();
  void on_write_error();
  void discard_input();
  std::size_t shared_bytes_left() const { return shared_ ? shared_->size() - shared_written_ : 0; }
  void count_unsent(std::size_t accepted);
  void set_close_timer(unsigned timeout_ms);
  void begin_backlog();
  void finish_flush();
  void close_with(CloseReason reason);

  int fd_ = -1;
  State state_ = State::connected;
  GSource* source_ = nullptr;
  void* fd_tag_ = nullptr;
  unsigned timer_ = 0;
  unsigned watched_events_ = 0;
  bool paused_ = false;
  bool close_after_flush_ = false;
  bool write_failed_ = false;  // bytes were lost, so nothing may be sent after them
  bool refused_ = false;
  bool abandoned_ = false;
  bool discards_input_ = false;
  std::size_t read_size_ = 0;                           // 0: the whole read buffer
  std::shared_ptr<TcpConnection> self_while_flushing_;  // keeps the object alive during close_after_flush()
  std::string write_buffer_;
  std::size_t written_bytes_ = 0;              // bytes at the start of write_buffer_ that the kernel has accepted
  std::shared_ptr<std::string const> shared_;  // sent after write_buffer_
  std::size_t shared_written_ = 0;
  Micros blocked_since_ = 0;  // start of the current write backlog; valid only while bytes are buffered
  Micros accepted_at_ = 0;    // when the kernel last accepted some of them, or the backlog began
  std::unique_ptr<ConnectionAccount> account_;
  Callbacks callbacks_;
};

// A listening TCP socket.
class Listener {
 public:
  using AcceptCallback = std::function<void(std::shared_ptr<TcpConnection>)>;
  ~Listener() { close(); }
  // Accepted connections are counted in the budget, which outlives the listener, and have small receive buffers,
  // because bytes that nobody has read yet are memory of the machine as well.
  void set_budget(ConnectionBudget& budget, ListenerGroup group) {
    budget_ = &budget;
    group_ = group;
  }
  // Listens at "IP:port" and calls 'on_accept' for each accepted connection. Fails with bad_settings if the address is
  // malformed or cannot be bound.
  Result<void> open(std::string const& address, AcceptCallback on_accept);
  // Stops listening; accepted connections stay open.
  void close();
  // True while the socket is listening.
  bool is_open() const { return fd_ >= 0; }

 private:
  void accept_pending();
  void watch_socket();
  // Stops accepting for a while when no file descriptor is left; polling the socket meanwhile would keep the loop busy.
  void pause_accepting();
  void accept_connection(int accepted_fd);
  ConnectionBudget* budget_ = nullptr;
  ListenerGroup group_ = ListenerGroup::clients;
  int fd_ = -1;
  unsigned watch_ = 0;
  unsigned timer_ = 0;
  bool descriptor_shortage_logged_ = false;  // since the last accepted connection
  AcceptCallback on_accept_;
};

}  // namespace pipit
