// Words, numbers, strings and signs of the small language (§5.2).
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "ground/kinds.h"

namespace pipit {

enum class Sort : std::uint8_t { word, number, text, sign, end };
struct Token {
  Sort sort = Sort::end;
  std::string text;  // the word, the sign, or what stands between the quotes
  std::int64_t number = 0;
  std::string unit;  // what stands right behind a number: s, ms, %, k
  std::size_t spot = 0;
};

Result<std::vector<Token>> lex(std::string_view text);

}  // namespace pipit
