// Registry of workers: heartbeats, silence timeouts, deregistration, suspicion and reports of peers (§12.3).
#include <gtest/gtest.h>

#include <algorithm>

#include "routing/registry/registry.h"

namespace pipit {

namespace {
constexpr Micros heartbeat_interval = millis(1000);

Heartbeat heartbeat_of(std::string const& id, std::uint64_t order, bool leaving = false) {
  Heartbeat out;
  out.id = id;
  out.address = "127.0.0.1:9000";
  out.zone = "a";
  out.pool = "p";
  out.slots = 8;
  out.order = order;
  out.leaving = leaving;
  return out;
}

wire::EntryT entry_of(std::string const& id, std::uint64_t order, WorkerState state, std::string const& owner) {
  wire::EntryT out;
  out.key = id;
  out.owner = owner;
  out.incarnation = order;
  out.address = "127.0.0.1:9000";
  out.zone = "a";
  out.pool = "p";
  out.slots = 8;
  out.state = static_cast<std::uint8_t>(state);
  return out;
}

WorkerState state_of(Registry& registry, std::string const& id) {
  Instance const* const item = registry.find(id);
  return item == nullptr ? WorkerState::ended : item->state;
}

class RegistryTest : public testing::Test {
 protected:
  RegistryTest() { registry.set_heartbeat_interval(heartbeat_interval); }
  Registry registry{"n1"};
};
}  // namespace

TEST_F(RegistryTest, heartbeat_returns_an_entry_only_for_new_data) {
  std::optional<wire::EntryT> const first = registry.heartbeat(heartbeat_of("w", 1), 0);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->key, "w");
  EXPECT_EQ(first->state, static_cast<std::uint8_t>(WorkerState::serving));
  EXPECT_EQ(first->slots, 8u);
  EXPECT_FALSE(registry.heartbeat(heartbeat_of("w", 2), heartbeat_interval));
  Heartbeat moved = heartbeat_of("w", 3);
  moved.address = "127.0.0.1:9001";
  std::optional<wire::EntryT> const second = registry.heartbeat(moved, 2 * heartbeat_interval);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->address, moved.address);
  Heartbeat wider = moved;
  wider.order = 4;
  wider.slots = 9;
  EXPECT_TRUE(registry.heartbeat(wider, 3 * heartbeat_interval));
}

TEST_F(RegistryTest, delayed_heartbeat_is_ignored) {
  registry.heartbeat(heartbeat_of("w", 5), 0);
  Heartbeat late = heartbeat_of("w", 4, true);
  late.address = "127.0.0.1:1";
  EXPECT_FALSE(registry.heartbeat(late, 10));
  EXPECT_EQ(registry.find("w")->address, "127.0.0.1:9000");
  EXPECT_EQ(registry.find("w")->state, WorkerState::serving);
  EXPECT_EQ(registry.find("w")->order, 5u);
  EXPECT_EQ(registry.find("w")->last_heartbeat, 0);
}

TEST_F(RegistryTest, draining_is_not_revoked_by_a_heartbeat) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  EXPECT_TRUE(registry.heartbeat(heartbeat_of("w", 2, true), 10));
  EXPECT_EQ(state_of(registry, "w"), WorkerState::draining);
  EXPECT_FALSE(registry.find("w")->accepts_requests());
  registry.heartbeat(heartbeat_of("w", 3), 20);
  EXPECT_EQ(state_of(registry, "w"), WorkerState::draining);
}

TEST_F(RegistryTest, draining_is_not_revoked_by_a_peer_that_missed_it) {
  registry.heartbeat(heartbeat_of("w", 2, true), 0);
  // The peer took a later heartbeat and didn't know that the worker is leaving.
  std::optional<wire::EntryT> const answer = registry.take_entry(entry_of("w", 3, WorkerState::serving, "n2"), 10);
  EXPECT_EQ(state_of(registry, "w"), WorkerState::draining);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->state, static_cast<std::uint8_t>(WorkerState::draining));
}

