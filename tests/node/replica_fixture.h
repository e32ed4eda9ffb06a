// A fixture for tests of the classes that read a node's view of the replicas; the tests set this view directly.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "node/replica_directory.h"

namespace pipit {

inline wire::ReplicaT replica_on_disk(std::string const& name, std::uint64_t disk) {
  wire::ReplicaT out;
  out.name = name;
  out.disk = disk;
  return out;
}

// The node under test is the replica "a" at address "host-a", on disk 1.
struct ReplicaFixture {
  explicit ReplicaFixture(bool registered = true) {
    plan.name = "a";
    plan.address = "host-a";
    plan.workers_self_register = registered;
    plan.is_replica = true;
    wire::RecordT record;
    record.disk = 1;
    acceptor.emplace(std::move(record));
  }

  // Adds a peer with a replica, which is alive and connected by default.
  Peer& add_peer(std::string const& name, MemberState state = MemberState::alive, std::uint64_t connection = 9) {
    Peer& peer = mesh.members.peers[name];
    peer.member.name = name;
    peer.member.address = "host-" + name;
    peer.member.replica = true;
    peer.member.state = static_cast<std::uint8_t>(state);
    peer.connection = connection;
    return peer;
  }

  // Records an answer of a replica at 'at' from this disk, which holds no copy of the register.
  Learner::Observation& observe(std::string const& name, std::uint64_t disk, Micros at) {
    Learner::Observation& observation = learner.observations[name];
    observation.disk = disk;
    observation.at = at;
    return observation;
  }

  // Adopts a value with these replicas as the settled set.
  void choose_set(std::vector<wire::ReplicaT> const& replicas, Micros now) {
    Membership members;
    members.epoch = ++epoch;
    members.replicas = replicas;
    wire::ValueT value;
    value.revision = epoch;
    store_membership(members, value);
    learner.adopt(value, now);
  }

  // Polls these replicas at 'now'; each answers at once with the chosen value under the same ballot.
  void poll_answered_by(std::vector<wire::ReplicaT> const& replicas, Micros now) {
    std::vector<OutgoingMessage> outgoing;
    std::vector<std::string> names;
    for (wire::ReplicaT const& replica : replicas) names.push_back(replica.name);
    learner.poll(now, names, -1, outgoing);
    for (std::size_t index = 0; index < replicas.size(); ++index) {
      wire::RecordT record;
      record.disk = replicas[index].disk;
      record.formed = true;
      record.accepted = wire::Ballot(1, 1);
      record.value = std::make_unique<wire::ValueT>(*learner.value);
      wire::ReadReplyT const reply = make_read_reply(record, *outgoing[index].body.AsReadRequest());
      std::vector<OutgoingMessage> more;
      learner.handle_reply(replicas[index].name, reply, now, more);
    }
  }

  NodePlan plan;
  Mesh mesh{MeshSettings(), wire::MemberT(), 1};
  Learner learner;
  std::optional<Acceptor> acceptor;
  bool leaving = false;
  bool retiring = false;
  Micros poll_interval = millis(500);
  std::uint64_t epoch = 0;
  ReplicaDirectory directory{
      plan,
      mesh,
      learner,
      acceptor,
      {[this] { return leaving; }, [this] { return retiring; }, [this] { return poll_interval; }}};
};

}  // namespace pipit
