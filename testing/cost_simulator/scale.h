// A fleet of the product's cores at any size under virtual time, whose costs are counted (§10.5).
#pragma once
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/random.h"
#include "node/node.h"

namespace pipit {

struct ScalePlan {
  int nodes = 12;  // replicas among them
  int replicas = 3;
  int workers = 18;
  int prefixes = 100;        // openings that every index holds from the start
  int sessions = 0;          // paths that go on from an opening, held as well
  int routes = 3;            // lanes in the description
  double rate = 2;           // requests a second for each router node
  Micros span = seconds(8);  // of each phase
  std::uint64_t seed = 1;
  std::vector<std::string> phases;  // calm is always there
  Micros limit = seconds(300);      // of processor time for the whole run
};

constexpr int prefix_blocks = 16;
constexpr int session_blocks = 8;

// How many bytes a run is held to need, from runs that were measured (docs/CAPACITY.md).
double bytes_for(ScalePlan const& plan);
// The largest number of nodes of which a run needs at most so many bytes; 0 when even the smallest fleet needs more.
int nodes_within(ScalePlan plan, double bytes);

// Named figures in the order in which they were found.
struct Figures {
  std::vector<std::pair<std::string, double>> rows;
  void add(std::string const& name, double value) { rows.emplace_back(name, value); }
  double of(std::string const& name) const;
};

class Scale {
 public:
  explicit Scale(ScalePlan plan_);
  ~Scale();
  Figures run();
  std::string stopped;  // why the run ended before its end; empty when it did not
  static std::vector<std::string> phase_names();

 private:
  struct Machine;
  struct Link;
  struct Event_ {
    Micros at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(Event_ const& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  static constexpr std::size_t kinds = static_cast<std::size_t>(wire::Body::MAX) + 1;
  enum class Step : std::uint8_t { tick, list, health, chat_request, connection, operate, count };
  struct Count {  // of all nodes of a role in one phase
    std::array<std::uint64_t, kinds> frames_in{}, bytes_in{}, frames_out{}, bytes_out{};
    std::array<std::int64_t, kinds> nanos_in{};
    std::array<std::int64_t, static_cast<std::size_t>(Step::count)> nanos{};
    std::uint64_t checks = 0, dials = 0;
  };
  struct Phase {
    std::array<Count, 2> count;  // by role
    Micros from = 0, to = 0;
  };
  struct Kill {
    int who = 0;
    Micros at = 0;
    bool silent = false;
    std::set<int> pending;
  };
  struct Turn {  // a configuration change
    std::string id;
    Micros at = 0;
    std::uint64_t serial = 0;
    Micros yes = -1;
    std::set<int> pending;
  };

  void at(Micros when, std::function<void()> act) { events.push(Event_{when, ++order, std::move(act)}); }
  void after(Micros wait, std::function<void()> act) { at(now + wait, std::move(act)); }
  Micros lag(Machine const& a, Machine const& b);
  Micros between(Micros least, Micros most) {
    return least + static_cast<Micros>(random.below(static_cast<std::uint64_t>(most - least)));
  }
  bool cut(Machine const& a, Machine const& b) const;
  bool go_until(Micros when, std::function<bool()> const& done = {});

  void boot(int who);
  void halt(int who, bool silent);
  void tick(int who, std::uint64_t process_id);
  template <class F>
  void enter(int who, std::uint64_t process_id, Step type, F&& step, int kind = -1);
  void obey(int who, NodeEffects& out);
  void dial(int who, std::string const& address);
  void carry(int who, ConnectionId id, std::string bytes);
  void pass(std::shared_ptr<Link> const& link, int side, std::string bytes);
  void arrive(std::shared_ptr<Link> const& link, int side, std::string const& bytes);
  void hang(std::shared_ptr<Link> const& link, int from);
  void heal();
  void call(int who, std::uint64_t process_id);
  void change();
  void check_suspicions();
  std::string description(int turn) const;
  Path path(std::uint64_t prefix, std::uint64_t session) const;
  void fill(Machine& machine);
  bool all_ready() const;
  bool all_alive() const;

  // The phases of a run, in their order; each says whether the run can go on.
  bool run_start(Figures& out);
  bool run_change(Figures& out);
  bool run_restart(Figures& out);
  bool run_cut(Figures& out);
  bool run_region(Figures& out);
  void restart(int who, bool silent);
  bool wants(char const* name) const;
  void begin(std::string const& name);
  void finish(Figures& out);
  void tell_phase(std::string const& name, Phase const& phase, Figures& out) const;

  ScalePlan const plan;
  RandomSource random;
  Micros now = 0;
  std::uint64_t order = 0;
  std::uint64_t process_count = 0;
  std::int64_t started = 0;
  std::int64_t clock_cost = 0;
  std::priority_queue<Event_> events;
  std::vector<std::unique_ptr<Machine>> machines;
  std::unordered_map<std::string, int> by_name;
  std::unordered_map<std::string, int> by_address;
  std::vector<std::weak_ptr<Link>> stalled;
  std::shared_ptr<std::vector<ListRow>> rows;
  std::vector<std::string> zones;
  std::string zone_cut;
  Micros cut_at = -1;
  Micros healed_at = -seconds(60);
  std::vector<std::pair<std::string, Phase>> phases;
  Phase* phase = nullptr;
  std::vector<Kill> kills;
  std::vector<Micros> detected[2];  // of ended processes, and of silent machines
  std::uint64_t missed = 0;
  std::vector<Turn> turns;
  std::vector<Micros> yes_after, everywhere_after;
  std::map<std::string, std::uint64_t> refused;  // by kind
  int turn = 0;
  std::set<std::pair<int, int>> suspected;
  std::uint64_t suspicions = 0;
  Micros unwell_at = -1;  // when some node last held another for not alive
  bool calling = false;   // requests come from the calm on
  std::uint64_t asked = 0, answered = 0;
};

}  // namespace pipit
