#include "routing/tenants/quota_shares.h"

#include <algorithm>

#include "base/guards.h"

namespace pipit {

double QuotaShares::share_in(std::vector<wire::ReplicaT> const& replicas) const {
  for (wire::ReplicaT const& replica : replicas)
    if (replica.name == self_) return 1.0 / static_cast<double>(replicas.size());
  return 0;
}

void QuotaShares::note(Membership const& members, Micros now) {
  if (members.empty() || (known_ && members.fingerprint() == fingerprint_)) return;
  Micros const until = guard_enabled(Guard::quota_handover) ? now + superseded_lifetime_ : now;
  for (TimedShare& item : shares_)
    if (item.until < 0) item.until = until;
  // The set in force before this process started is unknown; this node may have had no share in it.
  if (!known_ && members.fingerprint() != stored_fingerprint_) shares_.push_back(TimedShare{0, until});
  known_ = true;
  fingerprint_ = members.fingerprint();
  shares_.push_back(TimedShare{share_in(members.replicas), -1});
  if (members.is_joint()) shares_.push_back(TimedShare{share_in(members.former), -1});
  owners_.clear();
  for (wire::ReplicaT const& replica : members.replicas) owners_.push_back(replica.name);
}

double QuotaShares::share(Micros now) {
  std::erase_if(shares_, [now](TimedShare const& item) { return item.until >= 0 && now > item.until; });
  double out = shares_.empty() ? 0 : 1;
  for (TimedShare const& item : shares_) out = std::min(out, item.share);
  if (out <= 0)
    active_since_ = -1;
  else if (active_since_ < 0)
    active_since_ = now;
  return out;
}

std::uint64_t QuotaShares::settled(Micros now) {
  share(now);
  bool const all_in_force =
      std::all_of(shares_.begin(), shares_.end(), [](TimedShare const& item) { return item.until < 0; });
  return known_ && all_in_force ? fingerprint_ : 0;
}

Micros QuotaShares::active_since(Micros now) {
  share(now);
  return active_since_;
}

}  // namespace pipit
