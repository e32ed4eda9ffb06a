// A whole fleet of the product's cores under virtual time, with a seeded net, disks, workers and faults (§10.4).
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

struct WorldPlan {
  Shape const* shape = nullptr;
  std::uint64_t seed = 1;
  Micros length = seconds(30);    // of faults; a quiet end follows
  double rate = 25;               // requests a second
  std::vector<std::string> only;  // these types of faults, or all
  bool finale = false;            // in the quiet end: what is gone is forgotten, and a zone drained
};

struct Margins {
  Micros departure = -1;  // latest start after a mark
  Micros empty = -1;      // latest start after a yes
  Micros force = 0;       // slowest description
  Micros back = -1;       // service after a full loss
  int cold = 0;           // most starts in a second at a cold worker
  double resend = 0;      // share of re-sends
};

struct WorldEnd {
  std::uint64_t hash = 0;
  std::uint64_t exchanges = 0, registrations = 0,
                routers = 0;             // registrations in the register, and router nodes that live, at the end
  std::vector<std::string> unconfirmed;  // whom the last 'empty' named, with a finale
  bool drained_zones = false;            // the finale's 'empty' was chosen
  std::uint64_t done = 0, runs = 0, refused = 0, lost = 0, accepted = 0, reads = 0, injected_faults = 0, frames = 0;
  std::map<std::string, int> kinds;     // of faults that were injected
  std::vector<std::string> violations;  // "N1 ...", empty when all held
  Margins margins;
};

class World {
 public:
  explicit World(WorldPlan plan_);
  ~World();
  WorldEnd run();

  static std::vector<std::string> fault_types();

 private:
  struct Machine;        // a node with its machine
  struct Link;           // a connection between two boxes
  struct WorkerProcess;  // a worker
  struct ClientRequest;  // one attempt of a caller
  struct PendingChange;  // an operator's change
  // Where and for how long a fault acts, as the seed chose it.
  struct FaultSite {
    std::string type;
    Micros span = 0;
    std::vector<std::string> names;    // of all nodes
    Machine* machine = nullptr;        // a node that is up
    WorkerProcess* process = nullptr;  // a worker that serves, while enough of them do
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

  void at(Micros when, std::function<void()> act);
  void after(Micros wait, std::function<void()> act) { at(now + wait, std::move(act)); }
  void add_to_hash(std::string const& what);
  void record_violation(std::string const& what);
  Micros random_delay(Micros least = 300, Micros most = 4000) {
    return least + static_cast<Micros>(random.below(static_cast<std::uint64_t>(most - least)));
  }

  // machines
  Machine& add(std::string const& name, std::string const& address, std::string const& zone, MemberRole role);
  void start_machine(Machine& machine);
  void stop_machine(Machine& machine, bool power);
  void freeze_machine(Machine& machine, Micros span);
  void tick(Machine& machine, std::uint64_t process_id);
  void run_step(Machine& machine, std::uint64_t process_id, std::function<void(Machine&, Micros, NodeEffects&)> step);
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

  // workers and callers
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

  // operators and faults
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
  void check_configuration_delivery();
  void check_final_state();
  Machine* pick_running(std::function<bool(Machine const&)> const& fits);
  Machine* pick_any_running() {
    return pick_running([](Machine const&) { return true; });
  }
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
  std::vector<std::string> silent_routers;  // router nodes that were exchanged and answer no dial
  bool power_cut_after_accept = false;      // the next yes is followed by a power cut of every replica
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
  std::map<std::uint64_t, std::string> serial_change;  // what was ever seen in force under a serial
  std::map<std::uint64_t, std::pair<Micros, std::string>> accepted_applies;  // accepted applies: when, and the text
  std::set<std::string> refused_changes;
  std::map<std::uint64_t, Micros> awaiting_force;
  struct DrainInterval {
    Micros from = 0;
    Micros to = -1;
  };
  std::map<std::string, std::vector<DrainInterval>> drained_zones;
  std::map<std::string, std::map<std::uint64_t, Micros>> departures;  // worker, incarnation: when
  Micros full_loss_at = -1;
  Micros service_back_at = -1;
  std::uint64_t first_sends = 0, resends = 0;
};

}  // namespace pipit
