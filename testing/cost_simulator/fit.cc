#include "testing/cost_simulator/fit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace pipit {

namespace {
Fit fit_powers(std::vector<double> const& x, std::vector<double> const& y, int low, int power) {
  // Weights 1/y^2: a point counts by how far the line misses it in proportion.
  double w0 = 0, w1 = 0, w2 = 0, v0 = 0, v1 = 0;
  std::size_t n = 0;
  double least = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    if (y[i] <= 0) continue;
    double const w = 1 / (y[i] * y[i]);
    double const s = std::pow(x[i], low);
    double const t = std::pow(x[i], power);
    w0 += w * s * s, w1 += w * s * t, w2 += w * t * t, v0 += w * s * y[i], v1 += w * t * y[i];
    least = n == 0 ? x[i] : std::min(least, x[i]);
    ++n;
  }
  Fit out;
  out.low = low;
  out.power = power;
  double const det = w0 * w2 - w1 * w1;
  if (n == 0) return out;
  if (n > 1 && det > 1e-9 * w0 * w2) {
    out.base = (v0 * w2 - v1 * w1) / det;
    out.slope = (w0 * v1 - w1 * v0) / det;
  } else {
    out.base = v0 / w0;
  }
  // A constant may be below 0, as for what a node sends to all others, but never the line where it was measured.
  if (out.base < 0 && (low > 0 || out.at(least) <= 0)) out.base = 0, out.slope = v1 / w2;
  if (out.slope < 0) out.slope = 0, out.base = v0 / w0;
  for (std::size_t i = 0; i < x.size(); ++i)
    if (y[i] > 0) out.error = std::max(out.error, std::abs(out.at(x[i]) - y[i]) / y[i]);
  return out;
}

Fit fit_best(std::vector<double> const& x, std::vector<double> const& y) {
  Fit best = fit_powers(x, y, 0, 1);
  if (x.size() < 4) return best;
  // Steeper ones only where they are clearly nearer.
  for (std::pair<int, int> const& powers : {std::pair<int, int>{1, 2}, {0, 2}, {0, 3}}) {
    Fit const next = fit_powers(x, y, powers.first, powers.second);
    if (next.error < best.error * 0.8) best = next;
  }
  return best;
}
}  // namespace

double Fit::at(double x) const { return base * std::pow(x, low) + slope * std::pow(x, power); }

std::string Fit::describe(std::string const& name) const {
  char text[96];
  std::string const what = power == 1 ? name : name + "^" + std::to_string(power);
  std::snprintf(text, sizeof text, "%.4g%s + %.4g %s", base, low == 1 ? (" " + name).c_str() : "", slope, what.c_str());
  return text;
}

Fit fit(std::vector<double> const& x, std::vector<double> const& y) {
  Fit out = fit_best(x, y);
  if (x.size() < 4 || y.back() <= 0) return out;
  std::vector<double> const fewer_x(x.begin(), x.end() - 1);
  std::vector<double> const fewer_y(y.begin(), y.end() - 1);
  out.ahead = std::abs(fit_best(fewer_x, fewer_y).at(x.back()) - y.back()) / y.back();
  return out;
}

}  // namespace pipit
