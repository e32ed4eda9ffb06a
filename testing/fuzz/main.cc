// fuzz: fuzzes the readers of requests, answers and configurations with seeded inputs, for a number of inputs or of
// seconds. Exit codes: 0 no fault, 1 a fault, 2 bad usage.
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
  options.add_options()("inputs", po::value<std::uint64_t>(&inputs)->default_value(20000), "number of inputs")(
      "seconds", po::value<std::uint64_t>(&seconds)->default_value(0), "run for this many seconds instead")(
      "seed", po::value<std::uint64_t>(&seed)->default_value(1), "seed of the first input");
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
            << " of them random bytes; " << report.complete_messages << " messages read to their end, "
            << report.refused << " inputs refused\n";
  if (report.fault.empty()) return 0;
  std::cout << "FAULT " << report.fault << "\n";
  return 1;
}
