// Compiled with -fno-access-control, since a fingerprint must cover the private members of the product's classes, which
// then need no interface for the model checker alone. Static assertions on the sizes of the classes fail when a member
// is added, so that it is not forgotten here.
#include "testing/register_model_checker/register_view.h"

#include <cstdio>

#include "consensus/register/membership.h"
#include "consensus/register/orders.h"

namespace pipit::register_checker {

namespace {

// Fingerprints omit members that do not change what a node does in a world: a record's quota_members, which no world
// sets, the name and options of a proposer, random numbers, deadlines and times, since the model checker lets a timer
// expire at any time, and a learner's quorum_revision_, which only affects times.
#if defined(__x86_64__) && defined(__GLIBCXX__) && !defined(_GLIBCXX_DEBUG)
constexpr std::size_t proposer_size = 1448;
constexpr std::size_t learner_size = 992;
constexpr std::size_t acceptor_size = 432;
static_assert(sizeof(Proposer) == proposer_size,
              "a member of Proposer changed: see fingerprint_of, has_pending_timer and is_stale");
static_assert(sizeof(Learner) == learner_size, "a member of Learner changed: see fingerprint_of and is_stale");
static_assert(sizeof(Acceptor) == acceptor_size, "a member of Acceptor changed: see fingerprint_of");
#endif

using Replicas = std::vector<std::unique_ptr<wire::ReplicaT>>;

void add(Fingerprint& out, wire::Ballot const& ballot) {
  out.add_number(ballot.n());
  out.add_number(ballot.who());
}

Fingerprint fingerprint_of(wire::ReplicaT const& replica, Symmetry const& symmetry) {
  Fingerprint out(symmetry);
  out.add_name(symmetry, replica.name);
  out.add_disk(symmetry, replica.disk);
  return out;
}

void add(Fingerprint& out, Replicas const& replicas, Symmetry const& symmetry) {
  Fingerprint set(symmetry);
  for (std::unique_ptr<wire::ReplicaT> const& item : replicas) set.add_unordered(fingerprint_of(*item, symmetry));
  out.add_part(set);
}

// The hash of the table's serialized bytes, so that a field that is added to the schema is covered.
template <class Table>
std::uint64_t table_hash(Table const& table) {
  flatbuffers::FlatBufferBuilder builder(1024);
  builder.Finish(Table::TableType::Pack(builder, &table));
  return hash_text(std::string_view(reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize()));
}

void add(Fingerprint& out, wire::ValueT const& value, Symmetry const& symmetry) {
  wire::ValueT rest = value;
  add(out, rest.replicas, symmetry);
  add(out, rest.former, symmetry);
  rest.replicas.clear();
  rest.former.clear();
  out.add_number(table_hash(rest));
}

template <class Value>
void add_optional(Fingerprint& out, Value const& value, Symmetry const& symmetry) {
  out.add_number(value ? 1 : 0);
  if (value) add(out, *value, symmetry);
}

void add(Fingerprint& out, wire::RecordT const& record, Symmetry const& symmetry) {
  out.add_name(symmetry, record.name);
  out.add_disk(symmetry, record.disk);
  out.add_number(record.formed ? 1 : 0);
  add(out, record.promised);
  add(out, record.accepted);
  add_optional(out, record.value, symmetry);
}

void add(Fingerprint& out, std::vector<wire::ReplicaT> const& replicas, Symmetry const& symmetry) {
  Fingerprint set(symmetry);
  for (wire::ReplicaT const& item : replicas) set.add_unordered(fingerprint_of(item, symmetry));
  out.add_part(set);
}

void add(Fingerprint& out, Membership const& members, Symmetry const& symmetry) {
  out.add_number(members.epoch);
  add(out, members.replicas, symmetry);
  add(out, members.former, symmetry);
}

void add(Fingerprint& out, Voters const& voters, Symmetry const& symmetry) {
  Fingerprint set(symmetry);
  for (std::pair<std::string const, std::uint64_t> const& voter : voters) {
    Fingerprint entry(symmetry);
    entry.add_name(symmetry, voter.first);
    entry.add_disk(symmetry, voter.second);
    set.add_unordered(entry);
  }
  out.add_part(set);
}

}  // namespace

Fingerprint fingerprint_of(wire::RecordT const& record, Symmetry const& symmetry) {
  Fingerprint out(symmetry);
  add(out, record, symmetry);
  return out;
}

Fingerprint fingerprint_of(wire::BodyUnion const& body, Symmetry const& symmetry) {
  Fingerprint out(symmetry);
  out.add_number(static_cast<std::uint64_t>(body.type));
  if (wire::PrepareT const* const request = body.AsPrepare()) {
    out.add_number(table_hash(*request));
  } else if (wire::PromiseT const* const reply = body.AsPromise()) {
    wire::PromiseT rest = *reply;
    add_optional(out, rest.value, symmetry);
    rest.value.reset();
    out.add_disk(symmetry, rest.disk);
    rest.disk = 0;
    out.add_number(table_hash(rest));
  } else if (wire::AcceptT const* const request = body.AsAccept()) {
    wire::AcceptT rest = *request;
    add_optional(out, rest.value, symmetry);
    rest.value.reset();
    out.add_number(table_hash(rest));
  } else if (wire::AcceptedT const* const reply = body.AsAccepted()) {
    wire::AcceptedT rest = *reply;
    out.add_disk(symmetry, rest.disk);
    rest.disk = 0;
    out.add_number(table_hash(rest));
  } else if (wire::ReadRequestT const* const request = body.AsReadRequest()) {
    out.add_number(table_hash(*request));
  } else if (wire::ReadReplyT const* const reply = body.AsReadReply()) {
    wire::ReadReplyT rest = *reply;
    add_optional(out, rest.value, symmetry);
    rest.value.reset();
    add(out, rest.replicas, symmetry);
    add(out, rest.former, symmetry);
    rest.replicas.clear();
    rest.former.clear();
    out.add_disk(symmetry, rest.disk);
    rest.disk = 0;
    out.add_number(table_hash(rest));
  } else if (wire::ChosenT const* const update = body.AsChosen()) {
    wire::ChosenT rest = *update;
    add_optional(out, rest.value, symmetry);
    rest.value.reset();
    out.add_number(table_hash(rest));
  }
  return out;
}

Fingerprint fingerprint_of(Acceptor const& acceptor, Symmetry const& symmetry) {
  Fingerprint out(symmetry);
  add(out, acceptor.state_, symmetry);
  add(out, acceptor.durable_state_, symmetry);
  out.add_number(acceptor.sync_in_progress_ ? 1 : 0);
  out.add_number(acceptor.record_update_pending_ ? 1 : 0);
  for (std::pair<std::string, wire::BodyUnion> const& item : acceptor.requests_) {
    out.add_name(symmetry, item.first);
    out.add_part(fingerprint_of(item.second, symmetry));
  }
  out.add_number(acceptor.requests_.size());
  for (OutgoingMessage const& item : acceptor.unsynced_replies_) {
    out.add_name(symmetry, item.to);
    out.add_part(fingerprint_of(item.body, symmetry));
  }
  return out;
}

Fingerprint fingerprint_of(Proposer const& proposer, Symmetry const& symmetry) {
  Fingerprint out(symmetry);
  out.add_number(proposer.proposer_id_);
  add(out, proposer.chosen_membership_, symmetry);
  add(out, proposer.suggested_membership_, symmetry);
  add(out, proposer.membership_, symmetry);
  out.add_number(proposer.chosen_joint_fingerprint_);
  for (Proposer::PendingChange const& pending : proposer.pending_) {
    out.add_text(pending.change.id);
    out.add_number(static_cast<std::uint64_t>(pending.change.type));
    out.add_number(pending.change.expected);
    out.add_number(pending.accept_sent ? 1 : 0);
    out.add_number(pending.sent_serial);
    out.add_number(pending.joint_fingerprint);
  }
  out.add_number(proposer.pending_.size());
  out.add_number(static_cast<std::uint64_t>(proposer.phase_));
  out.add_number(proposer.request_id_);
  out.add_number(proposer.highest_ballot_number_);
  add(out, proposer.ballot_);
  add(out, proposer.cached_ballot_);
  add_optional(out, proposer.cached_value_, symmetry);
  if (proposer.phase_ == Proposer::Phase::prepare || proposer.phase_ == Proposer::Phase::accept) {
    Fingerprint promises(symmetry);
    for (std::pair<std::string const, Proposer::ReceivedPromise> const& item : proposer.promises_) {
      Fingerprint entry(symmetry);
      entry.add_name(symmetry, item.first);
      entry.add_disk(symmetry, item.second.disk);
      add(entry, item.second.accepted);
      promises.add_unordered(entry);
    }
    out.add_part(promises);
    add(out, proposer.highest_accepted_ballot_);
    add_optional(out, proposer.highest_accepted_value_, symmetry);
  }
  if (proposer.phase_ == Proposer::Phase::accept) {
    add(out, proposer.accepted_by_, symmetry);
    add(out, proposer.draft_, symmetry);
    out.add_number(static_cast<std::uint64_t>(proposer.draft_type_));
    out.add_number(proposer.order_applied_ ? 1 : 0);
    out.add_number(proposer.rejection_ ? 1 : 0);
  }
  return out;
}

Fingerprint fingerprint_of(Learner const& learner, Symmetry const& symmetry) {
  Fingerprint out(symmetry);
  add(out, learner.membership_, symmetry);
  add(out, learner.newest_seen_membership_, symmetry);
  add(out, learner.bootstrap_membership_, symmetry);
  add_optional(out, learner.value, symmetry);
  out.add_number(learner.request_id_);
  Fingerprint memberships(symmetry);
  for (std::pair<std::uint64_t const, Membership> const& item : learner.poll_memberships_) {
    Fingerprint entry(symmetry);
    add(entry, item.second, symmetry);
    memberships.add_unordered(entry);
  }
  out.add_part(memberships);
  Fingerprint replies(symmetry);
  for (std::pair<std::string const, Learner::PollReply> const& item : learner.poll_replies_) {
    Fingerprint entry(symmetry);
    entry.add_name(symmetry, item.first);
    entry.add_disk(symmetry, item.second.disk);
    add(entry, item.second.ballot);
    entry.add_number(item.second.revision);
    entry.add_number(item.second.members);
    replies.add_unordered(entry);
  }
  out.add_part(replies);
  out.add_number(learner.fetch_ ? 1 : 0);
  if (learner.fetch_) {
    out.add_number(learner.fetch_->request_id);
    add(out, learner.fetch_->ballot);
  }
  return out;
}

bool has_pending_timer(Proposer const& proposer) { return proposer.phase_ != Proposer::Phase::idle; }

bool is_stale(Proposer const& proposer, wire::BodyUnion const& body) {
  if (wire::PromiseT const* const reply = body.AsPromise())
    return proposer.phase_ != Proposer::Phase::prepare || reply->request_id != proposer.request_id_;
  if (wire::AcceptedT const* const reply = body.AsAccepted())
    return reply->request_id != proposer.request_id_ ||
           (proposer.phase_ != Proposer::Phase::accept && proposer.phase_ != Proposer::Phase::prepare);
  return false;
}

bool is_stale(Learner const& learner, wire::BodyUnion const& body) {
  wire::ReadReplyT const* const reply = body.AsReadReply();
  if (reply == nullptr) return false;
  if (reply->value) return !learner.fetch_ || reply->request_id != learner.fetch_->request_id;
  return reply->request_id != learner.request_id_;
}

void adopt_learned_membership(Proposer& proposer, Learner const& learner) {
  proposer.adopt_membership(learner.membership());
}

void adopt_initial_value(Proposer& proposer, Learner& learner, wire::ValueT const& value) {
  learner.adopt(value, 0);
  adopt_learned_membership(proposer, learner);
}

std::uint64_t content_hash(wire::ValueT const& value) {
  wire::ValueT rest = value;
  rest.replicas.clear();
  rest.former.clear();
  return hash_bits(table_hash(rest) + membership_hash(value));
}

std::uint64_t membership_hash(wire::ValueT const& value) {
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
  std::size_t present = 0;
  for (std::unique_ptr<wire::ReplicaT> const& item : replicas)
    if (disks[static_cast<std::size_t>(replica_index(item->name))] == item->disk) ++present;
  return present >= replicas.size() / 2 + 1;
}
}  // namespace

