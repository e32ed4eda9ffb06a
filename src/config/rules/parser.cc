#include "config/rules/parser.h"

#include <iterator>

namespace pipit {

namespace {

using Operation = Condition::Operation;

constexpr int max_nesting_depth = 32;

struct SymbolOperation {
  std::string_view symbol;
  Operation operation;
};
constexpr SymbolOperation number_operations[] = {
    {"<", Operation::less},    {"<=", Operation::less_or_equal},
    {">", Operation::greater}, {">=", Operation::greater_or_equal},
    {"=", Operation::equal},   {"!=", Operation::not_equal},
};

std::string field_name(Condition::Instruction const& instruction) {
  return std::string(field_descriptions[instruction.field].name);
}

}  // namespace

bool Parser::take_if(TokenKind kind, std::string_view name) {
  if (peek().kind != kind || peek().text != name) return false;
  take();
  return true;
}

bool Parser::parse_condition(Condition& out, Error& error, int depth) {
  if (!parse_and(out, error, depth)) return false;
  while (take_keyword("or")) {
    if (!parse_and(out, error, depth)) return false;
    out.instructions.push_back({Operation::logical_or, 0, 0, ""});
  }
  return true;
}

bool Parser::parse_and(Condition& out, Error& error, int depth) {
  if (!parse_not(out, error, depth)) return false;
  while (take_keyword("and")) {
    if (!parse_not(out, error, depth)) return false;
    out.instructions.push_back({Operation::logical_and, 0, 0, ""});
  }
  return true;
}

bool Parser::parse_not(Condition& out, Error& error, int depth) {
  if (depth > max_nesting_depth) {
    error = error_here("the condition is nested too deeply");
    return false;
  }
  if (take_keyword("not")) {
    if (!parse_not(out, error, depth + 1)) return false;
    out.instructions.push_back({Operation::logical_not, 0, 0, ""});
    return true;
  }
  if (take_symbol("(")) {
    if (!parse_condition(out, error, depth + 1)) return false;
    if (take_symbol(")")) return true;
    error = error_here("a ')' is missing");
    return false;
  }
  return parse_test(out, error);
}

bool Parser::parse_test(Condition& out, Error& error) {
  if (take_keyword("always")) {
    out.instructions.push_back({Operation::always, 0, 0, ""});
    return true;
  }
  if (peek().kind != TokenKind::identifier) {
    error = error_here("the name of a field is expected");
    return false;
  }
  std::size_t field = 0;
  while (field < std::size(field_descriptions) && field_descriptions[field].name != peek().text) ++field;
  if (field == std::size(field_descriptions)) {
    error = error_here("unknown field '" + peek().text + "'");
    return false;
  }
  take();
  Condition::Instruction instruction{Operation::is_set, static_cast<std::uint8_t>(field), 0, ""};
  FieldType const type = field_descriptions[field].type;
  if (type == FieldType::text && !parse_text_test(instruction, error)) return false;
  if (type == FieldType::number && !parse_number_test(instruction, error)) return false;
  out.instructions.push_back(std::move(instruction));
  return true;
}

bool Parser::parse_text_test(Condition::Instruction& out, Error& error) {
  if (take_symbol("=")) {
    out.operation = Operation::text_equal;
  } else if (take_symbol("!=")) {
    out.operation = Operation::text_not_equal;
  } else if (take_keyword("starts")) {
    out.operation = Operation::text_starts_with;
  } else {
    error = error_here("'" + field_name(out) + "' takes =, != or starts");
    return false;
  }
  if (peek().kind != TokenKind::text) {
    error = error_here("a quoted text is expected");
    return false;
  }
  out.text = take().text;
  return true;
}

bool Parser::parse_number_test(Condition::Instruction& out, Error& error) {
  for (SymbolOperation const& row : number_operations) {
    if (!take_symbol(row.symbol)) continue;
    out.operation = row.operation;
    return parse_number(out, error);
  }
  error = error_here("'" + field_name(out) + "' takes <, <=, >, >=, = or !=");
  return false;
}

bool Parser::parse_number(Condition::Instruction& out, Error& error) {
  if (peek().kind != TokenKind::number) {
    error = error_here("a number is expected");
    return false;
  }
  Token const& value = take();
  bool const is_percentage = static_cast<Field>(out.field) == Field::demand;
  if (is_percentage ? value.unit == "%" : value.unit.empty()) {
    out.number = value.number;
    return true;
  }
  if (value.unit == "k" && !is_percentage) {
    out.number = value.number * 1000;
    return true;
  }
  error = error_at(value.offset, is_percentage ? "'demand' needs a number with the unit %"
                                               : "the unit '" + value.unit + "' is not allowed here");
  return false;
}

}  // namespace pipit
