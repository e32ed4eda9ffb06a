#include "node/quota_authority.h"

#include <algorithm>
#include <utility>

namespace pipit {

QuotaAuthority::QuotaAuthority(QuotaAuthorityOptions options, QuotaDependencies const& dependencies)
    : options_(std::move(options)),
      dependencies_(dependencies),
      owner_(options_.terms),
      client_(options_.self, options_.first_request_id),
      shares_(options_.self, options_.fence, options_.settled_membership) {}

QuotaPeers QuotaAuthority::select_peers() const {
  Mesh const& mesh = dependencies_.mesh;
  QuotaPeers out;
  out.owner_count = shares_.owners().size();
  for (std::string const& name : shares_.owners())
    if (name == options_.self || is_reachable(mesh, name)) out.owners.push_back(name);
  if (!out.owners.empty()) return out;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (is_reachable(mesh, item.first) && !item.second.member.replica) out.others.push_back(item.first);
  return out;
}

void QuotaAuthority::tick(Micros now, std::vector<OutgoingMessage>& outgoing) {
  shares_.note(dependencies_.learner.membership(), now);
  if (!dependencies_.dispatcher.description()->keys_required) return;
  std::uint64_t const settled = shares_.settled(now);
  std::optional<Acceptor>& acceptor = dependencies_.acceptor;
  if (acceptor && settled != 0 && dependencies_.configuration.may_issue_quota(now))
    acceptor->record_quota_members(settled);
  owner_.remove_idle_buckets(now);
  if (client_.waiting() > 0) client_.tick(select_peers(), now, outgoing);
}

void QuotaAuthority::process_dispatch_effects(DispatchEffects& effects, Micros now,
                                              std::vector<OutgoingMessage>& outgoing) {
  std::vector<QuotaClaim> const needs = std::move(effects.quota_claims);
  effects.quota_claims.clear();
  if (!needs.empty()) {
    shares_.note(dependencies_.learner.membership(), now);
    QuotaPeers const peers = select_peers();
    for (QuotaClaim const& need : needs) begin_request(need, peers, now, outgoing);
  }
  for (std::uint64_t const request : effects.cancelled_quota_claims) client_.cancel(request, outgoing);
  effects.cancelled_quota_claims.clear();
  std::vector<QuotaResult> const results = std::move(client_.results);
  client_.results.clear();
  for (QuotaResult const& result : results) dependencies_.dispatcher.quota_result(result, now, effects);
}

void QuotaAuthority::begin_request(QuotaClaim const& need, QuotaPeers const& peers, Micros now,
                                   std::vector<OutgoingMessage>& outgoing) {
  if (need.is_retry) {
    client_.debit(need.tenant, need.count, peers, outgoing);
    return;
  }
  Tenant const* const tenant = dependencies_.dispatcher.description()->find_tenant(need.tenant);
  double const owners = static_cast<double>(std::max<std::size_t>(1, peers.owner_count));
  double const depth = tenant == nullptr ? 0 : QuotaBudget::of(*tenant, options_.terms).depth;
  std::int64_t const per_owner = static_cast<std::int64_t>(depth / owners);
  client_.begin(QuotaRequest{need.request, need.tenant, need.count, need.deadline}, per_owner, peers, now, outgoing);
}

QuotaDecision QuotaAuthority::decide_request(wire::QuotaRequestT const& request, Micros now) {
  shares_.note(dependencies_.learner.membership(), now);
  dependencies_.configuration.update_confirmations();
  Tenant const* const tenant = dependencies_.dispatcher.description()->find_tenant(request.tenant);
  double const share = shares_.share(now);
  bool const confirmed = dependencies_.configuration.may_issue_quota(now);
  if (tenant == nullptr || share <= 0 || !confirmed || request.count < 0) return QuotaDecision{};
  Micros const since = shares_.active_since(now);
  switch (static_cast<QuotaPurpose>(request.purpose)) {
    case QuotaPurpose::debit:
      owner_.debit(*tenant, request.count, share, since, now);
      return QuotaDecision{};
    case QuotaPurpose::give_back:
      owner_.give_back(*tenant, request.count, share, since, now);
      return QuotaDecision{};
    default:
      return owner_.ask(*tenant, request.count, share, since, now);
  }
}

bool QuotaAuthority::is_owner() const {
  std::vector<std::string> const& owners = shares_.owners();
  return std::find(owners.begin(), owners.end(), options_.self) != owners.end();
}

// The requesting node reaches no owner, but this node may. A request is forwarded only once.
bool QuotaAuthority::forward_to_owner(wire::QuotaRequestT const& request, std::vector<OutgoingMessage>& outgoing) {
  if (is_owner() || request.hops == 0) return false;
  QuotaPeers const peers = select_peers();
  if (peers.owners.empty()) return false;
  wire::QuotaRequestT forwarded = request;
  forwarded.hops = 0;
  dependencies_.rotation.advance();
  outgoing.push_back(message_to(dependencies_.rotation.current(peers.owners), std::move(forwarded)));
  return true;
}

void QuotaAuthority::handle_request(std::string const& from, wire::QuotaRequestT const& request, Micros now,
                                    std::vector<OutgoingMessage>& outgoing) {
  bool const expects_reply = request.purpose == static_cast<std::uint8_t>(QuotaPurpose::ask);
  if (expects_reply && forward_to_owner(request, outgoing)) return;
  QuotaDecision const decision = decide_request(request, now);
  if (!expects_reply) return;
  wire::QuotaReplyT reply;
  reply.request_id = request.request_id;
  reply.tenant = request.tenant;
  reply.count = request.count;
  reply.origin = request.origin;
  reply.granted = decision.granted;
  reply.wait = decision.wait;
  outgoing.push_back(message_to(from, std::move(reply)));
}

void QuotaAuthority::handle_reply(std::string const& from, wire::QuotaReplyT& reply, Micros now,
                                  std::vector<OutgoingMessage>& outgoing) {
  if (!reply.origin.empty() && reply.origin != options_.self) {
    std::string const origin = reply.origin;
    outgoing.push_back(message_to(origin, std::move(reply)));
    return;
  }
  client_.take(from, reply, select_peers(), now, outgoing);
}

}  // namespace pipit
