// The operator of an experiment: the first configuration, changes, races, storms, invalid ones, and reading back.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "testing/platform_fleet_test/canonical.h"
#include "testing/platform_fleet_test/judge.h"
#include "testing/platform_fleet_test/line.h"
#include "testing/platform_fleet_test/nodes.h"
#include "testing/platform_fleet_test/shapes.h"
#include "testing/platform_fleet_test/faults.h"

namespace pipit::platform_fleet {

struct OperatorsTally {
  std::uint64_t changes = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t unclear = 0;    // given up with no clear answer
  std::uint64_t conflicts = 0;  // 412 to a change that was no race
  std::uint64_t races = 0;
  std::uint64_t invalid = 0;
  std::uint64_t checks = 0;  // requests that show which configuration is in force
  std::uint64_t read_back = 0;
  std::uint64_t readings = 0;  // at any node, all the time
  std::vector<Micros> acks;    // how long each acknowledgement took
};

class Operators {
 public:
  Operators(Shape const& shape_, Nodes& nodes_, Judge& judge_, int net_, std::uint64_t seed);

  // The first configuration, sent until it is taken.
  void begin();
  bool has_configuration() const { return in_force.version > 0; }
  void perform(Fault const& fault);
  // Readings at any node, until they are stopped.
  void read_periodically();
  void stop_reading() { reading_stopped = true; }
  // Reads the configuration back, again and again for that long; then says so.
  void read_back(Micros span, std::function<void()> done);
  bool idle() const { return !busy && tasks.empty(); }

  OperatorsTally tally;

 private:
  struct Configuration {
    std::uint64_t version = 0;
    std::map<std::string, std::string> routes;  // by name, as JSON
    std::string services;
    std::string limits;
    std::string text() const;
  };
  struct Call {
    std::string target;
    std::string fields;
    std::string body;
    int sends = 0;
    int unexpected_4xx = 0;  // other 4xx
    int redirects = 0;
    bool unclear = false;
    Micros began = 0;
    std::shared_ptr<ClientConnection> line;
    std::function<void(unsigned status, std::string const& body)> done;  // 0: no clear answer
    std::string answer;
    unsigned status = 0;
  };
  struct IdleRoute {
    int number = 0;
    Micros added = -1;  // acknowledged
    Micros removal_sent = -1;
    Micros removed = -1;  // acknowledged
  };
  using Task = std::function<void(std::function<void()> done)>;

  void enqueue(Task task_);
  void begin_with(Configuration const& first, std::function<void()> done);
  void read_until(Micros until, std::function<void()> done);
  void read_once();
  void next_task();
  void call(std::string target, std::string fields, std::string body,
            std::function<void(unsigned, std::string const&)> done);
  void send(std::shared_ptr<Call> const& call, std::string const& address);
  void retry(std::shared_ptr<Call> const& call);
  Configuration with_new_idle_route(Configuration const& from, int number, std::string const& drop);
  void change(int attempt_count, std::function<void()> done);
  void race(std::function<void()> done);
  void send_invalid(int which, std::function<void()> done);
  void acknowledged(Configuration const& configuration, Micros sent);
  // After an answer that leaves it open: what stands is read, and built upon.
  void adopt_current_configuration(std::function<void()> done);
  bool find_sent(std::string const& body, Configuration& out);
  void schedule_route_probes(Configuration const& configuration, Configuration const& before);
  void probe_route(Node& node, int number, bool expected);
  std::string oldest_idle(Configuration const& from) const;

  Shape const& shape;
  Nodes& nodes;
  Judge& judge;
  int const net;
  RandomSource random;
  bool busy = false;
  std::deque<Task> tasks;
  Configuration in_force;                                    // the newest that was acknowledged, or that was read back
  std::map<std::uint64_t, std::vector<Configuration>> sent;  // by version; races give one number to two
  std::map<std::uint64_t, std::string> unsettled;            // versions with no clear answer
  std::set<std::string> refused;                             // texts that must never be in force
  std::map<int, IdleRoute> idle_routes;
  int last_idle = 0;
  std::uint64_t last_version = 0;
  std::uint64_t last_check = 0;
  std::vector<std::shared_ptr<ClientConnection>> lines;
  std::deque<std::shared_ptr<ClientConnection>> readers;
  std::vector<std::pair<Micros, std::uint64_t>> acknowledgements;  // when, and of which version
  bool reading_stopped = false;
};

}  // namespace pipit::platform_fleet
