// pipitspoolctl: the operator's command line (§8.2). Exit codes: 0 done, 1 refused, 2 bad usage or input, 3 outcome
// unknown, 4 node unreachable or no majority, 5 chosen, but not confirmed by every node yet.
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

// Prints the reply of a node, or why it was not reached. Returns the exit code.
int print_reply(OperatorReply const& reply) {
  int const code = exit_code_of(reply);
  if (reply.status == 0) {
    std::fprintf(stderr, "pipitspoolctl: the node cannot be reached: %s\n", reply.error.c_str());
  } else {
    std::fprintf(code == 0 || code == 5 ? stdout : stderr, "%s\n", reply.body.c_str());
    if (code == 3)
      std::fprintf(stderr, "pipitspoolctl: find out the outcome with: pipitspoolctl change %s\n",
                   reply.change_id.c_str());
  }
  return code;
}

// Reads a file, or standard input if the path is "-".
bool read_file(std::string const& path, std::string& out) {
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
    "pipitspoolctl: checks, applies and reads the description, and drains and refills zones\n"
    "  pipitspoolctl check FILE                check a description without contacting a node\n"
    "  pipitspoolctl apply FILE [--expect N]   replace the description; without --expect, read the present serial "
    "first\n"
    "  pipitspoolctl read [--marks]            print the accepted description as it was written\n"
    "  pipitspoolctl empty ZONE                drain a zone; done once every node confirms the change\n"
    "  pipitspoolctl refill ZONE               send requests to the zone again\n"
    "  pipitspoolctl forget NODE               remove a router node that will not return; no confirmation waits for "
    "it\n"
    "  pipitspoolctl change ID                 tell whether a change with an unknown outcome was chosen\n"
    "  pipitspoolctl status                    print the node's status as JSON\n"
    "  pipitspoolctl tenants                   print the tenants that the node knows, with their limits and the "
    "digests\n"
    "                                          of their keys, as JSON\n"
    "  pipitspoolctl wait [--within SECONDS]   wait until the node is ready to serve, at most 20 seconds by default\n"
    "Exit codes: 0 done; 1 refused; 2 bad usage or description; 3 outcome unknown; 4 node unreachable or no majority;\n"
    "            5 chosen, but not confirmed by every node yet\n";

int run(int argc, char** argv) {
  std::vector<std::string> arguments;
  std::string node = "127.0.0.1:7080";
  std::string expect;
  bool marks_only = false;
  unsigned wait_timeout_s = 20;
  options::options_description flags("Flags");
  flags.add_options()("node", options::value(&node), "IP:port of any node (default 127.0.0.1:7080)")(
      "expect", options::value(&expect), "apply only if the present serial is this one")(
      "marks", options::bool_switch(&marks_only), "print the serial and the drained zones, not the text")(
      "within", options::value(&wait_timeout_s), "how long 'wait' waits at most, in seconds (default 20)")("help",
                                                                                                           "this text");
  options::options_description all;
  all.add(flags);
  all.add_options()("words", options::value(&arguments));
  options::positional_options_description positions;
  positions.add("words", -1);
  std::function<void()> const print_help = [&] { std::cout << usage << flags; };
  std::optional<int> const ended = read_flags("pipitspoolctl", argc, argv, all, print_help, &positions);
  if (ended) return *ended;
  std::string const command = arguments.empty() ? "" : arguments[0];
  bool const has_argument = arguments.size() == 2;
  if (!is_valid_address(node)) {
    std::fprintf(stderr, "pipitspoolctl: node: '%s' is not an IP number with a port\n", node.c_str());
    return 2;
  }
  if (command == "check" && has_argument) {
    std::string text;
    if (!read_file(arguments[1], text)) {
      std::fprintf(stderr, "pipitspoolctl: the file %s cannot be read\n", arguments[1].c_str());
      return 2;
    }
    Result<std::shared_ptr<Description const>> const description = read_description(text);
    if (!description) {
      std::fprintf(stderr, "pipitspoolctl: %s: %s: %s\n", error_code_row(description.error().code).name,
                   description.error().where.c_str(), description.error().what.c_str());
      return 2;
    }
    std::printf("good: %zu pools, %zu lanes\n", description.value()->pools.size(), description.value()->lanes.size());
    return 0;
  }
  if (command == "apply" && has_argument) {
    std::string text;
    if (!read_file(arguments[1], text)) {
      std::fprintf(stderr, "pipitspoolctl: the file %s cannot be read\n", arguments[1].c_str());
      return 2;
    }
    if (expect.empty()) {
      OperatorReply const current = call_operator_api("GET", node, "/v1/description", nullptr, "");
      if (current.status != 200) return print_reply(current);
      expect = current.serial;
    }
    return print_reply(call_operator_api("PUT", node, "/v1/description", &text, expect));
  }
  if (command == "read" && arguments.size() == 1) {
    OperatorReply const reply = call_operator_api("GET", node, "/v1/description", nullptr, "");
    if (reply.status != 200) return print_reply(reply);
    if (marks_only)
      std::printf("serial %s emptied %s\n", reply.serial.c_str(), reply.drained_zones.c_str());
    else
      std::fwrite(reply.body.data(), 1, reply.body.size(), stdout);
    return 0;
  }
  if ((command == "empty" || command == "refill") && has_argument) {
    std::string const empty_body;
    return print_reply(call_operator_api("POST", node, "/v1/zones/" + arguments[1] + "/" + command, &empty_body, ""));
  }
  if (command == "forget" && has_argument) {
    std::string const empty_body;
    return print_reply(call_operator_api("POST", node, "/v1/nodes/" + arguments[1] + "/forget", &empty_body, ""));
  }
  if (command == "change" && has_argument)
    return print_reply(call_operator_api("GET", node, "/v1/changes/" + arguments[1], nullptr, ""));
  if (command == "status" && arguments.size() == 1)
    return print_reply(call_operator_api("GET", node, "/v1/status", nullptr, ""));
  if (command == "tenants" && arguments.size() == 1)
    return print_reply(call_operator_api("GET", node, "/v1/tenants", nullptr, ""));
  if (command == "wait" && arguments.size() == 1) {
    Micros const deadline = g_get_monotonic_time() + seconds(wait_timeout_s);
    OperatorReply reply = call_operator_api("GET", node, "/ready", nullptr, "");
    while (reply.status != 200 && g_get_monotonic_time() < deadline) {
      g_usleep(100000);
      reply = call_operator_api("GET", node, "/ready", nullptr, "");
    }
    return print_reply(reply);
  }
  std::fputs(usage, stderr);
  return 2;
}

}  // namespace
}  // namespace pipit

int main(int argc, char** argv) { return pipit::run(argc, argv); }
