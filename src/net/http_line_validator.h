// The lines of a message, byte by byte, apart from its body. http_parser takes what is nearly right; what nearly fits
// may be read otherwise by whoever comes next, so here it must fit to the byte (design §12.2, RFC 9112).
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace pipit {

class Lines {
 public:
  explicit Lines(bool requests) : requests_(requests) {}
  // The next bytes that are no body. False once something does not fit.
  bool take(std::string_view bytes);
  // Takes no more than what belongs to the head; says how much that is.
  std::size_t take_head(std::string_view bytes);
  bool fits() const { return good_; }
  bool headed() const { return part_ > Part::field; }

 private:
  enum class Part : std::uint8_t { first, field, size, after_chunk, trailer, over };
  bool byte(char c);
  bool end_of_line();
  bool first_fits() const;

  bool requests_;
  bool good_ = true;
  Part part_ = Part::first;
  bool cr_ = false;
  std::string first_;       // the request's or status line
  std::size_t count_ = 0;   // bytes of the present line
  bool colon_ = false;      // a field: its name has ended
  std::size_t digits_ = 0;  // a chunk's size: how many, and whether any is above 0
  bool some_ = false;
  bool blank_ = false;
  bool extension_ = false;
};

}  // namespace pipit
