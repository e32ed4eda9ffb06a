// Compiles bindings and policies (§5.2).
#include <set>

#include "config/rules/parser.h"

namespace pipit {

namespace {

constexpr std::int64_t max_time_s = 3600;
constexpr std::int64_t max_urgency = 9;
constexpr std::int64_t max_backlog_limit = 100000;
constexpr std::int64_t max_attempts_limit = 5;

Result<void> failure(Error error) { return boost::outcome_v2::failure(std::move(error)); }

// Reads a number with a unit as a duration. Returns false unless it is above 0 and at most an hour.
bool read_time(Token const& token, Micros& out) {
  if (token.kind != TokenKind::number) return false;
  if (token.unit == "ms")
    out = millis(token.number);
  else if (token.unit == "s")
    out = seconds(token.number);
  else if (token.unit == "m")
    out = seconds(token.number * 60);
  else
    return false;
  return out > 0 && out <= seconds(max_time_s);
}

bool read_number(Token const& token, std::int64_t min, std::int64_t max, std::int64_t& out) {
  if (token.kind != TokenKind::number || !token.unit.empty()) return false;
  if (token.number < min || token.number > max) return false;
  out = token.number;
  return true;
}

bool read_repeat(Token const& token, bool& repeatable) {
  if (token.kind != TokenKind::identifier || (token.text != "never" && token.text != "safe")) return false;
  repeatable = token.text == "safe";
  return true;
}

bool read_locality(Token const& token, Locality& out) {
  if (token.kind != TokenKind::identifier) return false;
  if (token.text == "prefer")
    out = Locality::prefer;
  else if (token.text == "only")
    out = Locality::only;
  else if (token.text == "any")
    out = Locality::any;
  else
    return false;
  return true;
}

char const* check(bool good, char const* expected) { return good ? "" : expected; }

// Reads the value of one setting of a policy. Returns an empty text if the value is valid, a text that describes the
// valid values if it is not, and null if there is no such setting.
char const* read_policy_setting(std::string const& name, Token const& value, Policy& out) {
  static char const* const takes_time = "takes a time such as 800ms or 2s, up to 60m";
  if (name == "wait") return check(read_time(value, out.queue_timeout), takes_time);
  if (name == "answer") return check(read_time(value, out.first_byte_timeout), takes_time);
  if (name == "stall") return check(read_time(value, out.stall_timeout), takes_time);
  if (name == "urgency") return check(read_number(value, 0, max_urgency, out.urgency), "takes a number from 0 to 9");
  if (name == "backlog")
    return check(read_number(value, 0, max_backlog_limit, out.max_backlog), "takes a number up to 100000");
  if (name == "tries")
    return check(read_number(value, 1, max_attempts_limit, out.max_attempts), "takes a number from 1 to 5");
  if (name == "repeat") return check(read_repeat(value, out.repeatable), "takes never or safe");
  if (name == "locality") return check(read_locality(value, out.locality), "takes prefer, only or any");
  return nullptr;
}

Result<void> parse_match(Parser& parser, std::size_t offset, Condition& match) {
  Error error;
  if (!parser.parse_condition(match, error)) return failure(error);
  if (match.reads_load())
    return failure(parser.error_at(offset, "'demand' is allowed in a pool's 'when' only, not in 'match'"));
  return boost::outcome_v2::success();
}

Result<void> parse_choice(Parser& parser, std::vector<Binding::Choice>& pools) {
  if (parser.peek().kind != TokenKind::identifier) return failure(parser.error_here("a pool's name is expected"));
  Binding::Choice choice;
  choice.offset = parser.peek().offset;
  choice.pool = parser.take().text;
  for (Binding::Choice const& earlier : pools)
    if (earlier.pool == choice.pool)
      return failure(parser.error_at(choice.offset, "the pool '" + choice.pool + "' is listed twice"));
  Error error;
  if (parser.take_keyword("when") && !parser.parse_condition(choice.when, error)) return failure(error);
  pools.push_back(std::move(choice));
  return boost::outcome_v2::success();
}

// Reads the end of a clause: a ';' or the end of the text.
Result<void> end_clause(Parser& parser) {
  if (parser.at_end() || parser.take_symbol(";")) return boost::outcome_v2::success();
  return failure(parser.error_here("a ';' is expected"));
}

}  // namespace

Result<Binding> compile_binding(std::string_view text) {
  Result<std::vector<Token>> tokens = tokenize(text);
  if (!tokens) return tokens.as_failure();
  Parser parser(text, std::move(tokens.value()));
  Binding out;
  bool matched = false;
  while (!parser.at_end()) {
    std::size_t const offset = parser.peek().offset;
    Result<void> clause = boost::outcome_v2::success();
    if (parser.take_keyword("match")) {
      if (matched) return boost::outcome_v2::failure(parser.error_at(offset, "'match' is given twice"));
      matched = true;
      clause = parse_match(parser, offset, out.match);
    } else if (parser.take_keyword("pool")) {
      clause = parse_choice(parser, out.pools);
    } else {
      clause = failure(parser.error_here("'match' or 'pool' is expected"));
    }
    if (clause) clause = end_clause(parser);
    if (!clause) return clause.as_failure();
  }
  if (!matched) return boost::outcome_v2::failure(parser.error_at(0, "the binding has no 'match'"));
  if (out.pools.empty()) return boost::outcome_v2::failure(parser.error_at(0, "the binding names no pool"));
  return out;
}

Result<Policy> compile_policy(std::string_view text) {
  Result<std::vector<Token>> tokens = tokenize(text);
  if (!tokens) return tokens.as_failure();
  Parser parser(text, std::move(tokens.value()));
  Policy out;
  std::set<std::string> seen;
  while (!parser.at_end()) {
    if (parser.peek().kind != TokenKind::identifier)
      return boost::outcome_v2::failure(parser.error_here("the name of a policy setting is expected"));
    Token const name = parser.take();
    if (!seen.insert(name.text).second)
      return boost::outcome_v2::failure(parser.error_at(name.offset, "'" + name.text + "' is given twice"));
    Token const value = parser.take();
    char const* const expected = read_policy_setting(name.text, value, out);
    if (expected == nullptr)
      return boost::outcome_v2::failure(parser.error_at(name.offset, "there is no policy setting '" + name.text + "'"));
    if (*expected != '\0')
      return boost::outcome_v2::failure(parser.error_at(value.offset, "'" + name.text + "' " + expected));
    Result<void> const ended = end_clause(parser);
    if (!ended) return ended.as_failure();
  }
  return out;
}

}  // namespace pipit
