// Machines, disks and links under virtual time that carry the effects of the product's nodes. Every run is fixed by its
// plan: the same seed gives the same run.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "node/node.h"
#include "testing/control_plane_simulator/disk.h"

namespace pipit::control_plane_simulator {

// How a cut shows itself: nothing arrives, connections are reset, or connections are reset and dials are refused.
enum class CutKind : std::uint8_t { silent, reset, refused };
enum class CutWay : std::uint8_t { both, inbound, outbound };

// What a machine can do in a second. Steps of its process wait for its processor, frames for its link.
struct MachineLimits {
  double processor_share = 0;               // of a core; 0: steps take no time
  std::uint64_t link_bytes_per_second = 0;  // each way; 0: no limit
};

struct WorldPlan {
  std::uint64_t seed = 1;
  std::size_t disks = 3;
  std::size_t plain = 3;  // machines without a disk
  std::size_t zones = 3;
  std::size_t tolerated = 1;  // machines with a disk that may be lost at once
  Micros catch_up = seconds(4);
  Micros sync_least = 300;
  Micros sync_most = 900;
  Micros link_least = 300;
  Micros link_most = 800;
  MachineLimits replica_limits = {};
  MachineLimits plain_limits = {};
};

using MachineId = std::size_t;

// Frames of one kind.
struct FrameCount {
  std::uint64_t frames = 0;
  std::uint64_t bytes = 0;
  void add(std::size_t size) {
    ++frames;
    bytes += size;
  }
};

struct Link;

// A machine with its process, which may be down, and its disk.
struct Machine {
  MachineId id = 0;
  std::string name;
  std::string address;
  std::string zone;
  bool replica = false;
  bool powered = true;
  bool removed = false;
  std::unique_ptr<Node> node;
  std::uint64_t process = 0;  // counts the starts of processes, over all machines
  Micros started_at = -1;
  bool frozen = false;
  std::vector<std::function<void()>> deferred;  // what came while it was frozen

  double clock_rate = 1.0;
  Micros clock_offset = 0;
  Micros wall_offset = 0;  // of the wall clock, which may step

  std::unique_ptr<SimulatedDisk> disk;
  std::unique_ptr<RecordStore> store;            // of the present process
  std::shared_ptr<wire::RecordT const> writing;  // what is being written
  std::optional<std::uint64_t> opening;          // the process that waits for its disk before it has a node
  Micros stalled_until = -1;
  bool disk_full = false;

  std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>> connections;
  ConnectionId next_connection = 0;

  Micros stop_from = -1;  // since when a planned stop is under way
  bool announced = false;
  std::size_t calls_under_way = 0;            // of operators
  std::uint64_t bytes_moved = 0;              // in frames, sent and received
  std::map<wire::Body, FrameCount> received;  // frames that were sent to it, by kind

  double slowdown = 1;           // of its processor
  double request_processor = 0;  // cores that requests of clients take
  Micros busy_until = 0;         // when its processor has done the steps that are due
  Micros sending_until = 0;
  Micros receiving_until = 0;

  int faults = 0;           // that it suffers now
  Micros calm_since = 0;    // the end of the last one
  Micros alone_since = -1;  // since when it is cut off with less than a majority
  bool established = true;  // it was there from the start, or has once had its catch-up time
  std::optional<MachineId> successor;
  bool up() const { return node != nullptr; }
  bool calm() const { return up() && faults == 0 && !removed; }
};

class World {
 public:
  using Step = std::function<void(Node&, Micros, NodeEffects&)>;
  explicit World(WorldPlan plan_);
  ~World();

  void run_until(Micros when);
  void run(Micros span) { run_until(time + span); }
  Micros now() const { return time; }
  void at(Micros when, std::function<void()> act);
  void after(Micros wait, std::function<void()> act) { at(time + wait, std::move(act)); }

  // Machines.
  MachineId add(bool replica);
  void boot(MachineId id, bool first_start = false);
  void boot_all(bool first_start);
  void kill(MachineId id);
  void power_off(MachineId id);
  void wipe(MachineId id);    // of a machine that is down: its disk is a new one
  void remove(MachineId id);  // gone for good, without a word
  // A planned stop as the shell does it: the word of the departure after its heed time, then the end of the process.
  void stop(MachineId id);
  void freeze(MachineId id, Micros span);
  void stall_disk(MachineId id, Micros span);
  // Its processor takes so many times as long for each step.
  void slow_down(MachineId id, double times, Micros span);
  // Also of a machine that is down, or that was never started.
  void fill_disk(MachineId id, Micros span);
  void step_clock(MachineId id, Micros by) { machines[id]->wall_offset += by; }

  // Cuts a group of machines off from all others; 'minority' when it holds less than a majority of replicas.
  void isolate(std::vector<MachineId> const& group, CutKind kind, CutWay way, bool minority = true);
  // Cuts two groups off from each other; all others reach both. Every member is in trouble meanwhile.
  void part(std::vector<MachineId> const& one, std::vector<MachineId> const& other);
  void heal();
  bool cut(MachineId from, MachineId to) const { return barrier_between(from, to) != nullptr; }

  // Runs one step of a machine's process: later while it is frozen or its processor is busy, never once that process
  // has ended. 'bytes' is the size of what it reads.
  void enter(MachineId id, std::uint64_t process, Step const& step, std::size_t bytes = 0);

