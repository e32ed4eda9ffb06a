// What a tenant's limit allows, as a rate and a depth that are split among the nodes that hand it out
// (docs/tenants.md).
#pragma once
#include <algorithm>
#include <cstdint>

#include "base/micros.h"
#include "config/description/description.h"

namespace pipit {

// How strictly limits are judged: in each window a tenant may have (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaTerms {
  Micros window = seconds(8);
  double overshoot = 0;
  double slack = 0;  // in what the limit counts
};

struct QuotaBudget {
  double rate = 0;   // a second
  double depth = 0;  // that may gather while nothing is asked for

  // Over all owners of the limit. In any window they give rate x window + depth at most, which is what the terms allow
  // less a twentieth of what they allow beyond the rate.
  static QuotaBudget of(Tenant const& tenant, QuotaTerms const& terms) {
    double const window = static_cast<double>(terms.window) / 1e6;
    double const rate = static_cast<double>(tenant.rate);
    double const steady = rate * window;
    double const allowed = (steady + static_cast<double>(tenant.burst)) * (1 + terms.overshoot) + terms.slack;
    return QuotaBudget{rate, (allowed - steady) * usable_fraction};
  }

 private:
  static constexpr double usable_fraction = 0.95;
};

// What a request counts for in a tenant's limit.
inline std::int64_t quota_count(Tenant const& tenant, bool names_tokens, std::int64_t tokens) {
  if (tenant.unit == CountingUnit::requests) return 1;
  return names_tokens ? std::max<std::int64_t>(0, tokens) : tenant.plain_tokens;
}

}  // namespace pipit
