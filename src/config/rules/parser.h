// A token cursor for rules, and the parser of conditions (§5.2).
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "config/rules/condition_fields.h"
#include "config/rules/lexer.h"
#include "config/rules/rules.h"

namespace pipit {

// Reads the tokens of one text in order. A parser lives only while that text is compiled.
class Parser {
 public:
  // `tokens` are those of `text`, which must outlive the parser.
  Parser(std::string_view text, std::vector<Token> tokens) : text_(text), tokens_(std::move(tokens)) {}

  // Returns the current token.
  Token const& peek() const { return tokens_[position_]; }
  // Returns the current token and advances, but not beyond the `end` token.
  Token const& take() { return tokens_[position_ + 1 < tokens_.size() ? position_++ : position_]; }
  bool at_end() const { return peek().kind == TokenKind::end; }
  // Advances and returns true if the current token is this keyword or symbol.
  bool take_keyword(std::string_view name) { return take_if(TokenKind::identifier, name); }
  bool take_symbol(std::string_view name) { return take_if(TokenKind::symbol, name); }

  // Returns an error at the current token, or at a byte offset.
  Error error_here(std::string message) const { return error_at(peek().offset, std::move(message)); }
  Error error_at(std::size_t offset, std::string message) const {
    return Error{ErrorCode::bad_language, std::move(message), line_and_column(text_, offset)};
  }

  // Parses a condition and appends its instructions to `out`; `error` is set when it returns false.
  //   CONDITION = AND {"or" AND};  AND = NOT {"and" NOT};  NOT = "not" NOT | "(" CONDITION ")" | TEST
  bool parse_condition(Condition& out, Error& error, int depth = 0);

 private:
  bool take_if(TokenKind kind, std::string_view name);
  bool parse_and(Condition& out, Error& error, int depth);
  bool parse_not(Condition& out, Error& error, int depth);
  bool parse_test(Condition& out, Error& error);
  bool parse_text_test(Condition::Instruction& out, Error& error);
  bool parse_number_test(Condition::Instruction& out, Error& error);
  bool parse_number(Condition::Instruction& out, Error& error);

  std::string_view const text_;
  std::vector<Token> const tokens_;
  std::size_t position_ = 0;
};

}  // namespace pipit
