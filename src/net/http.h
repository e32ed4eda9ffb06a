// HTTP/1.1 codec of the router: message heads, bodies framed by length or in chunks, and message boundaries (design
// §12.2). http_parser implements the grammar; HttpParser also rejects messages that http_parser accepts but that a
// proxy must not forward.
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

// Start line and fields of a request or response, without its body.
struct Head {
  std::string method;   // requests only
  std::string target;   // requests only: path and query
  unsigned status = 0;  // responses only
  std::string reason;   // responses only; if empty, the standard phrase of the status is sent
  std::vector<std::pair<std::string, std::string>> fields;
  bool keep_alive = true;  // the connection may carry another message after this one
  bool chunked = false;
  std::int64_t content_length = -1;  // value of the Content-Length field; -1 if there is none

  // Value of the first field with this name, compared without regard to case; nullptr if there is none. The pointer is
  // valid until the fields change.
  std::string const* find(std::string_view name) const;
  // Like find(), but returns a copy, and an empty string if there is no such field.
  std::string get(std::string_view name) const;
  // Replaces all fields with this name by one at the end of the list.
  void set(std::string_view name, std::string value);
  // Removes all fields with this name.
  void remove(std::string_view name);
};

// Compares two ASCII strings without regard to case.
bool equals_ignoring_case(std::string_view a, std::string_view b);
// Removes the fields that apply to a single connection: Connection and the fields that it lists, Keep-Alive, TE,
// Transfer-Encoding, Content-Length and others. Host and the fields named in 'end_to_end' stay even if Connection lists
// them, so that a client cannot have them removed.
void remove_hop_by_hop_fields(Head& head, std::vector<std::string> const& end_to_end = {});
// Serializes a request head with Content-Length for a body of 'length' bytes, which the caller appends. GET and HEAD
// without a body get no Content-Length.
std::string serialize_request_head(Head const& head, std::int64_t length);
// Serializes a response head. 'length' is the size of the body in bytes, or -1 for a chunked body. 'close' adds
// "Connection: close".
std::string serialize_response_head(Head const& head, std::int64_t length, bool close);
// Encodes bytes as one chunk of a chunked body. Empty input would encode the last chunk, which ends the body.
std::string encode_chunk(std::string_view bytes);
// The standard reason phrase of a status, "Status" for an unknown one.
char const* reason_phrase(unsigned status);
// True for a status whose responses have no body, whatever their fields announce.
constexpr bool status_forbids_body(unsigned status) { return status < 200 || status == 204 || status == 304; }

// Incremental parser of the messages on one connection, one message after the other.
class HttpParser {
 public:
  // head_too_large also stands for too large trailers.
  enum class Error : std::uint8_t { none, malformed, head_too_large, body_too_large };
  struct Callbacks {
    // The head is complete and may be moved from. A return of false means that no body follows whatever the head
    // announces (response to HEAD).
    std::function<bool(Head&)> head;
    std::function<void(std::string_view)> body;  // the next bytes of the body, without chunk framing
    std::function<void()> complete;              // the message is complete
  };
  // Parses requests if the flag is set, otherwise responses.
  explicit HttpParser(bool parses_requests);
  HttpParser(HttpParser const&) = delete;
  HttpParser& operator=(HttpParser const&) = delete;

  // Consumes bytes up to the end of the current message and returns how many. After the end of a message and after an
  // error it consumes nothing; start_next_message() prepares for the next message.
  std::size_t feed(std::string_view bytes);
  // Handles the end of the connection, which completes a response without length. Returns false if it truncates a
  // message.
  bool eof();
  // Discards the state of the current message and prepares for the next one on the connection.
  void start_next_message();
  // Memory of the head that is being received, with the objects of its fields; 0 once the head is complete.
  std::size_t held_head_bytes() const { return head_complete_ ? 0 : received_head_bytes(); }
  // Memory of the complete head, when the head callback is called.
  std::size_t received_head_bytes() const { return head_bytes_ + head_.fields.capacity() * sizeof(head_.fields[0]); }
  // True before the first byte of a message.
  bool idle() const { return !started_; }
  // True between the end of the head and the end of the message.
  bool in_body() const { return head_complete_ && !complete_; }
  // True from the end of a message until start_next_message().
  bool complete() const { return complete_; }
  // The first error, after which the connection cannot be parsed any further; none as long as there is no error.
  Error error() const { return error_; }
  // Limits of the following heads and bodies, in bytes. The limit of the head also applies to the trailers.
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
  char const* validated_up_to_ = nullptr;  // end of the fed bytes that were validated as lines or skipped as body
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
