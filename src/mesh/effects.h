// What a core asks of its shell. Cores do no I/O themselves (§2.2).
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace pipit {

using ConnectionId = std::uint64_t;

struct ConnectionEffects {
  struct Send {
    ConnectionId connection;
    std::string bytes;
  };
  std::vector<std::string> dials;
  std::vector<Send> sends;
  std::vector<ConnectionId> shuts;
};

}  // namespace pipit
