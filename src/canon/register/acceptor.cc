#include "canon/register/acceptor.h"

#include <utility>

#include "canon/creed/creed.h"
#include "canon/register/membership.h"
#include "canon/register/orders.h"
#include "canon/register/value_patch.h"
#include "ground/guards.h"

namespace pipit {

Acceptor::Acceptor(wire::RecordT slate_) : slate(std::move(slate_)) {
  if (slate.value) convert_old_orders(*slate.value);
  firm = slate;
}

void Acceptor::await_founding(std::vector<std::string> const& seeds) {
  if (slate.formed || !slate.founding_seeds.empty()) return;
  slate.founding_seeds = seeds;
  marked = true;
}

void Acceptor::take(std::string from, wire::BodyUnion body) {
  // A bounded backlog: what is dropped is asked again by its sender.
  if (inbox.size() < 512) inbox.emplace_back(std::move(from), std::move(body));
}

wire::PeekedT peeked(wire::RecordT const& slate, wire::PeekT const& ask) {
  wire::PeekedT out;
  out.req = ask.req;
  out.disk = slate.disk;
  out.formed = slate.formed;
  out.awaits_founding = !slate.formed && !slate.founding_seeds.empty();
  out.ballot = slate.accepted;
  if (slate.value) {
    out.serial = slate.value->serial;
    out.epoch = slate.value->epoch;
    out.turn = slate.value->turn;
    out.members = membership_of(*slate.value).fingerprint();
    if (out.members != ask.members) {
      for (std::unique_ptr<wire::KeeperT> const& item : slate.value->keepers)
        out.keepers.push_back(std::make_unique<wire::KeeperT>(*item));
      for (std::unique_ptr<wire::KeeperT> const& item : slate.value->former)
        out.former.push_back(std::make_unique<wire::KeeperT>(*item));
    }
    if (ask.full) out.value = std::make_unique<wire::ValueT>(*slate.value);
  }
  return out;
}

bool Acceptor::handle(std::string const& from, wire::BodyUnion& body, std::vector<Letter>& out) {
  if (wire::PrepareT const* const ask = body.AsPrepare()) return prepare(from, *ask, out);
  if (wire::AcceptT* const ask = body.AsAccept()) return accept(from, *ask, out);
  if (wire::FoundT const* const ask = body.AsFound()) return found(*ask);
  return false;
}

bool Acceptor::prepare(std::string const& from, wire::PrepareT const& ask, std::vector<Letter>& out) {
  wire::PromiseT answer;
  answer.req = ask.req;
  answer.disk = slate.disk;
  answer.ok = slate.promised < ask.ballot || !guard(Guard::promise);
  if (answer.ok) slate.promised = ask.ballot;
  answer.promised = slate.promised;
  answer.accepted = slate.accepted;
  bool const known = is_set(ask.known) && same(ask.known, slate.accepted);
  if (slate.value && answer.ok && !known) answer.value = std::make_unique<wire::ValueT>(*slate.value);
  bool const changed = answer.ok;
  out.push_back(letter(from, std::move(answer)));
  return changed;
}

std::unique_ptr<wire::ValueT> Acceptor::value_of(wire::AcceptT& ask) const {
  if (ask.value) return std::move(ask.value);
  if (!ask.patch || !slate.value || !is_set(ask.base) || !same(ask.base, slate.accepted)) return nullptr;
  std::optional<wire::ValueT> value = patched(*slate.value, *ask.patch);
  return value ? std::make_unique<wire::ValueT>(std::move(*value)) : nullptr;
}

bool Acceptor::accept(std::string const& from, wire::AcceptT& ask, std::vector<Letter>& out) {
  wire::AcceptedT answer;
  answer.req = ask.req;
  answer.disk = slate.disk;
  answer.promised = slate.promised;
  bool changed = false;
  bool const outdated = ask.ballot < slate.promised && guard(Guard::promise);
  if (!outdated && same(ask.ballot, slate.accepted)) {
    answer.ok = true;  // a repetition: the value of a ballot is one
  } else if (!outdated) {
    std::unique_ptr<wire::ValueT> value = value_of(ask);
    answer.need_value = value == nullptr;
    // One limit for a description, here as at the proposer: what is larger fits neither frame nor record (§5.1).
    if (value && value->text.size() <= creed_limit) {
      slate.promised = ask.ballot;
      slate.accepted = ask.ballot;
      slate.value = std::move(value);
      slate.formed = true;
      answer.ok = true;
      answer.promised = slate.promised;
      changed = true;
    }
  }
  out.push_back(letter(from, std::move(answer)));
  return changed;
}

bool Acceptor::found(wire::FoundT const& ask) {
  // §5.4: the first set, once, and only on a disk that it names.
  if (slate.formed) return false;
  Membership first;
  first.epoch = 1;
  for (std::unique_ptr<wire::KeeperT> const& keeper : ask.keepers) first.keepers.push_back(*keeper);
  if (!first.holds(slate.name, slate.disk)) return false;
  slate.formed = true;
  // Two first sets, should there ever be two, have ballots of their own.
  slate.accepted = wire::Ballot(1, first.fingerprint());
  slate.value = std::make_unique<wire::ValueT>();
  put_membership(first, *slate.value);
  return true;
}

std::optional<wire::RecordT> Acceptor::step(std::vector<Letter>& out) {
  if (busy) return std::nullopt;
  bool changed = std::exchange(marked, false);
  std::vector<Letter> replies;
  while (!inbox.empty()) {
    std::pair<std::string, wire::BodyUnion> item = std::move(inbox.front());
    inbox.pop_front();
    changed = handle(item.first, item.second, replies) || changed;
  }
  if (!changed) {
    for (Letter& reply : replies) out.push_back(std::move(reply));
    return std::nullopt;
  }
  busy = true;
  if (!guard(Guard::sync_first)) {
    for (Letter& reply : replies) out.push_back(std::move(reply));
    replies.clear();
  }
  held_back = std::move(replies);
  return slate;
}

void Acceptor::synced(std::vector<Letter>& out) {
  busy = false;
  firm = slate;
  for (Letter& reply : held_back) out.push_back(std::move(reply));
  held_back.clear();
}

}  // namespace pipit
