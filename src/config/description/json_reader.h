// Typed readers of JSON values, for configuration that people write: each fault comes with its place.
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

using JsonElement = simdjson::dom::element;
// Reads one value; 'path' is where it stands, such as $.pools[0].name. False after a fault.
using JsonValueReader = std::function<bool(JsonElement const& value, std::string const& path)>;
// The fields that an object may have, by name.
using JsonFieldReaders = std::map<std::string_view, JsonValueReader>;

// Reads JSON values into variables. Each reader returns false after a fault, which error() then has; the variable
// may have been written all the same. The bounds of numbers are inclusive.
class JsonReader {
 public:
  Error const& error() const { return error_; }

  // Notes a fault; returns false.
  bool fail_at(std::string const& path, std::string message, ErrorCode code = ErrorCode::bad_description);
  // Notes the fault of a result, if it has one; returns whether it has none.
  bool check(Result<void> const& result);

  // An object with these fields only, each at most once; the required ones must be there.
  bool object(JsonElement const& value, std::string const& path, JsonFieldReaders const& fields,
              std::set<std::string_view> const& required);
  bool list(JsonElement const& value, std::string const& path, JsonValueReader const& read_item);
  // A text that is not empty.
  bool text(JsonElement const& value, std::string const& path, std::string& out);
  // A text of at most 64 letters, digits, '_' and '-' that begins with a letter or '_'.
  bool name(JsonElement const& value, std::string const& path, std::string& out);
  bool boolean(JsonElement const& value, std::string const& path, bool& out);
  bool number(JsonElement const& value, std::string const& path, std::int64_t min, std::int64_t max, std::int64_t& out);
  // A time as a number of units, from 0 to 'max'; a unit is given in microseconds.
  bool time(JsonElement const& value, std::string const& path, Micros unit, std::int64_t max, Micros& out);

 private:
  Error error_;
};

// Where a malformed JSON text is broken: its line and column.
std::string json_error_location(std::string_view text);

}  // namespace pipit
