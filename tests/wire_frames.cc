// The encoding of frames stays compatible with the frames recorded by the program of commit 345c653
// (tests/data/frames.txt): each is decoded, every field has its recorded value, and encoding it again gives the same
// bytes.
#include <gtest/gtest.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "mesh/frame.h"

namespace pipit {

namespace {

// The number of items in each list of a recorded frame.
constexpr std::size_t list_size = 2;

// Checks the fields of a recorded frame against their expected values, depth first in the order of the field ids. All
// numbers and texts of a frame differ, so that swapped fields are detected. Flags have only two values: flag number i
// of each table is set in variant i of the frame.
class FieldChecks {
 public:
  explicit FieldChecks(unsigned variant_) : variant(variant_) {}

  void expect(wire::MemberT const& member) {
    EXPECT_EQ(member.name, text());
    EXPECT_EQ(member.address, text());
    EXPECT_EQ(member.http, text());
    EXPECT_EQ(member.role, number<std::uint8_t>());
    EXPECT_EQ(member.zone, text());
    EXPECT_EQ(member.incarnation, number<std::uint64_t>());
    EXPECT_EQ(member.bump, number<std::uint64_t>());
    EXPECT_EQ(member.state, number<std::uint8_t>());
    EXPECT_EQ(member.serial, number<std::uint64_t>());
    expect_texts(member.models);
    EXPECT_EQ(member.ready, flag(0));
    EXPECT_EQ(member.revision, number<std::uint64_t>());
    EXPECT_EQ(member.replica, flag(1));
  }

  void expect(wire::HelloT const& hello) {
    EXPECT_EQ(hello.cluster, text());
    expect_part(hello.self);
    EXPECT_EQ(hello.digest, number<std::uint64_t>());
    EXPECT_EQ(hello.entry_digest, number<std::uint64_t>());
    EXPECT_EQ(hello.format, number<std::uint32_t>());
    EXPECT_EQ(hello.members, number<std::uint32_t>());
    EXPECT_EQ(hello.entries, number<std::uint32_t>());
  }

  void expect(wire::PingT const& ping) {
    EXPECT_EQ(ping.seq, number<std::uint64_t>());
    expect_items(ping.table);
    EXPECT_EQ(ping.digest, number<std::uint64_t>());
    EXPECT_EQ(ping.entry_digest, number<std::uint64_t>());
    EXPECT_EQ(ping.revision, number<std::uint64_t>());
    EXPECT_EQ(ping.serial, number<std::uint64_t>());
    EXPECT_EQ(ping.ready, flag(0));
  }

  void expect(wire::PongT const& pong) {
    EXPECT_EQ(pong.seq, number<std::uint64_t>());
    expect_items(pong.table);
    EXPECT_EQ(pong.digest, number<std::uint64_t>());
    EXPECT_EQ(pong.entry_digest, number<std::uint64_t>());
    EXPECT_EQ(pong.revision, number<std::uint64_t>());
    EXPECT_EQ(pong.serial, number<std::uint64_t>());
    EXPECT_EQ(pong.ready, flag(0));
    EXPECT_EQ(pong.whole, flag(1));
  }

  void expect(wire::IndirectPingT const& indirect_ping) {
    EXPECT_EQ(indirect_ping.seq, number<std::uint64_t>());
    EXPECT_EQ(indirect_ping.target, text());
  }

  void expect(wire::IndirectPongT const& indirect_pong) {
    EXPECT_EQ(indirect_pong.seq, number<std::uint64_t>());
    EXPECT_EQ(indirect_pong.target, text());
    EXPECT_EQ(indirect_pong.ok, flag(0));
  }

  void expect(wire::MembershipUpdateT const& update) { expect_items(update.table); }

  void expect(wire::EntryT const& entry) {
    EXPECT_EQ(entry.key, text());
    EXPECT_EQ(entry.owner, text());
    EXPECT_EQ(entry.stamp, number<std::uint64_t>());
    EXPECT_EQ(entry.incarnation, number<std::uint64_t>());
    EXPECT_EQ(entry.address, text());
    EXPECT_EQ(entry.zone, text());
    EXPECT_EQ(entry.pool, text());
    EXPECT_EQ(entry.state, number<std::uint8_t>());
    EXPECT_EQ(entry.slots, number<std::uint32_t>());
  }

