// The learner of the register: what a node knows of the value without changing it (docs/control.md, "Reading").
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/micros.h"
#include "consensus/register/ballot.h"
#include "consensus/register/membership.h"
#include "consensus/register/outgoing_message.h"

namespace pipit {

// Holds the newest value that is known to be chosen, and finds newer ones by polls: majority reads without repair,
// which compare ballots first and fetch the value only when it is newer.
//
// State: the value with the one before it, the replies to the present poll, and what a quorum last confirmed; all of it
// is lost when the process ends. Called from the node's loop only.
//
// Invariants: only chosen values are held; the revision of the value never goes down, and two values of one revision
// are the same value.
class Learner {
 public:
  // Polls are numbered from here on; another number in each incarnation, so that no reply to a former incarnation
  // counts.
  explicit Learner(std::uint64_t first_request = 0) : request_id_(first_request) {}
  // Takes a value that is known to be chosen; true when it is newer than what is held.
  bool adopt(wire::ValueT const& chosen, Micros now);
  // Takes a patch of a chosen value; false when it has another base than what is held here.
  bool adopt(wire::ValuePatchT const& patch, Micros now);
  // Starts a poll of all nodes that may be replicas. 'age' is told to them as it is.
  void poll(Micros now, std::vector<std::string> const& replicas, Micros age, std::vector<OutgoingMessage>& out);
  // Takes a reply to a poll; returns a chosen value when the read brings a newer one.
  std::optional<wire::ValueT> handle_reply(std::string const& from, wire::ReadReplyT const& reply, Micros now,
                                           std::vector<OutgoingMessage>& out);

  // The membership of the newest chosen value; empty before one is known.
  Membership const& membership() const { return membership_; }
  // The membership of the newest value that a poll showed, chosen or not; a proposer may begin with it.
  Membership const& newest_seen_membership() const { return newest_seen_membership_; }
  // A first membership that some replica has, though nobody knows yet whether it is chosen; empty when none was seen.
  Membership const& bootstrap_membership() const { return bootstrap_membership_; }
  // When the last poll was sent that a quorum answered; -1 for never.
  Micros last_quorum_poll_at() const { return quorum_at_; }
  std::uint64_t serial() const { return value ? value->serial : 0; }
  std::uint64_t revision() const { return value ? value->revision : 0; }
  std::optional<wire::ValueT> value;
  std::optional<wire::ValueT> previous_value;  // what was held before it: the base of the patch that peers get
  // When the last poll was sent whose quorum knew nothing newer than what is held here; -1 for never.
  Micros confirmed_at = -1;
  Micros value_changed_at = -1;  // when the value held here last changed
  bool replicas_differ = false;  // the last poll that reached a quorum saw replicas with different ballots
  struct Observation {
    std::uint64_t disk = 0;
    bool formed = false;
    wire::Ballot ballot;
    std::uint64_t serial = 0;
    Micros at = -1;
    bool retiring = false;          // it is about to end for good, or for a while
    bool awaits_bootstrap = false;  // blank since the first start of all
  };
  std::map<std::string, Observation> observations;  // what each replica last replied, by name

 private:
  struct PollReply {
    wire::Ballot ballot;
    std::uint64_t revision = 0;
    std::uint64_t disk = 0;
    std::uint64_t members = 0;  // the fingerprint of its value's membership
  };
  void record_poll_membership(wire::ReadReplyT const& reply);
  void check_agreement(wire::ValueT const& chosen) const;
  void replace_value(wire::ValueT next, Micros now);
  // Takes the value that was fetched, if it is the one that a quorum agreed on.
  std::optional<wire::ValueT> handle_fetched_value(wire::ReadReplyT const& reply, Micros now);
  // Asks this replica for the value of its ballot, which a quorum has accepted, unless a fetch is under way.
  void fetch_value(std::string const& from, wire::Ballot const& ballot, Micros now, std::vector<OutgoingMessage>& out);
  // The replicas that replied to the present poll with this ballot.
  Voters replicas_with_ballot(wire::Ballot const& ballot) const;
  Membership const* membership_in(PollReply const& poll_reply) const;
  void update_quorum_revision();
  void update_replicas_differ();

  Membership membership_;
  Membership newest_seen_membership_;
  Membership bootstrap_membership_;
  std::map<std::uint64_t, Membership> poll_memberships_;  // of the present poll, by fingerprint
  std::uint64_t request_id_;
  Micros poll_sent_at_ = 0;
  std::map<std::string, PollReply> poll_replies_;  // to the present poll, by replica
  // A value that a quorum of a poll agreed on, and that one replica was asked for. It may take longer to come than a
  // poll: further polls neither ask for it again nor make its reply void.
  struct Fetch {
    std::uint64_t request_id = 0;
    wire::Ballot ballot;
    Micros poll_sent_at = 0;  // of the poll that agreed on it
    Micros requested_at = 0;
  };
  std::optional<Fetch> fetch_;
  // The newest revision that a quorum of a poll knew, and when that poll was sent: nothing older was chosen later.
  std::uint64_t quorum_revision_ = 0;
  Micros quorum_at_ = -1;
};

}  // namespace pipit
