// Runs the request path model: seeded random walks, and every order of events up to a bound.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pipit {

// The result of a number of executions of the model.
struct Exploration {
  std::size_t executions = 0;
  std::size_t faulty = 0;                           // executions that broke a rule
  std::vector<std::string> fault_trace;             // events of the first execution that broke a rule
  std::map<std::string, std::size_t> event_counts;  // how often each kind of event and answer occurred
};

// Runs `executions` random walks of `events` events each, with the seeds from `first` on. Ends at the first fault if
// `stop_at_fault` is set.
Exploration walk_requests(std::uint64_t first, std::size_t executions, std::size_t events, bool stop_at_fault);
// Starts each execution with a request of a kind (0 once, 1 safe, 2 live, 3 flow) that its worker has read, then runs
// every order of `events` events. Ends at the first fault if `stop_at_fault` is set.
Exploration explore_requests(std::size_t kind, std::size_t events, bool stop_at_fault);

}  // namespace pipit
