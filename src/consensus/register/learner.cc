#include "consensus/register/learner.h"

#include <algorithm>

#include "base/invariants.h"
#include "consensus/register/value_patch.h"

namespace pipit {

namespace {
// Time for the transfer of a fetched value: the largest description over a slow shared link.
constexpr Micros fetch_timeout = seconds(2);
}  // namespace

bool Learner::adopt(wire::ValueT const& chosen, Micros now) {
  // Every change raises the revision; changes by operators also raise the serial.
  if (value && value->revision == chosen.revision) check_agreement(chosen);
  if (value && value->revision >= chosen.revision) return false;
  replace_value(chosen, now);
  return true;
}

// Only chosen values are adopted, so two values with the same revision must be the same value.
void Learner::check_agreement(wire::ValueT const& chosen) const {
  bool const same_fields =
      value->serial == chosen.serial && value->label == chosen.label && value->epoch == chosen.epoch;
  check_invariant(same_fields && value->text == chosen.text, Invariant::agreement, [&] {
    return "conflicting values at revision " + std::to_string(chosen.revision) + ": change '" + value->change +
           "' label " + std::to_string(value->label) + " epoch " + std::to_string(value->epoch) + " held, '" +
           chosen.change + "' label " + std::to_string(chosen.label) + " epoch " + std::to_string(chosen.epoch) +
           " received";
  });
}

bool Learner::adopt(wire::ValuePatchT const& patch, Micros now) {
  if (!value) return false;
  std::optional<wire::ValueT> fresh = apply_value_patch(*value, patch);
  if (!fresh || fresh->revision <= value->revision) return false;
  replace_value(std::move(*fresh), now);
  return true;
}

void Learner::replace_value(wire::ValueT next, Micros now) {
  previous_value = std::move(value);
  value_changed_at = now;
  value = std::move(next);
  membership_ = membership_of(*value);
  if (quorum_at_ >= 0 && value->revision >= quorum_revision_) confirmed_at = std::max(confirmed_at, quorum_at_);
}

void Learner::poll(Micros now, std::vector<std::string> const& replicas, Micros age,
                   std::vector<OutgoingMessage>& out) {
  update_replicas_differ();
  ++request_id_;
  poll_sent_at_ = now;
  poll_replies_.clear();
  poll_memberships_.clear();
  if (!membership_.empty()) poll_memberships_[membership_.fingerprint()] = membership_;
  for (std::string const& name : replicas) {
    wire::ReadRequestT request;
    request.request_id = request_id_;
    request.age = age;
    request.epoch = membership_.epoch;
    request.members = membership_.empty() ? 0 : membership_.fingerprint();
    out.push_back(message_to(name, std::move(request)));
  }
}

// Replicas with different ballots are repaired (§5.8). A quorum of replies is enough: an unreachable replica does not
// hide a difference among the others.
void Learner::update_replicas_differ() {
  Voters voters;
  bool ballots_differ = false;
  for (std::pair<std::string const, PollReply> const& item : poll_replies_) {
    if (!membership_.has_participant(item.first, item.second.disk)) continue;
    voters[item.first] = item.second.disk;
    ballots_differ = ballots_differ || !same_ballot(item.second.ballot, poll_replies_.at(voters.begin()->first).ballot);
  }
  replicas_differ = ballots_differ && !membership_.empty() && membership_.is_quorum(voters);
}

void Learner::record_poll_membership(wire::ReadReplyT const& reply) {
  Membership members;
  members.epoch = reply.epoch;
  for (std::unique_ptr<wire::ReplicaT> const& replica : reply.replicas) members.replicas.push_back(*replica);
  for (std::unique_ptr<wire::ReplicaT> const& replica : reply.former) members.former.push_back(*replica);
  if (members.empty()) return;
  if (members.epoch == 1 && bootstrap_membership_.empty()) bootstrap_membership_ = members;
  poll_memberships_[members.fingerprint()] = std::move(members);
}

Membership const* Learner::membership_in(PollReply const& poll_reply) const {
  std::map<std::uint64_t, Membership>::const_iterator const position = poll_memberships_.find(poll_reply.members);
  return position == poll_memberships_.end() ? nullptr : &position->second;
}

Voters Learner::replicas_with_ballot(wire::Ballot const& ballot) const {
  Voters out;
  for (std::pair<std::string const, PollReply> const& item : poll_replies_)
    if (same_ballot(item.second.ballot, ballot)) out[item.first] = item.second.disk;
  return out;
}

// The newest value at a quorum of the newest membership among the replies is at least as new as any value that was
// chosen before the poll was sent. A held value of that revision is therefore current as of the poll, even if changes
// continue and no two replies agree.
void Learner::update_quorum_revision() {
  PollReply const* newest = nullptr;
  Voters voters;
  std::uint64_t revision = 0;
  for (std::pair<std::string const, PollReply> const& item : poll_replies_) {
    if (newest == nullptr || newest->ballot < item.second.ballot) newest = &item.second;
    voters[item.first] = item.second.disk;
    revision = std::max(revision, item.second.revision);
  }
  Membership const* const members = newest == nullptr ? nullptr : membership_in(*newest);
  if (members == nullptr) return;
  newest_seen_membership_ = *members;
  if (!members->is_quorum(voters)) return;
  quorum_revision_ = revision;
  quorum_at_ = poll_sent_at_;
  if (value && value->revision >= quorum_revision_) confirmed_at = std::max(confirmed_at, quorum_at_);
}

std::optional<wire::ValueT> Learner::handle_reply(std::string const& from, wire::ReadReplyT const& reply, Micros now,
                                                  std::vector<OutgoingMessage>& out) {
  observations[from] =
      Observation{reply.disk, reply.formed, reply.ballot, reply.serial, now, reply.retiring, reply.awaits_bootstrap};
  if (reply.value) return handle_fetched_value(reply, now);
  if (reply.request_id != request_id_) return std::nullopt;
  record_poll_membership(reply);
  // A replica that has accepted no value did not help to choose one. Its reply still counts towards the quorum if a
  // membership names it with its disk, for example a member that was unreachable when it was admitted.
  PollReply const poll_reply{reply.ballot, reply.revision, reply.disk, reply.members};
  poll_replies_[from] = poll_reply;
  update_quorum_revision();
  if (!reply.formed) return std::nullopt;
  Membership const* const members = membership_in(poll_reply);
  if (members == nullptr || !members->is_quorum(replicas_with_ballot(poll_reply.ballot))) return std::nullopt;
  if (value && value->revision >= poll_reply.revision) {
    confirmed_at = std::max(confirmed_at, poll_sent_at_);
    return std::nullopt;
  }
  fetch_value(from, poll_reply.ballot, now, out);
  return std::nullopt;
}

std::optional<wire::ValueT> Learner::handle_fetched_value(wire::ReadReplyT const& reply, Micros now) {
  if (!fetch_ || reply.request_id != fetch_->request_id) return std::nullopt;
  Fetch const fetch = *fetch_;
  fetch_.reset();
  if (!same_ballot(reply.ballot, fetch.ballot)) return std::nullopt;  // the replica has accepted another value since
  // A quorum has accepted this ballot, so its value is chosen.
  bool const fresh = adopt(*reply.value, now);
  if (value && value->revision == reply.value->revision) confirmed_at = std::max(confirmed_at, fetch.poll_sent_at);
  if (fresh) return *reply.value;
  return std::nullopt;
}

void Learner::fetch_value(std::string const& from, wire::Ballot const& ballot, Micros now,
                          std::vector<OutgoingMessage>& out) {
  if (fetch_ && now - fetch_->requested_at < fetch_timeout) return;
  fetch_ = Fetch{request_id_, ballot, poll_sent_at_, now};
  wire::ReadRequestT request;
  request.request_id = request_id_;
  request.full = true;
  out.push_back(message_to(from, std::move(request)));
}

}  // namespace pipit
