// The lexer of the rule language: identifiers, numbers, quoted texts and symbols (§5.2).
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace pipit {

// The kind of a token; `end` marks the end of the text.
enum class TokenKind : std::uint8_t { identifier, number, text, symbol, end };

// A token of the rule language.
struct Token {
  TokenKind kind = TokenKind::end;
  std::string text;         // the identifier, the symbol, or the quoted text without its quotes
  std::int64_t number = 0;  // value of a number, without its unit
  std::string unit;         // unit that follows a number: s, ms, %, k
  std::size_t offset = 0;   // byte offset in the text
};

// Returns all tokens of the text, followed by one of kind `end`. An error contains the location of the invalid token.
Result<std::vector<Token>> tokenize(std::string_view text);

}  // namespace pipit
