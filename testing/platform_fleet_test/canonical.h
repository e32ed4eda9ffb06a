// Canonical JSON, to compare configurations.
#pragma once
#include <string>
#include <string_view>

namespace pipit::platform_fleet {

// Returns the same text for equivalent configurations: object keys and lists of named items are sorted. Empty if `json`
// can't be parsed.
std::string canonical(std::string_view json);

}  // namespace pipit::platform_fleet
