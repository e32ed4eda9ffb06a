#include "consensus/register/membership.h"

#include <algorithm>
#include <set>

#include "base/digest.h"
#include "base/guards.h"

namespace pipit {

namespace {
using ReplicaList = std::vector<std::unique_ptr<wire::ReplicaT>>;

bool contains_replica(std::vector<wire::ReplicaT> const& replicas, std::string const& name, std::uint64_t disk) {
  for (wire::ReplicaT const& replica : replicas)
    if (replica.name == name && (replica.disk == disk || !guard_enabled(Guard::disk_id))) return true;
  return false;
}

bool is_majority(std::vector<wire::ReplicaT> const& replicas, Voters const& voters) {
  std::size_t count = 0;
  for (std::pair<std::string const, std::uint64_t> const& voter : voters)
    if (contains_replica(replicas, voter.first, voter.second)) ++count;
  return count >= replicas.size() / 2 + 1;
}

std::vector<wire::ReplicaT> to_vector(ReplicaList const& list) {
  std::vector<wire::ReplicaT> out;
  for (std::unique_ptr<wire::ReplicaT> const& replica : list) out.push_back(*replica);
  return out;
}

ReplicaList to_table(std::vector<wire::ReplicaT> const& replicas) {
  ReplicaList out;
  for (wire::ReplicaT const& replica : replicas) out.push_back(std::make_unique<wire::ReplicaT>(replica));
  return out;
}

std::string sorted_text(std::vector<wire::ReplicaT> const& replicas) {
  std::set<std::string> rows;
  for (wire::ReplicaT const& replica : replicas) rows.insert(replica.name + '\n' + std::to_string(replica.disk) + '\n');
  std::string out;
  for (std::string const& row : rows) out += row;
  return out;
}
}  // namespace

bool Membership::contains(std::string const& name, std::uint64_t disk) const {
  return contains_replica(replicas, name, disk);
}

bool Membership::has_participant(std::string const& name, std::uint64_t disk) const {
  return contains_replica(replicas, name, disk) || contains_replica(former, name, disk);
}

bool Membership::is_quorum(Voters const& voters) const {
  if (!is_majority(replicas, voters)) return false;
  return !is_joint() || !guard_enabled(Guard::joint) || is_majority(former, voters);
}

std::vector<std::string> Membership::participant_names() const {
  std::set<std::string> out;
  for (wire::ReplicaT const& replica : replicas) out.insert(replica.name);
  for (wire::ReplicaT const& replica : former) out.insert(replica.name);
  return std::vector<std::string>(out.begin(), out.end());
}

std::uint64_t Membership::fingerprint() const {
  return digest_of(std::to_string(epoch) + '\n' + sorted_text(replicas) + "former\n" + sorted_text(former)).low;
}

Membership membership_of(wire::ValueT const& value) {
  Membership out;
  out.epoch = value.epoch;
  out.replicas = to_vector(value.replicas);
  out.former = to_vector(value.former);
  return out;
}

void store_membership(Membership const& members, wire::ValueT& value) {
  value.epoch = members.epoch;
  value.replicas = to_table(members.replicas);
  value.former = to_table(members.former);
}

}  // namespace pipit
