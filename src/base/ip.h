// Parses addresses of an IP number and a port; host names are never resolved (§2.3).
#pragma once
#include <cstdint>
#include <string>

namespace pipit {
// Splits "127.0.0.1:80" or "[::1]:80" into host and port. Returns false for any other text, including a host name or
// port 0; the values of host and port are then unspecified.
bool split_address(std::string const& text, std::string& host, std::uint16_t& port);
// Returns whether split_address() accepts the text.
bool is_valid_address(std::string const& text);
}  // namespace pipit
