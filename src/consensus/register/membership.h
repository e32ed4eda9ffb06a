// The membership of the register: its replicas, and what counts as a quorum of them (docs/control.md, "Changes of
// members").
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wire_generated.h"

namespace pipit {

// Replicas that answered, by name, with the id of the disk that they answered from.
using Voters = std::map<std::string, std::uint64_t>;

// A set of replicas, or a joint one on its way from `former` to `replicas`. A quorum of a joint set is a majority of
// each of the two, so that proposers that saw different next sets still meet in the former one. A plain value: the
// register's value carries it, and learners and proposers keep what they know of it.
struct Membership {
  std::uint64_t epoch = 0;  // raised by each change of members, also by the step out of a joint set
  std::vector<wire::ReplicaT> replicas;
  std::vector<wire::ReplicaT> former;  // the set that this one follows, until the joint set is left

  bool empty() const { return replicas.empty(); }
  bool is_joint() const { return !former.empty(); }
  // The number of replicas that make a majority of the set itself.
  std::size_t majority_size() const { return replicas.size() / 2 + 1; }
  // Whether a replica belongs to the set, on this disk.
  bool contains(std::string const& name, std::uint64_t disk) const;
  // Whether a replica belongs to the set or to the one that it follows.
  bool has_participant(std::string const& name, std::uint64_t disk) const;
  // Whether those that answered are a majority of the set, and of the former one while it is joint.
  bool is_quorum(Voters const& voters) const;
  // Every replica that takes part, once each.
  std::vector<std::string> participant_names() const;
  // A hash of the members of both parts and of the epoch; equal sets have equal ones in every process.
  std::uint64_t fingerprint() const;
};

Membership membership_of(wire::ValueT const& value);
// Writes a set into a value.
void store_membership(Membership const& members, wire::ValueT& value);

}  // namespace pipit
