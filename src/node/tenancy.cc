// What a node does for keys and limits of tenants: its lease on the configuration, and the parts of limits that it asks
// for and hands out (docs/tenants.md).
#include <algorithm>

#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros newest_gap = millis(300);  // between two questions whether the configuration is the newest
constexpr std::size_t newest_told_most = 16;
constexpr Micros newest_within = seconds(4);  // an older question is not answered any more
}  // namespace

bool Node::reached(std::string const& name) const {
  std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
  return peer != mesh.members.peers.end() && peer->second.connection != 0 && peer->second.state() == State::alive;
}

// Both leases rest on the same facts: what polls of replicas confirmed, and what peers told of theirs.
void Node::confirm_configuration(Micros now) {
  if (learner.confirmed_at >= 0) {
    lease.confirm(learner.confirmed_at);
    owner_lease_.confirm(learner.confirmed_at);
  }
  while (!newest_told_.empty() && newest_told_.begin()->first <= learner.revision()) {
    lease.confirm(newest_told_.begin()->second);
    owner_lease_.confirm(newest_told_.begin()->second);
    newest_told_.erase(newest_told_.begin());
  }
}

// A third of the lease before its end would be late: it is renewed from its first third on, by one replica at a time,
// and from its half on by any peer besides, since a cut may part this node from the replicas alone.
void Node::renew_lease(Micros now, std::vector<OutgoingMessage>& outgoing) {
  confirm_configuration(now);
  if (!dispatcher.description()->keys_required || !owner_lease_.ageing(now) || now < next_newest_ask_) return;
  next_newest_ask_ = now + newest_gap;
  std::erase_if(newest_asks_, [now](std::pair<std::uint64_t const, Micros> const& item) {
    return now - item.second > newest_within;
  });
  std::vector<std::string> replicas_here;
  std::vector<std::string> others;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
    if (!reached(item.first)) continue;
    (item.second.member.replica ? replicas_here : others).push_back(item.first);
  }
  std::vector<std::string> targets;
  ++newest_turn_;
  if (!replicas_here.empty()) targets.push_back(replicas_here[newest_turn_ % replicas_here.size()]);
  if (!others.empty() && (replicas_here.empty() || owner_lease_.urgent(now)))
    targets.push_back(others[newest_turn_ % others.size()]);
  for (std::string const& target : targets) {
    wire::NewestRequestT ask;
    ask.request_id = ++next_request_id_;
    newest_asks_[ask.request_id] = now;
    outgoing.push_back(message_to(target, std::move(ask)));
  }
}

wire::NewestReplyT Node::newest_reply(std::uint64_t request_id, Micros now) const {
  wire::NewestReplyT out;
  out.request_id = request_id;
  out.revision = learner.revision();
  if (owner_lease_.confirmed() >= 0) out.age = now - owner_lease_.confirmed();
  return out;
}

// The peer's moment lies 'age' before its reply, and its reply after this node's question: reckoned from the question,
// it can only be taken for an earlier one than it was.
void Node::take_newest(std::string const& from, wire::NewestReplyT const& reply, Micros now,
                       std::vector<OutgoingMessage>& outgoing) {
  std::map<std::uint64_t, Micros>::iterator const position = newest_asks_.find(reply.request_id);
  if (position == newest_asks_.end()) return;
  Micros const asked = position->second;
  newest_asks_.erase(position);
  if (reply.age < 0) return;
  Micros& told = newest_told_.emplace(reply.revision, -1).first->second;
  told = std::max(told, asked - reply.age);
  confirm_configuration(now);
  if (newest_told_.size() > newest_told_most) newest_told_.erase(newest_told_.begin());
  if (newest_told_.empty() || !owner_lease_.urgent(now)) return;
  // What is newer has not come by itself.
  wire::CatchUpRequestT ask;
  ask.revision = learner.revision();
  outgoing.push_back(message_to(from, std::move(ask)));
}

QuotaPeers Node::quota_peers() const {
  QuotaPeers out;
  out.owner_count = quota_shares_.owners().size();
  for (std::string const& name : quota_shares_.owners())
    if (name == plan.name || reached(name)) out.owners.push_back(name);
  if (!out.owners.empty()) return out;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (reached(item.first) && !item.second.member.replica) out.others.push_back(item.first);
  return out;
}

