// A program of the project that a test runs as a process of its own.
#pragma once
#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace pipit::process_tests {

// Starts a program and kills it on destruction. Its output goes to a log file.
class ChildProcess {
 public:
  // 'program' is a file of the build folder; 'environment' holds NAME=VALUE.
  ChildProcess(std::string const& program, std::vector<std::string> const& arguments,
               std::vector<std::string> const& environment, std::string const& log);
  ~ChildProcess();
  ChildProcess(ChildProcess const&) = delete;
  ChildProcess& operator=(ChildProcess const&) = delete;

  // Whether the process that was started has not ended.
  bool running();
  // Largest resident memory of the process so far, in KiB (VmHWM); 0 if it has ended.
  std::size_t peak_memory_kib() const;
  // Descriptors that the process has open now; 0 if it has ended.
  std::size_t open_descriptors() const;
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
};

// The path of a program in the build folder.
std::string program_path(std::string const& program);
// Whether the program's help text names the flag.
bool has_flag(std::string const& program, std::string const& flag);
// A folder of this test process, which is removed on destruction.
class TestFolder {
 public:
  TestFolder();
  ~TestFolder();
  TestFolder(TestFolder const&) = delete;
  TestFolder& operator=(TestFolder const&) = delete;
  std::string path(std::string const& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};
// A loopback address of this test process: 127.140.x.NUMBER, where x depends on its process id.
std::string loopback_ip(unsigned number);

}  // namespace pipit::process_tests
