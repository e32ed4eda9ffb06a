#include "consensus/register/membership.h"

#include <algorithm>
#include <set>

#include "base/digest.h"
#include "base/guards.h"

namespace pipit {

namespace {
using KeeperList = std::vector<std::unique_ptr<wire::KeeperT>>;

bool has(std::vector<wire::KeeperT> const& keepers, std::string const& name, std::uint64_t disk) {
  for (wire::KeeperT const& keeper : keepers)
    if (keeper.name == name && (keeper.disk == disk || !guard(Guard::disk_id))) return true;
  return false;
}

bool majority_of(std::vector<wire::KeeperT> const& keepers, Voters const& voters) {
  std::size_t count = 0;
  for (std::pair<std::string const, std::uint64_t> const& voter : voters)
    if (has(keepers, voter.first, voter.second)) ++count;
  return count >= keepers.size() / 2 + 1;
}

std::vector<wire::KeeperT> unpacked(KeeperList const& list) {
  std::vector<wire::KeeperT> out;
  for (std::unique_ptr<wire::KeeperT> const& keeper : list) out.push_back(*keeper);
  return out;
}

KeeperList packed(std::vector<wire::KeeperT> const& keepers) {
  KeeperList out;
  for (wire::KeeperT const& keeper : keepers) out.push_back(std::make_unique<wire::KeeperT>(keeper));
  return out;
}

std::string sorted_text(std::vector<wire::KeeperT> const& keepers) {
  std::set<std::string> rows;
  for (wire::KeeperT const& keeper : keepers) rows.insert(keeper.name + '\n' + std::to_string(keeper.disk) + '\n');
  std::string out;
  for (std::string const& row : rows) out += row;
  return out;
}
}  // namespace

bool Membership::holds(std::string const& name, std::uint64_t disk) const { return has(keepers, name, disk); }

bool Membership::concerns(std::string const& name, std::uint64_t disk) const {
  return has(keepers, name, disk) || has(former, name, disk);
}

bool Membership::quorum(Voters const& voters) const {
  if (!majority_of(keepers, voters)) return false;
  return !joint() || !guard(Guard::joint) || majority_of(former, voters);
}

std::vector<std::string> Membership::names() const {
  std::set<std::string> out;
  for (wire::KeeperT const& keeper : keepers) out.insert(keeper.name);
  for (wire::KeeperT const& keeper : former) out.insert(keeper.name);
  return std::vector<std::string>(out.begin(), out.end());
}

std::uint64_t Membership::fingerprint() const {
  return digest_of(std::to_string(epoch) + '\n' + sorted_text(keepers) + "former\n" + sorted_text(former)).low;
}

Membership membership_of(wire::ValueT const& value) {
  Membership out;
  out.epoch = value.epoch;
  out.keepers = unpacked(value.keepers);
  out.former = unpacked(value.former);
  return out;
}

void put_membership(Membership const& members, wire::ValueT& value) {
  value.epoch = members.epoch;
  value.keepers = packed(members.keepers);
  value.former = packed(members.former);
}

}  // namespace pipit
