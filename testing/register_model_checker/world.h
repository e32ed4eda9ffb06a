// A small world of the control register: the product's own acceptors, proposers and learners, with the messages between
// them, disks, operators and faults. Each step is a choice that the surroundings may make; the checker tries all.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "testing/register_model_checker/register_view.h"

namespace pipit::register_checker {

// What an operator orders. An order with the id of another one is that one sent again.
struct Order {
  std::string id;
  std::string node;
  Change::Type type = Change::Type::read;
  std::uint64_t expected = 0;
  std::string replica;  // admitted or dismissed
  int after = -1;       // asked only once that order has its answer
  std::string leaving;  // whose place the admitted one takes
};

// How often each fault may happen on one path.
struct Bounds {
  int repeats = 0;   // a message is delivered and stays on its way
  int retries = 0;   // a timer ends: a round is given up and begun again
  int give_ups = 0;  // a change is given up for good
  int restarts = 0;  // a node ends and starts anew
  int crashes = 0;   // a replica ends and starts from its last synced record
  int wipes = 0;     // a replica comes back with a blank disk
  int polls = 0;     // a learner polls the replicas
  int steps = 0;     // the longest path; 0 for no bound
};

struct Scenario {
  std::string name;
  std::string about;
  std::size_t replicas = 3;
  std::vector<std::size_t> members = {0, 1, 2};
  std::vector<std::string> nodes = {"p1", "p2"};
  std::vector<Order> orders;
  Bounds bounds;
  std::vector<std::string> prefix;  // steps that are taken first, beyond the bounds
  bool slow_disks = false;          // the end of each sync is a step of its own
  bool push = false;                // a settled value is sent to the other nodes
  bool same_chance = false;         // a node's next incarnation draws the same chance as the one before
};

// Steps of a world.
struct Step {
  enum class Type : std::uint8_t { ask, deliver, repeat, sync, retry, give_up, restart, crash, wipe, poll };
  Type type = Type::ask;
  std::size_t index = 0;  // of the order, message, replica or node
};

struct Message {
  std::string from;
  std::string to;
  wire::BodyUnion body;
  Print print;
};

// What operators and readers were told.
struct ReportedValue {
  std::uint64_t revision = 0;
  std::uint64_t serial = 0;
  std::uint64_t content = 0;
  std::uint64_t epoch = 0;
  std::uint64_t members = 0;
  std::string change;
  std::string text;
  std::shared_ptr<wire::ValueT const> value;
  std::string by;
};

struct OrderState {
  enum class Progress : std::uint8_t { waiting, asked, chosen, kept, refused, unknown };
  Progress progress = Progress::waiting;
  std::uint64_t floor = 0;   // the newest revision that was told before it was asked
  std::uint64_t serial = 0;  // under which it was chosen
  bool may_come = false;     // refused for an expected serial that was still to come, or for want of a majority
};

class World {
 public:
  explicit World(Scenario const& scenario_, Symmetry const& symmetry_);

  std::vector<Step> steps() const;
  // The step in words; a trace of these replays.
  std::string step_text(Step const& step) const;
  void take(Step const& step);
  // Takes the step with these words; false when it is not possible now.
  bool take(std::string const& step_text);
  // Lifts the bounds for a directed prefix and sets them back.
  void lift_bounds(bool lifted);

  // What is wrong; empty while nothing is.
  std::string const& fault() const { return wrong; }
  // What the last step brought about, for the table of a trace.
  std::string const& effect() const { return happened; }
  void narrate(bool on) { narrated = on; }
  std::uint64_t print() const;

  // All faults end and everything answers: a fresh node must be able to read, and what it reads must hold all that was
  // confirmed, as long as the disks that are left hold a quorum of every set in use. Empty when it is so.
  std::string check_recovery() const;
  // Delivers everything, retrying, until every order asked has its answer or the turns are over.
  void drain(int turns);
  std::vector<OrderState> const& orders() const { return states; }
  std::vector<std::shared_ptr<ReportedValue const>> const& reported() const { return reported_values; }
  Message const& message(std::size_t index) const { return *messages[index]; }
  std::vector<Order> const& asked() const { return scenario->orders; }

 private:
  struct Replica {
    std::shared_ptr<Acceptor const> acceptor;
    std::shared_ptr<wire::RecordT const> disk;    // the last synced record
    std::shared_ptr<wire::RecordT const> saving;  // the one being synced
    std::uint64_t disk_id = 0;
    Print print;
  };
  struct Node {
    std::shared_ptr<Proposer const> proposer;
    std::shared_ptr<Learner const> learner;
    std::uint64_t incarnation = 0;
    Micros now = 0;
    Print print;
  };
  struct Proposal {
    wire::Ballot ballot;
    std::uint64_t content = 0;
  };
  struct Ending {
    std::size_t order = 0;
    Outcome outcome;
  };

  void ask(std::size_t order);
  void deliver(std::size_t message, bool keep);
  void deliver_to_replica(std::size_t replica, Message const& message);
  void deliver_to_node(std::size_t node, Message const& message);
  void sync(std::size_t replica);
  void retry(std::size_t node, Micros by);
  void restart(std::size_t node);
  void crash(std::size_t replica);
  void wipe(std::size_t replica);
  void poll(std::size_t node);

  void start_node(std::size_t index);
  void start_replica(std::size_t index, wire::RecordT record);
  void after_acceptor(std::size_t index, Acceptor next, std::vector<OutgoingMessage>& out,
                      std::optional<wire::RecordT> save);
  void after_node(std::size_t index, Proposer const& proposer, Learner const& learner,
                  std::vector<OutgoingMessage>& out, std::vector<Ending>& endings);
  void send(std::string const& from, std::vector<OutgoingMessage>& out);
  void drop_late();
  void end(std::size_t node, Ending const& ending, Learner& learner, std::vector<OutgoingMessage>& out);
  void tell(wire::ValueT const& value, std::string const& by);
  void check_outcome(std::size_t order, Outcome const& outcome);
  void check_refusals();
  std::uint64_t newest_reported() const;
  void check_ballot(wire::Ballot const& ballot, wire::ValueT const& value);
  void blame(std::string const& text);
  void note(std::string const& text);
  int node_index(std::string const& name) const;
  std::vector<std::uint64_t> disk_ids() const;

  std::shared_ptr<Scenario const> scenario;
  Symmetry const* symmetry;
  std::vector<Replica> replicas;
  std::vector<Node> nodes;
  std::vector<std::shared_ptr<Message const>> messages;
  std::vector<OrderState> states;
  std::vector<std::shared_ptr<ReportedValue const>> reported_values;
  std::vector<Proposal> proposed;  // what was proposed at each ballot
  Bounds left;
  Bounds lifted_bounds;
  bool lifted = false;
  std::string wrong;
  std::string happened;
  bool narrated = false;
};

}  // namespace pipit::register_checker
