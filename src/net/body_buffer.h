// The body of a request while it is being received.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pipit {

// Collects the bytes of a body in blocks of one size, so that many bodies that grow side by side leave no holes of
// other sizes in the allocator's memory.
class BodyBuffer {
 public:
  // Announces the length of the body, which may save memory for a small one; -1 if it is unknown.
  void expect(std::int64_t length) { expected_ = length; }
  void append(std::string_view bytes);
  // Memory that the buffer holds, in bytes.
  std::size_t held_bytes() const { return held_bytes_; }
  // Returns the whole body and leaves the buffer empty.
  std::string take();
  // Frees the memory.
  void clear() { *this = BodyBuffer(); }

 private:
  std::vector<std::string> blocks_;
  std::size_t size_ = 0;
  std::size_t held_bytes_ = 0;
  std::int64_t expected_ = -1;
};

}  // namespace pipit
