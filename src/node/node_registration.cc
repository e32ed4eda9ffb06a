// Methods of Node for its registration as a router node (§5.9), for catching up on newer values (§5.5) and for the age
// of its knowledge of the list of workers (§4.3).
#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "consensus/register/router_registrations.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros behind_grace = millis(300);
}  // namespace

void Node::request_registration(Micros now, NodeEffects& out) {
  if (draining_) return;
  if (std::optional<Change> change = router_registrations_.next_registration(now))
    submit_change(0, std::move(*change), now, out);
}

void Node::update_registration(Micros now, NodeEffects& out) {
  if (router_registrations_.apply_register(now, out.mesh)) update_dispatch_pause();
}

// §5.5: requests the newer value from one peer if peers announce a newer revision than this node holds, or a patch
// waits for its base, and neither a push nor a poll has brought it. A chosen value thus reaches all nodes even if its
// proposer and the replicas are down.
void Node::request_newer_value(Micros now, std::vector<OutgoingMessage>& outgoing) {
  bool const behind = std::any_of(
      mesh.members.peers.begin(), mesh.members.peers.end(), [this](std::pair<std::string const, Peer> const& item) {
        return item.second.connection != 0 && item.second.member.revision > learner.revision();
      });
  configuration_authority_.set_superseded(behind);
  if (!guard_enabled(Guard::spread)) return;
  if (!behind) behind_since_ = -1;
  if (behind && behind_since_ < 0) behind_since_ = now;
  bool const overdue = behind && now - behind_since_ > behind_grace;
  if (!overdue && !catch_up_.is_stuck(now)) return;
  std::string const peer = catch_up_.select_peer(learner.revision(), now);
  if (peer.empty()) return;
  wire::CatchUpRequestT request;
  request.revision = learner.revision();
  outgoing.push_back(message_to(peer, std::move(request)));
}

void Node::update_dispatch_pause() {
  if (plan.role != MemberRole::router) return;
  dispatcher.set_paused(stale_since_ >= 0);
  bool const evicted = ready_ && router_registrations_.is_evicted();
  chat_dispatcher.set_paused(stale_since_ >= 0 || evicted);
}

bool Node::is_unconfirmed(PendingConfirmation const& pending, std::string const& name) const {
  return pending.confirmed.count(name) == 0 && router_registrations_.must_confirm(name);
}

void Node::note_peer_list_age(Micros age, Micros now) {
  // A message that waited in a connection while this process was suspended is older than the age that it states.
  if (stale_since_ < 0) list_freshness_.note_peer_age(age, now);
}

}  // namespace pipit
