// Plays the troubles of the large deployments under virtual time, and prints how long orders and their stages took.
// Exits with 1 if an order had no acknowledgement within the bound of calm.
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <string>

#include "base/events.h"
#include "testing/order_latency/troubles.h"

namespace {
namespace options = boost::program_options;
using namespace pipit;
using namespace pipit::control_plane_simulator;

struct Arguments {
  std::size_t machines = 300;
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 1;
  std::string trouble;
  std::int64_t bound_ms = 6000;
  bool help = false;
};

Arguments read_arguments(int count, char** words, options::options_description& description) {
  Arguments out;
  description.add_options()("help", "print this text")("machines", options::value(&out.machines), "of the fleet")(
      "seed", options::value(&out.first_seed), "the first one")("seeds", options::value(&out.seeds), "how many")(
      "trouble", options::value(&out.trouble), "its name; without it, all are played")(
      "bound", options::value(&out.bound_ms), "until an order is acknowledged, in ms of calm");
  options::variables_map values;
  options::store(options::parse_command_line(count, words, description), values);
  options::notify(values);
  out.help = values.count("help") > 0;
  return out;
}

// Returns whether every order was acknowledged in time.
bool play(Arguments const& arguments, std::uint64_t seed, OrderTrouble const& trouble) {
  OrderFleetPlan plan;
  plan.seed = seed;
  plan.plain = arguments.machines - plan.replicas;
  OrderFleet fleet(plan);
  play_trouble(fleet, trouble);
  bool const held = fleet.longest_calm_wait() <= millis(arguments.bound_ms);
  std::printf("%s, %zu machines, seed %llu: %s\n%s", trouble.name.c_str(), arguments.machines,
              static_cast<unsigned long long>(seed), held ? "held" : "LATE", fleet.table().c_str());
  std::fflush(stdout);
  return held;
}

bool play_all(Arguments const& arguments) {
  bool held = true;
  bool known = false;
  for (OrderTrouble const& trouble : order_troubles()) {
    if (!arguments.trouble.empty() && arguments.trouble != trouble.name) continue;
    known = true;
    for (std::uint64_t n = 0; n < arguments.seeds; ++n)
      held = play(arguments, arguments.first_seed + n, trouble) && held;
  }
  if (!known) throw options::error("there is no trouble '" + arguments.trouble + "'");
  return held;
}
}  // namespace

int main(int count, char** words) {
  options::options_description description("order_latency");
  try {
    Arguments const arguments = read_arguments(count, words, description);
    if (arguments.help) {
      std::cout << description;
      return 0;
    }
    if (arguments.machines < 12) throw options::error("machines: at least 12 are needed");
    mute_log(true);
    return play_all(arguments) ? 0 : 1;
  } catch (options::error const& error) {
    std::cerr << "order_latency: " << error.what() << "\n";
    return 2;
  }
}
