// A prompt as a path of hashed blocks: each hash identifies the prompt from its start to the end of that block (§6.1).
#pragma once
#include <cstdint>
#include <string_view>
#include <vector>

namespace pipit {

constexpr std::size_t block_size = 128;  // bytes
constexpr std::size_t max_path_blocks = 256;
// The hashes of a prompt's leading blocks, or of the parts of a routed request's prompt, in order. Each covers the
// prompt up to the end of its block or part.
using Path = std::vector<std::uint64_t>;

// Hashes the complete blocks of a prompt, at most max_path_blocks; a rest shorter than a block is left out.
Path path_of(std::string_view prompt);

}  // namespace pipit
