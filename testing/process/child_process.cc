#include "testing/process/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace pipit::process_tests {

std::string program_path(std::string const& program) { return std::string(PROGRAMS) + "/" + program; }

ChildProcess::ChildProcess(std::string const& program, std::vector<std::string> const& arguments,
                           std::vector<std::string> const& environment, std::string const& log) {
  std::string const path = program_path(program);
  std::vector<char const*> argument_list = {path.c_str()};
  for (std::string const& argument : arguments) argument_list.push_back(argument.c_str());
  argument_list.push_back(nullptr);
  std::vector<char const*> environment_list = {"PATH=/usr/bin:/bin"};
  for (std::string const& variable : environment) environment_list.push_back(variable.c_str());
  environment_list.push_back(nullptr);
  pid_t const parent = ::getpid();
  pid_ = ::fork();
  if (pid_ != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(1);
  int const fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(fd, 1);
  ::dup2(fd, 2);
  ::execve(path.c_str(), const_cast<char* const*>(argument_list.data()),
           const_cast<char* const*>(environment_list.data()));
  ::_exit(127);
}

ChildProcess::~ChildProcess() {
  if (pid_ <= 0 || ended_) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

bool ChildProcess::running() {
  if (pid_ > 0 && !ended_) ended_ = ::waitpid(pid_, nullptr, WNOHANG) == pid_;
  return pid_ > 0 && !ended_;
}

std::size_t ChildProcess::peak_memory_kib() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string name;
  while (status >> name) {
    std::size_t value = 0;
    if (name == "VmHWM:" && status >> value) return value;
    status.ignore(4096, '\n');
  }
  return 0;
}

std::size_t ChildProcess::open_descriptors() const {
  std::error_code gone;
  std::filesystem::directory_iterator const begin("/proc/" + std::to_string(pid_) + "/fd", gone);
  if (gone) return 0;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator item = begin; item != std::filesystem::directory_iterator();
       item.increment(gone))
    ++count;
  return count;
}

bool has_flag(std::string const& program, std::string const& flag) {
  std::FILE* const pipe = ::popen((program_path(program) + " --help").c_str(), "r");
  if (pipe == nullptr) return false;
  std::string text;
  char buffer[4096];
  for (std::size_t n = 0; (n = std::fread(buffer, 1, sizeof buffer, pipe)) > 0;) text.append(buffer, n);
  ::pclose(pipe);
  return text.find("--" + flag + " ") != std::string::npos;
}

TestFolder::TestFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "process_tests_XXXXXX").native();
  path_ = ::mkdtemp(pattern.data()) == nullptr ? "" : pattern;
}

TestFolder::~TestFolder() {
  std::error_code ignored;
  if (!path_.empty()) std::filesystem::remove_all(path_, ignored);
}

std::string loopback_ip(unsigned number) {
  return "127.140." + std::to_string(::getpid() % 250 + 1) + "." + std::to_string(number);
}

}  // namespace pipit::process_tests
