// Clients of many tenants against a simulated fleet, with checks of API keys and token limits: no request runs with a
// key that was revoked longer ago than the revocation bound, no tenant uses more than its limit in any window, and
// none is refused below it (docs/tenants.md).
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "testing/control_plane_simulator/world.h"

namespace pipit::tenants {

// The input of one simulation run.
struct LoadPlan {
  std::uint64_t seed = 1;
  std::size_t disks = 5;
  std::size_t plain = 7;
  std::size_t tenants = 6;
  double max_rate =
      200000;  // tokens per second of the largest tenant; each next tenant has two thirds of the previous one's rate
  double load_ratio = 1.0 / 1.3;  // rate that a tenant sends, as a ratio of its limit
  double burst_size = 3;          // mean number of requests that arrive at the same time
  Micros revocation = seconds(5);
};

// Counts of one tenant's requests and tokens.
struct TenantFigures {
  std::uint64_t sent = 0;
  std::uint64_t granted = 0;               // requests that ran
  double tokens = 0;                       // tokens of the requests that ran
  double tokens_within_limit = 0;          // tokens of requests within the limit
  std::uint64_t refused = 0;               // requests refused with over_quota, within the limit or not
  std::uint64_t refused_within_limit = 0;  // requests refused although within the limit
  std::uint64_t unavailable = 0;           // requests rejected for another reason, such as no quota owner or no lease
  double max_window_usage = 0;             // highest ratio of the tokens used in a window to those allowed
};

// Runs a fleet under virtual time, sends the tenants' requests and records findings.
class Load {
 public:
  explicit Load(LoadPlan plan_);

  // Starts the machines, waits until the configuration is in force, and then starts the clients.
  void begin();
  void run(Micros span) { world.run(span); }
  void finish();

  // Changes of the load that a scenario may apply while the clients send.
  void set_rate_factor(std::size_t tenant, double times) { rate_factors[tenant] = times; }
  void change_limit(std::size_t tenant, double times);  // `times`: factor on the tenant's initial limit
  void revoke_key(std::size_t tenant);
  // The last tenant has no limit: its requests need no quota owner.
  std::size_t unlimited() const { return plan.tenants - 1; }
  std::vector<control_plane_simulator::MachineId> owners();
  control_plane_simulator::MachineId random_plain_machine();
  // Sends nine tenths of the requests to one machine, or all to random machines if `at` is empty. A request for a
  // machine that is down or not ready is not sent.
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
    bool within_limit = false;  // the tenant's limit has room for its tokens
    bool revoked_key = false;
  };
  struct GrantedRequest {
    Micros sent = 0;
    Micros at = 0;
    double count = 0;
  };
  struct LimitPeriod {  // a limit and the time from which it applies
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
  std::vector<double> limits;  // by tenant: the limit last requested by a change
  std::vector<double> first_limits;
  std::vector<std::vector<LimitPeriod>> history;
  std::vector<double> rate_factors;
  std::vector<double>
      bucket_levels;  // by tenant: tokens in the bucket that decides which requests are within the limit
  std::vector<Micros> bucket_updated_at;
  std::vector<std::deque<GrantedRequest>> runs;
  std::vector<bool> key_revoked;
  std::vector<Micros> revoked_at;  // by tenant: time at which the key's revocation was acknowledged; -1 if none
  std::map<std::uint64_t, SentRequest> in_flight;
  std::map<std::uint64_t, std::function<void()>> pending_changes;  // by call: what to run when the change is chosen
  std::optional<control_plane_simulator::MachineId> concentrated_on;
  std::uint64_t next_id = 0;
  std::uint64_t next_call = 1000000;
  std::uint64_t label = 0;
  std::uint64_t heartbeat_order = 0;
  Micros started_at = 0;
  bool is_sending = false;
};

// A sequence of faults and load changes, with random choices from a seed.
struct Scenario {
  char const* name;
  void (*run)(Load&, RandomSource&);
  // Share of the tokens within the limit that may go unserved because of the faults, from 0 to 1.
  double allowed_loss = 0;
};
std::vector<Scenario> const& scenarios();

}  // namespace pipit::tenants
