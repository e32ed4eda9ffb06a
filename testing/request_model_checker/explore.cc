#include "testing/request_model_checker/explore.h"

#include "base/random.h"
#include "testing/request_model_checker/request_path_model.h"

namespace pipit {

namespace {
// Adds the result of one execution.
void add_result(Exploration& out, RequestPathModel& model) {
  ++out.executions;
  for (std::pair<std::string const, std::size_t> const& item : model.event_counts)
    out.event_counts[item.first] += item.second;
  if (model.faults.empty()) return;
  if (++out.faulty == 1) out.fault_trace = model.trace;
}
}  // namespace

Exploration walk_requests(std::uint64_t first, std::size_t executions, std::size_t events, bool stop_at_fault) {
  Exploration out;
  for (std::uint64_t seed = first; seed < first + executions; ++seed) {
    RandomSource random(seed);
    RequestPathModel model([&random](std::size_t n) { return static_cast<std::size_t>(random.below(n)); });
    for (std::size_t n = 0; n < events && model.faults.empty(); ++n) {
      std::uint64_t const side = random.below(8);
      model.step(side < 2   ? RequestPathModel::Side::caller
                 : side < 7 ? RequestPathModel::Side::worker
                            : RequestPathModel::Side::environment);
    }
    if (model.faults.empty()) model.finish();
    if (!model.faults.empty() && out.faulty == 0) model.trace.push_back("seed " + std::to_string(seed));
    add_result(out, model);
    if (stop_at_fault && out.faulty > 0) break;
  }
  return out;
}

Exploration explore_requests(std::size_t kind, std::size_t events, bool stop_at_fault) {
  // A choice of the present execution: the alternative taken, of this many.
  struct Choice {
    std::size_t taken;
    std::size_t alternatives;
  };
  Exploration out;
  std::vector<Choice> script;
  for (;;) {
    std::size_t next = 0;
    bool exploring = true;  // false: the first alternative is taken, at the start and after the last event
    {
      RequestPathModel::Choose const choose = [&](std::size_t n) -> std::size_t {
        if (!exploring) return 0;
        if (next == script.size()) script.push_back({0, n});
        return script[next++].taken;
      };
      RequestPathModel model(choose);
      exploring = false;
      model.begin(kind, true);
      exploring = true;
      for (std::size_t n = 0; n < events && model.faults.empty(); ++n)
        model.step(static_cast<RequestPathModel::Side>(choose(3)));
      exploring = false;
      if (model.faults.empty()) model.finish();
      add_result(out, model);
    }
    if (stop_at_fault && out.faulty > 0) return out;
    // Proceeds to the next script in depth-first order: the last choice with an alternative left takes it.
    script.resize(next);
    while (!script.empty() && script.back().taken + 1 == script.back().alternatives) script.pop_back();
    if (script.empty()) return out;
    ++script.back().taken;
  }
}

}  // namespace pipit
