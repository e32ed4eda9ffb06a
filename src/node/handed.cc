// Changes that one replica proposes for all (§12.8). Any node may still propose: a change that is not answered in time
// is proposed here under the same id, and the register takes it once.
#include "base/events.h"
#include "consensus/register/text_patch.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros answer_within = millis(600);
constexpr std::uint64_t handed_mark = 1ull << 63;  // ids of changes proposed for others

// A change as it is handed over, without its text.
wire::ForwardedChangeT proposal(std::uint64_t request_id, Change const& change, std::uint64_t revision) {
  wire::ForwardedChangeT out;
  out.request_id = request_id;
  out.type = static_cast<std::uint8_t>(change.type);
  out.id = change.id;
  out.expected = change.expected;
  out.label = change.label;
  out.revision = revision;
  return out;
}
}  // namespace

bool Node::replica_reached(wire::ReplicaT const& replica) const {
  if (replica.name == plan.name) return acceptor && acceptor->held().disk == replica.disk && !leaving_;
  std::map<std::string, Learner::Observation>::const_iterator const observation =
      learner.observations.find(replica.name);
  if (observation != learner.observations.end() && observation->second.disk != replica.disk) return false;
  std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(replica.name);
  return peer != mesh.members.peers.end() && peer->second.connection != 0 && peer->second.state() == State::alive;
}

std::string Node::proposing_replica() const {
  std::string best;
  Membership const& members = learner.membership().empty() ? learner.seen() : learner.membership();
  for (wire::ReplicaT const& replica : members.replicas)
    if (replica_reached(replica) && (best.empty() || replica.name < best)) best = replica.name;
  return best;
}

// A node that hears no quorum may still hear a router that does: each order is handed to the next one in turn.
std::string Node::relaying_peer() {
  std::vector<std::string> peers;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
    bool const here = item.second.connection != 0 && item.second.state() == State::alive;
    if (here && !item.second.member.replica) peers.push_back(item.first);
  }
  if (peers.empty()) return "";
  return peers[relay_turn_++ % peers.size()];
}

bool Node::hand_over(std::uint64_t id, Change const& change, Micros now, NodeEffects& out) {
  if (!plan.registered || id == 0 || (id & handed_mark) != 0) return false;
  if (change.type != Change::Type::apply && change.type != Change::Type::read) return false;
  std::string const replica = quorum_heard(now) ? proposing_replica() : relaying_peer();
  if (replica.empty() || replica == plan.name) return false;
  std::uint64_t const request_id = ++next_request_id_;
  wire::ForwardedChangeT ask = proposal(request_id, change, learner.revision());
  put_text(change.text, ask);
  if (!mesh.send(replica, std::move(ask), out.mesh)) return false;
  handed_[request_id] = Handed{id, replica, change, now + answer_within};
  return true;
}

// A text goes as a patch of what this node holds, which the replica most likely holds as well.
void Node::put_text(std::string const& text, wire::ForwardedChangeT& ask) const {
  if (learner.value && !text.empty())
    ask.patch = text_patch(learner.value->text, text);
  else
    ask.text = text;
}

// The text that an order brings; nothing when the base of its patch is neither held here nor was just before.
std::optional<std::string> Node::handed_text(wire::ForwardedChangeT const& ask) const {
  if (!ask.patch) return ask.text;
  for (std::optional<wire::ValueT> const* const base : {&learner.value, &learner.before}) {
    if (!*base || (*base)->revision != ask.revision) continue;
    if (std::optional<std::string> text = patched_text((*base)->text, *ask.patch)) return text;
  }
  return std::nullopt;
}

void Node::take_handed(std::string const& from, wire::ForwardedChangeT const& ask, Micros now, NodeEffects& out) {
  if (ask.type != static_cast<std::uint8_t>(Change::Type::apply) &&
      ask.type != static_cast<std::uint8_t>(Change::Type::read))
    return;
  std::optional<std::string> text = handed_text(ask);
  if (!text) {
    wire::ForwardedChangeReplyT ans;
    ans.request_id = ask.request_id;
    ans.need_text = true;
    mesh.send(from, std::move(ans), out.mesh);
    return;
  }
  Change change;
  change.type = static_cast<Change::Type>(ask.type);
  change.id = ask.id;
  change.text = std::move(*text);
  change.expected = ask.expected;
  change.label = ask.label;
  std::uint64_t const id = handed_mark | ++next_request_id_;
  asked_by_[id] = Asked{from, ask.request_id, ask.revision};
  propose(id, std::move(change), now, out);
}

// The replica took nothing of an order whose text it could not make out: it is sent again, whole.
void Node::send_text(std::string const& to, std::uint64_t request_id, Change const& change, NodeEffects& out) {
  wire::ForwardedChangeT ask = proposal(request_id, change, learner.revision());
  ask.text = change.text;
  mesh.send(to, std::move(ask), out.mesh);
}

void Node::take_answer(std::string const& from, wire::ForwardedChangeReplyT const& ans, Micros now, NodeEffects& out) {
  std::map<std::uint64_t, Handed>::iterator const position = handed_.find(ans.request_id);
  if (position == handed_.end() || position->second.proposer != from) return;
  if (ans.type > static_cast<std::uint8_t>(Outcome::Type::unknown) || ans.kind >= error_code_count()) return;
  if (ans.need_text) return send_text(from, ans.request_id, position->second.change, out);
  Handed item = std::move(position->second);
  handed_.erase(position);
  // A replica that is cut off proposed nothing; this node may still hear a quorum.
  if (static_cast<ErrorCode>(ans.kind) == ErrorCode::no_majority && quorum_heard(now))
    return propose(item.id, std::move(item.change), now, out);
  Reply reply;
  reply.id = item.id;
  reply.change = item.change.id;
  reply.outcome.type = static_cast<Outcome::Type>(ans.type);
  reply.outcome.error.code = static_cast<ErrorCode>(ans.kind);
  reply.outcome.error.what = ans.why;
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

void Node::settle_handed(Micros now, NodeEffects& out) {
  for (std::vector<Reply>::iterator it = out.replies.begin(); it != out.replies.end();) {
    std::map<std::uint64_t, Asked>::iterator const who = asked_by_.find(it->id);
    if (who == asked_by_.end()) {
      ++it;
      continue;
    }
    Outcome const& outcome = it->outcome;
    wire::ForwardedChangeReplyT ans;
    ans.request_id = who->second.request_id;
    ans.type = static_cast<std::uint8_t>(outcome.type);
    ans.kind = static_cast<std::uint8_t>(outcome.error.code);
    ans.why = outcome.error.what;
    ans.serial = outcome.serial;
    // Changes get round by themselves; a reading brings the value, unless the asker holds it already.
    bool const read = outcome.type == Outcome::Type::kept;
    if (read) ans.revision = outcome.value.revision;
    if (read && who->second.revision < outcome.value.revision)
      ans.value = std::make_unique<wire::ValueT>(outcome.value);
    mesh.send(who->second.from, std::move(ans), out.mesh);
    asked_by_.erase(who);
    it = out.replies.erase(it);
  }
  for (std::map<std::uint64_t, Handed>::iterator it = handed_.begin(); it != handed_.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    Handed item = std::move(it->second);
    it = handed_.erase(it);
    // Whoever was asked may have proposed it: without a quorum's word nobody can say that nothing was changed.
    item.change.proposed_elsewhere = item.change.type == Change::Type::apply;
    propose(item.id, std::move(item.change), now, out);
  }
}

}  // namespace pipit
