// The closed list of what a condition can name (§5.2).
#pragma once
#include <cstdint>
#include <string_view>

namespace pipit {

// FIELD(name, type)
#define PIPIT_CONDITION_FIELDS(FIELD) \
  FIELD(model, text)                  \
  FIELD(user, text)                   \
  FIELD(zone, text)                   \
  FIELD(size, number)                 \
  FIELD(output, number)               \
  FIELD(demand, number)               \
  FIELD(stream, boolean)

enum class Field : std::uint8_t {
#define FIELD(name, type) name,
  PIPIT_CONDITION_FIELDS(FIELD)
#undef FIELD
};

enum class FieldType : std::uint8_t { text, number, boolean };

struct FieldDescription {
  std::string_view name;
  FieldType type;
};

constexpr FieldDescription field_descriptions[] = {
#define FIELD(name, type) {#name, FieldType::type},
    PIPIT_CONDITION_FIELDS(FIELD)
#undef FIELD
};

}  // namespace pipit
