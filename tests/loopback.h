// Loopback connections for tests, on a main loop that the test iterates itself.
#pragma once
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>

#include "net/tcp_connection.h"

namespace pipit {

// Iterates the main loop until the condition holds, for at most 20 seconds; returns whether it holds.
inline bool until(std::function<bool()> const& holds) {
  bool timed_out = false;
  guint const watchdog = g_timeout_add_seconds(
      20,
      [](gpointer data) -> gboolean {
        *static_cast<bool*>(data) = true;
        return G_SOURCE_CONTINUE;
      },
      &timed_out);
  while (!timed_out && !holds()) g_main_context_iteration(nullptr, TRUE);
  g_source_remove(watchdog);
  return holds();
}
// Handles the events that are ready, without waiting for others; at most 1000 iterations.
inline void settle() {
  for (int turns = 0; turns < 1000 && g_main_context_iteration(nullptr, FALSE); ++turns) {
  }
}

// Returns 127.0.0.1 with a port that is free at present; another process may take it before it is used.
inline std::string free_address() {
  int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in own = {};
  own.sin_family = AF_INET;
  own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof own;
  EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof own), 0);
  EXPECT_EQ(::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size), 0);
  ::close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
}
// Calls 'listen' with free addresses until it succeeds; returns the address.
inline std::string listen_on_free_port(std::function<Result<void>(std::string const&)> const& listen) {
  for (int tries = 0; tries < 20; ++tries) {
    std::string const address = free_address();
    if (listen(address)) return address;
  }
  ADD_FAILURE() << "no free port";
  return "";
}

// A connection that records what it receives and how it ended.
struct LoopbackStream {
  std::shared_ptr<TcpConnection> link;
  std::string received;
  bool connected = false;
  bool closed = false;
  TcpConnection::CloseReason end = TcpConnection::CloseReason::closed;

  void watch() {
    link->set_callbacks({[this] { connected = true; }, [this](std::string_view bytes) { received.append(bytes); },
                         [this](TcpConnection::CloseReason end_) {
                           closed = true;
                           end = end_;
                         },
                         nullptr});
  }
  explicit LoopbackStream(std::shared_ptr<TcpConnection> link_) : link(std::move(link_)), connected(true) { watch(); }
  explicit LoopbackStream(std::string const& address) : link(TcpConnection::dial(address, "", seconds(10))) {
    watch();
    EXPECT_TRUE(until([this] { return connected || closed; }));
  }
  ~LoopbackStream() { link->close(); }
  LoopbackStream(LoopbackStream const&) = delete;
  void send(std::string_view bytes) { link->write(bytes); }
};

// Number of occurrences of 'what' that do not overlap.
inline std::size_t count_of(std::string const& text, std::string const& what) {
  std::size_t n = 0;
  for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + what.size())) ++n;
  return n;
}

}  // namespace pipit
