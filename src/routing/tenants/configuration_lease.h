// Lease on the configuration (docs/control.md, "Keys that are taken away"). A confirmation says that no configuration
// newer than the one held by this node had been chosen at a given moment. For a limited time after that moment the node
// may accept requests with the API keys that this configuration lists. The moment is the one at which this node sent
// the read request, by its own monotonic clock, so neither the delay of the answer nor the clock of another machine
// matters.
#pragma once
#include <algorithm>

#include "base/guards.h"
#include "base/micros.h"

namespace pipit {

// The lease that API keys are accepted under. Times are monotonic.
class ConfigurationLease {
 public:
  // 'duration': how long a confirmation is valid; 0 if API keys need no lease. 'certain_duration': how long after a
  // confirmation a key or a path that is missing from the configuration may be refused permanently; 0: as long as the
  // lease is valid.
  explicit ConfigurationLease(Micros duration = 0, Micros certain_duration = 0)
      : duration(duration), certain_duration(certain_duration > 0 ? certain_duration : duration) {}

  // Records that the local configuration was the newest one at that moment; an older confirmation is ignored.
  void confirm(Micros at) { confirmed_at_ = std::max(confirmed_at_, at); }
  // False where the lease is switched off: then it is always valid.
  bool required() const { return duration > 0 && guard_enabled(Guard::lease); }
  // Whether requests may be accepted with the keys in the local configuration.
  bool valid(Micros now) const { return !required() || (confirmed_at_ >= 0 && now - confirmed_at_ <= duration); }
  // Whether a key or a path unknown to the local configuration is certainly missing from the newest one as well.
  bool unknown_is_certain(Micros now) const {
    if (certain_duration <= 0 || !guard_enabled(Guard::lease)) return true;
    return confirmed_at_ >= 0 && now - confirmed_at_ <= certain_duration;
  }
  // Records whether a newer configuration than the local one is known to have been chosen.
  void set_superseded(bool superseded) { superseded_ = superseded; }
  // Whether requests may be handled by the local configuration. A node that knows of no newer one serves on without a
  // confirmation, since it may be cut off from all replicas.
  bool may_handle_requests(Micros now) const { return !superseded_ || unknown_is_certain(now); }
  // Time of the latest confirmation; -1 if there was none.
  Micros confirmed_at() const { return confirmed_at_; }
  // Whether to renew the lease: a third of its duration has passed.
  bool renewal_due(Micros now) const { return confirmed_at_ < 0 || now - confirmed_at_ > duration / 3; }
  // Whether to ask every node that could confirm the configuration: half of the duration has passed.
  bool renewal_urgent(Micros now) const { return confirmed_at_ < 0 || now - confirmed_at_ > duration / 2; }

  Micros const duration;
  Micros const certain_duration;

 private:
  Micros confirmed_at_ = -1;
  bool superseded_ = false;
};

}  // namespace pipit
