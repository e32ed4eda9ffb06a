// The failure detector alone: direct and indirect probes, suspicion, and relayed probes.
#include "mesh/membership/failure_detector.h"

#include <gtest/gtest.h>

#include "base/events.h"
#include "tests/mesh/member_record.h"

namespace pipit {

namespace {
// This node is "a"; "b" has connection 1 and "c" connection 2.
struct FailureDetectorTest : testing::Test {
  MeshSettings settings;
  MemberTable members{member("a")};
  EntryTable entries{"a"};
  EntryReplication replication{entries};
  RandomSource random{1};
  ConnectionTable connections{settings, members, replication};
  MembershipGossip gossip{settings, members, connections, random};
  FailureDetector detector{settings, members, entries, connections, gossip, random};
  ConnectionEffects out;

  FailureDetectorTest() {
    mute_log(true);
    connect("b", 1);
    connect("c", 2);
  }
  void connect(std::string const& name, ConnectionId id) {
    members.merge(member(name), 0);
    connections.add(id, false, "", 0);
    connections.find(id)->peer = name;
    ASSERT_TRUE(connections.bind(id, members.peers.at(name), 0, out));
  }
  MemberState state(std::string const& name) const { return members.peers.at(name).state(); }
  // The messages of one type that were sent on a connection.
  std::vector<std::unique_ptr<wire::FrameT>> sent(ConnectionId id, wire::Body type) const {
    std::vector<std::unique_ptr<wire::FrameT>> found;
    for (ConnectionEffects::OutgoingFrame const& item : out.outgoing_frames) {
      if (item.connection != id) continue;
      std::unique_ptr<wire::FrameT> frame = std::move(decode_frame(item.bytes).value());
      if (frame->body.type == type) found.push_back(std::move(frame));
    }
    return found;
  }
};
}  // namespace

TEST_F(FailureDetectorTest, one_probe_of_a_member_is_in_flight_at_a_time) {
  detector.probe(members.peers.at("b"), 0, out);
  detector.probe(members.peers.at("b"), 1, out);
  EXPECT_EQ(sent(1, wire::Body::Ping).size(), 1u);
}

TEST_F(FailureDetectorTest, member_without_an_answer_is_probed_indirectly_and_then_suspected) {
  detector.probe(members.peers.at("b"), 0, out);
  detector.expire_probes(settings.probe_timeout - 1, out);
  EXPECT_TRUE(sent(2, wire::Body::IndirectPing).empty());
  detector.expire_probes(settings.probe_timeout, out);
  ASSERT_EQ(sent(2, wire::Body::IndirectPing).size(), 1u);
  EXPECT_EQ(sent(2, wire::Body::IndirectPing).front()->body.AsIndirectPing()->target, "b");
  EXPECT_EQ(state("b"), MemberState::alive);
  detector.expire_probes(2 * settings.probe_timeout, out);
  EXPECT_EQ(state("b"), MemberState::suspected);
}

TEST_F(FailureDetectorTest, suspected_member_goes_down_when_its_probe_fails) {
  members.set_state(members.peers.at("b"), MemberState::suspected, 0);
  detector.probe(members.peers.at("b"), 0, out);
  detector.expire_probes(settings.probe_timeout, out);
  detector.expire_probes(2 * settings.probe_timeout, out);
  EXPECT_EQ(state("b"), MemberState::down);
  EXPECT_EQ(out.closed_connections, std::vector<ConnectionId>{1});
  EXPECT_EQ(sent(2, wire::Body::MembershipUpdate).size(), 1u) << "the change is disseminated";
}

TEST_F(FailureDetectorTest, pong_or_indirect_pong_completes_the_probe) {
  for (bool const indirect : {false, true}) {
    out = ConnectionEffects();
    detector.probe(members.peers.at("b"), 0, out);
    ASSERT_EQ(sent(1, wire::Body::Ping).size(), 1u);
    std::uint64_t const seq = sent(1, wire::Body::Ping).front()->body.AsPing()->seq;
    wire::PongT pong;
    pong.seq = seq;
    wire::IndirectPongT indirect_pong;
    indirect_pong.seq = seq;
    indirect_pong.ok = true;
    if (indirect)
      detector.handle_indirect_pong(indirect_pong, 1);
    else
      detector.handle_pong("b", pong, 1, out);
    detector.expire_probes(seconds(10), out);
    EXPECT_EQ(state("b"), MemberState::alive);
  }
}

TEST_F(FailureDetectorTest, relayed_probe_is_answered_to_its_requester) {
  wire::IndirectPingT request;
  request.seq = 77;
  request.target = "b";
  detector.handle_indirect_ping(2, request, 0, out);
  ASSERT_EQ(sent(1, wire::Body::Ping).size(), 1u);
  wire::PongT pong;
  pong.seq = sent(1, wire::Body::Ping).front()->body.AsPing()->seq;
  detector.handle_pong("b", pong, 1, out);
  ASSERT_EQ(sent(2, wire::Body::IndirectPong).size(), 1u);
  EXPECT_EQ(sent(2, wire::Body::IndirectPong).front()->body.AsIndirectPong()->seq, 77u);
  detector.handle_pong("b", pong, 2, out);
  EXPECT_EQ(sent(2, wire::Body::IndirectPong).size(), 1u) << "each relayed probe is answered once";
}

TEST_F(FailureDetectorTest, refused_dial_counts_as_a_failed_probe) {
  members.merge(member("d"), 0);
  detector.dial_failed("d:1", false, 0, out);
  EXPECT_EQ(state("d"), MemberState::alive) << "a dial that timed out is no evidence";
  detector.dial_failed("d:1", true, 0, out);
  EXPECT_EQ(state("d"), MemberState::suspected);
  detector.dial_failed("d:1", true, 0, out);
  EXPECT_EQ(state("d"), MemberState::down);
  EXPECT_TRUE(members.cannot_be_serving("d"));
}

TEST_F(FailureDetectorTest, inactive_connection_is_probed) {
  detector.probe_inactive(settings.inactivity_limit, out);
  EXPECT_TRUE(sent(1, wire::Body::Ping).empty());
  connections.find(2)->last_received = settings.inactivity_limit;
  detector.probe_inactive(settings.inactivity_limit + 1, out);
  EXPECT_EQ(sent(1, wire::Body::Ping).size(), 1u);
  EXPECT_TRUE(sent(2, wire::Body::Ping).empty());
}

}  // namespace pipit
