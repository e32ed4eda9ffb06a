#include "config/rules/lexer.h"

#include "config/rules/rules.h"

namespace pipit {

namespace {

constexpr std::int64_t max_number = 1000000000000;
constexpr std::string_view symbols[] = {";", "(", ")", "=", "!=", "<", "<=", ">", ">="};

bool is_alphabetic(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_space(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }

class Lexer {
 public:
  explicit Lexer(std::string_view text) : text_(text) {}

  Result<std::vector<Token>> run() {
    std::vector<Token> tokens;
    while (skip_spaces()) {
      Token token;
      token.offset = position_;
      Result<void> const done = read(token);
      if (!done) return done.as_failure();
      tokens.push_back(std::move(token));
    }
    Token end;
    end.offset = text_.size();
    tokens.push_back(end);
    return tokens;
  }

 private:
  bool more() const { return position_ < text_.size(); }

  // Returns whether any text follows the spaces.
  bool skip_spaces() {
    while (more() && is_space(text_[position_])) ++position_;
    return more();
  }

  Result<void> read(Token& token) {
    char const first = text_[position_];
    if (is_alphabetic(first)) return read_identifier(token);
    if (is_digit(first)) return read_number(token);
    if (first == '"') return read_text(token);
    return read_symbol(token);
  }

  Result<void> read_identifier(Token& token) {
    token.kind = TokenKind::identifier;
    while (more() && (is_alphabetic(text_[position_]) || is_digit(text_[position_]) || text_[position_] == '-'))
      token.text += text_[position_++];
    return boost::outcome_v2::success();
  }

  Result<void> read_number(Token& token) {
    token.kind = TokenKind::number;
    while (more() && is_digit(text_[position_])) {
      if (token.number > max_number) return error("the number is too large", token);
      token.number = token.number * 10 + (text_[position_++] - '0');
    }
    while (more() && (is_alphabetic(text_[position_]) || text_[position_] == '%')) token.unit += text_[position_++];
    return boost::outcome_v2::success();
  }

  Result<void> read_text(Token& token) {
    token.kind = TokenKind::text;
    ++position_;
    while (more() && text_[position_] != '"') token.text += text_[position_++];
    if (!more()) return error("the quoted text has no closing quote", token);
    ++position_;
    return boost::outcome_v2::success();
  }

  Result<void> read_symbol(Token& token) {
    token.kind = TokenKind::symbol;
    char const first = text_[position_++];
    token.text = first;
    bool const may_have_two_characters = first == '<' || first == '>' || first == '!';
    if (may_have_two_characters && more() && text_[position_] == '=') token.text += text_[position_++];
    for (std::string_view const symbol : symbols)
      if (symbol == token.text) return boost::outcome_v2::success();
    return error("'" + token.text + "' is not a symbol of the language", token);
  }

  Result<void> error(std::string message, Token const& token) const {
    return fail(ErrorCode::bad_language, std::move(message), line_and_column(text_, token.offset));
  }

  std::string_view const text_;
  std::size_t position_ = 0;
};

}  // namespace

std::string line_and_column(std::string_view text, std::size_t offset) {
  std::size_t line = 1;
  std::size_t column = 1;
  for (std::size_t i = 0; i < offset && i < text.size(); ++i) {
    if (text[i] == '\n') {
      ++line;
      column = 1;
    } else {
      ++column;
    }
  }
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

Result<std::vector<Token>> tokenize(std::string_view text) { return Lexer(text).run(); }

}  // namespace pipit
