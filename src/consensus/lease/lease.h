// Leases on duties that one node does: a majority of replicas gives them for a term; the holder stops early (§5.7).
#pragma once
#include <map>
#include <string>

#include "consensus/register/proposer.h"

namespace pipit {

// Shorter than the time after which a replica counts as lost, so that the loss of whoever holds the duty delays
// nothing.
constexpr Micros lease_term = millis(2400);

// On a replica: who holds what, in memory only. A replica that just began gives no lease for a whole term,
// since it may have given one just before it ended.
class LeaseGrantor {
 public:
  explicit LeaseGrantor(Micros started_at) : started_at_(started_at) {}
  // A term of 0 gives the lease back.
  bool ask(std::string const& who, std::string const& duty, Micros term, Micros now);

 private:
  struct Held {
    std::string who;
    Micros until = 0;
  };
  Micros const started_at_;
  std::map<std::string, Held> held_;
};

// On the node that wants a duty.
class LeaseHolder {
 public:
  LeaseHolder(std::string duty, std::uint64_t seed)
      : duty_(std::move(duty)), random_(derived_seed(seed, duty_)), request_id_(random_.next() >> 8) {}
  void tick(Micros now, Membership const& members, std::vector<OutgoingMessage>& out);
  // A holder that is about to end lets the next one begin at once.
  void give_back(Membership const& members, std::vector<OutgoingMessage>& out);
  void take(std::string const& from, wire::LeaseReplyT const& ans, Micros now, Membership const& members);
  // The holder's own end is earlier than the grantors' by a fifth, for clocks that run at different rates.
  bool holds(Micros now) const { return now < until_; }

 private:
  void send(Micros term, Membership const& members, std::vector<OutgoingMessage>& out);

  std::string const duty_;
  RandomSource random_;
  std::uint64_t request_id_;
  Micros next_ = 0;
  Micros asked_ = -1;
  Micros until_ = -1;
  Voters yes_;
};

}  // namespace pipit
