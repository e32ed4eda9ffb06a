#include "testing/control_plane_simulator/order_fleet.h"

#include <algorithm>
#include <cstdio>

namespace pipit::control_plane_simulator {

namespace {
constexpr Micros settling = seconds(5);  // in_touch_ms of the large deployments
constexpr Micros confirmation_bound = millis(2700);
constexpr Micros look_interval = millis(20);
constexpr Micros operator_patience = seconds(60);
constexpr Micros prefill_time = millis(20);
constexpr std::uint64_t shared_prefixes = 80;

WorldPlan world_of(OrderFleetPlan const& plan) {
  WorldPlan out;
  out.seed = plan.seed;
  out.disks = plan.replicas;
  out.plain = plan.plain;
  out.zones = plan.replicas;
  out.tolerated = 2;
  out.replica_limits = plan.replica_limits;
  out.plain_limits = plan.plain_limits;
  out.link_least = 200;
  out.link_most = 1400;
  return out;
}

OperatorPlan operators_of() {
  OperatorPlan out;
  out.lag = millis(1);
  out.patience = operator_patience;
  return out;
}

Micros percentile(std::vector<Micros> list, double share) {
  if (list.empty()) return 0;
  std::sort(list.begin(), list.end());
  return list[static_cast<std::size_t>(share * static_cast<double>(list.size() - 1))];
}

std::string row_of(char const* name, std::vector<Micros> const& list) {
  char row[160];
  std::snprintf(row, sizeof row, "  %-22s %5zu times, median %6.0f ms, 9 of 10 within %6.0f ms, longest %6.0f ms\n",
                name, list.size(), static_cast<double>(percentile(list, 0.5)) / 1000,
                static_cast<double>(percentile(list, 0.9)) / 1000, static_cast<double>(percentile(list, 1)) / 1000);
  return row;
}
}  // namespace

OrderFleet::OrderFleet(OrderFleetPlan const& fleet_plan)
    : plan(fleet_plan),
      world(world_of(fleet_plan)),
      judge(world),
      operators(world, judge, operators_of()),
      random_(hash_bits(fleet_plan.seed) ^ 0x0a7e) {
  world.on_plan = [this](NodePlan& node) {
    node.in_force_bound = confirmation_bound;
    node.link_bytes_per_second = (node.is_replica ? plan.replica_limits : plan.plain_limits).link_bytes_per_second;
  };
  std::function<void(Machine&, ChangeReply const&)> const answered = world.on_reply;
  world.on_reply = [this, answered](Machine& machine, ChangeReply const& reply) {
    bool const read = reply.outcome.type == Outcome::Type::unchanged;
    replies.push_back(
        {read ? "" : reply.change_id, reply.path.forwarded, reply.path.forward_lost, reply.outcome.stages});
    answered(machine, reply);
  };
  world.boot_all(true);
  world.run_until(seconds(8));
  for (MachineId id = 0; id < world.size(); ++id) world.machine(id).request_processor = plan.request_processor;
  operators.drive(operators.replace(0, operators.next_label(), plan.configuration_bytes));
  moved_share_ = plan.moved_share;
  for (MachineId id = 0; id < world.size(); ++id) report_requests(id);
  world.run_until(seconds(14));
  replies.clear();
  world.sent.clear();
  repeat_note();
}

void OrderFleet::send_orders(Micros until) { send_next(until); }

void OrderFleet::send_next(Micros until) {
  if (world.now() >= until) return;
  bool const amend = sent_++ % 2 == 1;
  std::uint64_t const label = operators.next_label();
  std::uint64_t const base = operators.newest_acknowledged();
  OrderId const id = amend ? operators.amend(base, label) : operators.replace(base, label, plan.configuration_bytes);
  std::size_t const at = orders.size();
  orders.push_back({amend ? "amend" : "replace", label, world.now(), -1, 0});
  operators.drive(id, [this, at, until](Verdict) {
    note_wait(orders[at]);
    orders[at].ended_at = world.now();
    world.after(plan.pause, [this, until] { send_next(until); });
  });
}

void OrderFleet::note_wait(OrderRecord& order) const {
  if (order.ended_at >= 0 || world.now() < calm_since_) return;
  order.calm_wait = std::max(order.calm_wait, world.now() - std::max(order.sent_at, calm_since_));
}

void OrderFleet::repeat_note() {
  for (OrderRecord& order : orders) note_wait(order);
  world.after(look_interval, [this] { repeat_note(); });
}

void OrderFleet::trouble(Micros span) { calm_since_ = std::max(calm_since_, world.now() + span + settling); }

void OrderFleet::burst(double times, double moved, Micros span) {
  rise_ = times;
  moved_share_ = moved;
  for (MachineId id = 0; id < world.size(); ++id) world.machine(id).request_processor *= times;
  world.after(span, [this, times] {
    rise_ = 1;
    moved_share_ = plan.moved_share;
    for (MachineId id = 0; id < world.size(); ++id) world.machine(id).request_processor /= times;
  });
}

void OrderFleet::report_requests(MachineId id) {
  world.enter(id, world.machine(id).process, [this](Node& node, Micros, NodeEffects&) { report_request(node); });
  double const rate = plan.requests_per_second * rise_ / static_cast<double>(world.size());
  Micros const mean = static_cast<Micros>(1e6 / rate);
  world.after(mean / 2 + static_cast<Micros>(random_.below(static_cast<std::uint64_t>(mean))),
              [this, id] { report_requests(id); });
}

// What a node tells its peers of a request that it sends to a worker.
void OrderFleet::report_request(Node& node) {
  std::string const worker = "worker-" + std::to_string(random_.below(plan.workers));
  node.exchange.report_work(worker, prefill_time);
  node.exchange.report_load(worker, static_cast<std::int64_t>(random_.below(12)));
  if (!random_.chance(moved_share_)) return;
  wire::DeltaT change;
  change.tail = {hash_bits(random_.below(shared_prefixes)), hash_bits(shared_prefixes + ++prefixes_)};
  change.weights = {512, 4870};
  change.worker = worker;
  change.incarnation = 1;
  node.exchange.report_index_change("model", std::move(change));
}

void OrderFleet::finish(Micros most) {
  Micros const end = world.now() + most;
  while (operators.open_orders() > 0 && world.now() < end) world.run(look_interval);
}

std::vector<MachineId> OrderFleet::some_plain(double share) {
  std::vector<MachineId> out;
  for (MachineId id = 0; id < world.size(); ++id)
    if (!world.machine(id).replica && world.machine(id).up()) out.push_back(id);
  for (std::size_t i = out.size(); i > 1; --i) std::swap(out[i - 1], out[random_.below(i)]);
  out.resize(static_cast<std::size_t>(share * static_cast<double>(out.size())));
  return out;
}

MachineId OrderFleet::proposing_replica() const {
  MachineId best = 0;
  for (MachineId const id : world.replicas())
    if (world.machine(id).up() && world.machine(id).name < world.machine(best).name) best = id;
  return best;
}

Micros OrderFleet::longest_calm_wait() const {
  Micros out = 0;
  for (OrderRecord const& order : orders) out = std::max(out, order.calm_wait);
  return out;
}

std::string OrderFleet::table() const {
  std::vector<Micros> replace, amend, calm, queued, proposed, spread, forwarded, lost;
  for (OrderRecord const& order : orders) {
    Micros const span = (order.ended_at < 0 ? world.now() : order.ended_at) - order.sent_at;
    (order.kind == "amend" ? amend : replace).push_back(span);
    calm.push_back(order.calm_wait);
  }
  for (StageRecord const& reply : replies) {
    queued.push_back(reply.stages.queued);
    proposed.push_back(reply.stages.proposed);
    if (reply.stages.spread > 0) spread.push_back(reply.stages.spread);
    if (reply.forwarded > 0) forwarded.push_back(reply.forwarded);
    if (reply.forward_lost > 0) lost.push_back(reply.forward_lost);
  }
  return row_of("replacements", replace) + row_of("amendments", amend) + row_of("waits in calm", calm) +
         row_of("stage: forwarded", forwarded) + row_of("stage: lost forward", lost) + row_of("stage: queued", queued) +
         row_of("stage: proposed", proposed) + row_of("stage: spread", spread);
}

}  // namespace pipit::control_plane_simulator
