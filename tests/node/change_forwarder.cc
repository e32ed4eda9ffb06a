// Changes forwarded to other nodes, and changes proposed for other nodes (src/node/change_forwarder.h).
#include "node/change_forwarder.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mesh/frame.h"
#include "tests/node/replica_fixture.h"

namespace pipit {

namespace {
struct Proposed {
  std::uint64_t id = 0;
  Change change;
};

// The node under test is "m" and has no replica; "b" is the only member of the set and answered a poll at time 0.
struct ForwarderFixture : ReplicaFixture {
  ForwarderFixture() {
    plan.name = "m";
    acceptor.reset();
    add_peer("b");
    std::vector<wire::ReplicaT> const set = {replica_on_disk("b", 2)};
    choose_set(set, 0);
    poll_answered_by(set, 0);
  }

  ChangeForwarder::Actions actions() {
    ChangeForwarder::Actions out;
    out.next_request_id = [this] { return ++last_request_id; };
    out.propose = [this](std::uint64_t id, Change change, Micros, NodeEffects&) {
      proposed.push_back({id, std::move(change)});
    };
    out.adopt_value = [this](std::string const&, wire::ValueT const& value, Micros now, NodeEffects&) {
      learner.adopt(value, now);
    };
    return out;
  }

  // The bodies of the frames sent since the last call.
  std::vector<wire::BodyUnion> sent() {
    std::vector<wire::BodyUnion> bodies;
    for (ConnectionEffects::OutgoingFrame const& send : out.mesh.outgoing_frames)
      bodies.push_back(std::move(decode_frame(send.bytes).value()->body));
    out.mesh.outgoing_frames.clear();
    return bodies;
  }

  wire::ForwardedChangeReplyT reply_of(Outcome::Type type, ErrorCode code = ErrorCode{}) {
    wire::ForwardedChangeReplyT reply;
    reply.request_id = last_request_id;
    reply.type = static_cast<std::uint8_t>(type);
    reply.kind = static_cast<std::uint8_t>(code);
    return reply;
  }

