// Splits a text of the rule language into words, numbers, quoted texts and symbols (§5.2).
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace pipit {

enum class TokenKind : std::uint8_t { identifier, number, text, symbol, end };

struct Token {
  TokenKind kind = TokenKind::end;
  std::string text;         // the word, the symbol, or what stands between the quotes
  std::int64_t number = 0;  // a number's value, without its unit
  std::string unit;         // what stands right behind a number: s, ms, %, k
  std::size_t offset = 0;   // of its first byte in the text
};

// All tokens of the text, with one of the kind `end` last; an error names the place of what is not understood.
Result<std::vector<Token>> tokenize(std::string_view text);

}  // namespace pipit
