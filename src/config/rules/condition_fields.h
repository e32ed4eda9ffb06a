// The fields that a condition can test (§5.2).
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

// A field of a request or of a pool's load.
enum class Field : std::uint8_t {
#define FIELD(name, type) name,
  PIPIT_CONDITION_FIELDS(FIELD)
#undef FIELD
};

// The type of a field.
enum class FieldType : std::uint8_t { text, number, boolean };

// The name and type of a field.
struct FieldDescription {
  std::string_view name;
  FieldType type;
};

// All fields, indexed by Field.
constexpr FieldDescription field_descriptions[] = {
#define FIELD(name, type) {#name, FieldType::type},
    PIPIT_CONDITION_FIELDS(FIELD)
#undef FIELD
};

}  // namespace pipit