TEST_F(RegistryTest, heartbeats_are_ignored_after_deregistration) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  std::optional<wire::EntryT> const deregistration = registry.leave("w", 2, 10);
  ASSERT_TRUE(deregistration);
  EXPECT_EQ(deregistration->state, static_cast<std::uint8_t>(WorkerState::ended));
  EXPECT_EQ(std::count(registry.ended_workers.begin(), registry.ended_workers.end(), "w"), 1);
  EXPECT_FALSE(registry.heartbeat(heartbeat_of("w", 3), 20));
  EXPECT_EQ(state_of(registry, "w"), WorkerState::ended);
  EXPECT_FALSE(registry.leave("nobody", 1, 20));
  // The same at a peer that has received the entry, in either order.
  Registry peer("n2");
  peer.heartbeat(heartbeat_of("w", 1), 0);
  EXPECT_FALSE(peer.take_entry(*deregistration, 30));
  EXPECT_FALSE(peer.heartbeat(heartbeat_of("w", 3), 40));
  EXPECT_EQ(state_of(peer, "w"), WorkerState::ended);
}

// Guards against a late heartbeat that brings a worker back after its deregistration: of a worker's numbers is known
// only that they rise, and a deregistration may have none.
TEST_F(RegistryTest, deregistration_is_final_whatever_numbers_the_worker_uses) {
  std::uint64_t const clock = 1700000000000000;  // microseconds
  std::uint64_t const largest = UINT64_MAX;
  registry.heartbeat(heartbeat_of("w", clock), 0);
  std::optional<wire::EntryT> const deregistration = registry.leave("w", 0, 10);
  ASSERT_TRUE(deregistration);
  Registry peer("n2");
  peer.heartbeat(heartbeat_of("w", clock), 0);
  Registry newcomer("n3");
  for (Registry* const node : {&peer, &newcomer}) EXPECT_FALSE(node->take_entry(*deregistration, 20));
  for (std::uint64_t const order : {clock + 1200000, largest})
    for (Registry* const node : {&registry, &peer, &newcomer})
      for (bool const leaving : {false, true}) {
        EXPECT_FALSE(node->heartbeat(heartbeat_of("w", order, leaving), 30));
        EXPECT_EQ(state_of(*node, "w"), WorkerState::ended) << order;
        std::optional<wire::EntryT> const answer =
            node->take_entry(entry_of("w", order, WorkerState::serving, "n4"), 40);
        ASSERT_TRUE(answer) << "a peer that missed the deregistration learns of it";
        EXPECT_EQ(answer->state, static_cast<std::uint8_t>(WorkerState::ended));
        EXPECT_EQ(state_of(*node, "w"), WorkerState::ended) << order;
      }
}

// A node of an older build compares the number of an entry with that of a heartbeat.
TEST_F(RegistryTest, deregistration_has_a_number_above_those_of_workers) {
  registry.heartbeat(heartbeat_of("w", 1ull << 62), 0);
  EXPECT_GT(registry.leave("w", 0, 10)->incarnation, 1ull << 63);
  std::optional<wire::EntryT> const again = registry.leave("w", 0, 20);
  ASSERT_TRUE(again);
  EXPECT_LT(again->incarnation, UINT64_MAX - 1000000 * 1000ull) << "an older build adds to it at each repeated call";
}

TEST_F(RegistryTest, end_by_silence_does_not_revoke_draining) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  registry.heartbeat(heartbeat_of("w", 2, true), 10);
  EXPECT_EQ(registry.end_silent_workers(4 * heartbeat_interval).size(), 1u);
  registry.heartbeat(heartbeat_of("w", 3), 5 * heartbeat_interval);
  EXPECT_NE(state_of(registry, "w"), WorkerState::serving);
  EXPECT_TRUE(registry.take_entry(entry_of("w", 4, WorkerState::serving, "n2"), 5 * heartbeat_interval));
  EXPECT_NE(state_of(registry, "w"), WorkerState::serving);
}

TEST_F(RegistryTest, deregistration_is_retained_for_a_while_on_every_node) {
  // Known here for a long time, but its heartbeats went to another node.
  registry.take_entry(entry_of("w", 5, WorkerState::serving, "n2"), 0);
  Micros const now = seconds(600);
  registry.take_entry(entry_of("w", 1000009, WorkerState::ended, "n2"), now);
  registry.end_silent_workers(now + millis(50));
  EXPECT_FALSE(registry.heartbeat(heartbeat_of("w", 8), now + millis(100)));
  EXPECT_EQ(state_of(registry, "w"), WorkerState::ended);
  registry.end_silent_workers(now + seconds(120));
  EXPECT_EQ(registry.find("w"), nullptr);
}

