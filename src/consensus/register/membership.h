// The membership of the register: its replicas, and the quorums of them (docs/control.md, "Changes of members").
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wire_generated.h"

namespace pipit {

// The disk ids of the replicas that replied to a request, by replica name.
using Voters = std::map<std::string, std::uint64_t>;

// A set of replicas, or a joint membership during a change from `former` to `replicas`. A quorum of a joint membership
// is a majority of each of the two sets, so that the quorums of proposers that saw different next sets still intersect
// in the former set. A plain value that is part of the register's value; learners and proposers keep copies.
struct Membership {
  std::uint64_t epoch = 0;  // raised by each change of members, and when a joint membership is left
  std::vector<wire::ReplicaT> replicas;
  std::vector<wire::ReplicaT> former;  // the previous set; empty unless joint

  // Whether no membership is known.
  bool empty() const { return replicas.empty(); }
  // Whether a change of members is in progress.
  bool is_joint() const { return !former.empty(); }
  // The number of replicas that form a majority of `replicas`.
  std::size_t majority_size() const { return replicas.size() / 2 + 1; }
  // Whether a replica with this disk belongs to `replicas`.
  bool contains(std::string const& name, std::uint64_t disk) const;
  // Whether a replica with this disk belongs to `replicas` or to `former`.
  bool has_participant(std::string const& name, std::uint64_t disk) const;
  // Whether the voters are a majority of `replicas`, and also of `former` while the membership is joint.
  bool is_quorum(Voters const& voters) const;
  // The names of all replicas of both sets, sorted and without duplicates.
  std::vector<std::string> participant_names() const;
  // A hash of the epoch and of the members of both sets, the same in every process.
  std::uint64_t fingerprint() const;
};

// The membership that a value carries.
Membership membership_of(wire::ValueT const& value);
// Writes a membership into a value.
void store_membership(Membership const& members, wire::ValueT& value);

}  // namespace pipit
