// The Paxos proposer of the register: CASPaxos, with membership changes by joint consensus (§5.3).
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/micros.h"
#include "base/random.h"
#include "consensus/register/ballot.h"
#include "consensus/register/change.h"
#include "consensus/register/membership.h"
#include "consensus/register/outgoing_message.h"

namespace pipit {

// Time and size limits of a proposer.
struct ProposerOptions {
  Micros phase_timeout = millis(600);  // for the replies to a prepare or accept request
  Micros change_timeout = seconds(3);  // for a change, from submit() to its outcome
  std::size_t max_pending = 32;        // changes, including the one in progress
};

// Proposes changes to the register in the two phases of Paxos at a quorum of its replicas, one change at a time.
//
// Phase one (prepare, promise) reads the value of the highest accepted ballot. It succeeds when a quorum of the
// membership in that value has promised. Phase two (accept, accepted) writes the draft, which is that value with the
// change applied. The draft is chosen when a quorum of the draft's own membership has accepted it. A membership change
// is first written as a joint membership, which is left only after it was chosen; so no proposer ever works with a
// membership that was merely seen (docs/control.md).
//
// State: the pending changes, the current ballot with the replies to it, and the known memberships. The state is lost
// when the process ends. Called from the node's loop only. The proposer has no clock and sends nothing by itself: each
// call passes the time and collects the messages to send.
//
// Invariants: a ballot is used for one draft only, by one incarnation; in the phases `prepare`, `accept` and `backoff`
// the first pending change is the one in progress.
class Proposer {
 public:
  // Called on the node's loop, from within a call of the proposer, with the outcome of a change.
  using DoneCallback = std::function<void(Outcome const&)>;
  // `self` is the node's name. The seed must differ in each incarnation: proposer and request ids are drawn from it.
  Proposer(std::string self, std::uint64_t seed, ProposerOptions options = {});

  // Queues a change; `done` is called once with its outcome. False if `max_pending` changes are pending; `done` is not
  // called then.
  bool submit(Change change, DoneCallback done, Micros now);
  // Adopts a membership that is known to be chosen, unless its epoch is not newer than the present one.
  void adopt_membership(Membership const& members);
  // Sets a membership that was seen but is not known to be chosen. Phase one starts with it while no chosen membership
  // is known: after a restart of all nodes in which no majority of replicas has the same ballot, no other is available.
  // Phase one verifies the value that it finds.
  void suggest_membership(Membership const& members);
  // Handles a Promise or an Accepted; other messages are ignored. Further requests are appended to `out`.
  void handle_reply(std::string const& from, wire::BodyUnion const& body, Micros now,
                    std::vector<OutgoingMessage>& out);
  // Starts the next change, retries after a backoff, and completes changes past their deadline.
  void tick(Micros now, std::vector<OutgoingMessage>& out);
  // Completes all changes for which no accept request was sent, since they cannot succeed without a quorum. The outcome
  // is `refused`, or `unknown` if another node may have proposed the change.
  void abandon_unsent_changes();
  // The number of changes without an outcome.
  std::size_t pending_count() const { return pending_.size(); }
  // The membership of the current round.
  Membership const& membership() const { return membership_; }
  // The serial at which a change was applied; 0 if the value does not remember the change.
  static std::uint64_t serial_of(wire::ValueT const& value, std::string const& id);

 private:
  enum class Phase : std::uint8_t { idle, backoff, prepare, accept };
  // Contents of the draft: the pending change, or a step that completes a joint membership found by phase one.
  enum class DraftType : std::uint8_t { change, confirm_joint, leave_joint };
  struct PendingChange {
    Change change;
    DoneCallback done;
    Micros submitted_at = 0;
    Micros started_at = -1;  // of its first round; -1: it waits behind other changes
    Micros deadline = 0;
    bool accept_sent = false;             // an accept request with this change may have been sent
    std::uint64_t sent_serial = 0;        // serial of this change in the last draft with it; 0 if there is none
    std::uint64_t joint_fingerprint = 0;  // of the joint membership that this change wrote
    int attempts = 0;
    int rejections = 0;  // by replicas that had promised a higher ballot
  };
  struct ReceivedPromise {
    std::uint64_t disk = 0;
    wire::Ballot accepted;
  };

