// A fleet of the simulation with its operators and its judge, which scenarios bring into trouble.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "testing/control_plane_simulator/node_view.h"
#include "testing/control_plane_simulator/operators.h"
#include "testing/control_plane_simulator/scenarios.h"

namespace pipit::control_plane_simulator {

struct Fleet {
  // Started, and with a first configuration in force.
  explicit Fleet(ScenarioPlan const& plan);
  // Not started yet: the scenario does it.
  struct Unstarted {};
  Fleet(ScenarioPlan const& plan, Unstarted, JudgePlan const& judged);

  // Replicas that are here, the one that proposes for all (the first name of the set) at the front.
  std::vector<MachineId> replicas();
  // Replicas that are here, in an order by chance.
  std::vector<MachineId> shuffled_replicas();
  // Whether a machine is in the set of replicas, by the newest epoch that any node knows.
  bool member(MachineId id);
  Node* newest_view();
  std::uint64_t epoch() { return epoch_known_to(*newest_view()); }

  Micros some(Micros least, Micros most) {
    return least + static_cast<Micros>(random.below(static_cast<std::uint64_t>(most - least + 1)));
  }
  int pick(int given, int count) {
    int const rolled = static_cast<int>(random.below(static_cast<std::uint64_t>(count)));
    return given >= 0 ? given % count : rolled;
  }

  // A calm time, in which every machine that was not removed is there, and the last judgement.
  Report finish(std::string const& setting, Micros calm = seconds(9));

  RandomSource random;
  World world;
  Judge judge;
  Operators operators;
};

constexpr CutKind cut_kinds[] = {CutKind::silent, CutKind::reset, CutKind::refused};
constexpr CutWay cut_ways[] = {CutWay::both, CutWay::inbound, CutWay::outbound};
constexpr char const* kind_names[] = {"silent", "reset", "refused"};
constexpr char const* way_names[] = {"both ways", "inbound", "outbound"};

// Points 3 and 4.
std::vector<Scenario> const& member_scenarios();
// Losses beyond what is allowed at once, and halves.
std::vector<Scenario> const& overlap_scenarios();
// Ends of workers.
std::vector<Scenario> const& worker_scenarios();

}  // namespace pipit::control_plane_simulator