  void expect(wire::EntriesT const& entries) {
    EXPECT_EQ(entries.batch, number<std::uint64_t>());
    expect_items(entries.list);
  }

  void expect(wire::EntriesAckT const& entries_ack) { EXPECT_EQ(entries_ack.batch, number<std::uint64_t>()); }

  void expect(wire::DeltaT const& delta) {
    EXPECT_EQ(delta.base, number<std::uint64_t>());
    expect_numbers(delta.tail);
    EXPECT_EQ(delta.worker, text());
    EXPECT_EQ(delta.incarnation, number<std::uint64_t>());
    expect_numbers(delta.weights);
  }

  void expect(wire::DeltasT const& deltas) {
    EXPECT_EQ(deltas.model, text());
    expect_items(deltas.list);
    EXPECT_EQ(deltas.hops, number<std::uint8_t>());
  }

  void expect(wire::TreeRequestT const& tree_ask) {
    EXPECT_EQ(tree_ask.model, text());
    EXPECT_EQ(tree_ask.pull, number<std::uint64_t>());
    EXPECT_EQ(tree_ask.page, number<std::uint32_t>());
  }

  void expect(wire::PrefixNodeT const& prefix_node) {
    EXPECT_EQ(prefix_node.hash, number<std::uint64_t>());
    EXPECT_EQ(prefix_node.parent, number<std::uint64_t>());
    expect_texts(prefix_node.workers);
    expect_numbers(prefix_node.incarnations);
    expect_numbers(prefix_node.ages);
    EXPECT_EQ(prefix_node.weight, number<std::uint32_t>());
  }

  void expect(wire::TreePageT const& tree_page) {
    EXPECT_EQ(tree_page.model, text());
    EXPECT_EQ(tree_page.pull, number<std::uint64_t>());
    EXPECT_EQ(tree_page.page, number<std::uint32_t>());
    EXPECT_EQ(tree_page.last, flag(0));
    expect_items(tree_page.list);
  }

  void expect(wire::Ballot const& ballot) {
    EXPECT_EQ(ballot.n(), number<std::uint64_t>());
    EXPECT_EQ(ballot.who(), number<std::uint64_t>());
  }

  void expect(wire::PrepareT const& prepare) {
    EXPECT_EQ(prepare.request_id, number<std::uint64_t>());
    expect(prepare.ballot);
    EXPECT_EQ(prepare.epoch, number<std::uint64_t>());
    expect(prepare.known);
  }

  void expect(wire::ReplicaT const& replica) {
    EXPECT_EQ(replica.name, text());
    EXPECT_EQ(replica.disk, number<std::uint64_t>());
    EXPECT_EQ(replica.address, text());
  }

  void expect(wire::RememberedChangeT const& mark) {
    EXPECT_EQ(mark.serial, number<std::uint64_t>());
    EXPECT_EQ(mark.change, text());
  }

  void expect(wire::RouterRegistrationT const& registration) {
    EXPECT_EQ(registration.name, text());
    EXPECT_EQ(registration.address, text());
    EXPECT_EQ(registration.incarnation, number<std::uint64_t>());
  }

  void expect(wire::Order const& order) {
    EXPECT_EQ(order.id_high(), number<std::uint64_t>());
    EXPECT_EQ(order.id_low(), number<std::uint64_t>());
    EXPECT_EQ(order.label(), number<std::uint64_t>());
  }

