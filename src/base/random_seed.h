// Random seeds from the system, for values that must differ between nodes and between incarnations of one node.
#pragma once
#include <cstdint>

namespace pipit {

// Returns 64 random bits, independent of names and clocks: two nodes that start at the same moment get different seeds.
std::uint64_t random_seed();

}  // namespace pipit
