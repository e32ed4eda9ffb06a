// A listening socket when the process has no descriptors left.
#include <gtest/gtest.h>

#include <sys/resource.h>

#include <vector>

#include "net/link.h"
#include "tests/loopback.h"

namespace pipit {

namespace {
constexpr int turns_most = 200;  // of the loop, for what can be done without waiting

// Takes every descriptor that the process may still have, and gives them back.
class NoDescriptors {
 public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before);
    int const next = ::dup(0);
    ::close(next);
    rlimit few = before;
    few.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &few);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before); }

 private:
  rlimit before = {};
};

// How many turns the loop takes until it has nothing to do without waiting.
int busy_turns() {
  int turns = 0;
  while (turns < turns_most && g_main_context_iteration(nullptr, FALSE)) ++turns;
  return turns;
}
}  // namespace

TEST(Doors, wait_a_moment_when_no_descriptor_is_left) {
  std::vector<std::shared_ptr<Link>> taken;
  Door door;
  std::string const address = listen_on_free_port([&](std::string const& at) {
    return door.open(at, [&taken](std::shared_ptr<Link> link) { taken.push_back(std::move(link)); });
  });
  std::vector<std::shared_ptr<Link>> callers;
  for (int n = 0; n < 3; ++n) callers.push_back(Link::dial(address, "", seconds(5)));
  {
    NoDescriptors none;
    EXPECT_LT(busy_turns(), turns_most) << "the loop runs at full speed for connections that it cannot take";
    EXPECT_TRUE(taken.empty());
  }
  EXPECT_TRUE(until([&taken] { return taken.size() == 3; })) << "they are taken once there are descriptors again";
}

}  // namespace pipit
