#include "routing/tenants/quota_owner.h"

#include <algorithm>
#include <cmath>

#include "base/invariants.h"

namespace pipit {

namespace {
constexpr double micros_per_second = 1e6;
constexpr std::size_t max_buckets = 100000;  // idle buckets are removed above this number
constexpr Micros longest_wait = seconds(3600);
}  // namespace

QuotaOwner::Bucket& QuotaOwner::bucket(Tenant const& tenant, double share, Micros active_since, Micros now) {
  QuotaBudget const budget = QuotaBudget::of(tenant, terms_);
  double const rate = budget.rate * share;
  double const depth = budget.depth * share;
  std::map<std::string, Bucket>::iterator position = buckets_.find(tenant.name);
  if (position != buckets_.end() && position->second.started_at < active_since) {
    // This node had no share for a time, during which other nodes may have granted it.
    buckets_.erase(position);
    position = buckets_.end();
  }
  if (position == buckets_.end()) {
    // First request for the tenant: the bucket has been filling since this node got its share.
    Bucket fresh;
    fresh.started_at = active_since;
    fresh.updated_at = active_since;
    position = buckets_.emplace(tenant.name, fresh).first;
  }
  Bucket& out = position->second;
  double const refilled = rate * static_cast<double>(std::max<Micros>(0, now - out.updated_at)) / micros_per_second;
  double const level = std::min(depth, out.level + refilled);
  out.allowed += std::max(0.0, level - out.level);
  out.level = level;
  out.updated_at = now;
  return out;
}

QuotaDecision QuotaOwner::ask(Tenant const& tenant, std::int64_t count, double share, Micros active_since, Micros now) {
  Bucket& from = bucket(tenant, share, active_since, now);
  Tally& tally = tallies[tenant.name];
  double const wanted = static_cast<double>(count);
  if (from.level >= wanted) {
    from.level -= wanted;
    from.granted += wanted;
    ++tally.granted;
    tally.count += static_cast<std::uint64_t>(count);
    check_invariant(from.granted <= from.allowed + 1, Invariant::quota_kept, [&] {
      return "tenant " + tenant.name + ": granted " + std::to_string(from.granted) + ", allowed " +
             std::to_string(from.allowed);
    });
    return QuotaDecision{true, 0};
  }
  ++tally.refused;
  double const rate = static_cast<double>(tenant.rate) * share;
  QuotaDecision out;
  double const shortfall = wanted - from.level;
  out.wait =
      rate > 0 ? static_cast<Micros>(std::min(static_cast<double>(longest_wait), shortfall / rate * micros_per_second))
               : longest_wait;
  return out;
}

void QuotaOwner::debit(Tenant const& tenant, std::int64_t count, double share, Micros active_since, Micros now) {
  bucket(tenant, share, active_since, now).level -= static_cast<double>(count);
}

void QuotaOwner::give_back(Tenant const& tenant, std::int64_t count, double share, Micros active_since, Micros now) {
  Bucket& to = bucket(tenant, share, active_since, now);
  double const back = std::min(static_cast<double>(count), to.granted);
  to.granted -= back;
  to.level = std::min(QuotaBudget::of(tenant, terms_).depth * share, to.level + back);
}

void QuotaOwner::remove_idle_buckets(Micros now) {
  if (buckets_.size() < max_buckets) return;
  std::erase_if(buckets_, [&](std::pair<std::string const, Bucket> const& item) {
    return now - item.second.updated_at > terms_.window * 2;
  });
}

}  // namespace pipit
