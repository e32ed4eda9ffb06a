// Hands out this node's part of tenants' limits. A bucket for each tenant fills at the part's rate up to the part's
// depth; what is asked for is granted whole or not at all. A process that begins has empty buckets, so what a former
// incarnation granted is never granted twice.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "routing/tenants/quota_budget.h"

namespace pipit {

struct QuotaDecision {
  bool granted = false;
  Micros wait = 0;  // of a refusal: after which as much may be there
};

class QuotaOwner {
 public:
  explicit QuotaOwner(QuotaTerms terms) : terms_(terms) {}

  // 'share' is this node's part, which it has had since 'active_since'.
  QuotaDecision ask(Tenant const& tenant, std::int64_t count, double share, Micros active_since, Micros now);
  // Counts what is sent once more, whether it is there or not.
  void debit(Tenant const& tenant, std::int64_t count, double share, Micros active_since, Micros now);
  // Takes back what was granted and surely not used.
  void give_back(Tenant const& tenant, std::int64_t count, double share, Micros active_since, Micros now);
  // Forgets tenants of which nobody has asked for longer than a window.
  void remove_idle_buckets(Micros now);

  struct Tally {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t count = 0;  // of requests or tokens that were granted
  };
  std::map<std::string, Tally> tallies;

 private:
  struct Bucket {
    double level = 0;
    Micros updated_at = 0;  // when the level was reckoned
    Micros started_at = 0;
    double granted = 0;  // less what was given back, since it began
    double allowed = 0;  // what may have been granted since then: the first level and all that came in
  };
  Bucket& bucket(Tenant const& tenant, double share, Micros active_since, Micros now);

  QuotaTerms const terms_;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace pipit
