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
  double max_rate = 200000;       // tokens a second of the largest tenant; each next one has two thirds of it
  double load_ratio = 1.0 / 1.3;  // of its limit, that a tenant sends
  double burst_size = 3;          // requests that come at once
  Micros revocation = seconds(5);
};

struct TenantFigures {
  std::uint64_t sent = 0;
  std::uint64_t granted = 0;               // requests that ran
  double tokens = 0;                       // of these
  double tokens_within_limit = 0;          // tokens of requests that lay within the limit
  std::uint64_t refused = 0;               // beyond the limit
  std::uint64_t refused_within_limit = 0;  // though they lay within it
  std::uint64_t unavailable = 0;           // no owner or no lease was there
  double max_window_usage = 0;             // of what a window allows, that one took
};

class Load {
 public:
  explicit Load(LoadPlan plan_);

  // Starts the machines, waits until all is in force, and then lets callers send.
  void begin();
  void run(Micros span) { world.run(span); }
  void finish();

  // What may happen meanwhile.
  void set_rate_factor(std::size_t tenant, double times) { rate_factors[tenant] = times; }
  void change_limit(std::size_t tenant, double times);  // of the limit that it began with
  void revoke_key(std::size_t tenant);
  // The last tenant has no limit: its requests need no owner.
  std::size_t unlimited() const { return plan.tenants - 1; }
  std::vector<control_plane_simulator::MachineId> owners();
  control_plane_simulator::MachineId random_plain_machine();
  // Callers of machines that are down or not ready go elsewhere; of all others they come by chance, or to one alone.
  void concentrate_on(std::optional<control_plane_simulator::MachineId> at) { concentrated_on = at; }

  control_plane_simulator::World world;
  std::vector<TenantFigures> figures;
  std::vector<std::string> findings;
  std::uint64_t messages() const;
  std::uint64_t message_bytes() const;
  Micros sending() const { return world.now() - started_at; }

 private:
  struct SentRequest {
    std::size_t tenant = 0;
    std::int64_t count = 0;
    Micros at = 0;
    bool within_limit = false;  // within the limit
    bool revoked_key = false;
  };
  struct GrantedRequest {
    Micros sent = 0;
    Micros at = 0;
    double count = 0;
  };
  struct LimitPeriod {  // that was in place since
    Micros since = 0;
    double rate = 0;
  };
  std::string description() const;
  void apply_description(std::function<void()> const& confirmed);
  void send_request(std::size_t tenant);
  void schedule_next(std::size_t tenant);
  void heartbeat();
  void handle_dispatch(control_plane_simulator::Machine& machine, DispatchEffects& out);
  void judge_run(SentRequest const& sent);
  double allowed_tokens(std::size_t tenant, Micros from) const;
  void record_finding(std::string const& what);

  LoadPlan const plan;
  RandomSource random;
  std::vector<double> limits;  // now asked for
  std::vector<double> first_limits;
  std::vector<std::vector<LimitPeriod>> history;
  std::vector<double> rate_factors;
  std::vector<double> bucket_levels;  // of a bucket that says what is due
  std::vector<Micros> bucket_updated_at;
  std::vector<std::deque<GrantedRequest>> runs;
  std::vector<bool> key_revoked;
  std::vector<Micros> revoked_at;  // when the taking away of a key was acknowledged
  std::map<std::uint64_t, SentRequest> in_flight;
  std::map<std::uint64_t, std::function<void()>> pending_changes;  // changes, by call
  std::optional<control_plane_simulator::MachineId> concentrated_on;
  std::uint64_t next_id = 0;
  std::uint64_t next_call = 1000000;
  std::uint64_t label = 0;
  std::uint64_t heartbeat_order = 0;
  Micros started_at = 0;
  bool is_sending = false;
};

// A course of events under a seed, and what it gave.
struct Scenario {
  char const* name;
  void (*run)(Load&, RandomSource&);
  // What its losses excuse of the tokens that were due, as a part.
  double allowed_loss = 0;
};
std::vector<Scenario> const& scenarios();

}  // namespace pipit::tenants
