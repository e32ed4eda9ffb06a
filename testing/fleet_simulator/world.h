// A simulated fleet of nodes under virtual time, with a seeded network, disks, workers and faults (§10.4).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base/guards.h"
#include "base/random.h"
#include "node/node.h"
#include "testing/common/shapes.h"

namespace pipit {

// The input of one simulation run.
struct WorldPlan {
  Shape const* shape = nullptr;
  std::uint64_t seed = 1;
  Micros length = seconds(30);    // time during which faults are injected; a period without faults follows
  double rate = 25;               // client calls per second
  std::vector<std::string> only;  // fault types to inject; all if empty
  bool finale = false;            // after the faults: evict the unreachable routers and drain a zone
};

// The worst values seen of the quantities that the invariants bound.
struct Margins {
  Micros departure = -1;  // longest time from marking a worker as leaving to a request that still reached it
  Micros empty = -1;      // longest time from accepting a zone drain to a request that still reached the zone
  Micros force = 0;       // longest time from accepting a change to its being in force on every undisturbed router
  Micros back = -1;       // longest time from restarting all nodes to the first completed request
  int cold = 0;           // most requests that a newly started worker received within one second
  double resend = 0;      // ratio of re-sends to first sends
};

// The result of one simulation run.
struct WorldEnd {
  std::uint64_t hash = 0;
  std::uint64_t exchanges = 0, registrations = 0,
                routers = 0;             // registrations in the register, and running router nodes, at the end
  std::vector<std::string> unconfirmed;  // nodes without a confirmation of the last drain, with WorldPlan::finale
  bool drained_zones = false;            // the zone drain of WorldPlan::finale was chosen
  std::uint64_t done = 0, runs = 0, refused = 0, lost = 0, accepted = 0, reads = 0, injected_faults = 0, frames = 0;
  std::map<std::string, int> kinds;     // count by type of injected fault and by error code of an answer
  std::vector<std::string> violations;  // "N1 ..."; empty if every invariant held
  Margins margins;
};

// Runs one simulated fleet. A seed and a plan determine the run; run() may be called one time.
class World {
 public:
  explicit World(WorldPlan plan_);
  ~World();
  WorldEnd run();

  // The names of all fault types, as the flag --only takes them.
  static std::vector<std::string> fault_types();

