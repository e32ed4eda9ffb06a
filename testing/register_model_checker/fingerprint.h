// Hashes of parts of a world, one for each way of exchanging its replicas, so that worlds that differ only in which
// replica is called what fold into one state.
#pragma once
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/hash.h"

namespace pipit::register_checker {

// Replicas are named k1, k2, ...; a disk's id is a thousand times the replica's number and the number of wipes.
constexpr std::uint64_t disks_per_replica = 1000;
std::string replica_name(std::size_t index);
// The index of a replica's name, or -1 when it names something else.
int replica_index(std::string const& name);

// The permutations of replicas under which a world looks the same.
class Symmetry {
 public:
  static constexpr std::size_t most = 24;
  // All permutations of the replicas in 'free'; the others keep their places.
  Symmetry(std::size_t replicas, std::vector<std::size_t> free);
  Symmetry() : Symmetry(0, {}) {}
  std::size_t size() const { return ways.size(); }
  std::uint64_t name(std::size_t way, std::string const& text) const;
  std::uint64_t disk(std::size_t way, std::uint64_t id) const;
  std::size_t place(std::size_t way, std::size_t replica) const { return ways[way][replica]; }

 private:
  std::vector<std::vector<std::size_t>> ways;
};

class Print {
 public:
  Print() = default;
  explicit Print(Symmetry const& symmetry) : ways(symmetry.size()) { lanes.fill(0x243f6a8885a308d3ull); }
  std::size_t size() const { return ways; }
  std::uint64_t lane(std::size_t way) const { return lanes[way]; }
  void number(std::uint64_t x) {
    for (std::size_t i = 0; i < ways; ++i) lanes[i] = step(lanes[i], x);
  }
  void text(std::string const& x) { number(hash_text(x)); }
  void name(Symmetry const& symmetry, std::string const& x) {
    for (std::size_t i = 0; i < ways; ++i) lanes[i] = step(lanes[i], symmetry.name(i, x));
  }
  void disk(Symmetry const& symmetry, std::uint64_t x) {
    for (std::size_t i = 0; i < ways; ++i) lanes[i] = step(lanes[i], symmetry.disk(i, x));
  }
  void part(Print const& other) {
    for (std::size_t i = 0; i < ways; ++i) lanes[i] = step(lanes[i], other.lanes[i]);
  }
  // A member of a bag: the order in which members are added does not count.
  void member(Print const& other) {
    for (std::size_t i = 0; i < ways; ++i) lanes[i] += hash_bits(other.lanes[i] ^ 0x9e3779b97f4a7c15ull);
  }
  // The same, in the place that the permutation gives a replica.
  void replica(Symmetry const& symmetry, std::size_t index, Print const& other) {
    for (std::size_t i = 0; i < ways; ++i) lanes[i] += hash_bits(step(symmetry.place(i, index) + 1, other.lanes[i]));
  }
  std::uint64_t least() const;

 private:
  static std::uint64_t step(std::uint64_t h, std::uint64_t x) { return hash_bits(h * 0x9e3779b97f4a7c15ull + x + 1); }
  std::size_t ways = 0;
  std::array<std::uint64_t, Symmetry::most> lanes{};
};

}  // namespace pipit::register_checker
