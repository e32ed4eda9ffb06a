#include "routing/index/path.h"

#include "base/hash.h"

namespace pipit {

Path path_of(std::string_view prompt) {
  Path out;
  std::uint64_t hash = 1;
  for (std::size_t at = 0; at + block_size <= prompt.size() && out.size() < max_path_blocks; at += block_size) {
    hash = hash_text(prompt.substr(at, block_size), hash);
    if (hash == 0) hash = 1;  // 0 is the root
    out.push_back(hash);
  }
  return out;
}

}  // namespace pipit
