// One experiment from its start to its report: processes, stand-ins, faults and the judge put together.
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

namespace pipit::platform_fleet {

struct PlatformFleetPlan {
  Shape shape;
  double seconds = 20;
  double rate_scale = 1;
  std::string faults_text;
  std::vector<Fault> faults;
  std::uint64_t seed = 1;
  int net = 60;
  bool relayed = false;  // all machines reach each other through a relay that can fail
  std::string folder;
  std::string program;  // of the nodes
};

class PlatformFleet {
 public:
  explicit PlatformFleet(PlatformFleetPlan plan_);
  ~PlatformFleet();
  // False when the system did not come up.
  bool run();
  Figures figures();
  Judge judge;

 private:
  bool run_until(Micros most, std::function<bool()> yes);
  void perform(Fault const& fault);
  std::vector<Node*> choose_nodes(Fault const& fault);
  void perform_on_links(Fault const& fault);
  void blackout(Fault const& fault);
  // Every failed request at a node that was in touch stands in that node's log.
  void check_failures();
  void check_recovery();
  void report_value(Figures& out);
  void report_latency(Figures& out);
  void report_attempts(Figures& out);
  void report_workers(Figures& out);
  void report_configuration(Figures& out);
  void report_nodes(Figures& out);
  void report_own_load(Figures& out);
  void report_promises(Figures& out);

  PlatformFleetPlan const plan;
  RandomSource random;
  std::unique_ptr<FaultRelay> relay;
  Nodes nodes;
  Workers workers;
  Callers callers;
  Operators operators;
  RudeClients rude;
  std::vector<Micros> lags;  // by how much the loop of the experiment itself came late
  Micros last_tick = 0;
  double ready_after = 0;
  bool interrupted = false;
};

}  // namespace pipit::platform_fleet
