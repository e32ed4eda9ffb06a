// One request of an operator's tool, answered before it goes on (§8.2).
#pragma once
#include <string>

namespace pipit {

struct Got {
  unsigned status = 0;  // 0: not reached
  std::string body;
  std::string serial;
  std::string drained_zones;
  std::string change;
  std::string why;
};

Got talk(char const* method, std::string const& address, std::string const& path, std::string const* body,
         std::string const& expected);
// The tools' exit codes: 0 done, 1 refused, 2 bad input, 3 outcome unknown, 4 not reached or no majority, 5 not
// confirmed.
int code_of(Got const& got);

}  // namespace pipit
