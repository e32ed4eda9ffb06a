// Explores the worlds of the control register (docs/checker.md).
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
  std::vector<std::pair<std::string, int>> bounds;
};

[[noreturn]] void refuse(std::string const& why) {
  std::fprintf(stderr, "register_model_checker: %s\n%s", why.c_str(), usage);
  std::exit(2);
}

bool switch_off(std::string const& name) {
  std::size_t count = 0;
  GuardRow const* const rows = guard_rows(count);
  for (std::size_t i = 0; i < count; ++i)
    if (name == rows[i].name) {
      disabled_guard() = static_cast<Guard>(i);
      return true;
    }
  return false;
}

int* bound_of(Bounds& bounds, std::string const& name) {
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

std::uint64_t number_of(std::string const& flag, std::string const& text) {
  char* end = nullptr;
  unsigned long long const out = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0' || text[0] == '-') refuse(flag + ": '" + text + "' is no number");
  return out;
}

void list() {
  for (Scenario const& item : all_scenarios()) std::printf("%-16s %s\n", item.name.c_str(), item.about.c_str());
}

void add(std::vector<Scenario>& to, std::vector<Scenario> const& more) {
  to.insert(to.end(), more.begin(), more.end());
}

Options options_of(std::vector<std::string> const& args) {
  Options out;
  for (std::size_t i = 0; i < args.size(); ++i) {
    std::string const& flag = args[i];
    if (flag == "--list") {
      list();
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
      add(out.scenarios, walked_scenarios());
      continue;
    }
    if (flag == "--directed") {
      add(out.scenarios, directed_scenarios());
      continue;
    }
    if (i + 1 == args.size()) refuse("'" + flag + "' is unknown or has no value");
    std::string const& value = args[++i];
    Bounds probe;
    if (flag == "--scenario") {
      Scenario found;
      if (!find_scenario(value, found)) refuse("there is no scenario '" + value + "'");
      out.scenarios.push_back(found);
    } else if (flag == "--guard-off") {
      if (!switch_off(value)) refuse("there is no guard '" + value + "'");
    } else if (flag == "--replay") {
      out.replay = value;
    } else if (flag == "--states") {
      out.limits.states = number_of(flag, value);
    } else if (flag == "--seconds") {
      out.limits.seconds = static_cast<double>(number_of(flag, value));
    } else if (flag == "--recover-one-in") {
      out.limits.recover_one_in = number_of(flag, value);
    } else if (flag == "--walks") {
      out.walks = number_of(flag, value);
    } else if (flag == "--seed") {
      out.seed = number_of(flag, value);
    } else if (flag == "--length") {
      out.length = number_of(flag, value);
    } else if (bound_of(probe, flag) != nullptr) {
      out.bounds.push_back({flag, static_cast<int>(number_of(flag, value))});
    } else {
      refuse("'" + flag + "' is unknown");
    }
  }
  if (out.scenarios.empty()) out.scenarios = small_scenarios();
  for (Scenario& scenario : out.scenarios)
    for (std::pair<std::string, int> const& item : out.bounds) *bound_of(scenario.bounds, item.first) = item.second;
  return out;
}

// A line of a trace is a step, alone or as the second column of the table that a fault prints.
std::vector<std::string> read_trace(std::string const& file) {
  std::ifstream in(file);
  if (!in) refuse("--replay: " + file + " cannot be read");
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

Finding search_scenario(Options const& options, Scenario const& scenario) {
  if (!options.replay.empty()) {
    Scenario bare = scenario;
    bare.prefix.clear();  // the printed table has it
    return replay(bare, read_trace(options.replay));
  }
  if (options.walks > 0) return walk(scenario, options.seed, options.walks, options.length, options.limits);
  return explore(scenario, options.limits);
}

}  // namespace

int main(int count, char** step_text) {
  Options const options = options_of(std::vector<std::string>(step_text + 1, step_text + count));
  bool faulty = false;
  for (Scenario const& scenario : options.scenarios) {
    Finding const finding = search_scenario(options, scenario);
    std::printf("%s\n", summary_of(scenario, finding).c_str());
    if (!finding.fault.empty()) std::printf("%s", table_of(scenario, finding.trace).c_str());
    std::fflush(stdout);
    faulty = faulty || !finding.fault.empty();
  }
  return report_violations() || faulty ? 1 : 0;
}
