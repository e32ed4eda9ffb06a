// The lines of a message, byte by byte, apart from its body. http_parser takes what is nearly right; what nearly fits
// may be read otherwise by whoever comes next, so here it must fit to the byte (design §12.2, RFC 9112).
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace pipit {

class HttpLineValidator {
 public:
  explicit HttpLineValidator(bool parses_requests) : parses_requests_(parses_requests) {}
  // The next bytes that are no body. False once something does not fit.
  bool consume(std::string_view bytes);
  // Takes no more than what belongs to the head; says how much that is.
  std::size_t consume_head(std::string_view bytes);
  bool valid() const { return valid_; }
  bool head_complete() const { return state_ > State::field; }

 private:
  enum class State : std::uint8_t { start_line, field, chunk_size, after_chunk, trailer, complete };
  bool consume_byte(char c);
  bool finish_line();
  bool start_line_valid() const;

  bool parses_requests_;
  bool valid_ = true;
  State state_ = State::start_line;
  bool after_cr_ = false;
  std::string start_line_;             // the request's or status line
  std::size_t line_bytes_ = 0;         // bytes of the present line
  bool field_name_ended_ = false;      // a field: its name has ended
  std::size_t chunk_size_digits_ = 0;  // a chunk's size: how many, and whether any is above 0
  bool chunk_size_nonzero_ = false;
  bool blank_after_chunk_size_ = false;
  bool in_chunk_extension_ = false;
};

}  // namespace pipit
