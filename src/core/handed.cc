// Changes that one keeper proposes for all (§12.8). Any node may still propose: a change that is not answered in time
// is proposed here under the same id, and the register takes it once.
#include "base/events.h"
#include "core/node.h"

namespace pipit {

namespace {
constexpr Micros answer_within = millis(600);
constexpr std::uint64_t handed_mark = 1ull << 63;  // ids of changes proposed for others
}  // namespace

std::string Node::proposing_keeper() const {
  std::string best;
  Membership const& members = learner.membership().empty() ? learner.seen() : learner.membership();
  for (wire::KeeperT const& keeper : members.keepers) {
    bool here = keeper.name == plan.name && plan.keeper && !leaving;
    std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(keeper.name);
    if (peer != mesh.members.peers.end()) here = peer->second.wire != 0 && peer->second.state() == State::alive;
    if (here && (best.empty() || keeper.name < best)) best = keeper.name;
  }
  return best;
}

// A node that hears no quorum may still hear a router that does: each order is handed to the next one in turn.
std::string Node::relaying_peer() {
  std::vector<std::string> peers;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
    bool const here = item.second.wire != 0 && item.second.state() == State::alive;
    if (here && !item.second.member.keeper) peers.push_back(item.first);
  }
  if (peers.empty()) return "";
  return peers[relay_turn++ % peers.size()];
}

bool Node::hand_over(std::uint64_t id, Change const& change, Micros now, NodeOut& out) {
  if (!plan.registered || id == 0 || (id & handed_mark) != 0) return false;
  if (change.type != Change::Type::apply && change.type != Change::Type::read) return false;
  std::string const keeper = quorum_heard(now) ? proposing_keeper() : relaying_peer();
  if (keeper.empty() || keeper == plan.name) return false;
  std::uint64_t const req = ++next_req;
  wire::ProposeT ask;
  ask.req = req;
  ask.type = static_cast<std::uint8_t>(change.type);
  ask.id = change.id;
  ask.text = change.text;
  ask.expected = change.expected;
  ask.label = change.label;
  ask.revision = learner.revision();
  if (!mesh.post(keeper, std::move(ask), out.mesh)) return false;
  handed[req] = Handed{id, change, now + answer_within};
  return true;
}

void Node::take_handed(std::string const& from, wire::ProposeT const& ask, Micros now, NodeOut& out) {
  if (ask.type != static_cast<std::uint8_t>(Change::Type::apply) &&
      ask.type != static_cast<std::uint8_t>(Change::Type::read))
    return;
  Change change;
  change.type = static_cast<Change::Type>(ask.type);
  change.id = ask.id;
  change.text = ask.text;
  change.expected = ask.expected;
  change.label = ask.label;
  std::uint64_t const id = handed_mark | ++next_req;
  asked_by[id] = Asked{from, ask.req, ask.revision};
  propose(id, std::move(change), now, out);
}

void Node::take_answer(wire::ProposedT const& ans, Micros now, NodeOut& out) {
  std::map<std::uint64_t, Handed>::iterator const spot = handed.find(ans.req);
  if (spot == handed.end() || ans.type > static_cast<std::uint8_t>(Outcome::Type::unknown) || ans.kind >= kind_count())
    return;
  Handed item = std::move(spot->second);
  handed.erase(spot);
  // A keeper that is cut off proposed nothing; this node may still hear a quorum.
  if (static_cast<Kind>(ans.kind) == Kind::no_majority && quorum_heard(now))
    return propose(item.id, std::move(item.change), now, out);
  Reply reply;
  reply.id = item.id;
  reply.change = item.change.id;
  reply.outcome.type = static_cast<Outcome::Type>(ans.type);
  reply.outcome.fault.kind = static_cast<Kind>(ans.kind);
  reply.outcome.fault.why = ans.why;
  reply.outcome.serial = ans.serial;
  // What a majority chose is known here too from now on.
  if (ans.value && learner.adopt(*ans.value, now)) after_value(now, out);
  // An answer without a value says that this node holds it, or by now a newer one that was chosen as well.
  if (ans.value)
    reply.outcome.value = *ans.value;
  else if (ans.revision > 0 && learner.revision() >= ans.revision)
    reply.outcome.value = *learner.value;
  out.replies.push_back(std::move(reply));
}

void Node::settle_handed(Micros now, NodeOut& out) {
  for (std::vector<Reply>::iterator it = out.replies.begin(); it != out.replies.end();) {
    std::map<std::uint64_t, Asked>::iterator const who = asked_by.find(it->id);
    if (who == asked_by.end()) {
      ++it;
      continue;
    }
    Outcome const& outcome = it->outcome;
    wire::ProposedT ans;
    ans.req = who->second.req;
    ans.type = static_cast<std::uint8_t>(outcome.type);
    ans.kind = static_cast<std::uint8_t>(outcome.fault.kind);
    ans.why = outcome.fault.why;
    ans.serial = outcome.serial;
    // Changes get round by themselves; a reading brings the value, unless the asker holds it already.
    bool const read = outcome.type == Outcome::Type::kept;
    if (read) ans.revision = outcome.value.revision;
    if (read && who->second.revision < outcome.value.revision)
      ans.value = std::make_unique<wire::ValueT>(outcome.value);
    mesh.post(who->second.from, std::move(ans), out.mesh);
    asked_by.erase(who);
    it = out.replies.erase(it);
  }
  for (std::map<std::uint64_t, Handed>::iterator it = handed.begin(); it != handed.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    Handed item = std::move(it->second);
    it = handed.erase(it);
    propose(item.id, std::move(item.change), now, out);
  }
}

}  // namespace pipit
