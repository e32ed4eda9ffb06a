#include "consensus/register/learner.h"

#include <algorithm>

#include "base/invariants.h"
#include "consensus/register/value_patch.h"

namespace pipit {

bool Learner::adopt(wire::ValueT const& fresh, Micros now) {
  // Every change raises the revision, and those of operators the serial with it.
  if (value && value->revision == fresh.revision) check_same(fresh);
  if (value && value->revision >= fresh.revision) return false;
  replace(fresh, now);
  return true;
}

// Whatever is told here was chosen: two values of one revision must be one value.
void Learner::check_same(wire::ValueT const& fresh) const {
  bool const same_words = value->serial == fresh.serial && value->label == fresh.label && value->epoch == fresh.epoch;
  check_invariant(same_words && value->text == fresh.text, Invariant::agreement, [&] {
    return "revision " + std::to_string(fresh.revision) + ": change '" + value->change + "' label " +
           std::to_string(value->label) + " epoch " + std::to_string(value->epoch) + " here, '" + fresh.change +
           "' label " + std::to_string(fresh.label) + " epoch " + std::to_string(fresh.epoch) + " told";
  });
}

bool Learner::adopt(wire::ValuePatchT const& patch, Micros now) {
  if (!value) return false;
  std::optional<wire::ValueT> fresh = patched(*value, patch);
  if (!fresh || fresh->revision <= value->revision) return false;
  replace(std::move(*fresh), now);
  return true;
}

void Learner::replace(wire::ValueT next, Micros now) {
  before = std::move(value);
  changed_at = now;
  value = std::move(next);
  set_ = membership_of(*value);
  if (floor_at_ >= 0 && value->revision >= floor_revision_) sure = std::max(sure, floor_at_);
}

void Learner::poll(Micros now, std::vector<std::string> const& replicas, Micros age,
                   std::vector<OutgoingMessage>& out) {
  update_split();
  ++request_id_;
  asked_ = now;
  votes_.clear();
  offered_.clear();
  if (!set_.empty()) offered_[set_.fingerprint()] = set_;
  wanted_.reset();
  for (std::string const& name : replicas) {
    wire::ReadRequestT ask;
    ask.request_id = request_id_;
    ask.age = age;
    ask.epoch = set_.epoch;
    ask.members = set_.empty() ? 0 : set_.fingerprint();
    out.push_back(message_to(name, std::move(ask)));
  }
}

// Copies that differ are repaired (§5.8). A replica that is away hides nothing: a quorum is enough to see it.
void Learner::update_split() {
  Voters voters;
  bool differ = false;
  for (std::pair<std::string const, Vote> const& item : votes_) {
    if (!set_.concerns(item.first, item.second.disk)) continue;
    voters[item.first] = item.second.disk;
    differ = differ || !same(item.second.ballot, votes_.at(voters.begin()->first).ballot);
  }
  split = differ && !set_.empty() && set_.quorum(voters);
}

void Learner::remember_members(wire::ReadReplyT const& ans) {
  Membership members;
  members.epoch = ans.epoch;
  for (std::unique_ptr<wire::ReplicaT> const& replica : ans.replicas) members.replicas.push_back(*replica);
  for (std::unique_ptr<wire::ReplicaT> const& replica : ans.former) members.former.push_back(*replica);
  if (members.empty()) return;
  if (members.epoch == 1 && initial_set_.empty()) initial_set_ = members;
  offered_[members.fingerprint()] = std::move(members);
}

Membership const* Learner::members_of(Vote const& vote) const {
  std::map<std::uint64_t, Membership>::const_iterator const position = offered_.find(vote.members);
  return position == offered_.end() ? nullptr : &position->second;
}

Voters Learner::holders(wire::Ballot const& ballot) const {
  Voters out;
  for (std::pair<std::string const, Vote> const& item : votes_)
    if (same(item.second.ballot, ballot)) out[item.first] = item.second.disk;
  return out;
}

// What a quorum of the newest set among the answers holds is at least as new as anything that was chosen before the
// poll was sent: who holds as much is as new as that moment, also when changes go on and no two answers agree.
void Learner::update_floor() {
  Vote const* newest = nullptr;
  Voters voters;
  std::uint64_t revision = 0;
  for (std::pair<std::string const, Vote> const& item : votes_) {
    if (newest == nullptr || newest->ballot < item.second.ballot) newest = &item.second;
    voters[item.first] = item.second.disk;
    revision = std::max(revision, item.second.revision);
  }
  Membership const* const members = newest == nullptr ? nullptr : members_of(*newest);
  if (members == nullptr) return;
  seen_set_ = *members;
  if (!members->quorum(voters)) return;
  floor_revision_ = revision;
  floor_at_ = asked_;
  if (value && value->revision >= floor_revision_) sure = std::max(sure, floor_at_);
}

std::optional<wire::ValueT> Learner::take(std::string const& from, wire::ReadReplyT const& ans, Micros now,
                                          std::vector<OutgoingMessage>& out) {
  observations[from] =
      Observation{ans.disk, ans.formed, ans.ballot, ans.serial, now, ans.retiring, ans.awaits_bootstrap};
  if (ans.value) {
    if (!wanted_ || ans.request_id != request_id_ || !same(ans.ballot, wanted_->ballot)) return std::nullopt;
    // A quorum agreed on this ballot, so this is the value that was chosen.
    wanted_.reset();
    sure = std::max(sure, asked_);
    if (adopt(*ans.value, now)) return *ans.value;
    return std::nullopt;
  }
  if (ans.request_id != request_id_) return std::nullopt;
  remember_members(ans);
  // A replica that has accepted nothing yet says so: no value was chosen with its help. It counts where a set names it
  // with its disk, as a member that was dark when it got its place.
  Vote const vote{ans.ballot, ans.revision, ans.disk, ans.members};
  votes_[from] = vote;
  update_floor();
  if (!ans.formed) return std::nullopt;
  Membership const* const members = members_of(vote);
  if (members == nullptr || !members->quorum(holders(vote.ballot))) return std::nullopt;
  if (value && value->revision >= vote.revision) {
    sure = std::max(sure, asked_);
    return std::nullopt;
  }
  if (!wanted_) {
    wanted_ = vote;
    wire::ReadRequestT ask;
    ask.request_id = request_id_;
    ask.full = true;
    out.push_back(message_to(from, std::move(ask)));
  }
  return std::nullopt;
}

}  // namespace pipit