  void expect(wire::ValueT const& value) {
    EXPECT_EQ(value.serial, number<std::uint64_t>());
    EXPECT_EQ(value.change, text());
    EXPECT_EQ(value.text, text());
    expect_texts(value.drained_zones);
    EXPECT_EQ(value.epoch, number<std::uint64_t>());
    expect_items(value.replicas);
    expect_items(value.past);
    EXPECT_EQ(value.revision, number<std::uint64_t>());
    expect_items(value.registrations);
    expect_items(value.evicted);
    EXPECT_EQ(value.label, number<std::uint64_t>());
    expect_items(value.former);
    expect_items(value.orders);
    EXPECT_EQ(value.forgotten_serial, number<std::uint64_t>());
    EXPECT_EQ(value.forgotten_label, number<std::uint64_t>());
  }

  void expect(wire::PromiseT const& promise) {
    EXPECT_EQ(promise.request_id, number<std::uint64_t>());
    EXPECT_EQ(promise.ok, flag(0));
    EXPECT_EQ(promise.disk, number<std::uint64_t>());
    expect(promise.promised);
    expect(promise.accepted);
    expect_part(promise.value);
  }

  void expect(wire::TextCopy const& text_copy) {
    EXPECT_EQ(text_copy.from(), number<std::uint32_t>());
    EXPECT_EQ(text_copy.length(), number<std::uint32_t>());
    EXPECT_EQ(text_copy.fresh(), number<std::uint32_t>());
  }

  void expect(wire::TextPatchT const& text_patch) {
    expect_items(text_patch.copied_ranges);
    EXPECT_EQ(text_patch.fresh, text());
    EXPECT_EQ(text_patch.digest_high, number<std::uint64_t>());
    EXPECT_EQ(text_patch.digest_low, number<std::uint64_t>());
  }

  void expect(wire::ValuePatchT const& value_patch) {
    EXPECT_EQ(value_patch.base_revision, number<std::uint64_t>());
    expect_part(value_patch.text);
    EXPECT_EQ(value_patch.same_members, flag(0));
    EXPECT_EQ(value_patch.orders_dropped, number<std::uint32_t>());
    expect_part(value_patch.rest);
    EXPECT_EQ(value_patch.digest_high, number<std::uint64_t>());
    EXPECT_EQ(value_patch.digest_low, number<std::uint64_t>());
  }

  void expect(wire::AcceptT const& accept) {
    EXPECT_EQ(accept.request_id, number<std::uint64_t>());
    expect(accept.ballot);
    expect_part(accept.value);
    expect(accept.base);
    expect_part(accept.patch);
  }

  void expect(wire::AcceptedT const& accepted) {
    EXPECT_EQ(accepted.request_id, number<std::uint64_t>());
    EXPECT_EQ(accepted.ok, flag(0));
    EXPECT_EQ(accepted.disk, number<std::uint64_t>());
    expect(accepted.promised);
    EXPECT_EQ(accepted.need_value, flag(1));
  }

  void expect(wire::ReadRequestT const& peek) {
    EXPECT_EQ(peek.request_id, number<std::uint64_t>());
    EXPECT_EQ(peek.full, flag(0));
    EXPECT_EQ(peek.age, number<std::int64_t>());
    EXPECT_EQ(peek.epoch, number<std::uint64_t>());
    EXPECT_EQ(peek.members, number<std::uint64_t>());
  }

  void expect(wire::ReadReplyT const& read_reply) {
    EXPECT_EQ(read_reply.request_id, number<std::uint64_t>());
    EXPECT_EQ(read_reply.disk, number<std::uint64_t>());
    EXPECT_EQ(read_reply.formed, flag(0));
    expect(read_reply.ballot);
    EXPECT_EQ(read_reply.serial, number<std::uint64_t>());
    EXPECT_EQ(read_reply.change, text());
    EXPECT_EQ(read_reply.epoch, number<std::uint64_t>());
    expect_items(read_reply.replicas);
    expect_part(read_reply.value);
    EXPECT_EQ(read_reply.revision, number<std::uint64_t>());
    EXPECT_EQ(read_reply.age, number<std::int64_t>());
    expect_items(read_reply.former);
    EXPECT_EQ(read_reply.members, number<std::uint64_t>());
    EXPECT_EQ(read_reply.retiring, flag(1));
    EXPECT_EQ(read_reply.awaits_bootstrap, flag(2));
  }

