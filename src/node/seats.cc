// Registrations of router nodes in the register (§5.9), and how old a node's knowledge of the list is (§4.3).
#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "consensus/register/router_registrations.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros behind_gap = millis(300);
}  // namespace

void Node::request_registration(Micros now, NodeEffects& out) {
  if (leaving_) return;
  if (std::optional<Change> change = router_registrations_.next_registration(now))
    operate(0, std::move(*change), now, out);
}

void Node::update_registration(Micros now, NodeEffects& out) {
  if (router_registrations_.apply_register(now, out.mesh)) update_hold();
}

// §5.5: peers announce a newer revision than is held here, or a patch waits for its base, and no push or poll has
// brought it: one of them is asked, so that a chosen value gets round though its proposer and the replicas are gone.
void Node::ask_newer(Micros now, std::vector<OutgoingMessage>& outgoing) {
  bool const behind = std::any_of(
      mesh.members.peers.begin(), mesh.members.peers.end(), [this](std::pair<std::string const, Peer> const& item) {
        return item.second.connection != 0 && item.second.member.revision > learner.revision();
      });
  if (!guard(Guard::spread)) return;
  if (!behind) behind_since_ = -1;
  if (behind && behind_since_ < 0) behind_since_ = now;
  bool const overdue = behind && now - behind_since_ > behind_gap;
  if (!overdue && !catch_up_.is_stuck(now)) return;
  std::string const peer = catch_up_.next_peer(learner.revision(), now);
  if (peer.empty()) return;
  wire::CatchUpRequestT ask;
  ask.revision = learner.revision();
  outgoing.push_back(message_to(peer, std::move(ask)));
}

void Node::update_hold() {
  if (plan.role != MemberRole::router) return;
  dispatcher.set_paused(stale_from_ >= 0);
  bool const lost = ready_now_ && router_registrations_.is_evicted();
  chat_dispatcher.set_paused(stale_from_ >= 0 || lost);
}

bool Node::is_unconfirmed(Waiting const& item, std::string const& name) const {
  return item.sure.count(name) == 0 && router_registrations_.must_confirm(name);
}

void Node::take_list_age(Micros age, Micros now) {
  // What lay in a connection while this node stood still is older than it says.
  if (stale_from_ < 0) list_freshness_.note_peer_age(age, now);
}

}  // namespace pipit
