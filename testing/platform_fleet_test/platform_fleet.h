// One experiment from its start to its report: processes, stand-ins, troubles and the judge put together.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "testing/platform_fleet_test/callers.h"
#include "testing/platform_fleet_test/figures.h"
#include "testing/platform_fleet_test/nodes.h"
#include "testing/platform_fleet_test/operators.h"
#include "testing/platform_fleet_test/rude_clients.h"
#include "testing/platform_fleet_test/workers.h"

namespace pipit::stage {

struct StagePlan {
  Shape shape;
  double seconds = 20;
  double rate_scale = 1;
  std::string troubles_text;
  std::vector<Trouble> troubles;
  std::uint64_t seed = 1;
  int net = 60;
  bool relayed = false;  // all machines reach each other through a relay that can fail
  std::string folder;
  std::string program;  // lodge
};

class Stage {
 public:
  explicit Stage(StagePlan plan_);
  ~Stage();
  // False when the system did not come up.
  bool run();
  Figures figures();
  Judge judge;

 private:
  bool until(Micros most, std::function<bool()> yes);
  void perform(Trouble const& trouble);
  std::vector<Node*> some(Trouble const& trouble);
  void perform_on_links(Trouble const& trouble);
  void blackout(Trouble const& trouble);
  // Every failed request at a node that was in touch stands in that node's log.
  void look_at_failures();
  void look_at_recovery();

  StagePlan const plan;
  RandomSource random;
  std::unique_ptr<FaultRelay> relay;
  Nodes nodes;
  Workers workers;
  Callers callers;
  Operators operators;
  RudeClients rude;
  std::vector<Micros> lags;  // by how much the stage's own loop came late
  Micros last_turn = 0;
  double ready_after = 0;
  bool interrupted = false;
};

}  // namespace pipit::stage
