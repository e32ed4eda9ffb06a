#include "config/description/json_reader.h"

#include "config/rules/rules.h"

namespace pipit {

namespace {
constexpr std::size_t max_name_size = 64;

bool read_value(simdjson::ondemand::value value);

bool read_object(simdjson::ondemand::value value) {
  simdjson::ondemand::object object;
  if (value.get_object().get(object)) return false;
  for (simdjson::simdjson_result<simdjson::ondemand::field> field : object) {
    simdjson::ondemand::value inner;
    if (field.error() || field.value().get(inner) || !read_value(inner)) return false;
  }
  return true;
}

bool read_array(simdjson::ondemand::value value) {
  simdjson::ondemand::array array;
  if (value.get_array().get(array)) return false;
  for (simdjson::simdjson_result<simdjson::ondemand::value> item : array) {
    simdjson::ondemand::value inner;
    if (item.get(inner) || !read_value(inner)) return false;
  }
  return true;
}

// Reads a value and all values in it. Returns false at the first error, which is then the location of the document.
bool read_value(simdjson::ondemand::value value) {
  simdjson::ondemand::json_type type;
  if (value.type().get(type)) return false;
  if (type == simdjson::ondemand::json_type::object) return read_object(value);
  if (type == simdjson::ondemand::json_type::array) return read_array(value);
  if (type == simdjson::ondemand::json_type::string) return !value.get_string().error();
  if (type == simdjson::ondemand::json_type::number) return !value.get_double().error();
  if (type == simdjson::ondemand::json_type::boolean) return !value.get_bool().error();
  return value.is_null();
}
}  // namespace

bool JsonReader::fail_at(std::string const& path, std::string message, ErrorCode code) {
  error_ = Error{code, std::move(message), path};
  return false;
}

bool JsonReader::check(Result<void> const& result) {
  if (result) return true;
  error_ = result.error();
  return false;
}

bool JsonReader::object(JsonElement const& value, std::string const& path, JsonFieldReaders const& fields,
                        std::set<std::string_view> const& required) {
  simdjson::dom::object items;
  if (value.get_object().get(items)) return fail_at(path, "an object is expected");
  std::set<std::string_view> names;
  for (simdjson::dom::key_value_pair const& item : items) {
    std::string const inner = path + "." + std::string(item.key);
    JsonFieldReaders::const_iterator const field = fields.find(item.key);
    if (field == fields.end()) return fail_at(inner, "unknown field");
    if (!names.insert(item.key).second) return fail_at(inner, "the field is given twice");
    if (!field->second(item.value, inner)) return false;
  }
  for (std::string_view const name : required)
    if (!names.count(name)) return fail_at(path, "the field '" + std::string(name) + "' is missing");
  return true;
}

bool JsonReader::list(JsonElement const& value, std::string const& path, JsonValueReader const& read_item) {
  simdjson::dom::array items;
  if (value.get_array().get(items)) return fail_at(path, "a list is expected");
  std::size_t index = 0;
  for (JsonElement const& item : items)
    if (!read_item(item, path + "[" + std::to_string(index++) + "]")) return false;
  return true;
}

bool JsonReader::text(JsonElement const& value, std::string const& path, std::string& out) {
  std::string_view view;
  if (value.get_string().get(view)) return fail_at(path, "a text is expected");
  if (view.empty()) return fail_at(path, "the text is empty");
  out = view;
  return true;
}

bool JsonReader::name(JsonElement const& value, std::string const& path, std::string& out) {
  if (!text(value, path, out)) return false;
  bool valid = out.size() <= max_name_size;
  for (std::size_t i = 0; i < out.size(); ++i) {
    char const c = out[i];
    bool const alphabetic = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
    valid = valid && (alphabetic || (i > 0 && ((c >= '0' && c <= '9') || c == '-')));
  }
  return valid ||
         fail_at(path,
                 "a name is letters, digits, '_' and '-', begins with a letter or '_', and has at most 64 characters");
}

bool JsonReader::boolean(JsonElement const& value, std::string const& path, bool& out) {
  return !value.get_bool().get(out) || fail_at(path, "true or false is expected");
}

bool JsonReader::number(JsonElement const& value, std::string const& path, std::int64_t min, std::int64_t max,
                        std::int64_t& out) {
  if (value.get_int64().get(out)) return fail_at(path, "a whole number is expected");
  if (out < min || out > max)
    return fail_at(path, "the number must be from " + std::to_string(min) + " to " + std::to_string(max));
  return true;
}

bool JsonReader::time(JsonElement const& value, std::string const& path, Micros unit, std::int64_t max, Micros& out) {
  std::int64_t count = 0;
  if (!number(value, path, 0, max, count)) return false;
  out = count * unit;
  return true;
}

std::string json_error_location(std::string_view text) {
  simdjson::padded_string const pad(text);
  simdjson::ondemand::parser parser;
  simdjson::ondemand::document doc;
  if (parser.iterate(pad).get(doc)) return "line 1, column 1";
  simdjson::ondemand::value root;
  if (!doc.get_value().get(root)) read_value(root);
  char const* position = nullptr;
  if (doc.current_location().get(position) || position == nullptr) return line_and_column(text, text.size());
  std::ptrdiff_t const off = position - pad.data();
  if (off < 0 || static_cast<std::size_t>(off) > text.size()) return line_and_column(text, text.size());
  return line_and_column(text, static_cast<std::size_t>(off));
}

}  // namespace pipit
