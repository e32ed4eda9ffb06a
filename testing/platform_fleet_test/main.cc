// platform_fleet_test: runs one experiment with real node processes among stand-ins of the platform and judges it by
// the platform's promises. Exit status: 0 for passed, 1 for broken promises, 2 for invalid flags, 3 if the system was
// not ready in time or the experiment was interrupted.
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

// Prints why the flags are invalid; returns the exit status.
int refuse(std::string const& message) {
  std::fprintf(stderr, "platform_fleet_test: %s\n", message.c_str());
  return 2;
}

int run(int count, char** arguments) {
  PlatformFleetPlan plan;
  std::string shape = "tiny";
  std::string out;
  std::vector<std::string> reports;
  options::options_description flags("platform_fleet_test: an experiment with pipitspool-node on this machine");
  options::options_description_easy_init add_flag = flags.add_options();
  add_flag("help", "prints this help and the kinds of trouble");
  add_flag("shape", options::value(&shape), ("the shape of the experiment: " + shape_names()).c_str());
  add_flag("seconds", options::value(&plan.seconds), "duration of the traffic in seconds, 1 to 600");
  add_flag("rate-scale", options::value(&plan.rate_scale),
           "factor on the shape's request rate, above 0 and at most 10");
  add_flag("troubles", options::value(&plan.faults_text), "KIND@SECONDS:KEY=VALUE,..; ...");
  add_flag("relay", "connects the machines through a relay that can cut, delay, reset and swallow");
  add_flag("seed", options::value(&plan.seed), "random seed of everything but the node processes");
  add_flag("net", options::value(&plan.net), "addresses are 127.NET.x.y, 2 to 254");
  add_flag("folder", options::value(&plan.folder), "folder for settings, logs and disks; emptied at the start");
  add_flag("node-program", options::value(&plan.program),
           "path of the node program; default: pipitspool-node beside this program");
  add_flag("out", options::value(&out), "writes the report to this file as JSON");
  add_flag("compare", options::value(&reports)->multitoken(), "prints the differences between two reports");
  options::variables_map values;
  try {
    options::store(options::command_line_parser(count, arguments).options(flags).positional({}).run(), values);
    options::notify(values);
  } catch (options::error const& error) {
    return refuse(error.what());
  }
  if (values.count("help") > 0) {
    std::cout << flags << "\nTroubles:\n" << fault_table();
    return 0;
  }
  if (values.count("compare") > 0) {
    if (reports.size() != 2) return refuse("--compare: two reports are needed");
    Result<Figures> const a = Figures::read(reports[0]);
    if (!a) return refuse("--compare: " + a.error().what);
    Result<Figures> const b = Figures::read(reports[1]);
    if (!b) return refuse("--compare: " + b.error().what);
    std::cout << compare(a.value(), b.value());
    return 0;
  }
  Shape const* const found = shape_of(shape);
  if (found == nullptr) return refuse("--shape: there is no shape '" + shape + "', only " + shape_names());
  plan.shape = *found;
  if (!(plan.seconds >= 1 && plan.seconds <= 600)) return refuse("--seconds: the value is not from 1 to 600");
  if (!(plan.rate_scale > 0 && plan.rate_scale <= 10))
    return refuse("--rate-scale: the value is not above 0 and at most 10");
  if (plan.net < 2 || plan.net > 254) return refuse("--net: the value is not from 2 to 254");
  Result<std::vector<Fault>> const faults = parse_faults(plan.faults_text);
  if (!faults) return refuse("--troubles: " + faults.error().what);
  plan.faults = faults.value();
  plan.relayed = values.count("relay") > 0;
  for (Fault const& fault : plan.faults)
    if (needs_relay(fault.kind) && !plan.relayed)
      return refuse(std::string("--troubles: '") + fault_name(fault.kind) + "' needs --relay");
  if (plan.program.empty()) plan.program = own_folder() + "/pipitspool-node";
  if (::access(plan.program.c_str(), X_OK) != 0) return refuse("--node-program: '" + plan.program + "' cannot be run");
  if (plan.folder.empty()) plan.folder = own_folder() + "/platform-fleet-" + std::to_string(plan.net);
  std::error_code error;
  plan.folder = std::filesystem::absolute(plan.folder, error).string();
  // Only a folder that an earlier experiment marked as its own, or an empty one, is emptied.
  std::string const marker = plan.folder + "/of-platform-fleet";
  if (std::filesystem::exists(plan.folder, error) && !std::filesystem::exists(marker, error) &&
      !std::filesystem::is_empty(plan.folder, error))
    return refuse("--folder: '" + plan.folder + "' is not empty and was not made by an experiment");
  std::filesystem::remove_all(plan.folder, error);
  std::filesystem::create_directories(plan.folder, error);
  if (!std::ofstream(marker)) return refuse("--folder: '" + plan.folder + "' cannot be written");
  std::unique_ptr<PlatformFleet> const fleet = std::make_unique<PlatformFleet>(plan);
  bool const done = fleet->run();
  Figures const figures = fleet->figures();
  std::cout << figures.print() << std::flush;
  if (!out.empty() && !(std::ofstream(out) << figures.json())) return refuse("--out: '" + out + "' cannot be written");
  if (!done) {
    std::cout << "the system was not ready in time, or the experiment was interrupted\n";
    return 3;
  }
  return fleet->judge.violation_count() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace pipit::platform_fleet

int main(int count, char** arguments) { return pipit::platform_fleet::run(count, arguments); }
