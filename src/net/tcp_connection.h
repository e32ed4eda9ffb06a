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

class Link : public std::enable_shared_from_this<Link> {
 public:
  enum class End : std::uint8_t { closed, reset, unreached };
  struct Callbacks {
    std::function<void()> up;                     // a dialled connection is open
    std::function<void(std::string_view)> bytes;  // what came; any call may shut the link
    std::function<void(End)> shut;                // said once, never after close()
    std::function<void()> drained;                // what waited to be written has been taken by the system
  };
  // An accepted socket, non-blocking; the link owns it from now on.
  static std::shared_ptr<Link> adopt(int fd);
  // Dials an IP number with a port from 'from' (an IP number, or empty). 'within' bounds the opening alone, in
  // microseconds. Nothing was sent when it ends as unreached.
  static std::shared_ptr<Link> dial(std::string const& address, std::string const& from, Micros within);
  // A socket that is being opened, non-blocking; the link owns it from now on.
  static std::shared_ptr<Link> opening(int fd, Micros within);
  ~Link();

  void listen(Callbacks callbacks) { callbacks_ = std::move(callbacks); }
  // Sends at once what the system takes; the rest goes when it can.
  void write(std::string_view bytes);
  std::size_t waiting() const { return out_.size() - sent_bytes_; }
  // How long bytes have waited to be written without a pause; 0 when none wait.
  Micros blocked_for(Micros now) const { return waiting() == 0 ? 0 : now - blocked_since_; }
  // Nothing is read while held; the peer feels it.
  void pause_reading(bool paused);
  // Closes without a callback. A reset tells the peer that what it got is not whole.
  void close(bool reset = false);
  // Closes once everything written has been taken, whoever still holds the link; the peer has a while for that.
  void finish();
  bool open() const { return fd_ >= 0; }
  // Whether somebody said no when it was dialled: no process listens there.
  bool refused() const { return refused_; }
  bool connected() const { return state_ == State::up; }
  // The IP number of the other end; empty once the connection is no more.
  std::string peer_ip() const;
  // Open, and nothing has come that is still to be read, not even its end.
  bool quiet() const;
  // Whether the peer has ended it and only its end is still to be read.
  bool ended_by_peer() const;

 private:
  enum class State : std::uint8_t { dialling, up, shut };
  struct Watch;
  Link() = default;
  void watch();
  void want();
  void ready(unsigned conditions);
  void read_some();
  void flush();
  void lose();
  void end(End how);

  int fd_ = -1;
  State state_ = State::up;
  GSource* source_ = nullptr;
  void* tag_ = nullptr;
  unsigned timer_ = 0;
  unsigned asked_ = 0;
  bool paused_ = false;
  bool last_ = false;
  bool lost_ = false;  // something could not be sent; nothing is sent after it
  bool refused_ = false;
  std::shared_ptr<Link> own_;  // while it finishes
  std::string out_;
  std::size_t sent_bytes_ = 0;
  Micros blocked_since_ = 0;  // since when bytes have waited; means something only while some do
  Callbacks callbacks_;
};

// A listening socket.
class Door {
 public:
  using Taken = std::function<void(std::shared_ptr<Link>)>;
  ~Door() { close(); }
  Result<void> open(std::string const& address, Taken taken);
  void close();
  bool is_open() const { return fd_ >= 0; }

 private:
  void accept_some();
  void listen_on();
  // Without descriptors nothing can be taken for a while; looking again at once would only keep the loop busy.
  void rest();
  int fd_ = -1;
  unsigned watch_ = 0;
  unsigned timer_ = 0;
  bool short_of_descriptors_ = false;  // that was logged
  Taken taken_;
};

}  // namespace pipit
