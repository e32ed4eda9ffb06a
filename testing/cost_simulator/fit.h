// Lines through measured points: what a cost grows with, and how far the line is from the points (docs/CAPACITY.md).
#pragma once
#include <string>
#include <vector>

namespace pipit {

// y = base * x^low + slope * x^power: a constant or a line, and a term that grows faster, which is at least 0.
struct Fit {
  double base = 0;
  int low = 0;
  double slope = 0;
  int power = 1;
  double error = 0;   // the largest distance from a point, as a part of that point
  double ahead = -1;  // how far the line through all but the last point misses the last; -1 with less than four
  double at(double x) const;
  std::string describe(std::string const& name) const;
};

// Least squares of the relative distances, over the pairs of powers 0,1 0,2 0,3 and 1,2. Points that are 0 do not
// count.
Fit fit(std::vector<double> const& x, std::vector<double> const& y);

}  // namespace pipit
