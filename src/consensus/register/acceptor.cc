#include "consensus/register/acceptor.h"

#include <utility>

#include "base/guards.h"
#include "base/invariants.h"
#include "config/description/description.h"
#include "consensus/register/membership.h"
#include "consensus/register/orders.h"
#include "consensus/register/value_patch.h"

namespace pipit {

Acceptor::Acceptor(wire::RecordT recovered) : state_(std::move(recovered)) {
  if (state_.value) convert_old_orders(*state_.value);
  synced_state_ = state_;
}

void Acceptor::note_quota_members(std::uint64_t fingerprint) {
  if (state_.quota_members == fingerprint) return;
  state_.quota_members = fingerprint;
  marked_ = true;
}

void Acceptor::await_bootstrap(std::vector<std::string> const& seeds) {
  if (state_.formed || !state_.bootstrap_seeds.empty()) return;
  state_.bootstrap_seeds = seeds;
  marked_ = true;
}

void Acceptor::take(std::string from, wire::BodyUnion body) {
  // A bounded backlog: what is dropped is asked again by its sender.
  if (inbox_.size() < 512) inbox_.emplace_back(std::move(from), std::move(body));
}

wire::ReadReplyT read_reply(wire::RecordT const& state, wire::ReadRequestT const& ask) {
  wire::ReadReplyT out;
  out.request_id = ask.request_id;
  out.disk = state.disk;
  out.formed = state.formed;
  out.awaits_bootstrap = !state.formed && !state.bootstrap_seeds.empty();
  out.ballot = state.accepted;
  if (state.value) {
    out.serial = state.value->serial;
    out.epoch = state.value->epoch;
    out.revision = state.value->revision;
    out.members = membership_of(*state.value).fingerprint();
    if (out.members != ask.members) {
      for (std::unique_ptr<wire::ReplicaT> const& item : state.value->replicas)
        out.replicas.push_back(std::make_unique<wire::ReplicaT>(*item));
      for (std::unique_ptr<wire::ReplicaT> const& item : state.value->former)
        out.former.push_back(std::make_unique<wire::ReplicaT>(*item));
    }
    if (ask.full) out.value = std::make_unique<wire::ValueT>(*state.value);
  }
  return out;
}

namespace {
std::string text_of(wire::Ballot const& ballot) {
  return std::to_string(ballot.n()) + "." + std::to_string(ballot.who());
}

bool same_value(wire::ValueT const& a, wire::ValueT const& b) {
  return a.revision == b.revision && a.serial == b.serial && a.label == b.label && a.epoch == b.epoch &&
         a.text == b.text;
}
}  // namespace

bool Acceptor::handle(std::string const& from, wire::BodyUnion& body, std::vector<OutgoingMessage>& out) {
  wire::Ballot const promised = state_.promised;
  wire::Ballot const accepted = state_.accepted;
  bool const changed = answer(from, body, out);
  check_invariant(!(state_.promised < promised) && !(state_.accepted < accepted), Invariant::promise_kept, [&] {
    return "promised " + text_of(promised) + " then " + text_of(state_.promised) + ", accepted " + text_of(accepted) +
           " then " + text_of(state_.accepted) + " by a frame of " + from;
  });
  return changed;
}

bool Acceptor::answer(std::string const& from, wire::BodyUnion& body, std::vector<OutgoingMessage>& out) {
  if (wire::PrepareT const* const ask = body.AsPrepare()) return prepare(from, *ask, out);
  if (wire::AcceptT* const ask = body.AsAccept()) return accept(from, *ask, out);
  if (wire::BootstrapT const* const ask = body.AsBootstrap()) return bootstrap(*ask);
  return false;
}

bool Acceptor::prepare(std::string const& from, wire::PrepareT const& ask, std::vector<OutgoingMessage>& out) {
  wire::PromiseT answer;
  answer.request_id = ask.request_id;
  answer.disk = state_.disk;
  answer.ok = state_.promised < ask.ballot || !guard(Guard::promise);
  if (answer.ok) state_.promised = ask.ballot;
  answer.promised = state_.promised;
  answer.accepted = state_.accepted;
  bool const known = is_set(ask.known) && same(ask.known, state_.accepted);
  if (state_.value && answer.ok && !known) answer.value = std::make_unique<wire::ValueT>(*state_.value);
  bool const changed = answer.ok;
  out.push_back(message_to(from, std::move(answer)));
  return changed;
}

std::unique_ptr<wire::ValueT> Acceptor::value_of(wire::AcceptT& ask) const {
  if (ask.value) return std::move(ask.value);
  if (!ask.patch || !state_.value || !is_set(ask.base) || !same(ask.base, state_.accepted)) return nullptr;
  std::optional<wire::ValueT> value = patched(*state_.value, *ask.patch);
  return value ? std::make_unique<wire::ValueT>(std::move(*value)) : nullptr;
}

bool Acceptor::accept(std::string const& from, wire::AcceptT& ask, std::vector<OutgoingMessage>& out) {
  wire::AcceptedT answer;
  answer.request_id = ask.request_id;
  answer.disk = state_.disk;
  answer.promised = state_.promised;
  bool changed = false;
  bool const outdated = ask.ballot < state_.promised && guard(Guard::promise);
  if (!outdated && same(ask.ballot, state_.accepted)) {
    answer.ok = true;  // a repetition: the value of a ballot is one
    check_invariant(!ask.value || !state_.value || same_value(*ask.value, *state_.value), Invariant::promise_kept, [&] {
      return "ballot " + text_of(ask.ballot) + " has revision " + std::to_string(state_.value->revision) +
             " here and " + std::to_string(ask.value->revision) + " at " + from;
    });
  } else if (!outdated) {
    std::unique_ptr<wire::ValueT> value = value_of(ask);
    answer.need_value = value == nullptr;
    // One limit for a description, here as at the proposer: what is larger fits neither frame nor record (§5.1).
    if (value && value->text.size() <= description_limit) {
      state_.promised = ask.ballot;
      state_.accepted = ask.ballot;
      state_.value = std::move(value);
      state_.formed = true;
      answer.ok = true;
      answer.promised = state_.promised;
      changed = true;
    }
  }
  out.push_back(message_to(from, std::move(answer)));
  return changed;
}

bool Acceptor::bootstrap(wire::BootstrapT const& ask) {
  // §5.4: the first set, once, and only on a disk that it names.
  if (state_.formed) return false;
  Membership first;
  first.epoch = 1;
  for (std::unique_ptr<wire::ReplicaT> const& replica : ask.replicas) first.replicas.push_back(*replica);
  if (!first.holds(state_.name, state_.disk)) return false;
  state_.formed = true;
  // Two first sets, should there ever be two, have ballots of their own.
  state_.accepted = wire::Ballot(1, first.fingerprint());
  state_.value = std::make_unique<wire::ValueT>();
  put_membership(first, *state_.value);
  return true;
}

std::optional<wire::RecordT> Acceptor::step(std::vector<OutgoingMessage>& out) {
  if (busy_) return std::nullopt;
  bool changed = std::exchange(marked_, false);
  std::vector<OutgoingMessage> replies;
  while (!inbox_.empty()) {
    std::pair<std::string, wire::BodyUnion> item = std::move(inbox_.front());
    inbox_.pop_front();
    changed = handle(item.first, item.second, replies) || changed;
  }
  if (!changed) {
    for (OutgoingMessage& reply : replies) out.push_back(std::move(reply));
    return std::nullopt;
  }
  busy_ = true;
  if (!guard(Guard::sync_first)) {
    for (OutgoingMessage& reply : replies) out.push_back(std::move(reply));
    replies.clear();
  }
  held_back_ = std::move(replies);
  return state_;
}

void Acceptor::synced(std::vector<OutgoingMessage>& out) {
  busy_ = false;
  synced_state_ = state_;
  for (OutgoingMessage& reply : held_back_) out.push_back(std::move(reply));
  held_back_.clear();
}

}  // namespace pipit
