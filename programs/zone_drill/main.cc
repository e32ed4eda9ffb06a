// pipitspool-zone-drill: drains a zone of a live fleet, checks meanwhile that the fleet keeps its guarantees, and
// refills the zone (§8.3). Exit codes: 0 passed, 1 a guarantee was broken, 2 bad usage, 3 interrupted (the zone was
// refilled), 4 refused to begin, 5 the zone could not be refilled.
#include <glib.h>
#include <signal.h>
#include <simdjson.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <map>
#include <set>
#include <vector>

#include "base/flags.h"
#include "base/ip.h"
#include "base/json_writer.h"
#include "base/micros.h"
#include "runtime/http/operator_client.h"

namespace pipit {
namespace {

namespace options = boost::program_options;

volatile sig_atomic_t interrupted = 0;  // set by SIGINT and SIGTERM
// The guarantees, counted from the confirmation of the drain: each router has the change in force, and none sends to
// the zone any more.
constexpr Micros max_in_force_delay = seconds(2);
constexpr Micros max_drain_delay = seconds(5);
constexpr Micros drain_timeout = seconds(20);
constexpr Micros refill_timeout = seconds(30);

Micros now() { return g_get_monotonic_time(); }

// A worker in the status of a node.
struct Worker {
  std::string zone;
  bool serving = false;
  std::int64_t slots = 0;
  std::int64_t demand = 0;
  std::uint64_t sent = 0;  // requests that the node has sent to it
};
// The status of one node.
struct NodeStatus {
  bool valid = false;   // the node was reached and its status is complete
  bool router = false;  // the node is a router
  bool ready = false;
  std::uint64_t serial = 0;
  std::set<std::string> drained_zones;
  std::map<std::string, Worker> workers;
  std::map<std::string, std::string> routers;  // HTTP addresses of the peers that are alive and routers, by name
  std::string name;
};

NodeStatus read_status(std::string const& address) {
  NodeStatus out;
  OperatorReply const reply = call_operator_api("GET", address, "/v1/status", nullptr, "");
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  if (reply.status != 200 || parser.parse(simdjson::padded_string(reply.body)).get(root)) return out;
  std::string_view text;
  if (!root["name"].get_string().get(text)) out.name = text;
  if (!root["role"].get_string().get(text)) out.router = text == "passage";
  if (root["ready"].get_bool().get(out.ready) || root["serial"].get_uint64().get(out.serial)) return out;
  for (simdjson::dom::element const& zone : root["emptied"].get_array())
    if (!zone.get_string().get(text)) out.drained_zones.insert(std::string(text));
  for (simdjson::dom::element const& item : root["workers"].get_array()) {
    Worker worker;
    std::string_view id;
    std::string_view standing;
    bool unhealthy = true;
    if (item["id"].get_string().get(id) || item["zone"].get_string().get(text) ||
        item["standing"].get_string().get(standing) || item["dark"].get_bool().get(unhealthy) ||
        item["slots"].get_int64().get(worker.slots) || item["demand"].get_int64().get(worker.demand) ||
        item["sent"].get_uint64().get(worker.sent))
      return out;
    worker.zone = text;
    worker.serving = standing == "serving" && !unhealthy;
    out.workers[std::string(id)] = worker;
  }
  for (simdjson::dom::element const& item : root["peers"].get_array()) {
    std::string_view name;
    std::string_view state;
    std::string_view role;
    std::string_view http;
    if (item["name"].get_string().get(name) || item["state"].get_string().get(state) ||
        item["role"].get_string().get(role) || item["http"].get_string().get(http))
      return out;
    if (role == "passage" && state == "alive") out.routers[std::string(name)] = http;
  }
  out.valid = true;
  return out;
}

// Sleeps between two status requests; a signal ends the sleep early.
void pause_unless_interrupted(Micros span) {
  Micros const end = now() + span;
  while (now() < end && !interrupted) g_usleep(20000);
}

// One drill of a zone.
class Drill {
 public:
  // `node` is the address of any node. `hold_s`: how long the zone stays drained. `max_demand_share`: the drill begins
  // only if the demand takes at most this share of the slots in the other zones.
  Drill(std::string node, std::string zone, double hold_s, double max_demand_share)
      : node_(std::move(node)),
        zone_(std::move(zone)),
        observation_time_(static_cast<Micros>(hold_s * 1e6)),
        max_demand_share_(max_demand_share) {}