  Machine& machine(MachineId id) { return *machines[id]; }
  Machine const& machine(MachineId id) const { return *machines[id]; }
  std::size_t size() const { return machines.size(); }
  std::vector<MachineId> replicas() const;
  std::optional<MachineId> find(std::string const& name) const;
  // A new machine with a disk in the place of another.
  MachineId add_successor(MachineId of);
  // Machines with a disk that count as lost now: down, frozen, cut off or slow, or not yet caught up since. One that
  // was removed counts until its successor has had its catch-up time.
  std::size_t lost();
  // The same without the catch-up time of those that are back.
  std::size_t has_fault();

  RandomSource& chance() { return random; }
  WorldPlan const plan;
  // Called after every step, for every answer to an operator, at the end of a process, and at the start of one.
  std::function<void(Machine&)> on_step;
  std::function<void(Machine&, ChangeReply const&)> on_reply;
  std::function<void(Machine&, DepartureAnswer const&)> on_departure_answer;
  std::function<void(Machine&)> on_end;
  std::function<void(Machine&)> on_boot;
  // Completes the plan of a node before its process begins, and takes what its dispatcher decided.
  std::function<void(NodePlan&)> on_plan;
  std::function<void(Machine&, DispatchEffects&)> on_dispatch;
  std::uint64_t frames = 0;
  std::uint64_t frame_bytes = 0;
  std::map<wire::Body, FrameCount> sent;           // by kind
  std::map<wire::Body, FrameCount> between_zones;  // by kind, those whose machines are in two zones

 private:
  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(Event const& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Barrier {
    std::vector<MachineId> group;
    CutKind kind;
    CutWay way;
    std::vector<MachineId> from;  // the machines that the group is cut off from; empty for all others
    bool holds(MachineId id) const;
    bool concerns(MachineId id) const;
  };
  Barrier const* barrier_between(MachineId from, MachineId to) const;
  bool caught_up(Machine const& machine) const;
  std::size_t count_lost(bool catching_up);
  Micros clock(Machine const& machine) const;
  Micros lag() { return lag(plan.link_least, plan.link_most); }
  Micros lag(Micros least, Micros most) {
    return least + static_cast<Micros>(random.below(static_cast<std::uint64_t>(most - least + 1)));
  }
  void tick(MachineId id, std::uint64_t process);
  MachineLimits const& limits_of(Machine const& machine) const {
    return machine.replica ? plan.replica_limits : plan.plain_limits;
  }
  // How long the machine's processor takes for so many steps or frames and bytes.
  Micros processing_time(Machine const& machine, std::size_t steps, std::size_t bytes) const;
  void run_step(MachineId id, std::uint64_t process, Step const& step);
  // When the last of so many bytes has passed through a link that is busy until 'busy_until', which it updates.
  static Micros transmit(Micros at, std::size_t bytes, std::uint64_t bytes_per_second, Micros& busy_until);
  void obey(Machine& machine, NodeEffects& out);
  void end(Machine& machine, bool silent);
  void check_stop(MachineId id, std::uint64_t process);
  void begin_fault(Machine& machine);
  void end_fault(Machine& machine);
  std::vector<std::string> seeds_now(MachineId id) const;

  void dial(Machine& machine, std::string const& address);
  void dial_fails(MachineId id, std::uint64_t process, std::string const& address, bool refused, Micros wait);
  void open_side(std::shared_ptr<Link> link, int side, std::string const& address);
  void send(std::shared_ptr<Link> const& link, int side, std::string bytes, bool last);
  void count(Link const& link, int side, std::string const& bytes);
  void schedule(std::shared_ptr<Link> const& link, int side);
  void deliver(std::shared_ptr<Link> const& link, int side);
  void hang_up(std::shared_ptr<Link> const& link, int side, bool silent);
  void reset_side(std::shared_ptr<Link> const& link, int side);

  void open_disk(MachineId id, std::uint64_t process, NodePlan const& made, int attempts);
  void begin_process(Machine& machine, NodePlan const& made, std::optional<wire::RecordT> record);
  void interrupt_save(Machine& machine);
  void save(Machine& machine, wire::RecordT record);
  void attempt_save(MachineId id, std::uint64_t process, std::shared_ptr<wire::RecordT const> record);

  RandomSource random;
  Micros time = 0;
  std::uint64_t order = 0;
  std::priority_queue<Event> events;
  std::vector<std::unique_ptr<Machine>> machines;
  std::map<std::string, MachineId> machine_by_address;
  std::vector<Barrier> barriers;
  std::vector<std::weak_ptr<Link>> links;
  std::uint64_t processes = 0;
  std::uint64_t disks_made = 0;
};

// A stream between two processes: each side's frames arrive whole and in their order.
struct Link {
  struct Frame {
    Micros due;
    std::string bytes;
    bool last;  // the side that sent it has hung up
  };
  MachineId end[2] = {0, 0};
  std::uint64_t process[2] = {0, 0};
  ConnectionId connection[2] = {0, 0};
  bool opened[2] = {false, false};
  bool closed[2] = {false, false};
  std::deque<Frame> queue[2];  // by the side that sent
  bool scheduled[2] = {false, false};
  Micros latest[2] = {0, 0};
};

}  // namespace pipit::control_plane_simulator
