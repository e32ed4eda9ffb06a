#include "routing/tenants/quota_client.h"

#include <algorithm>

#include "base/hash.h"

namespace pipit {

namespace {
constexpr Micros answer_within = millis(120);
constexpr Micros dry_most = millis(400);  // an owner that had too little is asked again after so long at the most
constexpr Micros dry_least = millis(20);
constexpr std::size_t dry_count_most = 20000;
constexpr std::size_t peers_attempted_most = 3;

wire::QuotaRequestT question(std::uint64_t request_id, std::string const& tenant, std::int64_t count,
                             QuotaPurpose purpose) {
  wire::QuotaRequestT out;
  out.request_id = request_id;
  out.tenant = tenant;
  out.count = count;
  out.purpose = static_cast<std::uint8_t>(purpose);
  return out;
}
}  // namespace

void QuotaClient::begin(QuotaRequest const& wanted, std::int64_t chunk_most, QuotaPeers const& peers, Micros now,
                        std::vector<OutgoingMessage>& out) {
  ++tally.asked;
  Ask ask;
  ask.wanted = wanted;
  ask.chunk_most = std::max<std::int64_t>(1, chunk_most);
  ask.missing = wanted.count;
  ask_next(++next_, std::move(ask), peers, now, out);
}

// Owners in an order of this node's and the tenant's own, so that neither all nodes nor all tenants crowd on one. One
// that lately had too little is passed over.
std::optional<std::string> QuotaClient::next_owner(Ask& ask, QuotaPeers const& peers, Micros now) const {
  std::string best;
  std::uint64_t best_rank = 0;
  for (std::string const& owner : peers.owners) {
    if (ask.attempted.count(owner) > 0) continue;
    std::map<Key, Dry>::const_iterator const position = dry_.find(Key(ask.wanted.tenant, owner));
    if (position != dry_.end() && now < position->second.until && ask.chunk >= position->second.count) {
      Micros const wait = position->second.until - now;
      ask.wait = ask.wait < 0 ? wait : std::min(ask.wait, wait);
      continue;
    }
    std::uint64_t const rank = hash_text(owner, hash_text(ask.wanted.tenant, hash_text(self_)));
    if (!best.empty() && rank <= best_rank) continue;
    best = owner;
    best_rank = rank;
  }
  return best.empty() ? std::nullopt : std::optional<std::string>(best);
}

// Where no owner is reached a peer may reach one: a few are tried, by turns.
std::optional<std::string> QuotaClient::next_peer(Ask const& ask, QuotaPeers const& peers) const {
  if (!peers.owners.empty() || peers.others.empty() || ask.attempted.size() >= peers_attempted_most)
    return std::nullopt;
  for (std::size_t n = 0; n < peers.others.size(); ++n) {
    std::string const& peer = peers.others[(next_ + n) % peers.others.size()];
    if (ask.attempted.count(peer) == 0) return peer;
  }
  return std::nullopt;
}

void QuotaClient::ask_next(std::uint64_t request_id, Ask ask, QuotaPeers const& peers, Micros now,
                           std::vector<OutgoingMessage>& out) {
  if (ask.missing <= 0) return finish(ask, QuotaResult::Type::granted, out);
  ask.chunk = std::min(ask.missing, ask.chunk_most);
  std::optional<std::string> to = now < ask.wanted.due ? next_owner(ask, peers, now) : std::nullopt;
  ask.through_peer = false;
  if (!to && now < ask.wanted.due) {
    to = next_peer(ask, peers);
    ask.through_peer = to.has_value();
  }
  if (!to) return finish(ask, ask.wait >= 0 ? QuotaResult::Type::refused : QuotaResult::Type::unreachable, out);
  ask.at = *to;
  ask.attempted[*to] = 1;
  ask.due = std::min(now + answer_within, ask.wanted.due);
  wire::QuotaRequestT message = question(request_id, ask.wanted.tenant, ask.chunk, QuotaPurpose::ask);
  if (ask.through_peer) {
    message.origin = self_;
    message.hops = 1;
  }
  ++tally.messages;
  out.push_back(message_to(ask.at, std::move(message)));
  asks_.insert_or_assign(request_id, std::move(ask));
}

void QuotaClient::take(std::string const& from, wire::QuotaReplyT const& reply, QuotaPeers const& peers, Micros now,
                       std::vector<OutgoingMessage>& out) {
  std::map<std::uint64_t, Ask>::iterator const position = asks_.find(reply.request_id);
  if (position == asks_.end() || position->second.at != from) {
    // Too late: the request went on or is gone.
    if (!reply.granted) return;
    ++tally.given_back;
    out.push_back(message_to(from, question(0, reply.tenant, reply.count, QuotaPurpose::give_back)));
    return;
  }
  Ask ask = std::move(position->second);
  asks_.erase(position);
  if (reply.granted) {
    ask.given.push_back(Given{from, ask.chunk});
    ask.missing -= ask.chunk;
    ask.attempted.clear();
    ask.attempted[from] = 1;
  } else if (reply.wait > 0) {
    ask.wait = ask.wait < 0 ? reply.wait : std::min<Micros>(ask.wait, reply.wait);
    if (!ask.through_peer && dry_.size() < dry_count_most)
      dry_[Key(ask.wanted.tenant, from)] = Dry{now + std::clamp<Micros>(reply.wait, dry_least, dry_most), ask.chunk};
  }
  ask_next(reply.request_id, std::move(ask), peers, now, out);
}

void QuotaClient::tick(QuotaPeers const& peers, Micros now, std::vector<OutgoingMessage>& out) {
  std::erase_if(dry_, [now](std::pair<Key const, Dry> const& item) { return now >= item.second.until; });
  std::vector<std::uint64_t> late;
  for (std::pair<std::uint64_t const, Ask> const& item : asks_)
    if (now >= item.second.due) late.push_back(item.first);
  for (std::uint64_t const request_id : late) {
    ++tally.timeouts;
    Ask ask = std::move(asks_.at(request_id));
    asks_.erase(request_id);
    // Under another number: an answer to the former question goes back.
    ask_next(++next_, std::move(ask), peers, now, out);
  }
}

void QuotaClient::cancel(std::uint64_t request, std::vector<OutgoingMessage>& out) {
  for (std::map<std::uint64_t, Ask>::iterator it = asks_.begin(); it != asks_.end(); ++it) {
    if (it->second.wanted.request != request) continue;
    give_back(it->second, out);
    asks_.erase(it);
    return;
  }
}

void QuotaClient::debit(std::string const& tenant, std::int64_t count, QuotaPeers const& peers,
                        std::vector<OutgoingMessage>& out) {
  if (peers.owners.empty()) return;
  std::string const& owner = peers.owners[++next_ % peers.owners.size()];
  out.push_back(message_to(owner, question(0, tenant, count, QuotaPurpose::debit)));
}

void QuotaClient::give_back(Ask const& ask, std::vector<OutgoingMessage>& out) {
  for (Given const& item : ask.given) {
    ++tally.given_back;
    out.push_back(message_to(item.owner, question(0, ask.wanted.tenant, item.count, QuotaPurpose::give_back)));
  }
}

void QuotaClient::finish(Ask const& ask, QuotaResult::Type type, std::vector<OutgoingMessage>& out) {
  if (type != QuotaResult::Type::granted) give_back(ask, out);
  results.push_back(QuotaResult{ask.wanted.request, type, std::max<Micros>(0, ask.wait)});
}

}  // namespace pipit
