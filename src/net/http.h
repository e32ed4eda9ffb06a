// HTTP/1.1 as far as a router needs it: heads, bodies by length or in chunks, and where a message ends (design §12.2).
// The grammar is http_parser's; what it lets pass and a router must not is refused here.
#pragma once
#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/http_line_validator.h"

namespace pipit {

struct Head {
  std::string method;  // of a request
  std::string target;
  unsigned status = 0;  // of an answer
  std::string reason;
  std::vector<std::pair<std::string, std::string>> fields;
  bool keep_alive = true;  // the connection may carry another message
  bool chunked = false;
  std::int64_t content_length = -1;  // as announced, -1 for none

  // The first field of that name, letters of either case; nullptr for none.
  std::string const* find(std::string_view name) const;
  std::string get(std::string_view name) const;
  void set(std::string_view name, std::string value);
  void remove(std::string_view name);
};

bool equals_ignoring_case(std::string_view a, std::string_view b);
// Takes away what concerns one connection only: Connection and what it names, Keep-Alive, TE, Transfer-Encoding, ...
// Never the host, nor the fields 'end_to_end': they are for the other end, whatever Connection names.
void remove_hop_by_hop_fields(Head& head, std::vector<std::string> const& end_to_end = {});
std::string serialize_request_head(Head const& head, std::int64_t length);
// length -1: the body comes in chunks.
std::string serialize_response_head(Head const& head, std::int64_t length, bool close);
std::string encode_chunk(std::string_view bytes);
char const* reason_phrase(unsigned status);
// An answer of that status has no body, whatever its fields say.
constexpr bool status_forbids_body(unsigned status) { return status < 200 || status == 204 || status == 304; }

// Reads messages from one connection, one after the other.
class HttpParser {
 public:
  enum class Error : std::uint8_t { none, malformed, head_too_large, body_too_large };
  struct Callbacks {
    std::function<bool(Head&)> head;  // false: the message has no body whatever it says
    std::function<void(std::string_view)> body;
    std::function<void()> complete;
  };
  explicit HttpParser(bool parses_requests);
  HttpParser(HttpParser const&) = delete;
  HttpParser& operator=(HttpParser const&) = delete;

  // Takes bytes of one message at most; says how many it took. Nothing more is taken after whole() until next().
  std::size_t feed(std::string_view bytes);
  // The connection ended: an answer without length ends with it. False when that cuts a message.
  bool eof();
  void start_next_message();
  bool idle() const { return !started_; }  // between messages
  bool in_body() const { return head_complete_ && !complete_; }
  bool complete() const { return complete_; }
  Error error() const { return error_; }
  void set_limits(std::size_t max_head_bytes, std::size_t max_body_bytes) {
    max_head_bytes_ = max_head_bytes;
    max_body_bytes_ = max_body_bytes;
  }
  Callbacks callbacks;

 private:
  static int on_begin(http_parser* parser);
  static int on_target(http_parser* parser, char const* at, std::size_t size);
  static int on_status(http_parser* parser, char const* at, std::size_t size);
  static int on_field(http_parser* parser, char const* at, std::size_t size);
  static int on_value(http_parser* parser, char const* at, std::size_t size);
  static int on_headers(http_parser* parser);
  static int on_body(http_parser* parser, char const* at, std::size_t size);
  static int on_message_end(http_parser* parser);
  static http_parser_settings const& settings();
  std::size_t execute_parser(std::string_view bytes);
  bool validate_lines_up_to(char const* end);
  int count_trailer_bytes(std::size_t size);

  bool const parses_requests_;
  http_parser parser_;
  HttpLineValidator line_validator_;
  char const* validated_up_to_ = nullptr;  // what is fed was looked at up to here: as a line, or as a part of a body
  Head head_;
  bool last_callback_was_value_ = false;
  bool started_ = false;
  bool head_complete_ = false;
  bool complete_ = false;
  std::size_t head_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  std::size_t trailer_bytes_ = 0;
  std::size_t max_head_bytes_ = 65536;
  std::size_t max_body_bytes_ = 64u << 20;
  Error error_ = Error::none;
};

}  // namespace pipit
