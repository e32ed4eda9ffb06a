// Fuzzes the two readers of messages, callers' requests and workers' answers (docs/requests.md), and the two of
// configurations with tenants (docs/tenants.md), with seeded bytes.
#pragma once
#include <cstdint>
#include <string>

namespace pipit {

struct FuzzReport {
  std::uint64_t inputs = 0;
  std::uint64_t complete_messages = 0;  // messages that were read whole
  std::uint64_t refused = 0;            // inputs that were refused
  std::uint64_t random_inputs = 0;      // inputs of bytes by chance alone
  std::string fault;                    // what was wrong, with the input; empty for nothing
};

// One input of that seed. Reads it in one piece, in a few and byte by byte; all must come to the same.
void fuzz_readers(std::uint64_t seed, FuzzReport& report);
// One configuration of that seed: it is read the same twice or refused with a fault, which never shows a key.
void fuzz_configurations(std::uint64_t seed, FuzzReport& report);

}  // namespace pipit
