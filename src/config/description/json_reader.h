// Typed readers of JSON values for configuration texts: each error contains the path of the faulty value.
#pragma once
#include <simdjson.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/micros.h"

namespace pipit {

// A parsed JSON value.
using JsonElement = simdjson::dom::element;
// Reads one value at 'path', such as $.pools[0].name. Returns false on an error.
using JsonValueReader = std::function<bool(JsonElement const& value, std::string const& path)>;
// The readers of the fields that an object may have, by field name.
using JsonFieldReaders = std::map<std::string_view, JsonValueReader>;

// Reads JSON values into variables. Each reader returns false on an error, which error() then returns; the output
// variable may have been modified nevertheless. The bounds of numbers are inclusive.
class JsonReader {
 public:
  // The last error.
  Error const& error() const { return error_; }

  // Records an error at a path; returns false.
  bool fail_at(std::string const& path, std::string message, ErrorCode code = ErrorCode::bad_description);
  // Records the error of a failed result; returns whether the result succeeded.
  bool check(Result<void> const& result);

  // Reads an object that may contain only these fields, each at most once, and must contain the required ones.
  bool object(JsonElement const& value, std::string const& path, JsonFieldReaders const& fields,
              std::set<std::string_view> const& required);
  // Reads a list, item by item.
  bool list(JsonElement const& value, std::string const& path, JsonValueReader const& read_item);
  // Reads a text that is not empty.
  bool text(JsonElement const& value, std::string const& path, std::string& out);
  // Reads a text of at most 64 letters, digits, '_' and '-' that begins with a letter or '_'.
  bool name(JsonElement const& value, std::string const& path, std::string& out);
  // Reads true or false.
  bool boolean(JsonElement const& value, std::string const& path, bool& out);
  // Reads an integer from min to max.
  bool number(JsonElement const& value, std::string const& path, std::int64_t min, std::int64_t max, std::int64_t& out);
  // Reads a duration as an integer from 0 to 'max' and multiplies it by 'unit', in microseconds.
  bool time(JsonElement const& value, std::string const& path, Micros unit, std::int64_t max, Micros& out);

 private:
  Error error_;
};

// Returns the location of the first syntax error in a malformed JSON text, as in "line 2, column 11".
std::string json_error_location(std::string_view text);

}  // namespace pipit
