#include "testing/cost_simulator/plot.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace pipit {

namespace {
constexpr double width = 760, high = 460, left = 70, right = 250, top = 20, low = 50;

std::string number(double v) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", v);
  return text;
}
std::string tick(double v) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", v);
  return text;
}
std::string line(double x1, double y1, double x2, double y2, char const* colour) {
  return "<line x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" + number(x2) + "\" y2=\"" + number(y2) +
         "\" stroke=\"" + colour + "\"/>\n";
}
std::string label(double x, double y, char const* anchor, std::string const& text, char const* colour = "#333") {
  return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" text-anchor=\"" + anchor + "\" fill=\"" + colour +
         "\">" + text + "</text>\n";
}
}  // namespace

std::string plot(std::string const& x_name, std::vector<double> const& x, std::vector<Curve> const& curves) {
  static char const* const colours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555"};
  double x_least = 1e300, x_most = 0, y_least = 1e300, y_most = 0;
  for (double const v : x)
    if (v > 0) x_least = std::min(x_least, v), x_most = std::max(x_most, v);
  for (Curve const& curve : curves)
    for (double const v : curve.y)
      if (v > 0) y_least = std::min(y_least, v), y_most = std::max(y_most, v);
  std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + number(width) + "\" height=\"" +
                    number(high) + "\" font-family=\"sans-serif\" font-size=\"12\">\n" +
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  if (x_most <= 0 || y_most <= 0)
    return out + label(width / 2, high / 2, "middle", "nothing was measured") + "</svg>\n";
  double const x_from = std::log10(x_least) - 0.05, x_to = std::log10(x_most) + 0.05;
  double const y_from = std::floor(std::log10(y_least)), y_to = std::max(y_from + 1, std::ceil(std::log10(y_most)));
  double const span_x = width - left - right, span_y = high - top - low;
  for (double e = y_from; e <= y_to; e += 1) {
    double const y = top + span_y * (y_to - e) / (y_to - y_from);
    out += line(left, y, left + span_x, y, "#ddd") + label(left - 6, y + 4, "end", tick(std::pow(10, e)));
  }
  for (double const v : x) {
    if (v <= 0) continue;
    double const at = left + span_x * (std::log10(v) - x_from) / (x_to - x_from);
    out += line(at, top + span_y, at, top + span_y + 5, "#333") + label(at, top + span_y + 18, "middle", tick(v));
  }
  out += line(left, top + span_y, left + span_x, top + span_y, "#333");
  out += label(left + span_x / 2, high - 10, "middle", x_name);
  std::size_t n = 0;
  for (Curve const& curve : curves) {
    char const* const colour = colours[n % 6];
    std::string path;
    std::string dots;
    for (std::size_t i = 0; i < x.size() && i < curve.y.size(); ++i) {
      if (x[i] <= 0 || curve.y[i] <= 0) continue;
      std::string const px = number(left + span_x * (std::log10(x[i]) - x_from) / (x_to - x_from));
      std::string const py = number(top + span_y * (y_to - std::log10(curve.y[i])) / (y_to - y_from));
      path += px + "," + py + " ";
      dots += "<circle cx=\"" + px + "\" cy=\"" + py + "\" r=\"3\" fill=\"" + colour + "\"/>\n";
    }
    out += "<polyline fill=\"none\" stroke=\"" + std::string(colour) + "\" points=\"" + path + "\"/>\n" + dots;
    out += label(left + span_x + 14, top + 16 + 18 * static_cast<double>(n), "start", curve.name, colour);
    ++n;
  }
  return out + "</svg>\n";
}

}  // namespace pipit
