// pipitspool-zone-drill: the drill. Takes a zone out of a live fleet, watches the promises, and puts the zone back
// (§8.3). Exit codes: 0 passed, 1 a promise was broken, 2 bad usage, 3 interrupted (the zone was put back), 4 refused
// to begin, 5 the zone could not be put back.
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

volatile sig_atomic_t stopped = 0;
Micros now() { return g_get_monotonic_time(); }

struct Worker {
  std::string zone;
  bool serving = false;
  std::int64_t slots = 0;
  std::int64_t demand = 0;
  std::uint64_t sent = 0;
};
struct View {  // what one node says
  bool good = false;
  bool router = false;
  bool ready = false;
  std::uint64_t serial = 0;
  std::set<std::string> drained_zones;
  std::map<std::string, Worker> workers;
  std::map<std::string, std::string> routers;  // live peers that route, by name, with their addresses
  std::string name;
};

View read_view(std::string const& address) {
  View out;
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
  out.good = true;
  return out;
}

// A pause between two looks, ended early by a signal.
void pause_for(Micros span) {
  Micros const end = now() + span;
  while (now() < end && !stopped) g_usleep(20000);
}

class Drill {
 public:
  Drill(std::string node, std::string zone, double observe_s, double most)
      : node_(std::move(node)),
        zone_(std::move(zone)),
        observation_span_(static_cast<Micros>(observe_s * 1e6)),
        most_(most) {}

  int run() {
    View const first = read_view(node_);
    if (!first.good) return refuse("the node " + node_ + " is not reached");
    std::string const why = unfit(first);
    if (!why.empty()) return refuse(why);
    routers_ = first.routers;
    if (first.router) routers_[first.name] = node_;
    // From here on the zone is put back, whatever happens.
    bool const clean = empty_and_watch();
    bool const back = refill();
    report(back);
    if (!back) return 5;
    if (stopped) return 3;
    return clean && faults_.empty() ? 0 : 1;
  }

 private:
  int refuse(std::string const& why) {
    std::fprintf(stderr, "pipitspool-zone-drill: refused to begin: %s\n", why.c_str());
    return 4;
  }

  // Why the fleet cannot do without the zone now; empty when it can.
  std::string unfit(View const& view) const {
    std::int64_t demand = 0;
    std::int64_t rest = 0;
    std::size_t inside = 0;
    for (std::pair<std::string const, Worker> const& item : view.workers) {
      if (!item.second.serving) continue;
      demand += item.second.demand;
      if (item.second.zone == zone_)
        ++inside;
      else
        rest += item.second.slots;
    }
    if (!view.drained_zones.empty()) return "the zone " + *view.drained_zones.begin() + " is emptied already";
    if (inside == 0) return "no worker serves in the zone " + zone_;
    if (rest == 0 || static_cast<double>(demand) > most_ * static_cast<double>(rest))
      return "the other zones have " + std::to_string(rest) + " slots for a demand of " + std::to_string(demand);
    return "";
  }

  void error(std::string const& what) {
    if (std::find(faults_.begin(), faults_.end(), what) == faults_.end()) faults_.push_back(what);
  }

  bool empty_and_watch() {
    Micros const asked = now();
    std::string const none;
    OperatorReply reply;
    do {
      reply = call_operator_api("POST", node_, "/v1/zones/" + zone_ + "/empty", &none, "");
      if (reply.status == 200) break;
      pause_for(millis(500));
    } while (!stopped && now() - asked < seconds(20));
    if (reply.status != 200) {
      error("the zone was not confirmed empty: " + reply.body);
      return false;
    }
    Micros const yes = now();
    confirmed_ = yes - asked;
    simdjson::dom::parser parser;
    simdjson::dom::element root;
    std::uint64_t serial = 0;
    if (parser.parse(simdjson::padded_string(reply.body)).get(root) || root["serial"].get_uint64().get(serial))
      error("the answer has no serial");
    std::map<std::string, std::uint64_t> sent;  // node and worker, as of five seconds after the yes
    while (!stopped && now() - yes < observation_span_) {
      for (std::pair<std::string const, std::string> const& router : routers_) {
        View const view = read_view(router.second);
        Micros const age = now() - yes;
        if (!view.good) {
          error(router.first + " was not reached");
          continue;
        }
        ++samples_;
        if (age > seconds(2) && view.serial < serial)
          error(router.first + " has not the serial in force after two seconds");
        if (!view.ready) error(router.first + " was not ready");
        for (std::pair<std::string const, Worker> const& item : view.workers) {
          std::string const key = router.first + " " + item.first;
          std::uint64_t const before = sent.count(key) ? sent[key] : item.second.sent;
          sent[key] = item.second.sent;
          if (item.second.sent == before) continue;
          if (item.second.zone != zone_) {
            elsewhere_ += item.second.sent - before;
          } else {
            last_inside_ = std::max(last_inside_, age);
            if (age > seconds(5)) error(router.first + " sent to " + item.first + " after five seconds");
          }
        }
      }
      pause_for(millis(250));
    }
    // A drill that saw no traffic has shown nothing.
    if (!stopped && elsewhere_ == 0) error("no traffic was seen while the zone was empty");
    if (!stopped && observation_span_ <= seconds(5)) error("the hold was too short to see the promise kept");
    return true;
  }