 private:
  struct Machine;        // a machine and the node that runs on it
  struct Link;           // a connection between two machines
  struct WorkerProcess;  // a worker's current process
  struct ClientRequest;  // one request that a client sends for a call
  struct PendingChange;  // a change that an operator submitted
  // Where and for how long a fault acts, chosen from the seed.
  struct FaultSite {
    std::string type;
    Micros span = 0;
    std::vector<std::string> names;    // names of all machines
    Machine* machine = nullptr;        // a running node
    WorkerProcess* process = nullptr;  // a serving worker; null if fewer than six serve
  };
  struct FaultType {
    void (World::*inject)(FaultSite const& site);
    bool needs_worker;
  };
  struct ScheduledEvent {
    Micros at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(ScheduledEvent const& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  // Schedule `act` at a virtual time, or after a delay.
  void at(Micros when, std::function<void()> act);
  void after(Micros wait, std::function<void()> act) { at(now + wait, std::move(act)); }
  // Mixes an event and the time into the hash by which two runs are compared.
  void add_to_hash(std::string const& event);
  // Adds a violation with the time; only the first 20 are kept.
  void record_violation(std::string const& text);
  Micros random_delay(Micros least = 300, Micros most = 4000) {
    return least + static_cast<Micros>(random.below(static_cast<std::uint64_t>(most - least)));
  }

  // Machines
  Machine& add_machine(std::string const& name, std::string const& address, std::string const& zone, MemberRole role);
  void start_machine(Machine& machine);
  void stop_machine(Machine& machine, bool power);
  void freeze_machine(Machine& machine, Micros span);
  void tick(Machine& machine, std::uint64_t process_id);
  void run_step(Machine& machine, std::uint64_t process_id, std::function<void(Machine&, Micros, NodeEffects&)> step);
  // The machine's own clock, which has a rate and an offset.
  Micros clock(Machine const& machine) const;
  void apply_effects(Machine& machine, NodeEffects& out);
  bool is_cut(std::string const& a, std::string const& b) const { return cuts.count({a, b}) > 0; }
  void set_cut(std::string const& a, std::string const& b, bool on);
  void heal();
  void dial(Machine& machine, std::string const& address);
  void send_frame(Machine& machine, ConnectionId id, std::string bytes);
  void deliver_frame(std::shared_ptr<Link> link, int side, std::string bytes);
  void close_link(std::shared_ptr<Link> link, int from_side);
  void sync_record(Machine& machine, wire::RecordT record);

  // Workers and clients
  void start_attempt(Machine& machine, ChatAttemptStart const& start);
  void deliver_request(std::string const& machine, std::uint64_t process_id, std::uint64_t chat_request, int attempt,
                       std::string const& worker, std::uint64_t worker_process_id, std::uint64_t client_request,
                       Micros stall);
  void start_process(WorkerProcess& process);
  void stop_process(WorkerProcess& process);
  void write_list();
  void start_client_call();
  void send_client_request(std::uint64_t client_request);
  void request_ended(std::uint64_t client_request, std::string const& what, Micros back);

  // Operators and faults
  void submit_operator_change(Change::Type type, std::string const& text, std::uint64_t expected, Machine& machine);
  void handle_change_reply(Machine& machine, ChangeReply const& reply);
  void operator_turn();
  void inject_fault();
  static FaultType const* fault_type(std::string const& name);
  void stop_node(FaultSite const& site);
  void freeze_node(FaultSite const& site);
  void cut_off_node(FaultSite const& site);
  void partition(FaultSite const& site);
  void replace_disk(FaultSite const& site);
  void exchange_router(FaultSite const& site);
  void slow_disk(FaultSite const& site);
  void restart_worker(FaultSite const& site);
  void freeze_worker(FaultSite const& site);
  void restart_workers(FaultSite const& site);
  void remove_worker(FaultSite const& site);
  void stop_list(FaultSite const& site);
  void race_changes(FaultSite const& site);
  void storm_of_changes(FaultSite const& site);
  void apply_large_change(FaultSite const& site);
  void lose_all_nodes(FaultSite const& site);
  void cut_off_group(FaultSite const& site);
  void leave_one_router(FaultSite const& site);
  void lose_accepted_change(FaultSite const& site);
  void drain_node(FaultSite const& site);
  void stop_after_accept(FaultSite const& site);
  void refuse_requests(FaultSite const& site);
  void crowd_of_requests(FaultSite const& site);
  // Checks N7 every 100 ms.
  void check_configuration_delivery();
  void check_final_state();
  // Returns a random running machine that satisfies `fits`; null if there is none.
  Machine* pick_running(std::function<bool(Machine const&)> const& fits);
  Machine* pick_any_running() {
    return pick_running([](Machine const&) { return true; });
  }
  // Stops every machine, starts all again after 800 ms, and checks that service returns within 12 s (N12).
  void full_loss();
  void restore_list();

  WorldPlan const plan;
  RandomSource random;
  Micros now = 0;
  std::uint64_t order = 0;
  std::priority_queue<ScheduledEvent> events;
  WorldEnd end;
  std::map<std::string, std::unique_ptr<Machine>> machines;
  std::map<std::string, std::unique_ptr<WorkerProcess>> processes;
  std::set<std::pair<std::string, std::string>> cuts;
  std::map<std::uint64_t, std::unique_ptr<ClientRequest>> client_requests;
  std::map<std::uint64_t, std::unique_ptr<PendingChange>> changes;
  std::vector<std::shared_ptr<Link>> links;
  std::vector<std::pair<Micros, std::vector<ListRow>>> list;
  bool list_down = false;
  bool list_silent = false;
  std::vector<std::string> silent_routers;  // replaced routers that lost power and so answer no connection attempt
  bool power_cut_after_accept = false;      // the next accepted change cuts the power of every replica
  Micros list_down_from = 0;
  std::uint64_t process_count = 0;
  std::uint64_t client_request_count = 0;
  std::uint64_t call_count = 0;
  std::uint64_t change_count = 0;
  std::uint64_t link_count = 0;
  int moved_address_count = 0;
  int description_version = 0;
  bool quiet = false;
  std::uint64_t accepted_serial = 0;
  std::map<std::uint64_t, std::string> serial_change;                        // change id seen in force for each serial
  std::map<std::uint64_t, std::pair<Micros, std::string>> accepted_applies;  // by serial: time of acceptance and text
  std::set<std::string> refused_changes;
  std::map<std::uint64_t, Micros> awaiting_force;
  struct DrainInterval {
    Micros from = 0;
    Micros to = -1;
  };
  std::map<std::string, std::vector<DrainInterval>> drained_zones;
  std::map<std::string, std::map<std::uint64_t, Micros>>
      departures;  // by worker and incarnation: time of the leaving mark
  Micros full_loss_at = -1;
  Micros service_back_at = -1;
  std::uint64_t first_sends = 0, resends = 0;
};

}  // namespace pipit
