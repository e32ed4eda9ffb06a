#include "net/body_buffer.h"

#include <algorithm>

namespace pipit {

namespace {
constexpr std::size_t block_bytes = 16u << 10;
}  // namespace

void BodyBuffer::append(std::string_view bytes) {
  while (!bytes.empty()) {
    if (blocks_.empty() || blocks_.back().size() == blocks_.back().capacity()) {
      bool const fits_expected = blocks_.empty() && expected_ > 0;
      std::size_t const wanted = fits_expected ? static_cast<std::size_t>(expected_) : block_bytes;
      blocks_.emplace_back().reserve(std::min(wanted, block_bytes));
      held_bytes_ += blocks_.back().capacity();
    }
    std::string& block = blocks_.back();
    std::string_view const part = bytes.substr(0, block.capacity() - block.size());
    block.append(part);
    size_ += part.size();
    bytes.remove_prefix(part.size());
  }
}

std::string BodyBuffer::take() {
  std::string out;
  if (blocks_.size() == 1) {
    out = std::move(blocks_.front());
  } else {
    out.reserve(size_);
    for (std::string& block : blocks_) {
      out.append(block);
      block = std::string();
    }
  }
  clear();
  return out;
}

}  // namespace pipit
