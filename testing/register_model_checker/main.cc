// Command-line program of the control register's model checker (docs/checker.md).
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include "base/guards.h"
#include "testing/register_model_checker/scenarios.h"
#include "testing/register_model_checker/search.h"
#include "testing/common/violations.h"

namespace {

using namespace pipit;
using namespace pipit::register_checker;

char const usage[] =
    "register_model_checker [--scenario NAME]... [--small] [--large] [--directed] [--walked] [--walks N [--length N] "
    "[--seed N]]\n"
    "        [--states N] [--seconds N] [--recover-one-in N] [--guard-off NAME] [--replay FILE] [--list]\n"
    "        [--retries N] [--repeats N] [--restarts N] [--crashes N] [--wipes N] [--give-ups N] [--polls N] [--steps "
    "N]\n";

struct Options {
  std::vector<Scenario> scenarios;
  Limits limits;
  std::uint64_t walks = 0;
  std::uint64_t seed = 1;
  std::size_t length = 200;
  std::string replay;
  std::vector<std::pair<std::string, int>> bounds;  // flags of Bounds with their values, for all scenarios
};

[[noreturn]] void usage_error(std::string const& error) {
  std::fprintf(stderr, "register_model_checker: %s\n%s", error.c_str(), usage);
  std::exit(2);
}

// Switches a guard of the product off; returns false if there is none with this name.
bool disable_guard(std::string const& name) {
  std::size_t count = 0;
  GuardRow const* const rows = guard_rows(count);
  for (std::size_t i = 0; i < count; ++i)
    if (name == rows[i].name) {
      disabled_guard() = static_cast<Guard>(i);
      return true;
    }
  return false;
}

// The field that the flag sets; null if the flag is not one of a bound.
int* bound_for_flag(Bounds& bounds, std::string const& name) {
  if (name == "--retries") return &bounds.retries;
  if (name == "--repeats") return &bounds.repeats;
  if (name == "--restarts") return &bounds.restarts;
  if (name == "--crashes") return &bounds.crashes;
  if (name == "--wipes") return &bounds.wipes;
  if (name == "--give-ups") return &bounds.give_ups;
  if (name == "--polls") return &bounds.polls;
  if (name == "--steps") return &bounds.steps;
  return nullptr;
}

std::uint64_t parse_number(std::string const& flag, std::string const& text) {
  char* end = nullptr;
  unsigned long long const out = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0' || text[0] == '-') usage_error(flag + ": '" + text + "' is no number");
  return out;
}

void print_scenarios() {
  for (Scenario const& item : all_scenarios()) std::printf("%-16s %s\n", item.name.c_str(), item.description.c_str());
}

void add(std::vector<Scenario>& to, std::vector<Scenario> const& more) {
  to.insert(to.end(), more.begin(), more.end());
}

Options parse_options(std::vector<std::string> const& args) {
  Options out;
  for (std::size_t i = 0; i < args.size(); ++i) {
    std::string const& flag = args[i];
    if (flag == "--list") {
      print_scenarios();
      std::exit(0);
    }
    if (flag == "--small") {
      add(out.scenarios, small_scenarios());
      continue;
    }
    if (flag == "--large") {
      add(out.scenarios, large_scenarios());
      continue;
    }
    if (flag == "--walked") {
      add(out.scenarios, random_walk_scenarios());
      continue;
    }
    if (flag == "--directed") {
      add(out.scenarios, directed_scenarios());
      continue;
    }
    if (i + 1 == args.size()) usage_error("'" + flag + "' is unknown or has no value");
    std::string const& value = args[++i];
    Bounds any_bounds;
    if (flag == "--scenario") {
      Scenario found;
      if (!find_scenario(value, found)) usage_error("there is no scenario '" + value + "'");
      out.scenarios.push_back(found);
    } else if (flag == "--guard-off") {
      if (!disable_guard(value)) usage_error("there is no guard '" + value + "'");
    } else if (flag == "--replay") {
      out.replay = value;
    } else if (flag == "--states") {
      out.limits.states = parse_number(flag, value);
    } else if (flag == "--seconds") {
      out.limits.seconds = static_cast<double>(parse_number(flag, value));
    } else if (flag == "--recover-one-in") {
      out.limits.recover_one_in = parse_number(flag, value);
    } else if (flag == "--walks") {
      out.walks = parse_number(flag, value);
    } else if (flag == "--seed") {
      out.seed = parse_number(flag, value);
    } else if (flag == "--length") {
      out.length = parse_number(flag, value);
    } else if (bound_for_flag(any_bounds, flag) != nullptr) {
      out.bounds.push_back({flag, static_cast<int>(parse_number(flag, value))});
    } else {
      usage_error("'" + flag + "' is unknown");
    }
  }
  if (out.scenarios.empty()) out.scenarios = small_scenarios();
  for (Scenario& scenario : out.scenarios)
    for (std::pair<std::string, int> const& item : out.bounds)
      *bound_for_flag(scenario.bounds, item.first) = item.second;
  return out;
}

// Reads the steps of a trace: a line is either a step or a row of the printed table, whose second column is the step.
std::vector<std::string> read_trace(std::string const& file) {
  std::ifstream in(file);
  if (!in) usage_error("--replay: " + file + " cannot be read");
  std::vector<std::string> out;
  for (std::string line; std::getline(in, line);) {
    if (line.empty()) continue;
    if (line[0] != '|') {
      out.push_back(line);
      continue;
    }
    std::size_t const from = line.find(" | ");
    std::size_t const to = line.find(" | ", from + 3);
    if (from != std::string::npos && to != std::string::npos) out.push_back(line.substr(from + 3, to - from - 3));
  }
  return out;
}

SearchResult search_scenario(Options const& options, Scenario const& scenario) {
  if (!options.replay.empty()) {
    Scenario without_prefix = scenario;
    without_prefix.prefix.clear();  // the printed table starts with the steps of the prefix
    return replay(without_prefix, read_trace(options.replay));
  }
  if (options.walks > 0) return random_walk(scenario, options.seed, options.walks, options.length, options.limits);
  return explore(scenario, options.limits);
}

}  // namespace

int main(int count, char** arguments) {
  Options const options = parse_options(std::vector<std::string>(arguments + 1, arguments + count));
  bool violated = false;
  for (Scenario const& scenario : options.scenarios) {
    SearchResult const result = search_scenario(options, scenario);
    std::printf("%s\n", summary_line(scenario, result).c_str());
    if (!result.violation.empty()) std::printf("%s", trace_table(scenario, result.trace).c_str());
    std::fflush(stdout);
    violated = violated || !result.violation.empty();
  }
  return report_violations() || violated ? 1 : 0;
}
