// What a node of a large fleet sends on of the reports that reach it, whichever node it takes for the hub of its zone.
#include "routing/exchange/report_exchange.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "mesh/frame.h"

namespace pipit {

namespace {
enum Hops : std::uint8_t { to_hub = 0, to_hubs = 1, last = 2 };

class ReportExchangeTest : public testing::Test {
 protected:
  ReportExchangeTest() {
    paths.hierarchical = true;
    paths.zone_hub = "hub";
    paths.served_peers = {"hub", "neighbour"};
    paths.remote_hubs = {"other-hub"};
  }
  void become_hub() {
    paths.is_hub = true;
    paths.zone_hub.clear();
  }
  void receive(std::string const& from, std::uint8_t hops) {
    wire::LoadsT loads;
    loads.hops = hops;
    loads.list.push_back(std::make_unique<wire::LoadT>());
    loads.list.back()->worker = "w";
    loads.list.back()->attempts = 3;
    exchange.forward(from, loads);
    wire::DeltasT deltas;
    deltas.model = "m";
    deltas.hops = hops;
    deltas.list.push_back(std::make_unique<wire::DeltaT>(change(1)));
    exchange.forward(deltas);
  }
  static wire::DeltaT change(std::uint64_t prefix) {
    wire::DeltaT out;
    out.worker = "w";
    out.tail = {prefix};
    return out;
  }
  void report() {
    exchange.report_load("w", 3);
    exchange.report_index_change("m", change(1));
  }
  // Receiver and hops of the messages of one kind that are due.
  using Sent = std::set<std::pair<std::string, int>>;
  Sent sent(wire::Body kind) {
    Sent out;
    for (OutgoingMessage const& item : outgoing) {
      if (item.body.type != kind) continue;
      int const hops = kind == wire::Body::Loads ? item.body.AsLoads()->hops : item.body.AsDeltas()->hops;
      out.emplace(item.to, hops);
      for (std::string const& name : item.also_to) out.emplace(name, hops);
    }
    return out;
  }
  void expect_sent(Sent const& expected) {
    outgoing.clear();
    now += seconds(1);
    exchange.tick(now, paths, outgoing);
    EXPECT_EQ(sent(wire::Body::Loads), expected);
    EXPECT_EQ(sent(wire::Body::Deltas), expected);
  }

  // A change that saves a peer so many tokens.
  static wire::DeltaT heavy_change(std::uint64_t prefix, std::uint32_t tokens) {
    wire::DeltaT out = change(prefix);
    out.weights = {tokens};
    return out;
  }
  // Bytes of the messages of one kind, encoded, over all receivers; and the number of their receivers.
  struct Traffic {
    std::size_t bytes = 0;
    std::size_t messages = 0;
  };
  Traffic traffic_of(wire::Body kind) {
    Traffic out;
    for (OutgoingMessage& item : outgoing) {
      if (item.body.type != kind) continue;
      std::size_t const receivers = 1 + item.also_to.size();
      wire::FrameT frame;
      frame.body = std::move(item.body);
      out.bytes += encode_frame(frame).size() * receivers;
      out.messages += receivers;
    }
    outgoing.clear();
    return out;
  }
  void serve_many_peers() {
    become_hub();
    paths.served_peers.clear();
    for (int n = 0; n < 50; ++n) paths.served_peers.push_back("peer-" + std::to_string(n));
  }

