// Callers of many tenants against a simulated fleet, with a judge of what their keys and limits allowed: no request
// runs with a key that was taken away too long ago, no tenant gets more than its limit in any window, and none is
// refused below it (docs/tenants.md).
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "testing/control_plane_simulator/world.h"

namespace pipit::tenants {

struct LoadPlan {
  std::uint64_t seed = 1;
  std::size_t disks = 5;
  std::size_t plain = 7;
  std::size_t tenants = 6;
  double rate_most = 200000;  // tokens a second of the largest tenant; each next one has two thirds of it
  double usual = 1.0 / 1.3;   // of its limit, that a tenant sends
  double clump = 3;           // requests that come at once
  Micros revocation = seconds(5);
};

struct TenantFigures {
  std::uint64_t sent = 0;
  std::uint64_t granted = 0;        // requests that ran
  double tokens = 0;                // of these
  double due = 0;                   // tokens of requests that lay within the limit
  std::uint64_t refused = 0;        // beyond the limit
  std::uint64_t refused_below = 0;  // though they lay within it
  std::uint64_t unserved = 0;       // no owner or no lease was there
  double fullest = 0;               // of what a window allows, that one took
};

class Load {
 public:
  explicit Load(LoadPlan plan_);

  // Starts the machines, waits until all is in force, and then lets callers send.
  void begin();
  void run(Micros span) { world.run(span); }
  void finish();

  // What may happen meanwhile.
  void heat(std::size_t tenant, double times) { heats[tenant] = times; }
  void limit(std::size_t tenant, double times);  // of the limit that it began with
  void revoke(std::size_t tenant);
  // The last tenant has no limit: its requests need no owner.
  std::size_t unlimited() const { return plan.tenants - 1; }
  std::vector<control_plane_simulator::MachineId> owners();
  control_plane_simulator::MachineId some_plain();
  // Callers of machines that are down or not ready go elsewhere; of all others they come by chance, or to one alone.
  void crowd(std::optional<control_plane_simulator::MachineId> at) { crowded = at; }

  control_plane_simulator::World world;
  std::vector<TenantFigures> figures;
  std::vector<std::string> findings;
  std::uint64_t messages() const;
  std::uint64_t message_bytes() const;
  Micros sending() const { return world.now() - began; }

 private:
  struct Sent {
    std::size_t tenant = 0;
    std::int64_t count = 0;
    Micros at = 0;
    bool due = false;  // within the limit
    bool revoked_key = false;
  };
  struct Run {
    Micros sent = 0;
    Micros at = 0;
    double count = 0;
  };
  struct Limits {  // that was in place since
    Micros since = 0;
    double rate = 0;
  };
  std::string text() const;
  void change(std::function<void()> const& confirmed);
  void send(std::size_t tenant);
  void next(std::size_t tenant);
  void heartbeat();
  void took(control_plane_simulator::Machine& machine, DispatchEffects& out);
  void judge_run(Sent const& sent);
  double allowed(std::size_t tenant, Micros from) const;
  void find(std::string const& what);

  LoadPlan const plan;
  RandomSource random;
  std::vector<double> limits;  // now asked for
  std::vector<double> first_limits;
  std::vector<std::vector<Limits>> history;
  std::vector<double> heats;
  std::vector<double> levels;  // of a bucket that says what is due
  std::vector<Micros> levelled;
  std::vector<std::deque<Run>> runs;
  std::vector<bool> key_revoked;
  std::vector<Micros> revoked_at;  // when the taking away of a key was acknowledged
  std::map<std::uint64_t, Sent> under_way;
  std::map<std::uint64_t, std::function<void()>> waiting;  // changes, by call
  std::optional<control_plane_simulator::MachineId> crowded;
  std::uint64_t next_id = 0;
  std::uint64_t next_call = 1000000;
  std::uint64_t label = 0;
  std::uint64_t heartbeat_order = 0;
  Micros began = 0;
  bool sending_now = false;
};

// A course of events under a seed, and what it gave.
struct Scenario {
  char const* name;
  void (*play)(Load&, RandomSource&);
  // What its losses excuse of the tokens that were due, as a part.
  double excused = 0;
};
std::vector<Scenario> const& scenarios();

}  // namespace pipit::tenants
