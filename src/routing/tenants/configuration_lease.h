// A lease on the configuration (docs/control.md, "Keys that are taken away"). A node knows as of which moment nothing
// newer than what it holds had been chosen; for a while after that moment it may let requests run with the keys that it
// knows. The moment is when the question left here, by the monotonic clock of this node, so neither the way of an
// answer nor a clock of another machine matters.
#pragma once
#include <algorithm>

#include "base/guards.h"
#include "base/micros.h"

namespace pipit {

class ConfigurationLease {
 public:
  // 'span': for how long a confirmation holds; 0: none is needed. 'certain_span': for how long what the configuration
  // does not know may be refused for good; 0: as long as the lease holds.
  explicit ConfigurationLease(Micros span = 0, Micros certain_span = 0)
      : span(span), certain_span(certain_span > 0 ? certain_span : span) {}

  // What is held here was the newest configuration at that moment.
  void confirm(Micros at) { confirmed_at_ = std::max(confirmed_at_, at); }
  bool needed() const { return span > 0 && guard(Guard::lease); }
  bool holds(Micros now) const { return !needed() || (confirmed_at_ >= 0 && now - confirmed_at_ <= span); }
  // Whether a key or a path that is not known is surely not in the newest configuration either.
  bool certain(Micros now) const { return !needed() || (confirmed_at_ >= 0 && now - confirmed_at_ <= certain_span); }
  // When it was last confirmed; -1 for never.
  Micros confirmed() const { return confirmed_at_; }
  // A third of it has gone by: it is time to have it confirmed again.
  bool ageing(Micros now) const { return confirmed_at_ < 0 || now - confirmed_at_ > span / 3; }
  // Half of it has gone by: whoever may know is asked.
  bool urgent(Micros now) const { return confirmed_at_ < 0 || now - confirmed_at_ > span / 2; }

  Micros const span;
  Micros const certain_span;

 private:
  Micros confirmed_at_ = -1;
};

}  // namespace pipit
