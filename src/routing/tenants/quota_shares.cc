#include "routing/tenants/quota_shares.h"

#include <algorithm>

#include "base/guards.h"

namespace pipit {

double QuotaShares::part_in(std::vector<wire::ReplicaT> const& replicas) const {
  for (wire::ReplicaT const& replica : replicas)
    if (replica.name == self_) return 1.0 / static_cast<double>(replicas.size());
  return 0;
}

void QuotaShares::note(Membership const& members, Micros now) {
  if (members.empty() || (known_ && members.fingerprint() == fingerprint_)) return;
  Micros const until = guard(Guard::quota_handover) ? now + superseded_lifetime_ : now;
  for (Part& part : parts_)
    if (part.until < 0) part.until = until;
  // What was in force before this process began is not known: it may have had no part.
  if (!known_ && members.fingerprint() != stored_fingerprint_) parts_.push_back(Part{0, until});
  known_ = true;
  fingerprint_ = members.fingerprint();
  parts_.push_back(Part{part_in(members.replicas), -1});
  if (members.is_joint()) parts_.push_back(Part{part_in(members.former), -1});
  names_.clear();
  for (wire::ReplicaT const& replica : members.replicas) names_.push_back(replica.name);
}

double QuotaShares::share(Micros now) {
  std::erase_if(parts_, [now](Part const& part) { return part.until >= 0 && now > part.until; });
  double out = parts_.empty() ? 0 : 1;
  for (Part const& part : parts_) out = std::min(out, part.share);
  if (out <= 0)
    since_ = -1;
  else if (since_ < 0)
    since_ = now;
  return out;
}

std::uint64_t QuotaShares::settled(Micros now) {
  share(now);
  bool const all_in_force = std::all_of(parts_.begin(), parts_.end(), [](Part const& part) { return part.until < 0; });
  return known_ && all_in_force ? fingerprint_ : 0;
}

Micros QuotaShares::active_since(Micros now) {
  share(now);
  return since_;
}

}  // namespace pipit
