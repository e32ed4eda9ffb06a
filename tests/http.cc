// HTTP as a router must read it: messages however their bytes come, what is refused, and connections to workers
// (§12.2).
#include <gtest/gtest.h>

#include <glib.h>

#include <algorithm>
#include <functional>
#include <stdexcept>

#include "base/random.h"
#include "net/server.h"
#include "net/upstream.h"
#include "tests/loopback.h"

namespace pipit {

namespace {
struct Message {
  std::string line;  // method and target, or status
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool keep = true;
  bool operator==(Message const&) const = default;
};

std::ostream& operator<<(std::ostream& out, Message const& item) {
  out << item.line << " |";
  for (std::pair<std::string, std::string> const& field : item.fields) out << field.first << "=" << field.second << "|";
  return out << item.body;
}

struct Reading {
  std::vector<Message> whole;
  Reader::Error error = Reader::Error::none;
  bool between = true;  // nothing is half read
};

// Reads a text that comes in the given pieces.
Reading read_pieces(bool requests, std::vector<std::string_view> const& pieces, bool bodiless = false,
                    std::size_t head_most = 65536, std::size_t body_most = 1u << 20) {
  Reading out;
  Reader reader(requests);
  reader.limit(head_most, body_most);
  Message now;
  reader.callbacks.head = [&](Head& head) {
    now.line = requests ? head.method + " " + head.target : std::to_string(head.status);
    now.fields = head.fields;
    now.keep = head.keep;
    return !bodiless;
  };
  reader.callbacks.body = [&](std::string_view bytes) { now.body.append(bytes); };
  reader.callbacks.complete = [&] {
    out.whole.push_back(now);
    now = Message();
  };
  for (std::string_view piece : pieces) {
    while (!piece.empty()) {
      // A copy of its own, so that reading past its end is seen.
      std::string const part(piece);
      std::size_t const took = reader.feed(part);
      if (reader.error() != Reader::Error::none) {
        out.error = reader.error();
        return out;
      }
      piece.remove_prefix(std::min(took, piece.size()));
      if (reader.complete())
        reader.next();
      else if (!piece.empty()) {
        ADD_FAILURE() << "bytes were left over in the middle of a message";
        return out;
      }
    }
  }
  out.between = reader.idle();
  return out;
}
Reading read_whole(bool requests, std::string const& text) { return read_pieces(requests, {text}); }

std::string const host = "Host: h.test\r\n";
std::string const good_requests[] = {
    "GET /a?b=c HTTP/1.1\r\n" + host + "\r\n",
    "POST /p HTTP/1.1\r\n" + host + "Content-Length: 5\r\nX-One:  two words \r\n\r\nhello",
    "POST /p HTTP/1.1\r\n" + host +
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nA;ext=1\r\n0123456789\r\n0\r\n\r\n",
    "PUT /p HTTP/1.1\r\n" + host + "transfer-encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\nX-Trailer: t\r\n\r\n",
    "HEAD /h HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n",
    "POST /e HTTP/1.0\r\nContent-Length: 0\r\n" + host + "X-Empty:\r\n\r\n",
};
}  // namespace

TEST(Reading, is_the_same_wherever_the_bytes_are_split) {
  std::string all;
  for (std::string const& one : good_requests) all += one;
  Reading const whole = read_whole(true, all);
  ASSERT_EQ(whole.error, Reader::Error::none);
  ASSERT_EQ(whole.whole.size(), std::size(good_requests)) << "pipelined";
  EXPECT_EQ(whole.whole[1].body, "hello");
  EXPECT_EQ(whole.whole[1].fields[2].second, "two words") << "blanks around a value are no part of it";
  EXPECT_EQ(whole.whole[2].body, "hello0123456789");
  EXPECT_EQ(whole.whole[3].body, "\n");
  EXPECT_EQ(whole.whole[3].fields.size(), 2u) << "a trailer is no field of the head";
  EXPECT_FALSE(whole.whole[4].keep);
  EXPECT_FALSE(whole.whole[5].keep) << "HTTP/1.0";
  EXPECT_TRUE(whole.between);
  for (std::size_t at = 1; at < all.size(); ++at) {
    std::string_view const text = all;
    Reading const split = read_pieces(true, {text.substr(0, at), text.substr(at)});
    ASSERT_EQ(split.error, Reader::Error::none) << at;
    ASSERT_EQ(split.whole, whole.whole) << at;
  }
  std::vector<std::string_view> single;
  for (std::size_t at = 0; at < all.size(); ++at) single.push_back(std::string_view(all).substr(at, 1));
  EXPECT_EQ(read_pieces(true, single).whole, whole.whole);
}

TEST(Reading, knows_where_answers_end) {
  std::string const all =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
      "HTTP/1.1 204 No Content\r\n\r\n"
      "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (std::size_t at = 0; at < all.size(); ++at) {
    std::string_view const text = all;
    Reading const out = read_pieces(false, {text.substr(0, at), text.substr(at)});
    ASSERT_EQ(out.whole.size(), 5u) << at;
    EXPECT_EQ(out.whole[0].body, "ok");
    EXPECT_EQ(out.whole[4].body, "abc");
    EXPECT_FALSE(out.whole[4].keep);
  }
  Reading const head =
      read_pieces(false, {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"}, true);
  EXPECT_EQ(head.whole.size(), 2u) << "answers to HEAD have no body whatever they announce";
}

TEST(Reading, ends_an_answer_without_length_with_its_connection) {
  for (bool const cut : {false, true}) {
    Reader reader(false);
    std::string body;
    int whole = 0;
    reader.callbacks.body = [&body](std::string_view bytes) { body.append(bytes); };
    reader.callbacks.complete = [&whole] { ++whole; };
    std::string const text = cut ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc" : "HTTP/1.1 200 OK\r\n\r\nabc";
    EXPECT_EQ(reader.feed(text), text.size());
    EXPECT_EQ(whole, 0);
    EXPECT_EQ(reader.eof(), !cut);
    EXPECT_EQ(whole, cut ? 0 : 1);
    EXPECT_EQ(body, "abc");
  }
}

namespace {
struct Bad {
  char const* name;
  std::string text;
};
std::string chunks(std::string const& text) {
  return "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n" + text;
}
std::string head(std::string const& fields) { return "POST / HTTP/1.1\r\n" + host + fields + "\r\n"; }

std::vector<Bad> const& bad_requests() {
  static std::vector<Bad> const rows = {
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
constexpr std::size_t small_head = 16384;
constexpr std::size_t small_body = 20000;

// What a strict reader, written apart from the product's, takes for whole requests (RFC 9112); it ends at the first
// thing that it does not know for sure. It may take more than the product does, never less of what the product takes.
class Strict {
 public:
  explicit Strict(std::string_view text_) : text(text_) {
    while (one()) {
    }
  }
  std::vector<Message> whole;

 private:
  static bool letter(char c) {
    return g_ascii_isalnum(c) || (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
  }
  bool line(std::string_view& out) {
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
  bool fields(std::vector<std::pair<std::string, std::string>>& out) {
    std::string_view row;
    while (line(row)) {
      if (row.empty()) return true;
      std::size_t const colon = row.find(':');
      if (colon == std::string_view::npos || colon == 0) return false;
      for (char const c : row.substr(0, colon))
        if (!letter(c)) return false;
      out.emplace_back(std::string(row.substr(0, colon)), std::string(trimmed(row.substr(colon + 1))));
    }
    return false;
  }
  static bool number(std::string_view word, std::uint64_t base, std::uint64_t& out) {
    if (word.empty() || word.size() > 15) return false;
    out = 0;
    for (char const c : word) {
      int const digit = base == 16 ? g_ascii_xdigit_value(c) : g_ascii_digit_value(c);
      if (digit < 0) return false;
      out = out * base + static_cast<std::uint64_t>(digit);
    }
    return true;
  }
  bool take(std::uint64_t size, std::string& out) {
    if (text.size() - at < size) return false;
    out.append(text.substr(at, size));
    at += size;
    return true;
  }
  bool one() {
    std::string_view row;
    do {
      if (!line(row)) return false;
    } while (row.empty());
    std::size_t const a = row.find(' ');
    std::size_t const b = row.rfind(' ');
    if (a == std::string_view::npos || a == b || a == 0) return false;
    std::string_view const method = row.substr(0, a);
    std::string_view const target = row.substr(a + 1, b - a - 1);
    std::string_view const version = row.substr(b + 1);
    for (char const c : method)
      if (!letter(c)) return false;
    if (target.empty() || target.front() != '/' || target.find_first_of(" \t") != std::string_view::npos) return false;
    if (version.size() != 8 || version.substr(0, 7) != "HTTP/1." || !g_ascii_isdigit(version[7])) return false;
    Message out;
    out.line = std::string(method) + " " + std::string(target);
    if (!fields(out.fields)) return false;
    int hosts = 0;
    int lengths = 0;
    int encodings = 0;
    std::uint64_t length = 0;
    for (std::pair<std::string, std::string> const& field : out.fields) {
      if (same_letters(field.first, "Host")) ++hosts;
      if (same_letters(field.first, "Content-Length") && (++lengths > 1 || !number(field.second, 10, length)))
        return false;
      if (same_letters(field.first, "Transfer-Encoding") && (++encodings > 1 || !same_letters(field.second, "chunked")))
        return false;
    }
    if (hosts != 1 || lengths + encodings > 1) return false;
    if (encodings == 0) {
      if (!take(length, out.body)) return false;
    } else {
      for (std::uint64_t size = 1; size > 0;) {
        if (!line(row)) return false;
        std::string_view const word = row.substr(0, row.find(';'));
        std::size_t const end = word.find_last_not_of(" \t");
        if (end == std::string_view::npos || !number(word.substr(0, end + 1), 16, size)) return false;
        if (size == 0) break;
        std::string crlf;
        if (!take(size, out.body) || !take(2, crlf) || crlf != "\r\n") return false;
      }
      std::vector<std::pair<std::string, std::string>> trailers;
      if (!fields(trailers)) return false;
    }
    whole.push_back(std::move(out));
    return true;
  }

  std::string_view const text;
  std::size_t at = 0;
};

// Every request that was read is one that the strict reader takes too, in the same order.
bool fits(std::vector<Message> const& read, std::vector<Message> const& strict) {
  if (read.size() > strict.size()) return false;
  for (std::size_t i = 0; i < read.size(); ++i)
    if (read[i].line != strict[i].line || read[i].fields != strict[i].fields || read[i].body != strict[i].body)
      return false;
  return true;
}

std::string mutated(RandomSource& random, std::vector<std::string> const& seeds) {
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

std::vector<std::string> seeds_of_mutation() {
  std::vector<std::string> out;
  // Good ones as often as bad ones.
  for (int n = 0; n < 12; ++n) out.insert(out.end(), std::begin(good_requests), std::end(good_requests));
  for (Bad const& row : bad_requests())
    if (row.text.size() < 400) out.push_back(row.text);
  return out;
}
}  // namespace

TEST(Reading, refuses_what_another_reader_may_take_otherwise) {
  for (Bad const& row : bad_requests()) {
    std::string_view const text = row.text;
    std::vector<std::vector<std::string_view>> ways = {{text}};
    for (std::size_t const at : {std::size_t(1), text.size() / 2, text.size() - 1})
      ways.push_back({text.substr(0, at), text.substr(at)});
    for (std::vector<std::string_view> const& pieces : ways) {
      Reading const out = read_pieces(true, pieces, false, small_head, small_body);
      EXPECT_TRUE(out.whole.empty()) << row.name << " was read as " << out.whole[0];
      EXPECT_TRUE(out.error != Reader::Error::none || !out.between) << row.name;
      if (!out.whole.empty()) break;
    }
  }
}

TEST(Reading, takes_nothing_that_a_strict_reader_would_not) {
  std::vector<std::string> const seeds = seeds_of_mutation();
  RandomSource random(20);
  std::size_t taken = 0;
  for (int n = 0; n < 30000; ++n) {
    std::string const text = mutated(random, seeds);
    std::vector<Message> const strict = Strict(text).whole;
    std::string_view const view = text;
    std::size_t const a = random.below(text.size() + 1);
    std::size_t const b = a + random.below(text.size() - a + 1);
    Reading const out = read_pieces(true, {view.substr(0, a), view.substr(a, b - a), view.substr(b)});
    taken += out.whole.size();
    ASSERT_TRUE(fits(out.whole, strict)) << "round " << n << "\n"
                                         << text << "\nread as " << out.whole[out.whole.size() - 1];
    // However it is split.
    Reading const whole = read_whole(true, text);
    ASSERT_EQ(whole.whole, out.whole) << "round " << n << "\n" << text;
  }
  EXPECT_GT(taken, 3000u) << "mutations that are still good are read";
}

TEST(Reading, bounds_a_head_to_the_byte_however_it_comes) {
  std::string const front = "GET / HTTP/1.1\r\n" + host + "X-A: ";
  for (std::size_t const over : {std::size_t(0), std::size_t(1), std::size_t(200)}) {
    std::size_t const most = 1000;
    std::string const text = front + std::string(most + over - front.size() - 4, 'a') + "\r\n\r\n";
    for (std::size_t const at : {std::size_t(0), std::size_t(1), std::size_t(500), most - 1, most, most + over - 1}) {
      std::string_view const view = text;
      Reading const out = read_pieces(true, {view.substr(0, at), view.substr(at)}, false, most, 100);
      EXPECT_EQ(out.whole.size(), over == 0 ? 1u : 0u) << over << " over, split at " << at;
      EXPECT_EQ(out.error, over == 0 ? Reader::Error::none : Reader::Error::head_large) << over << " at " << at;
    }
  }
}

// The operator's limit alone bounds a head, not one of the grammar's own.
TEST(Reading, takes_a_head_as_large_as_its_limit) {
  std::string const text = "GET / HTTP/1.1\r\n" + host + "X-A: " + std::string(300000, 'a') + "\r\n\r\n";
  for (std::size_t const at : {std::size_t(0), std::size_t(90000), std::size_t(299999)}) {
    std::string_view const view = text;
    Reading const out = read_pieces(true, {view.substr(0, at), view.substr(at)}, false, text.size(), 100);
    EXPECT_EQ(out.whole.size(), 1u) << "split at " << at;
    EXPECT_EQ(out.error, Reader::Error::none) << "split at " << at;
  }
}

TEST(Reading, bounds_trailers_as_it_bounds_heads) {
  std::string const front = "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
  for (bool const over : {false, true}) {
    std::string text = front;
    for (int n = 0; n < (over ? 11 : 9); ++n) text += "X-T: " + std::string(97, 't') + "\r\n";
    Reading const out = read_pieces(true, {text + "\r\n"}, false, 1000, 100);
    EXPECT_EQ(out.whole.size(), over ? 0u : 1u);
    EXPECT_EQ(out.error, over ? Reader::Error::head_large : Reader::Error::none);
  }
}

TEST(Reading, answers_mutated_in_any_way_do_no_harm) {
  std::vector<std::string> const seeds = {
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nConnection: close\r\n\r\nlater",
      "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
  };
  RandomSource random(21);
  for (int n = 0; n < 10000; ++n) {
    std::string const text = mutated(random, seeds);
    std::size_t const at = random.below(text.size() + 1);
    Reading const split = read_pieces(false, {std::string_view(text).substr(0, at), std::string_view(text).substr(at)});
    ASSERT_EQ(split.whole, read_whole(false, text).whole) << n << "\n" << text;
  }
}

TEST(Reading, a_status_has_three_digits_and_is_one_that_there_is) {
  for (char const* const status : {"2", "20", "0200", "2000", "000", "099", "600", "999", "+20", "2 0"}) {
    std::string const text = "HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 2\r\n\r\nok";
    Reading const out = read_whole(false, text);
    EXPECT_TRUE(out.whole.empty()) << status << " was read as " << out.whole[0];
    EXPECT_EQ(out.error, Reader::Error::bad) << status;
  }
  for (char const* const status : {"100", "200", "599"})
    EXPECT_FALSE(
        read_whole(false, "HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 0\r\n\r\n").whole.empty())
        << status;
  EXPECT_FALSE(read_whole(false, "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n").whole.empty() &&
               read_whole(false, "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n").whole.empty());
}

TEST(Heads, lose_what_concerns_one_connection_only) {
  Head head;
  head.fields = {{"Connection", "X-One , close"},
                 {"x-one", "1"},
                 {"Keep-Alive", "timeout=5"},
                 {"TE", "trailers"},
                 {"Transfer-Encoding", "chunked"},
                 {"content-length", "5"},
                 {"Host", "h"},
                 {"X-Two", "2"}};
  drop_hop_fields(head);
  EXPECT_EQ(head.fields, (std::vector<std::pair<std::string, std::string>>{{"Host", "h"}, {"X-Two", "2"}}));
  head.set("host", "g");
  EXPECT_EQ(head.get("HOST"), "g");
  EXPECT_EQ(head.find("none"), nullptr);
}

namespace {
class Serving : public testing::Test {
 protected:
  Serving()
      : server({[this](Server::Call&& call) { calls.push_back(std::move(call)); },
                [this](std::uint64_t id) { gone.push_back(id); }}) {
    address = listen_on_free_port([this](std::string const& at) { return server.listen(at); });
    Server::Limits limits;
    limits.head_most = small_head;
    limits.body_most = small_body;
    server.limit(limits);
  }
  static Head status(unsigned code) {
    Head out;
    out.status = code;
    return out;
  }
  // Answers all that came and is not answered yet.
  void answer_all(std::string const& body) {
    while (answered < calls.size()) server.answer(calls[answered++].id, status(200), body);
  }
  Micros far_off() { return g_get_monotonic_time() + seconds(3600); }

  std::vector<Server::Call> calls;
  std::vector<std::uint64_t> gone;
  std::size_t answered = 0;
  std::string address;
  Server server;
};
}  // namespace

TEST_F(Serving, takes_calls_one_after_the_other_and_keeps_the_connection) {
  LoopbackStream connection(address);
  for (std::size_t n = 0; n < 3; ++n) {
    connection.send("POST /" + std::to_string(n) + " HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nhello");
    ASSERT_TRUE(until([&] { return calls.size() == n + 1; }));
    EXPECT_EQ(calls[n].body, "hello");
    EXPECT_EQ(calls[n].head.target, "/" + std::to_string(n));
    answer_all("yes");
    ASSERT_TRUE(until([&] { return count_of(connection.received, "yes") == n + 1; }));
  }
  EXPECT_FALSE(connection.closed);
  EXPECT_EQ(server.connections(), 1u);
  EXPECT_EQ(read_whole(false, connection.received).whole.size(), 3u);
}

TEST_F(Serving, gives_calls_on_whole_wherever_they_are_split) {
  std::string const text = good_requests[2];
  for (std::size_t at = 1; at < text.size(); ++at) {
    LoopbackStream connection(address);
    connection.send(std::string_view(text).substr(0, at));
    settle();
    connection.send(std::string_view(text).substr(at));
    ASSERT_TRUE(until([&] { return calls.size() == at; })) << at;
    EXPECT_EQ(calls.back().body, "hello0123456789");
    answer_all("yes");
    ASSERT_TRUE(until([&] { return count_of(connection.received, "yes") == 1; }));
  }
}

TEST_F(Serving, answers_pipelined_calls_in_their_order) {
  LoopbackStream connection(address);
  std::string all;
  for (int n = 0; n < 20; ++n)
    all += "POST /" + std::to_string(n) + " HTTP/1.1\r\n" + host + "Content-Length: 1\r\n\r\nx";
  connection.send(all);
  for (std::size_t n = 0; n < 20; ++n) {
    ASSERT_TRUE(until([&] { return calls.size() == n + 1; }));
    settle();
    ASSERT_EQ(calls.size(), n + 1) << "the next only after the answer";
    EXPECT_EQ(calls[n].head.target, "/" + std::to_string(n));
    answer_all("answer " + std::to_string(n) + ".");
  }
  ASSERT_TRUE(until([&] { return count_of(connection.received, "answer") == 20; }));
  std::vector<Message> const answers = read_whole(false, connection.received).whole;
  ASSERT_EQ(answers.size(), 20u);
  for (std::size_t n = 0; n < 20; ++n) EXPECT_EQ(answers[n].body, "answer " + std::to_string(n) + ".");
}

TEST_F(Serving, sends_heads_without_bodies_to_HEAD) {
  LoopbackStream connection(address);
  connection.send("HEAD /h HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE(until([&] { return calls.size() == 1; }));
  answer_all("twelve bytes");
  connection.send("HEAD /i HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE(until([&] { return calls.size() == 2; }));
  server.begin(calls[1].id, status(200), -1);
  server.write_chunk(calls[1].id, "pieces");
  server.end(calls[1].id);
  ASSERT_TRUE(until(
      [&] { return count_of(connection.received, "HTTP/1.1 200") == 2 && connection.received.ends_with("\r\n\r\n"); }));
  EXPECT_NE(connection.received.find("Content-Length: 12"), std::string::npos);
  EXPECT_EQ(connection.received.find("twelve"), std::string::npos);
  EXPECT_EQ(connection.received.find("pieces"), std::string::npos);
  EXPECT_EQ(read_pieces(false, {connection.received}, true).whole.size(), 2u);
}

TEST_F(Serving, closes_when_the_caller_asks_for_it) {
  for (std::string const& text :
       {"GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n", "GET / HTTP/1.0\r\n" + host + "\r\n"}) {
    LoopbackStream connection(address);
    connection.send(text);
    ASSERT_TRUE(until([&] { return calls.size() > answered; }));
    answer_all("yes");
    ASSERT_TRUE(until([&] { return connection.closed; }));
    EXPECT_EQ(read_whole(false, connection.received).whole.size(), 1u);
    EXPECT_NE(connection.received.find("Connection: close"), std::string::npos);
  }
  EXPECT_EQ(server.connections(), 0u);
}

TEST_F(Serving, a_large_last_answer_arrives_whole) {
  for (bool const pieces : {false, true}) {
    LoopbackStream connection(address);
    connection.link->pause_reading(true);
    connection.send("GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n");
    ASSERT_TRUE(until([&] { return calls.size() > answered; }));
    std::string const body(32u << 20, 'z');
    if (pieces) {
      server.begin(calls[answered].id, status(200), -1);
      server.write_chunk(calls[answered].id, body);
      server.end(calls[answered++].id);
    } else {
      answer_all(body);
    }
    settle();
    connection.link->pause_reading(false);
    ASSERT_TRUE(until([&] { return connection.closed; }));
    std::vector<Message> const answers = read_pieces(false, {connection.received}, false, 65536, 64u << 20).whole;
    ASSERT_EQ(answers.size(), 1u) << connection.received.size() << " bytes came";
    EXPECT_EQ(answers[0].body.size(), body.size());
  }
}

TEST_F(Serving, counts_connections_whose_last_answer_is_still_on_its_way) {
  LoopbackStream connection(address);
  connection.link->pause_reading(true);
  connection.send("GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n");
  ASSERT_TRUE(until([&] { return calls.size() > answered; }));
  answer_all(std::string(32u << 20, 'z'));
  settle();
  EXPECT_EQ(server.calls(), 0u);
  EXPECT_EQ(server.connections(), 1u) << "a process that ends now would cut the answer";
  connection.link->pause_reading(false);
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_EQ(server.connections(), 0u);
}

TEST_F(Serving, pieces_go_as_they_come_and_end_with_the_answer) {
  LoopbackStream connection(address);
  connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE(until([&] { return calls.size() == 1; }));
  server.begin(calls[0].id, status(200), -1);
  for (char const* const part : {"one", "two", "three"}) {
    server.write_chunk(calls[0].id, part);
    ASSERT_TRUE(until([&] { return connection.received.find(part) != std::string::npos; }));
    EXPECT_TRUE(read_whole(false, connection.received).whole.empty());
  }
  server.end(calls[0].id);
  ASSERT_TRUE(until([&] { return read_whole(false, connection.received).whole.size() == 1; }));
  EXPECT_EQ(read_whole(false, connection.received).whole[0].body, "onetwothree");
  EXPECT_FALSE(connection.closed);
}

TEST_F(Serving, what_breaks_off_does_not_look_whole) {
  for (std::int64_t const length : {std::int64_t(-1), std::int64_t(100)}) {
    LoopbackStream connection(address);
    connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
    ASSERT_TRUE(until([&] { return calls.size() > answered; }));
    std::uint64_t const id = calls[answered++].id;
    server.begin(id, status(200), length);
    server.write_chunk(id, "part");
    server.break_off(id);
    ASSERT_TRUE(until([&] { return connection.closed; }));
    EXPECT_NE(connection.received.find("part"), std::string::npos);
    EXPECT_TRUE(read_whole(false, connection.received).whole.empty());
  }
}

TEST_F(Serving, an_answer_that_falls_short_of_its_length_does_not_look_whole) {
  LoopbackStream connection(address);
  connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE(until([&] { return calls.size() == 1; }));
  server.begin(calls[0].id, status(200), 100);
  server.write_chunk(calls[0].id, "part");
  server.end(calls[0].id);
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_TRUE(read_whole(false, connection.received).whole.empty());
}

TEST_F(Serving, answers_that_have_no_body_end_with_their_head) {
  LoopbackStream connection(address);
  std::size_t n = 0;
  for (unsigned const code : {204u, 304u})
    for (std::int64_t const length : {std::int64_t(-1), std::int64_t(0), std::int64_t(9)}) {
      connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
      ASSERT_TRUE(until([&] { return calls.size() == n + 1; }));
      server.begin(calls[n].id, status(code), length);
      server.end(calls[n].id);
      ++n;
      ASSERT_TRUE(until([&] {
        return count_of(connection.received, "HTTP/1.1 ") == n && connection.received.ends_with("\r\n\r\n");
      }));
      settle();
      Reading const answers = read_whole(false, connection.received);
      EXPECT_EQ(answers.error, Reader::Error::none) << code << " " << length;
      EXPECT_EQ(answers.whole.size(), n) << code << " " << length;
      EXPECT_FALSE(connection.closed);
    }
  EXPECT_EQ(connection.received.find("Transfer-Encoding"), std::string::npos);
}

TEST_F(Serving, says_once_when_a_caller_leaves) {
  {
    LoopbackStream connection(address);
    connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
    ASSERT_TRUE(until([&] { return calls.size() == 1; }));
  }
  ASSERT_TRUE(until([&] { return gone.size() == 1; }));
  EXPECT_EQ(gone[0], calls[0].id);
  // What is done for it afterwards goes nowhere.
  server.begin(calls[0].id, status(200), -1);
  server.write_chunk(calls[0].id, "x");
  server.end(calls[0].id);
  server.answer(calls[0].id, status(200), "x");
  server.break_off(calls[0].id);
  EXPECT_EQ(server.connections(), 0u);
  EXPECT_EQ(server.calls(), 0u);
}

TEST_F(Serving, refuses_or_closes_and_never_gives_on_what_is_malformed) {
  for (Bad const& row : bad_requests()) {
    LoopbackStream connection(address);
    connection.send(row.text);
    settle();
    // What is only incomplete is slow, in the end.
    server.close_expired(far_off());
    ASSERT_TRUE(until([&] { return connection.closed; })) << row.name;
    EXPECT_TRUE(calls.empty()) << row.name << " was given on";
    if (!connection.received.empty()) {
      EXPECT_EQ(connection.received.substr(0, 10), "HTTP/1.1 4") << row.name << ": " << connection.received;
    }
    EXPECT_EQ(server.connections(), 0u) << row.name;
    calls.clear();
  }
}

TEST_F(Serving, malformed_bytes_after_a_good_call_do_not_touch_it) {
  for (Bad const& row : bad_requests()) {
    if (row.text.size() > 4000) continue;
    LoopbackStream connection(address);
    connection.send(good_requests[1] + row.text);
    ASSERT_TRUE(until([&] { return calls.size() == 1; })) << row.name;
    EXPECT_EQ(calls[0].body, "hello");
    server.answer(calls[0].id, status(200), "yes");
    settle();
    server.close_expired(far_off());
    ASSERT_TRUE(until([&] { return connection.closed; })) << row.name;
    EXPECT_EQ(calls.size(), 1u) << row.name;
    EXPECT_EQ(connection.received.substr(0, 12), "HTTP/1.1 200") << row.name;
    calls.clear();
  }
}

TEST_F(Serving, mutated_calls_are_given_on_only_if_a_strict_reader_takes_them) {
  std::vector<std::string> const seeds = seeds_of_mutation();
  RandomSource random(22);
  for (int n = 0; n < 2500; ++n) {
    std::string const text = mutated(random, seeds);
    std::vector<Message> const strict = Strict(text).whole;
    LoopbackStream connection(address);
    std::size_t const at = random.below(text.size() + 1);
    connection.send(std::string_view(text).substr(0, at));
    settle();
    connection.send(std::string_view(text).substr(at));
    std::size_t done = 0;
    for (int turns = 0; turns < 10; ++turns) {
      settle();
      while (done < calls.size()) server.answer(calls[done++].id, status(200), "yes");
    }
    server.close_expired(far_off());
    ASSERT_TRUE(until([&] { return connection.closed; })) << n << "\n" << text;
    std::vector<Message> read;
    for (Server::Call const& call : calls)
      read.push_back({call.head.method + " " + call.head.target, call.head.fields, call.body});
    ASSERT_TRUE(fits(read, strict)) << "round " << n << "\n" << text;
    ASSERT_EQ(server.connections(), 0u);
    calls.clear();
  }
}

TEST_F(Serving, slow_callers_are_told_so_and_idle_ones_are_closed) {
  Server::Limits limits;
  limits.head_time = seconds(5);
  limits.body_time = seconds(9);
  limits.idle = seconds(60);
  server.limit(limits);
  LoopbackStream idle(address);
  LoopbackStream heading(address);
  LoopbackStream sending(address);
  LoopbackStream busy(address);
  heading.send("GET / HT");
  sending.send("POST / HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nhel");
  busy.send(good_requests[0]);
  ASSERT_TRUE(until([&] { return calls.size() == 1; }));
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
  EXPECT_FALSE(busy.closed) << "a call that is being answered may take its time";
  answer_all("yes");
  ASSERT_TRUE(until([&] { return !busy.received.empty(); }));
  EXPECT_EQ(calls.size(), 1u);
}

TEST_F(Serving, a_shorter_idle_limit_holds_for_rests_that_begin_under_it) {
  LoopbackStream connection(address);
  connection.send("GET / HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE(until([&] { return calls.size() > answered; }));
  answer_all("ok");
  settle();
  // Its caller may still take it up after four fifths of the limit that it knows.
  Server::Limits shorter;
  shorter.idle = seconds(5);
  server.limit(shorter);
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

TEST_F(Serving, at_the_end_idle_connections_close_and_answers_are_the_last) {
  LoopbackStream idle(address);
  LoopbackStream busy(address);
  busy.send(good_requests[0]);
  ASSERT_TRUE(until([&] { return calls.size() == 1 && server.connections() == 2; }));
  server.closing();
  server.stop_listening();
  server.close_idle();
  ASSERT_TRUE(until([&] { return idle.closed; }));
  answer_all("yes");
  ASSERT_TRUE(until([&] { return busy.closed; }));
  EXPECT_NE(busy.received.find("Connection: close"), std::string::npos);
  EXPECT_NE(busy.received.find("yes"), std::string::npos);
  LoopbackStream late(address);
  EXPECT_TRUE(late.closed);
  EXPECT_EQ(late.end, Link::End::unreached);
}

TEST_F(Serving, an_answer_that_began_before_the_end_takes_its_connection_along) {
  LoopbackStream connection(address);
  connection.send(good_requests[0]);
  ASSERT_TRUE(until([&] { return calls.size() == 1; }));
  std::uint64_t const id = calls[0].id;
  Head head;
  head.status = 200;
  server.begin(id, head, -1);
  server.write_chunk(id, "first");
  ASSERT_TRUE(until([&] { return connection.received.find("first") != std::string::npos; }));
  EXPECT_EQ(connection.received.find("Connection: close"), std::string::npos)
      << "nothing told the caller that it is the last";
  server.closing();
  server.stop_listening();
  server.close_idle();
  server.end(id);
  connection.send(good_requests[0]);
  ASSERT_TRUE(until([&] { return connection.closed || calls.size() > 1; }));
  EXPECT_EQ(calls.size(), 1u) << "a request taken after the doors were shut may not end inside the grace";
  EXPECT_NE(connection.received.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(Serving, a_caller_that_sends_ahead_without_end_is_held) {
  LoopbackStream connection(address);
  connection.send(good_requests[0]);
  ASSERT_TRUE(until([&] { return calls.size() == 1; }));
  connection.send(std::string(64u << 20, 'x'));
  settle();
  EXPECT_GT(connection.link->waiting(), 16u << 20) << "it is not all read into memory";
  answer_all("yes");
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_EQ(calls.size(), 1u);
}

// A socket pair that keeps messages apart refuses a large one and takes the next: as a system does that is short of
// memory for a moment.
TEST(Links, what_could_not_be_written_is_not_left_out) {
  int ends[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends), 0);
  std::shared_ptr<Link> const link = Link::adopt(ends[0]);
  bool shut = false;
  link->listen({nullptr, nullptr, [&shut](Link::End) { shut = true; }, nullptr});
  link->write("front");
  link->write(std::string(8u << 20, 'z'));
  link->write("tail");
  settle();
  char buffer[64];
  EXPECT_EQ(::recv(ends[1], buffer, sizeof buffer, 0), 5);
  EXPECT_LE(::recv(ends[1], buffer, sizeof buffer, 0), 0)
      << "what follows would be read in the place of what is missing";
  EXPECT_TRUE(shut);
  ::close(ends[1]);
}

namespace {
// A worker made of sockets, and what is heard of the connections to it.
class Workerly : public testing::Test {
 protected:
  struct End {
    std::uint64_t id;
    Upstream::End how;
  };
  Workerly()
      : upstream({[this](std::uint64_t id) { left.push_back(id); },
                  [this](std::uint64_t id, Head const& head, bool) {
                    heads.push_back(head);
                    bool const mine = head.find("X-Id") == nullptr || head.get("X-Id") == std::to_string(id);
                    return head.status >= 200 && mine ? Upstream::Owner::asker : Upstream::Owner::other;
                  },
                  [this](std::uint64_t id, std::string_view bytes) { bodies[id].append(bytes); },
                  [this](std::uint64_t id) { done.push_back(id); },
                  [this](std::uint64_t id, Upstream::End how, std::string const&) {
                    ends.push_back({id, how});
                  }},
                 "") {
    address = listen_on_free_port([this](std::string const& at) {
      return door.open(at, [this](std::shared_ptr<Link> link) {
        connections.push_back(std::make_unique<LoopbackStream>(std::move(link)));
      });
    });
  }
  static std::string request(std::string const& method = "POST") {
    return method + " / HTTP/1.1\r\n" + host + (method == "POST" ? "Content-Length: 2\r\n\r\nhi" : "\r\n");
  }
  // Starts a request and waits until the worker has it; the connection that it came on.
  LoopbackStream& start(std::uint64_t id, std::string const& method = "POST") {
    std::size_t seen = 0;
    for (std::unique_ptr<LoopbackStream> const& connection : connections)
      seen += count_of(connection->received, "HTTP/1.1\r\n");
    upstream.start(id, "w", address, request(method), seconds(10));
    LoopbackStream* found = nullptr;
    EXPECT_TRUE(until([&] {
      std::size_t now = 0;
      for (std::unique_ptr<LoopbackStream> const& connection : connections)
        now += count_of(connection->received, "HTTP/1.1\r\n");
      return now > seen;
    }));
    for (std::unique_ptr<LoopbackStream> const& connection : connections)
      if (!connection->closed && !connection->received.empty()) found = connection.get();
    if (found == nullptr) throw std::runtime_error("the request did not arrive");
    return *found;
  }
  bool over() {
    return until([this] { return done.size() + ends.size() > 0; });
  }
  void forget() {
    left.clear();
    heads.clear();
    bodies.clear();
    done.clear();
    ends.clear();
  }

  std::vector<std::uint64_t> left;
  std::vector<Head> heads;
  std::map<std::uint64_t, std::string> bodies;
  std::vector<std::uint64_t> done;
  std::vector<End> ends;
  std::vector<std::unique_ptr<LoopbackStream>> connections;
  std::string address;
  Door door;
  Upstream upstream;
};
std::string const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
}  // namespace

TEST_F(Workerly, answers_arrive_wherever_they_are_split_and_the_connection_is_kept) {
  std::string const text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  for (std::size_t at = 1; at < text.size(); ++at) {
    LoopbackStream& connection = start(at);
    EXPECT_EQ(left, std::vector<std::uint64_t>{at});
    connection.send(std::string_view(text).substr(0, at));
    settle();
    EXPECT_TRUE(done.empty());
    connection.send(std::string_view(text).substr(at));
    ASSERT_TRUE(over());
    EXPECT_EQ(done, std::vector<std::uint64_t>{at});
    EXPECT_EQ(bodies[at], "abcde");
    forget();
  }
  EXPECT_EQ(upstream.dialled, 1u);
  EXPECT_EQ(upstream.reused, text.size() - 2);
  EXPECT_EQ(upstream.kept("w"), 1u);
}

TEST_F(Workerly, an_answer_to_HEAD_has_no_body) {
  LoopbackStream& connection = start(1, "HEAD");
  connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");
  settle();
  ASSERT_EQ(done.size(), 1u);
  EXPECT_EQ(upstream.kept("w"), 1u);
  start(2).send(ok);
  forget();
  ASSERT_TRUE(over());
  EXPECT_EQ(done, std::vector<std::uint64_t>{2});
  EXPECT_EQ(bodies[2], "ok");
}

TEST_F(Workerly, surplus_bytes_end_the_connection_not_the_answer) {
  start(1).send(ok + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen");
  ASSERT_TRUE(over());
  EXPECT_EQ(done, std::vector<std::uint64_t>{1});
  EXPECT_EQ(bodies[1], "ok");
  EXPECT_EQ(upstream.kept("w"), 0u);
  EXPECT_EQ(upstream.connections(), 0u);
}

TEST_F(Workerly, bytes_that_come_on_a_kept_connection_end_it) {
  LoopbackStream& connection = start(1);
  connection.send(ok);
  ASSERT_TRUE(over());
  EXPECT_EQ(upstream.kept("w"), 1u);
  connection.send("HTTP/1.1 200 OK\r\n");
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_EQ(upstream.kept("w"), 0u);
  forget();
  start(2).send(ok);
  ASSERT_TRUE(over());
  EXPECT_EQ(done, std::vector<std::uint64_t>{2});
  EXPECT_EQ(upstream.dialled, 2u);
}

TEST_F(Workerly, an_answer_to_somebody_else_is_passed_over) {
  std::string const strange = "HTTP/1.1 200 OK\r\nX-Id: 77\r\nContent-Length: 6\r\n\r\nstolen";
  for (bool const together : {true, false}) {
    forget();
    LoopbackStream& connection = start(1);
    std::string const mine = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";
    if (together) {
      connection.send(strange + mine);
    } else {
      connection.send(strange);
      settle();
      EXPECT_TRUE(done.empty() && ends.empty());
      connection.send(mine);
    }
    ASSERT_TRUE(over());
    EXPECT_EQ(done, std::vector<std::uint64_t>{1});
    EXPECT_EQ(bodies[1], "ok");
  }
  forget();
  // Only so many, and none that is the last of its connection.
  LoopbackStream& connection = start(2);
  for (int i = 0; i < 10; ++i) connection.send(strange);
  ASSERT_TRUE(over());
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].how, Upstream::End::broke);
  EXPECT_EQ(bodies.count(2), 0u);
  forget();
  start(3).send("HTTP/1.1 200 OK\r\nX-Id: 77\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
  ASSERT_TRUE(over());
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].how, Upstream::End::broke);
}

TEST_F(Workerly, an_answer_before_the_request_was_whole_ends_its_connection) {
  std::string const body(32u << 20, 'z');
  upstream.start(1, "w", address,
                 "POST / HTTP/1.1\r\n" + host + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                 seconds(10));
  ASSERT_TRUE(until([&] { return !connections.empty(); }));
  connections[0]->link->pause_reading(true);
  connections[0]->send(ok);
  ASSERT_TRUE(over());
  EXPECT_EQ(done, std::vector<std::uint64_t>{1});
  EXPECT_EQ(upstream.kept("w"), 0u) << "the next request would come behind the rest of this one";
}

TEST_F(Workerly, interim_answers_are_passed_over) {
  start(1).send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok);
  ASSERT_TRUE(over());
  EXPECT_EQ(done, std::vector<std::uint64_t>{1});
  EXPECT_EQ(bodies[1], "ok");
}

TEST_F(Workerly, a_connection_that_ends_early_tells_how_far_it_came) {
  struct Row {
    char const* name;
    std::string text;
    Upstream::End how;
  };
  Row const rows[] = {
      {"at once", "", Upstream::End::broke},
      {"in the head", "HTTP/1.1 200 OK\r\nConte", Upstream::End::broke},
      {"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n", Upstream::End::broke},
      {"in a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", Upstream::End::torn},
      {"before a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", Upstream::End::torn},
      {"in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", Upstream::End::torn},
      {"between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", Upstream::End::torn},
      {"before the last mark", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
       Upstream::End::torn},
      {"in somebody else's", "HTTP/1.1 200 OK\r\nX-Id: 77\r\nContent-Length: 9\r\n\r\nabc", Upstream::End::broke},
  };
  for (bool const reset : {false, true})
    for (Row const& row : rows) {
      forget();
      LoopbackStream& connection = start(1);
      connection.send(row.text);
      settle();
      connection.link->close(reset);
      connection.closed = true;
      ASSERT_TRUE(over()) << row.name;
      ASSERT_EQ(ends.size(), 1u) << row.name;
      EXPECT_EQ(ends[0].how, row.how) << row.name;
      EXPECT_TRUE(done.empty());
      EXPECT_EQ(upstream.connections(), 0u);
    }
}

TEST_F(Workerly, an_answer_without_length_ends_with_its_connection_unless_that_is_reset) {
  for (bool const reset : {false, true}) {
    forget();
    LoopbackStream& connection = start(1);
    connection.send("HTTP/1.1 200 OK\r\n\r\nabc");
    ASSERT_TRUE(until([&] { return bodies[1] == "abc"; }));
    connection.link->close(reset);
    connection.closed = true;
    ASSERT_TRUE(over());
    EXPECT_EQ(done.size(), reset ? 0u : 1u);
    EXPECT_EQ(ends.size(), reset ? 1u : 0u);
    EXPECT_EQ(upstream.kept("w"), 0u);
  }
}

TEST_F(Workerly, what_is_no_answer_breaks_the_request) {
  for (std::string const text : {"nonsense\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"}) {
    forget();
    start(1).send(text);
    ASSERT_TRUE(over()) << text;
    ASSERT_EQ(ends.size(), 1u) << text;
    EXPECT_EQ(ends[0].how, Upstream::End::broke);
  }
  forget();
  start(1).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
  ASSERT_TRUE(over());
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].how, Upstream::End::torn);
}

TEST_F(Workerly, a_kept_connection_that_the_worker_closed_is_not_used_again) {
  for (bool const reset : {false, true}) {
    forget();
    LoopbackStream& connection = start(1);
    connection.send(ok);
    ASSERT_TRUE(over());
    EXPECT_EQ(upstream.kept("w"), 1u);
    connection.link->close(reset);
    connection.closed = true;
    ASSERT_TRUE(until([&] { return upstream.kept("w") == 0; }));
    forget();
    LoopbackStream& next = start(2);
    next.send(ok);
    ASSERT_TRUE(over());
    EXPECT_EQ(done, std::vector<std::uint64_t>{2});
    EXPECT_TRUE(ends.empty());
    next.link->close();
    next.closed = true;
    ASSERT_TRUE(until([&] { return upstream.kept("w") == 0; }));
  }
  EXPECT_EQ(upstream.reused, 0u);
}

TEST_F(Workerly, a_kept_connection_is_looked_at_before_it_is_used) {
  // What the worker did to it has reached this machine, but the loop has not turned since.
  for (int way = 0; way < 3; ++way) {
    forget();
    LoopbackStream& connection = start(1);
    connection.send(ok);
    ASSERT_TRUE(over());
    ASSERT_EQ(upstream.kept("w"), 1u);
    std::uint64_t const dialled = upstream.dialled;
    forget();
    if (way == 0) {
      connection.link->close();
    } else if (way == 1) {
      connection.link->close(true);
    } else {
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen");
    }
    connection.closed = true;
    LoopbackStream& next = start(2);
    EXPECT_EQ(upstream.dialled, dialled + 1);
    next.send(ok);
    ASSERT_TRUE(over());
    EXPECT_EQ(done, std::vector<std::uint64_t>{2});
    EXPECT_EQ(left, std::vector<std::uint64_t>{2});
    EXPECT_EQ(bodies[2], "ok");
    next.link->close();
    next.closed = true;
    ASSERT_TRUE(until([&] { return upstream.kept("w") == 0; }));
  }
}

TEST_F(Workerly, a_worker_that_cannot_be_reached_got_nothing) {
  for (std::string const& bad : {free_address(), std::string("nonsense"), std::string("127.0.0.1:0")}) {
    forget();
    upstream.start(1, "w", bad, request(), seconds(10));
    ASSERT_TRUE(over()) << bad;
    ASSERT_EQ(ends.size(), 1u);
    EXPECT_EQ(ends[0].how, Upstream::End::unreached);
    EXPECT_TRUE(left.empty()) << "no byte can have left";
    EXPECT_EQ(upstream.connections(), 0u);
  }
}

TEST_F(Workerly, keep_alive_times_are_heeded) {
  struct Row {
    char const* fields;
    Micros least;  // it is still kept then; -1: not at all
    Micros most;   // and then no more
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
    forget();
    start(1).send("HTTP/1.1 200 OK\r\n" + std::string(row.fields) + "Content-Length: 2\r\n\r\nok");
    ASSERT_TRUE(over()) << row.fields;
    Micros const now = g_get_monotonic_time();
    EXPECT_EQ(upstream.kept("w"), row.least >= 0 ? 1u : 0u) << row.fields;
    if (row.least < 0) continue;
    upstream.close_expired(now + row.least);
    EXPECT_EQ(upstream.kept("w"), 1u) << row.fields;
    upstream.close_expired(now + row.most);
    EXPECT_EQ(upstream.kept("w"), 0u) << row.fields;
    settle();
  }
}

TEST_F(Workerly, connections_belong_to_a_name_and_an_address) {
  start(1).send(ok);
  ASSERT_TRUE(over());
  forget();
  upstream.start(2, "v", address, request(), seconds(10));
  ASSERT_TRUE(until([&] { return left.size() == 1; }));
  EXPECT_EQ(upstream.reused, 0u) << "somebody else may live there now";
  upstream.cut(2);
  EXPECT_EQ(upstream.kept("w"), 1u);
  upstream.forget("w");
  EXPECT_EQ(upstream.connections(), 0u);
  upstream.forget("nobody");
}

TEST_F(Workerly, what_was_cut_is_heard_of_no_more) {
  LoopbackStream& connection = start(1);
  connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  ASSERT_TRUE(until([&] { return bodies[1] == "abc"; }));
  upstream.cut(1);
  upstream.cut(1);
  connection.send("defghi");
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_TRUE(done.empty());
  EXPECT_TRUE(ends.empty());
  EXPECT_EQ(bodies[1], "abc");
  EXPECT_EQ(upstream.open(), 0u);
}

// What the system still holds of a request that was cut must not reach its worker later.
TEST_F(Workerly, a_cut_resets_the_connection) {
  LoopbackStream& connection = start(1);
  upstream.cut(1);
  ASSERT_TRUE(until([&] { return connection.closed; }));
  EXPECT_EQ(connection.end, Link::End::reset);
}

// The worker may have said all that there is to say before it ended the connection with bytes unread.
TEST_F(Workerly, what_came_before_a_reset_is_heard_although_the_request_was_not_taken) {
  std::string const body(32u << 20, 'z');
  std::string const text =
      "POST / HTTP/1.1\r\n" + host + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  for (bool const length : {true, false}) {
    forget();
    connections.clear();
    upstream.start(1, "w", address, text, seconds(10));
    ASSERT_TRUE(until([&] { return !connections.empty(); }));
    connections[0]->link->pause_reading(true);
    connections[0]->send(length ? ok : "HTTP/1.1 200 OK\r\n\r\nok");
    connections[0]->link->close();
    connections[0]->closed = true;
    ASSERT_TRUE(over());
    EXPECT_EQ(done.size(), length ? 1u : 0u) << "without a length only an orderly end makes it whole";
    EXPECT_EQ(bodies[1], "ok");
    EXPECT_EQ(upstream.connections(), 0u);
  }
}

TEST_F(Workerly, mutated_answers_end_each_request_once_and_do_no_harm) {
  std::vector<std::string> const seeds = {ok,
                                          ok + ok,
                                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                                          "HTTP/1.1 200 OK\r\nX-Id: 77\r\nContent-Length: 1\r\n\r\nx" + ok,
                                          "HTTP/1.1 100 Continue\r\n\r\n" + ok,
                                          "HTTP/1.1 204 No\r\nKeep-Alive: timeout=9\r\n\r\n",
                                          "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"};
  RandomSource random(23);
  for (std::uint64_t id = 1; id <= 1500; ++id) {
    forget();
    LoopbackStream& connection = start(id);
    std::string const text = mutated(random, seeds);
    std::size_t const at = random.below(text.size() + 1);
    connection.send(std::string_view(text).substr(0, at));
    settle();
    connection.send(std::string_view(text).substr(at));
    settle();
    if (!connection.closed) connection.link->close(random.chance(0.5));
    connection.closed = true;
    ASSERT_TRUE(over()) << id << "\n" << text;
    settle();
    ASSERT_EQ(done.size() + ends.size(), 1u) << id << "\n" << text;
    ASSERT_EQ(upstream.open(), 0u);
    ASSERT_EQ(left.size(), 1u);
    upstream.forget("w");
    settle();
    connections.clear();
  }
}

}  // namespace pipit
