// request_model_checker: runs the request path model, by random walks or exhaustively to a depth (docs/requests.md).
// Exit codes: 0 no rule was broken, 1 a rule was broken, 2 bad usage.
#include <boost/program_options.hpp>

#include <iostream>

#include "base/events.h"
#include "base/guards.h"
#include "base/request_guards.h"
#include "testing/common/violations.h"
#include "testing/request_model_checker/explore.h"

namespace {
// Prints an exploration. Returns the exit code.
int report(pipit::Exploration const& result) {
  std::cout << result.executions << " executions, " << result.faulty << " faulty\n";
  for (std::pair<std::string const, std::size_t> const& item : result.event_counts)
    std::cout << "  " << item.first << ": " << item.second << "\n";
  std::size_t n = 0;
  for (std::string const& line : result.fault_trace) std::cout << ++n << "\t" << line << "\n";
  return pipit::report_violations() || result.faulty > 0 ? 1 : 0;
}
}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::size_t walks = 0;
  std::size_t events = 0;
  std::size_t depth = 0;
  std::uint64_t seed = 1;
  po::options_description options("request_model_checker");
  options.add_options()("walks", po::value<std::size_t>(&walks)->default_value(2000), "number of random walks")(
      "events", po::value<std::size_t>(&events)->default_value(60), "events in a walk")(
      "seed", po::value<std::uint64_t>(&seed)->default_value(1), "seed of the first walk")(
      "depth", po::value<std::size_t>(&depth)->default_value(0),
      "run every order of this many events instead of walks");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, options), given);
    po::notify(given);
  } catch (po::error const& error) {
    std::cerr << "request_model_checker: " << error.what() << "\n";
    return 2;
  }
  pipit::mute_log(true);
  if (depth == 0) return report(pipit::walk_requests(seed, walks, events, true));
  int worst = 0;
  for (std::size_t kind = 0; kind < 4; ++kind)
    worst = std::max(worst, report(pipit::explore_requests(kind, depth, true)));
  return worst;
}