bool is_quorum(wire::ValueT const& value, std::vector<std::uint64_t> const& disks) {
  return is_majority(value.replicas, disks) && (value.former.empty() || is_majority(value.former, disks));
}

wire::ValueT initial_value(std::vector<std::size_t> const& members) {
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

wire::ValueT const& proposed_value(Proposer const& proposer) { return proposer.draft_; }

std::string describe(wire::Ballot const& ballot) {
  char text[40];
  std::snprintf(text, sizeof text, "%llu.%03llx", static_cast<unsigned long long>(ballot.n()),
                static_cast<unsigned long long>(ballot.who() & 0xfff));
  return text;
}

std::string describe(wire::ValueT const& value) {
  std::string out = "serial " + std::to_string(value.serial) + " '" + value.text + "' revision " +
                    std::to_string(value.revision) + " epoch " + std::to_string(value.epoch) + " of";
  for (std::unique_ptr<wire::ReplicaT> const& item : value.replicas) out += " " + item->name;
  if (!value.former.empty()) out += " after";
  for (std::unique_ptr<wire::ReplicaT> const& item : value.former) out += " " + item->name;
  return out;
}

std::uint64_t ballot_number_of(wire::BodyUnion const& body) {
  if (wire::PrepareT const* const request = body.AsPrepare()) return request->ballot.n();
  if (wire::AcceptT const* const request = body.AsAccept()) return request->ballot.n();
  return 0;
}

std::string describe(wire::BodyUnion const& body) {
  if (wire::PrepareT const* const request = body.AsPrepare()) return "ballot " + describe(request->ballot);
  if (wire::PromiseT const* const reply = body.AsPromise()) {
    std::string out = std::string(reply->ok ? "yes" : "no") + ", promised " + describe(reply->promised);
    if (reply->ok && reply->value) out += ", holds " + describe(reply->accepted) + " " + describe(*reply->value);
    return out;
  }
  if (wire::AcceptT const* const request = body.AsAccept())
    return "ballot " + describe(request->ballot) + " " + (request->value ? describe(*request->value) : "a patch");
  if (wire::AcceptedT const* const reply = body.AsAccepted())
    return std::string(reply->ok           ? "yes"
                       : reply->need_value ? "needs the full value"
                                           : "no") +
           ", promised " + describe(reply->promised);
  if (wire::ReadRequestT const* const request = body.AsReadRequest())
    return request->full ? "full" : "ballot and revision";
  if (wire::ReadReplyT const* const reply = body.AsReadReply())
    return describe(reply->ballot) + " epoch " + std::to_string(reply->epoch) + (reply->value ? " with its value" : "");
  if (wire::ChosenT const* const update = body.AsChosen()) return update->value ? describe(*update->value) : "a patch";
  return "";
}

}  // namespace pipit::register_checker
