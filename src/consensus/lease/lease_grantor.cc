#include "consensus/lease/lease_grantor.h"

namespace pipit {

bool LeaseGrantor::handle_request(std::string const& candidate, std::string const& role, Micros term, Micros now) {
  if (term == 0) {
    if (leases_[role].candidate == candidate) leases_.erase(role);
    return false;
  }
  if (term < 0 || term > lease_term || now - started_at_ < lease_term) return false;
  Lease& lease = leases_[role];
  if (lease.candidate != candidate && now < lease.expires_at) return false;
  lease = Lease{candidate, now + term};
  return true;
}

}  // namespace pipit
