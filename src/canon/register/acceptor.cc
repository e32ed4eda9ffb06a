#include "canon/register/acceptor.h"

#include "canon/creed/creed.h"
#include "ground/guards.h"

namespace pipit {

Acceptor::Acceptor(wire::RecordT slate_) : slate(slate_), firm(std::move(slate_)) {}

void Acceptor::take(std::string from, wire::BodyUnion body) {
  // A bounded backlog: what is dropped is asked again by its sender.
  if (inbox.size() < 512) inbox.emplace_back(std::move(from), std::move(body));
}

wire::PeekedT peeked(wire::RecordT const& slate, wire::PeekT const& ask) {
  wire::PeekedT out;
  out.req = ask.req;
  out.disk = slate.disk;
  out.formed = slate.formed;
  out.ballot = slate.accepted;
  if (slate.value) {
    out.serial = slate.value->serial;
    out.epoch = slate.value->epoch;
    out.turn = slate.value->turn;
    if (slate.value->epoch != ask.epoch)
      for (std::unique_ptr<wire::KeeperT> const& item : slate.value->keepers)
        out.keepers.push_back(std::make_unique<wire::KeeperT>(*item));
    if (ask.full) out.value = std::make_unique<wire::ValueT>(*slate.value);
  }
  return out;
}

bool Acceptor::handle(std::string const& from, wire::BodyUnion& body, std::vector<Letter>& out) {
  if (wire::PrepareT const* const ask = body.AsPrepare()) {
    wire::PromiseT ans;
    ans.req = ask->req;
    ans.disk = slate.disk;
    ans.ok = slate.promised < ask->ballot || !guard(Guard::promise);
    if (ans.ok) slate.promised = ask->ballot;
    ans.promised = slate.promised;
    ans.accepted = slate.accepted;
    if (slate.value) ans.value = std::make_unique<wire::ValueT>(*slate.value);
    bool const changed = ans.ok;
    out.push_back(letter(from, std::move(ans)));
    return changed;
  }
  if (wire::AcceptT* const ask = body.AsAccept()) {
    wire::AcceptedT ans;
    ans.req = ask->req;
    ans.disk = slate.disk;
    // One limit for a description, here as at the proposer: what is larger than it fits neither frame nor ring (§5.1).
    ans.ok = ask->value != nullptr && ask->value->text.size() <= creed_limit &&
             (!(ask->ballot < slate.promised) || !guard(Guard::promise));
    if (ans.ok) {
      slate.promised = ask->ballot;
      slate.accepted = ask->ballot;
      slate.value = std::move(ask->value);
      slate.formed = true;
    }
    ans.promised = slate.promised;
    bool const changed = ans.ok;
    out.push_back(letter(from, std::move(ans)));
    return changed;
  }
  if (wire::FoundT const* const ask = body.AsFound()) {
    // §5.4: the first set, once, and only on a disk that it names.
    if (slate.formed) return false;
    bool named = false;
    for (std::unique_ptr<wire::KeeperT> const& item : ask->keepers)
      named = named || (item->disk == slate.disk && item->name == slate.name);
    if (!named) return false;
    slate.formed = true;
    slate.accepted = wire::Ballot(1, 0);
    slate.value = std::make_unique<wire::ValueT>();
    slate.value->epoch = 1;
    for (std::unique_ptr<wire::KeeperT> const& item : ask->keepers)
      slate.value->keepers.push_back(std::make_unique<wire::KeeperT>(*item));
    return true;
  }
  return false;
}

std::optional<wire::RecordT> Acceptor::step(std::vector<Letter>& out) {
  if (busy) return std::nullopt;
  bool changed = false;
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
