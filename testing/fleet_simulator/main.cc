// fleet_simulator: runs one or more seeded simulations of a fleet and prints the violated invariants (§10.4).
#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

#include "base/events.h"
#include "base/flags.h"
#include "testing/fleet_simulator/world.h"
#include "testing/common/violations.h"

namespace pipit {
namespace {

namespace options = boost::program_options;

int run(int argc, char** argv) {
  std::string shape_name = "coop";
  std::string only;
  std::string off;
  std::uint64_t from = 1;
  std::uint64_t count = 20;
  unsigned jobs = std::thread::hardware_concurrency();
  double length = 30;
  bool loud = false;
  options::options_description flags("fleet_simulator: seeded simulations of the product's nodes under virtual time");
  flags.add_options()("shape", options::value(&shape_name), "coop or utility")(
      "from", options::value(&from), "the first seed")("seeds", options::value(&count), "number of seeds")(
      "jobs", options::value(&jobs), "number of worker threads")("length", options::value(&length),
                                                                 "seconds during which faults are injected")(
      "only", options::value(&only), "kinds of faults, separated by commas")(
      "off", options::value(&off), "name of a guard to disable")("log", options::bool_switch(&loud),
                                                                 "print events; runs on one thread")("help", "");
  std::function<void()> const print_help = [&] {
    std::cout << flags << "Troubles:";
    for (std::string const& name : World::fault_types()) std::cout << " " << name;
    std::size_t n = 0;
    GuardRow const* const rows = guard_rows(n);
    std::cout << "\nGuards:\n";
    for (std::size_t i = 0; i < n; ++i)
      std::cout << "  " << rows[i].name << " (" << rows[i].point << "): " << rows[i].text << "\n";
  };
  std::optional<int> const ended = read_flags("fleet_simulator", argc, argv, flags, print_help);
  if (ended) return *ended;
  Shape const* const shape = shape_of(shape_name);
  if (shape == nullptr) return std::fprintf(stderr, "fleet_simulator: there is no shape '%s'\n", shape_name.c_str()), 2;
  std::vector<std::string> chosen_types;
  std::stringstream parts(only);
  std::string part;
  std::vector<std::string> const all = World::fault_types();
  while (std::getline(parts, part, ',')) {
    if (std::find(all.begin(), all.end(), part) == all.end())
      return std::fprintf(stderr, "fleet_simulator: there is no trouble '%s'\n", part.c_str()), 2;
    chosen_types.push_back(part);
  }
  Guard guard = Guard::none;
  std::size_t n = 0;
  GuardRow const* const rows = guard_rows(n);
  for (std::size_t i = 0; i < n; ++i)
    if (off == rows[i].name) guard = static_cast<Guard>(i);
  if (!off.empty() && guard == Guard::none)
    return std::fprintf(stderr, "fleet_simulator: there is no guard '%s'\n", off.c_str()), 2;
  if (count == 0 || length <= 0 || length > 600)
    return std::fprintf(stderr, "fleet_simulator: seeds and length must be above 0, length at most 600\n"), 2;
  mute_log(!loud);
  std::atomic<std::uint64_t> next{from};
  std::mutex result_mutex;
  std::uint64_t bad = 0, done = 0, accepted = 0, reads = 0, runs = 0, injected_faults = 0;
  Margins worst;
  std::map<std::string, int> kinds;
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1u, loud ? 1 : jobs); ++i)
    threads.emplace_back([&] {
      disabled_guard() = guard;
      for (std::uint64_t seed = next++; seed < from + count; seed = next++) {
        WorldPlan plan;
        plan.shape = shape;
        plan.seed = seed;
        plan.only = chosen_types;
        plan.length = static_cast<Micros>(length * 1e6);
        World world(plan);
        WorldEnd const end = world.run();
        std::lock_guard<std::mutex> const lock(result_mutex);
        done += end.done;
        accepted += end.accepted;
        reads += end.reads;
        runs += end.runs;
        injected_faults += end.injected_faults;
        worst.departure = std::max(worst.departure, end.margins.departure);
        worst.empty = std::max(worst.empty, end.margins.empty);
        worst.force = std::max(worst.force, end.margins.force);
        worst.back = std::max(worst.back, end.margins.back);
        worst.cold = std::max(worst.cold, end.margins.cold);
        worst.resend = std::max(worst.resend, end.margins.resend);
        for (std::pair<std::string const, int> const& item : end.kinds) kinds[item.first] += item.second;
        if (count == 1) std::printf("hash %016llx\n", static_cast<unsigned long long>(end.hash));
        if (end.violations.empty()) continue;
        ++bad;
        if (bad <= 12)
          for (std::size_t f = 0; f < std::min<std::size_t>(3, end.violations.size()); ++f)
            std::printf("seed %llu %s\n", static_cast<unsigned long long>(seed), end.violations[f].c_str());
      }
    });
  for (std::thread& item : threads) item.join();
  std::printf("%s: %llu seeds, %llu with faults; %llu answers, %llu runs, %llu changes, %llu reads, %llu troubles\n",
              shape_name.c_str(), static_cast<unsigned long long>(count), static_cast<unsigned long long>(bad),
              static_cast<unsigned long long>(done), static_cast<unsigned long long>(runs),
              static_cast<unsigned long long>(accepted), static_cast<unsigned long long>(reads),
              static_cast<unsigned long long>(injected_faults));
  std::printf(
      "worst: after a mark %lld ms, after an empty %lld ms, in force %lld ms, back %lld ms, cold %d, re-sends %.3f\n",
      static_cast<long long>(worst.departure / 1000), static_cast<long long>(worst.empty / 1000),
      static_cast<long long>(worst.force / 1000), static_cast<long long>(worst.back / 1000), worst.cold, worst.resend);
  for (std::pair<std::string const, int> const& item : kinds) std::printf("%s %d, ", item.first.c_str(), item.second);
  std::printf("\n");
  return !report_violations() && bad == 0 && done > 0 ? 0 : 1;
}

}  // namespace
}  // namespace pipit

int main(int argc, char** argv) { return pipit::run(argc, argv); }
