#include "net/http_line_validator.h"

namespace pipit {

namespace {
constexpr std::size_t digits_most = 15;
constexpr std::size_t status_digits = 3;
constexpr std::string_view version = "HTTP/1.";

bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_hex(char c) { return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }
bool is_token(char c) {
  return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
}
// "HTTP/1." and one digit.
bool is_version(std::string_view token) {
  return token.size() == version.size() + 1 && token.substr(0, version.size()) == version && is_digit(token.back());
}
// Three digits, of a class that there is; a reason may follow.
bool is_status(std::string_view text) {
  if (text.size() < status_digits || (text.size() > status_digits && text[status_digits] != ' ')) return false;
  return text[0] >= '1' && text[0] <= '5' && is_digit(text[1]) && is_digit(text[2]);
}
}  // namespace

bool Lines::first_fits() const {
  std::string_view const line = first_;
  if (!requests_) {
    std::size_t const status = version.size() + 2;
    return line.size() > status && is_version(line.substr(0, status - 1)) && line[status - 1] == ' ' &&
           is_status(line.substr(status));
  }
  std::size_t const a = line.find(' ');
  std::size_t const b = line.rfind(' ');
  if (a == std::string_view::npos || a == b || line.find('\t') != std::string_view::npos) return false;
  return line.substr(a + 1, b - a - 1).find(' ') == std::string_view::npos && is_version(line.substr(b + 1));
}

bool Lines::end_of_line() {
  bool const empty = count_ == 0;
  switch (part_) {
    case Part::first:
      if (empty) return true;  // before a message
      part_ = Part::field;
      return first_fits();
    case Part::field:
      if (empty) part_ = Part::size;
      return empty || colon_;
    case Part::size:
      part_ = some_ ? Part::after_chunk : Part::trailer;
      return digits_ > 0;
    case Part::after_chunk:
      part_ = Part::size;
      return empty;
    case Part::trailer:
      if (empty) part_ = Part::over;
      return empty || colon_;
    case Part::over:
      return false;
  }
  return false;
}

bool Lines::byte(char c) {
  if (cr_) {
    cr_ = false;
    if (c != '\n' || !end_of_line()) return false;
    count_ = digits_ = 0;
    colon_ = some_ = blank_ = extension_ = false;
    return true;
  }
  if (c == '\r') {
    cr_ = true;
    return true;
  }
  if ((static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f) return false;
  ++count_;
  switch (part_) {
    case Part::first:
      first_ += c;
      return true;
    case Part::field:
    case Part::trailer:
      if (colon_) return true;
      colon_ = c == ':';
      return colon_ ? count_ > 1 : is_token(c);
    case Part::size:
      if (extension_) return true;
      if (c == ' ' || c == '\t') {
        blank_ = true;
        return digits_ > 0;
      }
      if (c == ';') {
        extension_ = true;
        return digits_ > 0;
      }
      some_ = some_ || c != '0';
      return is_hex(c) && !blank_ && ++digits_ <= digits_most;
    case Part::after_chunk:
    case Part::over:
      return false;
  }
  return false;
}

bool Lines::take(std::string_view bytes) {
  for (std::size_t i = 0; good_ && i < bytes.size(); ++i) good_ = byte(bytes[i]);
  return good_;
}

std::size_t Lines::take_head(std::string_view bytes) {
  std::size_t n = 0;
  while (good_ && !headed() && n < bytes.size()) good_ = byte(bytes[n++]);
  return n;
}

}  // namespace pipit
