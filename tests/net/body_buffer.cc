// Bodies that are collected while they are received.
#include "net/body_buffer.h"

#include <gtest/gtest.h>

namespace pipit {

namespace {
std::string counted_bytes(std::size_t length) {
  std::string out;
  for (std::size_t i = 0; i < length; ++i) out += static_cast<char>(i * 31 % 251);
  return out;
}
}  // namespace

TEST(BodyBuffer, returns_what_was_appended_in_any_pieces) {
  for (std::size_t const length : {0u, 1u, 100u, 16383u, 16384u, 16385u, 100000u}) {
    std::string const body = counted_bytes(length);
    for (std::size_t const piece : {1u, 7u, 16384u, 65536u}) {
      for (std::int64_t const expected : {std::int64_t{-1}, static_cast<std::int64_t>(length), std::int64_t{5}}) {
        BodyBuffer buffer;
        buffer.expect(expected);
        for (std::size_t at = 0; at < length; at += piece) buffer.append(std::string_view(body).substr(at, piece));
        ASSERT_GE(buffer.held_bytes(), length);
        ASSERT_EQ(buffer.take(), body) << length << " bytes in pieces of " << piece;
        ASSERT_EQ(buffer.held_bytes(), 0u);
      }
    }
  }
}

TEST(BodyBuffer, holds_little_more_than_the_body) {
  BodyBuffer small;
  small.expect(100);
  small.append(counted_bytes(100));
  EXPECT_LE(small.held_bytes(), 128u);
  BodyBuffer large;
  large.expect(std::int64_t{1} << 30);
  large.append(counted_bytes(100000));
  EXPECT_LE(large.held_bytes(), 100000u + (16u << 10));
}

}  // namespace pipit
