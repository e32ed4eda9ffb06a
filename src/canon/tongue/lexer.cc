#include "canon/tongue/lexer.h"

#include "canon/tongue/tongue.h"

namespace pipit {

namespace {
bool letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool digit(char c) { return c >= '0' && c <= '9'; }
}  // namespace

std::string place_of(std::string_view text, std::size_t spot) {
  std::size_t line = 1;
  std::size_t column = 1;
  for (std::size_t i = 0; i < spot && i < text.size(); ++i) {
    if (text[i] == '\n') {
      ++line;
      column = 1;
    } else {
      ++column;
    }
  }
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

Result<std::vector<Token>> lex(std::string_view text) {
  std::vector<Token> out;
  std::size_t at = 0;
  while (at < text.size()) {
    char const c = text[at];
    if (c == ' ' || c == '\t' || c == '\n' || c == '\r') {
      ++at;
      continue;
    }
    Token token;
    token.spot = at;
    if (letter(c)) {
      token.sort = Sort::word;
      while (at < text.size() && (letter(text[at]) || digit(text[at]) || text[at] == '-')) token.text += text[at++];
    } else if (digit(c)) {
      token.sort = Sort::number;
      while (at < text.size() && digit(text[at])) {
        if (token.number > 1000000000000)
          return fail(Kind::bad_language, "the number is too large", place_of(text, token.spot));
        token.number = token.number * 10 + (text[at++] - '0');
      }
      while (at < text.size() && (letter(text[at]) || text[at] == '%')) token.unit += text[at++];
    } else if (c == '"') {
      token.sort = Sort::text;
      ++at;
      while (at < text.size() && text[at] != '"') token.text += text[at++];
      if (at >= text.size()) return fail(Kind::bad_language, "the quoted text has no end", place_of(text, token.spot));
      ++at;
    } else {
      token.sort = Sort::sign;
      token.text = c;
      ++at;
      if ((c == '<' || c == '>' || c == '!') && at < text.size() && text[at] == '=') token.text += text[at++];
      static std::string_view const signs[] = {";", "(", ")", "=", "!=", "<", "<=", ">", ">="};
      bool known = false;
      for (std::string_view const sign : signs) known = known || sign == token.text;
      if (!known)
        return fail(Kind::bad_language, "'" + token.text + "' has no meaning here", place_of(text, token.spot));
    }
    out.push_back(std::move(token));
  }
  Token end;
  end.spot = text.size();
  out.push_back(end);
  return out;
}

}  // namespace pipit
