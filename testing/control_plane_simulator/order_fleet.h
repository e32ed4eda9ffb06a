// A fleet whose machines have the processors and links of a deployment, an operator who always has an order under way,
// and how long each order waited for its acknowledgement.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "testing/control_plane_simulator/judge.h"
#include "testing/control_plane_simulator/operators.h"
#include "testing/control_plane_simulator/world.h"

namespace pipit::control_plane_simulator {

struct OrderFleetPlan {
  std::uint64_t seed = 1;
  std::size_t replicas = 6;  // one in each zone
  std::size_t plain = 294;
  MachineLimits replica_limits{0.32, 12500000};
  MachineLimits plain_limits{0.12, 1250000};
  std::size_t configuration_bytes = 20000;
  double request_processor = 0.03;    // cores that requests of clients take of each machine
  std::size_t workers = 240;          // whose loads the nodes report
  double requests_per_second = 1400;  // of the whole fleet; each is reported with its worker's load
  double moved_share = 0.3;           // of the requests that go elsewhere than to the worker that has their prefix
  Micros pause = millis(200);         // between an acknowledgement and the next order
};

// One order, from its first call until its operator was told the outcome.
struct OrderRecord {
  std::string kind;  // "replace" or "amend"
  std::uint64_t label = 0;
  Micros sent_at = 0;
  Micros ended_at = -1;  // -1: it has no acknowledgement yet
  Micros calm_wait = 0;  // its longest wait within one calm stretch
};

// The reply of a node to one call, with the time of each stage.
struct StageRecord {
  std::string change_id;  // empty for a read
  Micros forwarded = 0;
  Micros forward_lost = 0;
  ChangeStages stages;
};

class OrderFleet {
 public:
  // Starts all machines and brings a first configuration into force.
  explicit OrderFleet(OrderFleetPlan const& fleet_plan);

  // Orders one after another, replacements and amendments in turn, until that time.
  void send_orders(Micros until);
  // Trouble that leaves no calm time until it ends and 'settling' has passed.
  void trouble(Micros span);
  // Requests rise to so many times their usual number, and to that share go elsewhere.
  void burst(double times, double moved, Micros span);
  // Waits until no order is under way, for at most so long.
  void finish(Micros most);

  // Machines without a disk, in an order by chance.
  std::vector<MachineId> some_plain(double share);
  // The replica with the least name of those that run; all nodes forward changes to it.
  MachineId proposing_replica() const;

  Micros longest_calm_wait() const;
  // The times of the orders and of the stages, as a table.
  std::string table() const;

  std::vector<OrderRecord> orders;
  std::vector<StageRecord> replies;
  OrderFleetPlan const plan;
  World world;
  Judge judge;
  Operators operators;

 private:
  void send_next(Micros until);
  void report_requests(MachineId id);
  void report_request(Node& node);
  void note_wait(OrderRecord& order) const;
  void repeat_note();

  RandomSource random_;
  Micros calm_since_ = 0;
  double rise_ = 1;
  double moved_share_ = 0;
  std::uint64_t prefixes_ = 0;
  std::uint64_t sent_ = 0;
};

}  // namespace pipit::control_plane_simulator
