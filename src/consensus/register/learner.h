// What a node knows of the register without changing it: only chosen values are spread and put in force, and a node
// never goes back to an older one (docs/control.md, "Reading").
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/register/proposer.h"

namespace pipit {

class Learner {
 public:
  // Polls are numbered from here on; another number in each incarnation, so that no answer to a former incarnation
  // counts.
  explicit Learner(std::uint64_t first_request = 0) : request_id_(first_request) {}
  // Takes a value that is known to be chosen; true when it is newer than what is held.
  bool adopt(wire::ValueT const& value, Micros now);
  // Takes a patch of a chosen value; false when it has another base than what is held here.
  bool adopt(wire::ValuePatchT const& patch, Micros now);
  // Polls: one majority read without repair, of marks only. 'replicas' are all nodes that may keep.
  void poll(Micros now, std::vector<std::string> const& replicas, Micros age, std::vector<OutgoingMessage>& out);
  // Returns a chosen value when the read brings a newer one.
  std::optional<wire::ValueT> take(std::string const& from, wire::ReadReplyT const& ans, Micros now,
                                   std::vector<OutgoingMessage>& out);

  // The set of the newest chosen value; empty before one is known.
  Membership const& membership() const { return set_; }
  // The set of the newest value that the last poll showed, chosen or not; a proposer may begin with it.
  Membership const& seen() const { return seen_set_; }
  // A first set that some replica holds, though nobody knows yet whether it is chosen; empty when none was seen.
  Membership const& bootstrap_set() const { return initial_set_; }
  // When the last poll was sent that a quorum answered; -1 for never.
  Micros contact() const { return floor_at_; }
  std::uint64_t serial() const { return value ? value->serial : 0; }
  std::uint64_t revision() const { return value ? value->revision : 0; }
  std::optional<wire::ValueT> value;
  std::optional<wire::ValueT> before;  // what was held before it: the base of the patch that peers get
  // When the last poll was sent whose quorum knew nothing newer than what is held here; -1 for never.
  Micros sure = -1;
  Micros changed_at = -1;  // when the value held here last changed
  bool split = false;      // the last poll that reached a quorum saw replicas that hold different ballots
  struct Observation {
    std::uint64_t disk = 0;
    bool formed = false;
    wire::Ballot ballot;
    std::uint64_t serial = 0;
    Micros at = -1;
    bool retiring = false;          // it is about to end for good, or for a while
    bool awaits_bootstrap = false;  // blank since the first start of all
  };
  std::map<std::string, Observation> observations;  // what each replica last answered

 private:
  struct Vote {
    wire::Ballot ballot;
    std::uint64_t revision = 0;
    std::uint64_t disk = 0;
    std::uint64_t members = 0;  // the fingerprint of its value's set
  };
  void remember_members(wire::ReadReplyT const& ans);
  void check_same(wire::ValueT const& fresh) const;
  void replace(wire::ValueT next, Micros now);
  // The replicas of the present poll that hold this ballot.
  Voters holders(wire::Ballot const& ballot) const;
  Membership const* members_of(Vote const& vote) const;
  void update_floor();
  void update_split();

  Membership set_;
  Membership seen_set_;
  Membership initial_set_;
  std::map<std::uint64_t, Membership> offered_;  // sets of the present poll, by fingerprint
  std::uint64_t request_id_;
  Micros asked_ = 0;
  std::map<std::string, Vote> votes_;
  std::optional<Vote> wanted_;  // chosen by count, its value still to be fetched
  // The newest revision that a quorum of a poll knew, and when that poll was sent: nothing older was chosen later.
  std::uint64_t floor_revision_ = 0;
  Micros floor_at_ = -1;
};

}  // namespace pipit
