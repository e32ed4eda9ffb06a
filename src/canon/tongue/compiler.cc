#include <set>

#include "canon/tongue/lexer.h"
#include "canon/tongue/tongue.h"

namespace pipit {

namespace {

// FIELD(name, sort): the closed list of what a condition can name.
#define PIPIT_FIELDS(FIELD) \
  FIELD(model, text)        \
  FIELD(user, text)         \
  FIELD(zone, text)         \
  FIELD(size, number)       \
  FIELD(output, number)     \
  FIELD(demand, number)     \
  FIELD(stream, truth)

enum class Field : std::uint8_t {
#define FIELD(name, sort) name,
  PIPIT_FIELDS(FIELD)
#undef FIELD
};
enum class FieldSort : std::uint8_t { text, number, truth };
struct FieldRow {
  std::string_view name;
  FieldSort sort;
};
constexpr FieldRow fields[] = {
#define FIELD(name, sort) {#name, FieldSort::sort},
    PIPIT_FIELDS(FIELD)
#undef FIELD
};

class Parser {
 public:
  Parser(std::string_view text_, std::vector<Token> tokens_) : text(text_), tokens(std::move(tokens_)) {}

  Token const& here() const { return tokens[at]; }
  Token const& take() { return tokens[at + 1 < tokens.size() ? at++ : at]; }
  bool word(std::string_view name) {
    if (here().sort != Sort::word || here().text != name) return false;
    take();
    return true;
  }
  bool sign(std::string_view name) {
    if (here().sort != Sort::sign || here().text != name) return false;
    take();
    return true;
  }
  bool over() const { return here().sort == Sort::end; }
  Fault wrong(std::string why) const { return wrong_at(here().spot, std::move(why)); }
  Fault wrong_at(std::size_t spot, std::string why) const {
    return Fault{Kind::bad_language, std::move(why), place_of(text, spot)};
  }

  // COND = AND {"or" AND};  AND = NOT {"and" NOT};  NOT = "not" NOT | "(" COND ")" | TEST
  bool condition(Program& out, Fault& fault, int depth = 0) {
    if (!conjunction(out, fault, depth)) return false;
    while (word("or")) {
      if (!conjunction(out, fault, depth)) return false;
      out.steps.push_back({Program::Op::either, 0, 0, ""});
    }
    return true;
  }

 private:
  bool conjunction(Program& out, Fault& fault, int depth) {
    if (!negation(out, fault, depth)) return false;
    while (word("and")) {
      if (!negation(out, fault, depth)) return false;
      out.steps.push_back({Program::Op::both, 0, 0, ""});
    }
    return true;
  }

  bool negation(Program& out, Fault& fault, int depth) {
    if (depth > 32) {
      fault = wrong("the condition is nested too deeply");
      return false;
    }
    if (word("not")) {
      if (!negation(out, fault, depth + 1)) return false;
      out.steps.push_back({Program::Op::negate, 0, 0, ""});
      return true;
    }
    if (sign("(")) {
      if (!condition(out, fault, depth + 1)) return false;
      if (sign(")")) return true;
      fault = wrong("a ')' is missing");
      return false;
    }
    return test(out, fault);
  }

