// platform_fleet_test: one experiment with real node processes among stand-ins of the platform, judged by its promises.
// was promised.
#include <unistd.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "testing/common/own_folder.h"
#include "testing/platform_fleet_test/platform_fleet.h"

namespace pipit::platform_fleet {
namespace {

namespace options = boost::program_options;

int refuse(std::string const& line) {
  std::fprintf(stderr, "platform_fleet_test: %s\n", line.c_str());
  return 2;
}

int run(int count, char** arguments) {
  PlatformFleetPlan plan;
  std::string shape = "tiny";
  std::string out;
  std::vector<std::string> pair;
  options::options_description flags("platform_fleet_test: an experiment with pipitspool-node on this machine");
  options::options_description_easy_init put = flags.add_options();
  put("help", "this text, and the troubles");
  put("shape", options::value(&shape), ("what is played: " + shape_names()).c_str());
  put("seconds", options::value(&plan.seconds), "of traffic, 1 to 600");
  put("rate-scale", options::value(&plan.rate_scale), "times the shape's own rate, above 0 to 10");
  put("troubles", options::value(&plan.faults_text), "KIND@SECONDS:KEY=VALUE,..; ...");
  put("relay", "machines reach each other through a relay that can cut, delay, reset and swallow");
  put("seed", options::value(&plan.seed), "of all chance but that of the processes");
  put("net", options::value(&plan.net), "addresses are 127.NET.x.y, 2 to 254");
  put("folder", options::value(&plan.folder), "for settings, logs and disks; emptied at first");
  put("node-program", options::value(&plan.program), "the program; beside this one if not given");
  put("out", options::value(&out), "file for the report as JSON");
  put("compare", options::value(&pair)->multitoken(), "two reports: prints where they differ");
  options::variables_map given;
  try {
    options::store(options::command_line_parser(count, arguments).options(flags).positional({}).run(), given);
    options::notify(given);
  } catch (options::error const& error) {
    return refuse(error.what());
  }
  if (given.count("help") > 0) {
    std::cout << flags << "\nTroubles:\n" << fault_table();
    return 0;
  }
  if (given.count("compare") > 0) {
    if (pair.size() != 2) return refuse("--compare: two reports are needed");
    Result<Figures> const a = Figures::read(pair[0]);
    if (!a) return refuse("--compare: " + a.error().what);
    Result<Figures> const b = Figures::read(pair[1]);
    if (!b) return refuse("--compare: " + b.error().what);
    std::cout << compare(a.value(), b.value());
    return 0;
  }
  Shape const* const found = shape_of(shape);
  if (found == nullptr) return refuse("--shape: there is no shape '" + shape + "', only " + shape_names());
  plan.shape = *found;
  if (!(plan.seconds >= 1 && plan.seconds <= 600)) return refuse("--seconds: it is not from 1 to 600");
  if (!(plan.rate_scale > 0 && plan.rate_scale <= 10)) return refuse("--rate-scale: it is not above 0 and at most 10");
  if (plan.net < 2 || plan.net > 254) return refuse("--net: it is not from 2 to 254");
  Result<std::vector<Fault>> const faults = parse_faults(plan.faults_text);
  if (!faults) return refuse("--troubles: " + faults.error().what);
  plan.faults = faults.value();
  plan.relayed = given.count("relay") > 0;
  for (Fault const& fault : plan.faults)
    if (needs_relay(fault.kind) && !plan.relayed)
      return refuse(std::string("--troubles: '") + fault_name(fault.kind) + "' needs --relay");
  if (plan.program.empty()) plan.program = own_folder() + "/pipitspool-node";
  if (::access(plan.program.c_str(), X_OK) != 0) return refuse("--node-program: '" + plan.program + "' cannot be run");
  if (plan.folder.empty()) plan.folder = own_folder() + "/platform-fleet-" + std::to_string(plan.net);
  std::error_code wrong;
  plan.folder = std::filesystem::absolute(plan.folder, wrong).string();
  // Only a folder that an earlier experiment marked as its own is drained.
  std::string const marker = plan.folder + "/of-platform-fleet";
  if (std::filesystem::exists(plan.folder, wrong) && !std::filesystem::exists(marker, wrong) &&
      !std::filesystem::is_empty(plan.folder, wrong))
    return refuse("--folder: '" + plan.folder + "' holds something that is no experiment");
  std::filesystem::remove_all(plan.folder, wrong);
  std::filesystem::create_directories(plan.folder, wrong);
  if (!std::ofstream(marker)) return refuse("--folder: '" + plan.folder + "' cannot be written");
  std::unique_ptr<PlatformFleet> const stage = std::make_unique<PlatformFleet>(plan);
  bool const done = stage->run();
  Figures const figures = stage->figures();
  std::cout << figures.print() << std::flush;
  if (!out.empty() && !(std::ofstream(out) << figures.json())) return refuse("--out: '" + out + "' cannot be written");
  if (!done) {
    std::cout << "the system was not ready in time, or the experiment was ended\n";
    return 3;
  }
  return stage->judge.violation_count() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace pipit::platform_fleet

int main(int count, char** arguments) { return pipit::platform_fleet::run(count, arguments); }