TEST_F(RegistryTest, silent_worker_ends_and_its_next_heartbeat_restores_it) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  EXPECT_TRUE(registry.end_silent_workers(2 * heartbeat_interval).empty());
  std::vector<wire::EntryT> const ended = registry.end_silent_workers(3 * heartbeat_interval + 1);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].key, "w");
  EXPECT_EQ(ended[0].state, static_cast<std::uint8_t>(WorkerState::ended));
  EXPECT_TRUE(registry.end_silent_workers(4 * heartbeat_interval).empty()) << "the end is reported once";
  EXPECT_TRUE(registry.heartbeat(heartbeat_of("w", 2), 5 * heartbeat_interval));
  EXPECT_EQ(state_of(registry, "w"), WorkerState::serving);
}

// Heartbeats may be seconds late: data received in responses is a sign of life as well.
TEST_F(RegistryTest, response_counts_as_sign_of_life) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  registry.heartbeat(heartbeat_of("v", 1), 0);
  registry.record_response(*registry.find("w"), 2 * heartbeat_interval);
  std::vector<wire::EntryT> const ended = registry.end_silent_workers(4 * heartbeat_interval);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].key, "v");
  EXPECT_EQ(state_of(registry, "w"), WorkerState::serving);
  EXPECT_EQ(registry.end_silent_workers(6 * heartbeat_interval).size(), 1u)
      << "without further responses it ends as well";
}

TEST_F(RegistryTest, only_the_owner_ends_a_silent_worker) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  registry.take_entry(entry_of("w", 2, WorkerState::serving, "n2"), 10);
  EXPECT_TRUE(registry.end_silent_workers(seconds(20)).empty());
  EXPECT_EQ(state_of(registry, "w"), WorkerState::serving);
}

TEST_F(RegistryTest, suspected_worker_has_a_shorter_silence_timeout) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  registry.heartbeat(heartbeat_of("v", 1), 0);
  EXPECT_TRUE(registry.suspect("w", millis(100)));
  std::vector<wire::EntryT> const ended = registry.end_silent_workers(2 * heartbeat_interval);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].key, "w");
  EXPECT_EQ(state_of(registry, "v"), WorkerState::serving);
}

// If connections to many workers break at once, the fault is with this node or its network, not with each worker.
TEST_F(RegistryTest, mass_suspicion_does_not_shorten_silence_timeouts) {
  for (std::size_t const broken : {std::size_t(2), std::size_t(5)}) {
    registry.all.clear();
    for (int n = 0; n < 12; ++n) registry.heartbeat(heartbeat_of("w" + std::to_string(n), 1), 0);
    for (std::size_t n = 0; n < broken; ++n) registry.suspect("w" + std::to_string(n), millis(100));
    EXPECT_EQ(registry.end_silent_workers(2 * heartbeat_interval).size(), broken < 3 ? broken : 0u);
    EXPECT_TRUE(registry.end_silent_workers(3 * heartbeat_interval - 1).empty());
    EXPECT_EQ(registry.end_silent_workers(3 * heartbeat_interval + 1).size(), broken < 3 ? 12 - broken : 12u)
        << "silence ends all of them";
  }
  // Old suspicions of workers that other nodes own don't count as trouble of this node.
  registry.all.clear();
  for (int n = 0; n < 12; ++n) registry.take_entry(entry_of("v" + std::to_string(n), 1, WorkerState::serving, "n2"), 0);
  for (int n = 0; n < 12; ++n) registry.suspect("v" + std::to_string(n), 0);
  registry.heartbeat(heartbeat_of("w", 1), 10 * heartbeat_interval);
  registry.suspect("w", 10 * heartbeat_interval);
  EXPECT_EQ(registry.end_silent_workers(12 * heartbeat_interval).size(), 1u);
}

TEST_F(RegistryTest, silence_timeouts_restart_after_a_pause_of_the_node) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  Micros const now = seconds(30);
  registry.reset_silence_timers(now);
  EXPECT_TRUE(registry.end_silent_workers(now).empty());
  EXPECT_TRUE(registry.end_silent_workers(now + 2 * heartbeat_interval).empty());
  EXPECT_EQ(registry.end_silent_workers(now + 4 * heartbeat_interval).size(), 1u);
}

TEST_F(RegistryTest, ejection_grows_with_each_suspicion_and_a_response_clears_it) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  Instance& item = *registry.find("w");
  EXPECT_FALSE(registry.suspect("nobody", 0));
  Micros now = 0;
  Micros last = 0;
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(registry.suspect("w", now)) << i;
    EXPECT_FALSE(registry.suspect("w", now + 1)) << "not reported while the worker is ejected";
    Micros const span = item.ejected - now;
    EXPECT_GE(span, last);
    EXPECT_LE(span, seconds(5));
    last = span;
    now = item.ejected + 1;
  }
  EXPECT_EQ(last, seconds(5));
  registry.record_response(item, now);
  EXPECT_EQ(item.consecutive_failures, 0);
  EXPECT_LT(item.suspected, 0);
  EXPECT_LE(item.ejected, now);
  EXPECT_TRUE(registry.suspect("w", now));
  EXPECT_LT(item.ejected - now, last) << "the ejection time starts from its minimum again";
}

