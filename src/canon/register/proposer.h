// Any node changes the register in two rounds at a majority (§5.3). One change at a time for a node.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "canon/register/acceptor.h"
#include "ground/kinds.h"
#include "ground/mix.h"

namespace pipit {

// What a change makes of the present value: nothing (the value stays), a new value, or a refusal.
struct Change {
  enum class Sort : std::uint8_t { read, apply, empty, refill, admit, dismiss, seat, strike };
  Sort sort = Sort::read;
  std::string id;
  std::string text;  // the description, or the zone's name
  std::uint64_t expected = 0;
  // An 'apply' may name the operators' own numbers instead of serials: 'expected' is then the label that must be in
  // place, and 'label', which must be above it, takes its place (§12.4). 0: by serial.
  std::uint64_t label = 0;
  wire::KeeperT keeper;
  wire::SeatT seat;  // a router node that takes its place, or is struck
};

struct Outcome {
  enum class Sort : std::uint8_t { chosen, kept, refused, unknown };
  Sort sort = Sort::unknown;
  Fault fault;
  std::uint64_t serial = 0;  // of the change itself, when it was chosen; the value may be newer
  wire::ValueT value;        // the value chosen in the end, when one was
};

struct ProposerPlan {
  Micros phase = millis(600);
  Micros whole = seconds(3);
  std::size_t backlog = 8;
};

// A set of keepers with its epoch.
struct Ring {
  std::uint64_t epoch = 0;
  std::vector<wire::KeeperT> keepers;
  std::size_t majority() const { return keepers.size() / 2 + 1; }
  bool holds(std::string const& name, std::uint64_t disk) const;
};
Ring ring_of(wire::ValueT const& value);
// The seat of a router node in the value, or nullptr (§5.9).
wire::SeatT const* seat_of(wire::ValueT const& value, std::string const& name);

class Proposer {
 public:
  using Done = std::function<void(Outcome const&)>;
  Proposer(std::string self_, std::uint64_t seed, ProposerPlan plan_ = {});

  // False when too many changes wait already.
  bool ask(Change change, Done done, Micros now);
  void know(Ring const& ring);
  void take(std::string const& from, wire::BodyUnion const& body, Micros now, std::vector<Letter>& out);
  void tick(Micros now, std::vector<Letter>& out);
  std::size_t waiting() const { return jobs.size(); }
  Ring const& ring() const { return set; }
  // The serial under which a value remembers a change; 0 when it does not.
  static std::uint64_t serial_of(wire::ValueT const& value, std::string const& id);

 private:
  enum class Phase : std::uint8_t { idle, pause, first, second };
  struct Job {
    Change change;
    Done done;
    Micros due = 0;
    bool sent = false;  // an accept that carries this change may have left
    std::uint64_t sent_serial = 0;
    int tries = 0;
  };
  void start(Micros now, std::vector<Letter>& out);
  void again(Micros now, std::uint64_t seen);
  void accept(Micros now, std::vector<Letter>& out);
  void finish(Outcome const& outcome);

  std::string const self;
  ProposerPlan const plan;
  Dice dice;
  Ring set;
  std::deque<Job> jobs;
  Phase phase = Phase::idle;
  Micros due = 0;
  std::uint64_t req = 0;
  std::uint64_t top = 1;  // the highest ballot number seen
  wire::Ballot ballot;
  std::set<std::string> yes;
  wire::Ballot best;
  std::optional<wire::ValueT> found;  // of round one
  wire::ValueT draft;                 // of round two
  bool draft_new = false;
  std::optional<Fault> verdict;  // a refusal that is given once round two has settled the present value
};

}  // namespace pipit
