// Seeded fuzzing of the two HTTP readers, for callers' requests and workers' answers (docs/requests.md), and of the two
// readers of configurations with tenants (docs/tenants.md).
#pragma once
#include <cstdint>
#include <string>

namespace pipit {

// The counts of a fuzzing run.
struct FuzzReport {
  std::uint64_t inputs = 0;
  std::uint64_t complete_messages =
      0;                            // HTTP messages that were read to their end, and configurations that were accepted
  std::uint64_t refused = 0;        // inputs that were refused
  std::uint64_t random_inputs = 0;  // inputs of random bytes, not derived from a valid message
  std::string fault;                // the last fault with its seed and input; empty if there was none
};

// Reads one HTTP input derived from the seed in one piece, in a few pieces and byte by byte. The result must be the
// same each time. Adds to the report.
void fuzz_readers(std::uint64_t seed, FuzzReport& report);
// Reads one configuration derived from the seed twice. It must be accepted or refused in the same way both times, and
// the error must not contain a key. Adds to the report.
void fuzz_configurations(std::uint64_t seed, FuzzReport& report);

}  // namespace pipit
