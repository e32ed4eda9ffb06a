// A small closed world of the control register: the product's own acceptors, proposers and learners, the messages in
// transit between them, their disks, operators' orders and faults. Each step is one possible event; the model checker
// explores the sequences of steps.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "testing/register_model_checker/register_view.h"

namespace pipit::register_checker {

// A change or read that an operator submits at a node. Two orders with the same id are one order that is sent twice.
struct Order {
  std::string id;
  std::string node;
  Change::Type type = Change::Type::read;
  std::uint64_t expected = 0;    // the serial or epoch that the change is based on
  std::string replica;           // the replica to admit or dismiss
  int after = -1;                // index of the order that must have its outcome before this one is submitted; -1: none
  std::string replaced_replica;  // the replica that the admitted one replaces; empty: none
};

// Limits for one path: how often each kind of step may occur on it, and its length.
struct Bounds {
  int repeats = 0;   // deliveries of a message that also stays in transit
  int retries = 0;   // timeouts of a round or of the pause after it; the proposer starts the next round
  int give_ups = 0;  // changes that reach their final timeout
  int restarts = 0;  // restarts of a node
  int crashes = 0;   // restarts of a replica from its last synced record
  int wipes = 0;     // restarts of a replica with an empty disk
  int polls = 0;     // polls of the replicas by a learner
  int steps = 0;     // the longest path; 0 for no limit
};

// The initial state of a world, the orders that are submitted in it, and the limits for faults.
struct Scenario {
  std::string name;
  std::string description;
  std::size_t replicas = 3;
  std::vector<std::size_t> members = {0, 1, 2};  // indices of the replicas in the initial membership
  std::vector<std::string> nodes = {"p1", "p2"};
  std::vector<Order> orders;
  Bounds bounds;
  std::vector<std::string> prefix;  // steps that are taken first and do not count against the bounds
  bool slow_disks = false;          // the completion of each sync is a separate step
  bool push_chosen = false;         // a node sends each chosen value to the other nodes
  bool same_chance = false;         // each incarnation of a node has the same random seed, which the product must avoid
};

// One event in a world.
struct Step {
  enum class Type : std::uint8_t { submit, deliver, repeat, sync, retry, give_up, restart, crash, wipe, poll };
  Type type = Type::submit;
  std::size_t index = 0;  // of the order, message, replica or node, depending on the type
};

// A message in transit.
struct Message {
  std::string from;
  std::string to;
  wire::BodyUnion body;
  Fingerprint fingerprint;
};

// A value that a node reported as chosen, to an operator or through its learner.
struct ReportedValue {
  std::uint64_t revision = 0;
  std::uint64_t serial = 0;
  std::uint64_t content = 0;  // hash of the content
  std::uint64_t epoch = 0;
  std::uint64_t members = 0;  // hash of the membership
  std::string change;
  std::string text;
  std::shared_ptr<wire::ValueT const> value;
  std::string source;  // the order or learner that reported the value first
};

// The progress of an order, as its operator sees it.
struct OrderState {
  enum class Progress : std::uint8_t { not_submitted, submitted, chosen, unchanged, refused, unknown };
  Progress progress = Progress::not_submitted;
  std::uint64_t min_revision = 0;  // the newest revision that had been reported when the order was submitted
  std::uint64_t serial = 0;        // the serial at which the order was chosen
  // The order was refused because no majority answered, or because its expected serial was not reached yet. The same
  // order may still be chosen when it is sent again.
  bool may_be_chosen_later = false;
};

// The state of a world. Copies share the parts that are equal, so that a search can keep many states.
class World {
 public:
  // `symmetry` must outlive the world and all of its copies.
  explicit World(Scenario const& scenario, Symmetry const& symmetry);

  // All steps that are possible now.
  std::vector<Step> steps() const;
  // The step as a line of a trace.
  std::string step_text(Step const& step) const;
  void take(Step const& step);
  // Takes the step with this text; returns false if it is not possible now.
  bool take(std::string const& step_text);
  // While `lifted`, steps do not count against the scenario's bounds. Used for a scenario's prefix.
  void lift_bounds(bool lifted);

  // The first violation of an invariant; empty if there is none.
  std::string const& violation() const { return violation_; }
  // The effects of the last step, for the table of a trace; empty unless narration is on.
  std::string const& effect() const { return effect_; }
  void enable_narration(bool on) { narration_enabled_ = on; }
  // The hash that identifies this state in a search.
  std::uint64_t state_hash() const;

