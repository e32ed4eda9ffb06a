// A tenant's limit as the rate and depth of a token bucket, which is split among the nodes that own the quota
// (docs/tenants.md).
#pragma once
#include <algorithm>
#include <cstdint>

#include "base/micros.h"
#include "config/description/description.h"

namespace pipit {

// Tolerance for limits: in any window a tenant may be granted (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaTerms {
  Micros window = seconds(8);
  double overshoot = 0;
  double slack = 0;  // in the limit's unit, requests or tokens
};

// Token bucket parameters of a tenant's limit, in the limit's unit.
struct QuotaBudget {
  double rate = 0;   // per second
  double depth = 0;  // most that accumulates while nothing is requested

  // The budget of all owners together. In any window they allocate at most rate x window + depth, which is what the
  // terms allow less a twentieth of what they allow beyond the rate.
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

// Cost of a request in the unit of the tenant's limit. 'names_tokens': whether the request states its number of tokens;
// otherwise the tenant's default applies.
inline std::int64_t quota_count(Tenant const& tenant, bool names_tokens, std::int64_t tokens) {
  if (tenant.unit == CountingUnit::requests) return 1;
  return names_tokens ? std::max<std::int64_t>(0, tokens) : tenant.default_tokens;
}

}  // namespace pipit