  std::uint64_t last_request_id = 100;
  std::vector<Proposed> proposed;
  NodeEffects out;
  ChangeForwarder forwarder{plan, mesh, learner, directory, actions()};
};

Change apply_text(std::string const& text) {
  Change out;
  out.type = Change::Type::apply;
  out.id = "change-1";
  out.text = text;
  return out;
}
}  // namespace

TEST(ChangeForwarder, operator_changes_go_to_the_proposing_replica) {
  ForwarderFixture fixture;
  ASSERT_TRUE(fixture.forwarder.forward_change(7, apply_text("new"), 0, fixture.out));
  std::vector<wire::BodyUnion> bodies = fixture.sent();
  ASSERT_EQ(bodies.size(), 1u);
  ASSERT_EQ(bodies[0].type, wire::Body::ForwardedChange);
  EXPECT_EQ(bodies[0].AsForwardedChange()->request_id, 101u);
  EXPECT_EQ(bodies[0].AsForwardedChange()->id, "change-1");
}

TEST(ChangeForwarder, internal_and_membership_changes_are_not_forwarded) {
  ForwarderFixture fixture;
  EXPECT_FALSE(fixture.forwarder.forward_change(0, apply_text("new"), 0, fixture.out));
  Change admission;
  admission.type = Change::Type::admit;
  EXPECT_FALSE(fixture.forwarder.forward_change(7, admission, 0, fixture.out));
  fixture.plan.name = "b";  // the proposing replica itself
  EXPECT_FALSE(fixture.forwarder.forward_change(7, apply_text("new"), 0, fixture.out));
  fixture.plan.name = "m";
  fixture.plan.workers_self_register = false;
  EXPECT_FALSE(fixture.forwarder.forward_change(7, apply_text("new"), 0, fixture.out));
  EXPECT_TRUE(fixture.out.mesh.outgoing_frames.empty());
}

TEST(ChangeForwarder, changes_go_to_routers_in_turn_without_a_quorum) {
  ForwarderFixture fixture;
  Micros const later = seconds(60);
  EXPECT_FALSE(fixture.forwarder.forward_change(7, apply_text("new"), later, fixture.out));
  fixture.add_peer("r1", MemberState::alive, 21).member.replica = false;
  fixture.add_peer("r2", MemberState::alive, 22).member.replica = false;
  for (int count = 0; count < 3; ++count)
    ASSERT_TRUE(fixture.forwarder.forward_change(7, apply_text("new"), later, fixture.out));
  ASSERT_EQ(fixture.out.mesh.outgoing_frames.size(), 3u);
  EXPECT_EQ(fixture.out.mesh.outgoing_frames[0].connection, 21u);
  EXPECT_EQ(fixture.out.mesh.outgoing_frames[1].connection, 22u);
  EXPECT_EQ(fixture.out.mesh.outgoing_frames[2].connection, 21u);
}

TEST(ChangeForwarder, reply_of_the_proposer_is_returned_once) {
  ForwarderFixture fixture;
  ASSERT_TRUE(fixture.forwarder.forward_change(7, apply_text("new"), 0, fixture.out));
  wire::ForwardedChangeReplyT const reply = fixture.reply_of(Outcome::Type::chosen);
  fixture.forwarder.handle_reply("stranger", reply, 0, fixture.out);
  EXPECT_TRUE(fixture.out.replies.empty());
  fixture.forwarder.handle_reply("b", reply, 0, fixture.out);
  fixture.forwarder.handle_reply("b", reply, 0, fixture.out);
  ASSERT_EQ(fixture.out.replies.size(), 1u);
  EXPECT_EQ(fixture.out.replies[0].id, 7u);
  EXPECT_EQ(fixture.out.replies[0].change_id, "change-1");
  EXPECT_EQ(fixture.out.replies[0].outcome.type, Outcome::Type::chosen);
}

TEST(ChangeForwarder, change_without_a_timely_reply_is_proposed_locally) {
  ForwarderFixture fixture;
  ASSERT_TRUE(fixture.forwarder.forward_change(7, apply_text("new"), 0, fixture.out));
  fixture.forwarder.tick(millis(600) - 1, fixture.out);
  EXPECT_TRUE(fixture.proposed.empty());
  fixture.forwarder.tick(millis(600), fixture.out);
  fixture.forwarder.tick(millis(601), fixture.out);
  ASSERT_EQ(fixture.proposed.size(), 1u);
  EXPECT_EQ(fixture.proposed[0].id, 7u);
  EXPECT_TRUE(fixture.proposed[0].change.proposed_elsewhere);
}

TEST(ChangeForwarder, change_refused_by_a_cut_off_replica_is_proposed_locally) {
  ForwarderFixture fixture;
  ASSERT_TRUE(fixture.forwarder.forward_change(7, apply_text("new"), 0, fixture.out));
  fixture.forwarder.handle_reply("b", fixture.reply_of(Outcome::Type::refused, ErrorCode::no_majority), 0, fixture.out);
  ASSERT_EQ(fixture.proposed.size(), 1u);
  EXPECT_FALSE(fixture.proposed[0].change.proposed_elsewhere);
  EXPECT_TRUE(fixture.out.replies.empty());
}

TEST(ChangeForwarder, full_text_is_sent_when_the_replica_lacks_the_base_of_the_patch) {
  ForwarderFixture fixture;
  ASSERT_TRUE(fixture.forwarder.forward_change(7, apply_text("new"), 0, fixture.out));
  fixture.sent();
  wire::ForwardedChangeReplyT reply = fixture.reply_of(Outcome::Type::refused);
  reply.need_text = true;
  fixture.forwarder.handle_reply("b", reply, 0, fixture.out);
  std::vector<wire::BodyUnion> bodies = fixture.sent();
  ASSERT_EQ(bodies.size(), 1u);
  EXPECT_EQ(bodies[0].AsForwardedChange()->text, "new");
  EXPECT_EQ(bodies[0].AsForwardedChange()->request_id, 101u);
}

TEST(ChangeForwarder, forwarded_change_is_proposed_and_answered) {
  ForwarderFixture fixture;
  wire::ForwardedChangeT request;
  request.request_id = 55;
  request.type = static_cast<std::uint8_t>(Change::Type::apply);
  request.id = "theirs";
  request.text = "new";
  fixture.forwarder.handle_forwarded_change("b", request, 0, fixture.out);
  ASSERT_EQ(fixture.proposed.size(), 1u);
  EXPECT_EQ(fixture.proposed[0].change.id, "theirs");
  // A change proposed for another node is never forwarded again.
  EXPECT_FALSE(fixture.forwarder.forward_change(fixture.proposed[0].id, apply_text("new"), 0, fixture.out));
  ChangeReply own;
  own.id = 7;
  ChangeReply theirs;
  theirs.id = fixture.proposed[0].id;
  theirs.outcome.type = Outcome::Type::chosen;
  theirs.outcome.stages = {millis(1), millis(2), millis(3), 4};
  fixture.out.replies = {own, theirs};
  fixture.forwarder.tick(0, fixture.out);
  ASSERT_EQ(fixture.out.replies.size(), 1u);
  EXPECT_EQ(fixture.out.replies[0].id, 7u);
  std::vector<wire::BodyUnion> bodies = fixture.sent();
  ASSERT_EQ(bodies.size(), 1u);
  EXPECT_EQ(bodies[0].AsForwardedChangeReply()->request_id, 55u);
  EXPECT_EQ(bodies[0].AsForwardedChangeReply()->queued, millis(1));
  EXPECT_EQ(bodies[0].AsForwardedChangeReply()->proposed, millis(2));
  EXPECT_EQ(bodies[0].AsForwardedChangeReply()->spread, millis(3));
  EXPECT_EQ(bodies[0].AsForwardedChangeReply()->rounds, 4u);
}

TEST(ChangeForwarder, full_text_is_requested_for_a_patch_with_an_unknown_base) {
  ForwarderFixture fixture;
  wire::ForwardedChangeT request;
  request.request_id = 55;
  request.type = static_cast<std::uint8_t>(Change::Type::apply);
  request.revision = 999;
  request.patch = std::make_unique<wire::TextPatchT>();
  fixture.forwarder.handle_forwarded_change("b", request, 0, fixture.out);
  EXPECT_TRUE(fixture.proposed.empty());
  std::vector<wire::BodyUnion> bodies = fixture.sent();
  ASSERT_EQ(bodies.size(), 1u);
  EXPECT_TRUE(bodies[0].AsForwardedChangeReply()->need_text);
}

}  // namespace pipit
