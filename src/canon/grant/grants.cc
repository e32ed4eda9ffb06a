#include "canon/grant/grants.h"

namespace pipit {

namespace {
constexpr Micros answers_within = millis(200);  // all answers to a question are in by then
}

bool Granter::ask(std::string const& who, std::string const& duty, Micros term, Micros now) {
  if (term == 0) {
    if (held[duty].who == who) held.erase(duty);
    return false;
  }
  if (term < 0 || term > grant_term || now - born < grant_term) return false;
  Held& item = held[duty];
  if (item.who != who && now < item.until) return false;
  item = Held{who, now + term};
  return true;
}

void Holder::tick(Micros now, Membership const& members, std::vector<Letter>& out) {
  if (members.empty()) return;
  // Rivals each hold a part. Whoever fails gives its part back as soon as the answers are in, and steps aside for a
  // random while; else the parts of a few rivals overlap all the time, and nobody ever finds a majority free.
  bool const part = asked >= 0 && !holds(now) && !yes.empty() && !members.quorum(yes);
  if (part && now - asked >= answers_within) {
    send(0, members, out);
    asked = -1;
    yes.clear();
    next = now + millis(200) + static_cast<Micros>(dice.below(static_cast<std::uint64_t>(grant_term / 2)));
    return;
  }
  if (now < next) return;
  asked = now;
  next = now + grant_term / 2;
  yes.clear();
  send(grant_term, members, out);
}

void Holder::give_back(Membership const& members, std::vector<Letter>& out) {
  if (asked < 0) return;
  send(0, members, out);
  asked = -1;
  until = -1;
  yes.clear();
}

void Holder::send(Micros term, Membership const& members, std::vector<Letter>& out) {
  ++req;
  for (std::string const& name : members.names()) {
    wire::GrantAskT ask;
    ask.req = req;
    ask.duty = duty;
    ask.term = term;
    out.push_back(letter(name, std::move(ask)));
  }
}

void Holder::take(std::string const& from, wire::GrantAnsT const& ans, Micros now, Membership const& members) {
  if (ans.duty != duty || ans.req != req || !ans.ok || !members.concerns(from, ans.disk)) return;
  yes[from] = ans.disk;
  if (members.quorum(yes)) until = asked + grant_term * 4 / 5;
}

}  // namespace pipit
