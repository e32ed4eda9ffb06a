// Named scenarios, each of which brings about one of the worst days of the control plane. A seed fixes everything.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "testing/control_plane_simulator/judge.h"

namespace pipit::control_plane_simulator {

struct ScenarioPlan {
  std::uint64_t seed = 1;
  std::size_t disks = 0;  // 0: by the seed, one of 3, 4 and 8
  int variant = -1;       // of scenarios that have some; below 0: by the seed
  std::size_t plain = 0;  // machines without a disk; 0: by the seed, 3 to 9
};

struct Report {
  std::string setting;  // what the seed made of the scenario
  std::vector<Finding> findings;
  std::uint64_t confirmations = 0;
  std::uint64_t refusals = 0;
  std::uint64_t readings = 0;
  std::uint64_t frames = 0;
  std::uint64_t frame_bytes = 0;
  Micros longest_gap = 0;
};

struct Scenario {
  char const* name;
  int point;  // of the four that it is about; 5: the ends of workers
  char const* text;
  Report (*run)(ScenarioPlan const& plan);
};

std::vector<Scenario> const& scenarios();
Scenario const* scenario_of(std::string const& name);

}  // namespace pipit::control_plane_simulator
