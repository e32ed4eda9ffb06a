#include "testing/register_model_checker/print.h"

#include <algorithm>

namespace pipit::register_checker {

std::string replica_name(std::size_t index) { return "k" + std::to_string(index + 1); }

int replica_index(std::string const& name) {
  if (name.size() != 2 || name[0] != 'k' || name[1] < '1' || name[1] > '9') return -1;
  return name[1] - '1';
}

Symmetry::Symmetry(std::size_t replicas, std::vector<std::size_t> free) {
  std::vector<std::size_t> same(replicas);
  for (std::size_t i = 0; i < replicas; ++i) same[i] = i;
  if (free.size() > 4) free.resize(4);
  std::sort(free.begin(), free.end());
  std::vector<std::size_t> order = free;
  do {
    std::vector<std::size_t> way = same;
    for (std::size_t i = 0; i < free.size(); ++i) way[free[i]] = order[i];
    ways.push_back(std::move(way));
  } while (std::next_permutation(order.begin(), order.end()));
}

std::uint64_t Symmetry::name(std::size_t way, std::string const& text) const {
  int const index = replica_index(text);
  if (index < 0 || static_cast<std::size_t>(index) >= ways[way].size()) return hash_text(text);
  return ways[way][static_cast<std::size_t>(index)] + 1;
}

std::uint64_t Symmetry::disk(std::size_t way, std::uint64_t id) const {
  std::uint64_t const replica = id / disks_per_replica;
  if (replica == 0 || replica > ways[way].size()) return id;
  return (ways[way][replica - 1] + 1) * disks_per_replica + id % disks_per_replica;
}

std::uint64_t Print::least() const { return *std::min_element(lanes.begin(), lanes.begin() + static_cast<long>(ways)); }

}  // namespace pipit::register_checker
