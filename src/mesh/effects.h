// What a core asks of its shell. Cores do no I/O themselves (§2.2).
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace pipit {

using WireId = std::uint64_t;

struct Sends {
  struct Send {
    WireId wire;
    std::string bytes;
  };
  std::vector<std::string> dials;
  std::vector<Send> sends;
  std::vector<WireId> shuts;
};

}  // namespace pipit