  void expect(wire::ChosenT const& chosen) {
    EXPECT_EQ(chosen.request_id, number<std::uint64_t>());
    expect_part(chosen.value);
    EXPECT_EQ(chosen.origin, text());
    EXPECT_EQ(chosen.hops, number<std::uint8_t>());
    expect_part(chosen.patch);
  }

  void expect(wire::ChosenAckT const& confirm) {
    EXPECT_EQ(confirm.request_id, number<std::uint64_t>());
    EXPECT_EQ(confirm.serial, number<std::uint64_t>());
    expect_texts(confirm.routers);
  }

  void expect(wire::BootstrapT const& found) { expect_items(found.replicas); }

  void expect(wire::LeaseRequestT const& lease_request) {
    EXPECT_EQ(lease_request.request_id, number<std::uint64_t>());
    EXPECT_EQ(lease_request.role, text());
    EXPECT_EQ(lease_request.term, number<std::int64_t>());
  }

  void expect(wire::LeaseReplyT const& lease_reply) {
    EXPECT_EQ(lease_reply.request_id, number<std::uint64_t>());
    EXPECT_EQ(lease_reply.role, text());
    EXPECT_EQ(lease_reply.ok, flag(0));
    EXPECT_EQ(lease_reply.disk, number<std::uint64_t>());
  }

  void expect(wire::WorkerSuspectedT const& suspect) {
    EXPECT_EQ(suspect.worker, text());
    EXPECT_EQ(suspect.incarnation, number<std::uint64_t>());
  }

  void expect(wire::LoadT const& load) {
    EXPECT_EQ(load.worker, text());
    EXPECT_EQ(load.attempts, number<std::uint32_t>());
    EXPECT_EQ(load.reading, number<std::uint32_t>());
    EXPECT_EQ(load.suspected, flag(0));
  }

  void expect(wire::LoadsT const& loads) {
    expect_items(loads.list);
    EXPECT_EQ(loads.age, number<std::int64_t>());
    EXPECT_EQ(loads.hops, number<std::uint8_t>());
  }

  void expect(wire::CatchUpRequestT const& behind) {
    EXPECT_EQ(behind.revision, number<std::uint64_t>());
    EXPECT_EQ(behind.request_id, number<std::uint64_t>());
    EXPECT_EQ(behind.origin, text());
  }

  void expect(wire::ForwardedChangeT const& propose) {
    EXPECT_EQ(propose.request_id, number<std::uint64_t>());
    EXPECT_EQ(propose.type, number<std::uint8_t>());
    EXPECT_EQ(propose.id, text());
    EXPECT_EQ(propose.text, text());
    EXPECT_EQ(propose.expected, number<std::uint64_t>());
    EXPECT_EQ(propose.label, number<std::uint64_t>());
    EXPECT_EQ(propose.revision, number<std::uint64_t>());
    expect_part(propose.patch);
  }

  void expect(wire::ForwardedChangeReplyT const& proposed) {
    EXPECT_EQ(proposed.request_id, number<std::uint64_t>());
    EXPECT_EQ(proposed.type, number<std::uint8_t>());
    EXPECT_EQ(proposed.kind, number<std::uint8_t>());
    EXPECT_EQ(proposed.why, text());
    EXPECT_EQ(proposed.serial, number<std::uint64_t>());
    EXPECT_EQ(proposed.change, text());
    expect_part(proposed.value);
    EXPECT_EQ(proposed.revision, number<std::uint64_t>());
    EXPECT_EQ(proposed.need_text, flag(0));
  }

  void expect(wire::NewestRequestT const& newest_request) {
    EXPECT_EQ(newest_request.request_id, number<std::uint64_t>());
  }

  void expect(wire::NewestReplyT const& newest_reply) {
    EXPECT_EQ(newest_reply.request_id, number<std::uint64_t>());
    EXPECT_EQ(newest_reply.revision, number<std::uint64_t>());
    EXPECT_EQ(newest_reply.age, number<std::int64_t>());
  }

