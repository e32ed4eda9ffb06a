#include "proof/checker/scenarios.h"

namespace pipit::checker {

namespace {

using Sort = Change::Sort;
using Names = std::vector<std::string>;

constexpr std::uint64_t first_epoch = 2;

Order apply(std::string const& id, std::string const& node, std::uint64_t expected, int after = -1) {
  return {id, node, Sort::apply, expected, "", after};
}
Order read(std::string const& id, std::string const& node, int after = -1) {
  return {id, node, Sort::read, 0, "", after};
}
Order admit(std::string const& keeper, std::string const& node, std::uint64_t epoch = first_epoch, int after = -1) {
  return {"admit-" + keeper + "-" + node, node, Sort::admit, epoch, keeper, after};
}
Order dismiss(std::string const& keeper, std::string const& node, std::uint64_t epoch = first_epoch, int after = -1) {
  return {"dismiss-" + keeper + "-" + node, node, Sort::dismiss, epoch, keeper, after};
}

Scenario of(std::string const& name, std::string const& about, std::vector<Order> orders, Bounds const& bounds) {
  Scenario out;
  out.name = name;
  out.about = about;
  out.orders = std::move(orders);
  out.bounds = bounds;
  return out;
}

// Steps of a directed prefix.
class Script {
 public:
  Names lines;
  Script& say(std::string const& line) {
    lines.push_back(line);
    return *this;
  }
  Script& prepare(std::string const& node, std::uint64_t round, Names const& keepers) {
    for (std::string const& keeper : keepers)
      say("deliver prepare " + node + ">" + keeper + " in round " + std::to_string(round));
    for (std::string const& keeper : keepers) say("deliver promise " + keeper + ">" + node);
    return *this;
  }
  Script& accept(std::string const& node, std::uint64_t round, Names const& keepers) {
    for (std::string const& keeper : keepers)
      say("deliver accept " + node + ">" + keeper + " in round " + std::to_string(round));
    return *this;
  }
  Script& accepted(std::string const& node, Names const& keepers) {
    for (std::string const& keeper : keepers) say("deliver accepted " + keeper + ">" + node);
    return *this;
  }
};

// Two changes of members are begun from one set of four, and each is accepted by one keeper only; then one proposer sees
// the one, another the other. The proposers that follow must not work at sets whose majorities miss each other.
Scenario split(std::string const& name, Order const& one, Order const& other, Names const& first_majority,
               Names const& second_majority) {
  Scenario out;
  out.name = name;
  out.about = "two changes of members that were never chosen are seen by two proposers";
  out.keepers = 6;
  out.members = {0, 1, 2, 3};
  out.nodes = {"p1", "p2", "p3", "p4"};
  out.orders = {one, other, apply("a", "p3", 2), apply("b", "p4", 2)};
  Script script;
  script.say("ask 1 " + one.id + " at p1").prepare("p1", 2, {"k1", "k2", "k3"}).accept("p1", 2, {"k1"});
  script.say("ask 2 " + other.id + " at p2").say("retry p2");
  script.prepare("p2", 3, {"k2", "k3", "k4"}).accept("p2", 3, {"k4"});
  script.say("ask 3 a at p3").say("retry p3").say("retry p3").prepare("p3", 4, {"k1", "k2", "k3"});
  script.say("ask 4 b at p4").say("retry p4").say("retry p4").say("retry p4");
  script.prepare("p4", 5, {"k2", "k3", "k4"});
  script.say("retry p3").say("retry p3").say("retry p4");
  script.prepare("p3", 6, first_majority).accept("p3", 6, first_majority).accepted("p3", first_majority);
  script.prepare("p4", 6, second_majority).accept("p4", 6, second_majority).accepted("p4", second_majority);
  out.prefix = script.lines;
  return out;
}

}  // namespace

std::vector<Scenario> directed_scenarios() {
  std::vector<Scenario> out;
  out.push_back(
      split("split-admit", admit("k5", "p1"), admit("k6", "p2"), {"k1", "k2", "k5"}, {"k3", "k4", "k6"}));
  out.push_back(split("split-dismiss", dismiss("k4", "p1"), dismiss("k1", "p2"), {"k1", "k2"}, {"k3", "k4"}));
  return out;
}

std::vector<Scenario> small_scenarios() {
  std::vector<Scenario> out;
  out.push_back(of("rivals", "two orders on one serial", {apply("a", "p1", 1), apply("b", "p2", 1)}, {}));
  out.push_back(of("read", "a read beside an order", {apply("a", "p1", 1), read("r", "p2")}, {}));
  out.push_back(of("resend", "an order is sent again elsewhere, and another comes between",
                   {apply("a", "p1", 1), apply("a", "p2", 1)}, {}));
  Scenario wipe = of("wipe", "a keeper loses its disk", {apply("a", "p1", 1), read("r", "p2", 0)}, {});
  wipe.bounds.wipes = 1;
  out.push_back(wipe);
  Scenario crash = of("crash", "a keeper ends before its sync does", {apply("a", "p1", 1), read("r", "p2", 0)}, {});
  crash.slow_disks = true;
  crash.bounds.crashes = 1;
  out.push_back(crash);
  Scenario restart = of("restart", "a node starts anew and orders again", {apply("a", "p1", 1), apply("b", "p1", 1)}, {});
  restart.nodes = {"p1"};
  restart.bounds.restarts = 1;
  out.push_back(restart);
  return out;
}

std::vector<Scenario> large_scenarios() { return {}; }

std::vector<Scenario> walked_scenarios() { return {}; }

std::vector<Scenario> all_scenarios() {
  std::vector<Scenario> out = small_scenarios();
  for (std::vector<Scenario> const& more : {large_scenarios(), directed_scenarios(), walked_scenarios()})
    out.insert(out.end(), more.begin(), more.end());
  return out;
}

bool find_scenario(std::string const& name, Scenario& out) {
  for (Scenario const& item : all_scenarios())
    if (item.name == name) {
      out = item;
      return true;
    }
  return false;
}

}  // namespace pipit::checker
