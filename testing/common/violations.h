// How the programs of the proof end on violated invariants (docs/invariants.md).
#pragma once
#include <cstdio>

#include "base/invariants.h"

namespace pipit {

// Prints how many invariants were violated in this process; true when any was.
inline bool report_violations() {
  if (violation_count() == 0) return false;
  std::printf("%llu violations of invariants\n", static_cast<unsigned long long>(violation_count()));
  return true;
}

}  // namespace pipit
