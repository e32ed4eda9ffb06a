// A model worker of the users' platform, as far as tests of whole processes need one.
#pragma once
#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace pipit::process_tests {

// Answers each request on a thread of its own with 200, the request's id and a seal; or, if it is silent, accepts
// connections and reads nothing from them.
class StandInWorker {
 public:
  StandInWorker(std::string address, bool silent);
  ~StandInWorker();
  StandInWorker(StandInWorker const&) = delete;
  StandInWorker& operator=(StandInWorker const&) = delete;

 private:
  void accept_connections();
  void serve(int fd) const;

  bool const silent_;
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::thread acceptor_;
  std::vector<int> silent_connections_;
};

}  // namespace pipit::process_tests
