// Random numbers from the system, for what must differ between nodes and between incarnations of one node.
#pragma once
#include <cstdint>

namespace pipit {

// 64 random bits. Independent of names and clocks: two nodes that start at one moment draw different numbers.
std::uint64_t random_seed();

}  // namespace pipit
