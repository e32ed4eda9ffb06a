// The callers of an experiment, as the platform's clients behave: streams with shared prompt parts, deadlines, further
// tries, new and kept connections.
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

struct ClassTally {
  std::uint64_t asked = 0;
  std::uint64_t within_target = 0;
  std::uint64_t late = 0;  // served, but not in its aim
  std::uint64_t unserved = 0;
  double value_due = 0;
  double earned = 0;
  std::vector<Micros> first;  // from the caller's first try to the first event
};

struct CallersTally {
  std::vector<ClassTally> classes;
  std::map<std::string, std::pair<double, double>> zones;     // earned, owed
  std::map<std::int64_t, std::pair<double, double>> windows;  // of two seconds
  std::map<std::string, std::uint64_t> answers;               // that are no success: by status and kind
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t gave_up = 0;  // silence, or the deadline
  std::uint64_t dialled = 0;
  std::uint64_t reused = 0;
  std::uint64_t bytes = 0;
};

class Callers {
 public:
  Callers(Shape const& shape_, Nodes& nodes_, Judge& judge_, int net_, std::uint64_t seed, double scale_);
  ~Callers();

  void begin();
  void stop() { stopped = true; }
  bool idle() const { return requests.empty(); }
  void perform(Fault const& fault);
  // The share of the requests that came so long after the beginning or later, and were served; nothing where none came.
  std::optional<double> served_since(Micros span) const;
  CallersTally tally;
  // Attempts that failed at nodes in touch, whose logs must explain them.
  struct Failed {
    std::string attempt;
    std::string node;
  };
  std::vector<Failed> failed;

 private:
  struct Client;
  struct Request;
  struct Crowd {
    std::size_t of = 0;
    double x = 1;
    double hot = 0;
    Micros until = 0;
  };
  void tick(Micros at);
  void come(Zone const& zone, std::size_t of);
  void attempt(Request& request);
  void on_head(Request& request, unsigned status);
  void on_body(Request& request, std::string_view bytes);
  void on_end(Request& request, ClientConnection::Outcome how);
  void retry(Request& request, Micros wait);
  void finish(Request& request, bool served);
  void close_overdue();
  double draw(Spread const& spread);
  double unit();
  std::size_t thing_of(SharedPart const& part, std::size_t of, std::size_t level);
  double mean_size(std::size_t of) const;

  Shape const& shape;
  Nodes& nodes;
  Judge& judge;
  int const net;
  RandomSource random;  // of what comes: the same for the same seed
  RandomSource jitter;  // of what depends on how things went
  double const scale;
  bool stopped = false;
  int kept_cut = 0;  // kept connections that ended without an answer, at nodes in touch
  Micros began = 0;
  std::vector<std::pair<Micros, bool>> ends;  // when a request came, and whether it was served
  Micros next_tick = 0;
  std::uint64_t last = 0;
  std::map<std::string, std::vector<std::unique_ptr<Client>>> clients;  // by zone
  std::map<std::uint64_t, std::unique_ptr<Request>> requests;
  std::map<std::pair<std::size_t, std::size_t>, std::vector<double>> weights;  // of things, summed up
  std::vector<Crowd> crowds;
};

}  // namespace pipit::platform_fleet
