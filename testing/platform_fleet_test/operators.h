// The operators of an experiment: they send the initial configuration, changes, concurrent changes and invalid
// configurations, and check what the nodes return and serve.
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

// Counts for the report.
struct OperatorsTally {
  std::uint64_t changes = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t unclear = 0;    // changes abandoned without a definite result
  std::uint64_t conflicts = 0;  // changes rejected (412) without a concurrent change
  std::uint64_t races = 0;
  std::uint64_t invalid = 0;
  std::uint64_t checks = 0;        // requests that probe which configuration a node serves
  std::uint64_t added_checks = 0;  // of those, judged ones of routes that must be in force
  std::uint64_t added_served = 0;
  Micros slowest_effect = 0;  // from a change's acknowledgement to the last probe that was answered without it
  std::uint64_t read_back = 0;
  std::uint64_t readings = 0;  // periodic reads, each at a random node
  std::vector<Micros> acks;    // duration of each acknowledged change
};

// Sends one change at a time, except for concurrent pairs, and reports broken promises to the judge.
class Operators {
 public:
  Operators(Shape const& shape_, Nodes& nodes_, Judge& judge_, int net_, std::uint64_t seed);

  // Sends the initial configuration until a node accepts it.
  void begin();
  // Whether a configuration has been acknowledged.
  bool has_configuration() const { return in_force.version > 0; }
  // Schedules the changes of a fault: change, race, storm or bad.
  void perform(Fault const& fault);
  // Reads the configuration at random nodes until stop_reading(). No read may return a version that was replaced longer
  // ago than the propagation delay.
  void read_periodically();
  // Sends requests for the newest routes to random nodes until stop_reading(). None may be handled by a version that
  // was replaced longer ago than the propagation delay, and none by an older version than the same process has shown
  // before.
  void probe_periodically();
  // Checks that routes that were added are served at a quarter of `first_routes_share` at least, the served share of
  // the requests for the first routes.
  void check_added_routes(double first_routes_share);
  // Ends read_periodically().
  void stop_reading() { reading_stopped = true; }
  // Reads the configuration back repeatedly for `span`, then calls `done`.
  void read_back(Micros span, std::function<void()> done);
  // Whether no change is running or queued.
  bool idle() const { return !busy && tasks.empty(); }

  OperatorsTally tally;

 private:
  // A configuration as it is sent; text() returns it as JSON.
  struct Configuration {
    std::uint64_t version = 0;
    std::map<std::string, std::string> routes;  // JSON by route name
    std::string services;
    std::string limits;
    std::string text() const;
  };
  // One request to the control API, with its retries at other nodes.
  struct Call {
    std::string target;  // method and path
    std::string headers;
    std::string body;
    int attempt_count = 0;
    int unexpected_status_count = 0;  // responses with another 3xx or 4xx status
    int redirects = 0;
    bool unclear = false;
    Micros began = 0;
    std::shared_ptr<ClientConnection> connection;
    std::function<void(unsigned status, std::string const& body)> done;  // status 0: no definite result
    std::string answer;
    unsigned status = 0;
  };
  // A route that gets no client traffic; only the probes use it.
  struct IdleRoute {
    int number = 0;
    Micros added = -1;  // time of the acknowledgement; -1 for not yet
    Micros removal_sent = -1;
    Micros removed = -1;                // time of the acknowledgement
    std::uint64_t added_version = 0;    // 0 until the acknowledgement
    std::uint64_t removed_version = 0;  // the same
  };
  // The newest version whose effect a process has shown.
  struct ShownVersion {
    std::uint64_t version = 0;
    Micros at = 0;
  };
  // A request for an idle route, to see which configuration a node has in force.
  struct Probe {
    Node* node = nullptr;
    pid_t process = 0;
    int route = 0;
    Micros sent = 0;
    Attempt* attempt = nullptr;
    unsigned status = 0;
    StreamProgress reading;
  };
  using Task = std::function<void(std::function<void()> done)>;

  void enqueue(Task task);
  void send_initial(Configuration const& first, std::function<void()> done);
  void read_until(Micros until, std::function<void()> done);
  void read_once();
  void next_task();
  void call(std::string target, std::string headers, std::string body,
            std::function<void(unsigned, std::string const&)> done);
  void send(std::shared_ptr<Call> const& call, std::string const& address);
  void retry(std::shared_ptr<Call> const& call);
  // Returns a copy with a higher version, a new idle route, and without the route `drop` if that is not empty.
  Configuration with_new_idle_route(Configuration const& from, int number, std::string const& drop);
  void change(int attempt_count, std::function<void()> done);
  void race(std::function<void()> done);
  void send_invalid(int which, std::function<void()> done);
  void on_acknowledged(Configuration const& configuration, Micros sent);
  // Reads the current configuration after an indefinite or rejected change; later changes are based on it.
  void adopt_current_configuration(std::function<void()> done);
  // Finds the sent configuration that equals a response body; false if there is none. Reports a rejected one.
  bool find_sent(std::string const& body, Configuration& out);
  // Probes the routes that a change added or removed at every node in rotation, after the propagation delay.
  // Numbers of the idle routes of `other` that `one` does not have.
  static std::vector<int> idle_routes_missing_in(Configuration const& one, Configuration const& other);
  void schedule_route_probes(Configuration const& configuration, Configuration const& before);
  // Sends a request for an idle route to a node and judges the answer.
  void probe_route(Node& node, int number);
  void judge_probe(Probe const& probe);
  void judge_late_probe(Probe const& probe, IdleRoute const& route);
  void judge_older_version(Probe const& probe, IdleRoute const& route);
  // A route that was added or removed lately; 0 if there is none.
  int recent_route();
  std::string oldest_idle(Configuration const& from) const;

  Shape const& shape;
  Nodes& nodes;
  Judge& judge;
  int const net;
  RandomSource random;
  bool busy = false;
  std::deque<Task> tasks;
  Configuration in_force;                                    // the newest that was acknowledged or read back
  std::map<std::uint64_t, std::vector<Configuration>> sent;  // by version; two concurrent changes may share a version
  std::map<std::uint64_t, std::string> unsettled;  // changes without a definite result: canonical text by version
  std::set<std::string> rejected;                  // canonical texts of rejected changes, which must never be in force
  std::map<int, IdleRoute> idle_routes;
  std::deque<int> recently_changed_routes;       // by acknowledged changes, oldest first
  std::map<pid_t, ShownVersion> shown_versions;  // by process of a node
  int last_idle = 0;
  std::uint64_t last_version = 0;
  std::uint64_t last_probe = 0;
  std::vector<std::shared_ptr<ClientConnection>> probes;
  std::deque<std::shared_ptr<ClientConnection>> read_connections;
  std::vector<std::pair<Micros, std::uint64_t>> acknowledgements;  // time and version
  bool reading_stopped = false;
};

}  // namespace pipit::platform_fleet
