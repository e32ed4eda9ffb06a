// Registrations of router nodes in the register (§5.9), and how old a node's knowledge of the list is (§4.3).
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

// §5.5: a peer announces a newer revision than is held here, and no push or poll has brought it: the peer itself is
// asked, so that a chosen value gets round though its proposer and the replicas are gone.
void Node::ask_newer(Micros now, std::vector<OutgoingMessage>& outgoing) {
  std::string from;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (item.second.connection != 0 && item.second.member.revision > learner.revision()) from = item.first;
  if (from.empty() || !guard(Guard::spread)) {
    behind_since_ = -1;
  } else if (behind_since_ < 0) {
    behind_since_ = now;
  } else if (now - behind_since_ > behind_gap) {
    behind_since_ = now;
    wire::CatchUpRequestT ask;
    ask.revision = learner.revision();
    outgoing.push_back(message_to(from, std::move(ask)));
  }
}

void Node::update_hold() {
  if (plan.role != Role::router) return;
  dispatcher.hold(stale_from_ >= 0);
  bool const lost = ready_now_ && router_registrations_.is_evicted();
  chat_dispatcher.hold(stale_from_ >= 0 || lost);
}

bool Node::is_unconfirmed(Waiting const& item, std::string const& name) const {
  return item.sure.count(name) == 0 && router_registrations_.must_confirm(name);
}

void Node::take_list_age(Micros age, Micros now) {
  // What lay in a connection while this node stood still is older than it says.
  if (stale_from_ < 0) list_freshness_.note_peer_age(age, now);
}

}  // namespace pipit
