#include "net/http.h"

#include <strings.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <limits>

namespace pipit {

bool same_letters(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string const* Head::find(std::string_view name) const {
  for (std::pair<std::string, std::string> const& item : fields)
    if (same_letters(item.first, name)) return &item.second;
  return nullptr;
}

std::string Head::get(std::string_view name) const {
  std::string const* const value = find(name);
  return value == nullptr ? "" : *value;
}

void Head::drop(std::string_view name) {
  fields.erase(std::remove_if(
                   fields.begin(), fields.end(),
                   [name](std::pair<std::string, std::string> const& item) { return same_letters(item.first, name); }),
               fields.end());
}

void Head::set(std::string_view name, std::string value) {
  drop(name);
  fields.emplace_back(std::string(name), std::move(value));
}

void drop_hop_fields(Head& head, std::vector<std::string> const& end_to_end) {
  std::vector<std::string> names = {"Keep-Alive", "Proxy-Connection", "TE",    "Trailer", "Transfer-Encoding",
                                    "Upgrade",    "Content-Length",   "Expect"};
  for (std::pair<std::string, std::string> const& item : head.fields) {
    if (!same_letters(item.first, "Connection")) continue;
    std::string_view rest = item.second;
    while (!rest.empty()) {
      std::size_t const cut = std::min(rest.find(','), rest.size());
      std::string_view token = rest.substr(0, cut);
      rest.remove_prefix(std::min(cut + 1, rest.size()));
      while (!token.empty() && (token.front() == ' ' || token.front() == '\t')) token.remove_prefix(1);
      while (!token.empty() && (token.back() == ' ' || token.back() == '\t')) token.remove_suffix(1);
      bool const stays = same_letters(token, "Host") ||
                         std::any_of(end_to_end.begin(), end_to_end.end(),
                                     [token](std::string const& name) { return same_letters(token, name); });
      if (!token.empty() && !stays) names.emplace_back(token);
    }
  }
  names.emplace_back("Connection");
  for (std::string const& name : names) head.drop(name);
}

namespace {
void put_fields(std::string& out, Head const& head) {
  for (std::pair<std::string, std::string> const& item : head.fields)
    out.append(item.first).append(": ").append(item.second).append("\r\n");
}
}  // namespace

std::string request_text(Head const& head, std::int64_t length) {
  std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
  put_fields(out, head);
  if (length > 0 || (head.method != "GET" && head.method != "HEAD"))
    out += "Content-Length: " + std::to_string(length) + "\r\n";
  out += "\r\n";
  return out;
}

char const* reason_of(unsigned status) {
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

std::string answer_text(Head const& head, std::int64_t length, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + " " +
                    (head.reason.empty() ? reason_of(head.status) : head.reason.c_str()) + "\r\n";
  put_fields(out, head);
  // Only 304 may say how long the body would have been.
  if (length >= 0 && (!bodiless(head.status) || head.status == 304))
    out += "Content-Length: " + std::to_string(length) + "\r\n";
  else if (!bodiless(head.status))
    out += "Transfer-Encoding: chunked\r\n";
  if (close) out += "Connection: close\r\n";
  out += "\r\n";
  return out;
}

std::string chunk_text(std::string_view bytes) {
  char size[24];
  int const n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  std::string out;
  out.reserve(bytes.size() + static_cast<std::size_t>(n) + 2);
  out.append(size, static_cast<std::size_t>(n)).append(bytes).append("\r\n");
  return out;
}

Reader::Reader(bool requests) : requests_(requests), lines_(requests) {
  // A head is bounded here, by the operator's limit; the grammar's own bound would refuse what that allows.
  http_parser_set_max_header_size(std::numeric_limits<std::uint32_t>::max());
  http_parser_init(&parser_, requests_ ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

http_parser_settings const& Reader::settings() {
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

int Reader::on_begin(http_parser* parser) {
  Reader& self = *static_cast<Reader*>(parser->data);
  self.begun_ = true;
  return 0;
}

int Reader::on_target(http_parser* parser, char const* at, std::size_t size) {
  static_cast<Reader*>(parser->data)->head_.target.append(at, size);
  return 0;
}

int Reader::on_status(http_parser* parser, char const* at, std::size_t size) {
  static_cast<Reader*>(parser->data)->head_.reason.append(at, size);
  return 0;
}

int Reader::on_field(http_parser* parser, char const* at, std::size_t size) {
  Reader& self = *static_cast<Reader*>(parser->data);
  if (self.headed_) return self.take_trailer(size);
  if (self.in_value_ || self.head_.fields.empty()) self.head_.fields.emplace_back();
  self.in_value_ = false;
  self.head_.fields.back().first.append(at, size);
  return 0;
}

int Reader::on_value(http_parser* parser, char const* at, std::size_t size) {
  Reader& self = *static_cast<Reader*>(parser->data);
  if (self.headed_) return self.take_trailer(size);
  self.in_value_ = true;
  self.head_.fields.back().second.append(at, size);
  return 0;
}

int Reader::on_headers(http_parser* parser) {
  Reader& self = *static_cast<Reader*>(parser->data);
  Head& head = self.head_;
  self.headed_ = true;
  head.status = self.requests_ ? 0 : parser->status_code;
  if (self.requests_) head.method = http_method_str(static_cast<http_method>(parser->method));
  head.keep = http_should_keep_alive(parser) != 0;
  head.chunked = (parser->flags & F_CHUNKED) != 0;
  head.length = (parser->flags & F_CONTENTLENGTH) != 0 ? static_cast<std::int64_t>(parser->content_length) : -1;
  std::size_t hosts = 0;
  std::size_t encodings = 0;
  std::size_t lengths = 0;
  for (std::pair<std::string, std::string>& item : head.fields) {
    // Blanks around a value are no part of it.
    item.second.erase(item.second.find_last_not_of(" \t") + 1);
    if (same_letters(item.first, "Host")) ++hosts;
    if (same_letters(item.first, "Content-Length")) ++lengths;
    if (same_letters(item.first, "Transfer-Encoding")) ++encodings;
    for (char const c : item.second)
      if ((static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f) self.wrong_ = Error::bad;
    // Anything but plain "chunked" may be read differently by whoever comes next.
    if (same_letters(item.first, "Transfer-Encoding") && !same_letters(item.second, "chunked"))
      self.wrong_ = Error::bad;
  }
  if (lengths > 1 || encodings > 1 || (lengths > 0 && (head.chunked || head.length < 0))) self.wrong_ = Error::bad;
  if (self.requests_ && (hosts != 1 || parser->http_major != 1 || parser->upgrade)) self.wrong_ = Error::bad;
  if (self.requests_ && (head.target.empty() || head.target[0] != '/')) self.wrong_ = Error::bad;
  if (head.length > static_cast<std::int64_t>(self.body_most_)) self.wrong_ = Error::body_large;
  if (self.wrong_ != Error::none) return -1;
  bool const body = self.callbacks.head ? self.callbacks.head(head) : true;
  bool const never = !self.requests_ && bodiless(head.status);
  return body && !never ? 0 : 1;
}

int Reader::on_body(http_parser* parser, char const* at, std::size_t size) {
  Reader& self = *static_cast<Reader*>(parser->data);
  if (!self.lines_to(at)) return -1;
  self.seen_ = at + size;
  self.body_size_ += size;
  if (self.body_size_ > self.body_most_) {
    self.wrong_ = Error::body_large;
    return -1;
  }
  if (self.callbacks.body) self.callbacks.body(std::string_view(at, size));
  return 0;
}

int Reader::on_message_end(http_parser* parser) {
  Reader& self = *static_cast<Reader*>(parser->data);
  self.done_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

// A trailer belongs to the framing, which is written anew: it is bounded and passed over.
int Reader::take_trailer(std::size_t size) {
  trailer_size_ += size;
  if (trailer_size_ <= head_most_) return 0;
  wrong_ = Error::head_large;
  return -1;
}

// Looks at the lines among what is fed, up to there.
bool Reader::lines_to(char const* end) {
  if (!lines_.take(std::string_view(seen_, static_cast<std::size_t>(end - seen_))) && wrong_ == Error::none)
    wrong_ = Error::bad;
  seen_ = end;
  return wrong_ == Error::none;
}

std::size_t Reader::run(std::string_view bytes) {
  std::size_t const took = http_parser_execute(&parser_, &settings(), bytes.data(), bytes.size());
  http_errno const code = HTTP_PARSER_ERRNO(&parser_);
  if (code == HPE_HEADER_OVERFLOW && wrong_ == Error::none) wrong_ = Error::head_large;
  if (code != HPE_OK && code != HPE_PAUSED && wrong_ == Error::none) wrong_ = Error::bad;
  return took;
}

std::size_t Reader::feed(std::string_view bytes) {
  if (wrong_ != Error::none || done_ || bytes.empty()) return 0;
  std::size_t took = 0;
  if (!headed_) {
    // The head by itself, and no more of it than it may have: its bound is the same however its bytes come.
    std::string_view const part = bytes.substr(0, lines_.take_head(bytes.substr(0, head_most_ - head_size_)));
    if (!lines_.fits()) {
      wrong_ = Error::bad;
      return 0;
    }
    head_size_ += part.size();
    took = run(part);
    if (headed_ != lines_.headed() && wrong_ == Error::none) wrong_ = Error::bad;
    if (!headed_ && head_size_ >= head_most_ && wrong_ == Error::none) wrong_ = Error::head_large;
  }
  if (headed_ && !done_ && wrong_ == Error::none && took < bytes.size()) {
    std::string_view const rest = bytes.substr(took);
    seen_ = rest.data();
    std::size_t const more = run(rest);
    if (wrong_ == Error::none) lines_to(rest.data() + more);
    took += more;
  }
  if (done_ && wrong_ == Error::none) {
    http_parser_pause(&parser_, 0);
    if (callbacks.complete) callbacks.complete();
  }
  return took;
}

bool Reader::eof() {
  if (!begun_ || done_) return true;
  bool const was = done_;
  http_parser_execute(&parser_, &settings(), nullptr, 0);
  if (!was && done_) {
    http_parser_pause(&parser_, 0);
    if (callbacks.complete) callbacks.complete();
    return true;
  }
  return false;
}

void Reader::next() {
  http_parser_init(&parser_, requests_ ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  lines_ = Lines(requests_);
  head_ = Head();
  in_value_ = begun_ = headed_ = done_ = false;
  head_size_ = body_size_ = trailer_size_ = 0;
}

}  // namespace pipit
