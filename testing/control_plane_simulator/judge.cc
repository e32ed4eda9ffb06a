#include "testing/control_plane_simulator/judge.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "testing/control_plane_simulator/node_view.h"

namespace pipit::control_plane_simulator {

namespace {
constexpr Micros check_interval = millis(100);

std::uint64_t highest_until(std::map<Micros, std::uint64_t> const& over_time, Micros when) {
  std::map<Micros, std::uint64_t>::const_iterator const next = over_time.upper_bound(when);
  return next == over_time.begin() ? 0 : std::prev(next)->second;
}
}  // namespace

Judge::Judge(World& world_, JudgePlan plan_) : world(world_), plan(plan_) {
  world.on_step = [this](Machine& machine) { stepped(machine); };
  world.on_boot = [this](Machine& machine) { booted(machine); };
  world.after(check_interval, [this] { check(); });
}

void Judge::find(int point, std::string what) {
  if (!log_is_muted())
    std::printf("%lld FOUND (%d) %s\n", static_cast<long long>(world.now() / 1000), point, what.c_str());
  findings.push_back(Finding{point, world.now(), std::move(what)});
}

std::string Judge::name_of(OrderId id) const {
  Order const& item = orders[id];
  return "order " + std::to_string(id) + " (" + std::to_string(item.base) + " to " + std::to_string(item.label) + ")";
}

OrderId Judge::add(Order order) {
  orders.push_back(std::move(order));
  return orders.size() - 1;
}

void Judge::sent(OrderId id) {
  if (orders[id].first_sent < 0) orders[id].first_sent = world.now();
}

void Judge::take(OrderId id) {
  Order& item = orders[id];
  if (item.taken_at >= 0) return;
  item.taken_at = world.now();
  if (item.refused_at >= 0) find(2, name_of(id) + " was refused and is in force");
}

std::uint64_t Judge::confirmed_until(Micros when) const { return highest_until(confirmed_over_time, when); }

void Judge::confirmed_reported(OrderId id, Machine const& machine, Micros arrived) {
  ++confirmations;
  if (machine.alone_since >= 0 && arrived > machine.alone_since)
    find(1, machine.name + " is cut off and confirmed " + name_of(id));
  Order& item = orders[id];
  if (item.refused_at >= 0) find(2, name_of(id) + " was refused and then confirmed by " + machine.name);
  bool const first = item.confirmed_at < 0;
  if (first) item.confirmed_at = world.now();
  take(id);
  if (!first) return;
  std::map<std::uint64_t, OrderId>::const_iterator const twin = confirmed_by_label.find(item.label);
  if (twin != confirmed_by_label.end())
    find(2, name_of(id) + " and " + name_of(twin->second) + " were both confirmed under label " +
                std::to_string(item.label));
  std::map<std::uint64_t, OrderId>::const_iterator const rival = confirmed_by_base.find(item.base);
  if (rival != confirmed_by_base.end())
    find(2,
         name_of(id) + " and " + name_of(rival->second) + " were both confirmed on base " + std::to_string(item.base));
  confirmed_by_label[item.label] = id;
  confirmed_by_base[item.base] = id;
  if (item.label > confirmed_label()) confirmed_over_time[world.now()] = item.label;
  if (progress && healthy_since >= 0)
    longest_gap = std::max(longest_gap, world.now() - std::max(last_progress, healthy_since));
  last_progress = world.now();
  stuck = false;
}

void Judge::stale_reported(OrderId id, Machine const& machine, Micros arrived, std::string const& why) {
  ++refusals;
  if (machine.alone_since >= 0 && arrived > machine.alone_since)
    find(1, machine.name + " is cut off and refused " + name_of(id) + ": " + why);
  Order& item = orders[id];
  if (item.taken_at >= 0)
    find(2, name_of(id) + " was taken " + std::to_string((world.now() - item.taken_at) / 1000) +
                " ms ago and refused by " + machine.name + ": " + why);
  if (item.refused_at < 0) item.refused_at = world.now();
}

void Judge::value_reported(Micros asked, std::uint64_t label, std::string const& text, Machine const& machine,
                           Micros arrived) {
  ++readings;
  if (machine.alone_since >= 0 && arrived > machine.alone_since)
    find(1, machine.name + " is cut off and answered a reading with " + std::to_string(label));
  std::uint64_t const least = std::max(confirmed_until(asked), highest_until(read_over_time, asked));
  if (label < least)
    find(1, machine.name + " answered a reading with " + std::to_string(label) + " though " + std::to_string(least) +
                " was told before it was asked");
  if (label > 0) {
    std::map<std::string, OrderId>::const_iterator const from = author.find(text);
    if (from == author.end() || orders[from->second].label != label)
      find(2, machine.name + " answered a reading with what nobody sent under " + std::to_string(label));
    else
      take(from->second);
  }
  if (label > read_floor) {
    read_floor = label;
    read_over_time[world.now()] = label;
  }
}

void Judge::booted(Machine& machine) {
  View& view = views[machine.id];
  view = View{};
  view.process = machine.process;
  view.floor = confirmed_label();
}

void Judge::stepped(Machine& machine) {
  View& view = views[machine.id];
  std::uint64_t const serial = serial_at(*machine.node);
  if (serial < view.serial)
    find(4, machine.name + " went back from serial " + std::to_string(view.serial) + " to " + std::to_string(serial));
  if (serial != view.serial) {
    Configuration const in_force = in_force_at(*machine.node);
    if (in_force.label < view.label)
      find(4, machine.name + " went back from label " + std::to_string(view.label) + " to " +
                  std::to_string(in_force.label));
    view.label = in_force.label;
    if (in_force.label > 0) {
      std::string& known = text_of_label[in_force.label];
      if (known.empty()) known = in_force.text;
      if (known != in_force.text)
        find(2, "label " + std::to_string(in_force.label) + " has two texts, one at " + machine.name);
      std::map<std::string, OrderId>::const_iterator const from = author.find(in_force.text);
      if (from == author.end())
        find(2, machine.name + " has in force what nobody sent under " + std::to_string(in_force.label));
      else
        take(from->second);
    }
  }
  view.serial = serial;
  bool const ready = machine.node->is_ready();
  if (ready && !view.ready) {
    if (view.label < view.floor)
      find(4, machine.name + " turned ready with " + std::to_string(view.label) + " though " +
                  std::to_string(view.floor) + " was confirmed before it started");
    if (machine.alone_since >= 0 && machine.started_at >= machine.alone_since)
      find(4, machine.name + " turned ready without a majority since its start");
  }
  view.ready = ready;
}

void Judge::expect_progress(bool on) {
  progress = on;
  stuck = false;
  last_progress = world.now();
}

void Judge::check_progress() {
  if (!progress || healthy_since < 0 || stuck) return;
  Micros const since = std::max(last_progress, healthy_since);
  if (world.now() - since <= plan.confirm + world.plan.catch_up) return;
  stuck = true;
  find(3, "nothing was confirmed for " + std::to_string((world.now() - since) / 1000) +
              " ms though enough machines were there");
}

// Every machine that has been calm for its catch-up time has what was confirmed a while ago.
void Judge::check() {
  world.after(check_interval, [this] { check(); });
  bool const healthy = world.has_fault() <= world.plan.tolerated;
  if (!healthy) healthy_since = -1;
  if (healthy && healthy_since < 0) healthy_since = world.now();
  check_progress();
  std::uint64_t const due = confirmed_until(world.now() - plan.spread);
  for (MachineId id = 0; id < world.size(); ++id) {
    Machine const& machine = world.machine(id);
    View& view = views[id];
    bool const steady = machine.calm() && world.now() - machine.calm_since >= world.plan.catch_up && healthy &&
                        world.now() - healthy_since >= world.plan.catch_up;
    bool const behind = steady && due > 0 && (view.label < due || !view.ready);
    if (behind && !view.late) {
      bool const never = view.label < view.floor || !view.ready;
      find(never ? 4 : 1, machine.name + (view.ready ? " has " : " is not ready and has ") +
                              std::to_string(view.label) + " in force, " + std::to_string(due) +
                              " was confirmed 2 s ago, it has been calm for " +
                              std::to_string((world.now() - machine.calm_since) / 1000) + " ms");
    }
    view.late = behind;
  }
}

void Judge::close() {
  std::uint64_t newest = 0;
  for (MachineId id = 0; id < world.size(); ++id)
    if (world.machine(id).up()) newest = std::max(newest, views[id].label);
  if (newest < confirmed_label())
    find(3,
         "the newest in force is " + std::to_string(newest) + ", confirmed was " + std::to_string(confirmed_label()));
  for (MachineId id = 0; id < world.size(); ++id) {
    Machine const& machine = world.machine(id);
    if (!machine.up()) continue;
    if (views[id].label != newest)
      find(4, machine.name + " ends with " + std::to_string(views[id].label) + " in force, others with " +
                  std::to_string(newest));
    if (!machine.node->is_ready()) find(4, machine.name + " ends without being ready");
  }
  // A refusal needs a taken change that its order did not build on.
  for (OrderId id = 0; id < orders.size(); ++id) {
    if (orders[id].refused_at < 0) continue;
    bool reason = false;
    for (Order const& other : orders)
      if (other.taken_at >= 0 && other.label > orders[id].base && other.first_sent <= orders[id].refused_at)
        reason = true;
    if (!reason) find(1, name_of(id) + " was refused though nothing newer than its base was ever taken");
  }
}

}  // namespace pipit::control_plane_simulator
