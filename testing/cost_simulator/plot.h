// A plot of costs as an SVG, both axes in logarithms (docs/CAPACITY.md).
#pragma once
#include <string>
#include <vector>

namespace pipit {

struct Curve {
  std::string name;
  std::vector<double> y;  // one for each x; what is not above 0 is left out
};

std::string plot(std::string const& x_name, std::vector<double> const& x, std::vector<Curve> const& curves);

}  // namespace pipit
