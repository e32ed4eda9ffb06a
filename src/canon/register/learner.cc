#include "canon/register/learner.h"

namespace pipit {

bool Learner::adopt(wire::ValueT const& fresh, Micros now) {
  know(ring_of(fresh));
  // Every change raises the turn, and those of operators the serial with it.
  if (value && value->turn >= fresh.turn) return false;
  value = fresh;
  return true;
}

void Learner::poll(Micros now, std::vector<std::string> const& keepers, Micros age, std::vector<Letter>& out) {
  split = false;
  for (std::pair<std::string const, Vote> const& a : votes)
    for (std::pair<std::string const, Vote> const& b : votes)
      if (!same(a.second.ballot, b.second.ballot)) split = true;
  if (!set.keepers.empty() && votes.size() < set.keepers.size()) split = false;
  ++req;
  asked = now;
  votes.clear();
  wanted.reset();
  for (std::string const& name : keepers) {
    wire::PeekT ask;
    ask.req = req;
    ask.age = age;
    ask.epoch = set.epoch;
    out.push_back(letter(name, std::move(ask)));
  }
}

std::optional<wire::ValueT> Learner::take(std::string const& from, wire::PeekedT const& ans, Micros now,
                                          std::vector<Letter>& out) {
  sights[from] = Sight{ans.disk, ans.formed, ans.ballot, ans.serial, now};
  if (ans.formed && ans.epoch > set.epoch) {
    Ring ring;
    ring.epoch = ans.epoch;
    for (std::unique_ptr<wire::KeeperT> const& item : ans.keepers) ring.keepers.push_back(*item);
    know(ring);
  }
  if (ans.value && wanted && ans.req == full_req && same(ans.ballot, wanted->ballot)) {
    // The majority agreed on this ballot, so this is the value that was chosen.
    wire::ValueT fresh = *ans.value;
    wanted.reset();
    sure = asked;
    if (adopt(fresh, now)) return fresh;
    return std::nullopt;
  }
  if (ans.req != req || ans.value || !ans.formed || !set.holds(from, ans.disk)) return std::nullopt;
  votes[from] = Vote{ans.ballot, ans.turn};
  std::size_t n = 0;
  for (std::pair<std::string const, Vote> const& item : votes)
    if (same(item.second.ballot, ans.ballot) && set.holds(item.first, sights[item.first].disk)) ++n;
  if (n < set.majority()) return std::nullopt;
  if (value && value->turn >= ans.turn) {
    sure = asked;
    return std::nullopt;
  }
  if (!wanted) {
    wanted = votes[from];
    full_req = req;
    wire::PeekT ask;
    ask.req = req;
    ask.full = true;
    out.push_back(letter(from, std::move(ask)));
  }
  return std::nullopt;
}

}  // namespace pipit
