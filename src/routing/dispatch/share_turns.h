// Whose turn it is among the weighted parts of a route. PromptParts take turns by what they are owed, so that a part's
// share holds over few requests as well; drawn by chance, 300 requests would miss it by 0.05 one time in twelve.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/description/description.h"

namespace pipit {

class ShareTurns {
 public:
  // 'self' sets many nodes apart: each begins at another place, so that they don't all begin with the same part.
  explicit ShareTurns(std::string const& self);

  // The part of the route that the next request goes to; the weights add up to more than 0.
  Route::Share const& next(Route const& route);

 private:
  struct Turns {
    std::vector<std::int64_t> weights;
    std::vector<double> credit;  // requests, by part
  };
  Turns& turns_of(Route const& route);
  static std::size_t take_turn(Turns& turns);

  std::uint64_t const seed_;
  std::map<std::string, Turns> routes_;  // by name
};

}  // namespace pipit
