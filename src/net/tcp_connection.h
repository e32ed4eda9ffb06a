// One TCP connection under the main loop: it never blocks, and it owns its socket (design §12.2).
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/micros.h"

using GSource = struct _GSource;

namespace pipit {

class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  enum class CloseReason : std::uint8_t { closed, reset, connect_failed };
  struct Callbacks {
    std::function<void()> connected;             // a dialled connection is open
    std::function<void(std::string_view)> data;  // what came; any call may shut the link
    std::function<void(CloseReason)> closed;     // said once, never after close()
    std::function<void()> drained;               // what waited to be written has been taken by the system
  };
  // An accepted socket, non-blocking; the link owns it from now on.
  static std::shared_ptr<TcpConnection> adopt(int fd);
  // Dials an IP number with a port from 'from' (an IP number, or empty). 'within' bounds the opening alone, in
  // microseconds. Nothing was sent when it ends as unreached.
  static std::shared_ptr<TcpConnection> dial(std::string const& address, std::string const& from,
                                             Micros connect_timeout);
  // A socket that is being opened, non-blocking; the link owns it from now on.
  static std::shared_ptr<TcpConnection> adopt_connecting(int fd, Micros connect_timeout);
  ~TcpConnection();

  void set_callbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }
  // Sends at once what the system takes; the rest goes when it can.
  void write(std::string_view bytes);
  std::size_t buffered_bytes() const { return write_buffer_.size() - written_bytes_; }
  // How long bytes have waited to be written without a pause; 0 when none wait.
  Micros write_blocked_for(Micros now) const { return buffered_bytes() == 0 ? 0 : now - blocked_since_; }
  // Nothing is read while held; the peer feels it.
  void pause_reading(bool paused);
  // Closes without a callback. A reset tells the peer that what it got is not whole.
  void close(bool reset = false);
  // Closes once everything written has been taken, whoever still holds the link; the peer has a while for that.
  void close_after_flush();
  bool open() const { return fd_ >= 0; }
  // Whether somebody said no when it was dialled: no process listens there.
  bool refused() const { return refused_; }
  bool connected() const { return state_ == State::connected; }
  // The IP number of the other end; empty once the connection is no more.
  std::string peer_ip() const;
  // Open, and nothing has come that is still to be read, not even its end.
  bool is_idle() const;
  // Whether the peer has ended it and only its end is still to be read.
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
  void on_write_error();
  void close_with(CloseReason how);

  int fd_ = -1;
  State state_ = State::connected;
  GSource* source_ = nullptr;
  void* fd_tag_ = nullptr;
  unsigned timer_ = 0;
  unsigned watched_events_ = 0;
  bool paused_ = false;
  bool close_after_flush_ = false;
  bool write_failed_ = false;  // something could not be sent; nothing is sent after it
  bool refused_ = false;
  std::shared_ptr<TcpConnection> self_while_flushing_;  // while it finishes
  std::string write_buffer_;
  std::size_t written_bytes_ = 0;
  Micros blocked_since_ = 0;  // since when bytes have waited; means something only while some do
  Callbacks callbacks_;
};

// A listening socket.
class Listener {
 public:
  using AcceptCallback = std::function<void(std::shared_ptr<TcpConnection>)>;
  ~Listener() { close(); }
  Result<void> open(std::string const& address, AcceptCallback on_accept);
  void close();
  bool is_open() const { return fd_ >= 0; }

 private:
  void accept_pending();
  void watch_socket();
  // Without descriptors nothing can be taken for a while; looking again at once would only keep the loop busy.
  void pause_accepting();
  int fd_ = -1;
  unsigned watch_ = 0;
  unsigned timer_ = 0;
  bool descriptor_shortage_logged_ = false;  // that was logged
  AcceptCallback on_accept_;
};

}  // namespace pipit