  bool test(Program& out, Fault& fault) {
    if (word("always")) {
      out.steps.push_back({Program::Op::always, 0, 0, ""});
      return true;
    }
    if (here().sort != Sort::word) {
      fault = wrong("a field's name is expected");
      return false;
    }
    std::size_t row = 0;
    while (row < std::size(fields) && fields[row].name != here().text) ++row;
    if (row == std::size(fields)) {
      fault = wrong("there is no field '" + here().text + "'");
      return false;
    }
    take();
    Program::Step step{Program::Op::truth, static_cast<std::uint8_t>(row), 0, ""};
    if (fields[row].sort == FieldSort::truth) {
      out.steps.push_back(step);
      return true;
    }
    Token const how = here();
    if (fields[row].sort == FieldSort::text) {
      if (sign("="))
        step.op = Program::Op::text_is;
      else if (sign("!="))
        step.op = Program::Op::text_not;
      else if (word("starts"))
        step.op = Program::Op::text_starts;
      else {
        fault = wrong("'" + std::string(fields[row].name) + "' takes =, != or starts");
        return false;
      }
      if (here().sort != Sort::text) {
        fault = wrong("a quoted text is expected");
        return false;
      }
      step.text = take().text;
    } else {
      if (sign("<"))
        step.op = Program::Op::less;
      else if (sign("<="))
        step.op = Program::Op::most;
      else if (sign(">"))
        step.op = Program::Op::more;
      else if (sign(">="))
        step.op = Program::Op::least;
      else if (sign("="))
        step.op = Program::Op::same;
      else if (sign("!="))
        step.op = Program::Op::other;
      else {
        fault = wrong("'" + std::string(fields[row].name) + "' takes <, <=, >, >=, = or !=");
        return false;
      }
      if (here().sort != Sort::number) {
        fault = wrong("a number is expected");
        return false;
      }
      Token const& value = take();
      bool const share = fields[row].name == "demand";
      if (value.unit == "k" && !share)
        step.number = value.number * 1000;
      else if ((value.unit == "%" && share) || (value.unit.empty() && !share))
        step.number = value.number;
      else {
        fault = wrong_at(value.spot, share ? "demand is given in %" : "the unit '" + value.unit + "' does not fit");
        return false;
      }
    }
    out.steps.push_back(std::move(step));
    return true;
  }

