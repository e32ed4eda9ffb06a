// Evaluates compiled conditions (§5.2).
#include "config/rules/condition_fields.h"
#include "config/rules/rules.h"

namespace pipit {

namespace {

using Operation = Condition::Operation;
using Instruction = Condition::Instruction;

std::string const& text_field(Field field, RequestAttributes const& attributes) {
  if (field == Field::model) return attributes.model;
  if (field == Field::user) return attributes.user;
  return attributes.zone;
}

std::int64_t number_field(Field field, RequestAttributes const& attributes, std::int64_t load_percent) {
  if (field == Field::size) return attributes.size;
  if (field == Field::output) return attributes.max_tokens;
  return load_percent;
}

bool compare_text(Instruction const& instruction, std::string const& value) {
  switch (instruction.operation) {
    case Operation::text_equal:
      return value == instruction.text;
    case Operation::text_not_equal:
      return value != instruction.text;
    default:
      return value.compare(0, instruction.text.size(), instruction.text) == 0;
  }
}

bool compare_number(Instruction const& instruction, std::int64_t value) {
  switch (instruction.operation) {
    case Operation::less:
      return value < instruction.number;
    case Operation::less_or_equal:
      return value <= instruction.number;
    case Operation::greater:
      return value > instruction.number;
    case Operation::greater_or_equal:
      return value >= instruction.number;
    case Operation::equal:
      return value == instruction.number;
    default:
      return value != instruction.number;
  }
}

// Returns the result of an instruction that tests one field.
bool compare_field(Instruction const& instruction, RequestAttributes const& attributes, std::int64_t load_percent) {
  Field const field = static_cast<Field>(instruction.field);
  switch (field_descriptions[instruction.field].type) {
    case FieldType::text:
      return compare_text(instruction, text_field(field, attributes));
    case FieldType::number:
      return compare_number(instruction, number_field(field, attributes, load_percent));
    case FieldType::boolean:
      break;
  }
  return attributes.stream;
}

}  // namespace

bool Condition::matches(RequestAttributes const& attributes, std::int64_t load_percent) const {
  if (instructions.empty()) return true;
  std::vector<bool> stack;
  for (Instruction const& instruction : instructions) {
    if (instruction.operation <= Operation::is_set) {
      stack.push_back(compare_field(instruction, attributes, load_percent));
    } else if (instruction.operation == Operation::always) {
      stack.push_back(true);
    } else if (instruction.operation == Operation::logical_not) {
      stack.back() = !stack.back();
    } else {
      bool const right = stack.back();
      stack.pop_back();
      bool const left = stack.back();
      stack.back() = instruction.operation == Operation::logical_and ? left && right : left || right;
    }
  }
  return stack.back();
}

bool Condition::reads_load() const {
  for (Instruction const& instruction : instructions)
    if (instruction.operation < Operation::is_set && static_cast<Field>(instruction.field) == Field::demand)
      return true;
  return false;
}

}  // namespace pipit
