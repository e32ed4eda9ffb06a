// control_plane: runs scenarios of the control plane over many seeds, or one seed with its events.
#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include "base/events.h"
#include "testing/control_plane_simulator/scenarios.h"
#include "testing/common/violations.h"

namespace pipit::control_plane_simulator {
namespace {

namespace options = boost::program_options;

struct SeedPlan {
  std::uint64_t from = 1;
  std::uint64_t seeds = 20;
  unsigned jobs = 2;
  std::size_t disks = 0;
  int variant = -1;
  std::size_t shown = 12;
  int point = -1;    // findings of other points are left out
  std::string skip;  // and those that hold these words
};

// Runs one scenario over its seeds; returns how many had findings.
std::uint64_t run_seeds(Scenario const& scenario, SeedPlan const& plan) {
  std::atomic<std::uint64_t> next{plan.from};
  std::mutex gate;
  std::uint64_t faulty = 0;
  Report sum;
  std::map<int, std::uint64_t> by_point;
  std::vector<std::thread> team;
  for (unsigned job = 0; job < plan.jobs; ++job)
    team.emplace_back([&] {
      for (std::uint64_t seed = next++; seed < plan.from + plan.seeds; seed = next++) {
        Report report = scenario.run(ScenarioPlan{seed, plan.disks, plan.variant});
        std::erase_if(report.findings, [&plan](Finding const& item) {
          bool const other = plan.point >= 0 && item.point != plan.point;
          return other || (!plan.skip.empty() && item.what.find(plan.skip) != std::string::npos);
        });
        std::lock_guard<std::mutex> const lock(gate);
        sum.confirmations += report.confirmations;
        sum.refusals += report.refusals;
        sum.readings += report.readings;
        sum.frames += report.frames;
        sum.frame_bytes += report.frame_bytes;
        sum.longest_gap = std::max(sum.longest_gap, report.longest_gap);
        if (report.findings.empty()) continue;
        ++faulty;
        std::map<int, bool> points;
        for (Finding const& item : report.findings) points[item.point] = true;
        for (std::pair<int const, bool> const& item : points) ++by_point[item.first];
        if (faulty > plan.shown) continue;
        std::printf("%s seed %llu (%s), %zu findings\n", scenario.name, static_cast<unsigned long long>(seed),
                    report.setting.c_str(), report.findings.size());
        for (std::size_t n = 0; n < std::min<std::size_t>(3, report.findings.size()); ++n)
          std::printf("  %lld ms (%d) %s\n", static_cast<long long>(report.findings[n].at / 1000),
                      report.findings[n].point, report.findings[n].what.c_str());
      }
    });
  for (std::thread& item : team) item.join();
  std::printf("%s: %llu seeds, %llu with findings", scenario.name, static_cast<unsigned long long>(plan.seeds),
              static_cast<unsigned long long>(faulty));
  for (std::pair<int const, std::uint64_t> const& item : by_point)
    std::printf(", %llu of point %d", static_cast<unsigned long long>(item.second), item.first);
  std::printf("; %llu confirmed, %llu refused, %llu read, %llu frames, %llu MB, longest gap %lld ms\n",
              static_cast<unsigned long long>(sum.confirmations), static_cast<unsigned long long>(sum.refusals),
              static_cast<unsigned long long>(sum.readings), static_cast<unsigned long long>(sum.frames),
              static_cast<unsigned long long>(sum.frame_bytes >> 20), static_cast<long long>(sum.longest_gap / 1000));
  std::fflush(stdout);
  return faulty;
}

int run(int argc, char** argv) {
  std::string name = "all";
  SeedPlan plan;
  options::options_description flags(
      "control_plane_simulator: the control plane under virtual time, by scenario and seed");
  flags.add_options()("scenario", options::value(&name), "one of those below, or all")(
      "from", options::value(&plan.from), "the first seed")("seeds", options::value(&plan.seeds), "how many")(
      "jobs", options::value(&plan.jobs))("disks", options::value(&plan.disks), "3, 4 or 8; 0: by the seed")(
      "variant", options::value(&plan.variant), "of scenarios that have some")(
      "point", options::value(&plan.point), "findings of this point alone")("skip", options::value(&plan.skip),
                                                                            "leave out findings with these words")(
      "shown", options::value(&plan.shown), "how many seeds are told in full")("log", "print events (one seed)")("help",
                                                                                                                 "");
  options::variables_map map;
  try {
    options::store(options::parse_command_line(argc, argv, flags), map);
    options::notify(map);
  } catch (options::error const& bad) {
    return std::fprintf(stderr, "control_plane_simulator: %s\n", bad.what()), 2;
  }
  if (map.count("help")) {
    std::cout << flags << "Scenarios:\n";
    for (Scenario const& item : scenarios())
      std::cout << "  " << item.name << " (" << item.point << "): " << item.text << "\n";
    return 0;
  }
  if (name != "all" && scenario_of(name) == nullptr)
    return std::fprintf(stderr, "control_plane_simulator: there is no scenario '%s'\n", name.c_str()), 2;
  if (plan.seeds == 0 || plan.jobs == 0)
    return std::fprintf(stderr, "control_plane_simulator: seeds and jobs must be above 0\n"), 2;
  bool const loud = map.count("log") > 0;
  mute_log(!loud);
  if (loud) plan.jobs = 1;
  std::uint64_t faulty = 0;
  for (Scenario const& item : scenarios())
    if (name == "all" || name == item.name) faulty += run_seeds(item, plan);
  return !report_violations() && faulty == 0 ? 0 : 1;
}

}  // namespace
}  // namespace pipit::control_plane_simulator

int main(int argc, char** argv) { return pipit::control_plane_simulator::run(argc, argv); }
