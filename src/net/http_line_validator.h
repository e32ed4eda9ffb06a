// Strict check of the lines of an HTTP/1.1 message: start line, fields, chunk sizes and trailers (design §12.2, RFC
// 9112). http_parser accepts some malformed lines that another parser on the path may read differently (request
// smuggling); this check accepts only lines that match the grammar byte by byte.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace pipit {

// Checks one message, fed incrementally without the bytes of its body. A new message needs a new object.
class HttpLineValidator {
 public:
  explicit HttpLineValidator(bool parses_requests) : parses_requests_(parses_requests) {}
  // Checks the next bytes of the message, which must not belong to its body. Returns false from the first violation on.
  bool consume(std::string_view bytes);
  // Checks bytes up to the end of the head or the first violation, and returns how many it consumed.
  std::size_t consume_head(std::string_view bytes);
  // False once a byte violated the grammar.
  bool valid() const { return valid_; }
  // True once the empty line that ends the head was consumed.
  bool head_complete() const { return state_ > State::field; }

 private:
  // In the order in which they occur in a message: head_complete() compares them.
  enum class State : std::uint8_t { start_line, field, chunk_size, after_chunk, trailer, complete };
  bool consume_byte(char c);
  bool finish_line();
  bool start_line_valid() const;

  bool parses_requests_;
  bool valid_ = true;
  State state_ = State::start_line;
  bool after_cr_ = false;
  std::string start_line_;             // request line or status line
  std::size_t line_bytes_ = 0;         // bytes of the current line
  bool field_name_ended_ = false;      // the current field line contains its colon
  std::size_t chunk_size_digits_ = 0;  // digits of the current chunk size
  bool chunk_size_nonzero_ = false;
  bool blank_after_chunk_size_ = false;
  bool in_chunk_extension_ = false;
};

}  // namespace pipit