TEST_F(RegistryTest, heartbeat_clears_a_single_suspicion) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  registry.suspect("w", 10);
  registry.heartbeat(heartbeat_of("w", 2), 20);
  EXPECT_LT(registry.find("w")->suspected, 0);
  EXPECT_LE(registry.find("w")->ejected, 20);
}

TEST_F(RegistryTest, outdated_entry_of_a_peer_is_answered_with_the_newer_one) {
  registry.heartbeat(heartbeat_of("w", 7), 0);
  registry.leave("w", 8, 10);
  std::optional<wire::EntryT> const answer = registry.take_entry(entry_of("w", 7, WorkerState::serving, "n2"), 20);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->state, static_cast<std::uint8_t>(WorkerState::ended));
  EXPECT_EQ(state_of(registry, "w"), WorkerState::ended);
  // The answer ends the worker at the peer too.
  Registry peer("n2");
  peer.heartbeat(heartbeat_of("w", 7), 0);
  EXPECT_FALSE(peer.take_entry(*answer, 30));
  EXPECT_EQ(state_of(peer, "w"), WorkerState::ended);
}

TEST_F(RegistryTest, invalid_entries_are_ignored) {
  EXPECT_FALSE(registry.take_entry(entry_of("w!n2", 1, WorkerState::ended, "n2"), 0));
  wire::EntryT odd = entry_of("w", 1, WorkerState::serving, "n2");
  odd.state = 9;
  EXPECT_FALSE(registry.take_entry(odd, 0));
  EXPECT_TRUE(registry.all.empty());
}

TEST_F(RegistryTest, own_entry_from_before_a_restart_starts_a_new_silence_timeout) {
  registry.take_entry(entry_of("w", 3, WorkerState::serving, "n1"), seconds(50));
  EXPECT_TRUE(registry.end_silent_workers(seconds(50) + 2 * heartbeat_interval).empty());
  EXPECT_EQ(registry.end_silent_workers(seconds(50) + 4 * heartbeat_interval).size(), 1u);
}

TEST_F(RegistryTest, loads_reported_by_peers_are_applied) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  Instance& item = *registry.find("w");
  for (std::int64_t n = 1; n <= 2; ++n) {
    wire::LoadsT loads;
    for (char const* const id : {"w", "unknown"}) {
      std::unique_ptr<wire::LoadT> row = std::make_unique<wire::LoadT>();
      row->worker = id;
      row->attempts = static_cast<std::uint32_t>(2 * n);
      row->reading = static_cast<std::uint32_t>(millis(100) * n);
      loads.list.push_back(std::move(row));
    }
    registry.take_peer_loads(loads, n * millis(40));
  }
  // Reading times add up and elapse; a load report replaces the one before it.
  EXPECT_EQ(item.busy(millis(80)), millis(40) + millis(100) + millis(200) - millis(80));
  EXPECT_EQ(item.busy(millis(300)), millis(40));
  EXPECT_EQ(item.busy(seconds(1)), 0);
  EXPECT_EQ(item.load(millis(100)), 4);
  item.running = 6;
  EXPECT_EQ(item.load(millis(100)), 6) << "this node's own count is exact";
  EXPECT_EQ(registry.find("unknown"), nullptr);
}

TEST_F(RegistryTest, old_load_reports_expire) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  wire::LoadsT loads;
  loads.list.push_back(std::make_unique<wire::LoadT>());
  loads.list[0]->worker = "w";
  loads.list[0]->attempts = 5;
  registry.take_peer_loads(loads, 0);
  EXPECT_EQ(registry.find("w")->load(millis(100)), 5);
  EXPECT_EQ(registry.find("w")->load(seconds(10)), 0);
}

TEST_F(RegistryTest, suspicion_reported_by_a_peer_ejects_the_worker) {
  registry.heartbeat(heartbeat_of("w", 1), 0);
  wire::LoadsT loads;
  loads.list.push_back(std::make_unique<wire::LoadT>());
  loads.list[0]->worker = "w";
  loads.list[0]->suspected = true;
  registry.take_peer_loads(loads, millis(10));
  EXPECT_GT(registry.find("w")->ejected, millis(10));
}

}  // namespace pipit