  Micros now = 0;
  GossipPaths paths;
  ReportExchange exchange{"self"};
  std::vector<OutgoingMessage> outgoing;
};
}  // namespace

TEST_F(ReportExchangeTest, own_reports_go_to_the_hub_alone) {
  report();
  expect_sent({{"hub", to_hub}});
}

TEST_F(ReportExchangeTest, own_reports_of_a_hub_go_to_its_zone_and_to_the_other_hubs) {
  become_hub();
  report();
  expect_sent({{"hub", last}, {"neighbour", last}, {"other-hub", to_hubs}});
}

TEST_F(ReportExchangeTest, reports_of_the_zone_are_passed_on_by_whoever_is_taken_for_the_hub) {
  receive("neighbour", to_hub);
  outgoing.clear();
  exchange.tick(seconds(1), paths, outgoing);
  EXPECT_EQ(sent(wire::Body::Loads), Sent({{"hub", last}, {"other-hub", to_hubs}})) << "and not to the reporter";
  EXPECT_EQ(sent(wire::Body::Deltas), Sent({{"hub", last}, {"neighbour", last}, {"other-hub", to_hubs}}));
}

TEST_F(ReportExchangeTest, reports_of_other_zones_never_leave_the_zone_again) {
  receive("other-hub", to_hubs);
  expect_sent({{"hub", last}, {"neighbour", last}});
  EXPECT_EQ(exchange.index_changes.from_hubs_at_other, 1u);
  become_hub();
  receive("other-hub", to_hubs);
  expect_sent({{"hub", last}, {"neighbour", last}});
  EXPECT_EQ(exchange.index_changes.from_hubs_at_other, 1u);
  EXPECT_EQ(exchange.index_changes.from_hubs, 2u);
}

TEST_F(ReportExchangeTest, reports_on_their_last_hop_are_not_passed_on) {
  receive("hub", last);
  expect_sent({});
}

TEST_F(ReportExchangeTest, index_changes_leave_most_of_the_link_free) {
  constexpr std::uint64_t link = 12500000;
  serve_many_peers();
  exchange.set_link(link);
  std::size_t bytes = 0;
  for (int round = 0; round < 20; ++round) {
    for (std::uint64_t n = 0; n < 2000; ++n) exchange.report_index_change("m", heavy_change(n + 1, 100));
    now += millis(500);
    exchange.tick(now, paths, outgoing);
    bytes += traffic_of(wire::Body::Deltas).bytes;
  }
  EXPECT_LE(bytes, link * 10 / 4);
  EXPECT_GT(bytes, link * 10 / 10);
  EXPECT_GT(exchange.index_changes.dropped, 0u);
}

TEST_F(ReportExchangeTest, changes_that_save_most_tokens_are_kept) {
  serve_many_peers();
  exchange.set_link(1250000);
  for (std::uint64_t n = 0; n < 1000; ++n)
    exchange.report_index_change("m", heavy_change(n + 1, n % 100 == 0 ? 5000 : 5));
  now += seconds(1);
  exchange.tick(now, paths, outgoing);
  ASSERT_FALSE(outgoing.empty());
  std::size_t heavy = 0;
  for (std::unique_ptr<wire::DeltaT> const& item : outgoing.front().body.AsDeltas()->list)
    if (item->weights == std::vector<std::uint32_t>{5000}) ++heavy;
  EXPECT_EQ(heavy, 10u);
}

TEST_F(ReportExchangeTest, loads_leave_most_of_the_link_free_and_none_is_lost) {
  constexpr std::uint64_t link = 1250000;
  serve_many_peers();
  exchange.set_link(link);
  std::size_t bytes = 0;
  std::uint64_t work = 0;
  for (int tick = 0; tick < 400; ++tick) {
    for (int n = 0; n < 100; ++n) exchange.report_work("worker-" + std::to_string(n), millis(50));
    now += millis(50);
    exchange.tick(now, paths, outgoing);
    for (OutgoingMessage const& item : outgoing)
      if (item.body.type == wire::Body::Loads && item.body.AsLoads()->hops == Hops::last)
        for (std::unique_ptr<wire::LoadT> const& load : item.body.AsLoads()->list) work += load->reading;
    bytes += traffic_of(wire::Body::Loads).bytes;
  }
  EXPECT_LE(bytes, link * 20 / 2);
  now += seconds(10);
  exchange.report_work("worker-0", millis(50));
  exchange.tick(now, paths, outgoing);
  for (OutgoingMessage const& item : outgoing)
    if (item.body.type == wire::Body::Loads && item.body.AsLoads()->hops == Hops::last)
      for (std::unique_ptr<wire::LoadT> const& load : item.body.AsLoads()->list) work += load->reading;
  EXPECT_EQ(work, static_cast<std::uint64_t>(400 * 100 + 1) * millis(50));
}

TEST_F(ReportExchangeTest, small_fleets_drop_no_index_change) {
  exchange.set_link(1250);
  paths = GossipPaths();
  paths.peers = {"a", "b"};
  for (std::uint64_t n = 0; n < 1000; ++n) exchange.report_index_change("m", change(n + 1));
  now += seconds(1);
  exchange.tick(now, paths, outgoing);
  ASSERT_EQ(outgoing.size(), 1u);
  EXPECT_EQ(outgoing.front().body.AsDeltas()->list.size(), 1000u);
}

}  // namespace pipit
