#include "node/change_forwarder.h"

#include <memory>
#include <utility>
#include <vector>

#include "consensus/register/text_patch.h"

namespace pipit {

namespace {
constexpr Micros answer_within = millis(600);
constexpr std::uint64_t requested_mark = 1ull << 63;  // ids of changes proposed for other nodes

bool may_be_forwarded(Change::Type type) { return type == Change::Type::apply || type == Change::Type::read; }

// The message that forwards a change, without its text.
wire::ForwardedChangeT message_of(std::uint64_t request_id, Change const& change, std::uint64_t revision) {
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

// A node that hears no quorum may still hear a router that does: each change goes to the next one in turn.
std::string ChangeForwarder::next_relaying_peer() {
  std::vector<std::string> peers;
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
    bool const here = item.second.connection != 0 && item.second.state() == State::alive;
    if (here && !item.second.member.replica) peers.push_back(item.first);
  }
  if (peers.empty()) return "";
  return peers[relay_turn_++ % peers.size()];
}

bool ChangeForwarder::forward_change(std::uint64_t id, Change const& change, Micros now, NodeEffects& out) {
  if (!plan_.registered || id == 0 || (id & requested_mark) != 0) return false;
  if (!may_be_forwarded(change.type)) return false;
  std::string const to = directory_.hears_quorum(now) ? directory_.proposing_replica() : next_relaying_peer();
  if (to.empty() || to == plan_.name) return false;
  std::uint64_t const request_id = actions_.next_request_id();
  wire::ForwardedChangeT request = message_of(request_id, change, learner_.revision());
  put_text(change.text, request);
  if (!mesh_.send(to, std::move(request), out.mesh)) return false;
  forwarded_[request_id] = Forwarded{id, to, change, now + answer_within};
  return true;
}

// A text goes as a patch of what this node holds, which the replica most likely holds as well.
void ChangeForwarder::put_text(std::string const& text, wire::ForwardedChangeT& request) const {
  if (learner_.value && !text.empty())
    request.patch = make_text_patch(learner_.value->text, text);
  else
    request.text = text;
}

// The text that a request brings; nothing when the base of its patch is neither held here nor was just before.
std::optional<std::string> ChangeForwarder::text_of(wire::ForwardedChangeT const& request) const {
  if (!request.patch) return request.text;
  for (std::optional<wire::ValueT> const* const base : {&learner_.value, &learner_.previous_value}) {
    if (!*base || (*base)->revision != request.revision) continue;
    if (std::optional<std::string> text = apply_text_patch((*base)->text, *request.patch)) return text;
  }
  return std::nullopt;
}

void ChangeForwarder::take_change(std::string const& from, wire::ForwardedChangeT const& request, Micros now,
                                  NodeEffects& out) {
  if (request.type != static_cast<std::uint8_t>(Change::Type::apply) &&
      request.type != static_cast<std::uint8_t>(Change::Type::read))
    return;
  std::optional<std::string> text = text_of(request);
  if (!text) return ask_for_text(from, request.request_id, out);
  Change change;
  change.type = static_cast<Change::Type>(request.type);
  change.id = request.id;
  change.text = std::move(*text);
  change.expected = request.expected;
  change.label = request.label;
  std::uint64_t const id = requested_mark | actions_.next_request_id();
  requesters_[id] = Requester{from, request.request_id, request.revision};
  actions_.propose(id, std::move(change), now, out);
}

void ChangeForwarder::ask_for_text(std::string const& from, std::uint64_t request_id, NodeEffects& out) {
  wire::ForwardedChangeReplyT reply;
  reply.request_id = request_id;
  reply.need_text = true;
  mesh_.send(from, std::move(reply), out.mesh);
}

// The replica took nothing of a change whose text it could not make out: it is sent again, with all of its text.
void ChangeForwarder::send_text(std::string const& to, std::uint64_t request_id, Change const& change,
                                NodeEffects& out) {
  wire::ForwardedChangeT request = message_of(request_id, change, learner_.revision());
  request.text = change.text;
  mesh_.send(to, std::move(request), out.mesh);
}

void ChangeForwarder::take_reply(std::string const& from, wire::ForwardedChangeReplyT const& reply, Micros now,
                                 NodeEffects& out) {
  std::map<std::uint64_t, Forwarded>::iterator const position = forwarded_.find(reply.request_id);
  if (position == forwarded_.end() || position->second.proposer != from) return;
  if (reply.type > static_cast<std::uint8_t>(Outcome::Type::unknown) || reply.kind >= error_code_count()) return;
  if (reply.need_text) return send_text(from, reply.request_id, position->second.change, out);
  Forwarded item = std::move(position->second);
  forwarded_.erase(position);
  // A replica that is cut off proposed nothing; this node may still hear a quorum.
  if (static_cast<ErrorCode>(reply.kind) == ErrorCode::no_majority && directory_.hears_quorum(now))
    return actions_.propose(item.id, std::move(item.change), now, out);
  Reply answer = reply_to_caller(item, reply, now, out);
  out.replies.push_back(std::move(answer));
}

Reply ChangeForwarder::reply_to_caller(Forwarded const& item, wire::ForwardedChangeReplyT const& reply, Micros now,
                                       NodeEffects& out) {
  Reply answer;
  answer.id = item.id;
  answer.change = item.change.id;
  answer.outcome.type = static_cast<Outcome::Type>(reply.type);
  answer.outcome.error.code = static_cast<ErrorCode>(reply.kind);
  answer.outcome.error.what = reply.why;
  answer.outcome.serial = reply.serial;
  // What a majority chose is known here too from now on.
  if (reply.value) actions_.adopt_value(*reply.value, now, out);
  // An answer without a value says that this node holds it, or by now a newer one that was chosen as well.
  if (reply.value)
    answer.outcome.value = *reply.value;
  else if (reply.revision > 0 && learner_.revision() >= reply.revision)
    answer.outcome.value = *learner_.value;
  return answer;
}

void ChangeForwarder::advance(Micros now, NodeEffects& out) {
  answer_requesters(out);
  propose_overdue(now, out);
}

void ChangeForwarder::answer_requesters(NodeEffects& out) {
  for (std::vector<Reply>::iterator it = out.replies.begin(); it != out.replies.end();) {
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
  // Changes get round by themselves; a reading brings the value, unless the requester holds it already.
  bool const read = outcome.type == Outcome::Type::unchanged;
  if (read) reply.revision = outcome.value.revision;
  if (read && requester.revision < outcome.value.revision) reply.value = std::make_unique<wire::ValueT>(outcome.value);
  mesh_.send(requester.name, std::move(reply), out.mesh);
}

void ChangeForwarder::propose_overdue(Micros now, NodeEffects& out) {
  for (std::map<std::uint64_t, Forwarded>::iterator it = forwarded_.begin(); it != forwarded_.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    Forwarded item = std::move(it->second);
    it = forwarded_.erase(it);
    // Whoever was asked may have proposed it: without a quorum's word nobody can say that nothing was changed.
    item.change.proposed_elsewhere = item.change.type == Change::Type::apply;
    actions_.propose(item.id, std::move(item.change), now, out);
  }
}

}  // namespace pipit
