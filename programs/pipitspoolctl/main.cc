// pipitspoolctl: the operator's command line (§8.2). Exit codes: 0 done, 1 refused, 2 bad usage or input,
// 3 the outcome is not known, 4 not reached or no majority, 5 taken but not confirmed by all.
#include <glib.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/flags.h"
#include "base/ip.h"
#include "base/micros.h"
#include "config/description/description.h"
#include "runtime/http/operator_client.h"

namespace pipit {
namespace {

namespace options = boost::program_options;

int show(OperatorReply const& reply) {
  int const code = exit_code_of(reply);
  if (reply.status == 0) {
    std::fprintf(stderr, "pipitspoolctl: the node is not reached: %s\n", reply.error.c_str());
  } else {
    std::fprintf(code == 0 || code == 5 ? stdout : stderr, "%s\n", reply.body.c_str());
    if (code == 3)
      std::fprintf(stderr, "pipitspoolctl: resolve it with: pipitspoolctl change %s\n", reply.change_id.c_str());
  }
  return code;
}

bool slurp(std::string const& path, std::string& out) {
  std::stringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
  } else {
    std::ifstream file(path, std::ios::binary);
    if (!file) return false;
    text << file.rdbuf();
  }
  out = text.str();
  return true;
}

char const usage[] =
    "pipitspoolctl: checks, applies and reads the description, and empties and refills zones\n"
    "  pipitspoolctl check FILE                check a description, without any node\n"
    "  pipitspoolctl apply FILE [--expect N]   apply it whole; without --expect the present serial is read first\n"
    "  pipitspoolctl read [--marks]            print the accepted description as it was written\n"
    "  pipitspoolctl empty ZONE                no more requests to a zone; yes once every node confirms\n"
    "  pipitspoolctl refill ZONE               requests to the zone again\n"
    "  pipitspoolctl forget NODE               a router node that is gone for good no longer counts\n"
    "  pipitspoolctl change ID                 whether a change whose outcome was unknown was chosen\n"
    "  pipitspoolctl status                    what one node knows, as JSON\n"
    "  pipitspoolctl tenants                   what one node knows of tenants, their limits and keys (by digest), as "
    "JSON\n"
    "  pipitspoolctl wait [--within SECONDS]   until the node is ready to serve; 20 seconds at most unless told\n"
    "Exit codes: 0 done; 1 refused; 2 bad usage or description; 3 outcome unknown; 4 not reached or no majority;\n"
    "            5 chosen, but not confirmed by every node yet\n";

int run(int argc, char** argv) {
  std::vector<std::string> arguments;
  std::string node = "127.0.0.1:7080";
  std::string expect;
  bool serial_only = false;
  unsigned within = 20;
  options::options_description flags("Flags");
  flags.add_options()("node", options::value(&node), "IP:port of any node (default 127.0.0.1:7080)")(
      "expect", options::value(&expect), "the serial that the change expects")(
      "marks", options::bool_switch(&serial_only), "print serial and emptied zones, not the text")(
      "within", options::value(&within), "seconds that 'wait' waits at most (default 20)")("help", "this text");
  options::options_description all;
  all.add(flags);
  all.add_options()("words", options::value(&arguments));
  options::positional_options_description positions;
  positions.add("words", -1);
  std::function<void()> const print_help = [&] { std::cout << usage << flags; };
  std::optional<int> const ended = read_flags("pipitspoolctl", argc, argv, all, print_help, &positions);
  if (ended) return *ended;
  std::string const verb = arguments.empty() ? "" : arguments[0];
  bool const two = arguments.size() == 2;
  if (!good_address(node)) {
    std::fprintf(stderr, "pipitspoolctl: node: '%s' is not an IP number with a port\n", node.c_str());
    return 2;
  }
  if (verb == "check" && two) {
    std::string text;
    if (!slurp(arguments[1], text)) {
      std::fprintf(stderr, "pipitspoolctl: the file %s cannot be read\n", arguments[1].c_str());
      return 2;
    }
    Result<std::shared_ptr<Description const>> const made = read_description(text);
    if (!made) {
      std::fprintf(stderr, "pipitspoolctl: %s: %s: %s\n", error_code_row(made.error().code).name,
                   made.error().where.c_str(), made.error().what.c_str());
      return 2;
    }
    std::printf("good: %zu pools, %zu lanes\n", made.value()->pools.size(), made.value()->lanes.size());
    return 0;
  }
  if (verb == "apply" && two) {
    std::string text;
    if (!slurp(arguments[1], text)) {
      std::fprintf(stderr, "pipitspoolctl: the file %s cannot be read\n", arguments[1].c_str());
      return 2;
    }
    if (expect.empty()) {
      OperatorReply const present = call_operator_api("GET", node, "/v1/description", nullptr, "");
      if (present.status != 200) return show(present);
      expect = present.serial;
    }
    return show(call_operator_api("PUT", node, "/v1/description", &text, expect));
  }
  if (verb == "read" && arguments.size() == 1) {
    OperatorReply const reply = call_operator_api("GET", node, "/v1/description", nullptr, "");
    if (reply.status != 200) return show(reply);
    if (serial_only)
      std::printf("serial %s emptied %s\n", reply.serial.c_str(), reply.drained_zones.c_str());
    else
      std::fwrite(reply.body.data(), 1, reply.body.size(), stdout);
    return 0;
  }
  if ((verb == "empty" || verb == "refill") && two) {
    std::string const none;
    return show(call_operator_api("POST", node, "/v1/zones/" + arguments[1] + "/" + verb, &none, ""));
  }
  if (verb == "forget" && two) {
    std::string const none;
    return show(call_operator_api("POST", node, "/v1/nodes/" + arguments[1] + "/forget", &none, ""));
  }
  if (verb == "change" && two) return show(call_operator_api("GET", node, "/v1/changes/" + arguments[1], nullptr, ""));
  if (verb == "status" && arguments.size() == 1) return show(call_operator_api("GET", node, "/v1/status", nullptr, ""));
  if (verb == "tenants" && arguments.size() == 1)
    return show(call_operator_api("GET", node, "/v1/tenants", nullptr, ""));
  if (verb == "wait" && arguments.size() == 1) {
    Micros const stop = g_get_monotonic_time() + seconds(within);
    OperatorReply reply = call_operator_api("GET", node, "/ready", nullptr, "");
    while (reply.status != 200 && g_get_monotonic_time() < stop) {
      g_usleep(100000);
      reply = call_operator_api("GET", node, "/ready", nullptr, "");
    }
    return show(reply);
  }
  std::fputs(usage, stderr);
  return 2;
}

}  // namespace
}  // namespace pipit

int main(int argc, char** argv) { return pipit::run(argc, argv); }
