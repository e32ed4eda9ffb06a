// HTTP codec, server and connection pool: messages split at any byte, malformed and mutated messages, and the reuse and
// end of connections (§12.2).
#include <gtest/gtest.h>

#include <glib.h>

#include <algorithm>
#include <functional>
#include <stdexcept>

#include "base/random.h"
#include "net/server.h"
#include "net/upstream_pool.h"
#include "tests/loopback.h"

namespace pipit {

namespace {
struct Message {
  std::string line;  // method and target of a request, or status of a response
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool keep_alive = true;
  bool operator==(Message const&) const = default;
};

std::ostream& operator<<(std::ostream& out, Message const& item) {
  out << item.line << " |";
  for (std::pair<std::string, std::string> const& field : item.fields) out << field.first << "=" << field.second << "|";
  return out << item.body;
}

struct ParseResult {
  std::vector<Message> messages;
  HttpParser::Error error = HttpParser::Error::none;
  bool between_messages = true;  // no message is incomplete
};

// Parses a text that arrives in the given pieces.
ParseResult parse_pieces(bool requests, std::vector<std::string_view> const& pieces, bool is_head_response = false,
                         std::size_t max_head_bytes = 65536, std::size_t max_body_bytes = 1u << 20) {
  ParseResult out;
  HttpParser parser(requests);
  parser.set_limits(max_head_bytes, max_body_bytes);
  Message message;
  parser.callbacks.head = [&](Head& head) {
    message.line = requests ? head.method + " " + head.target : std::to_string(head.status);
    message.fields = head.fields;
    message.keep_alive = head.keep_alive;
    return !is_head_response;
  };
  parser.callbacks.body = [&](std::string_view bytes) { message.body.append(bytes); };
  parser.callbacks.complete = [&] {
    out.messages.push_back(message);
    message = Message();
  };
  for (std::string_view piece : pieces) {
    while (!piece.empty()) {
      // A copy in its own allocation, so that the sanitizer reports reads past its end.
      std::string const part(piece);
      std::size_t const consumed = parser.feed(part);
      if (parser.error() != HttpParser::Error::none) {
        out.error = parser.error();
        return out;
      }
      piece.remove_prefix(std::min(consumed, piece.size()));
      if (parser.complete())
        parser.start_next_message();
      else if (!piece.empty()) {
        ADD_FAILURE() << "the parser left bytes unconsumed within a message";
        return out;
      }
    }
  }
  out.between_messages = parser.idle();
  return out;
}
ParseResult parse_text(bool requests, std::string const& text) { return parse_pieces(requests, {text}); }

std::string const host = "Host: h.test\r\n";
std::string const valid_requests[] = {
    "GET /a?b=c HTTP/1.1\r\n" + host + "\r\n",
    "POST /p HTTP/1.1\r\n" + host + "Content-Length: 5\r\nX-One:  two words \r\n\r\nhello",
    "POST /p HTTP/1.1\r\n" + host +
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nA;ext=1\r\n0123456789\r\n0\r\n\r\n",
    "PUT /p HTTP/1.1\r\n" + host + "transfer-encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\nX-Trailer: t\r\n\r\n",
    "HEAD /h HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n",
    "POST /e HTTP/1.0\r\nContent-Length: 0\r\n" + host + "X-Empty:\r\n\r\n",
};
}  // namespace

TEST(HttpParser, requests_parse_the_same_wherever_the_bytes_are_split) {
  std::string all;
  for (std::string const& one : valid_requests) all += one;
  ParseResult const whole = parse_text(true, all);
  ASSERT_EQ(whole.error, HttpParser::Error::none);
  ASSERT_EQ(whole.messages.size(), std::size(valid_requests)) << "pipelined requests";
  EXPECT_EQ(whole.messages[1].body, "hello");
  EXPECT_EQ(whole.messages[1].fields[2].second, "two words") << "whitespace around a value is not part of it";
  EXPECT_EQ(whole.messages[2].body, "hello0123456789");
  EXPECT_EQ(whole.messages[3].body, "\n");
  EXPECT_EQ(whole.messages[3].fields.size(), 2u) << "a trailer is not a field of the head";
  EXPECT_FALSE(whole.messages[4].keep_alive);
  EXPECT_FALSE(whole.messages[5].keep_alive) << "HTTP/1.0 without keep-alive";
  EXPECT_TRUE(whole.between_messages);
  for (std::size_t at = 1; at < all.size(); ++at) {
    std::string_view const text = all;
    ParseResult const split = parse_pieces(true, {text.substr(0, at), text.substr(at)});
    ASSERT_EQ(split.error, HttpParser::Error::none) << at;
    ASSERT_EQ(split.messages, whole.messages) << at;
  }
  std::vector<std::string_view> single;
  for (std::size_t at = 0; at < all.size(); ++at) single.push_back(std::string_view(all).substr(at, 1));
  EXPECT_EQ(parse_pieces(true, single).messages, whole.messages);
}

TEST(HttpParser, response_boundaries_are_found) {
  std::string const all =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
      "HTTP/1.1 204 No Content\r\n\r\n"
      "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (std::size_t at = 0; at < all.size(); ++at) {
    std::string_view const text = all;
    ParseResult const out = parse_pieces(false, {text.substr(0, at), text.substr(at)});
    ASSERT_EQ(out.messages.size(), 5u) << at;
    EXPECT_EQ(out.messages[0].body, "ok");
    EXPECT_EQ(out.messages[4].body, "abc");
    EXPECT_FALSE(out.messages[4].keep_alive);
  }
  ParseResult const head =
      parse_pieces(false, {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"}, true);
  EXPECT_EQ(head.messages.size(), 2u) << "responses to HEAD have no body, whatever they announce";
}

TEST(HttpParser, response_without_length_ends_with_its_connection) {
  for (bool const cut : {false, true}) {
    HttpParser parser(false);
    std::string body;
    int whole = 0;
    parser.callbacks.body = [&body](std::string_view bytes) { body.append(bytes); };
    parser.callbacks.complete = [&whole] { ++whole; };
    std::string const text = cut ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc" : "HTTP/1.1 200 OK\r\n\r\nabc";
    EXPECT_EQ(parser.feed(text), text.size());
    EXPECT_EQ(whole, 0);
    EXPECT_EQ(parser.eof(), !cut);
    EXPECT_EQ(whole, cut ? 0 : 1);
    EXPECT_EQ(body, "abc");
  }
}

namespace {
struct MalformedRequest {
  char const* name;
  std::string text;
};
std::string chunks(std::string const& text) {
  return "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n" + text;
}
std::string head(std::string const& fields) { return "POST / HTTP/1.1\r\n" + host + fields + "\r\n"; }

std::vector<MalformedRequest> const& malformed_requests() {
  static std::vector<MalformedRequest> const rows = {
      {"two lengths", head("Content-Length: 5\r\nContent-Length: 6\r\n") + "hello!"},
      {"two lengths alike", head("Content-Length: 5\r\nContent-Length: 5\r\n") + "hello"},
      {"a list of lengths", head("Content-Length: 5, 5\r\n") + "hello"},
      {"length with chunks", head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n"},
      {"chunks with length", head("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") + "0\r\n\r\n"},
      {"negative length", head("Content-Length: -5\r\n") + "hello"},
      {"signed length", head("Content-Length: +5\r\n") + "hello"},
      {"hex length", head("Content-Length: 0x5\r\n") + "hello"},
      {"length with a tail", head("Content-Length: 5 6\r\n") + "hello"},
      {"length with letters", head("Content-Length: 5a\r\n") + "hello"},
      {"empty length", head("Content-Length:\r\n") + "GET / HTTP/1.1\r\n" + host + "\r\n"},
      {"blank length", head("Content-Length:   \r\n") + "GET / HTTP/1.1\r\n" + host + "\r\n"},
      {"overflowing length", head("Content-Length: 18446744073709551621\r\n") + "hello"},
      {"length with a blank before its colon", head("Content-Length : 5\r\n") + "hello"},
      {"chunks with a blank before the colon", head("Transfer-Encoding : chunked\r\n") + "0\r\n\r\n"},
      {"host with a blank before its colon", "GET / HTTP/1.1\r\nHost : h.test\r\n\r\n"},
      {"name with a tab", head("X-A\tB: 1\r\n")},
      {"name with a blank", head("X A: 1\r\n")},
      {"name with high bytes", head("X-\xc3\xa9: 1\r\n")},
      {"no name", head(": 1\r\n")},
      {"no colon", head("nonsense\r\n")},
      {"odd encoding", head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n"},
      {"encoding that is not the last", head("Transfer-Encoding: chunked, gzip\r\n") + "0\r\n\r\n"},
      {"unknown encoding", head("Transfer-Encoding: xchunked\r\n") + "0\r\n\r\n"},
      {"identity", head("Transfer-Encoding: identity\r\n")},
      {"empty encoding", head("Transfer-Encoding:\r\n") + "0\r\n\r\n"},
      {"quoted encoding", head("Transfer-Encoding: \"chunked\"\r\n") + "0\r\n\r\n"},
      {"chunked twice", head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n"},
      {"chunked and another", head("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n") + "0\r\n\r\n"},
      {"encoding with control", head("Transfer-Encoding: \x0b" "chunked\r\n") + "0\r\n\r\n"},
      {"chunk size with a sign", chunks("+5\r\nhello\r\n0\r\n\r\n")},
      {"chunk size with 0x", chunks("0x5\r\nhello\r\n0\r\n\r\n")},
      {"negative chunk size", chunks("-1\r\nhello\r\n0\r\n\r\n")},
      {"no chunk size", chunks("\r\nhello\r\n0\r\n\r\n")},
      {"no chunk size but an extension", chunks(";x\r\n\r\n")},
      {"letters as chunk size", chunks("5g\r\nhello\r\n0\r\n\r\n")},
      {"chunk size with a blank before it", chunks(" 5\r\nhello\r\n0\r\n\r\n")},
      {"two chunk sizes", chunks("5 5\r\nhello\r\n0\r\n\r\n")},
      {"overflowing chunk size", chunks("10000000000000005\r\nhello\r\n0\r\n\r\n")},
      {"huge chunk size", chunks("FFFFFFFFFFFFFFFF\r\nhello\r\n0\r\n\r\n")},
      {"chunk longer than its size", chunks("3\r\nhello\r\n0\r\n\r\n")},
      {"chunk shorter than its size", chunks("7\r\nhello\r\n0\r\n\r\n")},
      {"bare LF after a chunk size", chunks("5\nhello\r\n0\r\n\r\n")},
      {"bare LF in a chunk extension", chunks("5;a\nhello\r\n0\r\n\r\n")},
      {"odd bytes after a chunk", chunks("3\r\nabcXX0\r\n\r\n")},
      {"odd byte after the CR of a chunk size", chunks("3\rXabc\r\n0\r\n\r\n")},
      {"odd byte at the end of chunks", chunks("0\r\n\rX")},
      {"bare LF after a chunk", chunks("5\r\nhello\n0\r\n\r\n")},
      {"bare LF in a trailer", chunks("0\r\nX-T: 1\n\r\n")},
      {"bare LF at the end of chunks", chunks("0\r\n\n")},
      {"bad trailer", chunks("0\r\nno colon\r\n\r\n")},
      {"folded trailer", chunks("0\r\nX-T: 1\r\n 2\r\n\r\n")},
      {"folded field", head("X-A: 1\r\n 2\r\n")},
      {"folded with a tab", head("X-A: 1\r\n\t2\r\n")},
      {"folded host", "GET / HTTP/1.1\r\nHost: h\r\n .test\r\n\r\n"},
      {"folded encoding", head("Transfer-Encoding:\r\n chunked\r\n") + "0\r\n\r\n"},
      {"folded length", head("Content-Length: 1\r\n 0\r\n") + "helloworld"},
      {"blank before the first field", "GET / HTTP/1.1\r\n X: 1\r\n" + host + "\r\n"},
      {"null in a value", head(std::string("X-A: 1") + '\0' + "2\r\n")},
      {"null in a name", head(std::string("X") + '\0' + "A: 1\r\n")},
      {"control in a value", head("X-A: 1\x01" "2\r\n")},
      {"DEL in a value", head("X-A: 1\x7f\r\n")},
      {"CR in a value", head("X-A: 1\r2\r\n")},
      {"two CR", "GET / HTTP/1.1\r\n" + host + "\r\r\n"},
      {"control in the target", "GET /a\x01" "b HTTP/1.1\r\n" + host + "\r\n"},
      {"tab in the target", "GET /a\tb HTTP/1.1\r\n" + host + "\r\n"},
      {"form feed in the target", "GET /a\x0c" "b HTTP/1.1\r\n" + host + "\r\n"},
      {"DEL in the target", "GET /a\x7f HTTP/1.1\r\n" + host + "\r\n"},
      {"null in the target", std::string("GET /a") + '\0' + "b HTTP/1.1\r\n" + host + "\r\n"},
      {"blank in the target", "GET /a b HTTP/1.1\r\n" + host + "\r\n"},
      {"two Hosts", "GET / HTTP/1.1\r\nHost: a.test\r\nHost: b.test\r\n\r\n"},
      {"two Hosts alike", "GET / HTTP/1.1\r\n" + host + "hOST: h.test\r\n\r\n"},
      {"no Host", "GET / HTTP/1.1\r\nX-A: 1\r\n\r\n"},
      {"no fields", "GET / HTTP/1.1\r\n\r\n"},
      {"bare LF everywhere", "GET / HTTP/1.1\nHost: h.test\n\n"},
      {"bare LF after the first line", "GET / HTTP/1.1\n" + host + "\r\n"},
      {"bare LF after a field", "GET / HTTP/1.1\r\nHost: h.test\nX-A: 1\r\n\r\n"},
      {"bare LF at the end of the head", "GET / HTTP/1.1\r\n" + host + "\n"},
      {"bare LF before the first line", "\nGET / HTTP/1.1\r\n" + host + "\r\n"},
      {"bare CR", "GET / HTTP/1.1\r" + host + "\r\n"},
      {"no version", "GET /\r\n" + host + "\r\n"},
      {"another version", "GET / HTTP/2.0\r\n" + host + "\r\n"},
      {"odd version", "GET / HTTP/1.x\r\n" + host + "\r\n"},
      {"version with blanks", "GET / HTTP/1.1 \r\n" + host + "\r\n"},
      {"another protocol", "GET / HTTQ/1.1\r\n" + host + "\r\n"},
      {"no target", "GET  HTTP/1.1\r\n" + host + "\r\n"},
      {"a target without a slash", "GET a HTTP/1.1\r\n" + host + "\r\n"},
      {"a tunnel", "CONNECT h.test:443 HTTP/1.1\r\n" + host + "\r\n"},
      {"an upgrade", "GET / HTTP/1.1\r\n" + host + "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"},
      {"a method of small letters", "get / HTTP/1.1\r\n" + host + "\r\n"},
      {"an unknown method", "FETCH / HTTP/1.1\r\n" + host + "\r\n"},
      {"an answer", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
      {"TLS", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11)},
      {"large head", "GET / HTTP/1.1\r\n" + host + "X-A: " + std::string(20000, 'a') + "\r\n\r\n"},
      {"many fields", [] {
         std::string out = "GET / HTTP/1.1\r\n" + host;
         for (int i = 0; i < 3000; ++i) out += "X-A: 1\r\n";
         return out + "\r\n";
       }()},
      {"large target", "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n" + host + "\r\n"},
      {"large body", head("Content-Length: 20001\r\n") + std::string(20001, 'b')},
      {"large chunk", chunks("4E21\r\n" + std::string(20001, 'b') + "\r\n0\r\n\r\n")},
      {"many chunks", [] {
         std::string out = chunks("");
         for (int i = 0; i < 21; ++i) out += "3E8\r\n" + std::string(1000, 'b') + "\r\n";
         return out + "0\r\n\r\n";
       }()},
  };
  return rows;
}
constexpr std::size_t small_max_head_bytes = 16384;
constexpr std::size_t small_max_body_bytes = 20000;

// Reference parser for complete requests (RFC 9112), independent of the product's code. It stops at the first
// violation. It may accept requests that the product rejects, but must accept all that the product accepts.
class StrictRequestParser {
 public:
  explicit StrictRequestParser(std::string_view text_) : text(text_) {
    while (parse_request()) {
    }
  }
  std::vector<Message> messages;

 private:
  static bool is_token_char(char c) {
    return g_ascii_isalnum(c) || (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
  }
  bool read_line(std::string_view& out) {
    std::size_t const end = text.find("\r\n", at);
    if (end == std::string_view::npos) return false;
    out = text.substr(at, end - at);
    at = end + 2;
    for (char const c : out)
      if ((static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f) return false;
    return true;
  }
  static std::string_view trimmed(std::string_view value) {
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) value.remove_prefix(1);
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) value.remove_suffix(1);
    return value;
  }
  bool read_fields(std::vector<std::pair<std::string, std::string>>& out) {
    std::string_view row;
    while (read_line(row)) {
      if (row.empty()) return true;
      std::size_t const colon = row.find(':');
      if (colon == std::string_view::npos || colon == 0) return false;
      for (char const c : row.substr(0, colon))
        if (!is_token_char(c)) return false;
      out.emplace_back(std::string(row.substr(0, colon)), std::string(trimmed(row.substr(colon + 1))));
    }
    return false;
  }
  static bool parse_number(std::string_view word, std::uint64_t base, std::uint64_t& out) {
    if (word.empty() || word.size() > 15) return false;
    out = 0;
    for (char const c : word) {
      int const digit = base == 16 ? g_ascii_xdigit_value(c) : g_ascii_digit_value(c);
      if (digit < 0) return false;
      out = out * base + static_cast<std::uint64_t>(digit);
    }
    return true;
  }
  bool read_bytes(std::uint64_t size, std::string& out) {
    if (text.size() - at < size) return false;
    out.append(text.substr(at, size));
    at += size;
    return true;
  }
  bool parse_request() {
    std::string_view row;
    do {
      if (!read_line(row)) return false;
    } while (row.empty());
    std::size_t const a = row.find(' ');
    std::size_t const b = row.rfind(' ');
    if (a == std::string_view::npos || a == b || a == 0) return false;
    std::string_view const method = row.substr(0, a);
    std::string_view const target = row.substr(a + 1, b - a - 1);
    std::string_view const version = row.substr(b + 1);
    for (char const c : method)
      if (!is_token_char(c)) return false;
    if (target.empty() || target.front() != '/' || target.find_first_of(" \t") != std::string_view::npos) return false;
    if (version.size() != 8 || version.substr(0, 7) != "HTTP/1." || !g_ascii_isdigit(version[7])) return false;
    Message out;
    out.line = std::string(method) + " " + std::string(target);
    if (!read_fields(out.fields)) return false;
    int hosts = 0;
    int lengths = 0;
    int encodings = 0;
    std::uint64_t length = 0;
    for (std::pair<std::string, std::string> const& field : out.fields) {
      if (equals_ignoring_case(field.first, "Host")) ++hosts;
      if (equals_ignoring_case(field.first, "Content-Length") &&
          (++lengths > 1 || !parse_number(field.second, 10, length)))
        return false;
      if (equals_ignoring_case(field.first, "Transfer-Encoding") &&
          (++encodings > 1 || !equals_ignoring_case(field.second, "chunked")))
        return false;
    }
    if (hosts != 1 || lengths + encodings > 1) return false;
    if (encodings == 0) {
      if (!read_bytes(length, out.body)) return false;
    } else {
      for (std::uint64_t size = 1; size > 0;) {
        if (!read_line(row)) return false;
        std::string_view const word = row.substr(0, row.find(';'));
        std::size_t const end = word.find_last_not_of(" \t");
        if (end == std::string_view::npos || !parse_number(word.substr(0, end + 1), 16, size)) return false;
        if (size == 0) break;
        std::string crlf;
        if (!read_bytes(size, out.body) || !read_bytes(2, crlf) || crlf != "\r\n") return false;
      }
      std::vector<std::pair<std::string, std::string>> trailers;
      if (!read_fields(trailers)) return false;
    }
    messages.push_back(std::move(out));
    return true;
  }

  std::string_view const text;
  std::size_t at = 0;
};

// True if the requests in 'read' equal the first ones of 'strict'.
bool is_prefix_of(std::vector<Message> const& read, std::vector<Message> const& strict) {
  if (read.size() > strict.size()) return false;
  for (std::size_t i = 0; i < read.size(); ++i)
    if (read[i].line != strict[i].line || read[i].fields != strict[i].fields || read[i].body != strict[i].body)
      return false;
  return true;
}

std::string mutate(RandomSource& random, std::vector<std::string> const& seeds) {
  static char const* const words[] = {"\r\n",
                                      "\n",
                                      "\r",
                                      " ",
                                      "\t",
                                      ":",
                                      "0",
                                      "5",
                                      "a",
                                      ";",
                                      "\r\n ",
                                      "\r\n\r\n",
                                      "Content-Length: 3\r\n",
                                      "Transfer-Encoding: chunked\r\n",
                                      "Host: x\r\n",
                                      "0\r\n\r\n",
                                      "GET / HTTP/1.1\r\n",
                                      "chunked",
                                      ",",
                                      "\x01",
                                      "\x7f",
                                      "\xff",
                                      "-",
                                      "+"};
  std::string out = seeds[random.below(seeds.size())];
  if (random.chance(0.3)) out += seeds[random.below(seeds.size())];
  for (std::uint64_t n = 1 + random.below(4); n > 0; --n) {
    std::size_t const at = random.below(out.size() + 1);
    switch (random.below(5)) {
      case 0:
        out.insert(at, words[random.below(std::size(words))]);
        break;
      case 1:
        if (at < out.size()) out.erase(at, 1 + random.below(4));
        break;
      case 2:
        if (at < out.size()) out[at] = static_cast<char>(random.below(256));
        break;
      case 3: {
        std::string const part = out.substr(at, random.below(30));
        out.insert(random.below(out.size() + 1), part);
        break;
      }
      default:
        if (at < out.size()) {
          std::string const word = words[random.below(std::size(words))];
          out.replace(at, std::min(out.size() - at, word.size()), word);
        }
    }
  }
  return out;
}

std::vector<std::string> mutation_seeds() {
  std::vector<std::string> out;
  // Repeated so that valid requests are chosen about as often as malformed ones.
  for (int n = 0; n < 12; ++n) out.insert(out.end(), std::begin(valid_requests), std::end(valid_requests));
  for (MalformedRequest const& row : malformed_requests())
    if (row.text.size() < 400) out.push_back(row.text);
  return out;
}
}  // namespace

TEST(HttpParser, requests_that_another_parser_may_interpret_differently_are_rejected) {
  for (MalformedRequest const& row : malformed_requests()) {
    std::string_view const text = row.text;
    std::vector<std::vector<std::string_view>> ways = {{text}};
    for (std::size_t const at : {std::size_t(1), text.size() / 2, text.size() - 1})
      ways.push_back({text.substr(0, at), text.substr(at)});
    for (std::vector<std::string_view> const& pieces : ways) {
      ParseResult const out = parse_pieces(true, pieces, false, small_max_head_bytes, small_max_body_bytes);
      EXPECT_TRUE(out.messages.empty()) << row.name << " was parsed as " << out.messages[0];
      EXPECT_TRUE(out.error != HttpParser::Error::none || !out.between_messages) << row.name;
      if (!out.messages.empty()) break;
    }
  }
}

TEST(HttpParser, mutated_requests_are_accepted_only_if_a_strict_parser_accepts_them) {
  std::vector<std::string> const seeds = mutation_seeds();
  RandomSource random(20);
  std::size_t taken = 0;
  for (int n = 0; n < 30000; ++n) {
    std::string const text = mutate(random, seeds);
    std::vector<Message> const strict = StrictRequestParser(text).messages;
    std::string_view const view = text;
    std::size_t const a = random.below(text.size() + 1);
    std::size_t const b = a + random.below(text.size() - a + 1);
    ParseResult const out = parse_pieces(true, {view.substr(0, a), view.substr(a, b - a), view.substr(b)});
    taken += out.messages.size();
    ASSERT_TRUE(is_prefix_of(out.messages, strict)) << "round " << n << "\n"
                                                    << text << "\nparsed as " << out.messages[out.messages.size() - 1];
    // The pieces must not matter.
    ParseResult const whole = parse_text(true, text);
    ASSERT_EQ(whole.messages, out.messages) << "round " << n << "\n" << text;
  }
  EXPECT_GT(taken, 3000u) << "valid mutations must be accepted";
}

TEST(HttpParser, head_limit_is_exact_wherever_the_bytes_are_split) {
  std::string const front = "GET / HTTP/1.1\r\n" + host + "X-A: ";
  for (std::size_t const over : {std::size_t(0), std::size_t(1), std::size_t(200)}) {
    std::size_t const most = 1000;
    std::string const text = front + std::string(most + over - front.size() - 4, 'a') + "\r\n\r\n";
    for (std::size_t const at : {std::size_t(0), std::size_t(1), std::size_t(500), most - 1, most, most + over - 1}) {
      std::string_view const view = text;
      ParseResult const out = parse_pieces(true, {view.substr(0, at), view.substr(at)}, false, most, 100);
      EXPECT_EQ(out.messages.size(), over == 0 ? 1u : 0u) << over << " bytes over the limit, split at " << at;
      EXPECT_EQ(out.error, over == 0 ? HttpParser::Error::none : HttpParser::Error::head_too_large)
          << over << " bytes over the limit, split at " << at;
    }
  }
}

// Only the operator's limit applies to a head, not the built-in limit of http_parser.
TEST(HttpParser, head_of_exactly_its_limit_is_accepted) {
  std::string const text = "GET / HTTP/1.1\r\n" + host + "X-A: " + std::string(300000, 'a') + "\r\n\r\n";
  for (std::size_t const at : {std::size_t(0), std::size_t(90000), std::size_t(299999)}) {
    std::string_view const view = text;
    ParseResult const out = parse_pieces(true, {view.substr(0, at), view.substr(at)}, false, text.size(), 100);
    EXPECT_EQ(out.messages.size(), 1u) << "split at " << at;
    EXPECT_EQ(out.error, HttpParser::Error::none) << "split at " << at;
  }
}

TEST(HttpParser, trailers_are_limited_to_the_size_of_a_head) {
  std::string const front = "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
  for (bool const over : {false, true}) {
    std::string text = front;
    for (int n = 0; n < (over ? 11 : 9); ++n) text += "X-T: " + std::string(97, 't') + "\r\n";
    ParseResult const out = parse_pieces(true, {text + "\r\n"}, false, 1000, 100);
    EXPECT_EQ(out.messages.size(), over ? 0u : 1u);
    EXPECT_EQ(out.error, over ? HttpParser::Error::head_too_large : HttpParser::Error::none);
  }
}

TEST(HttpParser, mutated_responses_parse_the_same_wherever_they_are_split) {
  std::vector<std::string> const seeds = {
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nConnection: close\r\n\r\nlater",
      "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
  };
  RandomSource random(21);
  for (int n = 0; n < 10000; ++n) {
    std::string const text = mutate(random, seeds);
    std::size_t const at = random.below(text.size() + 1);
    ParseResult const split =
        parse_pieces(false, {std::string_view(text).substr(0, at), std::string_view(text).substr(at)});
    ASSERT_EQ(split.messages, parse_text(false, text).messages) << n << "\n" << text;
  }
}

TEST(HttpParser, status_must_have_three_digits_of_a_known_class) {
  for (char const* const status : {"2", "20", "0200", "2000", "000", "099", "600", "999", "+20", "2 0"}) {
    std::string const text = "HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 2\r\n\r\nok";
    ParseResult const out = parse_text(false, text);
    EXPECT_TRUE(out.messages.empty()) << status << " was parsed as " << out.messages[0];
    EXPECT_EQ(out.error, HttpParser::Error::malformed) << status;
  }
  for (char const* const status : {"100", "200", "599"})
    EXPECT_FALSE(
        parse_text(false, "HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 0\r\n\r\n").messages.empty())
        << status;
  EXPECT_FALSE(parse_text(false, "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n").messages.empty() &&
               parse_text(false, "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n").messages.empty());
}

TEST(HeadFields, hop_by_hop_fields_are_removed) {
  Head head;
  head.fields = {{"Connection", "X-One , close"},
                 {"x-one", "1"},
                 {"Keep-Alive", "timeout=5"},
                 {"TE", "trailers"},
                 {"Transfer-Encoding", "chunked"},
                 {"content-length", "5"},
                 {"Host", "h"},
                 {"X-Two", "2"}};
  remove_hop_by_hop_fields(head);
  EXPECT_EQ(head.fields, (std::vector<std::pair<std::string, std::string>>{{"Host", "h"}, {"X-Two", "2"}}));
  head.set("host", "g");
  EXPECT_EQ(head.get("HOST"), "g");
  EXPECT_EQ(head.find("none"), nullptr);
}

namespace {
class HttpServerTest : public testing::Test {
 protected:
  HttpServerTest()
      : server({[this](Server::Request&& request) { requests.push_back(std::move(request)); },
                [this](std::uint64_t id) { disconnected.push_back(id); }}) {
    address = listen_on_free_port([this](std::string const& at) { return server.listen(at); });
    Server::Limits limits;
    limits.max_head_bytes = small_max_head_bytes;
    limits.max_body_bytes = small_max_body_bytes;
    server.set_limits(limits);
  }
  static Head status(unsigned code) {
    Head out;
    out.status = code;
    return out;
  }
  // Responds to all requests that have no response yet.
  void respond_to_all(std::string const& body) {
    while (responded < requests.size()) server.respond(requests[responded++].id, status(200), body);
  }
  Micros far_future() { return g_get_monotonic_time() + seconds(3600); }

  std::vector<Server::Request> requests;
  std::vector<std::uint64_t> disconnected;
  std::size_t responded = 0;
  std::string address;
  Server server;
};
}  // namespace

TEST_F(HttpServerTest, connection_serves_several_requests) {
  LoopbackStream connection(address);
  for (std::size_t n = 0; n < 3; ++n) {
    connection.send("POST /" + std::to_string(n) + " HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nhello");
    ASSERT_TRUE(until([&] { return requests.size() == n + 1; }));
    EXPECT_EQ(requests[n].body, "hello");
    EXPECT_EQ(requests[n].head.target, "/" + std::to_string(n));
    respond_to_all("yes");
    ASSERT_TRUE(until([&] { return count_of(connection.received, "yes") == n + 1; }));
  }
  EXPECT_FALSE(connection.closed);
  EXPECT_EQ(server.connections(), 1u);
  EXPECT_EQ(parse_text(false, connection.received).messages.size(), 3u);
}

TEST_F(HttpServerTest, requests_are_delivered_complete_wherever_they_are_split) {
  std::string const text = valid_requests[2];
  for (std::size_t at = 1; at < text.size(); ++at) {
    LoopbackStream connection(address);
    connection.send(std::string_view(text).substr(0, at));
    settle();
    connection.send(std::string_view(text).substr(at));
    ASSERT_TRUE(until([&] { return requests.size() == at; })) << at;
    EXPECT_EQ(requests.back().body, "hello0123456789");
    respond_to_all("yes");
    ASSERT_TRUE(until([&] { return count_of(connection.received, "yes") == 1; }));
  }
}

TEST_F(HttpServerTest, pipelined_requests_are_answered_in_order) {
  LoopbackStream connection(address);
  std::string all;
  for (int n = 0; n < 20; ++n)
    all += "POST /" + std::to_string(n) + " HTTP/1.1\r\n" + host + "Content-Length: 1\r\n\r\nx";
  connection.send(all);
  for (std::size_t n = 0; n < 20; ++n) {
    ASSERT_TRUE(until([&] { return requests.size() == n + 1; }));
    settle();
    ASSERT_EQ(requests.size(), n + 1) << "the next request is delivered only after the response";
    EXPECT_EQ(requests[n].head.target, "/" + std::to_string(n));
    respond_to_all("answer " + std::to_string(n) + ".");
  }
  ASSERT_TRUE(until([&] { return count_of(connection.received, "answer") == 20; }));
  std::vector<Message> const answers = parse_text(false, connection.received).messages;
  ASSERT_EQ(answers.size(), 20u);
  for (std::size_t n = 0; n < 20; ++n) EXPECT_EQ(answers[n].body, "answer " + std::to_string(n) + ".");
}

TEST_F(HttpServerTest, responses_to_head_have_no_body) {
  LoopbackStream connection(address);
  connection.send("HEAD /h HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  respond_to_all("twelve bytes");
  connection.send("HEAD /i HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE(until([&] { return requests.size() == 2; }));
  server.begin_response(requests[1].id, status(200), -1);
  server.write_body(requests[1].id, "pieces");
  server.end_response(requests[1].id);
  ASSERT_TRUE(until(
      [&] { return count_of(connection.received, "HTTP/1.1 200") == 2 && connection.received.ends_with("\r\n\r\n"); }));
  EXPECT_NE(connection.received.find("Content-Length: 12"), std::string::npos);
  EXPECT_EQ(connection.received.find("twelve"), std::string::npos);
  EXPECT_EQ(connection.received.find("pieces"), std::string::npos);
  EXPECT_EQ(parse_pieces(false, {connection.received}, true).messages.size(), 2u);
}

TEST_F(HttpServerTest, connection_closes_when_the_client_requests_it) {
  for (std::string const& text :
       {"GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n", "GET / HTTP/1.0\r\n" + host + "\r\n"}) {
    LoopbackStream connection(address);
    connection.send(text);
    ASSERT_TRUE(until([&] { return requests.size() > responded; }));
    respond_to_all("yes");
    ASSERT_TRUE(until([&] { return connection.closed; }));
    EXPECT_EQ(parse_text(false, connection.received).messages.size(), 1u);
    EXPECT_NE(connection.received.find("Connection: close"), std::string::npos);
  }
  EXPECT_EQ(server.connections(), 0u);
}

TEST_F(HttpServerTest, large_last_response_arrives_complete) {
  for (bool const pieces : {false, true}) {
    LoopbackStream connection(address);
    connection.link->pause_reading(true);
    connection.send("GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n");
    ASSERT_TRUE(until([&] { return requests.size() > responded; }));
    std::string const body(32u << 20, 'z');
    if (pieces) {
      server.begin_response(requests[responded].id, status(200), -1);
      server.write_body(requests[responded].id, body);
      server.end_response(requests[responded++].id);
    } else {
      respond_to_all(body);
    }
    settle();
    connection.link->pause_reading(false);
    ASSERT_TRUE(until([&] { return connection.closed; }));
    std::vector<Message> const answers = parse_pieces(false, {connection.received}, false, 65536, 64u << 20).messages;
    ASSERT_EQ(answers.size(), 1u) << connection.received.size() << " bytes were received";
    EXPECT_EQ(answers[0].body.size(), body.size());
  }
}

TEST_F(HttpServerTest, connections_that_are_being_flushed_are_counted) {
  LoopbackStream connection(address);
  connection.link->pause_reading(true);
  connection.send("GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n");
  ASSERT_TRUE(until([&] { return requests.size() > responded; }));
  respond_to_all(std::string(32u << 20, 'z'));
  settle();
  EXPECT_EQ(server.active_requests(), 0u);
  EXPECT_EQ(server.connections(), 1u) << "ending the process now would truncate the response";
  connection.link->pause_reading(false);
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_EQ(server.connections(), 0u);
}

TEST_F(HttpServerTest, streamed_response_is_sent_part_by_part) {
  LoopbackStream connection(address);
  connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  server.begin_response(requests[0].id, status(200), -1);
  for (char const* const part : {"one", "two", "three"}) {
    server.write_body(requests[0].id, part);
    ASSERT_TRUE(until([&] { return connection.received.find(part) != std::string::npos; }));
    EXPECT_TRUE(parse_text(false, connection.received).messages.empty());
  }
  server.end_response(requests[0].id);
  ASSERT_TRUE(until([&] { return parse_text(false, connection.received).messages.size() == 1; }));
  EXPECT_EQ(parse_text(false, connection.received).messages[0].body, "onetwothree");
  EXPECT_FALSE(connection.closed);
}

TEST_F(HttpServerTest, aborted_response_is_not_complete) {
  for (std::int64_t const length : {std::int64_t(-1), std::int64_t(100)}) {
    LoopbackStream connection(address);
    connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
    ASSERT_TRUE(until([&] { return requests.size() > responded; }));
    std::uint64_t const id = requests[responded++].id;
    server.begin_response(id, status(200), length);
    server.write_body(id, "part");
    server.abort_response(id);
    ASSERT_TRUE(until([&] { return connection.closed; }));
    EXPECT_NE(connection.received.find("part"), std::string::npos);
    EXPECT_TRUE(parse_text(false, connection.received).messages.empty());
  }
}

TEST_F(HttpServerTest, response_shorter_than_its_length_is_aborted) {
  LoopbackStream connection(address);
  connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  server.begin_response(requests[0].id, status(200), 100);
  server.write_body(requests[0].id, "part");
  server.end_response(requests[0].id);
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_TRUE(parse_text(false, connection.received).messages.empty());
}

TEST_F(HttpServerTest, response_with_a_bodiless_status_ends_with_its_head) {
  LoopbackStream connection(address);
  std::size_t n = 0;
  for (unsigned const code : {204u, 304u})
    for (std::int64_t const length : {std::int64_t(-1), std::int64_t(0), std::int64_t(9)}) {
      connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
      ASSERT_TRUE(until([&] { return requests.size() == n + 1; }));
      server.begin_response(requests[n].id, status(code), length);
      server.end_response(requests[n].id);
      ++n;
      ASSERT_TRUE(until([&] {
        return count_of(connection.received, "HTTP/1.1 ") == n && connection.received.ends_with("\r\n\r\n");
      }));
      settle();
      ParseResult const answers = parse_text(false, connection.received);
      EXPECT_EQ(answers.error, HttpParser::Error::none) << code << " " << length;
      EXPECT_EQ(answers.messages.size(), n) << code << " " << length;
      EXPECT_FALSE(connection.closed);
    }
  EXPECT_EQ(connection.received.find("Transfer-Encoding"), std::string::npos);
}

TEST_F(HttpServerTest, disconnect_of_a_client_is_reported_once) {
  {
    LoopbackStream connection(address);
    connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
    ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  }
  ASSERT_TRUE(until([&] { return disconnected.size() == 1; }));
  EXPECT_EQ(disconnected[0], requests[0].id);
  // Later responses to the request are ignored.
  server.begin_response(requests[0].id, status(200), -1);
  server.write_body(requests[0].id, "x");
  server.end_response(requests[0].id);
  server.respond(requests[0].id, status(200), "x");
  server.abort_response(requests[0].id);
  EXPECT_EQ(server.connections(), 0u);
  EXPECT_EQ(server.active_requests(), 0u);
}

TEST_F(HttpServerTest, malformed_requests_are_rejected_and_never_delivered) {
  for (MalformedRequest const& row : malformed_requests()) {
    LoopbackStream connection(address);
    connection.send(row.text);
    settle();
    // Incomplete requests end with a timeout.
    server.close_expired(far_future());
    ASSERT_TRUE(until([&] { return connection.closed; })) << row.name;
    EXPECT_TRUE(requests.empty()) << row.name << " was delivered";
    if (!connection.received.empty()) {
      EXPECT_EQ(connection.received.substr(0, 10), "HTTP/1.1 4") << row.name << ": " << connection.received;
    }
    EXPECT_EQ(server.connections(), 0u) << row.name;
    requests.clear();
  }
}

TEST_F(HttpServerTest, malformed_bytes_after_a_valid_request_do_not_affect_it) {
  for (MalformedRequest const& row : malformed_requests()) {
    if (row.text.size() > 4000) continue;
    LoopbackStream connection(address);
    connection.send(valid_requests[1] + row.text);
    ASSERT_TRUE(until([&] { return requests.size() == 1; })) << row.name;
    EXPECT_EQ(requests[0].body, "hello");
    server.respond(requests[0].id, status(200), "yes");
    settle();
    server.close_expired(far_future());
    ASSERT_TRUE(until([&] { return connection.closed; })) << row.name;
    EXPECT_EQ(requests.size(), 1u) << row.name;
    EXPECT_EQ(connection.received.substr(0, 12), "HTTP/1.1 200") << row.name;
    requests.clear();
  }
}

TEST_F(HttpServerTest, mutated_requests_are_delivered_only_if_a_strict_parser_accepts_them) {
  std::vector<std::string> const seeds = mutation_seeds();
  RandomSource random(22);
  for (int n = 0; n < 2500; ++n) {
    std::string const text = mutate(random, seeds);
    std::vector<Message> const strict = StrictRequestParser(text).messages;
    LoopbackStream connection(address);
    std::size_t const at = random.below(text.size() + 1);
    connection.send(std::string_view(text).substr(0, at));
    settle();
    connection.send(std::string_view(text).substr(at));
    std::size_t done = 0;
    for (int turns = 0; turns < 10; ++turns) {
      settle();
      while (done < requests.size()) server.respond(requests[done++].id, status(200), "yes");
    }
    server.close_expired(far_future());
    ASSERT_TRUE(until([&] { return connection.closed; })) << n << "\n" << text;
    std::vector<Message> read;
    for (Server::Request const& request : requests)
      read.push_back({request.head.method + " " + request.head.target, request.head.fields, request.body});
    ASSERT_TRUE(is_prefix_of(read, strict)) << "round " << n << "\n" << text;
    ASSERT_EQ(server.connections(), 0u);
    requests.clear();
  }
}

TEST_F(HttpServerTest, slow_clients_get_408_and_idle_connections_are_closed) {
  Server::Limits limits;
  limits.head_timeout = seconds(5);
  limits.body_timeout = seconds(9);
  limits.idle_timeout = seconds(60);
  server.set_limits(limits);
  LoopbackStream idle(address);
  LoopbackStream heading(address);
  LoopbackStream sending(address);
  LoopbackStream busy(address);
  heading.send("GET / HT");
  sending.send("POST / HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nhel");
  busy.send(valid_requests[0]);
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  settle();
  Micros const now = g_get_monotonic_time();
  server.close_expired(now);
  settle();
  EXPECT_EQ(server.connections(), 4u);
  server.close_expired(now + seconds(6));
  ASSERT_TRUE(until([&] { return heading.closed; }));
  EXPECT_EQ(heading.received.substr(0, 12), "HTTP/1.1 408");
  EXPECT_FALSE(sending.closed);
  server.close_expired(now + seconds(10));
  ASSERT_TRUE(until([&] { return sending.closed; }));
  EXPECT_EQ(sending.received.substr(0, 12), "HTTP/1.1 408");
  EXPECT_FALSE(idle.closed);
  server.close_expired(now + seconds(70));
  ASSERT_TRUE(until([&] { return idle.closed; }));
  EXPECT_EQ(idle.received, "");
  settle();
  EXPECT_FALSE(busy.closed) << "timeouts do not apply to a request whose response is pending";
  respond_to_all("yes");
  ASSERT_TRUE(until([&] { return !busy.received.empty(); }));
  EXPECT_EQ(requests.size(), 1u);
}

TEST_F(HttpServerTest, shorter_idle_timeout_applies_to_connections_that_become_idle_later) {
  LoopbackStream connection(address);
  connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE(until([&] { return requests.size() > responded; }));
  respond_to_all("ok");
  settle();
  // The client may still reuse the connection after four fifths of the timeout that it knows.
  Server::Limits shorter;
  shorter.idle_timeout = seconds(5);
  server.set_limits(shorter);
  server.close_expired(g_get_monotonic_time() + seconds(48));
  settle();
  EXPECT_FALSE(connection.closed);
  server.close_expired(g_get_monotonic_time() + seconds(61));
  ASSERT_TRUE(until([&] { return connection.closed; }));
  LoopbackStream other(address);
  settle();
  server.close_expired(g_get_monotonic_time() + seconds(6));
  ASSERT_TRUE(until([&] { return other.closed; }));
}

TEST_F(HttpServerTest, draining_closes_idle_connections_and_each_other_one_after_its_response) {
  LoopbackStream idle(address);
  LoopbackStream busy(address);
  busy.send(valid_requests[0]);
  ASSERT_TRUE(until([&] { return requests.size() == 1 && server.connections() == 2; }));
  server.close_after_responses();
  server.stop_listening();
  server.close_idle_connections();
  ASSERT_TRUE(until([&] { return idle.closed; }));
  respond_to_all("yes");
  ASSERT_TRUE(until([&] { return busy.closed; }));
  EXPECT_NE(busy.received.find("Connection: close"), std::string::npos);
  EXPECT_NE(busy.received.find("yes"), std::string::npos);
  LoopbackStream late(address);
  EXPECT_TRUE(late.closed);
  EXPECT_EQ(late.end, TcpConnection::CloseReason::connect_failed);
}

TEST_F(HttpServerTest, response_begun_before_draining_closes_its_connection) {
  LoopbackStream connection(address);
  connection.send(valid_requests[0]);
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  std::uint64_t const id = requests[0].id;
  Head head;
  head.status = 200;
  server.begin_response(id, head, -1);
  server.write_body(id, "first");
  ASSERT_TRUE(until([&] { return connection.received.find("first") != std::string::npos; }));
  EXPECT_EQ(connection.received.find("Connection: close"), std::string::npos)
      << "the head was sent before draining began";
  server.close_after_responses();
  server.stop_listening();
  server.close_idle_connections();
  server.end_response(id);
  connection.send(valid_requests[0]);
  ASSERT_TRUE(until([&] { return connection.closed || requests.size() > 1; }));
  EXPECT_EQ(requests.size(), 1u) << "a request received after listening stopped may outlast the grace period";
  EXPECT_NE(connection.received.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(HttpServerTest, reading_pauses_when_a_client_sends_too_far_ahead) {
  LoopbackStream connection(address);
  connection.send(valid_requests[0]);
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  connection.send(std::string(64u << 20, 'x'));
  settle();
  EXPECT_GT(connection.link->buffered_bytes(), 16u << 20) << "the server must not read all of it into memory";
  respond_to_all("yes");
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_EQ(requests.size(), 1u);
}

// A SOCK_SEQPACKET pair rejects a large message and accepts the next one, like a system that is briefly short of
// memory.
TEST(TcpConnection, nothing_is_sent_after_bytes_that_could_not_be_written) {
  int ends[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends), 0);
  std::shared_ptr<TcpConnection> const link = TcpConnection::adopt(ends[0]);
  bool shut = false;
  link->set_callbacks({nullptr, nullptr, [&shut](TcpConnection::CloseReason) { shut = true; }, nullptr});
  link->write("front");
  link->write(std::string(8u << 20, 'z'));
  link->write("tail");
  settle();
  char buffer[64];
  EXPECT_EQ(::recv(ends[1], buffer, sizeof buffer, 0), 5);
  EXPECT_LE(::recv(ends[1], buffer, sizeof buffer, 0), 0)
      << "the peer would read the following bytes in place of the lost ones";
  EXPECT_TRUE(shut);
  ::close(ends[1]);
}

namespace {
// A pool, a worker on loopback sockets, and the callbacks of the pool.
class UpstreamPoolTest : public testing::Test {
 protected:
  struct FailedRequest {
    std::uint64_t id;
    UpstreamPool::Failure failure;
  };
  UpstreamPoolTest()
      : upstream({[this](std::uint64_t id) { sent.push_back(id); },
                  [this](std::uint64_t id, Head const& head, bool) {
                    heads.push_back(head);
                    bool const matches = head.find("X-Id") == nullptr || head.get("X-Id") == std::to_string(id);
                    return head.status >= 200 && matches ? UpstreamPool::ResponseOwner::current_request
                                                         : UpstreamPool::ResponseOwner::other_request;
                  },
                  [this](std::uint64_t id, std::string_view bytes) { bodies[id].append(bytes); },
                  [this](std::uint64_t id) { completed.push_back(id); },
                  [this](std::uint64_t id, UpstreamPool::Failure failure, std::string const&) {
                    failed.push_back({id, failure});
                  }},
                 "") {
    address = listen_on_free_port([this](std::string const& at) {
      return listener.open(at, [this](std::shared_ptr<TcpConnection> link) {
        connections.push_back(std::make_unique<LoopbackStream>(std::move(link)));
      });
    });
  }
  static std::string request(std::string const& method = "POST") {
    return method + " / HTTP/1.1\r\n" + host + (method == "POST" ? "Content-Length: 2\r\n\r\nhi" : "\r\n");
  }
  // Starts a request, waits until the worker has received it, and returns the worker's side of the connection.
  LoopbackStream& start_request(std::uint64_t id, std::string const& method = "POST") {
    std::size_t received_before = 0;
    for (std::unique_ptr<LoopbackStream> const& connection : connections)
      received_before += count_of(connection->received, "HTTP/1.1\r\n");
    upstream.start_request(id, "w", address, request(method), seconds(10));
    LoopbackStream* found = nullptr;
    EXPECT_TRUE(until([&] {
      std::size_t received = 0;
      for (std::unique_ptr<LoopbackStream> const& connection : connections)
        received += count_of(connection->received, "HTTP/1.1\r\n");
      return received > received_before;
    }));
    for (std::unique_ptr<LoopbackStream> const& connection : connections)
      if (!connection->closed && !connection->received.empty()) found = connection.get();
    if (found == nullptr) throw std::runtime_error("the request did not reach the worker");
    return *found;
  }
  bool request_ended() {
    return until([this] { return completed.size() + failed.size() > 0; });
  }
  void clear_events() {
    sent.clear();
    heads.clear();
    bodies.clear();
    completed.clear();
    failed.clear();
  }

  std::vector<std::uint64_t> sent;
  std::vector<Head> heads;
  std::map<std::uint64_t, std::string> bodies;
  std::vector<std::uint64_t> completed;
  std::vector<FailedRequest> failed;
  std::vector<std::unique_ptr<LoopbackStream>> connections;
  std::string address;
  Listener listener;
  UpstreamPool upstream;
};
std::string const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
}  // namespace

TEST_F(UpstreamPoolTest, responses_arrive_wherever_they_are_split_and_the_connection_is_reused) {
  std::string const text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  for (std::size_t at = 1; at < text.size(); ++at) {
    LoopbackStream& connection = start_request(at);
    EXPECT_EQ(sent, std::vector<std::uint64_t>{at});
    connection.send(std::string_view(text).substr(0, at));
    settle();
    EXPECT_TRUE(completed.empty());
    connection.send(std::string_view(text).substr(at));
    ASSERT_TRUE(request_ended());
    EXPECT_EQ(completed, std::vector<std::uint64_t>{at});
    EXPECT_EQ(bodies[at], "abcde");
    clear_events();
  }
  EXPECT_EQ(upstream.dialled, 1u);
  EXPECT_EQ(upstream.reused, text.size() - 2);
  EXPECT_EQ(upstream.idle_connections("w"), 1u);
}

TEST_F(UpstreamPoolTest, response_to_head_has_no_body) {
  LoopbackStream& connection = start_request(1, "HEAD");
  connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");
  settle();
  ASSERT_EQ(completed.size(), 1u);
  EXPECT_EQ(upstream.idle_connections("w"), 1u);
  start_request(2).send(ok);
  clear_events();
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(completed, std::vector<std::uint64_t>{2});
  EXPECT_EQ(bodies[2], "ok");
}

TEST_F(UpstreamPoolTest, surplus_bytes_close_the_connection_but_do_not_fail_the_request) {
  start_request(1).send(ok + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen");
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(completed, std::vector<std::uint64_t>{1});
  EXPECT_EQ(bodies[1], "ok");
  EXPECT_EQ(upstream.idle_connections("w"), 0u);
  EXPECT_EQ(upstream.connections(), 0u);
}

TEST_F(UpstreamPoolTest, bytes_on_an_idle_connection_close_it) {
  LoopbackStream& connection = start_request(1);
  connection.send(ok);
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(upstream.idle_connections("w"), 1u);
  connection.send("HTTP/1.1 200 OK\r\n");
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_EQ(upstream.idle_connections("w"), 0u);
  clear_events();
  start_request(2).send(ok);
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(completed, std::vector<std::uint64_t>{2});
  EXPECT_EQ(upstream.dialled, 2u);
}

TEST_F(UpstreamPoolTest, response_to_another_request_is_skipped) {
  std::string const strange = "HTTP/1.1 200 OK\r\nX-Id: 77\r\nContent-Length: 6\r\n\r\nstolen";
  for (bool const together : {true, false}) {
    clear_events();
    LoopbackStream& connection = start_request(1);
    std::string const mine = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";
    if (together) {
      connection.send(strange + mine);
    } else {
      connection.send(strange);
      settle();
      EXPECT_TRUE(completed.empty() && failed.empty());
      connection.send(mine);
    }
    ASSERT_TRUE(request_ended());
    EXPECT_EQ(completed, std::vector<std::uint64_t>{1});
    EXPECT_EQ(bodies[1], "ok");
  }
  clear_events();
  // The request fails after too many such responses, and after one that closes its connection.
  LoopbackStream& connection = start_request(2);
  for (int i = 0; i < 10; ++i) connection.send(strange);
  ASSERT_TRUE(request_ended());
  ASSERT_EQ(failed.size(), 1u);
  EXPECT_EQ(failed[0].failure, UpstreamPool::Failure::broken);
  EXPECT_EQ(bodies.count(2), 0u);
  clear_events();
  start_request(3).send("HTTP/1.1 200 OK\r\nX-Id: 77\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
  ASSERT_TRUE(request_ended());
  ASSERT_EQ(failed.size(), 1u);
  EXPECT_EQ(failed[0].failure, UpstreamPool::Failure::broken);
}

TEST_F(UpstreamPoolTest, response_before_the_request_was_fully_sent_closes_the_connection) {
  std::string const body(32u << 20, 'z');
  upstream.start_request(
      1, "w", address,
      "POST / HTTP/1.1\r\n" + host + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, seconds(10));
  ASSERT_TRUE(until([&] { return !connections.empty(); }));
  connections[0]->link->pause_reading(true);
  connections[0]->send(ok);
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(completed, std::vector<std::uint64_t>{1});
  EXPECT_EQ(upstream.idle_connections("w"), 0u) << "the next request would be queued behind the rest of this one";
}

TEST_F(UpstreamPoolTest, interim_responses_are_skipped) {
  start_request(1).send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok);
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(completed, std::vector<std::uint64_t>{1});
  EXPECT_EQ(bodies[1], "ok");
}

TEST_F(UpstreamPoolTest, failure_tells_whether_the_response_had_begun) {
  struct Row {
    char const* name;
    std::string text;
    UpstreamPool::Failure failure;
  };
  Row const rows[] = {
      {"before the response", "", UpstreamPool::Failure::broken},
      {"in the head", "HTTP/1.1 200 OK\r\nConte", UpstreamPool::Failure::broken},
      {"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n", UpstreamPool::Failure::broken},
      {"in a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", UpstreamPool::Failure::truncated},
      {"before a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", UpstreamPool::Failure::truncated},
      {"in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", UpstreamPool::Failure::truncated},
      {"between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
       UpstreamPool::Failure::truncated},
      {"before the end of the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
       UpstreamPool::Failure::truncated},
      {"in the response to another request", "HTTP/1.1 200 OK\r\nX-Id: 77\r\nContent-Length: 9\r\n\r\nabc",
       UpstreamPool::Failure::broken},
  };
  for (bool const reset : {false, true})
    for (Row const& row : rows) {
      clear_events();
      LoopbackStream& connection = start_request(1);
      connection.send(row.text);
      settle();
      connection.link->close(reset);
      connection.closed = true;
      ASSERT_TRUE(request_ended()) << row.name;
      ASSERT_EQ(failed.size(), 1u) << row.name;
      EXPECT_EQ(failed[0].failure, row.failure) << row.name;
      EXPECT_TRUE(completed.empty());
      EXPECT_EQ(upstream.connections(), 0u);
    }
}

TEST_F(UpstreamPoolTest, response_without_length_is_complete_unless_the_connection_is_reset) {
  for (bool const reset : {false, true}) {
    clear_events();
    LoopbackStream& connection = start_request(1);
    connection.send("HTTP/1.1 200 OK\r\n\r\nabc");
    ASSERT_TRUE(until([&] { return bodies[1] == "abc"; }));
    connection.link->close(reset);
    connection.closed = true;
    ASSERT_TRUE(request_ended());
    EXPECT_EQ(completed.size(), reset ? 0u : 1u);
    EXPECT_EQ(failed.size(), reset ? 1u : 0u);
    EXPECT_EQ(upstream.idle_connections("w"), 0u);
  }
}

TEST_F(UpstreamPoolTest, invalid_response_fails_the_request) {
  for (std::string const text : {"nonsense\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"}) {
    clear_events();
    start_request(1).send(text);
    ASSERT_TRUE(request_ended()) << text;
    ASSERT_EQ(failed.size(), 1u) << text;
    EXPECT_EQ(failed[0].failure, UpstreamPool::Failure::broken);
  }
  clear_events();
  start_request(1).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
  ASSERT_TRUE(request_ended());
  ASSERT_EQ(failed.size(), 1u);
  EXPECT_EQ(failed[0].failure, UpstreamPool::Failure::truncated);
}

TEST_F(UpstreamPoolTest, idle_connection_closed_by_the_worker_is_not_reused) {
  for (bool const reset : {false, true}) {
    clear_events();
    LoopbackStream& connection = start_request(1);
    connection.send(ok);
    ASSERT_TRUE(request_ended());
    EXPECT_EQ(upstream.idle_connections("w"), 1u);
    connection.link->close(reset);
    connection.closed = true;
    ASSERT_TRUE(until([&] { return upstream.idle_connections("w") == 0; }));
    clear_events();
    LoopbackStream& next = start_request(2);
    next.send(ok);
    ASSERT_TRUE(request_ended());
    EXPECT_EQ(completed, std::vector<std::uint64_t>{2});
    EXPECT_TRUE(failed.empty());
    next.link->close();
    next.closed = true;
    ASSERT_TRUE(until([&] { return upstream.idle_connections("w") == 0; }));
  }
  EXPECT_EQ(upstream.reused, 0u);
}

TEST_F(UpstreamPoolTest, idle_connection_is_checked_before_it_is_reused) {
  // The change by the worker has reached this machine, but the main loop has not run since.
  for (int way = 0; way < 3; ++way) {
    clear_events();
    LoopbackStream& connection = start_request(1);
    connection.send(ok);
    ASSERT_TRUE(request_ended());
    ASSERT_EQ(upstream.idle_connections("w"), 1u);
    std::uint64_t const dialled = upstream.dialled;
    clear_events();
    if (way == 0) {
      connection.link->close();
    } else if (way == 1) {
      connection.link->close(true);
    } else {
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen");
    }
    connection.closed = true;
    LoopbackStream& next = start_request(2);
    EXPECT_EQ(upstream.dialled, dialled + 1);
    next.send(ok);
    ASSERT_TRUE(request_ended());
    EXPECT_EQ(completed, std::vector<std::uint64_t>{2});
    EXPECT_EQ(sent, std::vector<std::uint64_t>{2});
    EXPECT_EQ(bodies[2], "ok");
    next.link->close();
    next.closed = true;
    ASSERT_TRUE(until([&] { return upstream.idle_connections("w") == 0; }));
  }
}

TEST_F(UpstreamPoolTest, failed_connect_sends_nothing) {
  for (std::string const& bad : {free_address(), std::string("nonsense"), std::string("127.0.0.1:0")}) {
    clear_events();
    upstream.start_request(1, "w", bad, request(), seconds(10));
    ASSERT_TRUE(request_ended()) << bad;
    ASSERT_EQ(failed.size(), 1u);
    EXPECT_EQ(failed[0].failure, UpstreamPool::Failure::connect_failed);
    EXPECT_TRUE(sent.empty()) << "no byte was sent";
    EXPECT_EQ(upstream.connections(), 0u);
  }
}

TEST_F(UpstreamPoolTest, announced_keep_alive_times_are_respected) {
  struct Row {
    char const* fields;
    Micros least;  // the connection is still idle at this age; -1 if it is closed at once
    Micros most;   // the connection is closed at this age
  };
  Row const rows[] = {
      {"", seconds(1), seconds(30)},
      {"Keep-Alive: timeout=2\r\n", seconds(1), seconds(2)},
      {"Keep-Alive: max=9, timeout=2\r\n", seconds(1), seconds(2)},
      {"Keep-Alive: timeout=0\r\n", -1, 0},
      {"Keep-Alive: timeout=100000\r\n", seconds(10), seconds(60)},
      {"Keep-Alive: timeout=99999999999999999999\r\n", seconds(10), seconds(60)},
      {"Keep-Alive: timeout=-5\r\n", -1, 0},
      {"Keep-Alive: timeout=soon\r\n", -1, 0},
      {"Connection: close\r\n", -1, 0},
  };
  for (Row const& row : rows) {
    clear_events();
    start_request(1).send("HTTP/1.1 200 OK\r\n" + std::string(row.fields) + "Content-Length: 2\r\n\r\nok");
    ASSERT_TRUE(request_ended()) << row.fields;
    Micros const now = g_get_monotonic_time();
    EXPECT_EQ(upstream.idle_connections("w"), row.least >= 0 ? 1u : 0u) << row.fields;
    if (row.least < 0) continue;
    upstream.close_expired(now + row.least);
    EXPECT_EQ(upstream.idle_connections("w"), 1u) << row.fields;
    upstream.close_expired(now + row.most);
    EXPECT_EQ(upstream.idle_connections("w"), 0u) << row.fields;
    settle();
  }
}

TEST_F(UpstreamPoolTest, connections_are_reused_only_for_the_same_peer) {
  start_request(1).send(ok);
  ASSERT_TRUE(request_ended());
  clear_events();
  upstream.start_request(2, "v", address, request(), seconds(10));
  ASSERT_TRUE(until([&] { return sent.size() == 1; }));
  EXPECT_EQ(upstream.reused, 0u) << "another process may use the address now";
  upstream.cancel(2);
  EXPECT_EQ(upstream.idle_connections("w"), 1u);
  upstream.close_idle_connections("w");
  EXPECT_EQ(upstream.connections(), 0u);
  upstream.close_idle_connections("nobody");
}

TEST_F(UpstreamPoolTest, cancelled_request_gets_no_further_callbacks) {
  LoopbackStream& connection = start_request(1);
  connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  ASSERT_TRUE(until([&] { return bodies[1] == "abc"; }));
  upstream.cancel(1);
  upstream.cancel(1);
  connection.send("defghi");
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_TRUE(completed.empty());
  EXPECT_TRUE(failed.empty());
  EXPECT_EQ(bodies[1], "abc");
  EXPECT_EQ(upstream.active_requests(), 0u);
}

// Request bytes still buffered in the kernel must not reach the worker after the request was cancelled.
TEST_F(UpstreamPoolTest, cancelling_resets_the_connection) {
  LoopbackStream& connection = start_request(1);
  upstream.cancel(1);
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_EQ(connection.end, TcpConnection::CloseReason::reset);
}

// The worker may have sent its complete response before it closed the connection with request bytes unread.
TEST_F(UpstreamPoolTest, response_received_before_a_reset_is_delivered_though_the_request_was_not_fully_sent) {
  std::string const body(32u << 20, 'z');
  std::string const text =
      "POST / HTTP/1.1\r\n" + host + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  for (bool const length : {true, false}) {
    clear_events();
    connections.clear();
    upstream.start_request(1, "w", address, text, seconds(10));
    ASSERT_TRUE(until([&] { return !connections.empty(); }));
    connections[0]->link->pause_reading(true);
    connections[0]->send(length ? ok : "HTTP/1.1 200 OK\r\n\r\nok");
    connections[0]->link->close();
    connections[0]->closed = true;
    ASSERT_TRUE(request_ended());
    EXPECT_EQ(completed.size(), length ? 1u : 0u)
        << "a response without length is complete only after an orderly close";
    EXPECT_EQ(bodies[1], "ok");
    EXPECT_EQ(upstream.connections(), 0u);
  }
}

TEST_F(UpstreamPoolTest, each_request_ends_once_when_its_response_is_mutated) {
  std::vector<std::string> const seeds = {ok,
                                          ok + ok,
                                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                                          "HTTP/1.1 200 OK\r\nX-Id: 77\r\nContent-Length: 1\r\n\r\nx" + ok,
                                          "HTTP/1.1 100 Continue\r\n\r\n" + ok,
                                          "HTTP/1.1 204 No\r\nKeep-Alive: timeout=9\r\n\r\n",
                                          "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"};
  RandomSource random(23);
  for (std::uint64_t id = 1; id <= 1500; ++id) {
    clear_events();
    LoopbackStream& connection = start_request(id);
    std::string const text = mutate(random, seeds);
    std::size_t const at = random.below(text.size() + 1);
    connection.send(std::string_view(text).substr(0, at));
    settle();
    connection.send(std::string_view(text).substr(at));
    settle();
    if (!connection.closed) connection.link->close(random.chance(0.5));
    connection.closed = true;
    ASSERT_TRUE(request_ended()) << id << "\n" << text;
    settle();
    ASSERT_EQ(completed.size() + failed.size(), 1u) << id << "\n" << text;
    ASSERT_EQ(upstream.active_requests(), 0u);
    ASSERT_EQ(sent.size(), 1u);
    upstream.close_idle_connections("w");
    settle();
    connections.clear();
  }
}

}  // namespace pipit
