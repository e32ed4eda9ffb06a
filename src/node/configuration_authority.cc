#include "node/configuration_authority.h"

#include <algorithm>
#include <utility>

namespace pipit {

namespace {
constexpr Micros request_interval = millis(300);
constexpr Micros request_timeout = seconds(4);  // replies to older requests are ignored
constexpr std::size_t max_confirmed_revisions = 16;
}  // namespace

ConfigurationAuthority::ConfigurationAuthority(ConfigurationLeaseDurations const& durations, Mesh const& mesh,
                                               Learner const& learner, PeerRotation& rotation,
                                               std::function<std::uint64_t()> next_request_id)
    : mesh_(mesh),
      learner_(learner),
      rotation_(rotation),
      next_request_id_(std::move(next_request_id)),
      key_lease_(durations.revocation, durations.in_force),
      quota_lease_(durations.quota),
      in_force_lease_(durations.in_force) {}

// The same confirmation extends all leases; they differ in duration only.
void ConfigurationAuthority::confirm_leases(Micros at) {
  key_lease_.confirm(at);
  quota_lease_.confirm(at);
  in_force_lease_.confirm(at);
}

bool ConfigurationAuthority::renewal_due(bool keys_required, Micros now) const {
  bool const in_force_due = in_force_lease_.required() && in_force_lease_.renewal_due(now);
  return in_force_due || (keys_required && quota_lease_.renewal_due(now));
}

bool ConfigurationAuthority::renewal_urgent(Micros now) const {
  bool const in_force_urgent = in_force_lease_.required() && in_force_lease_.renewal_urgent(now);
  return in_force_urgent || quota_lease_.renewal_urgent(now);
}

void ConfigurationAuthority::update_confirmations() {
  if (learner_.confirmed_at >= 0) confirm_leases(learner_.confirmed_at);
  while (!confirmed_revisions_.empty() && confirmed_revisions_.begin()->first <= learner_.revision()) {
    confirm_leases(confirmed_revisions_.begin()->second);
    confirmed_revisions_.erase(confirmed_revisions_.begin());
  }
}

// Renewal in the last third of the lease would be too late. From the first third on, one replica at a time is queried;
// from the half on, another peer as well, since a network partition may separate this node from the replicas alone.
void ConfigurationAuthority::renew_leases(bool keys_required, Micros now, std::vector<OutgoingMessage>& outgoing) {
  update_confirmations();
  if (!renewal_due(keys_required, now) || now < next_request_at_) return;
  next_request_at_ = now + request_interval;
  std::erase_if(open_requests_, [now](std::pair<std::uint64_t const, Micros> const& item) {
    return now - item.second > request_timeout;
  });
  for (std::string const& target : select_peers_to_query(now)) {
    wire::NewestRequestT request;
    request.request_id = next_request_id_();
    open_requests_[request.request_id] = now;
    outgoing.push_back(message_to(target, std::move(request)));
  }
}

std::vector<std::string> ConfigurationAuthority::select_peers_to_query(Micros now) {
  std::vector<std::string> replicas;
  std::vector<std::string> others;
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
    if (!is_reachable(mesh_, item.first)) continue;
    (item.second.member.replica ? replicas : others).push_back(item.first);
  }
  std::vector<std::string> targets;
  rotation_.advance();
  if (!replicas.empty()) targets.push_back(rotation_.current(replicas));
  if (!others.empty() && (replicas.empty() || renewal_urgent(now))) targets.push_back(rotation_.current(others));
  return targets;
}

wire::NewestReplyT ConfigurationAuthority::answer_request(std::uint64_t request_id, Micros now) const {
  wire::NewestReplyT out;
  out.request_id = request_id;
  out.revision = learner_.revision();
  if (quota_lease_.confirmed_at() >= 0) out.age = now - quota_lease_.confirmed_at();
  return out;
}

// The peer's configuration was confirmed 'age' before its reply, and the reply was sent after this node's request.
// Counting 'age' back from the time of the request therefore never yields a time later than the true one.
void ConfigurationAuthority::handle_reply(wire::NewestReplyT const& reply) {
  std::map<std::uint64_t, Micros>::iterator const request = open_requests_.find(reply.request_id);
  if (request == open_requests_.end()) return;
  Micros const sent_at = request->second;
  open_requests_.erase(request);
  if (reply.age < 0) return;
  Micros& confirmed_at = confirmed_revisions_.emplace(reply.revision, -1).first->second;
  confirmed_at = std::max(confirmed_at, sent_at - reply.age);
  update_confirmations();
  if (confirmed_revisions_.size() > max_confirmed_revisions) confirmed_revisions_.erase(confirmed_revisions_.begin());
}

}  // namespace pipit
