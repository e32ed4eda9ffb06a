// Any node changes the register in two rounds at a quorum of its replicas (§5.3). One change at a time for a node.
//
// Round one counts when a quorum of the set in the value that it found has promised; a value is chosen when a quorum of
// its own set has accepted it. A change of members is written as a joint set first, and the settled set only after the
// joint one was chosen: so no proposer ever works with a set that was merely seen (docs/control.md).
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/random.h"
#include "consensus/register/acceptor.h"
#include "consensus/register/membership.h"

namespace pipit {

// What a change makes of the present value: nothing (the value stays), a new value, or a refusal.
struct Change {
  enum class Type : std::uint8_t { read, apply, empty, refill, admit, dismiss, register_router, evict_router, replace };
  Type type = Type::read;
  std::string id;
  std::string text;  // the description, or the zone's name
  std::uint64_t expected = 0;
  // An 'apply' may name the operators' own numbers instead of serials: 'expected' is then the label that must be in
  // place, and 'label', which must be above it, takes its place (§12.4). 0: by serial.
  std::uint64_t label = 0;
  // Another node was asked to propose it and may have done so: without a quorum's word its outcome is unknown.
  bool proposed_elsewhere = false;
  wire::ReplicaT replica;                  // who is admitted or dismissed
  wire::ReplicaT leaving;                  // whose place the admitted one takes, in a 'replace'
  wire::RouterRegistrationT registration;  // a router node that takes its place, or is evicted
};

struct Outcome {
  enum class Type : std::uint8_t { chosen, kept, refused, unknown };
  Type type = Type::unknown;
  Error error;
  std::uint64_t serial = 0;  // of the change itself, when it was chosen; the value may be newer
  wire::ValueT value;        // the value chosen in the end, when one was
};

struct ProposerPlan {
  Micros phase = millis(600);
  Micros whole = seconds(3);
  std::size_t backlog = 32;
};

// The registration of a router node in the value, or nullptr (§5.9).
wire::RouterRegistrationT const* registration_of(wire::ValueT const& value, std::string const& name);

class Proposer {
 public:
  using Done = std::function<void(Outcome const&)>;
  Proposer(std::string self, std::uint64_t seed, ProposerPlan plan = {});

  // False when too many changes wait already.
  bool ask(Change change, Done done, Micros now);
  // A set that is known to be chosen.
  void know(Membership const& members);
  // A set that was only seen: where to begin while none is known to be chosen. After all copies were lost from memory
  // and no majority shows one ballot, there is nothing else to begin with; round one judges what it finds.
  void suggest(Membership const& members);
  void take(std::string const& from, wire::BodyUnion const& body, Micros now, std::vector<OutgoingMessage>& out);
  void tick(Micros now, std::vector<OutgoingMessage>& out);
  // Ends all changes of which nothing was sent: without a quorum they would only be waited for. They are refused, or
  // unknown where another node may have proposed them.
  void give_up_unsent();
  std::size_t waiting() const { return jobs_.size(); }
  Membership const& membership() const { return set_; }
  // The serial under which a value remembers a change; 0 when it does not.
  static std::uint64_t serial_of(wire::ValueT const& value, std::string const& id);

 private:
  enum class Phase : std::uint8_t { idle, pause, first, second };
  // What round two writes: the change that was asked, or a step that completes a joint set that was found.
  enum class Step : std::uint8_t { change, confirm_joint, settle };
  struct Job {
    Change change;
    Done done;
    Micros due = 0;
    bool sent = false;  // an accept that carries this change may have left
    std::uint64_t sent_serial = 0;
    std::uint64_t joint_written = 0;  // the fingerprint of the joint set that this change wrote
    int tries = 0;
    int refusals = 0;  // by replicas that had promised a higher ballot
  };
  struct Promised {
    std::uint64_t disk = 0;
    wire::Ballot accepted;
  };

  void start(Micros now, std::vector<OutgoingMessage>& out);
  void again(Micros now, std::uint64_t seen);
  void promise(std::string const& from, wire::PromiseT const& ans, Micros now, std::vector<OutgoingMessage>& out);
  void accepted(std::string const& from, wire::AcceptedT const& ans, Micros now, std::vector<OutgoingMessage>& out);
  void round_two(Micros now, std::vector<OutgoingMessage>& out);
  // False when the present change had to be given up, since nobody can know what became of it.
  bool make_draft();
  std::optional<Error> unknown_outcome_of(Job const& job) const;
  // What is said of a change that ends without a quorum's word.
  static Outcome outcome_without_quorum(Job const& job);
  void make_change(Change const& change);
  void apply(Change const& change);
  void change_zones(Change const& change);
  bool change_members(Change const& change);
  void send_accept(std::string const& to, bool whole, std::vector<OutgoingMessage>& out) const;
  void chosen(Micros now, std::vector<OutgoingMessage>& out);
  void finish(Outcome const& outcome);

  std::string const self_;
  ProposerPlan const plan_;
  RandomSource random_;
  std::uint64_t const owner_;       // of ballots; a new one in each incarnation, so that no ballot is ever used twice
  Membership known_;                // the newest set that is known to be chosen
  Membership suggested_;            // where to begin without one
  Membership set_;                  // the one that this round works with; it may be one that was only found
  std::uint64_t joint_chosen_ = 0;  // the fingerprint of the joint set that this proposer saw chosen
  std::deque<Job> jobs_;
  Phase phase_ = Phase::idle;
  Step step_ = Step::change;
  Micros due_ = 0;
  std::uint64_t request_id_ = 0;
  std::uint64_t top_ = 1;  // the highest ballot number seen
  wire::Ballot ballot_;
  std::map<std::string, Promised> promises_;  // of round one
  Voters accepts_;                            // of round two
  wire::Ballot best_;                         // of the value found in round one, or held before it
  std::optional<wire::ValueT> found_;
  wire::ValueT draft_;        // of round two
  bool order_taken_ = false;  // the draft takes the job's order
  // The value that this proposer last found or wrote, and at which ballot: replicas that hold it need not send it.
  wire::Ballot held_ballot_;
  std::optional<wire::ValueT> held_;
  std::optional<Error> verdict_;  // a refusal that is given once round two has settled the present value
};

}  // namespace pipit
