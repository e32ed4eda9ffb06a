// fuzz: seeded bytes against the readers of requests, answers and configurations, for a number of inputs or of seconds.
// Exit code 1 for a fault.
#include <boost/program_options.hpp>

#include <chrono>
#include <iostream>

#include "testing/fuzz/readers.h"

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::uint64_t inputs = 0;
  std::uint64_t seconds = 0;
  std::uint64_t seed = 1;
  po::options_description options("fuzz");
  options.add_options()("inputs", po::value<std::uint64_t>(&inputs)->default_value(20000), "how many inputs")(
      "seconds", po::value<std::uint64_t>(&seconds)->default_value(0), "instead: for how long")(
      "seed", po::value<std::uint64_t>(&seed)->default_value(1), "the first input");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, options), given);
    po::notify(given);
  } catch (po::error const& error) {
    std::cerr << "fuzz: " << error.what() << "\n";
    return 2;
  }
  using Clock = std::chrono::steady_clock;
  Clock::time_point const end = Clock::now() + std::chrono::seconds(seconds);
  pipit::FuzzReport report;
  while (report.fault.empty() && (seconds > 0 ? Clock::now() < end : report.inputs < inputs))
    (report.inputs % 4 == 3 ? pipit::fuzz_configurations : pipit::fuzz_readers)(seed + report.inputs, report);
  std::cout << report.inputs << " inputs from seed " << seed << ", " << report.random_inputs
            << " of them by chance alone; " << report.complete_messages << " messages read whole, " << report.refused
            << " inputs refused\n";
  if (report.fault.empty()) return 0;
  std::cout << "FAULT " << report.fault << "\n";
  return 1;
}
