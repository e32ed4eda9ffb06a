#include "net/http_line_validator.h"

namespace pipit {

namespace {
constexpr std::size_t max_chunk_size_digits = 15;  // keeps the size below 2^60
constexpr std::size_t status_digits = 3;
constexpr std::string_view version = "HTTP/1.";

bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_hex(char c) { return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }
bool is_token(char c) {
  return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
}
// True for "HTTP/1." followed by one digit.
bool is_version(std::string_view token) {
  return token.size() == version.size() + 1 && token.substr(0, version.size()) == version && is_digit(token.back());
}
// True for three digits of a status class from 1 to 5, alone or followed by a space and a reason phrase.
bool is_status(std::string_view text) {
  if (text.size() < status_digits || (text.size() > status_digits && text[status_digits] != ' ')) return false;
  return text[0] >= '1' && text[0] <= '5' && is_digit(text[1]) && is_digit(text[2]);
}
}  // namespace

bool HttpLineValidator::start_line_valid() const {
  std::string_view const line = start_line_;
  if (!parses_requests_) {
    std::size_t const status = version.size() + 2;
    return line.size() > status && is_version(line.substr(0, status - 1)) && line[status - 1] == ' ' &&
           is_status(line.substr(status));
  }
  std::size_t const a = line.find(' ');
  std::size_t const b = line.rfind(' ');
  if (a == std::string_view::npos || a == b || line.find('\t') != std::string_view::npos) return false;
  return line.substr(a + 1, b - a - 1).find(' ') == std::string_view::npos && is_version(line.substr(b + 1));
}

bool HttpLineValidator::finish_line() {
  bool const empty = line_bytes_ == 0;
  switch (state_) {
    case State::start_line:
      if (empty) return true;  // RFC 9112 §2.2 allows empty lines before a message
      state_ = State::field;
      return start_line_valid();
    case State::field:
      if (empty) state_ = State::chunk_size;
      return empty || field_name_ended_;
    case State::chunk_size:
      state_ = chunk_size_nonzero_ ? State::after_chunk : State::trailer;
      return chunk_size_digits_ > 0;
    case State::after_chunk:
      state_ = State::chunk_size;
      return empty;
    case State::trailer:
      if (empty) state_ = State::complete;
      return empty || field_name_ended_;
    case State::complete:
      return false;
  }
  return false;
}

bool HttpLineValidator::consume_byte(char c) {
  if (after_cr_) {
    after_cr_ = false;
    if (c != '\n' || !finish_line()) return false;
    line_bytes_ = chunk_size_digits_ = 0;
    field_name_ended_ = chunk_size_nonzero_ = blank_after_chunk_size_ = in_chunk_extension_ = false;
    return true;
  }
  if (c == '\r') {
    after_cr_ = true;
    return true;
  }
  if ((static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f) return false;
  ++line_bytes_;
  switch (state_) {
    case State::start_line:
      start_line_ += c;
      return true;
    case State::field:
    case State::trailer:
      if (field_name_ended_) return true;
      field_name_ended_ = c == ':';
      return field_name_ended_ ? line_bytes_ > 1 : is_token(c);
    case State::chunk_size:
      if (in_chunk_extension_) return true;
      if (c == ' ' || c == '\t') {
        blank_after_chunk_size_ = true;
        return chunk_size_digits_ > 0;
      }
      if (c == ';') {
        in_chunk_extension_ = true;
        return chunk_size_digits_ > 0;
      }
      chunk_size_nonzero_ = chunk_size_nonzero_ || c != '0';
      return is_hex(c) && !blank_after_chunk_size_ && ++chunk_size_digits_ <= max_chunk_size_digits;
    case State::after_chunk:
    case State::complete:
      return false;
  }
  return false;
}

bool HttpLineValidator::consume(std::string_view bytes) {
  for (std::size_t i = 0; valid_ && i < bytes.size(); ++i) valid_ = consume_byte(bytes[i]);
  return valid_;
}

std::size_t HttpLineValidator::consume_head(std::string_view bytes) {
  std::size_t n = 0;
  while (valid_ && !head_complete() && n < bytes.size()) valid_ = consume_byte(bytes[n++]);
  return n;
}

}  // namespace pipit
