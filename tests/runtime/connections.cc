// The mesh's sockets with peers that take nothing: what waits for them is bounded.
#include "runtime/mesh/connections.h"

#include <algorithm>

#include "base/ip.h"
#include "mesh/frame.h"
#include "tests/loopback.h"

namespace pipit {

namespace {
constexpr std::size_t frame_size = 256u << 10;
constexpr std::size_t one_peer_bound = (1u << 20) + frame_size;

// A peer that connects and never reads; little of what is sent to it fits into its socket.
class DeafPeer {
 public:
  explicit DeafPeer(std::string const& address) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    std::string host;
    std::uint16_t port = 0;
    split_address(address, host, port);
    int const small = 4096;
    EXPECT_EQ(::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &small, sizeof small), 0);
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    EXPECT_EQ(inet_pton(AF_INET, host.c_str(), &to.sin_addr), 1);
    EXPECT_EQ(::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
  }
  ~DeafPeer() { ::close(fd_); }
  DeafPeer(DeafPeer const&) = delete;
  DeafPeer& operator=(DeafPeer const&) = delete;

 private:
  int fd_;
};

class ConnectionsBacklog : public testing::Test {
 protected:
  ConnectionsBacklog()
      : connections({[this](ConnectionId id, bool, std::string const&) { open.push_back(id); },
                     [this](ConnectionId id) { std::erase(open, id); }, [](std::string const&, bool) {},
                     [](ConnectionId, std::string_view) { return true; }}),
        address(listen_on_free_port([this](std::string const& at) { return connections.listen(at); })) {}
  void connect(std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) peers.push_back(std::make_unique<DeafPeer>(address));
    ASSERT_TRUE(until([&] { return open.size() == count; }));
  }

  std::vector<ConnectionId> open;
  Connections connections;
  std::string const address;
  std::vector<std::unique_ptr<DeafPeer>> peers;
  std::string const frame = std::string(frame_size, 'x');
};
}  // namespace

TEST_F(ConnectionsBacklog, what_waits_for_one_peer_is_bounded_and_its_connection_is_dropped) {
  connect(1);
  std::size_t most = 0;
  for (int sends = 0; sends < 400 && !open.empty(); ++sends) {
    connections.send(open[0], frame);
    most = std::max(most, connections.backlog_bytes());
  }
  EXPECT_TRUE(open.empty()) << "the mesh is told, and dials again";
  EXPECT_LE(most, one_peer_bound);
  EXPECT_EQ(connections.backlog_bytes(), 0u);
}

TEST_F(ConnectionsBacklog, what_waits_for_all_peers_together_is_bounded) {
  constexpr std::size_t peer_count = 24;
  connect(peer_count);
  std::size_t most = 0;
  for (int round = 0; round < 40; ++round)
    for (ConnectionId const id : std::vector<ConnectionId>(open)) {
      if (std::find(open.begin(), open.end(), id) == open.end()) continue;
      // One frame more than waits already: none of them is over its own bound.
      if (connections.backlog_of(id) <= one_peer_bound - frame_size) connections.send(id, frame);
      most = std::max(most, connections.backlog_bytes());
    }
  EXPECT_LE(most, 2 * max_frame_bytes);
  EXPECT_GT(most, max_frame_bytes) << "the bound was come near to";
  EXPECT_LT(open.size(), peer_count);
  EXPECT_FALSE(open.empty()) << "only as many are dropped as must be";
}

TEST_F(ConnectionsBacklog, a_connection_that_is_closed_leaves_no_large_backlog_behind) {
  connect(1);
  ConnectionId const id = open[0];
  for (int sends = 0; sends < 400 && connections.backlog_of(id) < frame_size; ++sends) connections.send(id, frame);
  ASSERT_GE(connections.backlog_of(id), frame_size);
  connections.close(id);
  EXPECT_EQ(connections.backlog_bytes(), 0u);
}

}  // namespace pipit