  // Returns the exit code.
  int run() {
    NodeStatus const first = read_status(node_);
    if (!first.valid) return refuse("the node " + node_ + " cannot be reached or gave no valid status");
    std::string const why = unfit_reason(first);
    if (!why.empty()) return refuse(why);
    routers_ = first.routers;
    if (first.router) routers_[first.name] = node_;
    // The zone is refilled after this, whatever the drill finds.
    bool const observed = drain_and_observe();
    bool const refilled = refill();
    report(refilled);
    if (!refilled) return 5;
    if (interrupted) return 3;
    return observed && faults_.empty() ? 0 : 1;
  }

 private:
  int refuse(std::string const& why) {
    std::fprintf(stderr, "pipitspool-zone-drill: refused to begin: %s\n", why.c_str());
    return 4;
  }

  // Why the zone cannot be drained now; empty if it can.
  std::string unfit_reason(NodeStatus const& status) const {
    std::int64_t demand = 0;
    std::int64_t other_slots = 0;
    std::size_t workers_in_zone = 0;
    for (std::pair<std::string const, Worker> const& item : status.workers) {
      if (!item.second.serving) continue;
      demand += item.second.demand;
      if (item.second.zone == zone_)
        ++workers_in_zone;
      else
        other_slots += item.second.slots;
    }
    if (!status.drained_zones.empty()) return "the zone " + *status.drained_zones.begin() + " is drained already";
    if (workers_in_zone == 0) return "no worker serves in the zone " + zone_;
    if (other_slots == 0 || static_cast<double>(demand) > max_demand_share_ * static_cast<double>(other_slots))
      return "the other zones have " + std::to_string(other_slots) + " slots for a demand of " + std::to_string(demand);
    return "";
  }

  // Records a broken guarantee, each once.
  void add_fault(std::string const& what) {
    if (std::find(faults_.begin(), faults_.end(), what) == faults_.end()) faults_.push_back(what);
  }

  // Drains the zone and checks the routers until the hold ends. Returns false if the drain was not confirmed.
  bool drain_and_observe() {
    Micros const started_at = now();
    std::string const empty_body;
    OperatorReply reply;
    do {
      reply = call_operator_api("POST", node_, "/v1/zones/" + zone_ + "/empty", &empty_body, "");
      if (reply.status == 200) break;
      pause_unless_interrupted(millis(500));
    } while (!interrupted && now() - started_at < drain_timeout);
    if (reply.status != 200) {
      add_fault("the nodes did not confirm that the zone is drained: " + reply.body);
      return false;
    }
    Micros const confirmed_at = now();
    confirmation_time_ = confirmed_at - started_at;
    simdjson::dom::parser parser;
    simdjson::dom::element root;
    std::uint64_t serial = 0;
    if (parser.parse(simdjson::padded_string(reply.body)).get(root) || root["serial"].get_uint64().get(serial))
      add_fault("the node's answer to the drain has no serial");
    std::map<std::string, std::uint64_t> sent;  // requests sent, by router and worker
    while (!interrupted && now() - confirmed_at < observation_time_) {
      for (std::pair<std::string const, std::string> const& router : routers_) {
        NodeStatus const status = read_status(router.second);
        Micros const age = now() - confirmed_at;
        if (!status.valid) {
          add_fault(router.first + " could not be reached");
          continue;
        }
        ++samples_;
        if (age > max_in_force_delay && status.serial < serial)
          add_fault(router.first + " does not have the drain's serial in force after two seconds");
        if (!status.ready) add_fault(router.first + " was not ready during the drill");
        for (std::pair<std::string const, Worker> const& item : status.workers) {
          std::string const key = router.first + " " + item.first;
          std::uint64_t const previous = sent.count(key) ? sent[key] : item.second.sent;
          sent[key] = item.second.sent;
          if (item.second.sent == previous) continue;
          if (item.second.zone != zone_) {
            sent_elsewhere_ += item.second.sent - previous;
          } else {
            last_sent_to_zone_ = std::max(last_sent_to_zone_, age);
            if (age > max_drain_delay)
              add_fault(router.first + " sent to " + item.first +
                        " more than five seconds after the drain was confirmed");
          }
        }
      }
      pause_unless_interrupted(millis(250));
    }
    // Without traffic the drill cannot show that routers avoid the zone.
    if (!interrupted && sent_elsewhere_ == 0) add_fault("the fleet had no traffic while the zone was drained");
    if (!interrupted && observation_time_ <= max_drain_delay)
      add_fault("the hold was too short: routers may send to the zone for five seconds");
    return true;
  }

