#include "routing/chat/event_splitter.h"

namespace pipit {

bool EventSplitter::next(std::string& event) {
  while (true) {
    std::size_t const plain = buffer_.find("\n\n");
    std::size_t const crlf = buffer_.find("\r\n\r\n");
    std::size_t const end = std::min(plain, crlf);
    if (end == std::string::npos) return false;
    event = buffer_.substr(0, end);
    buffer_.erase(0, end + (end == plain ? 2 : 4));
    if (!event.empty()) return true;
  }
}

bool EventSplitter::has_partial_event() const { return buffer_.find_first_not_of("\r\n ") != std::string::npos; }

std::string event_data(std::string_view event) {
  std::string out;
  bool any = false;
  while (!event.empty()) {
    std::size_t const end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.substr(0, 5) != "data:") continue;
    line.remove_prefix(5);
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    if (any) out += '\n';
    out += line;
    any = true;
  }
  return out;
}

}  // namespace pipit
