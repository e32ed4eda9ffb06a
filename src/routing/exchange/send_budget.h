// A share of a link that messages of one kind may take.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/micros.h"

namespace pipit {

// Spaces messages so that their bytes stay within a rate. Not synchronized.
class SendBudget {
 public:
  // 0 bytes per second: no limit.
  void set_rate(std::uint64_t bytes_per_second) { rate_ = bytes_per_second; }
  bool limited() const { return rate_ > 0; }
  // Whether all that was sent before has been within the rate.
  bool available(Micros now) const { return now >= free_at_; }
  // Bytes that the rate allows within a span.
  std::size_t allowance(Micros span) const {
    return static_cast<std::size_t>(rate_ * static_cast<std::uint64_t>(span) / 1000000);
  }
  void spend(std::size_t bytes, Micros now) {
    if (!limited()) return;
    free_at_ = std::max(free_at_, now) + static_cast<Micros>(bytes * 1000000 / rate_);
  }

 private:
  std::uint64_t rate_ = 0;
  Micros free_at_ = 0;
};

}  // namespace pipit
