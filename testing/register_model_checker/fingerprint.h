// Fingerprints of a world and of its parts. A fingerprint has one hash for each permitted permutation of the replicas,
// so that worlds which differ only in the numbering of interchangeable replicas count as one state.
#pragma once
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/hash.h"

namespace pipit::register_checker {

// Replicas are named k1, k2, ... The disk id of a replica is its number times this constant, plus the number of times
// that the replica's disk was wiped.
constexpr std::uint64_t disks_per_replica = 1000;
std::string replica_name(std::size_t index);
// The index of the replica with this name, or -1 if it is not the name of a replica.
int replica_index(std::string const& name);

// The permutations of replicas under which two worlds count as the same state.
class Symmetry {
 public:
  static constexpr std::size_t max_permutations = 24;  // of max_interchangeable replicas
  static constexpr std::size_t max_interchangeable = 4;

  // All permutations of the replicas in `interchangeable`, of which only the first max_interchangeable are used; all
  // other replicas keep their index.
  Symmetry(std::size_t replicas, std::vector<std::size_t> interchangeable);
  // Only the identity.
  Symmetry() : Symmetry(0, {}) {}

  std::size_t size() const { return permutations_.size(); }
  // The hash of a name; if it is the name of a replica, that of the replica that takes its place in the permutation.
  std::uint64_t name_hash(std::size_t permutation, std::string const& name) const;
  // The disk id after the permutation; an id that belongs to no replica is returned as it is.
  std::uint64_t disk_id(std::size_t permutation, std::uint64_t id) const;
  std::size_t permuted_index(std::size_t permutation, std::size_t replica) const {
    return permutations_[permutation][replica];
  }

 private:
  std::vector<std::vector<std::size_t>> permutations_;
};

// The hashes of one object, one for each permutation of a Symmetry. The add functions extend each hash; their order
// counts, except for add_unordered and add_replica.
class Fingerprint {
 public:
  Fingerprint() = default;
  explicit Fingerprint(Symmetry const& symmetry) : size_(symmetry.size()) { hashes_.fill(0x243f6a8885a308d3ull); }
  std::size_t size() const { return size_; }
  std::uint64_t hash(std::size_t permutation) const { return hashes_[permutation]; }
  void add_number(std::uint64_t x) {
    for (std::size_t i = 0; i < size_; ++i) hashes_[i] = combine(hashes_[i], x);
  }
  void add_text(std::string const& x) { add_number(hash_text(x)); }
  // Adds the name of a node or replica, the latter permuted.
  void add_name(Symmetry const& symmetry, std::string const& x) {
    for (std::size_t i = 0; i < size_; ++i) hashes_[i] = combine(hashes_[i], symmetry.name_hash(i, x));
  }
  // Adds a disk id, permuted.
  void add_disk(Symmetry const& symmetry, std::uint64_t x) {
    for (std::size_t i = 0; i < size_; ++i) hashes_[i] = combine(hashes_[i], symmetry.disk_id(i, x));
  }
  void add_part(Fingerprint const& other) {
    for (std::size_t i = 0; i < size_; ++i) hashes_[i] = combine(hashes_[i], other.hashes_[i]);
  }
  // Adds an element of a multiset: the result does not depend on the order in which the elements are added.
  void add_unordered(Fingerprint const& other) {
    for (std::size_t i = 0; i < size_; ++i) hashes_[i] += hash_bits(other.hashes_[i] ^ 0x9e3779b97f4a7c15ull);
  }
  // Adds the state of the replica `index` at its permuted index; the order of the calls does not count.
  void add_replica(Symmetry const& symmetry, std::size_t index, Fingerprint const& other) {
    for (std::size_t i = 0; i < size_; ++i)
      hashes_[i] += hash_bits(combine(symmetry.permuted_index(i, index) + 1, other.hashes_[i]));
  }
  // The least of the hashes: the same for all worlds that a permutation turns into each other.
  std::uint64_t canonical_hash() const;

 private:
  static std::uint64_t combine(std::uint64_t h, std::uint64_t x) {
    return hash_bits(h * 0x9e3779b97f4a7c15ull + x + 1);
  }
  std::size_t size_ = 0;
  std::array<std::uint64_t, Symmetry::max_permutations> hashes_{};
};

}  // namespace pipit::register_checker
