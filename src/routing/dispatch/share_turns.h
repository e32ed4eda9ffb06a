// Smooth weighted round robin over the shares of a route. It keeps to the weights over few requests as well; a random
// choice would miss a share by 0.05 over 300 requests one time in twelve.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/description/description.h"

namespace pipit {

// Picks the share of a route for each request. Its state is per route and local to this node.
class ShareTurns {
 public:
  // 'self' is the name of this node. It decides where the rotation starts, so that not all nodes start with the same
  // share.
  explicit ShareTurns(std::string const& self);

  // The share of the route that the next request goes to. The route's weights must add up to more than 0.
  Route::Share const& next(Route const& route);

 private:
  struct Turns {
    std::vector<std::int64_t> weights;
    std::vector<double> credit;  // in requests, by share
  };
  Turns& turns_of(Route const& route);
  static std::size_t take_turn(Turns& turns);

  std::uint64_t const seed_;
  std::map<std::string, Turns> routes_;  // by name
};

}  // namespace pipit