  void start_prepare_phase(Micros now, std::vector<OutgoingMessage>& out);
  // Waits for a random time before the next round. `promised` is the higher ballot number that a replica had promised
  // when it rejected the current ballot; 0 if no replica rejected it.
  void back_off(Micros now, std::uint64_t promised);
  void handle_promise(std::string const& from, wire::PromiseT const& reply, Micros now,
                      std::vector<OutgoingMessage>& out);
  // Keeps the value of a promise if its ballot is the highest so far. False if the promise lacks that value.
  bool record_accepted_value(wire::PromiseT const& reply);
  bool has_promise_quorum() const;
  // Caches the value that phase one found. False if it has another membership; phase one must then be repeated with
  // that membership.
  bool adopt_found_value();
  void handle_accepted(std::string const& from, wire::AcceptedT const& reply, Micros now,
                       std::vector<OutgoingMessage>& out);
  void start_accept_phase(Micros now, std::vector<OutgoingMessage>& out);
  // Drafts the value to write. False if the change was completed instead, with an unknown outcome.
  bool make_draft(Micros now);
  // Drafts the next step of a joint membership: until it is known to be chosen, the same value again; then the value
  // without the former set.
  void draft_joint_step();
  // The error if it cannot be determined whether the change was or will be applied; nullopt otherwise.
  std::optional<Error> unknown_outcome_before_draft(PendingChange const& pending) const;
  // The outcome of a change that ends without a quorum.
  static Outcome outcome_without_quorum(PendingChange const& pending);
  void apply_change(Change const& change);
  void apply_description(Change const& change);
  void apply_zone_change(Change const& change);
  // Drafts the joint membership of a membership change. False if the change does not fit the present membership.
  bool draft_membership_change(Change const& change);
  // Sends the draft in full, or as a patch to the value that phase one found.
  void send_accept(std::string const& to, bool full_value, std::vector<OutgoingMessage>& out) const;
  void handle_chosen(Micros now, std::vector<OutgoingMessage>& out);
  Outcome outcome_of_draft(std::uint64_t serial, bool members_changed) const;
  void complete_change(Outcome outcome, Micros now);
  static ChangeStages stages_of(PendingChange const& pending, Micros now);

  std::string const self_;
  ProposerOptions const options_;
  RandomSource random_;
  std::uint64_t const proposer_id_;             // in ballots; differs in each incarnation, so that no ballot is reused
  Membership chosen_membership_;                // the newest that is known to be chosen
  Membership suggested_membership_;             // used while no chosen membership is known
  Membership membership_;                       // of the current round; possibly found but not known to be chosen
  std::uint64_t chosen_joint_fingerprint_ = 0;  // of the last joint membership known to be chosen
  std::deque<PendingChange> pending_;
  Phase phase_ = Phase::idle;
  DraftType draft_type_ = DraftType::change;
  Micros phase_deadline_ = 0;  // end of the current phase or backoff
  std::uint64_t request_id_ = 0;
  std::uint64_t highest_ballot_number_ = 1;  // used or seen
  wire::Ballot ballot_;
  std::map<std::string, ReceivedPromise> promises_;  // for the current ballot, by replica
  Voters accepted_by_;                               // replicas that accepted the draft
  // The value of the highest accepted ballot among the promises and the cached value.
  wire::Ballot highest_accepted_ballot_;
  std::optional<wire::ValueT> highest_accepted_value_;
  wire::ValueT draft_;          // the value that phase two writes
  bool order_applied_ = false;  // the draft applies the operator's order of the pending change
  // The value that this proposer last found or wrote, with its ballot. Replicas with this ballot need not send the
  // value.
  wire::Ballot cached_ballot_;
  std::optional<wire::ValueT> cached_value_;
  std::optional<Error> rejection_;  // reported once phase two has confirmed the present value
};

}  // namespace pipit
