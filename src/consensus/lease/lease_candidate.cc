#include "consensus/lease/lease_candidate.h"

namespace pipit {

namespace {
constexpr Micros reply_timeout = millis(200);  // after this no further reply to a request is expected
constexpr Micros min_backoff = millis(200);
constexpr Micros max_random_backoff = lease_term / 2;  // added to `min_backoff`
constexpr Micros renewal_interval = lease_term / 2;
constexpr Micros usable_term = lease_term * 4 / 5;
}  // namespace

void LeaseCandidate::tick(Micros now, Membership const& members, std::vector<OutgoingMessage>& out) {
  if (members.empty()) return;
  // Split vote: rival candidates were each given the lease by a minority of the replicas. A candidate that did not
  // reach a quorum releases these leases after `reply_timeout` and backs off for a random time. Otherwise the leases of
  // a few rivals would overlap all the time, and no candidate would ever find a majority free.
  bool const is_split = requested_at_ >= 0 && !holds(now) && !granted_by_.empty() && !members.is_quorum(granted_by_);
  if (is_split && now - requested_at_ >= reply_timeout) {
    send_requests(0, members, out);
    requested_at_ = -1;
    granted_by_.clear();
    next_request_at_ =
        now + min_backoff + static_cast<Micros>(random_.below(static_cast<std::uint64_t>(max_random_backoff)));
    return;
  }
  if (now < next_request_at_) return;
  requested_at_ = now;
  next_request_at_ = now + renewal_interval;
  granted_by_.clear();
  send_requests(lease_term, members, out);
}

void LeaseCandidate::release(Membership const& members, std::vector<OutgoingMessage>& out) {
  if (requested_at_ < 0) return;
  send_requests(0, members, out);
  requested_at_ = -1;
  expires_at_ = -1;
  granted_by_.clear();
}

void LeaseCandidate::send_requests(Micros term, Membership const& members, std::vector<OutgoingMessage>& out) {
  ++request_id_;
  for (std::string const& name : members.participant_names()) {
    wire::LeaseRequestT request;
    request.request_id = request_id_;
    request.role = role_;
    request.term = term;
    out.push_back(message_to(name, std::move(request)));
  }
}

void LeaseCandidate::handle_reply(std::string const& from, wire::LeaseReplyT const& reply, Micros now,
                                  Membership const& members) {
  if (reply.role != role_ || reply.request_id != request_id_ || !reply.ok || !members.has_participant(from, reply.disk))
    return;
  granted_by_[from] = reply.disk;
  if (members.is_quorum(granted_by_)) expires_at_ = requested_at_ + usable_term;
}

}  // namespace pipit
