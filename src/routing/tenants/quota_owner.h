// Allocates quota from this node's share of tenants' limits. A token bucket for each tenant fills at the share of the
// rate up to the share of the depth; a request is granted in full or not at all. A process starts with empty buckets,
// so what a former incarnation granted is never granted twice.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "routing/tenants/quota_budget.h"

namespace pipit {

// Answer to a quota request.
struct QuotaDecision {
  bool granted = false;
  Micros wait = 0;  // if refused: time until the bucket may have the amount
};

// Token buckets of this node, one for each tenant that was asked for.
class QuotaOwner {
 public:
  explicit QuotaOwner(QuotaTerms terms) : terms_(terms) {}

  // Allocates or refuses 'count' units. 'share': this node's share of the limit, 0 to 1, held since 'active_since'.
  QuotaDecision ask(Tenant const& tenant, std::int64_t count, double share, Micros active_since, Micros now);
  // Counts a retried attempt, even if that makes the bucket's level negative.
  void debit(Tenant const& tenant, std::int64_t count, double share, Micros active_since, Micros now);
  // Returns quota that was granted and certainly not used.
  void give_back(Tenant const& tenant, std::int64_t count, double share, Micros active_since, Micros now);
  // Removes buckets that were not used for two windows, if there are many.
  void remove_idle_buckets(Micros now);

  // Counters of one tenant since the start of the process.
  struct Tally {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t count = 0;  // granted requests or tokens
  };
  std::map<std::string, Tally> tallies;

 private:
  struct Bucket {
    double level = 0;
    Micros updated_at = 0;  // when the level was computed
    Micros started_at = 0;
    double granted = 0;  // granted since started_at, less what was returned
    double allowed = 0;  // upper limit for 'granted': the first level and all refills
  };
  Bucket& bucket(Tenant const& tenant, double share, Micros active_since, Micros now);

  QuotaTerms const terms_;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace pipit
