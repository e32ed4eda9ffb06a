// A small writer of JSON text. Reading is simdjson's work (§2.4).
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace pipit {

// A text in quotes, escaped for JSON.
std::string json_text(std::string_view raw);

// Builds one JSON text from left to right; it puts in the commas.
class JsonWriter {
 public:
  JsonWriter& begin_object() { return begin('{'); }
  JsonWriter& end_object() { return end('}'); }
  JsonWriter& begin_list() { return begin('['); }
  JsonWriter& end_list() { return end(']'); }
  JsonWriter& key(std::string_view name) {
    gap();
    out_ += json_text(name);
    out_ += ':';
    bare_ = true;
    return *this;
  }
  JsonWriter& text(std::string_view raw) { return put(json_text(raw)); }
  JsonWriter& number(std::int64_t n) { return put(std::to_string(n)); }
  JsonWriter& boolean(bool yes) { return put(yes ? "true" : "false"); }
  JsonWriter& raw(std::string_view json) { return put(json); }
  std::string take() { return std::move(out_); }

 private:
  void gap() {
    if (!bare_ && !out_.empty() && out_.back() != '{' && out_.back() != '[') out_ += ',';
    bare_ = false;
  }
  JsonWriter& put(std::string_view text) {
    gap();
    out_ += text;
    return *this;
  }
  JsonWriter& begin(char c) {
    gap();
    out_ += c;
    return *this;
  }
  JsonWriter& end(char c) {
    out_ += c;
    return *this;
  }
  std::string out_;
  bool bare_ = false;
};

}  // namespace pipit
