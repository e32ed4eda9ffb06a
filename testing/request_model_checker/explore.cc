#include "testing/request_model_checker/explore.h"

#include "base/random.h"
#include "testing/request_model_checker/world.h"

namespace pipit {

namespace {
void take(Exploration& out, RequestWorld& world) {
  ++out.worlds;
  for (std::pair<std::string const, std::size_t> const& item : world.seen) out.seen[item.first] += item.second;
  if (world.faults.empty()) return;
  if (++out.faulty == 1) out.fault_trace = world.trace;
}
}  // namespace

Exploration walk_requests(std::uint64_t first, std::size_t worlds, std::size_t events, bool stop) {
  Exploration out;
  for (std::uint64_t seed = first; seed < first + worlds; ++seed) {
    RandomSource random(seed);
    RequestWorld world([&random](std::size_t n) { return static_cast<std::size_t>(random.below(n)); });
    for (std::size_t n = 0; n < events && world.faults.empty(); ++n) {
      std::uint64_t const side = random.below(8);
      world.step(side < 2   ? RequestWorld::Side::caller
                 : side < 7 ? RequestWorld::Side::worker
                            : RequestWorld::Side::world);
    }
    if (world.faults.empty()) world.finish();
    if (!world.faults.empty() && out.faulty == 0) world.trace.push_back("seed " + std::to_string(seed));
    take(out, world);
    if (stop && out.faulty > 0) break;
  }
  return out;
}

Exploration explore_requests(std::size_t kind, std::size_t events, bool stop) {
  struct Choice {
    std::size_t taken;
    std::size_t ways;
  };
  Exploration out;
  std::vector<Choice> script;
  for (;;) {
    std::size_t next = 0;
    bool open = true;  // beyond the events asked for, the first way is taken
    {
      RequestWorld::Choose const choose = [&](std::size_t n) -> std::size_t {
        if (!open) return 0;
        if (next == script.size()) script.push_back({0, n});
        return script[next++].taken;
      };
      RequestWorld world(choose);
      open = false;
      world.begin(kind, true);
      open = true;
      for (std::size_t n = 0; n < events && world.faults.empty(); ++n)
        world.step(static_cast<RequestWorld::Side>(choose(3)));
      open = false;
      if (world.faults.empty()) world.finish();
      take(out, world);
    }
    if (stop && out.faulty > 0) return out;
    script.resize(next);
    while (!script.empty() && script.back().taken + 1 == script.back().ways) script.pop_back();
    if (script.empty()) return out;
    ++script.back().taken;
  }
}

}  // namespace pipit
