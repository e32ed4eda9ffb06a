// When the end of a worker is acknowledged, given a table of members and entries. Without sockets.
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

  // Adds a peer with an open connection, for which every new entry is queued.
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
  // Sends the peer all pending entries, and acknowledges them in its name.
  void acknowledge(std::string const& name) {
    mesh.entry_replication.acknowledge(name, mesh.entry_replication.next_batch(name, true).batch);
  }
  // Puts a replica set in force, with the disks 1, 2, ...
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
  std::vector<DepartureAnswer> answers_at(Micros now) {
    std::vector<DepartureAnswer> answers;
    departures.answer_calls(now, answers);
    return answers;
  }
  std::vector<DepartureAnswer> add_call(std::uint64_t id) {
    std::vector<DepartureAnswer> answers;
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

TEST_F(WorkerDeparturesTest, the_only_replica_without_peers_answers_at_once) {
  set_replicas({"n1"});
  write_end();
  std::vector<DepartureAnswer> const answers = add_call(7);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].id, 7u);
  EXPECT_TRUE(answers[0].acknowledged);
  EXPECT_TRUE(answers_at(seconds(10)).empty()) << "a call is answered once";
}

// Guards against a node that starts while it is cut off: it knows no other node, took itself for a majority and
// acknowledged the end of a worker that nobody else knew of.
TEST_F(WorkerDeparturesTest, node_that_knows_no_other_node_acknowledges_nothing) {
  write_end();
  EXPECT_TRUE(add_call(1).empty()) << "the replica set may become known before the deadline";
  std::vector<DepartureAnswer> const answers = answers_at(millis(600));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_FALSE(answers[0].acknowledged);
}

// Guards against the same with several nodes that start while they are cut off together.
TEST_F(WorkerDeparturesTest, nodes_that_know_only_each_other_acknowledge_nothing) {
  connect("n2");
  connect("n3");
  write_end();
  EXPECT_TRUE(add_call(1).empty());
  acknowledge("n2");
  acknowledge("n3");
  EXPECT_TRUE(answers_at(millis(600) - 1).empty());
  std::vector<DepartureAnswer> const answers = answers_at(millis(600));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_FALSE(answers[0].acknowledged) << "all known nodes have the entry, but there may be others";
}

TEST_F(WorkerDeparturesTest, call_is_acknowledged_when_the_replica_set_becomes_known_in_time) {
  connect("n2");
  write_end();
  EXPECT_TRUE(add_call(1).empty());
  acknowledge("n2");
  set_replicas({"n2"});
  std::vector<DepartureAnswer> const answers = answers_at(millis(300));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_TRUE(answers[0].acknowledged);
}

TEST_F(WorkerDeparturesTest, answer_waits_for_every_connected_peer) {
  connect("n2");
  connect("n3");
  set_replicas({"n1", "n2", "n3"});
  write_end();
  EXPECT_TRUE(add_call(1).empty());
  acknowledge("n2");
  EXPECT_TRUE(answers_at(millis(100)).empty()) << "two of three replicas have the entry, but the third is connected";
  acknowledge("n3");
  std::vector<DepartureAnswer> const answers = answers_at(millis(200));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_TRUE(answers[0].acknowledged);
}

TEST_F(WorkerDeparturesTest, quorum_decides_at_the_deadline) {
  connect("n2");
  connect("n3");
  set_replicas({"n1", "n2", "n3"});
  write_end();
  EXPECT_TRUE(add_call(1).empty());
  EXPECT_TRUE(answers_at(millis(600) - 1).empty());
  std::vector<DepartureAnswer> const refused = answers_at(millis(600));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_FALSE(refused[0].acknowledged) << "one of three replicas has the entry";

  EXPECT_TRUE(add_call(2).empty());
  acknowledge("n2");
  std::vector<DepartureAnswer> const accepted = answers_at(millis(600));
  ASSERT_EQ(accepted.size(), 1u);
  EXPECT_TRUE(accepted[0].acknowledged) << "two of three replicas have the entry";
}

TEST_F(WorkerDeparturesTest, quorum_of_replicas_decides_where_a_set_is_known) {
  for (char const* const name : {"n2", "n3", "n4", "n5"}) connect(name);
  set_replicas({"n1", "n2", "n3"});
  write_end();
  EXPECT_TRUE(add_call(1).empty());
  acknowledge("n4");
  acknowledge("n5");
  std::vector<DepartureAnswer> const refused = answers_at(millis(600));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_FALSE(refused[0].acknowledged) << "three of five nodes have the entry, but only one replica of three";

  EXPECT_TRUE(add_call(2).empty());
  acknowledge("n2");
  std::vector<DepartureAnswer> const accepted = answers_at(millis(600));
  ASSERT_EQ(accepted.size(), 1u);
  EXPECT_TRUE(accepted[0].acknowledged);
}

TEST_F(WorkerDeparturesTest, node_is_connected_with_half_of_the_nodes_that_may_run) {
  connect("n2");
  connect("n3");
  has_quorum = true;
  EXPECT_TRUE(departures.is_connected(0)) << "a quorum of the replicas is enough";
  has_quorum = false;
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

// Guards against a node that starts while it is cut off and takes over the workers that call it.
TEST_F(WorkerDeparturesTest, node_without_contact_to_a_quorum_since_its_start_is_not_connected) {
  EXPECT_FALSE(departures.is_connected(0)) << "it knows no other node";
  connect("n2");
  EXPECT_FALSE(departures.is_connected(0)) << "it knows one other node, and there may be more";
  has_quorum = true;
  EXPECT_TRUE(departures.is_connected(0));
}

// Guards against a node that is cut off for so long that its member table loses the others.
TEST_F(WorkerDeparturesTest, node_that_forgot_its_peers_is_not_connected) {
  connect("n2");
  connect("n3");
  has_quorum = true;
  EXPECT_TRUE(departures.is_connected(0));
  has_quorum = false;
  mesh.members.peers.clear();
  EXPECT_FALSE(departures.is_connected(0)) << "one of three";
  connect("n2");
  EXPECT_TRUE(departures.is_connected(0)) << "two of three";
}

}  // namespace pipit
