// Addresses are IP numbers with a port; names are never resolved (§2.3).
#pragma once
#include <cstdint>
#include <string>

namespace pipit {
// Splits "127.0.0.1:80" or "[::1]:80" into host and port. Returns false for anything else, also for a host name and
// port 0; host and port are then not to be used.
bool split_address(std::string const& text, std::string& host, std::uint16_t& port);
// Whether split_address() takes the text.
bool is_valid_address(std::string const& text);
}  // namespace pipit
