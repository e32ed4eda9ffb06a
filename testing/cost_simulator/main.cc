// cost_simulator: runs fleets of the product's cores at several sizes and prints what they cost, and what that grows
// with (§10.5, docs/CAPACITY.md).
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "testing/common/violations.h"
#include "testing/cost_simulator/fit.h"
#include "testing/cost_simulator/plot.h"
#include "testing/cost_simulator/scale.h"

namespace pipit {
namespace {

namespace options = boost::program_options;

std::vector<std::string> parts_of(std::string const& text) {
  std::vector<std::string> out;
  std::stringstream list(text);
  std::string part;
  while (std::getline(list, part, ',')) out.push_back(part);
  return out;
}

struct Flag {
  char const* name;
  double least;
  double most;
  bool whole;
  std::string text;
  std::vector<double> values;
};

bool read(Flag& flag) {
  for (std::string const& part : parts_of(flag.text)) {
    std::size_t used = 0;
    double value = -1;
    try {
      value = std::stod(part, &used);
    } catch (std::exception const&) {
      used = 0;
    }
    bool const odd = flag.whole && value != static_cast<double>(static_cast<long>(value));
    if (used == 0 || used != part.size() || odd || !(value >= flag.least) || value > flag.most) {
      std::fprintf(stderr, "cost_simulator: %s: '%s' is not a number of at least %g and at most %g\n", flag.name,
                   part.c_str(), flag.least, flag.most);
      return false;
    }
    flag.values.push_back(value);
  }
  if (!flag.values.empty()) return true;
  std::fprintf(stderr, "cost_simulator: %s: a number is missing\n", flag.name);
  return false;
}

// What is printed only when all is asked for: single kinds outside the calm.
bool detail(std::string const& name) {
  return std::count(name.begin(), name.end(), '.') > 2 && name.rfind("calm.", 0) != 0;
}

double memory() { return static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGESIZE)); }

