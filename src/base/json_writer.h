// A small JSON writer. JSON is read with simdjson (§2.4).
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace pipit {

// Returns a text in quotes, escaped for JSON.
std::string json_text(std::string_view raw);

// Builds one JSON text from left to right and inserts the commas.
class JsonWriter {
 public:
  // Begin and end an object or a list; each begin needs its end.
  JsonWriter& begin_object() { return begin('{'); }
  JsonWriter& end_object() { return end('}'); }
  JsonWriter& begin_list() { return begin('['); }
  JsonWriter& end_list() { return end(']'); }
  // Writes the key of the next value in an object.
  JsonWriter& key(std::string_view name) {
    separate();
    out_ += json_text(name);
    out_ += ':';
    after_key_ = true;
    return *this;
  }
  // Write one value.
  JsonWriter& text(std::string_view raw) { return put(json_text(raw)); }
  JsonWriter& number(std::int64_t n) { return put(std::to_string(n)); }
  JsonWriter& boolean(bool yes) { return put(yes ? "true" : "false"); }
  // Writes a value that is JSON already; it is not validated.
  JsonWriter& raw(std::string_view json) { return put(json); }
  // Returns the finished text; the writer must not be used afterwards.
  std::string take() { return std::move(out_); }

 private:
  // Puts a comma before an item that is not the first.
  void separate() {
    if (!after_key_ && !out_.empty() && out_.back() != '{' && out_.back() != '[') out_ += ',';
    after_key_ = false;
  }
  JsonWriter& put(std::string_view text) {
    separate();
    out_ += text;
    return *this;
  }
  JsonWriter& begin(char c) {
    separate();
    out_ += c;
    return *this;
  }
  JsonWriter& end(char c) {
    out_ += c;
    return *this;
  }
  std::string out_;
  bool after_key_ = false;
};

}  // namespace pipit
