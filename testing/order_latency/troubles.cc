#include "testing/order_latency/troubles.h"

#include <ostream>

namespace pipit::control_plane_simulator {

namespace {
constexpr Micros before_trouble = seconds(2);
constexpr Micros order_span = seconds(14);  // in which orders are sent
constexpr Micros last_order_wait = seconds(14);
constexpr Micros replica_outage = millis(3500);
constexpr Micros replica_cut = millis(5500);
constexpr Micros restart_gap = millis(400);

void power_off_for(OrderFleet& fleet, MachineId id, Micros span) {
  fleet.world.power_off(id);
  fleet.world.after(span, [&fleet, id] { fleet.world.boot(id); });
}

void lose_power(OrderFleet& fleet) {
  for (MachineId const id : fleet.some_plain(0.16)) power_off_for(fleet, id, millis(3500));
}

void slow_down(OrderFleet& fleet) {
  for (MachineId const id : fleet.some_plain(0.15)) fleet.world.slow_down(id, 5.5, millis(5500));
}

void freeze(OrderFleet& fleet) {
  for (MachineId const id : fleet.some_plain(0.15)) fleet.world.freeze(id, millis(4000));
}

void raise_requests(OrderFleet& fleet) { fleet.burst(2.2, 0.9, seconds(10)); }

void raise_requests_and_lose_power(OrderFleet& fleet) {
  raise_requests(fleet);
  fleet.world.after(seconds(1), [&fleet] { lose_power(fleet); });
}

void restart_in_turn(OrderFleet& fleet) {
  Micros wait = 0;
  for (MachineId const id : fleet.some_plain(0.2)) {
    fleet.world.after(wait, [&fleet, id] {
      fleet.world.kill(id);
      fleet.world.after(millis(200), [&fleet, id] { fleet.world.boot(id); });
    });
    wait += restart_gap;
  }
}

void cut_off_proposer(OrderFleet& fleet) {
  fleet.trouble(replica_cut);
  fleet.world.isolate({fleet.proposing_replica()}, CutKind::refused, CutWay::both);
  fleet.world.after(replica_cut, [&fleet] { fleet.world.heal(); });
}

// The other replicas lose it, all other machines keep it.
void part_proposer_from_replicas(OrderFleet& fleet) {
  fleet.trouble(replica_cut);
  std::vector<MachineId> others;
  MachineId const proposer = fleet.proposing_replica();
  for (MachineId const id : fleet.world.replicas())
    if (id != proposer) others.push_back(id);
  fleet.world.part({proposer}, others);
  fleet.world.after(replica_cut, [&fleet] { fleet.world.heal(); });
}

void power_off_proposer(OrderFleet& fleet) {
  fleet.trouble(replica_outage);
  power_off_for(fleet, fleet.proposing_replica(), replica_outage);
}

void freeze_proposer(OrderFleet& fleet) {
  fleet.trouble(replica_outage);
  fleet.world.freeze(fleet.proposing_replica(), replica_outage);
}
}  // namespace

std::ostream& operator<<(std::ostream& out, OrderTrouble const& trouble) { return out << trouble.name; }

std::vector<OrderTrouble> const& order_troubles() {
  static std::vector<OrderTrouble> const list = {
      {"calm", [](OrderFleet&) {}},
      {"requests_rise", raise_requests},
      {"machines_lose_power", lose_power},
      {"requests_rise_while_machines_lose_power", raise_requests_and_lose_power},
      {"machines_are_slow", slow_down},
      {"machines_stand_still", freeze},
      {"machines_restart_in_turn", restart_in_turn},
      {"proposing_replica_is_cut_off", cut_off_proposer},
      {"proposing_replica_is_cut_off_from_replicas", part_proposer_from_replicas},
      {"proposing_replica_loses_power", power_off_proposer},
      {"proposing_replica_stands_still", freeze_proposer},
  };
  return list;
}

void play_trouble(OrderFleet& fleet, OrderTrouble const& trouble) {
  fleet.send_orders(fleet.world.now() + order_span);
  fleet.world.run(before_trouble);
  trouble.begin(fleet);
  fleet.world.run(order_span - before_trouble);
  fleet.finish(last_order_wait);
}

}  // namespace pipit::control_plane_simulator