int run(int argc, char** argv) {
  Flag flags[] = {{"nodes", 5, 100000, true, "12", {}},       {"workers", 1, 100000, true, "18", {}},
                  {"prefixes", 1, 10000000, true, "100", {}}, {"sessions", 0, 100000000, true, "0", {}},
                  {"routes", 1, 20000, true, "3", {}},        {"rate", 0, 10000, false, "2", {}}};
  double span = 8, limit = 300;
  std::uint64_t seed = 1;
  int replicas = 3;
  std::string file, phases = "change,restart,cut,region", extrapolated = "12,93,1400";
  options::options_description keys(
      "cost_simulator: what fleets of the product's cores cost under virtual time, by size");
  keys.add_options()("nodes", options::value(&flags[0].text),
                     "nodes, keepers among them; one flag of these takes a list")(
      "workers", options::value(&flags[1].text), "workers in the platform's list")(
      "prefixes", options::value(&flags[2].text), "openings that every index holds from the start")(
      "sessions", options::value(&flags[3].text), "paths that go on from an opening, held as well")(
      "routes", options::value(&flags[4].text), "lanes in the description")("rate", options::value(&flags[5].text),
                                                                            "requests a second for each router node")(
      "seconds", options::value(&span), "of virtual time in each phase")("seed", options::value(&seed), "")(
      "keepers", options::value(&replicas), "of the nodes")(
      "phases", options::value(&phases), "what comes after the calm: change, restart, cut, region; calm for no more")(
      "limit", options::value(&limit), "seconds of processor time for each size")(
      "at", options::value(&extrapolated), "where the lines through the list are read off")(
      "plot", options::value(&file), "an SVG of the costs")(
      "all", "kinds of frames in every phase, not in the calm alone")("help", "");
  ScalePlan plan;
  std::vector<double> places;
  bool all = false;
  try {
    options::variables_map map;
    options::store(options::parse_command_line(argc, argv, keys), map);
    options::notify(map);
    if (map.count("help")) return std::cout << keys, 0;
    all = map.count("all") > 0;
    for (std::string const& part : parts_of(extrapolated)) places.push_back(std::stod(part));
  } catch (options::error const& bad) {
    return std::fprintf(stderr, "cost_simulator: %s\n", bad.what()), 2;
  } catch (std::exception const&) {
    return std::fprintf(stderr, "cost_simulator: at: '%s' is no list of numbers\n", extrapolated.c_str()), 2;
  }
  Flag* swept = &flags[0];
  int lists = 0;
  if (replicas < 1 || replicas > 21) return std::fprintf(stderr, "cost_simulator: keepers must be 1 to 21\n"), 2;
  flags[0].least = replicas + 2;
  for (Flag& flag : flags) {
    if (!read(flag)) return 2;
    if (flag.values.size() > 1) swept = &flag, ++lists;
  }
  if (lists > 1) return std::fprintf(stderr, "cost_simulator: only one flag takes a list at a time\n"), 2;
  if (!(span > 0 && span <= 600) || !(limit > 0 && limit <= 3600))
    return std::fprintf(stderr, "cost_simulator: seconds must be above 0, at most 600; limit at most 3600\n"), 2;
  std::vector<std::string> const known = Scale::phase_names();
  plan.phases = parts_of(phases);
  for (std::string const& name : plan.phases)
    if (std::find(known.begin(), known.end(), name) == known.end())
      return std::fprintf(stderr, "cost_simulator: there is no phase '%s'\n", name.c_str()), 2;
  plan.replicas = replicas;
  plan.span = static_cast<Micros>(span * 1e6);
  plan.seed = seed;
  plan.limit = static_cast<Micros>(limit * 1e6);
  std::vector<ScalePlan> plans;
  for (double const value : swept->values) {
    double const old = swept->values.front();
    swept->values.front() = value;
    plan.nodes = static_cast<int>(flags[0].values.front());
    plan.workers = static_cast<int>(flags[1].values.front());
    plan.prefixes = static_cast<int>(flags[2].values.front());
    plan.sessions = static_cast<int>(flags[3].values.front());
    plan.routes = static_cast<int>(flags[4].values.front());
    plan.rate = flags[5].values.front();
    swept->values.front() = old;
    plans.push_back(plan);
  }
  // Before anything starts: whatever would need more than half of the memory is refused.
  double const half = memory() / 2;
  for (ScalePlan const& item : plans)
    if (bytes_for(item) > half) {
      std::fprintf(
          stderr,
          "cost_simulator: %d nodes with %d workers, %d prefixes, %d sessions and %d routes would need %.0f MB, more "
          "than half (%.0f MB) of this machine's memory; %d nodes would fit\n",
          item.nodes, item.workers, item.prefixes, item.sessions, item.routes, bytes_for(item) / 1e6, half / 1e6,
          nodes_within(item, half));
      return 2;
    }
  std::vector<double> x;
  std::vector<Figures> found;
  bool whole = true;
  for (ScalePlan const& item : plans) {
    std::printf(
        "cost_simulator: nodes %d (keepers %d), workers %d, prefixes %d, sessions %d, routes %d, rate %g, seed %llu, "
        "phases of %g s\n",
        item.nodes, item.replicas, item.workers, item.prefixes, item.sessions, item.routes, item.rate,
        static_cast<unsigned long long>(seed), span);
    Scale scale(item);
    Figures figures = scale.run();
    for (std::pair<std::string, double> const& row : figures.rows)
      if (all || !detail(row.first)) std::printf("  %-40s %.6g\n", row.first.c_str(), row.second);
    std::fflush(stdout);
    if (!scale.stopped.empty()) {
      std::printf("  stopped: %s\n", scale.stopped.c_str());
      whole = false;
      break;
    }
    x.push_back(swept->values[x.size()]);
    found.push_back(std::move(figures));
  }
  if (x.size() > 1) {
    std::printf("lines over %s:", swept->name);
    for (double const v : x) std::printf(" %g", v);
    std::printf("; error: the largest distance; ahead: how far the line through all but the last misses the last\n");
    std::printf("  %-40s %-36s %7s %7s", "", "line", "error", "ahead");
    for (double const place : places) std::printf(" %11s", ("at " + std::to_string(static_cast<long>(place))).c_str());
    std::printf("\n");
    for (std::pair<std::string, double> const& row : found.back().rows) {
      if (!all && detail(row.first)) continue;
      std::vector<double> y;
      for (Figures const& figures : found) y.push_back(std::max(0.0, figures.of(row.first)));
      Fit const line = fit(x, y);
      std::printf("  %-40s %-36s %6.0f%% %6.0f%%", row.first.c_str(), line.describe(swept->name).c_str(),
                  line.error * 100, line.ahead * 100);
      for (double const place : places) std::printf(" %11.5g", line.at(place));
      std::printf("\n");
    }
  }
  if (!file.empty()) {
    std::vector<Curve> curves{{"router: processor us/s", {}}, {"router: bytes out/s", {}}, {"router: frames out/s", {}},
                              {"keeper: processor us/s", {}}, {"keeper: bytes out/s", {}}, {"router: heap bytes", {}}};
    static char const* const names[] = {"calm.router.cpu_us", "calm.router.bytes_out", "calm.router.frames_out",
                                        "calm.keeper.cpu_us", "calm.keeper.bytes_out", "heap.router_bytes"};
    for (std::size_t i = 0; i < curves.size(); ++i)
      for (Figures const& figures : found) curves[i].y.push_back(figures.of(names[i]));
    std::ofstream out(file);
    out << plot(swept->name, x, curves);
    if (!out.flush()) return std::fprintf(stderr, "cost_simulator: '%s' cannot be written\n", file.c_str()), 1;
  }
  return !report_violations() && whole ? 0 : 1;
}

}  // namespace
}  // namespace pipit

int main(int argc, char** argv) { return pipit::run(argc, argv); }