  void expect(wire::QuotaRequestT const& quota_request) {
    EXPECT_EQ(quota_request.request_id, number<std::uint64_t>());
    EXPECT_EQ(quota_request.tenant, text());
    EXPECT_EQ(quota_request.count, number<std::int64_t>());
    EXPECT_EQ(quota_request.origin, text());
    EXPECT_EQ(quota_request.hops, number<std::uint8_t>());
    EXPECT_EQ(quota_request.purpose, number<std::uint8_t>());
  }

  void expect(wire::QuotaReplyT const& quota_reply) {
    EXPECT_EQ(quota_reply.request_id, number<std::uint64_t>());
    EXPECT_EQ(quota_reply.tenant, text());
    EXPECT_EQ(quota_reply.count, number<std::int64_t>());
    EXPECT_EQ(quota_reply.origin, text());
    EXPECT_EQ(quota_reply.granted, flag(0));
    EXPECT_EQ(quota_reply.wait, number<std::int64_t>());
  }

 private:
  static constexpr std::uint64_t byte_values = 251;

  template <class Number>
  Number number() {
    ++last;
    bool const is_byte = sizeof(Number) == 1;
    return static_cast<Number>(is_byte ? 1 + last % byte_values : last);
  }
  std::string text() { return "text-" + std::to_string(++last); }
  bool flag(unsigned index) const { return index == variant; }

  void expect_texts(std::vector<std::string> const& texts) {
    ASSERT_EQ(texts.size(), list_size);
    for (std::string const& item : texts) EXPECT_EQ(item, text());
  }

  template <class Number>
  void expect_numbers(std::vector<Number> const& numbers) {
    ASSERT_EQ(numbers.size(), list_size);
    for (Number const& item : numbers) EXPECT_EQ(item, number<Number>());
  }

  template <class Table>
  void expect_part(std::unique_ptr<Table> const& part) {
    ASSERT_NE(part, nullptr);
    expect(*part);
  }

  template <class Table>
  void expect_items(std::vector<std::unique_ptr<Table>> const& items) {
    ASSERT_EQ(items.size(), list_size);
    for (std::unique_ptr<Table> const& item : items) expect_part(item);
  }

  template <class Struct>
  void expect_items(std::vector<Struct> const& items) {
    ASSERT_EQ(items.size(), list_size);
    for (Struct const& item : items) expect(item);
  }

