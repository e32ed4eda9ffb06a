// Plays worlds of requests: seeded walks, and every order of events up to a bound.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pipit {

struct Exploration {
  std::size_t executions = 0;
  std::size_t faulty = 0;
  std::vector<std::string> fault_trace;  // of the first world that broke a rule
  std::map<std::string, std::size_t> event_counts;
};

// Worlds of that many events, one for each seed from 'first' on; ends at the first fault if 'stop' says so.
Exploration walk_requests(std::uint64_t first, std::size_t executions, std::size_t events, bool stop_at_fault);
// A request of a kind (0 once, 1 safe, 2 live, 3 flow) that its worker has read, then every choice of so many events.
Exploration explore_requests(std::size_t kind, std::size_t events, bool stop_at_fault);

}  // namespace pipit
