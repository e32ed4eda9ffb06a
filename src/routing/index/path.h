// A prompt as a path of hashed blocks: each hash stands for the whole prompt up to there (§6.1).
#pragma once
#include <cstdint>
#include <string_view>
#include <vector>

namespace pipit {

constexpr std::size_t block_size = 128;
constexpr std::size_t max_path_blocks = 256;
using Path = std::vector<std::uint64_t>;

Path path_of(std::string_view prompt);

}  // namespace pipit
