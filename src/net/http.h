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
  bool keep = true;  // the connection may carry another message
  bool chunked = false;
  std::int64_t length = -1;  // as announced, -1 for none

  // The first field of that name, letters of either case; nullptr for none.
  std::string const* find(std::string_view name) const;
  std::string get(std::string_view name) const;
  void set(std::string_view name, std::string value);
  void drop(std::string_view name);
};

bool same_letters(std::string_view a, std::string_view b);
// Takes away what concerns one connection only: Connection and what it names, Keep-Alive, TE, Transfer-Encoding, ...
// Never the host, nor the fields 'end_to_end': they are for the other end, whatever Connection names.
void drop_hop_fields(Head& head, std::vector<std::string> const& end_to_end = {});
std::string request_text(Head const& head, std::int64_t length);
// length -1: the body comes in chunks.
std::string answer_text(Head const& head, std::int64_t length, bool close);
std::string chunk_text(std::string_view bytes);
char const* reason_of(unsigned status);
// An answer of that status has no body, whatever its fields say.
constexpr bool bodiless(unsigned status) { return status < 200 || status == 204 || status == 304; }

// Reads messages from one connection, one after the other.
class Reader {
 public:
  enum class Error : std::uint8_t { none, bad, head_large, body_large };
  struct Callbacks {
    std::function<bool(Head&)> head;  // false: the message has no body whatever it says
    std::function<void(std::string_view)> body;
    std::function<void()> complete;
  };
  explicit Reader(bool requests);
  Reader(Reader const&) = delete;
  Reader& operator=(Reader const&) = delete;

  // Takes bytes of one message at most; says how many it took. Nothing more is taken after whole() until next().
  std::size_t feed(std::string_view bytes);
  // The connection ended: an answer without length ends with it. False when that cuts a message.
  bool eof();
  void next();
  bool idle() const { return !begun_; }  // between messages
  bool in_body() const { return headed_ && !done_; }
  bool complete() const { return done_; }
  Error error() const { return wrong_; }
  void limit(std::size_t head_most, std::size_t body_most) {
    head_most_ = head_most;
    body_most_ = body_most;
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
  std::size_t run(std::string_view bytes);
  bool lines_to(char const* end);
  int take_trailer(std::size_t size);

  bool const requests_;
  http_parser parser_;
  Lines lines_;
  char const* seen_ = nullptr;  // what is fed was looked at up to here: as a line, or as a part of a body
  Head head_;
  bool in_value_ = false;
  bool begun_ = false;
  bool headed_ = false;
  bool done_ = false;
  std::size_t head_size_ = 0;
  std::size_t body_size_ = 0;
  std::size_t trailer_size_ = 0;
  std::size_t head_most_ = 65536;
  std::size_t body_most_ = 64u << 20;
  Error wrong_ = Error::none;
};

}  // namespace pipit
