// JSON texts made comparable.
#pragma once
#include <string>
#include <string_view>

namespace pipit::platform_fleet {

// The same text for configurations that mean the same: keys and named items in order. Empty when it cannot be read.
std::string canonical(std::string_view json);

}  // namespace pipit::platform_fleet
