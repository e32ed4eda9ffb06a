// The ring on disk: torn, rotten, missing, foreign; what is synced comes back or the keeper says why not.
#include <gtest/gtest.h>

#include <map>

#include "canon/ring/ring.h"

namespace pipit {

namespace {
class FakeDisk : public Disk {
 public:
  std::map<std::string, std::string> files;
  int writes_left = -1;  // power goes during the write after these
  bool exists(std::string const& name) override { return files.count(name) > 0; }
  Result<std::string> read(std::string const& name) override { return files[name]; }
  Result<void> write(std::string const& name, std::string const& bytes) override {
    if (writes_left == 0) {
      files[name].replace(0, bytes.size() / 2, bytes.substr(0, bytes.size() / 2));
      return fail(Kind::bad_disk, "power");
    }
    if (writes_left > 0) --writes_left;
    files[name].replace(0, bytes.size(), bytes);
    return boost::outcome_v2::success();
  }
  Result<void> allocate(std::string const& name, std::size_t size) override {
    files[name] = std::string(std::min<std::size_t>(size, 65536), '\0');
    return boost::outcome_v2::success();
  }
};

wire::RecordT record(std::uint64_t serial) {
  wire::RecordT out;
  out.cluster = "c";
  out.name = "k1";
  out.disk = 7;
  out.value = std::make_unique<wire::ValueT>();
  out.value->serial = serial;
  out.value->text = std::string(500 + serial, 'x');
  return out;
}
}  // namespace

TEST(Ring, a_power_cut_at_any_write_keeps_what_was_synced) {
  for (int cut = 0; cut < 8; ++cut) {
    FakeDisk disk;
    bool blank = false;
    RingLog first(disk, "c", "k1");
    ASSERT_TRUE(first.open(7, blank));
    EXPECT_TRUE(blank);
    std::uint64_t synced = 0;
    disk.writes_left = cut;
    for (std::uint64_t serial = 1; serial <= 4; ++serial) {
      if (!first.save(record(serial))) break;
      synced = serial;
    }
    disk.writes_left = -1;
    RingLog second(disk, "c", "k1");
    Result<wire::RecordT> const back = second.open(8, blank);
    ASSERT_TRUE(back) << "cut " << cut << ": " << back.error().why;
    EXPECT_FALSE(blank);
    EXPECT_EQ(back.value().disk, 7u);
    std::uint64_t const serial = back.value().value ? back.value().value->serial : 0;
    EXPECT_GE(serial, synced) << "cut " << cut;
    EXPECT_LE(serial, synced + 1);
  }
}

TEST(Ring, rot_is_mended_from_the_twin_or_refused) {
  FakeDisk disk;
  bool blank = false;
  RingLog ring(disk, "c", "k1");
  ASSERT_TRUE(ring.open(7, blank));
  for (std::uint64_t serial = 1; serial <= 3; ++serial) ASSERT_TRUE(ring.save(record(serial)));
  for (std::string const one : {"ring-0", "ring-1", "ring-2", "ring-3"}) {
    FakeDisk hurt = disk;
    hurt.files[one][200] = static_cast<char>(hurt.files[one][200] ^ 1);
    RingLog again(hurt, "c", "k1");
    Result<wire::RecordT> const back = again.open(8, blank);
    ASSERT_TRUE(back) << one;
    EXPECT_EQ(back.value().value->serial, 3u) << one;
  }
  for (std::string const& pair : {std::string("ring-0"), std::string("ring-2")}) {
    FakeDisk hurt = disk;
    hurt.files[pair][200] = static_cast<char>(hurt.files[pair][200] ^ 1);
    std::string const twin = pair == "ring-0" ? "ring-1" : "ring-3";
    hurt.files[twin][200] = static_cast<char>(hurt.files[twin][200] ^ 1);
    RingLog again(hurt, "c", "k1");
    EXPECT_FALSE(again.open(8, blank)) << "both copies in " << pair << " are rotten";
  }
}

TEST(Ring, a_missing_file_or_a_foreign_folder_is_refused) {
  FakeDisk disk;
  bool blank = false;
  RingLog ring(disk, "c", "k1");
  ASSERT_TRUE(ring.open(7, blank));
  FakeDisk less = disk;
  less.files.erase("ring-2");
  EXPECT_FALSE(RingLog(less, "c", "k1").open(8, blank));
  EXPECT_FALSE(RingLog(disk, "c", "k2").open(8, blank));
  EXPECT_FALSE(RingLog(disk, "d", "k1").open(8, blank));
  EXPECT_TRUE(RingLog(disk, "c", "k1").open(8, blank));
}

TEST(Ring, a_record_of_a_newer_format_is_refused) {
  FakeDisk disk;
  bool blank = false;
  RingLog ring(disk, "c", "k1");
  Result<wire::RecordT> opened = ring.open(7, blank);
  ASSERT_TRUE(opened);
  opened.value().format = record_format + 1;
  ASSERT_TRUE(ring.save(opened.value()));
  EXPECT_FALSE(RingLog(disk, "c", "k1").open(8, blank));
}

}  // namespace pipit
