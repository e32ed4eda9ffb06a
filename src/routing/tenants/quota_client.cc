#include "routing/tenants/quota_client.h"

#include <algorithm>

#include "base/hash.h"

namespace pipit {

namespace {
constexpr Micros reply_timeout = millis(120);
constexpr Micros longest_backoff = millis(400);  // longest time for which an owner that refused is skipped
constexpr Micros shortest_backoff = millis(20);
constexpr std::size_t max_exhausted_owners = 20000;
constexpr std::size_t max_peers_attempted = 3;

wire::QuotaRequestT make_request(std::uint64_t request_id, std::string const& tenant, std::int64_t count,
                                 QuotaPurpose purpose) {
  wire::QuotaRequestT out;
  out.request_id = request_id;
  out.tenant = tenant;
  out.count = count;
  out.purpose = static_cast<std::uint8_t>(purpose);
  return out;
}
}  // namespace

void QuotaClient::begin(QuotaRequest const& need, std::int64_t max_chunk, QuotaPeers const& peers, Micros now,
                        std::vector<OutgoingMessage>& out) {
  ++tally.asked;
  PendingRequest pending;
  pending.need = need;
  pending.max_chunk = std::max<std::int64_t>(1, max_chunk);
  pending.missing = need.count;
  send_next(++last_request_id_, std::move(pending), peers, now, out);
}

// The order of the owners depends on this node and the tenant, so that neither all nodes nor all tenants ask the same
// owner first. An owner that recently had too little is skipped.
std::optional<std::string> QuotaClient::next_owner(PendingRequest& pending, QuotaPeers const& peers, Micros now) const {
  std::string best;
  std::uint64_t best_rank = 0;
  for (std::string const& owner : peers.owners) {
    if (pending.attempted.count(owner) > 0) continue;
    std::map<Key, ExhaustedOwner>::const_iterator const position =
        exhausted_owners_.find(Key(pending.need.tenant, owner));
    if (position != exhausted_owners_.end() && now < position->second.until &&
        pending.chunk >= position->second.count) {
      Micros const wait = position->second.until - now;
      pending.wait = pending.wait < 0 ? wait : std::min(pending.wait, wait);
      continue;
    }
    std::uint64_t const rank = hash_text(owner, hash_text(pending.need.tenant, hash_text(self_)));
    if (!best.empty() && rank <= best_rank) continue;
    best = owner;
    best_rank = rank;
  }
  return best.empty() ? std::nullopt : std::optional<std::string>(best);
}

// If this node reaches no owner, a peer may: tries a few of them in rotation.
std::optional<std::string> QuotaClient::next_peer(PendingRequest const& pending, QuotaPeers const& peers) const {
  if (!peers.owners.empty() || peers.others.empty() || pending.attempted.size() >= max_peers_attempted)
    return std::nullopt;
  for (std::size_t n = 0; n < peers.others.size(); ++n) {
    std::string const& peer = peers.others[(last_request_id_ + n) % peers.others.size()];
    if (pending.attempted.count(peer) == 0) return peer;
  }
  return std::nullopt;
}

void QuotaClient::send_next(std::uint64_t request_id, PendingRequest pending, QuotaPeers const& peers, Micros now,
                            std::vector<OutgoingMessage>& out) {
  if (pending.missing <= 0) return finish(pending, QuotaResult::Type::granted, out);
  pending.chunk = std::min(pending.missing, pending.max_chunk);
  std::optional<std::string> to = now < pending.need.due ? next_owner(pending, peers, now) : std::nullopt;
  pending.through_peer = false;
  if (!to && now < pending.need.due) {
    to = next_peer(pending, peers);
    pending.through_peer = to.has_value();
  }
  if (!to) return finish(pending, pending.wait >= 0 ? QuotaResult::Type::refused : QuotaResult::Type::unreachable, out);
  pending.target = *to;
  pending.attempted[*to] = 1;
  pending.due = std::min(now + reply_timeout, pending.need.due);
  wire::QuotaRequestT message = make_request(request_id, pending.need.tenant, pending.chunk, QuotaPurpose::ask);
  if (pending.through_peer) {
    message.origin = self_;
    message.hops = 1;
  }
  ++tally.messages;
  out.push_back(message_to(pending.target, std::move(message)));
  pending_.insert_or_assign(request_id, std::move(pending));
}

void QuotaClient::take(std::string const& from, wire::QuotaReplyT const& reply, QuotaPeers const& peers, Micros now,
                       std::vector<OutgoingMessage>& out) {
  std::map<std::uint64_t, PendingRequest>::iterator const position = pending_.find(reply.request_id);
  if (position == pending_.end() || position->second.target != from) {
    // A late reply: the request was sent to another owner or was cancelled.
    if (!reply.granted) return;
    ++tally.given_back;
    out.push_back(message_to(from, make_request(0, reply.tenant, reply.count, QuotaPurpose::give_back)));
    return;
  }
  PendingRequest pending = std::move(position->second);
  pending_.erase(position);
  if (reply.granted) {
    pending.allocations.push_back(Allocation{from, pending.chunk});
    pending.missing -= pending.chunk;
    pending.attempted.clear();
    pending.attempted[from] = 1;
  } else if (reply.wait > 0) {
    pending.wait = pending.wait < 0 ? reply.wait : std::min<Micros>(pending.wait, reply.wait);
    if (!pending.through_peer && exhausted_owners_.size() < max_exhausted_owners)
      exhausted_owners_[Key(pending.need.tenant, from)] =
          ExhaustedOwner{now + std::clamp<Micros>(reply.wait, shortest_backoff, longest_backoff), pending.chunk};
  }
  send_next(reply.request_id, std::move(pending), peers, now, out);
}

void QuotaClient::tick(QuotaPeers const& peers, Micros now, std::vector<OutgoingMessage>& out) {
  std::erase_if(exhausted_owners_,
                [now](std::pair<Key const, ExhaustedOwner> const& item) { return now >= item.second.until; });
  std::vector<std::uint64_t> late;
  for (std::pair<std::uint64_t const, PendingRequest> const& item : pending_)
    if (now >= item.second.due) late.push_back(item.first);
  for (std::uint64_t const request_id : late) {
    ++tally.timeouts;
    PendingRequest pending = std::move(pending_.at(request_id));
    pending_.erase(request_id);
    // A new request id, so that a late allocation for the former one is returned.
    send_next(++last_request_id_, std::move(pending), peers, now, out);
  }
}

void QuotaClient::cancel(std::uint64_t request, std::vector<OutgoingMessage>& out) {
  for (std::map<std::uint64_t, PendingRequest>::iterator it = pending_.begin(); it != pending_.end(); ++it) {
    if (it->second.need.request != request) continue;
    return_allocations(it->second, out);
    pending_.erase(it);
    return;
  }
}

void QuotaClient::debit(std::string const& tenant, std::int64_t count, QuotaPeers const& peers,
                        std::vector<OutgoingMessage>& out) {
  if (peers.owners.empty()) return;
  std::string const& owner = peers.owners[++last_request_id_ % peers.owners.size()];
  out.push_back(message_to(owner, make_request(0, tenant, count, QuotaPurpose::debit)));
}

void QuotaClient::return_allocations(PendingRequest const& pending, std::vector<OutgoingMessage>& out) {
  for (Allocation const& item : pending.allocations) {
    ++tally.given_back;
    out.push_back(message_to(item.owner, make_request(0, pending.need.tenant, item.count, QuotaPurpose::give_back)));
  }
}

void QuotaClient::finish(PendingRequest const& pending, QuotaResult::Type type, std::vector<OutgoingMessage>& out) {
  if (type != QuotaResult::Type::granted) return_allocations(pending, out);
  results.push_back(QuotaResult{pending.need.request, type, std::max<Micros>(0, pending.wait)});
}

}  // namespace pipit
