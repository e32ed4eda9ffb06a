#include "net/http.h"

#include <strings.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <limits>

namespace pipit {

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string const* Head::find(std::string_view name) const {
  for (std::pair<std::string, std::string> const& item : fields)
    if (equals_ignoring_case(item.first, name)) return &item.second;
  return nullptr;
}

std::string Head::get(std::string_view name) const {
  std::string const* const value = find(name);
  return value == nullptr ? "" : *value;
}

void Head::remove(std::string_view name) {
  fields.erase(std::remove_if(fields.begin(), fields.end(),
                              [name](std::pair<std::string, std::string> const& item) {
                                return equals_ignoring_case(item.first, name);
                              }),
               fields.end());
}

void Head::set(std::string_view name, std::string value) {
  remove(name);
  fields.emplace_back(std::string(name), std::move(value));
}

void remove_hop_by_hop_fields(Head& head, std::vector<std::string> const& end_to_end) {
  std::vector<std::string> names = {"Keep-Alive", "Proxy-Connection", "TE",    "Trailer", "Transfer-Encoding",
                                    "Upgrade",    "Content-Length",   "Expect"};
  for (std::pair<std::string, std::string> const& item : head.fields) {
    if (!equals_ignoring_case(item.first, "Connection")) continue;
    std::string_view rest = item.second;
    while (!rest.empty()) {
      std::size_t const cut = std::min(rest.find(','), rest.size());
      std::string_view token = rest.substr(0, cut);
      rest.remove_prefix(std::min(cut + 1, rest.size()));
      while (!token.empty() && (token.front() == ' ' || token.front() == '\t')) token.remove_prefix(1);
      while (!token.empty() && (token.back() == ' ' || token.back() == '\t')) token.remove_suffix(1);
      bool const is_end_to_end = equals_ignoring_case(token, "Host") ||
                                 std::any_of(end_to_end.begin(), end_to_end.end(), [token](std::string const& name) {
                                   return equals_ignoring_case(token, name);
                                 });
      if (!token.empty() && !is_end_to_end) names.emplace_back(token);
    }
  }
  names.emplace_back("Connection");
  for (std::string const& name : names) head.remove(name);
}

namespace {
void append_fields(std::string& out, Head const& head) {
  for (std::pair<std::string, std::string> const& item : head.fields)
    out.append(item.first).append(": ").append(item.second).append("\r\n");
}
}  // namespace

std::string serialize_request_head(Head const& head, std::int64_t length) {
  std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
  append_fields(out, head);
  if (length > 0 || (head.method != "GET" && head.method != "HEAD"))
    out += "Content-Length: " + std::to_string(length) + "\r\n";
  out += "\r\n";
  return out;
}

char const* reason_phrase(unsigned status) {
  switch (status) {
#define XX(num, name, text) \
  case num:                 \
    return #text;
    HTTP_STATUS_MAP(XX)
#undef XX
    default:
      return "Status";
  }
}

std::string serialize_response_head(Head const& head, std::int64_t length, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + " " +
                    (head.reason.empty() ? reason_phrase(head.status) : head.reason.c_str()) + "\r\n";
  append_fields(out, head);
  // Of the statuses without a body, only 304 may state the length that the body would have had.
  if (length >= 0 && (!status_forbids_body(head.status) || head.status == 304))
    out += "Content-Length: " + std::to_string(length) + "\r\n";
  else if (!status_forbids_body(head.status))
    out += "Transfer-Encoding: chunked\r\n";
  if (close) out += "Connection: close\r\n";
  out += "\r\n";
  return out;
}

std::string encode_chunk(std::string_view bytes) {
  char size[24];
  int const n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  std::string out;
  out.reserve(bytes.size() + static_cast<std::size_t>(n) + 2);
  out.append(size, static_cast<std::size_t>(n)).append(bytes).append("\r\n");
  return out;
}

HttpParser::HttpParser(bool parses_requests) : parses_requests_(parses_requests), line_validator_(parses_requests) {
  // feed() enforces the operator's limit; the limit of http_parser would reject heads that the operator allows.
  http_parser_set_max_header_size(std::numeric_limits<std::uint32_t>::max());
  http_parser_init(&parser_, parses_requests_ ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

http_parser_settings const& HttpParser::settings() {
  static http_parser_settings const made = [] {
    http_parser_settings out;
    http_parser_settings_init(&out);
    out.on_message_begin = on_begin;
    out.on_url = on_target;
    out.on_status = on_status;
    out.on_header_field = on_field;
    out.on_header_value = on_value;
    out.on_headers_complete = on_headers;
    out.on_body = on_body;
    out.on_message_complete = on_message_end;
    return out;
  }();
  return made;
}

int HttpParser::on_begin(http_parser* parser) {
  HttpParser& self = *static_cast<HttpParser*>(parser->data);
  self.started_ = true;
  return 0;
}

int HttpParser::on_target(http_parser* parser, char const* at, std::size_t size) {
  static_cast<HttpParser*>(parser->data)->head_.target.append(at, size);
  return 0;
}

int HttpParser::on_status(http_parser* parser, char const* at, std::size_t size) {
  static_cast<HttpParser*>(parser->data)->head_.reason.append(at, size);
  return 0;
}

int HttpParser::on_field(http_parser* parser, char const* at, std::size_t size) {
  HttpParser& self = *static_cast<HttpParser*>(parser->data);
  if (self.head_complete_) return self.count_trailer_bytes(size);
  if (self.last_callback_was_value_ || self.head_.fields.empty()) self.head_.fields.emplace_back();
  self.last_callback_was_value_ = false;
  self.head_.fields.back().first.append(at, size);
  return 0;
}

int HttpParser::on_value(http_parser* parser, char const* at, std::size_t size) {
  HttpParser& self = *static_cast<HttpParser*>(parser->data);
  if (self.head_complete_) return self.count_trailer_bytes(size);
  self.last_callback_was_value_ = true;
  self.head_.fields.back().second.append(at, size);
  return 0;
}

int HttpParser::on_headers(http_parser* parser) {
  HttpParser& self = *static_cast<HttpParser*>(parser->data);
  Head& head = self.head_;
  self.head_complete_ = true;
  head.status = self.parses_requests_ ? 0 : parser->status_code;
  if (self.parses_requests_) head.method = http_method_str(static_cast<http_method>(parser->method));
  head.keep_alive = http_should_keep_alive(parser) != 0;
  head.chunked = (parser->flags & F_CHUNKED) != 0;
  head.content_length = (parser->flags & F_CONTENTLENGTH) != 0 ? static_cast<std::int64_t>(parser->content_length) : -1;
  std::size_t hosts = 0;
  std::size_t encodings = 0;
  std::size_t lengths = 0;
  for (std::pair<std::string, std::string>& item : head.fields) {
    // Whitespace around a value is not part of it.
    item.second.erase(item.second.find_last_not_of(" \t") + 1);
    if (equals_ignoring_case(item.first, "Host")) ++hosts;
    if (equals_ignoring_case(item.first, "Content-Length")) ++lengths;
    if (equals_ignoring_case(item.first, "Transfer-Encoding")) ++encodings;
    for (char const c : item.second)
      if ((static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f) self.error_ = Error::malformed;
    // Another parser on the path may interpret anything but a plain "chunked" differently (request smuggling).
    if (equals_ignoring_case(item.first, "Transfer-Encoding") && !equals_ignoring_case(item.second, "chunked"))
      self.error_ = Error::malformed;
  }
  if (lengths > 1 || encodings > 1 || (lengths > 0 && (head.chunked || head.content_length < 0)))
    self.error_ = Error::malformed;
  if (self.parses_requests_ && (hosts != 1 || parser->http_major != 1 || parser->upgrade))
    self.error_ = Error::malformed;
  if (self.parses_requests_ && (head.target.empty() || head.target[0] != '/')) self.error_ = Error::malformed;
  if (head.content_length > static_cast<std::int64_t>(self.max_body_bytes_)) self.error_ = Error::body_too_large;
  if (self.error_ != Error::none) return -1;
  bool const body_allowed = self.callbacks.head ? self.callbacks.head(head) : true;
  bool const no_body = !self.parses_requests_ && status_forbids_body(head.status);
  return body_allowed && !no_body ? 0 : 1;
}

int HttpParser::on_body(http_parser* parser, char const* at, std::size_t size) {
  HttpParser& self = *static_cast<HttpParser*>(parser->data);
  if (!self.validate_lines_up_to(at)) return -1;
  self.validated_up_to_ = at + size;
  self.body_bytes_ += size;
  if (self.body_bytes_ > self.max_body_bytes_) {
    self.error_ = Error::body_too_large;
    return -1;
  }
  if (self.callbacks.body) self.callbacks.body(std::string_view(at, size));
  return 0;
}

int HttpParser::on_message_end(http_parser* parser) {
  HttpParser& self = *static_cast<HttpParser*>(parser->data);
  self.complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

// Trailers belong to the framing, which is written anew for the next hop: they are limited in size and discarded.
int HttpParser::count_trailer_bytes(std::size_t size) {
  trailer_bytes_ += size;
  if (trailer_bytes_ <= max_head_bytes_) return 0;
  error_ = Error::head_too_large;
  return -1;
}

// Validates the lines in the fed bytes up to 'end'.
bool HttpParser::validate_lines_up_to(char const* end) {
  if (!line_validator_.consume(std::string_view(validated_up_to_, static_cast<std::size_t>(end - validated_up_to_))) &&
      error_ == Error::none)
    error_ = Error::malformed;
  validated_up_to_ = end;
  return error_ == Error::none;
}

std::size_t HttpParser::execute_parser(std::string_view bytes) {
  std::size_t const consumed = http_parser_execute(&parser_, &settings(), bytes.data(), bytes.size());
  http_errno const code = HTTP_PARSER_ERRNO(&parser_);
  if (code == HPE_HEADER_OVERFLOW && error_ == Error::none) error_ = Error::head_too_large;
  if (code != HPE_OK && code != HPE_PAUSED && error_ == Error::none) error_ = Error::malformed;
  return consumed;
}

std::size_t HttpParser::feed(std::string_view bytes) {
  if (error_ != Error::none || complete_ || bytes.empty()) return 0;
  std::size_t consumed = 0;
  if (!head_complete_) {
    // Only the head, and at most its allowed size, so that the limit is exact however the bytes are split.
    std::string_view const part =
        bytes.substr(0, line_validator_.consume_head(bytes.substr(0, max_head_bytes_ - head_bytes_)));
    if (!line_validator_.valid()) {
      error_ = Error::malformed;
      return 0;
    }
    head_bytes_ += part.size();
    consumed = execute_parser(part);
    if (head_complete_ != line_validator_.head_complete() && error_ == Error::none) error_ = Error::malformed;
    if (!head_complete_ && head_bytes_ >= max_head_bytes_ && error_ == Error::none) error_ = Error::head_too_large;
  }
  if (head_complete_ && !complete_ && error_ == Error::none && consumed < bytes.size()) {
    std::string_view const rest = bytes.substr(consumed);
    validated_up_to_ = rest.data();
    std::size_t const more = execute_parser(rest);
    if (error_ == Error::none) validate_lines_up_to(rest.data() + more);
    consumed += more;
  }
  if (complete_ && error_ == Error::none) {
    http_parser_pause(&parser_, 0);
    if (callbacks.complete) callbacks.complete();
  }
  return consumed;
}

bool HttpParser::eof() {
  if (!started_ || complete_) return true;
  http_parser_execute(&parser_, &settings(), nullptr, 0);
  if (complete_) {
    http_parser_pause(&parser_, 0);
    if (callbacks.complete) callbacks.complete();
    return true;
  }
  return false;
}

void HttpParser::start_next_message() {
  http_parser_init(&parser_, parses_requests_ ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  line_validator_ = HttpLineValidator(parses_requests_);
  head_ = Head();
  last_callback_was_value_ = started_ = head_complete_ = complete_ = false;
  head_bytes_ = body_bytes_ = trailer_bytes_ = 0;
}

}  // namespace pipit
