// Data folders written by earlier releases (tests/data/records) are opened without loss of data.
#include <gtest/gtest.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/register/acceptor.h"
#include "consensus/register/orders.h"
#include "storage/record_store.h"

namespace pipit {

namespace {

constexpr std::uint64_t unused_disk_id = 9;

// An in-memory copy of a folder on disk.
class CopiedDisk : public Disk {
 public:
  explicit CopiedDisk(std::string const& folder) {
    for (std::filesystem::directory_entry const& entry : std::filesystem::directory_iterator(folder)) {
      std::ifstream file(entry.path(), std::ios::binary);
      files_[entry.path().filename().string()] =
          std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
  }

  bool exists(std::string const& name) override { return files_.count(name) > 0; }
  Result<std::string> read(std::string const& name) override { return files_[name]; }
  Result<void> write(std::string const& name, std::string const& bytes) override {
    std::string& content = files_[name];
    if (content.size() < bytes.size()) content.resize(bytes.size());
    content.replace(0, bytes.size(), bytes);
    return boost::outcome_v2::success();
  }
  Result<void> allocate(std::string const& name, std::size_t size) override {
    files_[name] = std::string(size, '\0');
    return boost::outcome_v2::success();
  }
  std::size_t file_count() const { return files_.size(); }

 private:
  std::map<std::string, std::string> files_;
};

std::string folder_of(unsigned format) {
  return std::string(SOURCE) + "/tests/data/records/format-" + std::to_string(format);
}

std::string cluster_of(unsigned format) { return "cluster-" + std::to_string(format); }

// The format stored in the first file, before any conversion by the store. The record follows a header of 32 bytes.
std::uint32_t format_on_disk(unsigned format) {
  constexpr std::size_t header_size = 32;
  CopiedDisk disk(folder_of(format));
  std::string const body = disk.read("ring-0").value().substr(header_size);
  return flatbuffers::GetRoot<wire::Record>(body.data())->format();
}

void expect_ballot(wire::Ballot const& ballot, std::uint64_t number, std::uint64_t proposer) {
  EXPECT_EQ(ballot.n(), number);
  EXPECT_EQ(ballot.who(), proposer);
}

void expect_replica(wire::ReplicaT const& replica, std::string const& name, std::uint64_t disk,
                    std::string const& address) {
  EXPECT_EQ(replica.name, name);
  EXPECT_EQ(replica.disk, disk);
  EXPECT_EQ(replica.address, address);
}

void expect_registration(wire::RouterRegistrationT const& registration, std::string const& name,
                         std::string const& address, std::uint64_t incarnation) {
  EXPECT_EQ(registration.name, name);
  EXPECT_EQ(registration.address, address);
  EXPECT_EQ(registration.incarnation, incarnation);
}

std::string const last_text = R"({"format":1,"pools":[{"name":"main","model":"m4","slots":60}],"lanes":[]})";

// Contents common to the folders of all formats: the last of four changes, and a promise for a later ballot.
void expect_common(wire::RecordT const& record, unsigned format) {
  EXPECT_EQ(record.cluster, cluster_of(format));
  EXPECT_EQ(record.name, "k1");
  EXPECT_EQ(record.disk, 1000u * format + 1);
  EXPECT_TRUE(record.formed);
  expect_ballot(record.promised, 16, 78);
  expect_ballot(record.accepted, 14, 77);
  ASSERT_NE(record.value, nullptr);
  wire::ValueT const& value = *record.value;
  EXPECT_EQ(value.change, "order-4");
  EXPECT_EQ(value.text, last_text);
  EXPECT_EQ(value.drained_zones, std::vector<std::string>{"zone-b"});
  EXPECT_EQ(value.label, 24u);
  EXPECT_EQ(value.revision, 34u);
  ASSERT_EQ(value.registrations.size(), 1u);
  expect_registration(*value.registrations.front(), "p1", "127.0.0.1:7004", 41);
  ASSERT_EQ(value.evicted.size(), 1u);
  expect_registration(*value.evicted.front(), "p2", "127.0.0.1:7005", 42);
}

// The replicas before the membership change that is in progress in the folders of formats 2 and 3.
void expect_first_replicas(std::vector<std::unique_ptr<wire::ReplicaT>> const& replicas, unsigned format) {
  std::uint64_t const first_disk = 1000u * format + 1;
  ASSERT_EQ(replicas.size(), 3u);
  expect_replica(*replicas[0], "k1", first_disk, "127.0.0.1:7001");
  expect_replica(*replicas[1], "k2", first_disk + 1, "127.0.0.1:7002");
  expect_replica(*replicas[2], "k3", first_disk + 2, "127.0.0.1:7003");
}

// The remembered orders in formats 2 and 3: serials 11 to 14; orders up to serial 10 are forgotten.
void expect_orders(wire::ValueT const& value) {
  EXPECT_EQ(value.serial, 14u);
  ASSERT_EQ(value.orders.size(), 4u);
  EXPECT_EQ(value.orders.front().label(), 21u);
  EXPECT_EQ(value.orders.back().label(), 24u);
  for (std::uint64_t order = 1; order <= 4; ++order)
    EXPECT_EQ(serial_of_order(value, "order-" + std::to_string(order)), 10 + order);
  EXPECT_EQ(serial_of_order(value, "order-5"), 0u);
  EXPECT_EQ(value.forgotten_serial, 10u);
  EXPECT_EQ(value.forgotten_label, 19u);
}

void expect_joint_replicas(wire::ValueT const& value, unsigned format) {
  std::uint64_t const first_disk = 1000u * format + 1;
  EXPECT_EQ(value.epoch, 2u);
  expect_first_replicas(value.former, format);
  ASSERT_EQ(value.replicas.size(), 3u);
  expect_replica(*value.replicas[0], "k1", first_disk, "127.0.0.1:7001");
  expect_replica(*value.replicas[1], "k2", first_disk + 1, "127.0.0.1:7002");
  expect_replica(*value.replicas[2], "k4", first_disk + 3, "127.0.0.1:7006");
}

std::vector<std::string> const bootstrap_seeds = {"127.0.0.1:7001", "127.0.0.1:7002"};

// The record as opened by the store; an empty record if the store refuses the folder.
wire::RecordT opened(CopiedDisk& disk, unsigned format) {
  RecordStore store(disk, cluster_of(format), "k1");
  bool blank = true;
  Result<wire::RecordT> record = store.open(unused_disk_id, blank);
  EXPECT_FALSE(blank);
  EXPECT_TRUE(record) << record.error().what;
  return record ? std::move(record.value()) : wire::RecordT();
}

}  // namespace

TEST(StoredData, folders_have_their_original_formats) {
  EXPECT_EQ(format_on_disk(1), 0u);  // format 1 has no such field
  EXPECT_EQ(format_on_disk(2), 2u);
  EXPECT_EQ(format_on_disk(3), 3u);
  for (unsigned format = 1; format <= 3; ++format) EXPECT_EQ(CopiedDisk(folder_of(format)).file_count(), 5u);
}

TEST(StoredData, orders_of_format_1_are_migrated) {
  CopiedDisk disk(folder_of(1));
  Acceptor const acceptor(opened(disk, 1));
  wire::RecordT const& record = acceptor.durable_state();
  expect_common(record, 1);
  ASSERT_NE(record.value, nullptr);
  wire::ValueT const& value = *record.value;
  EXPECT_EQ(value.serial, 4u);
  EXPECT_EQ(value.epoch, 1u);
  expect_first_replicas(value.replicas, 1);
  EXPECT_TRUE(value.former.empty());
  for (std::uint64_t order = 1; order <= 4; ++order)
    EXPECT_EQ(serial_of_order(value, "order-" + std::to_string(order)), order);
  EXPECT_EQ(serial_of_order(value, "order-5"), 0u);
  EXPECT_TRUE(value.past.empty());
  EXPECT_EQ(value.forgotten_serial, 0u);
}

TEST(StoredData, format_1_stores_remembered_orders_by_name) {
  CopiedDisk disk(folder_of(1));
  wire::RecordT const record = opened(disk, 1);
  ASSERT_NE(record.value, nullptr);
  ASSERT_EQ(record.value->past.size(), 3u);
  for (std::uint64_t serial = 1; serial <= 3; ++serial) {
    wire::RememberedChangeT const& remembered = *record.value->past[serial - 1];
    EXPECT_EQ(remembered.serial, serial);
    EXPECT_EQ(remembered.change, "order-" + std::to_string(serial));
  }
}

TEST(StoredData, format_2_is_opened) {
  CopiedDisk disk(folder_of(2));
  Acceptor const acceptor(opened(disk, 2));
  wire::RecordT const& record = acceptor.durable_state();
  expect_common(record, 2);
  EXPECT_EQ(record.bootstrap_seeds, bootstrap_seeds);
  EXPECT_EQ(record.quota_members, 0u);
  ASSERT_NE(record.value, nullptr);
  expect_orders(*record.value);
  expect_joint_replicas(*record.value, 2);
}

TEST(StoredData, format_3_is_opened) {
  CopiedDisk disk(folder_of(3));
  Acceptor const acceptor(opened(disk, 3));
  wire::RecordT const& record = acceptor.durable_state();
  expect_common(record, 3);
  EXPECT_EQ(record.bootstrap_seeds, bootstrap_seeds);
  EXPECT_EQ(record.quota_members, 555u);
  ASSERT_NE(record.value, nullptr);
  expect_orders(*record.value);
  expect_joint_replicas(*record.value, 3);
}

TEST(StoredData, each_format_can_be_updated) {
  for (unsigned format = 1; format <= 3; ++format) {
    SCOPED_TRACE(format);
    CopiedDisk disk(folder_of(format));
    RecordStore store(disk, cluster_of(format), "k1");
    bool blank = true;
    Result<wire::RecordT> record = store.open(unused_disk_id, blank);
    ASSERT_TRUE(record) << record.error().what;
    Acceptor acceptor(std::move(record.value()));
    wire::PrepareT prepare;
    prepare.ballot = wire::Ballot(17, 79);
    wire::BodyUnion body;
    body.Set(std::move(prepare));
    acceptor.enqueue("k2", std::move(body));
    std::vector<OutgoingMessage> replies;
    std::optional<wire::RecordT> const changed = acceptor.step(replies);
    ASSERT_TRUE(changed);
    ASSERT_TRUE(store.save(*changed));
    wire::RecordT const reopened = opened(disk, format);
    expect_ballot(reopened.promised, 17, 79);
    expect_ballot(reopened.accepted, 14, 77);
    ASSERT_NE(reopened.value, nullptr);
    EXPECT_EQ(reopened.value->text, last_text);
    EXPECT_EQ(serial_of_order(*reopened.value, "order-3"), format == 1 ? 3u : 13u);
  }
}

// Saving a recovered record reproduces, byte for byte, the record written by the earlier release of the same format.
TEST(StoredData, record_of_the_present_format_is_reproduced_byte_for_byte) {
  CopiedDisk disk(folder_of(3));
  wire::RecordT const record = opened(disk, 3);
  flatbuffers::FlatBufferBuilder builder(1024);
  builder.Finish(wire::Record::Pack(builder, &record));
  std::string const body(reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize());
  bool found = false;
  for (std::string const file : {"ring-0", "ring-2"})
    found = found || disk.read(file).value().find(body) != std::string::npos;
  EXPECT_TRUE(found);
}

}  // namespace pipit
