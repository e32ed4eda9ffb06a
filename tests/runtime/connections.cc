// Limits of the mesh's backlog for peers that do not read.
#include "runtime/mesh/connections.h"

#include <algorithm>

#include "base/ip.h"
#include "mesh/frame.h"
#include "tests/loopback.h"

namespace pipit {

namespace {
constexpr std::size_t frame_size = 256u << 10;
constexpr std::size_t one_peer_bound = (1u << 20) + frame_size;

// A peer that connects and never reads, with a small receive buffer.
class NonReadingPeer {
 public:
  explicit NonReadingPeer(std::string const& address) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    std::string host;
    std::uint16_t port = 0;
    split_address(address, host, port);
    int const receive_buffer_bytes = 4096;
    EXPECT_EQ(::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes), 0);
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    EXPECT_EQ(inet_pton(AF_INET, host.c_str(), &to.sin_addr), 1);
    EXPECT_EQ(::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
  }
  ~NonReadingPeer() { ::close(fd_); }
  NonReadingPeer(NonReadingPeer const&) = delete;
  NonReadingPeer& operator=(NonReadingPeer const&) = delete;

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
    for (std::size_t n = 0; n < count; ++n) peers.push_back(std::make_unique<NonReadingPeer>(address));
    ASSERT_TRUE(until([&] { return open.size() == count; }));
  }

  std::vector<ConnectionId> open;
  Connections connections;
  std::string const address;
  std::vector<std::unique_ptr<NonReadingPeer>> peers;
  std::string const frame = std::string(frame_size, 'x');
};
}  // namespace

TEST_F(ConnectionsBacklog, backlog_of_one_peer_is_bounded_and_its_connection_is_closed) {
  connect(1);
  std::size_t most = 0;
  for (int sends = 0; sends < 400 && !open.empty(); ++sends) {
    connections.send(open[0], frame);
    most = std::max(most, connections.backlog_bytes());
  }
  EXPECT_TRUE(open.empty()) << "the mesh must be notified of the closed connection, to dial again";
  EXPECT_LE(most, one_peer_bound);
  EXPECT_EQ(connections.backlog_bytes(), 0u);
}

TEST_F(ConnectionsBacklog, total_backlog_of_all_peers_is_bounded) {
  constexpr std::size_t peer_count = 24;
  connect(peer_count);
  std::size_t most = 0;
  for (int round = 0; round < 40; ++round)
    for (ConnectionId const id : std::vector<ConnectionId>(open)) {
      if (std::find(open.begin(), open.end(), id) == open.end()) continue;
      // Sends only where the backlog stays within the limit of one peer.
      if (connections.backlog_of(id) <= one_peer_bound - frame_size) connections.send(id, frame);
      most = std::max(most, connections.backlog_bytes());
    }
  EXPECT_LE(most, 2 * max_frame_bytes);
  EXPECT_GT(most, max_frame_bytes) << "the test must come near the limit";
  EXPECT_LT(open.size(), peer_count);
  EXPECT_FALSE(open.empty()) << "no more connections than necessary may be closed";
}

TEST_F(ConnectionsBacklog, closed_connection_leaves_no_large_backlog) {
  connect(1);
  ConnectionId const id = open[0];
  for (int sends = 0; sends < 400 && connections.backlog_of(id) < frame_size; ++sends) connections.send(id, frame);
  ASSERT_GE(connections.backlog_of(id), frame_size);
  connections.close(id);
  EXPECT_EQ(connections.backlog_bytes(), 0u);
}

}  // namespace pipit
