// What was promised, judged by what operators and readers were told and by what is in force on each machine (LATER.md,
// the four points). The judge never asks the register's own memory.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "testing/control_plane_simulator/world.h"

namespace pipit::control_plane_simulator {

using OrderId = std::size_t;

// One change as its operator sees it.
struct Order {
  bool amend = false;
  std::uint64_t base = 0;
  std::uint64_t label = 0;
  std::string body;  // as sent
  Micros first_sent = -1;
  Micros confirmed_at = -1;
  Micros refused_at = -1;
  Micros taken_at = -1;  // first seen in force anywhere, or confirmed
};

struct Finding {
  int point = 0;
  Micros at = 0;
  std::string what;
};

struct JudgePlan {
  Micros spread = seconds(2);   // a confirmed change is in force on every reachable machine
  Micros confirm = seconds(4);  // beside the catch-up time, until changes are confirmed again after a loss
};

class Judge {
 public:
  Judge(World& world_, JudgePlan plan_ = {});

  OrderId add(Order order);
  // A configuration that an order makes of what it builds on.
  void makes(OrderId id, std::string const& text) { author[text] = id; }
  void sent(OrderId id);

  // What operators and readers were told. 'arrived' is when the machine got the call that is answered.
  void confirmed_reported(OrderId id, Machine const& machine, Micros arrived);
  void stale_reported(OrderId id, Machine const& machine, Micros arrived, std::string const& why);
  void value_reported(Micros asked, std::uint64_t label, std::string const& text, Machine const& machine,
                      Micros arrived);

  void booted(Machine& machine);
  void stepped(Machine& machine);
  // Changes are asked all the time from now on, so that one must be confirmed now and then.
  void expect_progress(bool on);
  // At the end, after a calm time: everything agrees, and refusals had their reasons.
  void close();

  Order const& order(OrderId id) const { return orders[id]; }
  std::size_t count() const { return orders.size(); }
  std::uint64_t confirmed_label() const { return confirmed_until(world.now()); }
  std::uint64_t confirmed_until(Micros when) const;
  std::vector<Finding> findings;
  std::uint64_t confirmations = 0;
  std::uint64_t refusals = 0;
  std::uint64_t readings = 0;
  Micros longest_gap = 0;     // between confirmations, while enough machines were calm
  Micros longest_spread = 0;  // of what was seen in force everywhere, by the periodic look

 private:
  struct View {  // of one process of a machine
    std::uint64_t process = 0;
    std::uint64_t floor = 0;  // confirmed before its start
    std::uint64_t serial = 0;
    std::uint64_t label = 0;
    bool ready = false;
    bool late = false;  // a finding of lateness stands
  };
  void find(int point, std::string what);
  void check();
  void check_progress();
  void take(OrderId id);
  std::string name_of(OrderId id) const;

  World& world;
  JudgePlan const plan;
  std::vector<Order> orders;
  std::map<std::string, OrderId> author;
  std::map<std::uint64_t, OrderId> confirmed_by_label;
  std::map<std::uint64_t, OrderId> confirmed_by_base;
  std::map<Micros, std::uint64_t> confirmed_over_time;  // the highest label, when it rose
  std::map<std::uint64_t, std::string> text_of_label;   // what was ever seen in force
  std::uint64_t read_floor = 0;                         // of readings that were answered
  std::map<Micros, std::uint64_t> read_over_time;
  std::map<MachineId, View> views;
  Micros healthy_since = -1;
  Micros last_progress = -1;
  bool progress = false;
  bool stuck = false;
};

}  // namespace pipit::control_plane_simulator
