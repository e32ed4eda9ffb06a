#include "testing/control_plane_simulator/operators.h"

#include <algorithm>

#include "base/hash.h"
#include "consensus/register/orders.h"
#include "testing/control_plane_simulator/node_view.h"

namespace pipit::control_plane_simulator {

namespace {
constexpr Micros list_lag = seconds(3);  // of the list from which operators pick machines
constexpr Micros pause_least = millis(100);
constexpr Micros pause_most = seconds(1);
constexpr Micros storm_patience = seconds(3);

std::string configuration(std::string const& name, std::string const& origin, std::size_t padding) {
  std::string out = R"({"format":1,"pools":[{"name":")" + name + R"(","model":"m"})";
  if (!origin.empty()) out += R"(,{"name":")" + origin + R"(","model":"m"})";
  for (std::size_t n = 0; out.size() < padding; ++n)
    out += R"(,{"name":"filler-)" + std::to_string(n) + R"(","model":"m"})";
  return out + R"(],"lanes":[]})";
}
}  // namespace

Operators::Operators(World& world_, Judge& judge_, OperatorPlan plan_)
    : plan(plan_), world(world_), judge(judge_), random(hash_bits(world_.plan.seed) ^ 0x0b5e55ed) {
  world.on_reply = [this](Machine& machine, ChangeReply const& reply) { answered(machine, reply); };
  world.on_end = [this](Machine& machine) { ended(machine); };
}

OrderId Operators::replace(std::uint64_t base, std::uint64_t label, std::size_t padding) {
  Order order;
  order.base = base;
  order.label = label;
  labels = std::max(labels, label);
  order.body = configuration("o" + std::to_string(judge.count()) + "-" + std::to_string(label), "", padding);
  OrderId const id = judge.add(order);
  judge.makes(id, order.body);
  return id;
}

OrderId Operators::amend(std::uint64_t base, std::uint64_t label) {
  Order order;
  order.amend = true;
  order.base = base;
  order.label = label;
  labels = std::max(labels, label);
  order.body = "a" + std::to_string(judge.count()) + "-" + std::to_string(label);
  return judge.add(order);
}

std::string Operators::text_of(OrderId id, std::string const& source) const {
  return configuration(judge.order(id).body, "on-" + std::to_string(hash_text(source)), 0);
}

MachineId Operators::any_machine() {
  std::vector<MachineId> known;
  for (MachineId id = 0; id < world.size(); ++id) {
    Machine const& machine = world.machine(id);
    bool const listed = !machine.removed && machine.started_at >= 0 && world.now() - machine.started_at >= list_lag;
    if (listed || (world.now() < seconds(10) && machine.up())) known.push_back(id);
  }
  return known.empty() ? 0 : known[random.below(known.size())];
}

void Operators::send(OrderId id, MachineId machine, OnVerdict on_verdict) {
  call(false, id, machine, std::move(on_verdict));
}
void Operators::read(MachineId machine, OnVerdict on_verdict) { call(true, 0, machine, std::move(on_verdict)); }

void Operators::call(bool reading, OrderId order, MachineId machine, OnVerdict on_verdict) {
  Call made;
  made.reading = reading;
  made.order = order;
  made.machine = machine;
  made.asked = world.now();
  made.on_verdict = std::move(on_verdict);
  if (!reading) judge.sent(order);
  world.after(plan.lag, [this, made] { arrive(made); });
  if (random.chance(plan.doubled)) {
    Call repeated = made;
    repeated.on_verdict = {};
    world.after(plan.lag + static_cast<Micros>(random.below(millis(1500))), [this, repeated] { arrive(repeated); });
  }
}

void Operators::arrive(Call call) {
  Machine& machine = world.machine(call.machine);
  if (!machine.up()) {
    if (machine.powered && !machine.removed) fails(call);  // refused at once; a dark machine says nothing
    return;
  }
  call.process = machine.process;
  call.arrived = world.now();
  start(call, call.reading || judge.order(call.order).amend
                  ? read_change()
                  : replace_change(judge.order(call.order).base, judge.order(call.order).label,
                                   judge.order(call.order).body));
}

void Operators::start(Call const& call, Change change) {
  std::uint64_t const id = ++next_call;
  calls[id] = call;
  ++world.machine(call.machine).calls_under_way;
  world.enter(call.machine, call.process, [id, change = std::move(change)](Node& node, Micros now, NodeEffects& out) {
    node.submit_change(id, change, now, out);
  });
}

void Operators::answered(Machine& machine, ChangeReply const& reply) {
  std::map<std::uint64_t, Call>::iterator const position = calls.find(reply.id);
  if (position == calls.end() || position->second.process != machine.process) return;
  Call const call = std::move(position->second);
  calls.erase(position);
  --machine.calls_under_way;
  Outcome const& outcome = reply.outcome;
  bool const holds = outcome.type == Outcome::Type::chosen || outcome.type == Outcome::Type::unchanged;
  if (call.reading) {
    if (!holds) return answer(call, Verdict::unclear, "", 0, "");
    Configuration const found = configuration_of(outcome.value);
    return answer(call, Verdict::confirmed, "", found.label, found.text);
  }
  if (judge.order(call.order).amend && !call.looked) return amend_read(call, reply);
  if (outcome.type == Outcome::Type::chosen) return answer(call, Verdict::confirmed, "", 0, "");
  unsigned const status = outcome.type == Outcome::Type::unchanged ? 504 : error_code_row(outcome.error.code).status;
  bool const clear = outcome.type == Outcome::Type::refused && status < 500 && status != 429;
  answer(call, clear ? Verdict::stale : Verdict::unclear, outcome.error.what, 0, "");
}

// As the shell does it: what an amend builds on is read from the register, then the whole is proposed.
void Operators::amend_read(Call call, ChangeReply const& reply) {
  Outcome const& outcome = reply.outcome;
  if (outcome.type == Outcome::Type::refused || outcome.type == Outcome::Type::unknown)
    return answer(call, Verdict::unclear, "", 0, "");
  Order const& order = judge.order(call.order);
  std::string const id = change_id("amend", order.base, order.body);
  OrderStatus const standing = order_status(outcome.value, id, OrderBase{order.base, true});
  if (standing == OrderStatus::already_taken) return answer(call, Verdict::confirmed, "", 0, "");
  if (unknown_outcome_error(outcome.value, standing)) return answer(call, Verdict::unclear, "", 0, "");
  if (standing == OrderStatus::base_outdated)
    return answer(call, Verdict::stale, stale_base_error(outcome.value, true).what, 0, "");
  Configuration const found = configuration_of(outcome.value);
  std::string const text = text_of(call.order, found.text);
  judge.makes(call.order, text);
  Change change = replace_change(order.base, order.label, text);
  change.id = id;
  call.looked = true;
  start(call, std::move(change));
}

void Operators::answer(Call const& call, Verdict verdict, std::string const& why, std::uint64_t label,
                       std::string const& text) {
  if (random.chance(plan.lost)) return;
  Micros const more = random.chance(plan.late) ? seconds(1) + static_cast<Micros>(random.below(seconds(2))) : 0;
  world.after(plan.lag + more, [this, call, verdict, why, label, text] {
    Machine const& machine = world.machine(call.machine);
    if (call.reading && verdict == Verdict::confirmed) {
      judge.value_reported(call.asked, label, text, machine, call.arrived);
      newest = std::max(newest, label);
    } else if (verdict == Verdict::confirmed) {
      judge.confirmed_reported(call.order, machine, call.arrived);
      newest = std::max(newest, judge.order(call.order).label);
    } else if (verdict == Verdict::stale) {
      judge.stale_reported(call.order, machine, call.arrived, why);
    }
    if (call.on_verdict) call.on_verdict(verdict);
  });
}

void Operators::fails(Call const& call) {
  if (call.on_verdict) world.after(plan.lag, [call] { call.on_verdict(Verdict::unclear); });
}

void Operators::ended(Machine& machine) {
  for (std::map<std::uint64_t, Call>::iterator it = calls.begin(); it != calls.end();) {
    if (it->second.machine != machine.id) {
      ++it;
      continue;
    }
    if (machine.powered) fails(it->second);
    it = calls.erase(it);
  }
}

// ---- clients

void Operators::drive(OrderId id, OnVerdict on_verdict) {
  std::shared_ptr<Client> const client = std::make_shared<Client>();
  client->order = id;
  client->give_up = world.now() + plan.patience;
  client->on_verdict = std::move(on_verdict);
  ++driving;
  attempt(client);
}

void Operators::drive_reading(OnVerdict on_verdict) {
  std::shared_ptr<Client> const client = std::make_shared<Client>();
  client->reading = true;
  client->give_up = world.now() + plan.patience;
  client->on_verdict = std::move(on_verdict);
  ++driving;
  attempt(client);
}

void Operators::attempt(std::shared_ptr<Client> const& client) {
  if (client->over) return;
  int const turn = ++client->attempts;
  OnVerdict const on_verdict = [this, client, turn](Verdict verdict) {
    if (client->over) return;
    if (verdict == Verdict::unclear && turn != client->attempts) return;
    if (verdict == Verdict::unclear && !halted && world.now() < client->give_up) {
      Micros const pause = std::min(pause_most, pause_least << std::min(turn - 1, 5));
      ++client->attempts;
      world.after(pause, [this, client] { attempt(client); });
      return;
    }
    client->over = true;
    --driving;
    if (!client->reading) answered_orders.push_back(client->order);
    if (client->on_verdict) client->on_verdict(verdict);
  };
  call(client->reading, client->order, any_machine(), on_verdict);
  world.after(plan.reply_timeout, [on_verdict] { on_verdict(Verdict::unclear); });
}

void Operators::storm(Micros span, double rate) { storm_tick(world.now() + span, static_cast<Micros>(1e6 / rate)); }

void Operators::storm_tick(Micros until, Micros gap) {
  if (halted || world.now() >= until) return;
  // An order that was refused was made on an old label: the present one is read.
  if (driving < 8)
    drive(replace(newest, next_label()), [this](Verdict verdict) {
      if (verdict == Verdict::stale) drive_reading();
    });
  world.after(gap, [this, until, gap] { storm_tick(until, gap); });
}

void Operators::steady(Micros until, Micros pause) { steady_turn(until, pause); }

// An order that was refused was made on an old label: the present one is read first.
void Operators::steady_turn(Micros until, Micros pause) {
  if (halted || world.now() >= until) return;
  drive(replace(newest, next_label()), [this, until, pause](Verdict verdict) {
    OnVerdict const next = [this, until, pause](Verdict) {
      world.after(pause, [this, until, pause] { steady_turn(until, pause); });
    };
    if (verdict == Verdict::confirmed) return next(verdict);
    drive_reading(next);
  });
}

void Operators::mixed(Micros until, std::size_t most) { mixed_turn(until, most); }

void Operators::mixed_turn(Micros until, std::size_t most) {
  if (halted || world.now() >= until) return;
  if (driving < most) {
    std::uint64_t const pick = random.below(100);
    if (pick < 25) {
      drive_reading();
    } else if (pick < 55) {
      drive(replace(newest, next_label()));
    } else if (pick < 70) {
      drive(amend(newest, next_label()));
    } else if (pick < 85) {
      std::uint64_t const label = next_label();
      drive(replace(newest, label));
      drive(replace(newest, label));
    } else if (!answered_orders.empty()) {
      bool const recent = random.chance(0.5);
      std::size_t const back = recent ? std::min<std::size_t>(answered_orders.size(), 4) : answered_orders.size();
      drive(answered_orders[answered_orders.size() - 1 - random.below(back)]);
    }
  }
  Micros const wait = static_cast<Micros>(random.below(millis(400)));
  world.after(wait, [this, until, most] { mixed_turn(until, most); });
}

}  // namespace pipit::control_plane_simulator
