// Frames and connections: a malformed frame only closes its connection, and nodes of a foreign cluster are rejected.
// Also rendezvous hashing and leases.
#include <gtest/gtest.h>

#include "base/events.h"
#include "node/node.h"

namespace pipit {

namespace {
wire::HelloT hello(std::string const& cluster, std::string const& name) {
  wire::HelloT out;
  out.cluster = cluster;
  out.format = frame_format_version;
  out.self = std::make_unique<wire::MemberT>();
  out.self->name = name;
  out.self->address = "10.0.0.2:1";
  out.self->incarnation = 5;
  return out;
}
NodePlan plan() {
  NodePlan out;
  out.name = "a";
  out.zone = "z";
  out.address = "10.0.0.1:1";
  return out;
}
}  // namespace

// A frame that follows another in a receive buffer may start at any address. The sanitizers report misaligned reads.
TEST(Frame, decodes_at_any_alignment) {
  wire::PingT ping;
  ping.seq = 77;
  std::string const good = encode_message(std::move(ping));
  for (std::size_t before = 0; before < 16; ++before) {
    std::string const buffer = std::string(before, 'x') + good;
    Result<std::unique_ptr<wire::FrameT>> const taken = decode_frame(std::string_view(buffer).substr(before));
    ASSERT_TRUE(taken) << before;
    EXPECT_EQ(taken.value()->body.AsPing()->seq, 77u) << before;
  }
}

// During a rolling upgrade, processes with different frame format versions do not connect: each version forms a
// separate fleet.
TEST(Frame, connection_with_another_format_version_is_closed) {
  mute_log(true);
  Node node(plan(), 0, std::nullopt);
  NodeEffects out;
  node.connection_opened(1, false, "", 0, out);
  wire::HelloT older = hello("pipit", "b");
  older.format = frame_format_version - 1;
  node.receive_frame(1, encode_message(std::move(older)), 0, out);
  EXPECT_EQ(out.mesh.closed_connections, std::vector<ConnectionId>{1});
  EXPECT_EQ(node.mesh.members.peers.count("b"), 0u);
}

TEST(Frame, corrupted_bytes_are_handled_safely) {
  wire::PingT ping;
  ping.seq = 3;
  ping.table.push_back(std::make_unique<wire::MemberT>(*hello("c", "x").self));
  std::string const good = encode_message(std::move(ping));
  ASSERT_TRUE(decode_frame(good));
  EXPECT_FALSE(decode_frame(good.substr(0, good.size() - 1)));
  EXPECT_FALSE(decode_frame(""));
  EXPECT_EQ(announced_length(std::string(4, '\xff')), 0u) << "a length over the limit";
  mute_log(true);
  RandomSource random(9);
  int taken = 0;
  for (int i = 0; i < 4000; ++i) {
    std::string bad = good;
    for (std::uint64_t n = 1 + random.below(4); n > 0; --n)
      bad[4 + random.below(bad.size() - 4)] = static_cast<char>(random.next());
    Node node(plan(), 0, std::nullopt);
    NodeEffects out;
    node.connection_opened(1, false, "", 0, out);
    ASSERT_TRUE(node.receive_frame(1, encode_message(hello("pipit", "b")), 0, out));
    if (node.receive_frame(1, bad, 1, out)) ++taken;  // a frame that still verifies is handled like any other
  }
  EXPECT_LT(taken, 4000);
}

TEST(Mesh, connection_from_a_foreign_cluster_is_closed) {
  mute_log(true);
  Node node(plan(), 0, std::nullopt);
  NodeEffects out;
  node.connection_opened(1, false, "", 0, out);
  node.receive_frame(1, encode_message(hello("other", "b")), 0, out);
  EXPECT_EQ(out.mesh.closed_connections, std::vector<ConnectionId>{1});
  EXPECT_TRUE(node.mesh.members.peers.empty());
}

TEST(Mesh, newer_incarnation_replaces_the_connection_of_the_previous_one) {
  mute_log(true);
  Node node(plan(), 0, std::nullopt);
  NodeEffects out;
  node.connection_opened(1, true, "10.0.0.2:1", 0,
                         out);  // 'a' sorts first, so the connection that it opened would be kept
  node.receive_frame(1, encode_message(hello("pipit", "b")), 0, out);
  wire::HelloT next = hello("pipit", "b");
  next.self->incarnation = 6;
  node.connection_opened(2, false, "", millis(10), out);
  node.receive_frame(2, encode_message(std::move(next)), millis(10), out);
  EXPECT_EQ(node.mesh.members.peers.at("b").connection, 2u);
  EXPECT_EQ(out.mesh.closed_connections, std::vector<ConnectionId>{1});
}

TEST(Mesh, peer_that_moves_during_a_dial_is_dialled_at_its_new_address) {
  mute_log(true);
  Node node(plan(), 0, std::nullopt);
  NodeEffects out;
  node.connection_opened(1, false, "", 0, out);
  node.receive_frame(1, encode_message(hello("pipit", "b")), 0, out);
  node.connection_closed(1, millis(10), out);
  out = NodeEffects();
  node.tick(millis(20), out);
  wire::HelloT moved = hello("pipit", "b");
  moved.self->address = "10.0.0.9:1";
  moved.self->incarnation = 6;
  wire::MembershipUpdateT update;  // from another peer, while the dial to the old address is in progress
  update.table.push_back(std::make_unique<wire::MemberT>(*moved.self));
  wire::HelloT third = hello("pipit", "c");
  third.self->address = "10.0.0.3:1";
  node.connection_opened(2, false, "", millis(30), out);
  node.receive_frame(2, encode_message(std::move(third)), millis(30), out);
  node.receive_frame(2, encode_message(std::move(update)), millis(40), out);
  node.dial_failed("10.0.0.2:1", false, millis(900), out);
  out = NodeEffects();
  node.tick(millis(1500), out);
  EXPECT_NE(std::find(out.mesh.dial_addresses.begin(), out.mesh.dial_addresses.end(), "10.0.0.9:1"),
            out.mesh.dial_addresses.end());
}

TEST(MemberTable, wrong_record_of_this_node_is_refuted) {
  mute_log(true);
  wire::MemberT self;
  self.name = "a";
  self.incarnation = 4;
  MemberTable members(self);
  wire::MemberT record = self;
  record.state = static_cast<std::uint8_t>(MemberState::down);
  EXPECT_EQ(members.merge(record, 0), MemberTable::MergeResult::refuted);
  EXPECT_GT(members.self.bump, record.bump);
  record.incarnation = 9;  // an earlier incarnation had a clock that was ahead
  EXPECT_EQ(members.merge(record, 0), MemberTable::MergeResult::refuted);
  EXPECT_EQ(members.self.incarnation, 10u);
}

TEST(MemberTable, records_since_returns_only_changed_records) {
  wire::MemberT self;
  self.name = "a";
  self.incarnation = 5;
  MemberTable members(self);
  wire::MemberT peer = *hello("c", "b").self;
  EXPECT_EQ(members.merge(peer, 0), MemberTable::MergeResult::changed);
  std::uint64_t const first = members.version;
  EXPECT_EQ(members.records_since().size(), 2u);
  EXPECT_EQ(members.records_since(first).size(), 1u) << "only this node's own record";
  ++peer.bump;
  peer.revision = 9;
  EXPECT_EQ(members.merge(peer, 0), MemberTable::MergeResult::changed);
  EXPECT_EQ(members.records_since(first).size(), 1u) << "the peer itself sends its newer revision";
  members.set_state(members.peers.at("b"), MemberState::suspected, 1);
  ASSERT_EQ(members.records_since(first).size(), 2u);
  std::uint64_t const second = members.version;
  ++peer.bump;
  EXPECT_EQ(members.merge(peer, 2), MemberTable::MergeResult::changed);
  EXPECT_EQ(members.records_since(second).size(), 2u) << "a refuted suspicion is disseminated";
}

TEST(Rendezvous, first_name_has_rank_0) {
  std::set<std::string> names;
  EXPECT_EQ(rendezvous("w", names), "");
  for (int i = 0; i < 40; ++i) names.insert("p" + std::to_string(i));
  for (int i = 0; i < 300; ++i) {
    std::string const key = "w" + std::to_string(i);
    EXPECT_EQ(rendezvous_rank(key, rendezvous(key, names), names), 0u);
  }
}

TEST(Leases, rivals_back_off_until_one_holds_the_lease) {
  Membership members;
  for (char const* const name : {"k1", "k2", "k3"}) {
    wire::ReplicaT replica;
    replica.name = name;
    replica.disk = 1;
    members.replicas.push_back(replica);
  }
  std::map<std::string, LeaseGrantor> grantors;
  std::map<std::string, LeaseCandidate> holders;
  std::uint64_t seed = 0;
  for (char const* const name : {"k1", "k2", "k3"}) {
    grantors.emplace(name, LeaseGrantor(0));
    holders.emplace(name, LeaseCandidate("mend", ++seed));
  }
  bool any = false;
  for (Micros now = 0; now < seconds(40); now += millis(50)) {
    std::vector<std::pair<std::string, OutgoingMessage>> messages;
    for (std::pair<std::string const, LeaseCandidate>& item : holders) {
      std::vector<OutgoingMessage> out;
      item.second.tick(now, members, out);
      for (OutgoingMessage& one : out) messages.emplace_back(item.first, std::move(one));
    }
    // Each candidate receives its own request first, which is the worst order.
    std::stable_sort(
        messages.begin(), messages.end(),
        [](std::pair<std::string, OutgoingMessage> const& a, std::pair<std::string, OutgoingMessage> const& b) {
          return (a.first == a.second.to) > (b.first == b.second.to);
        });
    for (std::pair<std::string, OutgoingMessage>& one : messages) {
      wire::LeaseRequestT const& request = *one.second.body.AsLeaseRequest();
      wire::LeaseReplyT reply;
      reply.request_id = request.request_id;
      reply.role = request.role;
      reply.disk = 1;
      reply.ok = grantors.at(one.second.to).handle_request(one.first, request.role, request.term, now);
      holders.at(one.first).handle_reply(one.second.to, reply, now, members);
    }
    int held = 0;
    for (std::pair<std::string const, LeaseCandidate>& item : holders) held += item.second.holds(now) ? 1 : 0;
    EXPECT_LE(held, 1);
    EXPECT_TRUE(held == 0 || now >= lease_term) << "a grantor that has just started grants no lease for one term";
    any = any || held == 1;
  }
  EXPECT_TRUE(any);
}

}  // namespace pipit
