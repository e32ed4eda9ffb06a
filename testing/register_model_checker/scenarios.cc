#include "testing/register_model_checker/scenarios.h"

namespace pipit::register_checker {

namespace {

using Type = Change::Type;
using Names = std::vector<std::string>;

constexpr std::uint64_t first_epoch = 2;

Order apply(std::string const& id, std::string const& node, std::uint64_t expected, int after = -1) {
  return {id, node, Type::apply, expected, "", after, ""};
}
Order read(std::string const& id, std::string const& node, int after = -1) {
  return {id, node, Type::read, 0, "", after, ""};
}
Order admit(std::string const& replica, std::string const& node, std::uint64_t epoch = first_epoch, int after = -1) {
  return {"admit-" + replica + "-" + node, node, Type::admit, epoch, replica, after, ""};
}
Order dismiss(std::string const& replica, std::string const& node, std::uint64_t epoch = first_epoch, int after = -1) {
  return {"dismiss-" + replica + "-" + node, node, Type::dismiss, epoch, replica, after, ""};
}

Order replace(std::string const& replaced, std::string const& replica, std::string const& node,
              std::uint64_t epoch = first_epoch, int after = -1) {
  return {"replace-" + replaced + "-" + replica + "-" + node, node, Type::replace, epoch, replica, after, replaced};
}

Scenario make_scenario(std::string const& name, std::string const& description, std::vector<Order> orders,
                       Bounds const& bounds) {
  Scenario out;
  out.name = name;
  out.description = description;
  out.orders = std::move(orders);
  out.bounds = bounds;
  return out;
}

// Builds the steps of a directed prefix. Each function appends steps.
class Script {
 public:
  Names lines;
  Script& step(std::string const& line, int times = 1) {
    for (int i = 0; i < times; ++i) lines.push_back(line);
    return *this;
  }
  // Delivers the prepare requests of a round and the promises of these replicas.
  Script& prepare(std::string const& node, std::uint64_t round, Names const& replicas) {
    for (std::string const& replica : replicas)
      step("deliver prepare " + node + ">" + replica + " in round " + std::to_string(round));
    for (std::string const& replica : replicas) step("deliver promise " + replica + ">" + node);
    return *this;
  }
  // Delivers the accept requests of a round to these replicas.
  Script& accept(std::string const& node, std::uint64_t round, Names const& replicas) {
    for (std::string const& replica : replicas)
      step("deliver accept " + node + ">" + replica + " in round " + std::to_string(round));
    return *this;
  }
  // Delivers the acknowledgements of these replicas.
  Script& accepted(std::string const& node, Names const& replicas) {
    for (std::string const& replica : replicas) step("deliver accepted " + replica + ">" + node);
    return *this;
  }
  // Delivers all messages of a round that these replicas take part in.
  Script& round(std::string const& node, std::uint64_t number, Names const& replicas) {
    return prepare(node, number, replicas).accept(node, number, replicas).accepted(node, replicas);
  }
};

// The serial after a membership change, which does not increment it.
constexpr std::uint64_t split_serial = 1;

// Two membership changes start from the same membership of four, and each is accepted by one replica only. Then one
// proposer learns of the first change and another proposer of the second. The proposers must not go on with memberships
// whose majorities do not intersect.
Scenario split_membership(std::string const& name, Order const& first_change, Order const& second_change,
                          Names const& first_majority, Names const& second_majority) {
  Scenario out;
  out.name = name;
  out.description = "two proposers learn of two different membership changes that were never chosen";
  out.replicas = 6;
  out.members = {0, 1, 2, 3};
  out.nodes = {"p1", "p2", "p3", "p4"};
  out.orders = {first_change, second_change, apply("a", "p3", 2), apply("b", "p4", 2)};
  for (Order& order : out.orders)
    if (order.type == Type::apply) order.expected = split_serial;
  Script script;
  script.step("ask 1 " + first_change.id + " at p1").prepare("p1", 2, {"k1", "k2", "k3"}).accept("p1", 2, {"k1"});
  script.step("ask 2 " + second_change.id + " at p2").step("retry p2");
  script.prepare("p2", 3, {"k2", "k3", "k4"}).accept("p2", 3, {"k4"});
  script.step("ask 4 b at p4").step("retry p4", 2).prepare("p4", 4, {"k2", "k3", "k4"});
  script.step("ask 3 a at p3").step("retry p3", 3).prepare("p3", 5, {"k1", "k2", "k3"});
  script.step("retry p3").prepare("p3", 6, first_majority).accept("p3", 6, first_majority);
  script.accepted("p3", first_majority);
  // The rejected prepare request tells p4 the higher round, while p4 keeps the membership that it has learnt.
  script.step("retry p4").step("deliver prepare p4>k2 in round 5").step("deliver promise k2>p4").step("retry p4");
  script.round("p3", 7, first_majority).round("p3", 8, first_majority);
  script.round("p4", 7, second_majority).round("p4", 8, second_majority).round("p4", 9, second_majority);
  out.prefix = script.lines;
  return out;
}

// As in split_membership, with two replacements in a membership of three. The memberships after them have majorities
// without a common replica.
Scenario split_replace() {
  Scenario out;
  out.name = "split-replace";
  out.description = "two proposers learn of two different replacements that were never chosen";
  out.replicas = 5;
  out.nodes = {"p1", "p2", "p3", "p4"};
  out.orders = {replace("k1", "k4", "p1"), replace("k2", "k5", "p2"), apply("a", "p3", 1), apply("b", "p4", 1)};
  Script script;
  script.step("ask 1 " + out.orders[0].id + " at p1").prepare("p1", 2, {"k1", "k3"}).accept("p1", 2, {"k3"});
  script.step("ask 2 " + out.orders[1].id + " at p2").step("retry p2");
  script.prepare("p2", 3, {"k1", "k2"}).accept("p2", 3, {"k2"});
  script.step("ask 3 a at p3").step("retry p3", 2).prepare("p3", 4, {"k1", "k3"}).step("retry p3");
  script.prepare("p3", 5, {"k1", "k3", "k4"}).accept("p3", 5, {"k3", "k4"}).accepted("p3", {"k3", "k4"});
  script.round("p3", 6, {"k3", "k4"}).round("p3", 7, {"k3", "k4"});
  script.step("ask 4 b at p4").step("retry p4", 7).prepare("p4", 9, {"k1", "k2"}).step("retry p4");
  script.prepare("p4", 10, {"k1", "k2", "k5"}).accept("p4", 10, {"k1", "k5"}).accepted("p4", {"k1", "k5"});
  script.round("p4", 11, {"k1", "k5"}).round("p4", 12, {"k1", "k5"});
  out.prefix = script.lines;
  return out;
}

// Only the replaced replica has accepted the final membership; a new node must still be able to read.
Scenario leaving_holds() {
  Scenario out;
  out.name = "leaving-holds";
  out.description = "only the replaced replica has accepted the membership without it";
  out.replicas = 4;
  out.nodes = {"p1"};
  out.orders = {replace("k1", "k4", "p1")};
  Script script;
  script.step("ask 1 " + out.orders[0].id + " at p1").round("p1", 2, {"k2", "k3"});
  script.prepare("p1", 3, {"k2", "k3"}).accept("p1", 3, {"k1"});
  // k1 does not have the value that the patch is based on, and requests the full value.
  script.accepted("p1", {"k1"}).accept("p1", 3, {"k1"});
  out.prefix = script.lines;
  return out;
}

}  // namespace

std::vector<Scenario> directed_scenarios() {
  std::vector<Scenario> out;
  out.push_back(
      split_membership("split-admit", admit("k5", "p1"), admit("k6", "p2"), {"k1", "k2", "k5"}, {"k3", "k4", "k6"}));
  out.push_back(
      split_membership("split-dismiss", dismiss("k4", "p1"), dismiss("k1", "p2"), {"k1", "k2"}, {"k3", "k4"}));
  out.push_back(split_replace());
  out.push_back(leaving_holds());
  return out;
}

std::vector<Scenario> small_scenarios() {
  std::vector<Scenario> out;
  out.push_back(make_scenario("rivals", "two orders for the same expected serial",
                              {apply("a", "p1", 1), apply("b", "p2", 1)}, {}));
  out.push_back(make_scenario("read", "a read concurrent with an order", {apply("a", "p1", 1), read("r", "p2")}, {}));
  out.push_back(make_scenario("resend", "an order is sent again to another node",
                              {apply("a", "p1", 1), apply("a", "p2", 1)}, {}));

  Scenario wipe = make_scenario("wipe", "a replica loses its disk", {apply("a", "p1", 1), read("r", "p2", 0)}, {});
  wipe.bounds.wipes = 1;
  wipe.bounds.retries = 1;
  out.push_back(wipe);

  Scenario crash = make_scenario("crash", "a replica crashes before its sync completes",
                                 {apply("a", "p1", 1), read("r", "p1", 0)}, {});
  crash.slow_disks = true;
  crash.bounds.crashes = 1;
  crash.nodes = {"p1"};
  out.push_back(crash);

  Scenario restart = make_scenario("restart", "a node restarts and submits another order",
                                   {apply("a", "p1", 1), apply("b", "p1", 1)}, {});
  restart.nodes = {"p1"};
  restart.bounds.restarts = 1;
  out.push_back(restart);

  Scenario resend_later = make_scenario("again", "an order is sent again after another order was chosen", {}, {});
  resend_later.orders = {apply("a", "p1", 1), apply("b", "p1", 2, 0), apply("a", "p1", 1, 1)};
  resend_later.nodes = {"p1"};
  out.push_back(resend_later);

  Scenario late =
      make_scenario("late", "a change times out and is sent again", {apply("a", "p1", 1), apply("a", "p1", 1, 0)}, {});
  late.nodes = {"p1"};
  late.bounds.give_ups = 1;
  late.bounds.repeats = 1;
  out.push_back(late);

  Scenario poll = make_scenario("poll", "a node polls during an order", {apply("a", "p1", 1)}, {});
  poll.bounds.polls = 1;
  out.push_back(poll);

  Scenario growth_from_one = make_scenario("second", "a membership of one grows to two during an order", {}, {});
  growth_from_one.replicas = 2;
  growth_from_one.members = {0};
  growth_from_one.orders = {admit("k2", "p1"), apply("a", "p2", 1)};
  growth_from_one.bounds.retries = 2;
  out.push_back(growth_from_one);

  Scenario growth =
      make_scenario("third", "one proposer grows a membership of two to three, then submits an order", {}, {});
  growth.members = {0, 1};
  growth.nodes = {"p1"};
  growth.orders = {admit("k3", "p1"), apply("a", "p1", 1, 0)};
  out.push_back(growth);

  Scenario mutual_dismissal = make_scenario("swap", "two nodes dismiss one replica each of two", {}, {});
  mutual_dismissal.replicas = 2;
  mutual_dismissal.members = {0, 1};
  mutual_dismissal.orders = {dismiss("k2", "p1"), dismiss("k1", "p2")};
  mutual_dismissal.bounds.retries = 1;
  out.push_back(mutual_dismissal);
  return out;
}

// Break an assumption of the register, so that a violation must be found.
std::vector<Scenario> broken_scenarios() {
  Scenario repeated_seed =
      make_scenario("same-chance", "a node's next incarnation has the same random seed as the one before", {}, {});
  repeated_seed.orders = {apply("a", "p1", 1), apply("b", "p1", 1)};
  repeated_seed.nodes = {"p1"};
  repeated_seed.same_chance = true;
  Script script;
  script.step("ask 1 a at p1");
  for (char const* const replica : {"k1", "k2", "k3"})
    script.step(std::string("deliver prepare p1>") + replica + " in round 2");
  script.step("repeat promise k1>p1").step("deliver promise k2>p1").step("restart p1");
  repeated_seed.prefix = script.lines;
  return {repeated_seed};
}

std::vector<Scenario> large_scenarios() {
  std::vector<Scenario> out;
  Bounds one_retry;
  one_retry.retries = 1;
  out.push_back(make_scenario("rivals-1", "two orders for the same expected serial, with a retry",
                              {apply("a", "p1", 1), apply("b", "p2", 1)}, one_retry));
  out.push_back(make_scenario("resend-1", "an order is sent again to another node, with a retry",
                              {apply("a", "p1", 1), apply("a", "p2", 1)}, one_retry));
  Scenario admission = make_scenario("admit", "a membership of three grows to four during an order", {}, one_retry);
  admission.replicas = 4;
  admission.orders = {admit("k4", "p1"), apply("a", "p2", 1)};
  out.push_back(admission);
  Scenario dismissal = make_scenario("dismiss", "a membership of three shrinks to two during an order", {}, one_retry);
  dismissal.orders = {dismiss("k3", "p1"), apply("a", "p2", 1)};
  out.push_back(dismissal);
  Scenario replacement = make_scenario("replace", "a replica is replaced during an order", {}, one_retry);
  replacement.replicas = 4;
  replacement.orders = {replace("k3", "k4", "p1"), apply("a", "p2", 1)};
  out.push_back(replacement);
  Scenario mutual_dismissal =
      make_scenario("pair", "two nodes dismiss one replica each of two during an order", {}, one_retry);
  mutual_dismissal.replicas = 2;
  mutual_dismissal.members = {0, 1};
  mutual_dismissal.bounds.retries = 3;
  mutual_dismissal.orders = {dismiss("k2", "p1"), dismiss("k1", "p2"), apply("a", "p1", 1)};
  out.push_back(mutual_dismissal);
  Scenario growth =
      make_scenario("third-1", "a membership of two grows to three with a retry, then an order", {}, one_retry);
  growth.members = {0, 1};
  growth.nodes = {"p1"};
  growth.orders = {admit("k3", "p1"), apply("a", "p1", 1, 0)};
  out.push_back(growth);
  return out;
}

std::vector<Scenario> random_walk_scenarios() {
  std::vector<Scenario> out;
  Bounds fault_bounds;
  fault_bounds.repeats = 4;
  fault_bounds.retries = 40;
  fault_bounds.give_ups = 2;
  fault_bounds.restarts = 2;
  fault_bounds.crashes = 2;
  fault_bounds.polls = 6;
  Scenario orders =
      make_scenario("walk-orders", "three nodes order, read and send again with five replicas", {}, fault_bounds);
  orders.replicas = 5;
  orders.members = {0, 1, 2, 3, 4};
  orders.nodes = {"p1", "p2", "p3"};
  orders.slow_disks = true;
  orders.push_chosen = true;
  orders.bounds.wipes = 2;
  orders.orders = {apply("a", "p1", 1),    apply("b", "p2", 1),    apply("c", "p3", 2), read("r", "p1"),
                   apply("a", "p3", 1, 0), apply("b", "p1", 1, 1), read("s", "p2"),     apply("d", "p2", 3)};
  out.push_back(orders);

  Scenario members =
      make_scenario("walk-members", "four nodes change a membership of four during orders", {}, fault_bounds);
  members.replicas = 6;
  members.members = {0, 1, 2, 3};
  members.nodes = {"p1", "p2", "p3", "p4"};
  members.push_chosen = true;
  members.orders = {admit("k5", "p1"),   admit("k6", "p2"),   apply("a", "p3", 1),
                    apply("b", "p4", 1), dismiss("k1", "p3"), read("r", "p4"),
                    dismiss("k4", "p2"), apply("c", "p1", 2), apply("a", "p2", 1, 2)};
  out.push_back(members);

  Scenario growth =
      make_scenario("walk-growth", "a membership of one grows to five, changes and shrinks again", {}, fault_bounds);
  growth.replicas = 5;
  growth.members = {0};
  growth.nodes = {"p1", "p2", "p3"};
  growth.orders = {admit("k2", "p1"),      admit("k3", "p2"),    apply("a", "p3", 1),
                   admit("k3", "p1", 4),   admit("k4", "p2", 6), dismiss("k1", "p3", 4),
                   dismiss("k1", "p1", 6), apply("b", "p2", 1),  replace("k2", "k5", "p3", 6),
                   read("r", "p1"),        apply("c", "p3", 2)};
  out.push_back(growth);

  Scenario replacements =
      make_scenario("walk-replace", "two nodes replace replicas of three, and disks are lost", {}, fault_bounds);
  replacements.replicas = 5;
  replacements.nodes = {"p1", "p2", "p3"};
  replacements.slow_disks = true;
  replacements.bounds.wipes = 1;
  replacements.orders = {
      replace("k1", "k4", "p1"), replace("k2", "k5", "p2"), apply("a", "p3", 1), replace("k2", "k5", "p1", 4),
      read("r", "p2"),           apply("b", "p1", 2, 2),    read("s", "p3")};
  out.push_back(replacements);
  return out;
}

std::vector<Scenario> all_scenarios() {
  std::vector<Scenario> out = small_scenarios();
  for (std::vector<Scenario> const& more :
       {large_scenarios(), directed_scenarios(), random_walk_scenarios(), broken_scenarios()})
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

}  // namespace pipit::register_checker
