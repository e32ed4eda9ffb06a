// The proposer of the register: a CASPaxos proposer with changes of members by joint consensus (§5.3).
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

struct ProposerOptions {
  Micros phase_timeout = millis(600);  // for the replies to one prepare or accept
  Micros change_timeout = seconds(3);  // for a change, from submit() to its outcome
  std::size_t max_pending = 32;        // changes, with the one that is under way
};

// Makes changes of the register in two phases at a quorum of its replicas, one change at a time.
//
// Phase one (prepare, promise) reads the value of the highest accepted ballot. It counts when a quorum of the
// membership in that value has promised. Phase two (accept, accepted) writes the draft, which is that value with the
// change applied. It is chosen when a quorum of the draft's own membership has accepted it. A change of members is
// written as a joint membership first, which is left only after it was chosen: so no proposer ever works with a
// membership that was merely seen (docs/control.md).
//
// State: the changes that wait, the ballot in use with the replies to it, and the memberships known so far; all of it
// is lost when the process ends. Called from the node's loop only; it keeps no clock and sends nothing by itself:
// each call brings the time and collects the messages to send.
//
// Invariants: a ballot is used for one draft only, by one incarnation; while the phase is 'prepare', 'accept' or
// 'backoff' the first pending change is the one under way.
class Proposer {
 public:
  using DoneCallback = std::function<void(Outcome const&)>;
  // 'self' is the node's name. The seed differs in each incarnation, since ballots and request numbers come from it.
  Proposer(std::string self, std::uint64_t seed, ProposerOptions options = {});

  // Queues a change; 'done' is called once with its outcome. False when too many changes wait already.
  bool submit(Change change, DoneCallback done, Micros now);
  // Takes a membership that is known to be chosen; an older one than the present is ignored.
  void adopt_membership(Membership const& members);
  // Takes a membership that was only seen: where to begin while none is known to be chosen. After all copies were lost
  // from memory and no majority shows one ballot, there is nothing else to begin with; phase one judges what it finds.
  void suggest_membership(Membership const& members);
  // Takes a Promise or an Accepted; other messages are ignored.
  void handle_reply(std::string const& from, wire::BodyUnion const& body, Micros now,
                    std::vector<OutgoingMessage>& out);
  // Starts the next change, retries after a backoff, and ends what took too long.
  void tick(Micros now, std::vector<OutgoingMessage>& out);
  // Ends all changes of which nothing was sent: without a quorum they would only be waited for. They are refused, or
  // unknown where another node may have proposed them.
  void abandon_unsent_changes();
  // The number of changes without an outcome.
  std::size_t pending_count() const { return pending_.size(); }
  // The membership that the present round works with.
  Membership const& membership() const { return membership_; }
  // The serial under which a value remembers a change; 0 when it does not.
  static std::uint64_t serial_of(wire::ValueT const& value, std::string const& id);

 private:
  enum class Phase : std::uint8_t { idle, backoff, prepare, accept };
  // What phase two writes: the change that was asked, or a step that completes a joint membership that was found.
  enum class DraftType : std::uint8_t { change, confirm_joint, leave_joint };
  struct PendingChange {
    Change change;
    DoneCallback done;
    Micros deadline = 0;
    bool accept_sent = false;  // an accept that carries this change may have left
    std::uint64_t sent_serial = 0;
    std::uint64_t joint_fingerprint = 0;  // of the joint membership that this change wrote
    int attempts = 0;
    int rejections = 0;  // by replicas that had promised a higher ballot
  };
  struct ReceivedPromise {
    std::uint64_t disk = 0;
    wire::Ballot accepted;
  };

  void start_prepare_phase(Micros now, std::vector<OutgoingMessage>& out);
  // Waits for a random while before the next round. 'promised' is the ballot number for which a replica rejected this
  // one; 0 where none did.
  void back_off(Micros now, std::uint64_t promised);
  void handle_promise(std::string const& from, wire::PromiseT const& reply, Micros now,
                      std::vector<OutgoingMessage>& out);
  // Notes the value of a promise if it is the newest so far; false when the promise lacks the value.
  bool record_accepted_value(wire::PromiseT const& reply);
  bool has_promise_quorum() const;
  // Keeps the value that phase one found; false when it has another membership, with which the round begins anew.
  bool adopt_found_value();
  void handle_accepted(std::string const& from, wire::AcceptedT const& reply, Micros now,
                       std::vector<OutgoingMessage>& out);
  void start_accept_phase(Micros now, std::vector<OutgoingMessage>& out);
  // False when the present change had to be given up, since nobody can know what became of it.
  bool make_draft();
  // Drafts the next step out of a joint membership: first it is made chosen, then it is left.
  void draft_joint_step();
  std::optional<Error> unknown_outcome_before_draft(PendingChange const& pending) const;
  // The outcome of a change that ends without a quorum's word.
  static Outcome outcome_without_quorum(PendingChange const& pending);
  void apply_change(Change const& change);
  void apply_description(Change const& change);
  void apply_zone_change(Change const& change);
  bool draft_membership_change(Change const& change);
  // Sends the draft as it is, or as a patch of the value that phase one found.
  void send_accept(std::string const& to, bool full_value, std::vector<OutgoingMessage>& out) const;
  void handle_chosen(Micros now, std::vector<OutgoingMessage>& out);
  Outcome outcome_of_draft(std::uint64_t serial, bool members_changed) const;
  void complete_change(Outcome const& outcome);

  std::string const self_;
  ProposerOptions const options_;
  RandomSource random_;
  std::uint64_t const proposer_id_;  // in ballots; a new one in each incarnation, so that no ballot is ever used twice
  Membership chosen_membership_;     // the newest one that is known to be chosen
  Membership suggested_membership_;  // where to begin without one
  Membership membership_;            // the one that this round works with; it may be one that was only found
  std::uint64_t chosen_joint_fingerprint_ = 0;  // of the joint membership that this proposer saw chosen
  std::deque<PendingChange> pending_;
  Phase phase_ = Phase::idle;
  DraftType draft_type_ = DraftType::change;
  Micros phase_deadline_ = 0;  // of a phase, or of the backoff
  std::uint64_t request_id_ = 0;
  std::uint64_t highest_ballot_number_ = 1;  // used or seen
  wire::Ballot ballot_;
  std::map<std::string, ReceivedPromise> promises_;  // to the present ballot, by replica
  Voters accepted_by_;                               // who accepted the draft
  // The value of the highest accepted ballot among the promises and the cached value.
  wire::Ballot highest_accepted_ballot_;
  std::optional<wire::ValueT> highest_accepted_value_;
  wire::ValueT draft_;          // what phase two writes
  bool order_applied_ = false;  // the draft applies the operator's order of the present change
  // The value that this proposer last found or wrote, and at which ballot: replicas that have it need not send it.
  wire::Ballot cached_ballot_;
  std::optional<wire::ValueT> cached_value_;
  std::optional<Error> rejection_;  // given once phase two has made the present value chosen
};

}  // namespace pipit
