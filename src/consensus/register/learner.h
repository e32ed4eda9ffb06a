// The Paxos learner of the register: reads the chosen value without changing it (docs/control.md, "Reading").
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

// Holds the newest value that is known to be chosen, and finds newer values by polls: quorum reads without repair that
// compare ballots first and fetch the value only if it is newer.
//
// State: the value and its predecessor, the replies to the current poll, and the result of the last poll that reached a
// quorum. The state is lost when the process ends. Called from the node's loop only.
//
// Invariants: only chosen values are held; the revision of the value never decreases; two values with the same revision
// are the same value.
class Learner {
 public:
  // Polls are numbered from `first_request`. It must differ in each incarnation, so that no reply to a former
  // incarnation counts.
  explicit Learner(std::uint64_t first_request = 0) : request_id_(first_request) {}
  // Adopts a value that is known to be chosen. Returns whether it is newer than the held value.
  bool adopt(wire::ValueT const& chosen, Micros now);
  // Adopts a patch to a chosen value. False if the patch has another base than the held value, or is not newer.
  bool adopt(wire::ValuePatchT const& patch, Micros now);
  // Starts a poll of all nodes that may be replicas. `age` is passed on to them unchanged.
  void poll(Micros now, std::vector<std::string> const& replicas, Micros age, std::vector<OutgoingMessage>& out);
  // Handles a reply to a poll or a fetch. Returns the chosen value if the reply brings a newer one; appends a request
  // to `out` if a newer value has to be fetched.
  std::optional<wire::ValueT> handle_reply(std::string const& from, wire::ReadReplyT const& reply, Micros now,
                                           std::vector<OutgoingMessage>& out);

  // The membership of the newest chosen value; empty until a value is known.
  Membership const& membership() const { return membership_; }
  // The membership of the newest value seen by a poll, chosen or not. A proposer may start with it.
  Membership const& newest_seen_membership() const { return newest_seen_membership_; }
  // The membership of the newest chosen value or, until one is held, of the newest value seen; empty if none was seen.
  Membership const& newest_known_membership() const {
    return membership_.empty() ? newest_seen_membership_ : membership_;
  }
  // The first membership (epoch 1) as seen at some replica, not yet known to be chosen; empty if none was seen.
  Membership const& bootstrap_membership() const { return bootstrap_membership_; }
  // When the last poll that reached a quorum was sent; -1 if none did.
  Micros last_quorum_poll_at() const { return quorum_at_; }
  // The serial of the held value; 0 without a value.
  std::uint64_t serial() const { return value ? value->serial : 0; }
  // The revision of the held value; 0 without a value.
  std::uint64_t revision() const { return value ? value->revision : 0; }
  // The newest value that is known to be chosen.
  std::optional<wire::ValueT> value;
  std::optional<wire::ValueT> previous_value;  // the value before: the base of the patches sent to peers
  // When the last poll was sent whose quorum had nothing newer than the held value; -1 if none was.
  Micros confirmed_at = -1;
  Micros value_changed_at = -1;  // when the held value last changed; -1 for never
  bool replicas_differ = false;  // the last poll that reached a quorum saw replicas with different ballots
  // The state of a replica as last seen by a poll.
  struct Observation {
    std::uint64_t disk = 0;
    bool formed = false;
    wire::Ballot ballot;
    std::uint64_t serial = 0;
    Micros at = -1;
    bool retiring = false;          // the replica is about to stop, for good or for a while
    bool awaits_bootstrap = false;  // the disk is blank and the replica waits for its first bootstrap
  };
  std::map<std::string, Observation> observations;  // the last reply of each replica, by name

 private:
  struct PollReply {
    wire::Ballot ballot;
    std::uint64_t revision = 0;
    std::uint64_t disk = 0;
    std::uint64_t members = 0;  // fingerprint of the membership of its value
  };
  void record_poll_membership(wire::ReadReplyT const& reply);
  void check_agreement(wire::ValueT const& chosen) const;
  void replace_value(wire::ValueT next, Micros now);
  // Adopts a fetched value if its ballot is the one that a quorum had accepted. Returns the value if it is newer.
  std::optional<wire::ValueT> handle_fetched_value(wire::ReadReplyT const& reply, Micros now);
  // Requests from a replica the value of this ballot, which a quorum has accepted, unless a fetch is in progress.
  void fetch_value(std::string const& from, wire::Ballot const& ballot, Micros now, std::vector<OutgoingMessage>& out);
  // The replicas that replied to the current poll with this ballot.
  Voters replicas_with_ballot(wire::Ballot const& ballot) const;
  // The membership of the value at that replica; nullptr if the fingerprint is unknown.
  Membership const* membership_in(PollReply const& poll_reply) const;
  void update_quorum_revision();
  void update_replicas_differ();

  Membership membership_;
  Membership newest_seen_membership_;
  Membership bootstrap_membership_;
  std::map<std::uint64_t, Membership> poll_memberships_;  // of the current poll, by fingerprint
  std::uint64_t request_id_;
  Micros poll_sent_at_ = 0;
  std::map<std::string, PollReply> poll_replies_;  // to the current poll, by replica
  // A request to one replica for a value that a quorum of a poll had accepted. The transfer may take longer than a poll
  // interval: later polls neither repeat the request nor invalidate its reply.
  struct Fetch {
    std::uint64_t request_id = 0;
    wire::Ballot ballot;
    Micros poll_sent_at = 0;  // of the poll whose quorum had accepted the ballot
    Micros requested_at = 0;
  };
  std::optional<Fetch> fetch_;
  // The newest revision in the last poll that reached a quorum, and when that poll was sent. No newer revision had been
  // chosen before that time.
  std::uint64_t quorum_revision_ = 0;
  Micros quorum_at_ = -1;
};

}  // namespace pipit
