// A listening socket when the process has no descriptors left.
#include <gtest/gtest.h>

#include <sys/resource.h>

#include <vector>

#include "net/tcp_connection.h"
#include "tests/loopback.h"

namespace pipit {

namespace {
constexpr int max_turns = 200;  // limit of main loop iterations without waiting

// Lowers the limit of open files so that the process can open no more, and restores it on destruction.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    getrlimit(RLIMIT_NOFILE, &previous_limit);
    int const next = ::dup(0);
    ::close(next);
    rlimit limit = previous_limit;
    limit.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~DescriptorExhaustion() { setrlimit(RLIMIT_NOFILE, &previous_limit); }

 private:
  rlimit previous_limit = {};
};

// Number of main loop iterations until no event is ready; at most max_turns.
int turns_until_idle() {
  int turns = 0;
  while (turns < max_turns && g_main_context_iteration(nullptr, FALSE)) ++turns;
  return turns;
}
}  // namespace

TEST(Listener, pauses_accepting_when_no_descriptor_is_left) {
  std::vector<std::shared_ptr<TcpConnection>> accepted;
  Listener listener;
  std::string const address = listen_on_free_port([&](std::string const& at) {
    return listener.open(at, [&accepted](std::shared_ptr<TcpConnection> link) { accepted.push_back(std::move(link)); });
  });
  std::vector<std::shared_ptr<TcpConnection>> clients;
  for (int n = 0; n < 3; ++n) clients.push_back(TcpConnection::dial(address, "", seconds(5)));
  {
    DescriptorExhaustion exhaustion;
    EXPECT_LT(turns_until_idle(), max_turns) << "the loop must not spin on connections that it cannot accept";
    EXPECT_TRUE(accepted.empty());
  }
  EXPECT_TRUE(until([&accepted] { return accepted.size() == 3; }))
      << "the connections are accepted when descriptors are free again";
}

}  // namespace pipit
