#include "flow/tenants/quota_shares.h"

#include <algorithm>

#include "base/guards.h"

namespace pipit {

double QuotaShares::part_in(std::vector<wire::KeeperT> const& keepers) const {
  for (wire::KeeperT const& keeper : keepers)
    if (keeper.name == self) return 1.0 / static_cast<double>(keepers.size());
  return 0;
}

void QuotaShares::note(Membership const& members, Micros now) {
  if (members.empty() || (known && members.fingerprint() == fingerprint)) return;
  Micros const until = guard(Guard::quota_fence) ? now + fence : now;
  for (Part& part : parts)
    if (part.until < 0) part.until = until;
  // What was in force before this process began is not known: it may have had no part.
  if (!known && members.fingerprint() != settled_before) parts.push_back(Part{0, until});
  known = true;
  fingerprint = members.fingerprint();
  parts.push_back(Part{part_in(members.keepers), -1});
  if (members.joint()) parts.push_back(Part{part_in(members.former), -1});
  names.clear();
  for (wire::KeeperT const& keeper : members.keepers) names.push_back(keeper.name);
}

double QuotaShares::share(Micros now) {
  std::erase_if(parts, [now](Part const& part) { return part.until >= 0 && now > part.until; });
  double out = parts.empty() ? 0 : 1;
  for (Part const& part : parts) out = std::min(out, part.share);
  if (out <= 0)
    since = -1;
  else if (since < 0)
    since = now;
  return out;
}

std::uint64_t QuotaShares::settled(Micros now) {
  share(now);
  bool const all_in_force = std::all_of(parts.begin(), parts.end(), [](Part const& part) { return part.until < 0; });
  return known && all_in_force ? fingerprint : 0;
}

Micros QuotaShares::active_since(Micros now) {
  share(now);
  return since;
}

}  // namespace pipit