  // Refills the zone; tries for 30 seconds.
  bool refill() {
    std::string const empty_body;
    Micros const started_at = now();
    while (now() - started_at < refill_timeout) {
      if (call_operator_api("POST", node_, "/v1/zones/" + zone_ + "/refill", &empty_body, "").status == 200)
        return true;
      // Any node can propose the change, so the routers are tried if this node fails.
      for (std::pair<std::string const, std::string> const& router : routers_)
        if (call_operator_api("POST", router.second, "/v1/zones/" + zone_ + "/refill", &empty_body, "").status == 200)
          return true;
      g_usleep(300000);
    }
    return false;
  }

  // Prints the findings as JSON, and the verdict.
  void report(bool refilled) const {
    JsonWriter json;
    json.begin_object()
        .key("zone")
        .text(zone_)
        .key("routers")
        .number(static_cast<std::int64_t>(routers_.size()))
        .key("looks")
        .number(samples_);
    json.key("confirmed_ms")
        .number(confirmation_time_ / 1000)
        .key("last_inside_ms")
        .number(last_sent_to_zone_ / 1000)
        .key("sent_elsewhere")
        .number(static_cast<std::int64_t>(sent_elsewhere_));
    json.key("put_back").boolean(refilled).key("interrupted").boolean(interrupted != 0).key("faults").begin_list();
    for (std::string const& item : faults_) json.text(item);
    json.end_list().end_object();
    std::printf("%s\n%s\n", json.take().c_str(), faults_.empty() && refilled && !interrupted ? "PASS" : "FAIL");
  }

  std::string const node_;
  std::string const zone_;
  Micros const observation_time_;
  double const max_demand_share_;
  std::map<std::string, std::string> routers_;
  std::vector<std::string> faults_;
  Micros confirmation_time_ = 0;      // from the call to the confirmation of every node
  Micros last_sent_to_zone_ = 0;      // from the confirmation to the last request seen in the zone
  std::uint64_t sent_elsewhere_ = 0;  // requests to the other zones
  std::int64_t samples_ = 0;          // status answers read
};

int run(int argc, char** argv) {
  std::string node = "127.0.0.1:7080";
  std::string zone;
  double hold_s = 10;
  double max_demand_share = 0.8;
  options::options_description flags(
      "pipitspool-zone-drill: drains a zone of a live fleet, checks the fleet's guarantees, and refills the zone");
  flags.add_options()("node", options::value(&node), "IP:port of any node")("zone", options::value(&zone),
                                                                            "the zone to drain")(
      "hold", options::value(&hold_s), "how long the zone stays drained, in seconds (above 5, at most 600)")(
      "most", options::value(&max_demand_share),
      "the largest share of the other zones' slots that the demand may take (at most 1)")("help", "this text");
  std::function<void()> const print_help = [&] { std::cout << flags; };
  std::optional<int> const ended = read_flags("pipitspool-zone-drill", argc, argv, flags, print_help);
  if (ended) return *ended;
  if (!is_valid_address(node) || zone.empty() || hold_s <= 5 || hold_s > 600 || max_demand_share <= 0 ||
      max_demand_share > 1) {
    std::fprintf(stderr,
                 "pipitspool-zone-drill: --node IP:port, --zone, a --hold above 5 and at most 600, and --most up to 1 "
                 "are needed\n");
    return 2;
  }
  struct sigaction act = {};
  act.sa_handler = [](int) { interrupted = 1; };
  sigaction(SIGINT, &act, nullptr);
  sigaction(SIGTERM, &act, nullptr);
  return Drill(node, zone, hold_s, max_demand_share).run();
}

}  // namespace
}  // namespace pipit

int main(int argc, char** argv) { return pipit::run(argc, argv); }
