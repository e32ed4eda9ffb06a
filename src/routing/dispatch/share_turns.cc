#include "routing/dispatch/share_turns.h"

#include <algorithm>
#include <numeric>

#include "base/hash.h"

namespace pipit {

namespace {
constexpr std::size_t routes_max = 4096;  // that are remembered; those of former configurations go with the rest
constexpr std::uint64_t initial_turns_max = 997;
}  // namespace

ShareTurns::ShareTurns(std::string const& self) : seed_(hash_text(self)) {}

ShareTurns::Turns& ShareTurns::turns_of(Route const& route) {
  if (routes_.size() > routes_max) routes_.clear();
  Turns& turns = routes_[route.name];
  std::vector<std::int64_t> weights;
  for (Route::Share const& share : route.shares) weights.push_back(share.weight);
  if (turns.weights == weights) return turns;
  turns.weights = std::move(weights);
  turns.credit.assign(turns.weights.size(), 0);
  // Somewhere in the middle of its turns, so that few requests at many nodes are spread like many at one.
  for (std::uint64_t n = hash_text(route.name, seed_) % initial_turns_max; n > 0; --n) take_turn(turns);
  return turns;
}

// Every part is owed its share of one more request; the one that is owed most gets it.
std::size_t ShareTurns::take_turn(Turns& turns) {
  std::int64_t const sum = std::accumulate(turns.weights.begin(), turns.weights.end(), std::int64_t{0});
  std::size_t best = turns.weights.size();
  for (std::size_t n = 0; n < turns.weights.size(); ++n) {
    if (turns.weights[n] <= 0) continue;
    turns.credit[n] += static_cast<double>(turns.weights[n]) / static_cast<double>(sum);
    if (best == turns.weights.size() || turns.credit[n] > turns.credit[best]) best = n;
  }
  turns.credit[best] -= 1;
  return best;
}

Route::Share const& ShareTurns::next(Route const& route) {
  if (route.shares.size() == 1) return route.shares.front();
  return route.shares[take_turn(turns_of(route))];
}

}  // namespace pipit
