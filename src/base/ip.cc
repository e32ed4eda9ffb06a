#include "base/ip.h"

#include <arpa/inet.h>

namespace pipit {

bool split_address(std::string const& text, std::string& host, std::uint16_t& port) {
  std::size_t const colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 >= text.size() || text.size() - colon > 6) return false;
  host = text.substr(0, colon);
  std::uint32_t n = 0;
  for (std::size_t i = colon + 1; i < text.size(); ++i) {
    if (text[i] < '0' || text[i] > '9') return false;
    n = n * 10 + static_cast<std::uint32_t>(text[i] - '0');
  }
  if (n == 0 || n > 65535) return false;
  port = static_cast<std::uint16_t>(n);
  unsigned char buffer[16];
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), buffer) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), buffer) == 1;
}

bool is_valid_address(std::string const& text) {
  std::string host;
  std::uint16_t port = 0;
  return split_address(text, host, port);
}

}  // namespace pipit
