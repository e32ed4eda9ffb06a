#include "testing/platform_fleet_test/canonical.h"

#include <simdjson.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <vector>

#include "base/json_writer.h"

namespace pipit::platform_fleet {

namespace {
std::string canonical_of(simdjson::dom::element const& item) {
  using Type = simdjson::dom::element_type;
  switch (item.type()) {
    case Type::OBJECT: {
      std::map<std::string, std::string> rows;
      for (simdjson::dom::key_value_pair const& field : simdjson::dom::object(item))
        rows[std::string(field.key)] = canonical_of(field.value);
      std::string out = "{";
      for (std::pair<std::string const, std::string> const& row : rows)
        out += json_text(row.first) + ":" + row.second + ",";
      return out + "}";
    }
    case Type::ARRAY: {
      std::vector<std::string> rows;
      bool named = true;
      for (simdjson::dom::element const& row : simdjson::dom::array(item)) {
        std::string_view name;
        named = named && row.is_object() && !row["name"].get_string().get(name);
        rows.push_back(canonical_of(row));
      }
      if (named) std::sort(rows.begin(), rows.end());
      std::string out = "[";
      for (std::string const& row : rows) out += row + ",";
      return out + "]";
    }
    case Type::STRING:
      return json_text(std::string_view(item));
    case Type::BOOL:
      return bool(item) ? "true" : "false";
    case Type::NULL_VALUE:
      return "null";
    default: {
      double number = 0;
      char text[40];
      if (item.get_double().get(number)) number = 0;
      std::snprintf(text, sizeof text, "%.10g", number);
      return text;
    }
  }
}
}  // namespace

std::string canonical(std::string_view json) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  if (parser.parse(simdjson::padded_string(json)).get(root)) return "";
  return canonical_of(root);
}

}  // namespace pipit::platform_fleet
