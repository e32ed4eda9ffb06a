#include "node/change_forwarder.h"

#include <memory>
#include <utility>
#include <vector>

#include "consensus/register/text_patch.h"
#include "node/change_times.h"

namespace pipit {

namespace {
constexpr std::uint64_t forwarded_id_flag = 1ull << 63;  // set in the ids of changes proposed for other nodes

bool is_forwardable(Change::Type type) { return type == Change::Type::apply || type == Change::Type::read; }

// Builds the message that forwards a change, without the change's text.
wire::ForwardedChangeT make_message(std::uint64_t request_id, Change const& change, std::uint64_t revision) {
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

ChangeForwarder::ChangeForwarder(NodePlan const& plan, Mesh& mesh, Learner const& learner,
                                 ReplicaDirectory const& directory, Actions actions)
    : plan_(plan), mesh_(mesh), learner_(learner), directory_(directory), actions_(std::move(actions)) {}

// A node without contact to a quorum may still reach a router that has it. Changes go to these routers in turn.
std::string ChangeForwarder::next_relay_peer() {
  std::vector<std::string> peers;
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
    bool const here = item.second.connection != 0 && item.second.state() == MemberState::alive;
    if (here && !item.second.member.replica) peers.push_back(item.first);
  }
  if (peers.empty()) return "";
  return peers[relay_rotation_++ % peers.size()];
}

bool ChangeForwarder::forward_change(std::uint64_t id, Change const& change, Micros now, NodeEffects& out) {
  if (!plan_.workers_self_register || id == 0 || (id & forwarded_id_flag) != 0) return false;
  if (!is_forwardable(change.type)) return false;
  std::string const to = directory_.has_quorum_contact(now) ? directory_.proposing_replica() : next_relay_peer();
  if (to.empty() || to == plan_.name) return false;
  std::uint64_t const request_id = actions_.next_request_id();
  wire::ForwardedChangeT request = make_message(request_id, change, learner_.revision());
  encode_text(change.text, request);
  if (!mesh_.send(to, std::move(request), out.mesh)) return false;
  pending_forwards_[request_id] = PendingForward{id, to, change, now, now + forward_timeout};
  return true;
}

// Encodes the text as a patch of the value that this node holds, since the replica most likely holds the same value.
void ChangeForwarder::encode_text(std::string const& text, wire::ForwardedChangeT& request) const {
  if (learner_.value && !text.empty())
    request.patch = make_text_patch(learner_.value->text, text);
  else
    request.text = text;
}

// Returns the text of a request; nothing when the base of its patch is neither the value held here nor the one before.
std::optional<std::string> ChangeForwarder::decode_text(wire::ForwardedChangeT const& request) const {
  if (!request.patch) return request.text;
  for (std::optional<wire::ValueT> const* const base : {&learner_.value, &learner_.previous_value}) {
    if (!*base || (*base)->revision != request.revision) continue;
    if (std::optional<std::string> text = apply_text_patch((*base)->text, *request.patch)) return text;
  }
  return std::nullopt;
}

void ChangeForwarder::handle_forwarded_change(std::string const& from, wire::ForwardedChangeT const& request,
                                              Micros now, NodeEffects& out) {
  if (request.type != static_cast<std::uint8_t>(Change::Type::apply) &&
      request.type != static_cast<std::uint8_t>(Change::Type::read))
    return;
  std::optional<std::string> text = decode_text(request);
  if (!text) return request_full_text(from, request.request_id, out);
  Change change;
  change.type = static_cast<Change::Type>(request.type);
  change.id = request.id;
  change.text = std::move(*text);
  change.expected = request.expected;
  change.label = request.label;
  std::uint64_t const id = forwarded_id_flag | actions_.next_request_id();
  requesters_[id] = Requester{from, request.request_id, request.revision};
  actions_.propose(id, std::move(change), now, out);
}

void ChangeForwarder::request_full_text(std::string const& from, std::uint64_t request_id, NodeEffects& out) {
  wire::ForwardedChangeReplyT reply;
  reply.request_id = request_id;
  reply.need_text = true;
  mesh_.send(from, std::move(reply), out.mesh);
}

// The replica dropped a change because it does not hold the base of the patch: the change is sent again with its full
// text, under the same request id.
void ChangeForwarder::send_full_text(std::string const& to, std::uint64_t request_id, Change const& change,
                                     NodeEffects& out) {
  wire::ForwardedChangeT request = make_message(request_id, change, learner_.revision());
  request.text = change.text;
  mesh_.send(to, std::move(request), out.mesh);
}

void ChangeForwarder::handle_reply(std::string const& from, wire::ForwardedChangeReplyT const& reply, Micros now,
                                   NodeEffects& out) {
  std::map<std::uint64_t, PendingForward>::iterator const position = pending_forwards_.find(reply.request_id);
  if (position == pending_forwards_.end() || position->second.proposer != from) return;
  if (reply.type > static_cast<std::uint8_t>(Outcome::Type::unknown) || reply.kind >= error_code_count()) return;
  if (reply.need_text) return send_full_text(from, reply.request_id, position->second.change, out);
  PendingForward item = std::move(position->second);
  pending_forwards_.erase(position);
  // A replica that is cut off from the quorum proposed nothing; this node may still have contact with a quorum.
  if (static_cast<ErrorCode>(reply.kind) == ErrorCode::no_majority && directory_.has_quorum_contact(now))
    return actions_.propose(item.id, std::move(item.change), now, out);
  ChangeReply answer = reply_to_caller(item, reply, now, out);
  out.replies.push_back(std::move(answer));
}

ChangeReply ChangeForwarder::reply_to_caller(PendingForward const& item, wire::ForwardedChangeReplyT const& reply,
                                             Micros now, NodeEffects& out) {
  ChangeReply answer;
  answer.id = item.id;
  answer.change_id = item.change.id;
  answer.outcome.type = static_cast<Outcome::Type>(reply.type);
  answer.outcome.error.code = static_cast<ErrorCode>(reply.kind);
  answer.outcome.error.what = reply.why;
  answer.outcome.serial = reply.serial;
  answer.outcome.stages = {reply.queued, reply.proposed, reply.spread, reply.rounds};
  answer.path = {item.proposer, now - item.forwarded_at, 0};
  // The value was chosen by a majority, so this node adopts it.
  if (reply.value) actions_.adopt_value(item.proposer, *reply.value, now, out);
  // A reply with a revision but no value means that this node holds that value, or by now a newer chosen one.
  if (reply.value)
    answer.outcome.value = *reply.value;
  else if (reply.revision > 0 && learner_.revision() >= reply.revision)
    answer.outcome.value = *learner_.value;
  return answer;
}

void ChangeForwarder::tick(Micros now, NodeEffects& out) {
  answer_requesters(out);
  propose_timed_out(now, out);
}

void ChangeForwarder::answer_requesters(NodeEffects& out) {
  for (std::vector<ChangeReply>::iterator it = out.replies.begin(); it != out.replies.end();) {
    std::map<std::uint64_t, Requester>::iterator const requester = requesters_.find(it->id);
    if (requester == requesters_.end()) {
      ++it;
      continue;
    }
    answer_requester(requester->second, it->outcome, out);
    requesters_.erase(requester);
    it = out.replies.erase(it);
  }
}

void ChangeForwarder::answer_requester(Requester const& requester, Outcome const& outcome, NodeEffects& out) {
  wire::ForwardedChangeReplyT reply;
  reply.request_id = requester.request_id;
  reply.type = static_cast<std::uint8_t>(outcome.type);
  reply.kind = static_cast<std::uint8_t>(outcome.error.code);
  reply.why = outcome.error.what;
  reply.serial = outcome.serial;
  reply.queued = outcome.stages.queued;
  reply.proposed = outcome.stages.proposed;
  reply.spread = outcome.stages.spread;
  reply.rounds = outcome.stages.rounds;
  // Chosen changes spread on their own; only a read returns the value, unless the requester holds it already.
  bool const read = outcome.type == Outcome::Type::unchanged;
  if (read) reply.revision = outcome.value.revision;
  if (read && requester.revision < outcome.value.revision) reply.value = std::make_unique<wire::ValueT>(outcome.value);
  mesh_.send(requester.name, std::move(reply), out.mesh);
}

void ChangeForwarder::propose_timed_out(Micros now, NodeEffects& out) {
  for (std::map<std::uint64_t, PendingForward>::iterator it = pending_forwards_.begin();
       it != pending_forwards_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    PendingForward item = std::move(it->second);
    it = pending_forwards_.erase(it);
    // The node that it was forwarded to may have proposed it: without an answer from a quorum a failure here does not
    // prove that the change was not applied.
    item.change.proposed_elsewhere = item.change.type == Change::Type::apply;
    item.change.forward_lost = now - item.forwarded_at;
    actions_.propose(item.id, std::move(item.change), now, out);
  }
}

}  // namespace pipit
