// The account of what a process holds for accepted connections, and which connection gives way.
#include "net/connection_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace pipit {

namespace {
constexpr std::size_t kib = 1024;

// A budget whose clients may hold 9,000,000 bytes on 40 connections.
class ConnectionBudgetTest : public testing::Test {
 protected:
  struct Client {
    std::unique_ptr<ConnectionAccount> account;
    bool gave_way = false;
  };

  Client& open(ListenerGroup group = ListenerGroup::clients) {
    clients.push_back(std::make_unique<Client>());
    Client* const client = clients.back().get();
    client->account = budget->open_account(group, ++now);
    if (client->account)
      client->account->give_way = [client] {
        client->gave_way = true;
        client->account.reset();
      };
    return *client;
  }
  std::size_t half() const { return budget->max_bytes(ListenerGroup::clients) / 2; }

  std::shared_ptr<ConnectionBudget> const budget =
      std::make_shared<ConnectionBudget>(ProcessLimits{.memory_bytes = 40000000, .descriptors = 300});
  std::vector<std::unique_ptr<Client>> clients;
  Micros now = 0;
};
}  // namespace

TEST_F(ConnectionBudgetTest, the_connection_without_progress_for_longest_gives_way) {
  Client& first = open();
  Client& second = open();
  Client& third = open();
  EXPECT_TRUE(first.account->hold_request(half() - 32 * kib));
  EXPECT_TRUE(second.account->hold_request(half() - 32 * kib));
  first.account->count_progress(16 * kib, ++now);
  EXPECT_TRUE(third.account->hold_request(64 * kib));
  EXPECT_FALSE(first.gave_way);
  EXPECT_TRUE(second.gave_way);
  EXPECT_EQ(budget->closed_for_memory, 1u);
}

TEST_F(ConnectionBudgetTest, single_bytes_are_no_progress) {
  Client& trickling = open();
  EXPECT_TRUE(trickling.account->hold_request(half()));
  Client& sending = open();
  EXPECT_TRUE(sending.account->hold_request(half() - 32 * kib));
  trickling.account->count_progress(1, ++now);
  Client& last = open();
  EXPECT_TRUE(last.account->hold_request(64 * kib));
  EXPECT_TRUE(trickling.gave_way);
  EXPECT_FALSE(sending.gave_way);
}

TEST_F(ConnectionBudgetTest, a_running_request_does_not_give_way_and_the_one_without_room_is_told_so) {
  Client& running = open();
  EXPECT_TRUE(running.account->hold_request(half()));
  EXPECT_TRUE(running.account->pin_request());
  Client& next = open();
  EXPECT_FALSE(next.account->hold_request(half() + 1));
  EXPECT_FALSE(running.gave_way);
  running.account->unpin_request();
  EXPECT_TRUE(next.account->hold_request(half() + 2));
  EXPECT_TRUE(running.gave_way);
}

TEST_F(ConnectionBudgetTest, large_running_requests_leave_a_quarter_to_others) {
  Client& large = open();
  EXPECT_TRUE(large.account->hold_request(half()));
  EXPECT_TRUE(large.account->pin_request());
  Client& second = open();
  EXPECT_TRUE(second.account->hold_request(half() * 3 / 4));
  EXPECT_FALSE(second.account->pin_request());
  EXPECT_TRUE(second.account->hold_request(64 * kib));
  EXPECT_TRUE(second.account->pin_request());
}

TEST_F(ConnectionBudgetTest, unsent_bytes_of_a_running_request_give_way) {
  Client& reader = open();
  EXPECT_TRUE(reader.account->hold_request(64 * kib));
  EXPECT_TRUE(reader.account->pin_request());
  EXPECT_TRUE(reader.account->hold_unsent(half(), ++now));
  Client& next = open();
  EXPECT_TRUE(next.account->hold_request(half() + 1));
  EXPECT_TRUE(reader.gave_way);
}

TEST_F(ConnectionBudgetTest, the_oldest_idle_connection_gives_way_to_a_new_one) {
  std::size_t const most = budget->max_connections(ListenerGroup::clients);
  for (std::size_t i = 0; i < most; ++i) open();
  clients.front()->account->begin_progress(++now);
  EXPECT_TRUE(open().account);
  EXPECT_FALSE(clients[0]->gave_way);
  EXPECT_TRUE(clients[1]->gave_way);
  EXPECT_EQ(budget->connections(ListenerGroup::clients), most);
  EXPECT_EQ(budget->closed_for_connections, 1u);
}

TEST_F(ConnectionBudgetTest, a_new_connection_is_refused_if_all_run_requests) {
  std::size_t const most = budget->max_connections(ListenerGroup::clients);
  for (std::size_t i = 0; i < most; ++i) EXPECT_TRUE(open().account->pin_request());
  EXPECT_FALSE(open().account);
}

TEST_F(ConnectionBudgetTest, groups_do_not_take_each_others_room) {
  Client& client = open();
  EXPECT_TRUE(client.account->hold_request(budget->max_bytes(ListenerGroup::clients) - 8 * kib));
  for (ListenerGroup const group : {ListenerGroup::control, ListenerGroup::mesh, ListenerGroup::monitoring})
    EXPECT_TRUE(open(group).account->hold_request(budget->max_bytes(group) - 8 * kib)) << name_of(group);
  EXPECT_FALSE(client.gave_way);
}

TEST_F(ConnectionBudgetTest, closed_accounts_hold_nothing) {
  Client& client = open();
  EXPECT_TRUE(client.account->hold_request(half()));
  EXPECT_TRUE(client.account->pin_request());
  client.account.reset();
  EXPECT_EQ(budget->held_bytes(ListenerGroup::clients), 0u);
  EXPECT_EQ(budget->connections(ListenerGroup::clients), 0u);
  EXPECT_GE(budget->peak_bytes(ListenerGroup::clients), half());
  EXPECT_TRUE(open().account->hold_request(2 * half() - 8 * kib));
}

// A legal body fits the smallest machine of the users (78 MB), and so does the largest frame of the mesh.
TEST(ConnectionBudget, fits_legal_requests_on_the_smallest_machine) {
  std::shared_ptr<ConnectionBudget> const smallest =
      std::make_shared<ConnectionBudget>(ProcessLimits{.memory_bytes = 78000000, .descriptors = 4100});
  EXPECT_GE(smallest->max_bytes(ListenerGroup::clients) * 3 / 4, std::size_t{5} << 20);
  EXPECT_GE(smallest->max_bytes(ListenerGroup::control), std::size_t{5} << 20);
  EXPECT_GE(smallest->max_bytes(ListenerGroup::mesh), (std::size_t{8} << 20) + 4);
  std::size_t sum = 0;
  for (std::size_t i = 0; i < listener_group_count; ++i) sum += smallest->max_bytes(static_cast<ListenerGroup>(i));
  EXPECT_LE(sum, 39000000u) << "half of the memory is left to everything else";
}

}  // namespace pipit
