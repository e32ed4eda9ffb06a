// scene: runs a whole fleet on one machine, breaks it by a schedule, and judges what is seen (§10.3).
// It alone starts processes, and it ends only those it started. This file reads the flags.
#include <unistd.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "base/flags.h"
#include "testing/fleet_test/fleet_test.h"

namespace pipit {
namespace {

namespace options = boost::program_options;

int run(int argc, char** argv) {
  Plan plan;
  plan.bin = std::filesystem::canonical("/proc/self/exe").parent_path();
  options::options_description flags("fleet_test: runs a whole fleet on this machine, breaks it, and judges it");
  flags.add_options()("shape", options::value(&plan.shape), "coop or utility")(
      "schedule", options::value(&plan.schedule), "a schedule's name")(
      "steps", options::value(&plan.steps), "steps of your own instead, such as \"2 kill p1; 5 start p1\"")(
      "seconds", options::value(&plan.seconds), "for how long callers ask")(
      "rate", options::value(&plan.rate), "requests a second")("hot", options::value(&plan.hot),
                                                               "the share of one hot opening")(
      "slots", options::value(&plan.slots), "requests that a worker runs at once")("seed", options::value(&plan.seed))(
      "grace", options::value(&plan.grace), "the nodes' setting grace")("probe", options::bool_switch(&plan.probe),
                                                                        "first try bad input and odd workers")(
      "lies", options::bool_switch(&plan.lies), "only tell the callers lies, and see that they name each")(
      "folder", options::value(&plan.folder), "where data, logs and books go")(
      "net", options::value(&plan.net), "the second number of the loopback addresses, 2 to 250")("help", "");
  std::function<void()> const print_help = [&] { std::cout << flags << "Schedules:\n" << schedule_list(); };
  std::optional<int> const ended = read_flags("fleet_test", argc, argv, flags, print_help);
  if (ended) return *ended;
  Shape const* const shape = shape_of(plan.shape);
  if (shape == nullptr) return std::fprintf(stderr, "fleet_test: there is no shape '%s'\n", plan.shape.c_str()), 2;
  Schedule const* const schedule = schedule_of(plan.schedule);
  if (schedule == nullptr)
    return std::fprintf(stderr, "fleet_test: there is no schedule '%s'\n", plan.schedule.c_str()), 2;
  if (plan.net < 2 || plan.net > 250) return std::fprintf(stderr, "fleet_test: net is from 2 to 250\n"), 2;
  Result<std::vector<Step>> steps = read_steps(plan.steps.empty() ? schedule->steps : plan.steps, cast_of(*shape));
  if (!steps) return std::fprintf(stderr, "fleet_test: %s\n", steps.error().what.c_str()), 2;
  if (plan.seconds <= 0) plan.seconds = schedule->seconds;
  if (plan.folder.empty())
    plan.folder = std::filesystem::temp_directory_path() / ("fleet-test-" + std::to_string(::getpid()));
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return FleetTest(plan, *shape, std::move(steps.value())).run();
}

}  // namespace
}  // namespace pipit

int main(int argc, char** argv) { return pipit::run(argc, argv); }
