#include "base/json_writer.h"

#include <cstdio>

namespace pipit {

std::string json_text(std::string_view raw) {
  std::string out = "\"";
  for (char const c : raw) {
    switch (c) {
      case '"':
        out += "\\\"";
        break;
      case '\\':
        out += "\\\\";
        break;
      case '\n':
        out += "\\n";
        break;
      case '\r':
        out += "\\r";
        break;
      case '\t':
        out += "\\t";
        break;
      default:
        if (static_cast<unsigned char>(c) < 0x20) {
          char position[8];
          std::snprintf(position, sizeof position, "\\u%04x", static_cast<unsigned>(c));
          out += position;
        } else {
          out += c;
        }
    }
  }
  out += '"';
  return out;
}

}  // namespace pipit