  unsigned const variant;
  std::uint64_t last = 1;
};

template <class Table>
void expect_body(wire::BodyUnion const& body, FieldChecks& checks) {
  wire::Body const expected = wire::BodyUnionTraits<Table>::enum_value;
  ASSERT_EQ(body.type, expected);
  checks.expect(*static_cast<Table const*>(body.value));
}

// A member of the union of frame bodies: its name in the data, its number in the encoding, and the check of its fields.
struct BodyCheck {
  char const* name;
  unsigned number;
  void (*expect)(wire::BodyUnion const& body, FieldChecks& checks);
};

BodyCheck const body_checks[] = {
    {"Hello", 1, expect_body<wire::HelloT>},
    {"Ping", 2, expect_body<wire::PingT>},
    {"Pong", 3, expect_body<wire::PongT>},
    {"PingReq", 4, expect_body<wire::IndirectPingT>},
    {"PingRes", 5, expect_body<wire::IndirectPongT>},
    {"News", 6, expect_body<wire::MembershipUpdateT>},
    {"Entries", 7, expect_body<wire::EntriesT>},
    {"EntriesAck", 8, expect_body<wire::EntriesAckT>},
    {"Deltas", 9, expect_body<wire::DeltasT>},
    {"TreeAsk", 10, expect_body<wire::TreeRequestT>},
    {"TreePage", 11, expect_body<wire::TreePageT>},
    {"Prepare", 12, expect_body<wire::PrepareT>},
    {"Promise", 13, expect_body<wire::PromiseT>},
    {"Accept", 14, expect_body<wire::AcceptT>},
    {"Accepted", 15, expect_body<wire::AcceptedT>},
    {"Peek", 16, expect_body<wire::ReadRequestT>},
    {"Peeked", 17, expect_body<wire::ReadReplyT>},
    {"Chosen", 18, expect_body<wire::ChosenT>},
    {"Confirm", 19, expect_body<wire::ChosenAckT>},
    {"Found", 20, expect_body<wire::BootstrapT>},
    {"LeaseRequest", 21, expect_body<wire::LeaseRequestT>},
    {"LeaseReply", 22, expect_body<wire::LeaseReplyT>},
    {"Doubt", 23, expect_body<wire::WorkerSuspectedT>},
    {"Loads", 24, expect_body<wire::LoadsT>},
    {"Behind", 25, expect_body<wire::CatchUpRequestT>},
    {"Propose", 26, expect_body<wire::ForwardedChangeT>},
    {"Proposed", 27, expect_body<wire::ForwardedChangeReplyT>},
    {"NewestAsk", 28, expect_body<wire::NewestRequestT>},
    {"NewestReply", 29, expect_body<wire::NewestReplyT>},
    {"QuotaAsk", 30, expect_body<wire::QuotaRequestT>},
    {"QuotaReply", 31, expect_body<wire::QuotaReplyT>},
};

// One line of the data: a frame with its four-byte length prefix.
struct RecordedFrame {
  std::string name;
  unsigned variant = 0;
  std::string bytes;
};

std::string bytes_of(std::string const& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return bytes;
}

std::vector<RecordedFrame> recorded_frames() {
  std::vector<RecordedFrame> frames;
  std::ifstream file(SOURCE "/tests/data/frames.txt");
  std::string line;
  while (std::getline(file, line)) {
    if (line.empty() || line.front() == '#') continue;
    std::istringstream words(line);
    RecordedFrame frame;
    std::string hex;
    words >> frame.name >> frame.variant >> hex;
    frame.bytes = bytes_of(hex);
    frames.push_back(frame);
  }
  return frames;
}

BodyCheck const* check_of(std::string const& name) {
  for (BodyCheck const& check : body_checks)
    if (name == check.name) return &check;
  return nullptr;
}

}  // namespace

TEST(WireFrames, recorded_frames_decode_field_by_field) {
  for (RecordedFrame const& recorded : recorded_frames()) {
    SCOPED_TRACE(recorded.name + " " + std::to_string(recorded.variant));
    BodyCheck const* const check = check_of(recorded.name);
    ASSERT_NE(check, nullptr);
    Result<std::unique_ptr<wire::FrameT>> const frame = decode_frame(recorded.bytes);
    ASSERT_TRUE(frame) << frame.error().what;
    EXPECT_EQ(static_cast<unsigned>(frame.value()->body.type), check->number);
    FieldChecks checks(recorded.variant);
    check->expect(frame.value()->body, checks);
  }
}

TEST(WireFrames, recorded_frames_encode_to_the_same_bytes) {
  for (RecordedFrame const& recorded : recorded_frames()) {
    Result<std::unique_ptr<wire::FrameT>> const frame = decode_frame(recorded.bytes);
    ASSERT_TRUE(frame) << recorded.name << ": " << frame.error().what;
    EXPECT_TRUE(encode_frame(*frame.value()) == recorded.bytes) << recorded.name << " " << recorded.variant;
  }
}

// A new member of the union requires a new format version, or must be added here and to the data.
TEST(WireFrames, data_contain_each_member_of_the_union) {
  std::map<unsigned, unsigned> frames_by_number;
  for (RecordedFrame const& recorded : recorded_frames()) {
    BodyCheck const* const check = check_of(recorded.name);
    ASSERT_NE(check, nullptr) << recorded.name;
    ++frames_by_number[check->number];
  }
  unsigned const members = static_cast<unsigned>(wire::Body::MAX);
  EXPECT_EQ(frames_by_number.size(), members);
  for (unsigned number = 1; number <= members; ++number) EXPECT_GT(frames_by_number[number], 0u) << number;
}

}  // namespace pipit
