#include "consensus/lease/lease.h"

namespace pipit {

namespace {
constexpr Micros answers_within = millis(200);  // all answers to a question are in by then
}

bool LeaseGrantor::ask(std::string const& who, std::string const& duty, Micros term, Micros now) {
  if (term == 0) {
    if (held_[duty].who == who) held_.erase(duty);
    return false;
  }
  if (term < 0 || term > lease_term || now - started_at_ < lease_term) return false;
  Held& item = held_[duty];
  if (item.who != who && now < item.until) return false;
  item = Held{who, now + term};
  return true;
}

void LeaseHolder::tick(Micros now, Membership const& members, std::vector<OutgoingMessage>& out) {
  if (members.empty()) return;
  // Rivals each hold a part. Whoever fails gives its part back as soon as the answers are in, and steps aside for a
  // random while; else the parts of a few rivals overlap all the time, and nobody ever finds a majority free.
  bool const part = asked_ >= 0 && !holds(now) && !yes_.empty() && !members.quorum(yes_);
  if (part && now - asked_ >= answers_within) {
    send(0, members, out);
    asked_ = -1;
    yes_.clear();
    next_ = now + millis(200) + static_cast<Micros>(random_.below(static_cast<std::uint64_t>(lease_term / 2)));
    return;
  }
  if (now < next_) return;
  asked_ = now;
  next_ = now + lease_term / 2;
  yes_.clear();
  send(lease_term, members, out);
}

void LeaseHolder::give_back(Membership const& members, std::vector<OutgoingMessage>& out) {
  if (asked_ < 0) return;
  send(0, members, out);
  asked_ = -1;
  until_ = -1;
  yes_.clear();
}

void LeaseHolder::send(Micros term, Membership const& members, std::vector<OutgoingMessage>& out) {
  ++request_id_;
  for (std::string const& name : members.names()) {
    wire::LeaseRequestT ask;
    ask.request_id = request_id_;
    ask.duty = duty_;
    ask.term = term;
    out.push_back(message_to(name, std::move(ask)));
  }
}

void LeaseHolder::take(std::string const& from, wire::LeaseReplyT const& ans, Micros now, Membership const& members) {
  if (ans.duty != duty_ || ans.request_id != request_id_ || !ans.ok || !members.concerns(from, ans.disk)) return;
  yes_[from] = ans.disk;
  if (members.quorum(yes_)) until_ = asked_ + lease_term * 4 / 5;
}

}  // namespace pipit
