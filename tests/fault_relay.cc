// The relay between machines of the soak: a trouble that it does not bring about is a trouble that nothing was tested
// under.
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "testing/platform_fleet_test/fault_proxy.h"
#include "tests/loopback.h"

namespace pipit::platform_fleet {

namespace {
constexpr char caller[] = "127.0.0.2";
constexpr char machine[] = "127.0.0.1";

bool any(std::string const&, std::string const&) { return true; }

// A machine behind the relay that sends back what it gets, and one that talks to it.
class Relayed : public testing::Test {
 protected:
  Relayed() {
    door_address = listen_on_free_port([this](std::string const& at) {
      return door.open(at, [this](std::shared_ptr<TcpConnection> link) {
        TcpConnection* const echo = link.get();
        link->set_callbacks({nullptr,
                             [this, echo](std::string_view bytes) {
                               arrived.append(bytes);
                               echo->write(bytes);
                             },
                             nullptr, nullptr});
        taken.push_back(std::move(link));
      });
    });
    public_address = free_address();
    relay.open(public_address, door_address);
  }

  std::shared_ptr<TcpConnection> dial() {
    std::shared_ptr<TcpConnection> const link = TcpConnection::dial(public_address, caller, seconds(5));
    link->set_callbacks({[this] { up = true; }, [this](std::string_view bytes) { answered.append(bytes); },
                         [this](TcpConnection::CloseReason how) { ended = how; }, nullptr});
    return link;
  }
  std::shared_ptr<TcpConnection> connected() {
    std::shared_ptr<TcpConnection> const link = dial();
    EXPECT_TRUE(until([this] { return up; }));
    return link;
  }
  void begin(LinkFault::Kind kind, Micros span) {
    LinkFault fault;
    fault.kind = kind;
    fault.concerns = any;
    fault.until = g_get_monotonic_time() + span;
    fault.span = span;
    relay.begin(std::move(fault));
  }

  FaultRelay relay{1, [](std::string const& ip) { return ip; }};
  Listener door;
  std::string door_address;
  std::string public_address;
  std::vector<std::shared_ptr<TcpConnection>> taken;
  std::string arrived;   // at the machine behind the relay
  std::string answered;  // at the one that dialled
  bool up = false;
  std::optional<TcpConnection::CloseReason> ended;
};
}  // namespace

TEST_F(Relayed, carries_bytes_both_ways_and_the_end) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("hello");
  EXPECT_TRUE(until([this] { return answered == "hello"; }));
  taken.front()->close();
  EXPECT_TRUE(until([this] { return ended == TcpConnection::CloseReason::closed; }));
}

TEST_F(Relayed, a_cut_holds_bytes_and_connections_until_its_end) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("before");
  ASSERT_TRUE(until([this] { return answered == "before"; }));
  Micros const began = g_get_monotonic_time();
  begin(LinkFault::Kind::cut, millis(300));
  link->write("during");
  std::shared_ptr<TcpConnection> const other = dial();
  EXPECT_TRUE(until([this] { return arrived == "beforeduring" && taken.size() == 2; }));
  EXPECT_GE(g_get_monotonic_time() - began, millis(300));
}

TEST_F(Relayed, a_cut_of_one_way_lets_the_other_through) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("x");
  ASSERT_TRUE(until([this] { return answered == "x"; }));
  Micros const began = g_get_monotonic_time();
  LinkFault fault;
  fault.concerns = [](std::string const& from, std::string const&) { return from == machine; };
  fault.until = began + millis(300);
  relay.begin(std::move(fault));
  link->write("y");
  EXPECT_TRUE(until([this] { return arrived == "xy"; }));
  EXPECT_LT(g_get_monotonic_time(), began + millis(300)) << "the way there is open";
  EXPECT_TRUE(until([this] { return answered == "xy"; }));
  EXPECT_GE(g_get_monotonic_time() - began, millis(300)) << "the way back was cut";
}

TEST_F(Relayed, a_fault_of_another_door_concerns_nobody) {
  std::shared_ptr<TcpConnection> const link = connected();
  LinkFault fault;
  fault.concerns = any;
  fault.until = g_get_monotonic_time() + seconds(60);
  fault.port = 1;
  relay.begin(std::move(fault));
  link->write("x");
  EXPECT_TRUE(until([this] { return answered == "x"; }));
}

TEST_F(Relayed, a_delay_makes_bytes_late) {
  std::shared_ptr<TcpConnection> const link = connected();
  Micros const began = g_get_monotonic_time();
  begin(LinkFault::Kind::delay, millis(150));
  link->write("late");
  EXPECT_TRUE(until([this] { return arrived == "late"; }));
  EXPECT_GE(g_get_monotonic_time() - began, millis(150));
}

TEST_F(Relayed, a_swallowed_answer_leaves_its_connection_open) {
  begin(LinkFault::Kind::swallow, seconds(60));
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("asked");
  EXPECT_TRUE(until([this] { return arrived == "asked"; }));
  taken.front()->close();
  settle();
  EXPECT_EQ(answered, "");
  EXPECT_FALSE(ended);
  EXPECT_EQ(relay.swallowed, 1u);
}

TEST_F(Relayed, connections_are_reset_and_shut_doors_refuse) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("x");
  ASSERT_TRUE(until([this] { return answered == "x"; }));
  relay.reset(any, 1);
  EXPECT_TRUE(until([this] { return ended == TcpConnection::CloseReason::reset; }));
  EXPECT_EQ(relay.resets, 1u);
  relay.shut(machine);
  ended.reset();
  std::shared_ptr<TcpConnection> const refused = dial();
  EXPECT_TRUE(
      until([this, &refused] { return ended == TcpConnection::CloseReason::connect_failed || !refused->open(); }));
}

}  // namespace pipit::platform_fleet
