// Tests of the fault relay between the machines of the soak test. Guards against a fault that has no effect: the soak
// test would then pass without having tested it.
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

// An echo server behind the relay, and a client that connects to it through the relay.
class FaultRelayTest : public testing::Test {
 protected:
  FaultRelayTest() {
    upstream_address = open_door([this](std::string const& at) {
      return door.open(at, [this](std::shared_ptr<TcpConnection> link) {
        TcpConnection* const echo = link.get();
        link->set_callbacks({nullptr,
                             [this, echo](std::string_view bytes) {
                               arrived.append(bytes);
                               echo->write(bytes);
                             },
                             nullptr, nullptr});
        accepted.push_back(std::move(link));
      });
    });
    public_address = free_address();
    relay.open(public_address, upstream_address);
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
    fault.applies_to = any;
    fault.until = g_get_monotonic_time() + span;
    fault.delay = span;
    relay.add_fault(std::move(fault));
  }

  FaultRelay relay{1, [](std::string const& ip) { return ip; }};
  Listener door;
  std::string upstream_address;
  std::string public_address;
  std::vector<std::shared_ptr<TcpConnection>> accepted;
  std::string arrived;   // at the echo server
  std::string answered;  // at the client
  bool up = false;
  std::optional<TcpConnection::CloseReason> ended;
};
}  // namespace

TEST_F(FaultRelayTest, carries_bytes_both_ways_and_the_end) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("hello");
  EXPECT_TRUE(until([this] { return answered == "hello"; }));
  accepted.front()->close();
  EXPECT_TRUE(until([this] { return ended == TcpConnection::CloseReason::closed; }));
}

TEST_F(FaultRelayTest, a_cut_delays_bytes_and_connections_until_it_ends) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("before");
  ASSERT_TRUE(until([this] { return answered == "before"; }));
  Micros const began = g_get_monotonic_time();
  begin(LinkFault::Kind::cut, millis(300));
  link->write("during");
  std::shared_ptr<TcpConnection> const other = dial();
  EXPECT_TRUE(until([this] { return arrived == "beforeduring" && accepted.size() == 2; }));
  EXPECT_GE(g_get_monotonic_time() - began, millis(300));
}

TEST_F(FaultRelayTest, a_one_way_cut_leaves_the_other_direction_open) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("x");
  ASSERT_TRUE(until([this] { return answered == "x"; }));
  Micros const began = g_get_monotonic_time();
  LinkFault fault;
  fault.applies_to = [](std::string const& from, std::string const&) { return from == machine; };
  fault.until = began + millis(300);
  relay.add_fault(std::move(fault));
  link->write("y");
  EXPECT_TRUE(until([this] { return arrived == "xy"; }));
  EXPECT_LT(g_get_monotonic_time(), began + millis(300)) << "the direction to the server is open";
  EXPECT_TRUE(until([this] { return answered == "xy"; }));
  EXPECT_GE(g_get_monotonic_time() - began, millis(300)) << "the direction back to the client was cut";
}

TEST_F(FaultRelayTest, a_fault_of_another_port_has_no_effect) {
  std::shared_ptr<TcpConnection> const link = connected();
  LinkFault fault;
  fault.applies_to = any;
  fault.until = g_get_monotonic_time() + seconds(60);
  fault.port = 1;
  relay.add_fault(std::move(fault));
  link->write("x");
  EXPECT_TRUE(until([this] { return answered == "x"; }));
}

TEST_F(FaultRelayTest, a_delay_fault_delays_bytes) {
  std::shared_ptr<TcpConnection> const link = connected();
  Micros const began = g_get_monotonic_time();
  begin(LinkFault::Kind::delay, millis(150));
  link->write("late");
  EXPECT_TRUE(until([this] { return arrived == "late"; }));
  EXPECT_GE(g_get_monotonic_time() - began, millis(150));
}

TEST_F(FaultRelayTest, a_swallowed_answer_leaves_its_connection_open) {
  begin(LinkFault::Kind::swallow, seconds(60));
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("asked");
  EXPECT_TRUE(until([this] { return arrived == "asked"; }));
  accepted.front()->close();
  settle();
  EXPECT_EQ(answered, "");
  EXPECT_FALSE(ended);
  EXPECT_EQ(relay.swallowed, 1u);
}

TEST_F(FaultRelayTest, connections_are_reset_and_closed_listeners_refuse) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("x");
  ASSERT_TRUE(until([this] { return answered == "x"; }));
  relay.reset(any, 1);
  EXPECT_TRUE(until([this] { return ended == TcpConnection::CloseReason::reset; }));
  EXPECT_EQ(relay.resets, 1u);
  relay.close_listeners(machine);
  ended.reset();
  std::shared_ptr<TcpConnection> const refused = dial();
  EXPECT_TRUE(
      until([this, &refused] { return ended == TcpConnection::CloseReason::connect_failed || !refused->open(); }));
}

}  // namespace pipit::platform_fleet