  // Checks recovery after the end of all faults: a fresh node must be able to read, and the value that it reads must
  // contain all confirmed changes, provided that the remaining disks hold a quorum of every membership in use. Returns
  // the violation, or an empty text.
  std::string check_recovery() const;
  // Delivers all messages and lets timers expire until no node has a timer, but for at most `max_turns` turns.
  void drain(int max_turns);
  std::vector<OrderState> const& order_states() const { return order_states_; }
  std::vector<std::shared_ptr<ReportedValue const>> const& reported_values() const { return reported_values_; }
  Message const& message(std::size_t index) const { return *messages_[index]; }
  std::vector<Order> const& orders() const { return scenario_->orders; }

 private:
  struct Replica {
    std::shared_ptr<Acceptor const> acceptor;
    std::shared_ptr<wire::RecordT const> synced_record;   // the last record that is on disk
    std::shared_ptr<wire::RecordT const> syncing_record;  // the record whose sync is in progress; null if none is
    std::uint64_t disk_id = 0;
    Fingerprint fingerprint;
  };
  struct Node {
    std::shared_ptr<Proposer const> proposer;
    std::shared_ptr<Learner const> learner;
    std::uint64_t incarnation = 0;
    Micros now = 0;
    Fingerprint fingerprint;
  };
  struct Proposal {
    wire::Ballot ballot;
    std::uint64_t content = 0;
  };
  struct OrderOutcome {
    std::size_t order = 0;
    Outcome outcome;
  };

  void submit(std::size_t order);
  void deliver(std::size_t message, bool keep);
  void deliver_to_replica(std::size_t replica, Message const& message);
  void deliver_to_node(std::size_t node, Message const& message);
  void sync(std::size_t replica);
  // Advances the node's clock by `elapsed`, so that a timer of its proposer expires.
  void expire_timer(std::size_t node, Micros elapsed);
  void restart(std::size_t node);
  void crash(std::size_t replica);
  void wipe(std::size_t replica);
  void poll(std::size_t node);

  void start_node(std::size_t index);
  void start_replica(std::size_t index, wire::RecordT record);
  // Stores the changed acceptor, syncs `record` if there is one, and sends the messages.
  void update_acceptor(std::size_t index, Acceptor next, std::vector<OutgoingMessage>& out,
                       std::optional<wire::RecordT> record);
  // Handles the outcomes, stores the changed proposer and learner, and sends the messages.
  void update_node(std::size_t index, Proposer const& changed_proposer, Learner const& changed_learner,
                   std::vector<OutgoingMessage>& out, std::vector<OrderOutcome>& outcomes);
  void send(std::string const& from, std::vector<OutgoingMessage>& out);
  void drop_stale_messages();
  void handle_outcome(std::size_t node, OrderOutcome const& order_outcome, Learner& learner,
                      std::vector<OutgoingMessage>& out);
  // Compares a value that a node reports with all values reported before.
  void report_value(wire::ValueT const& value, std::string const& source);
  void check_outcome(std::size_t order, Outcome const& outcome);
  void check_refusals();
  std::uint64_t newest_reported_revision() const;
  // Checks that each ballot is used for one value only.
  void check_ballot(wire::Ballot const& ballot, wire::ValueT const& value);
  // Records a violation, unless there is one already.
  void report_violation(std::string const& text);
  void add_effect(std::string const& text);
  int node_index(std::string const& name) const;
  std::vector<std::uint64_t> disk_ids() const;

  std::shared_ptr<Scenario const> scenario_;
  Symmetry const* symmetry_;
  std::vector<Replica> replicas_;
  std::vector<Node> nodes_;
  std::vector<std::shared_ptr<Message const>> messages_;
  std::vector<OrderState> order_states_;
  std::vector<std::shared_ptr<ReportedValue const>> reported_values_;
  std::vector<Proposal> proposals_;  // the value proposed at each ballot
  Bounds remaining_bounds_;
  Bounds saved_bounds_;  // the remaining bounds from before they were lifted
  bool bounds_lifted_ = false;
  std::string violation_;
  std::string effect_;
  bool narration_enabled_ = false;
};

}  // namespace pipit::register_checker
