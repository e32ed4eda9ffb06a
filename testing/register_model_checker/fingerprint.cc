#include "testing/register_model_checker/fingerprint.h"

#include <algorithm>

namespace pipit::register_checker {

std::string replica_name(std::size_t index) { return "k" + std::to_string(index + 1); }

int replica_index(std::string const& name) {
  if (name.size() != 2 || name[0] != 'k' || name[1] < '1' || name[1] > '9') return -1;
  return name[1] - '1';
}

Symmetry::Symmetry(std::size_t replicas, std::vector<std::size_t> interchangeable) {
  std::vector<std::size_t> identity(replicas);
  for (std::size_t i = 0; i < replicas; ++i) identity[i] = i;
  if (interchangeable.size() > max_interchangeable) interchangeable.resize(max_interchangeable);
  std::sort(interchangeable.begin(), interchangeable.end());
  std::vector<std::size_t> order = interchangeable;
  do {
    std::vector<std::size_t> permutation = identity;
    for (std::size_t i = 0; i < interchangeable.size(); ++i) permutation[interchangeable[i]] = order[i];
    permutations_.push_back(std::move(permutation));
  } while (std::next_permutation(order.begin(), order.end()));
}

std::uint64_t Symmetry::name_hash(std::size_t permutation, std::string const& name) const {
  int const index = replica_index(name);
  if (index < 0 || static_cast<std::size_t>(index) >= permutations_[permutation].size()) return hash_text(name);
  return permutations_[permutation][static_cast<std::size_t>(index)] + 1;
}

std::uint64_t Symmetry::disk_id(std::size_t permutation, std::uint64_t id) const {
  std::uint64_t const replica = id / disks_per_replica;
  if (replica == 0 || replica > permutations_[permutation].size()) return id;
  return (permutations_[permutation][replica - 1] + 1) * disks_per_replica + id % disks_per_replica;
}

std::uint64_t Fingerprint::canonical_hash() const {
  return *std::min_element(hashes_.begin(), hashes_.begin() + static_cast<long>(size_));
}

}  // namespace pipit::register_checker
