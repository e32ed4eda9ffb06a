// Stand-in clients that behave like those of the platform: streamed answers, prompts with shared parts, deadlines,
// retries, new and reused connections.
#pragma once
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "testing/platform_fleet_test/judge.h"
#include "testing/platform_fleet_test/line.h"
#include "testing/platform_fleet_test/nodes.h"
#include "testing/platform_fleet_test/shapes.h"
#include "testing/platform_fleet_test/faults.h"

namespace pipit::platform_fleet {

// Counters of one request class.
struct ClassTally {
  std::uint64_t requests = 0;
  std::uint64_t within_target = 0;
  std::uint64_t late = 0;  // served, but not within the latency target or with a gap that is too long
  std::uint64_t unserved = 0;
  double offered_value = 0;  // what all requests are worth when served within the target
  double earned = 0;
  std::vector<Micros> first;  // times from the arrival of a request to its first event
};

// Counters over all clients.
struct CallersTally {
  std::vector<ClassTally> classes;
  std::map<std::string, std::pair<double, double>> zones;     // value earned and value offered
  std::map<std::int64_t, std::pair<double, double>> windows;  // the same by time windows of 2 s
  std::map<std::string, std::uint64_t> answers;               // failures, by status and error kind
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t abandoned = 0;  // requests dropped by the client, after silence or at the deadline
  std::uint64_t dialled = 0;
  std::uint64_t reused = 0;
  std::uint64_t bytes = 0;
};

// The clients of a test run. They send requests at the rates of the shape, and report each answer to the judge.
class Callers {
 public:
  Callers(Shape const& shape, Nodes& nodes, Judge& judge, int net, std::uint64_t seed, double scale);
  ~Callers();

  // Starts the arrivals.
  void begin();
  // Ends the arrivals; requests in flight continue.
  void stop() { stopped_ = true; }
  // True if no request is in flight.
  bool idle() const { return requests_.empty(); }
  // Starts a surge of the class in the fault's `on`, or of all: a higher rate (burst) or a hot prompt part (hot).
  void perform(Fault const& fault);
  // Share of the finished requests that arrived at least `span` after begin() and were served; nullopt if there are
  // none.
  std::optional<double> served_since(Micros span) const;
  CallersTally tally;
  // Attempts that failed at nodes in touch with the others; the nodes' logs must explain them.
  struct FailedAttempt {
    std::string attempt;
    std::string node;
  };
  std::vector<FailedAttempt> failed;

 private:
  struct Client;
  struct Request;
  // A temporary change of one class's load.
  struct LoadSurge {
    std::size_t class_index = 0;
    double rate_factor = 1;
    double hot_share = 0;
    Micros until = 0;
  };
  void tick(Micros at);
  void start_request(Zone const& zone, std::size_t class_index);
  void attempt(Request& request);
  void on_head(Request& request, unsigned status);
  void on_body(Request& request, std::string_view bytes);
  void on_end(Request& request, ClientConnection::Outcome how);
  void retry(Request& request, Micros wait);
  void finish(Request& request, bool served);
  void close_overdue();
  double draw(Spread const& spread);
  double uniform();
  std::size_t pick_text(SharedPart const& part, std::size_t class_index, std::size_t level);
  double mean_size(std::size_t class_index) const;

  Shape const& shape_;
  Nodes& nodes_;
  Judge& judge_;
  int const net_;
  RandomSource random_;  // for the arrivals, which depend on the seed alone
  RandomSource jitter_;  // for reactions to answers, so that these do not change the arrivals
  double const scale_;
  bool stopped_ = false;
  int reused_cut_ = 0;  // reused connections closed without an answer by nodes in touch
  Micros began_ = 0;
  std::vector<std::pair<Micros, bool>> outcomes_;  // arrival time of each finished request, and whether it was served
  Micros next_tick_ = 0;
  std::uint64_t last_id_ = 0;
  std::map<std::string, std::vector<std::unique_ptr<Client>>> clients_;  // by zone
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  // Cumulative weights of the texts, by class and part index.
  std::map<std::pair<std::size_t, std::size_t>, std::vector<double>> text_weights_;
  std::vector<LoadSurge> surges_;
};

}  // namespace pipit::platform_fleet