  bool refill() {
    std::string const none;
    Micros const asked = now();
    while (now() - asked < seconds(30)) {
      if (call_operator_api("POST", node_, "/v1/zones/" + zone_ + "/refill", &none, "").status == 200) return true;
      // Any node proposes; the next may be reached where this one is not.
      for (std::pair<std::string const, std::string> const& router : routers_)
        if (call_operator_api("POST", router.second, "/v1/zones/" + zone_ + "/refill", &none, "").status == 200)
          return true;
      g_usleep(300000);
    }
    return false;
  }

  void report(bool back) const {
    JsonWriter json;
    json.begin_object()
        .key("zone")
        .text(zone_)
        .key("routers")
        .number(static_cast<std::int64_t>(routers_.size()))
        .key("looks")
        .number(samples_);
    json.key("confirmed_ms")
        .number(confirmed_ / 1000)
        .key("last_inside_ms")
        .number(last_inside_ / 1000)
        .key("sent_elsewhere")
        .number(static_cast<std::int64_t>(elsewhere_));
    json.key("put_back").boolean(back).key("interrupted").boolean(stopped != 0).key("faults").begin_list();
    for (std::string const& item : faults_) json.text(item);
    json.end_list().end_object();
    std::printf("%s\n%s\n", json.take().c_str(), faults_.empty() && back && !stopped ? "PASS" : "FAIL");
  }

  std::string const node_;
  std::string const zone_;
  Micros const observation_span_;
  double const most_;
  std::map<std::string, std::string> routers_;
  std::vector<std::string> faults_;
  Micros confirmed_ = 0;
  Micros last_inside_ = 0;
  std::uint64_t elsewhere_ = 0;
  std::int64_t samples_ = 0;
};

int run(int argc, char** argv) {
  std::string node = "127.0.0.1:7080";
  std::string zone;
  double observe_s = 10;
  double most = 0.8;
  options::options_description flags(
      "pipitspool-zone-drill: takes a zone out of a live fleet, watches the promises, and puts it back");
  flags.add_options()("node", options::value(&node), "IP:port of any node")("zone", options::value(&zone), "the zone")(
      "hold", options::value(&observe_s), "seconds without it, above 5")(
      "most", options::value(&most), "how much of the other zones' slots the demand may take")("help", "this text");
  std::function<void()> const print_help = [&] { std::cout << flags; };
  std::optional<int> const ended = read_flags("pipitspool-zone-drill", argc, argv, flags, print_help);
  if (ended) return *ended;
  if (!is_valid_address(node) || zone.empty() || observe_s <= 5 || observe_s > 600 || most <= 0 || most > 1) {
    std::fprintf(stderr,
                 "pipitspool-zone-drill: --node IP:port, --zone, a --hold above 5 and at most 600, and --most up to 1 "
                 "are needed\n");
    return 2;
  }
  struct sigaction act = {};
  act.sa_handler = [](int) { stopped = 1; };
  sigaction(SIGINT, &act, nullptr);
  sigaction(SIGTERM, &act, nullptr);
  return Drill(node, zone, observe_s, most).run();
}

}  // namespace
}  // namespace pipit

int main(int argc, char** argv) { return pipit::run(argc, argv); }
