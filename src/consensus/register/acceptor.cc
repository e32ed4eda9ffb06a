#include "consensus/register/acceptor.h"

#include <utility>

#include "base/guards.h"
#include "base/invariants.h"
#include "config/description/description.h"
#include "consensus/register/membership.h"
#include "consensus/register/orders.h"
#include "consensus/register/value_patch.h"

namespace pipit {

namespace {
constexpr std::size_t max_backlog = 512;  // requests

std::string text_of(wire::Ballot const& ballot) {
  return std::to_string(ballot.n()) + "." + std::to_string(ballot.who());
}

bool same_value(wire::ValueT const& a, wire::ValueT const& b) {
  return a.revision == b.revision && a.serial == b.serial && a.label == b.label && a.epoch == b.epoch &&
         a.text == b.text;
}
}  // namespace

Acceptor::Acceptor(wire::RecordT recovered) : state_(std::move(recovered)) {
  if (state_.value) migrate_format_1_orders(*state_.value);
  durable_state_ = state_;
}

void Acceptor::record_quota_members(std::uint64_t fingerprint) {
  if (state_.quota_members == fingerprint) return;
  state_.quota_members = fingerprint;
  record_update_pending_ = true;
}

void Acceptor::record_bootstrap_seeds(std::vector<std::string> const& seeds) {
  if (state_.formed || !state_.bootstrap_seeds.empty()) return;
  state_.bootstrap_seeds = seeds;
  record_update_pending_ = true;
}

void Acceptor::enqueue(std::string from, wire::BodyUnion body) {
  // A bounded backlog: what is dropped is asked again by its sender.
  if (requests_.size() < max_backlog) requests_.emplace_back(std::move(from), std::move(body));
}

wire::ReadReplyT make_read_reply(wire::RecordT const& state, wire::ReadRequestT const& request) {
  wire::ReadReplyT out;
  out.request_id = request.request_id;
  out.disk = state.disk;
  out.formed = state.formed;
  out.awaits_bootstrap = !state.formed && !state.bootstrap_seeds.empty();
  out.ballot = state.accepted;
  if (state.value) {
    out.serial = state.value->serial;
    out.epoch = state.value->epoch;
    out.revision = state.value->revision;
    out.members = membership_of(*state.value).fingerprint();
    if (out.members != request.members) {
      for (std::unique_ptr<wire::ReplicaT> const& item : state.value->replicas)
        out.replicas.push_back(std::make_unique<wire::ReplicaT>(*item));
      for (std::unique_ptr<wire::ReplicaT> const& item : state.value->former)
        out.former.push_back(std::make_unique<wire::ReplicaT>(*item));
    }
    if (request.full) out.value = std::make_unique<wire::ValueT>(*state.value);
  }
  return out;
}

bool Acceptor::handle(std::string const& from, wire::BodyUnion& body, std::vector<OutgoingMessage>& out) {
  wire::Ballot const promised = state_.promised;
  wire::Ballot const accepted = state_.accepted;
  bool const changed = dispatch(from, body, out);
  check_invariant(!(state_.promised < promised) && !(state_.accepted < accepted), Invariant::promise_kept, [&] {
    return "promised " + text_of(promised) + " then " + text_of(state_.promised) + ", accepted " + text_of(accepted) +
           " then " + text_of(state_.accepted) + " by a frame of " + from;
  });
  return changed;
}

bool Acceptor::dispatch(std::string const& from, wire::BodyUnion& body, std::vector<OutgoingMessage>& out) {
  if (wire::PrepareT const* const request = body.AsPrepare()) return handle_prepare(from, *request, out);
  if (wire::AcceptT* const request = body.AsAccept()) return handle_accept(from, *request, out);
  if (wire::BootstrapT const* const request = body.AsBootstrap()) return handle_bootstrap(*request);
  return false;
}

bool Acceptor::handle_prepare(std::string const& from, wire::PrepareT const& request,
                              std::vector<OutgoingMessage>& out) {
  wire::PromiseT reply;
  reply.request_id = request.request_id;
  reply.disk = state_.disk;
  reply.ok = state_.promised < request.ballot || !guard_enabled(Guard::promise);
  if (reply.ok) state_.promised = request.ballot;
  reply.promised = state_.promised;
  reply.accepted = state_.accepted;
  bool const known = is_set(request.known) && same_ballot(request.known, state_.accepted);
  if (state_.value && reply.ok && !known) reply.value = std::make_unique<wire::ValueT>(*state_.value);
  bool const changed = reply.ok;
  out.push_back(message_to(from, std::move(reply)));
  return changed;
}

std::unique_ptr<wire::ValueT> Acceptor::value_to_accept(wire::AcceptT& request) const {
  if (request.value) return std::move(request.value);
  if (!request.patch || !state_.value || !is_set(request.base) || !same_ballot(request.base, state_.accepted))
    return nullptr;
  std::optional<wire::ValueT> value = apply_value_patch(*state_.value, *request.patch);
  return value ? std::make_unique<wire::ValueT>(std::move(*value)) : nullptr;
}

bool Acceptor::handle_accept(std::string const& from, wire::AcceptT& request, std::vector<OutgoingMessage>& out) {
  wire::AcceptedT reply;
  reply.request_id = request.request_id;
  reply.disk = state_.disk;
  reply.promised = state_.promised;
  bool changed = false;
  bool const outdated = request.ballot < state_.promised && guard_enabled(Guard::promise);
  if (!outdated && same_ballot(request.ballot, state_.accepted)) {
    reply.ok = true;  // a repeated request; a ballot has one value
    check_invariant(
        !request.value || !state_.value || same_value(*request.value, *state_.value), Invariant::promise_kept, [&] {
          return "ballot " + text_of(request.ballot) + " has revision " + std::to_string(state_.value->revision) +
                 " here and " + std::to_string(request.value->revision) + " at " + from;
        });
  } else if (!outdated) {
    std::unique_ptr<wire::ValueT> value = value_to_accept(request);
    reply.need_value = value == nullptr;
    // The same limit as at the proposer: a larger description fits neither a frame nor a record (§5.1).
    if (value && value->text.size() <= description_limit) {
      state_.promised = request.ballot;
      state_.accepted = request.ballot;
      state_.value = std::move(value);
      state_.formed = true;
      reply.ok = true;
      reply.promised = state_.promised;
      changed = true;
    }
  }
  out.push_back(message_to(from, std::move(reply)));
  return changed;
}

bool Acceptor::handle_bootstrap(wire::BootstrapT const& request) {
  // §5.4: the first membership is accepted once, and only if it names this replica with this disk.
  if (state_.formed) return false;
  Membership first;
  first.epoch = 1;
  for (std::unique_ptr<wire::ReplicaT> const& replica : request.replicas) first.replicas.push_back(*replica);
  if (!first.contains(state_.name, state_.disk)) return false;
  state_.formed = true;
  // Should there ever be two first memberships, each has a ballot of its own.
  state_.accepted = wire::Ballot(1, first.fingerprint());
  state_.value = std::make_unique<wire::ValueT>();
  store_membership(first, *state_.value);
  return true;
}

std::optional<wire::RecordT> Acceptor::step(std::vector<OutgoingMessage>& out) {
  if (sync_in_progress_) return std::nullopt;
  bool changed = std::exchange(record_update_pending_, false);
  std::vector<OutgoingMessage> replies;
  while (!requests_.empty()) {
    std::pair<std::string, wire::BodyUnion> item = std::move(requests_.front());
    requests_.pop_front();
    changed = handle(item.first, item.second, replies) || changed;
  }
  if (!changed) {
    for (OutgoingMessage& reply : replies) out.push_back(std::move(reply));
    return std::nullopt;
  }
  sync_in_progress_ = true;
  if (!guard_enabled(Guard::sync_first)) {
    for (OutgoingMessage& reply : replies) out.push_back(std::move(reply));
    replies.clear();
  }
  unsynced_replies_ = std::move(replies);
  return state_;
}

void Acceptor::on_synced(std::vector<OutgoingMessage>& out) {
  sync_in_progress_ = false;
  durable_state_ = state_;
  for (OutgoingMessage& reply : unsynced_replies_) out.push_back(std::move(reply));
  unsynced_replies_.clear();
}

}  // namespace pipit
