// soak: runs many experiments of platform_fleet_test with real processes and real sockets, each with a schedule of
// overlapping faults drawn from its seed. An experiment that breaks a promise or an invariant keeps its seed, its
// schedule and all logs (docs/soak.md).
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <vector>

#include "testing/common/own_folder.h"
#include "testing/platform_fleet_test/schedule.h"

namespace pipit::platform_fleet {
namespace {

namespace options = boost::program_options;

constexpr int net_first = 2;
constexpr int net_last = 254;
constexpr int passed_status = 0;

// The settings of a soak run.
struct SoakPlan {
  std::uint64_t from = 1;    // first seed
  std::uint64_t seeds = 20;  // number of seeds
  unsigned jobs = 2;
  double seconds = 28;
  double calm = 14;
  int net = 120;
  std::string shape = "soak";
  std::string folder;
  std::string program;
  std::string faults;  // one schedule for every seed, instead of drawn ones
};

// One experiment.
struct SoakRun {
  std::uint64_t seed = 0;
  std::string folder;
  std::string schedule;
};

// Starts an experiment in a child process, whose pid it stores in `pid`.
SoakRun start_run(SoakPlan const& plan, std::uint64_t seed, unsigned job, pid_t& pid) {
  SoakRun run;
  run.seed = seed;
  run.folder = plan.folder + "/seed-" + std::to_string(seed);
  run.schedule = plan.faults.empty() ? soak_schedule(seed, plan.seconds, plan.calm) : plan.faults;
  std::error_code error;
  std::filesystem::remove_all(run.folder, error);
  std::filesystem::create_directories(run.folder, error);
  std::ofstream(run.folder + "/schedule") << "--seed " << seed << " --troubles \"" << run.schedule << "\"\n";
  std::vector<std::string> const command = {plan.program, "--relay",
                                            "--shape",    plan.shape,
                                            "--seconds",  std::to_string(plan.seconds),
                                            "--seed",     std::to_string(seed),
                                            "--net",      std::to_string(plan.net + static_cast<int>(job)),
                                            "--folder",   run.folder + "/nodes",
                                            "--troubles", run.schedule};
  std::string const report = run.folder + "/report";
  pid_t const parent = ::getpid();
  pid = ::fork();
  if (pid != 0) return run;
  ::prctl(PR_SET_PDEATHSIG, SIGTERM);
  if (::getppid() != parent) ::_exit(1);
  int const fd = ::open(report.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  ::dup2(fd, 1);
  ::dup2(fd, 2);
  std::vector<char*> arguments;
  for (std::string const& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

// Prints the failed experiment and the lines of its report on broken promises, at most 12.
void print_failure(SoakRun const& run, int status) {
  std::printf("seed %llu failed with %d: %s\n", static_cast<unsigned long long>(run.seed), status,
              run.schedule.c_str());
  std::ifstream file(run.folder + "/report");
  std::string line;
  int printed = 0;
  while (std::getline(file, line))
    if (line.find("broken") != std::string::npos || line.find(": ") != std::string::npos)
      if (++printed <= 12) std::printf("  %s\n", line.substr(0, 400).c_str());
  std::printf("  kept in %s\n", run.folder.c_str());
}

int soak(SoakPlan const& plan) {
  std::map<pid_t, std::pair<unsigned, SoakRun>> running;
  std::vector<bool> busy(plan.jobs, false);
  std::uint64_t next = plan.from;
  std::uint64_t passed = 0;
  std::vector<std::uint64_t> failed;
  while (next < plan.from + plan.seeds || !running.empty()) {
    for (unsigned job = 0; job < plan.jobs && next < plan.from + plan.seeds; ++job) {
      if (busy[job]) continue;
      pid_t pid = 0;
      SoakRun run = start_run(plan, next++, job, pid);
      busy[job] = true;
      running.emplace(pid, std::make_pair(job, std::move(run)));
    }
    int status = 0;
    pid_t const ended = ::wait(&status);
    std::map<pid_t, std::pair<unsigned, SoakRun>>::iterator const position = running.find(ended);
    if (position == running.end()) continue;
    busy[position->second.first] = false;
    int const code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    if (code == passed_status) {
      ++passed;
      std::error_code error;
      std::filesystem::remove_all(position->second.second.folder, error);
    } else {
      failed.push_back(position->second.second.seed);
      print_failure(position->second.second, code);
    }
    std::fflush(stdout);
    running.erase(position);
  }
  std::printf("soak of %s, seeds %llu to %llu: %llu passed, %zu failed", plan.shape.c_str(),
              static_cast<unsigned long long>(plan.from), static_cast<unsigned long long>(plan.from + plan.seeds - 1),
              static_cast<unsigned long long>(passed), failed.size());
  for (std::uint64_t const seed : failed) std::printf(" %llu", static_cast<unsigned long long>(seed));
  std::printf("\n");
  return failed.empty() ? 0 : 1;
}

int run(int count, char** command) {
  SoakPlan plan;
  options::options_description flags("soak: experiments with overlapping troubles, one for each seed");
  flags.add_options()("help", "this text")("from", options::value(&plan.from), "the first seed")(
      "seeds", options::value(&plan.seeds), "number of seeds")(
      "jobs", options::value(&plan.jobs), "experiments at once")("seconds", options::value(&plan.seconds),
                                                                 "duration of the traffic in each, in seconds")(
      "calm", options::value(&plan.calm), "seconds without new troubles at the end")(
      "net", options::value(&plan.net), "addresses are 127.NET.x.y, one NET for each job, from this on")(
      "shape", options::value(&plan.shape))("folder", options::value(&plan.folder),
                                            "folder for logs; failed experiments are kept there")(
      "platform-fleet-test", options::value(&plan.program), "the program; beside this one if not given")(
      "troubles", options::value(&plan.faults), "schedule for every seed, instead of drawn ones")(
      "show", "prints the schedules without running them");
  options::variables_map values;
  try {
    options::store(options::command_line_parser(count, command).options(flags).positional({}).run(), values);
    options::notify(values);
  } catch (options::error const& error) {
    return std::fprintf(stderr, "soak: %s\n", error.what()), 2;
  }
  if (values.count("help") > 0) {
    std::cout << flags;
    return 0;
  }
  if (plan.jobs < 1 || plan.seeds < 1 || plan.net < net_first || plan.net + static_cast<int>(plan.jobs) > net_last)
    return std::fprintf(stderr, "soak: --jobs, --seeds or --net is out of range\n"), 2;
  if (values.count("show") > 0) {
    for (std::uint64_t seed = plan.from; seed < plan.from + plan.seeds; ++seed)
      std::cout << seed << ": " << soak_schedule(seed, plan.seconds, plan.calm) << "\n";
    return 0;
  }
  if (plan.program.empty()) plan.program = own_folder() + "/platform_fleet_test";
  if (plan.folder.empty()) plan.folder = own_folder() + "/soak-runs";
  return soak(plan);
}

}  // namespace
}  // namespace pipit::platform_fleet

int main(int count, char** command) { return pipit::platform_fleet::run(count, command); }
