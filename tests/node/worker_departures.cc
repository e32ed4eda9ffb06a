// When the end of a worker is acknowledged: a table of members and entries without sockets.
#include "node/worker_departures.h"

#include <gtest/gtest.h>

#include "base/invariants.h"

namespace pipit {

namespace {
constexpr char worker[] = "w1";

wire::MemberT member_named(std::string const& name) {
  wire::MemberT out;
  out.name = name;
  return out;
}

class WorkerDeparturesTest : public testing::Test {
 protected:
  WorkerDeparturesTest()
      : mesh(MeshSettings{}, member_named("n1"), 1),
        departures("n1", mesh, learner, [this](Micros) { return has_quorum; }) {}

  // A peer with an open connection, which every new entry is sent to.
  void connect(std::string const& name) {
    Peer& peer = mesh.members.peers[name];
    peer.member = member_named(name);
    peer.connection = ++last_connection;
    mesh.entry_replication.add_peer(name);
  }
  void disconnect(std::string const& name, bool refused) {
    mesh.members.peers[name].connection = 0;
    mesh.members.peers[name].dial_refused = refused;
  }
  void write_end() {
    wire::EntryT entry;
    entry.key = worker;
    entry.state = static_cast<std::uint8_t>(WorkerState::ended);
    mesh.put_entry(entry, 0);
  }
  // The peer acknowledges everything that it was sent.
  void acknowledge(std::string const& name) {
    mesh.entry_replication.acknowledge(name, mesh.entry_replication.next_batch(name, true).batch);
  }
  // The register's set of replicas, with disks 1, 2, ...
  void set_replicas(std::vector<std::string> const& names) {
    Membership members;
    members.epoch = 1;
    for (std::string const& name : names) {
      members.replicas.emplace_back();
      members.replicas.back().name = name;
      members.replicas.back().disk = members.replicas.size();
    }
    wire::ValueT value;
    value.revision = 1;
    store_membership(members, value);
    ASSERT_TRUE(learner.adopt(value, 0));
  }
  std::vector<EndAnswer> answers_at(Micros now) {
    std::vector<EndAnswer> answers;
    departures.answer_calls(now, answers);
    return answers;
  }
  std::vector<EndAnswer> add_call(std::uint64_t id) {
    std::vector<EndAnswer> answers;
    departures.add_call(id, worker, 0, answers);
    return answers;
  }

  bool has_quorum = false;
  ConnectionId last_connection = 0;
  Mesh mesh;
  Learner learner;
  WorkerDepartures departures;
};
}  // namespace

TEST_F(WorkerDeparturesTest, NodeWithoutPeersAnswersAtOnce) {
  write_end();
  std::vector<EndAnswer> const answers = add_call(7);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].id, 7u);
  EXPECT_TRUE(answers[0].known);
  EXPECT_TRUE(answers_at(seconds(10)).empty()) << "a call is answered once";
}

TEST_F(WorkerDeparturesTest, WaitsForEveryConnectedPeer) {
  connect("n2");
  connect("n3");
  write_end();
  EXPECT_TRUE(add_call(1).empty());
  acknowledge("n2");
  EXPECT_TRUE(answers_at(millis(100)).empty()) << "two of three know it, the third is still connected";
  acknowledge("n3");
  std::vector<EndAnswer> const answers = answers_at(millis(200));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_TRUE(answers[0].known);
}

TEST_F(WorkerDeparturesTest, DeadlineDecidesByTheMajorityOfNodes) {
  connect("n2");
  connect("n3");
  write_end();
  EXPECT_TRUE(add_call(1).empty());
  EXPECT_TRUE(answers_at(millis(600) - 1).empty());
  std::vector<EndAnswer> const refused = answers_at(millis(600));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_FALSE(refused[0].known) << "one of three nodes knows it";

  EXPECT_TRUE(add_call(2).empty());
  acknowledge("n2");
  std::vector<EndAnswer> const accepted = answers_at(millis(600));
  ASSERT_EQ(accepted.size(), 1u);
  EXPECT_TRUE(accepted[0].known) << "two of three nodes know it";
}

TEST_F(WorkerDeparturesTest, QuorumOfReplicasCountsWhereASetIsKnown) {
  for (char const* const name : {"n2", "n3", "n4", "n5"}) connect(name);
  set_replicas({"n1", "n2", "n3"});
  write_end();
  EXPECT_TRUE(add_call(1).empty());
  acknowledge("n4");
  acknowledge("n5");
  std::vector<EndAnswer> const refused = answers_at(millis(600));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_FALSE(refused[0].known) << "three of five nodes know it, but one replica of three";

  EXPECT_TRUE(add_call(2).empty());
  acknowledge("n2");
  std::vector<EndAnswer> const accepted = answers_at(millis(600));
  ASSERT_EQ(accepted.size(), 1u);
  EXPECT_TRUE(accepted[0].known);
}

TEST_F(WorkerDeparturesTest, IsConnectedWithHalfOfTheNodesThatMayRun) {
  EXPECT_TRUE(departures.is_connected(0)) << "alone";
  connect("n2");
  connect("n3");
  disconnect("n2", false);
  EXPECT_TRUE(departures.is_connected(0)) << "two of three";
  disconnect("n3", false);
  EXPECT_FALSE(departures.is_connected(0)) << "one of three";
  disconnect("n3", true);
  EXPECT_TRUE(departures.is_connected(0)) << "n3 refuses connections: one of two";
  disconnect("n3", false);
  has_quorum = true;
  EXPECT_TRUE(departures.is_connected(0)) << "a quorum of the replicas is enough";
}

}  // namespace pipit
