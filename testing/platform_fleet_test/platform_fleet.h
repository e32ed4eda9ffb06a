// One experiment, from the start of the processes to the report.
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

// The settings of an experiment.
struct PlatformFleetPlan {
  Shape shape;
  double seconds = 20;
  double rate_scale = 1;
  std::string faults_text;
  std::vector<Fault> faults;
  std::uint64_t seed = 1;
  int net = 60;
  bool relayed = false;  // all machines connect to each other through a fault relay
  std::string folder;
  std::string program;  // path of the node program
};

// Runs node processes among stand-ins of workers, clients and operators, injects the faults and judges every response.
class PlatformFleet {
 public:
  explicit PlatformFleet(PlatformFleetPlan plan_);
  ~PlatformFleet();
  // Runs the experiment. Returns false if the system was not ready in time or the experiment was interrupted.
  bool run();
  // The report; call it after run().
  Figures figures();
  Judge judge;

 private:
  bool run_until(Micros max_wait, std::function<bool()> condition);
  void inject_fault(Fault const& fault);
  std::vector<Node*> choose_nodes(Fault const& fault);
  void inject_link_fault(Fault const& fault);
  void blackout(Fault const& fault);
  // Checks that the log of the node records every request that failed while the node was in touch.
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
  std::vector<Micros> loop_delays;  // delays of the experiment's own event loop
  Micros last_tick = 0;
  double ready_after_ms = 0;
  bool interrupted = false;
};

}  // namespace pipit::platform_fleet