  std::string_view const text;
  std::vector<Token> const tokens;
  std::size_t at = 0;
};

bool span(Token const& token, Micros& out) {
  if (token.sort != Sort::number) return false;
  if (token.unit == "ms")
    out = millis(token.number);
  else if (token.unit == "s")
    out = seconds(token.number);
  else if (token.unit == "m")
    out = seconds(token.number * 60);
  else
    return false;
  return out > 0 && out <= seconds(3600);
}

}  // namespace

bool Program::holds(Facts const& facts, std::int64_t demand) const {
  if (steps.empty()) return true;
  std::vector<bool> stack;
  for (Step const& step : steps) {
    std::string const* text = nullptr;
    std::int64_t number = 0;
    switch (static_cast<Field>(step.field)) {
      case Field::model:
        text = &facts.model;
        break;
      case Field::user:
        text = &facts.user;
        break;
      case Field::zone:
        text = &facts.zone;
        break;
      case Field::size:
        number = facts.size;
        break;
      case Field::output:
        number = facts.output;
        break;
      case Field::demand:
        number = demand;
        break;
      case Field::stream:
        break;
    }
    switch (step.op) {
      case Op::text_is:
        stack.push_back(*text == step.text);
        break;
      case Op::text_not:
        stack.push_back(*text != step.text);
        break;
      case Op::text_starts:
        stack.push_back(text->compare(0, step.text.size(), step.text) == 0);
        break;
      case Op::less:
        stack.push_back(number < step.number);
        break;
      case Op::most:
        stack.push_back(number <= step.number);
        break;
      case Op::more:
        stack.push_back(number > step.number);
        break;
      case Op::least:
        stack.push_back(number >= step.number);
        break;
      case Op::same:
        stack.push_back(number == step.number);
        break;
      case Op::other:
        stack.push_back(number != step.number);
        break;
      case Op::truth:
        stack.push_back(facts.stream);
        break;
      case Op::always:
        stack.push_back(true);
        break;
      case Op::negate:
        stack.back() = !stack.back();
        break;
      case Op::both:
      case Op::either: {
        bool const right = stack.back();
        stack.pop_back();
        stack.back() = step.op == Op::both ? (stack.back() && right) : (stack.back() || right);
        break;
      }
    }
  }
  return stack.back();
}

Result<Binding> compile_binding(std::string_view text) {
  Result<std::vector<Token>> tokens = lex(text);
  if (!tokens) return tokens.as_failure();
  Parser parser(text, std::move(tokens.value()));
  Binding out;
  Fault fault;
  bool matched = false;
  while (!parser.over()) {
    std::size_t const spot = parser.here().spot;
    if (parser.word("match")) {
      if (matched) return boost::outcome_v2::failure(parser.wrong_at(spot, "'match' stands twice"));
      matched = true;
      if (!parser.condition(out.match, fault)) return boost::outcome_v2::failure(fault);
      for (Program::Step const& step : out.match.steps)
        if (step.op <= Program::Op::truth && static_cast<Field>(step.field) == Field::demand &&
            step.op != Program::Op::truth)
          return boost::outcome_v2::failure(parser.wrong_at(spot, "demand belongs to a pool's 'when', not to 'match'"));
    } else if (parser.word("pool")) {
      if (parser.here().sort != Sort::word)
        return boost::outcome_v2::failure(parser.wrong("a pool's name is expected"));
      Binding::Choice choice;
      choice.spot = parser.here().spot;
      choice.pool = parser.take().text;
      for (Binding::Choice const& old : out.pools)
        if (old.pool == choice.pool)
          return boost::outcome_v2::failure(
              parser.wrong_at(choice.spot, "the pool '" + choice.pool + "' stands twice"));
      if (parser.word("when") && !parser.condition(choice.when, fault)) return boost::outcome_v2::failure(fault);
      out.pools.push_back(std::move(choice));
    } else {
      return boost::outcome_v2::failure(parser.wrong("'match' or 'pool' is expected"));
    }
    if (!parser.over() && !parser.sign(";")) return boost::outcome_v2::failure(parser.wrong("a ';' is expected"));
  }
  if (!matched) return boost::outcome_v2::failure(parser.wrong_at(0, "the binding has no 'match'"));
  if (out.pools.empty()) return boost::outcome_v2::failure(parser.wrong_at(0, "the binding names no pool"));
  return out;
}

Result<Policy> compile_policy(std::string_view text) {
  Result<std::vector<Token>> tokens = lex(text);
  if (!tokens) return tokens.as_failure();
  Parser parser(text, std::move(tokens.value()));
  Policy out;
  std::set<std::string> seen;
  while (!parser.over()) {
    if (parser.here().sort != Sort::word)
      return boost::outcome_v2::failure(parser.wrong("a policy's word is expected"));
    Token const name = parser.take();
    if (!seen.insert(name.text).second)
      return boost::outcome_v2::failure(parser.wrong_at(name.spot, "'" + name.text + "' stands twice"));
    Token const value = parser.take();
    std::string bad;
    bool const plain = value.sort == Sort::number && value.unit.empty();
    if (name.text == "wait" || name.text == "answer" || name.text == "stall") {
      Micros& slot = name.text == "wait" ? out.wait : name.text == "answer" ? out.answer : out.stall;
      if (!span(value, slot)) bad = "takes a time such as 800ms or 2s, up to 60m";
    } else if (name.text == "urgency") {
      if (plain && value.number <= 9)
        out.urgency = value.number;
      else
        bad = "takes a number from 0 to 9";
    } else if (name.text == "backlog") {
      if (plain && value.number <= 100000)
        out.backlog = value.number;
      else
        bad = "takes a number up to 100000";
    } else if (name.text == "tries") {
      if (plain && value.number >= 1 && value.number <= 5)
        out.tries = value.number;
      else
        bad = "takes a number from 1 to 5";
    } else if (name.text == "repeat") {
      if (value.sort == Sort::word && (value.text == "never" || value.text == "safe"))
        out.safe = value.text == "safe";
      else
        bad = "takes never or safe";
    } else if (name.text == "locality") {
      if (value.sort == Sort::word && value.text == "prefer")
        out.locality = Locality::prefer;
      else if (value.sort == Sort::word && value.text == "only")
        out.locality = Locality::only;
      else if (value.sort == Sort::word && value.text == "any")
        out.locality = Locality::any;
      else
        bad = "takes prefer, only or any";
    } else {
      return boost::outcome_v2::failure(parser.wrong_at(name.spot, "there is no policy word '" + name.text + "'"));
    }
    if (!bad.empty()) return boost::outcome_v2::failure(parser.wrong_at(value.spot, "'" + name.text + "' " + bad));
    if (!parser.over() && !parser.sign(";")) return boost::outcome_v2::failure(parser.wrong("a ';' is expected"));
  }
  return out;
}

}  // namespace pipit
