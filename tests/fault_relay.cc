// Tests of the fault relay between the machines of the soak test. Guards against a fault that has no effect: the soak
// test would then pass without having tested it.
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "testing/platform_fleet_test/fault_relay.h"
#include "tests/loopback.h"

namespace pipit::platform_fleet {

namespace {
constexpr char client_ip[] = "127.0.0.2";
constexpr char server_ip[] = "127.0.0.1";

bool any_link(std::string const&, std::string const&) { return true; }

// An echo server behind the relay, and a client that connects to it through the relay.
class FaultRelayTest : public testing::Test {
 protected:
  FaultRelayTest() {
    upstream_address = listen_on_free_port([this](std::string const& at) {
      return server.open(at, [this](std::shared_ptr<TcpConnection> link) {
        TcpConnection* const echo = link.get();
        link->set_callbacks({nullptr,
                             [this, echo](std::string_view bytes) {
                               received_by_server.append(bytes);
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
    std::shared_ptr<TcpConnection> const link = TcpConnection::dial(public_address, client_ip, seconds(5));
    link->set_callbacks({[this] { is_connected = true; },
                         [this](std::string_view bytes) { received_by_client.append(bytes); },
                         [this](TcpConnection::CloseReason reason) { close_reason = reason; }, nullptr});
    return link;
  }
  std::shared_ptr<TcpConnection> connected() {
    std::shared_ptr<TcpConnection> const link = dial();
    EXPECT_TRUE(until([this] { return is_connected; }));
    return link;
  }
  void begin(LinkFault::Kind kind, Micros span) {
    LinkFault fault;
    fault.kind = kind;
    fault.applies_to = any_link;
    fault.until = g_get_monotonic_time() + span;
    fault.delay = span;
    relay.add_fault(std::move(fault));
  }

  FaultRelay relay{1, [](std::string const& ip) { return ip; }};
  Listener server;
  std::string upstream_address;
  std::string public_address;
  std::vector<std::shared_ptr<TcpConnection>> accepted;
  std::string received_by_server;
  std::string received_by_client;
  bool is_connected = false;
  std::optional<TcpConnection::CloseReason> close_reason;
};
}  // namespace

TEST_F(FaultRelayTest, carries_bytes_both_ways_and_the_end) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("hello");
  EXPECT_TRUE(until([this] { return received_by_client == "hello"; }));
  accepted.front()->close();
  EXPECT_TRUE(until([this] { return close_reason == TcpConnection::CloseReason::closed; }));
}

TEST_F(FaultRelayTest, a_cut_delays_bytes_and_connections_until_it_ends) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("before");
  ASSERT_TRUE(until([this] { return received_by_client == "before"; }));
  Micros const began = g_get_monotonic_time();
  begin(LinkFault::Kind::cut, millis(300));
  link->write("during");
  std::shared_ptr<TcpConnection> const other = dial();
  EXPECT_TRUE(until([this] { return received_by_server == "beforeduring" && accepted.size() == 2; }));
  EXPECT_GE(g_get_monotonic_time() - began, millis(300));
}

TEST_F(FaultRelayTest, a_one_way_cut_leaves_the_other_direction_open) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("x");
  ASSERT_TRUE(until([this] { return received_by_client == "x"; }));
  Micros const began = g_get_monotonic_time();
  LinkFault fault;
  fault.applies_to = [](std::string const& from, std::string const&) { return from == server_ip; };
  fault.until = began + millis(300);
  relay.add_fault(std::move(fault));
  link->write("y");
  EXPECT_TRUE(until([this] { return received_by_server == "xy"; }));
  EXPECT_LT(g_get_monotonic_time(), began + millis(300)) << "the direction to the server is open";
  EXPECT_TRUE(until([this] { return received_by_client == "xy"; }));
  EXPECT_GE(g_get_monotonic_time() - began, millis(300)) << "the direction back to the client was cut";
}

TEST_F(FaultRelayTest, a_fault_of_another_port_has_no_effect) {
  std::shared_ptr<TcpConnection> const link = connected();
  LinkFault fault;
  fault.applies_to = any_link;
  fault.until = g_get_monotonic_time() + seconds(60);
  fault.port = 1;
  relay.add_fault(std::move(fault));
  link->write("x");
  EXPECT_TRUE(until([this] { return received_by_client == "x"; }));
}

TEST_F(FaultRelayTest, a_delay_fault_delays_bytes) {
  std::shared_ptr<TcpConnection> const link = connected();
  Micros const began = g_get_monotonic_time();
  begin(LinkFault::Kind::delay, millis(150));
  link->write("late");
  EXPECT_TRUE(until([this] { return received_by_server == "late"; }));
  EXPECT_GE(g_get_monotonic_time() - began, millis(150));
}

TEST_F(FaultRelayTest, a_swallowed_answer_leaves_its_connection_open) {
  begin(LinkFault::Kind::swallow, seconds(60));
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("asked");
  EXPECT_TRUE(until([this] { return received_by_server == "asked"; }));
  accepted.front()->close();
  settle();
  relay.handle_received();
  settle();
  EXPECT_EQ(received_by_client, "");
  EXPECT_FALSE(close_reason);
  EXPECT_EQ(relay.swallowed, 1u);
}

TEST_F(FaultRelayTest, connections_are_reset_and_closed_listeners_refuse) {
  std::shared_ptr<TcpConnection> const link = connected();
  link->write("x");
  ASSERT_TRUE(until([this] { return received_by_client == "x"; }));
  relay.reset(any_link, 1);
  EXPECT_TRUE(until([this] { return close_reason == TcpConnection::CloseReason::reset; }));
  EXPECT_EQ(relay.resets, 1u);
  relay.close_listeners(server_ip);
  close_reason.reset();
  std::shared_ptr<TcpConnection> const refused = dial();
  EXPECT_TRUE(until(
      [this, &refused] { return close_reason == TcpConnection::CloseReason::connect_failed || !refused->open(); }));
}

}  // namespace pipit::platform_fleet