void Node::tick_quota(Micros now, std::vector<OutgoingMessage>& outgoing) {
  quota_shares_.note(learner.membership(), now);
  if (!dispatcher.description()->keys_required) return;
  std::uint64_t const settled = quota_shares_.settled(now);
  if (acceptor && settled != 0 && owner_lease_.holds(now)) acceptor->note_quota_members(settled);
  quota_owner.forget(now);
  if (quota_client.waiting() > 0) quota_client.tick(quota_peers(), now, outgoing);
}

// What the dispatcher needs is asked for, and what was answered is told it.
void Node::settle_quota(Micros now, NodeEffects& out) {
  DispatchEffects& wants = out.dispatch;
  if (wants.quota_needs.empty() && wants.quota_drops.empty() && quota_client.results.empty()) return;
  std::vector<OutgoingMessage> outgoing;
  std::vector<QuotaNeed> const needs = std::move(wants.quota_needs);
  wants.quota_needs.clear();
  if (!needs.empty()) {
    quota_shares_.note(learner.membership(), now);
    QuotaPeers const peers = quota_peers();
    for (QuotaNeed const& need : needs) {
      Tenant const* const tenant = dispatcher.description()->tenant(need.tenant);
      if (need.again) {
        quota_client.debit(need.tenant, need.count, peers, outgoing);
        continue;
      }
      double const owners = static_cast<double>(std::max<std::size_t>(1, peers.owner_count));
      double const depth = tenant == nullptr ? 0 : QuotaBudget::of(*tenant, plan.quota).depth;
      std::int64_t const piece = static_cast<std::int64_t>(depth / owners);
      quota_client.begin(QuotaRequest{need.request, need.tenant, need.count, need.due}, piece, peers, now, outgoing);
    }
  }
  for (std::uint64_t const request : wants.quota_drops) quota_client.cancel(request, outgoing);
  wants.quota_drops.clear();
  std::vector<QuotaResult> const results = std::move(quota_client.results);
  quota_client.results.clear();
  for (QuotaResult const& result : results) dispatcher.quota_result(result, now, out.dispatch);
  dispatch(outgoing, now, out);
}

QuotaDecision Node::decide_quota(wire::QuotaRequestT const& ask, Micros now) {
  quota_shares_.note(learner.membership(), now);
  confirm_configuration(now);
  Tenant const* const tenant = dispatcher.description()->tenant(ask.tenant);
  double const share = quota_shares_.share(now);
  if (tenant == nullptr || share <= 0 || !owner_lease_.holds(now) || ask.count < 0) return QuotaDecision{};
  Micros const since = quota_shares_.active_since(now);
  switch (static_cast<QuotaPurpose>(ask.purpose)) {
    case QuotaPurpose::debit:
      quota_owner.debit(*tenant, ask.count, share, since, now);
      return QuotaDecision{};
    case QuotaPurpose::give_back:
      quota_owner.give_back(*tenant, ask.count, share, since, now);
      return QuotaDecision{};
    default:
      return quota_owner.ask(*tenant, ask.count, share, since, now);
  }
}

void Node::take_quota_ask(std::string const& from, wire::QuotaRequestT const& ask, Micros now,
                          std::vector<OutgoingMessage>& outgoing) {
  bool const question = ask.purpose == static_cast<std::uint8_t>(QuotaPurpose::ask);
  std::vector<std::string> const& owners = quota_shares_.owners();
  bool const own = std::find(owners.begin(), owners.end(), plan.name) != owners.end();
  if (!own && question && ask.hops > 0) {
    // The asker reaches no owner; this node may.
    QuotaPeers const peers = quota_peers();
    if (!peers.owners.empty()) {
      wire::QuotaRequestT passed = ask;
      passed.hops = 0;
      outgoing.push_back(message_to(peers.owners[++newest_turn_ % peers.owners.size()], std::move(passed)));
      return;
    }
  }
  QuotaDecision const decision = decide_quota(ask, now);
  if (!question) return;
  wire::QuotaReplyT reply;
  reply.request_id = ask.request_id;
  reply.tenant = ask.tenant;
  reply.count = ask.count;
  reply.origin = ask.origin;
  reply.granted = decision.granted;
  reply.wait = decision.wait;
  outgoing.push_back(message_to(from, std::move(reply)));
}

void Node::take_quota_reply(std::string const& from, wire::QuotaReplyT& reply, Micros now,
                            std::vector<OutgoingMessage>& outgoing) {
  if (!reply.origin.empty() && reply.origin != plan.name) {
    std::string const origin = reply.origin;
    outgoing.push_back(message_to(origin, std::move(reply)));
    return;
  }
  quota_client.take(from, reply, quota_peers(), now, outgoing);
}

}  // namespace pipit
