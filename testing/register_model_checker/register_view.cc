// Compiled with -fno-access-control: the hash of a state has to see all of it, and the product's classes need no
// interface that only a proof would use. The sizes are held fast so that a new member is not forgotten here.
#include "testing/register_model_checker/register_view.h"

#include <cstdio>

#include "consensus/register/membership.h"
#include "consensus/register/orders.h"

namespace pipit::register_checker {

namespace {

// Members that neither say nor decide anything: a record's quota_members, which no world of the checker notes, name,
// plan, and the random numbers and times of pauses, since the checker lets each timer end whenever it likes.
#if defined(__x86_64__) && defined(__GLIBCXX__) && !defined(_GLIBCXX_DEBUG)
constexpr std::size_t proposer_size = 1448;
constexpr std::size_t learner_size = 992;
constexpr std::size_t acceptor_size = 432;
static_assert(sizeof(Proposer) == proposer_size, "a member of Proposer changed: see print_of, has_timer and is_late");
static_assert(sizeof(Learner) == learner_size, "a member of Learner changed: see print_of and is_late");
static_assert(sizeof(Acceptor) == acceptor_size, "a member of Acceptor changed: see print_of");
#endif

using Replicas = std::vector<std::unique_ptr<wire::ReplicaT>>;

void add(Print& out, wire::Ballot const& ballot) {
  out.number(ballot.n());
  out.number(ballot.who());
}

Print print_of(wire::ReplicaT const& replica, Symmetry const& symmetry) {
  Print out(symmetry);
  out.name(symmetry, replica.name);
  out.disk(symmetry, replica.disk);
  return out;
}

void add(Print& out, Replicas const& replicas, Symmetry const& symmetry) {
  Print set(symmetry);
  for (std::unique_ptr<wire::ReplicaT> const& item : replicas) set.member(print_of(*item, symmetry));
  out.part(set);
}

// The bytes of a table: each field counts, also one that the schema gains later.
template <class Table>
std::uint64_t hash_of_table(Table const& table) {
  flatbuffers::FlatBufferBuilder builder(1024);
  builder.Finish(Table::TableType::Pack(builder, &table));
  return hash_text(std::string_view(reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize()));
}

void add(Print& out, wire::ValueT const& value, Symmetry const& symmetry) {
  wire::ValueT rest = value;
  add(out, rest.replicas, symmetry);
  add(out, rest.former, symmetry);
  rest.replicas.clear();
  rest.former.clear();
  out.number(hash_of_table(rest));
}

template <class Value>
void add_optional(Print& out, Value const& value, Symmetry const& symmetry) {
  out.number(value ? 1 : 0);
  if (value) add(out, *value, symmetry);
}

void add(Print& out, wire::RecordT const& record, Symmetry const& symmetry) {
  out.name(symmetry, record.name);
  out.disk(symmetry, record.disk);
  out.number(record.formed ? 1 : 0);
  add(out, record.promised);
  add(out, record.accepted);
  add_optional(out, record.value, symmetry);
}

void add(Print& out, std::vector<wire::ReplicaT> const& replicas, Symmetry const& symmetry) {
  Print set(symmetry);
  for (wire::ReplicaT const& item : replicas) set.member(print_of(item, symmetry));
  out.part(set);
}

void add(Print& out, Membership const& members, Symmetry const& symmetry) {
  out.number(members.epoch);
  add(out, members.replicas, symmetry);
  add(out, members.former, symmetry);
}

void add(Print& out, Voters const& voters, Symmetry const& symmetry) {
  Print set(symmetry);
  for (std::pair<std::string const, std::uint64_t> const& voter : voters) {
    Print one(symmetry);
    one.name(symmetry, voter.first);
    one.disk(symmetry, voter.second);
    set.member(one);
  }
  out.part(set);
}

}  // namespace

Print print_of(wire::RecordT const& record, Symmetry const& symmetry) {
  Print out(symmetry);
  add(out, record, symmetry);
  return out;
}

Print print_of(wire::BodyUnion const& body, Symmetry const& symmetry) {
  Print out(symmetry);
  out.number(static_cast<std::uint64_t>(body.type));
  if (wire::PrepareT const* const ask = body.AsPrepare()) {
    out.number(hash_of_table(*ask));
  } else if (wire::PromiseT const* const ans = body.AsPromise()) {
    wire::PromiseT rest = *ans;
    add_optional(out, rest.value, symmetry);
    rest.value.reset();
    out.disk(symmetry, rest.disk);
    rest.disk = 0;
    out.number(hash_of_table(rest));
  } else if (wire::AcceptT const* const ask = body.AsAccept()) {
    wire::AcceptT rest = *ask;
    add_optional(out, rest.value, symmetry);
    rest.value.reset();
    out.number(hash_of_table(rest));
  } else if (wire::AcceptedT const* const ans = body.AsAccepted()) {
    wire::AcceptedT rest = *ans;
    out.disk(symmetry, rest.disk);
    rest.disk = 0;
    out.number(hash_of_table(rest));
  } else if (wire::ReadRequestT const* const ask = body.AsReadRequest()) {
    out.number(hash_of_table(*ask));
  } else if (wire::ReadReplyT const* const ans = body.AsReadReply()) {
    wire::ReadReplyT rest = *ans;
    add_optional(out, rest.value, symmetry);
    rest.value.reset();
    add(out, rest.replicas, symmetry);
    add(out, rest.former, symmetry);
    rest.replicas.clear();
    rest.former.clear();
    out.disk(symmetry, rest.disk);
    rest.disk = 0;
    out.number(hash_of_table(rest));
  } else if (wire::ChosenT const* const update = body.AsChosen()) {
    wire::ChosenT rest = *update;
    add_optional(out, rest.value, symmetry);
    rest.value.reset();
    out.number(hash_of_table(rest));
  }
  return out;
}

Print print_of(Acceptor const& acceptor, Symmetry const& symmetry) {
  Print out(symmetry);
  add(out, acceptor.state_, symmetry);
  add(out, acceptor.durable_state_, symmetry);
  out.number(acceptor.sync_in_progress_ ? 1 : 0);
  out.number(acceptor.record_update_pending_ ? 1 : 0);
  for (std::pair<std::string, wire::BodyUnion> const& item : acceptor.requests_) {
    out.name(symmetry, item.first);
    out.part(print_of(item.second, symmetry));
  }
  out.number(acceptor.requests_.size());
  for (OutgoingMessage const& item : acceptor.unsynced_replies_) {
    out.name(symmetry, item.to);
    out.part(print_of(item.body, symmetry));
  }
  return out;
}

Print print_of(Proposer const& proposer, Symmetry const& symmetry) {
  Print out(symmetry);
  out.number(proposer.proposer_id_);
  add(out, proposer.chosen_membership_, symmetry);
  add(out, proposer.suggested_membership_, symmetry);
  add(out, proposer.membership_, symmetry);
  out.number(proposer.chosen_joint_fingerprint_);
  for (Proposer::PendingChange const& pending : proposer.pending_) {
    out.text(pending.change.id);
    out.number(static_cast<std::uint64_t>(pending.change.type));
    out.number(pending.change.expected);
    out.number(pending.accept_sent ? 1 : 0);
    out.number(pending.sent_serial);
    out.number(pending.joint_fingerprint);
  }
  out.number(proposer.pending_.size());
  out.number(static_cast<std::uint64_t>(proposer.phase_));
  out.number(proposer.request_id_);
  out.number(proposer.highest_ballot_number_);
  add(out, proposer.ballot_);
  add(out, proposer.cached_ballot_);
  add_optional(out, proposer.cached_value_, symmetry);
  if (proposer.phase_ == Proposer::Phase::prepare || proposer.phase_ == Proposer::Phase::accept) {
    Print promises(symmetry);
    for (std::pair<std::string const, Proposer::ReceivedPromise> const& item : proposer.promises_) {
      Print one(symmetry);
      one.name(symmetry, item.first);
      one.disk(symmetry, item.second.disk);
      add(one, item.second.accepted);
      promises.member(one);
    }
    out.part(promises);
    add(out, proposer.highest_accepted_ballot_);
    add_optional(out, proposer.highest_accepted_value_, symmetry);
  }
  if (proposer.phase_ == Proposer::Phase::accept) {
    add(out, proposer.accepted_by_, symmetry);
    add(out, proposer.draft_, symmetry);
    out.number(static_cast<std::uint64_t>(proposer.draft_type_));
    out.number(proposer.order_applied_ ? 1 : 0);
    out.number(proposer.rejection_ ? 1 : 0);
  }
  return out;
}

Print print_of(Learner const& learner, Symmetry const& symmetry) {
  Print out(symmetry);
  add(out, learner.membership_, symmetry);
  add(out, learner.newest_seen_membership_, symmetry);
  add(out, learner.bootstrap_membership_, symmetry);
  add_optional(out, learner.value, symmetry);
  out.number(learner.request_id_);
  Print memberships(symmetry);
  for (std::pair<std::uint64_t const, Membership> const& item : learner.poll_memberships_) {
    Print one(symmetry);
    add(one, item.second, symmetry);
    memberships.member(one);
  }
  out.part(memberships);
  Print replies(symmetry);
  for (std::pair<std::string const, Learner::PollReply> const& item : learner.poll_replies_) {
    Print one(symmetry);
    one.name(symmetry, item.first);
    one.disk(symmetry, item.second.disk);
    add(one, item.second.ballot);
    one.number(item.second.revision);
    one.number(item.second.members);
    replies.member(one);
  }
  out.part(replies);
  out.number(learner.fetch_ ? 1 : 0);
  if (learner.fetch_) {
    out.number(learner.fetch_->request_id);
    add(out, learner.fetch_->ballot);
  }
  return out;
}

bool has_timer(Proposer const& proposer) { return proposer.phase_ != Proposer::Phase::idle; }

bool is_late(Proposer const& proposer, wire::BodyUnion const& body) {
  if (wire::PromiseT const* const ans = body.AsPromise())
    return proposer.phase_ != Proposer::Phase::prepare || ans->request_id != proposer.request_id_;
  if (wire::AcceptedT const* const ans = body.AsAccepted())
    return ans->request_id != proposer.request_id_ ||
           (proposer.phase_ != Proposer::Phase::accept && proposer.phase_ != Proposer::Phase::prepare);
  return false;
}

bool is_late(Learner const& learner, wire::BodyUnion const& body) {
  wire::ReadReplyT const* const ans = body.AsReadReply();
  if (ans == nullptr) return false;
  if (ans->value) return !learner.fetch_ || ans->request_id != learner.fetch_->request_id;
  return ans->request_id != learner.request_id_;
}

void tell_members(Proposer& proposer, Learner const& learner) { proposer.adopt_membership(learner.membership()); }

void start_with(Proposer& proposer, Learner& learner, wire::ValueT const& value) {
  learner.adopt(value, 0);
  tell_members(proposer, learner);
}

std::uint64_t content_of(wire::ValueT const& value) {
  wire::ValueT rest = value;
  rest.replicas.clear();
  rest.former.clear();
  return hash_bits(hash_of_table(rest) + members_of(value));
}

std::uint64_t members_of(wire::ValueT const& value) {
  std::uint64_t out = 0;
  for (std::unique_ptr<wire::ReplicaT> const& item : value.replicas)
    out += hash_bits(hash_text(item->name) ^ item->disk);
  for (std::unique_ptr<wire::ReplicaT> const& item : value.former) out += hash_bits(hash_text(item->name) + item->disk);
  return out;
}

std::uint64_t serial_of_change(wire::ValueT const& value, std::string const& id) {
  return Proposer::serial_of(value, id);
}

std::uint64_t revision_of(wire::ValueT const& value) { return value.revision; }

namespace {
bool is_majority(Replicas const& replicas, std::vector<std::uint64_t> const& disks) {
  std::size_t here = 0;
  for (std::unique_ptr<wire::ReplicaT> const& item : replicas)
    if (disks[static_cast<std::size_t>(replica_index(item->name))] == item->disk) ++here;
  return here >= replicas.size() / 2 + 1;
}
}  // namespace

bool is_quorum(wire::ValueT const& value, std::vector<std::uint64_t> const& disks) {
  return is_majority(value.replicas, disks) && (value.former.empty() || is_majority(value.former, disks));
}

wire::ValueT first_value(std::vector<std::size_t> const& members) {
  wire::ValueT out;
  out.serial = 1;
  out.revision = 1;
  out.epoch = 2;
  out.change = "first";
  out.text = "first";
  for (std::size_t const index : members) {
    std::unique_ptr<wire::ReplicaT> replica = std::make_unique<wire::ReplicaT>();
    replica->name = replica_name(index);
    replica->disk = (index + 1) * disks_per_replica;
    out.replicas.push_back(std::move(replica));
  }
  remember_order(out, out.change);
  return out;
}

wire::ValueT const& draft_of(Proposer const& proposer) { return proposer.draft_; }

std::string words_of(wire::Ballot const& ballot) {
  char text[40];
  std::snprintf(text, sizeof text, "%llu.%03llx", static_cast<unsigned long long>(ballot.n()),
                static_cast<unsigned long long>(ballot.who() & 0xfff));
  return text;
}

std::string words_of(wire::ValueT const& value) {
  std::string out = "serial " + std::to_string(value.serial) + " '" + value.text + "' revision " +
                    std::to_string(value.revision) + " epoch " + std::to_string(value.epoch) + " of";
  for (std::unique_ptr<wire::ReplicaT> const& item : value.replicas) out += " " + item->name;
  if (!value.former.empty()) out += " after";
  for (std::unique_ptr<wire::ReplicaT> const& item : value.former) out += " " + item->name;
  return out;
}

std::uint64_t round_of(wire::BodyUnion const& body) {
  if (wire::PrepareT const* const ask = body.AsPrepare()) return ask->ballot.n();
  if (wire::AcceptT const* const ask = body.AsAccept()) return ask->ballot.n();
  return 0;
}

std::string words_of(wire::BodyUnion const& body) {
  if (wire::PrepareT const* const ask = body.AsPrepare()) return "ballot " + words_of(ask->ballot);
  if (wire::PromiseT const* const ans = body.AsPromise()) {
    std::string out = std::string(ans->ok ? "yes" : "no") + ", promised " + words_of(ans->promised);
    if (ans->ok && ans->value) out += ", holds " + words_of(ans->accepted) + " " + words_of(*ans->value);
    return out;
  }
  if (wire::AcceptT const* const ask = body.AsAccept())
    return "ballot " + words_of(ask->ballot) + " " + (ask->value ? words_of(*ask->value) : "a patch");
  if (wire::AcceptedT const* const ans = body.AsAccepted())
    return std::string(ans->ok           ? "yes"
                       : ans->need_value ? "asks for the whole value"
                                         : "no") +
           ", promised " + words_of(ans->promised);
  if (wire::ReadRequestT const* const ask = body.AsReadRequest()) return ask->full ? "whole" : "marks";
  if (wire::ReadReplyT const* const ans = body.AsReadReply())
    return words_of(ans->ballot) + " epoch " + std::to_string(ans->epoch) + (ans->value ? " with its value" : "");
  if (wire::ChosenT const* const update = body.AsChosen()) return update->value ? words_of(*update->value) : "a patch";
  return "";
}

}  // namespace pipit::register_checker
