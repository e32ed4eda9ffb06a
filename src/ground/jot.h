// A small writer of JSON text. Reading is simdjson's work (§2.4).
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace pipit {

std::string json_text(std::string_view raw);

class Jot {
 public:
  Jot& open() { return begin('{'); }
  Jot& shut() { return end('}'); }
  Jot& list() { return begin('['); }
  Jot& unlist() { return end(']'); }
  Jot& key(std::string_view name) {
    gap();
    out += json_text(name);
    out += ':';
    bare = true;
    return *this;
  }
  Jot& text(std::string_view raw) { return put(json_text(raw)); }
  Jot& number(std::int64_t n) { return put(std::to_string(n)); }
  Jot& truth(bool yes) { return put(yes ? "true" : "false"); }
  Jot& raw(std::string_view json) { return put(json); }
  std::string take() { return std::move(out); }

 private:
  void gap() {
    if (!bare && !out.empty() && out.back() != '{' && out.back() != '[') out += ',';
    bare = false;
  }
  Jot& put(std::string_view text) {
    gap();
    out += text;
    return *this;
  }
  Jot& begin(char c) {
    gap();
    out += c;
    return *this;
  }
  Jot& end(char c) {
    out += c;
    return *this;
  }
  std::string out;
  bool bare = false;
};

}  // namespace pipit
