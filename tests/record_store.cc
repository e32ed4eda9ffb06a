// The record store with torn, corrupt, missing and foreign files: it recovers the synced record or fails with an error.
#include <gtest/gtest.h>

#include <map>

#include "testing/control_plane_simulator/disk.h"
#include "storage/record_store.h"

namespace pipit {

using control_plane_simulator::SimulatedDisk;

namespace {
constexpr std::size_t small_file = 2048;
constexpr std::uint64_t first_disk_id = 7;
constexpr std::uint64_t last_serial = 5;

class FakeDisk : public Disk {
 public:
  std::map<std::string, std::string> files;
  int writes_left = -1;  // the write after these is torn by a power cut; -1 for none
  bool exists(std::string const& name) override { return files.count(name) > 0; }
  Result<std::string> read(std::string const& name) override { return files[name]; }
  Result<void> write(std::string const& name, std::string const& bytes) override {
    if (writes_left == 0) {
      files[name].replace(0, bytes.size() / 2, bytes.substr(0, bytes.size() / 2));
      return fail(ErrorCode::bad_disk, "simulated power cut during a write");
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
  out.disk = first_disk_id;
  out.formed = true;
  out.value = std::make_unique<wire::ValueT>();
  out.value->serial = serial;
  out.value->text = std::string(500 + serial, 'x');
  return out;
}

// Simulates one process: opens the store and saves records until the process dies. Expects the record that an earlier
// process synced, with the same disk id. False if the store could not be opened although the process was alive.
bool write_records(SimulatedDisk& disk, std::uint64_t& disk_id, std::uint64_t& synced) {
  RecordStore store(disk, "c", "k1", small_file);
  bool blank = false;
  Result<wire::RecordT> const opened = store.open(first_disk_id + disk.steps(), blank);
  if (!opened) {
    EXPECT_TRUE(disk.died()) << opened.error().what;
    return disk.died();
  }
  std::uint64_t const serial = opened.value().value ? opened.value().value->serial : 0;
  EXPECT_GE(serial, synced);
  EXPECT_LE(serial, synced + 1);
  if (synced > 0) {
    EXPECT_EQ(opened.value().disk, disk_id);
  }
  disk_id = opened.value().disk;
  synced = serial;
  std::uint64_t const last = synced + last_serial;
  while (!disk.died() && synced < last) {
    wire::RecordT next = record(synced + 1);
    next.disk = disk_id;
    next.formed = true;
    if (!store.save(next)) break;
    ++synced;
  }
  return true;
}
}  // namespace

TEST(RecordStore, synced_record_survives_a_power_cut_at_any_write) {
  for (int cut = 0; cut < 8; ++cut) {
    FakeDisk disk;
    bool blank = false;
    RecordStore first(disk, "c", "k1");
    ASSERT_TRUE(first.open(7, blank));
    EXPECT_TRUE(blank);
    std::uint64_t synced = 0;
    disk.writes_left = cut;
    for (std::uint64_t serial = 1; serial <= 4; ++serial) {
      if (!first.save(record(serial))) break;
      synced = serial;
    }
    disk.writes_left = -1;
    RecordStore second(disk, "c", "k1");
    Result<wire::RecordT> const recovered = second.open(8, blank);
    ASSERT_TRUE(recovered) << "cut " << cut << ": " << recovered.error().what;
    EXPECT_FALSE(blank);
    EXPECT_EQ(recovered.value().disk, 7u);
    std::uint64_t const serial = recovered.value().value ? recovered.value().value->serial : 0;
    EXPECT_GE(serial, synced) << "cut " << cut;
    EXPECT_LE(serial, synced + 1);
  }
}

TEST(RecordStore, one_corrupt_copy_is_tolerated_and_two_are_refused) {
  FakeDisk disk;
  bool blank = false;
  RecordStore store(disk, "c", "k1");
  ASSERT_TRUE(store.open(7, blank));
  for (std::uint64_t serial = 1; serial <= 3; ++serial) ASSERT_TRUE(store.save(record(serial)));
  for (std::string const file : {"ring-0", "ring-1", "ring-2", "ring-3"}) {
    FakeDisk damaged = disk;
    damaged.files[file][200] = static_cast<char>(damaged.files[file][200] ^ 1);
    RecordStore reopened(damaged, "c", "k1");
    Result<wire::RecordT> const recovered = reopened.open(8, blank);
    ASSERT_TRUE(recovered) << file;
    EXPECT_EQ(recovered.value().value->serial, 3u) << file;
  }
  for (std::string const& pair : {std::string("ring-0"), std::string("ring-2")}) {
    FakeDisk damaged = disk;
    damaged.files[pair][200] = static_cast<char>(damaged.files[pair][200] ^ 1);
    std::string const copy = pair == "ring-0" ? "ring-1" : "ring-3";
    damaged.files[copy][200] = static_cast<char>(damaged.files[copy][200] ^ 1);
    RecordStore reopened(damaged, "c", "k1");
    EXPECT_FALSE(reopened.open(8, blank)) << "both copies in " << pair << " are corrupt, but the store was opened";
  }
}

TEST(RecordStore, missing_file_or_foreign_folder_is_refused) {
  FakeDisk disk;
  bool blank = false;
  RecordStore store(disk, "c", "k1");
  ASSERT_TRUE(store.open(7, blank));
  FakeDisk incomplete = disk;
  incomplete.files.erase("ring-2");
  EXPECT_FALSE(RecordStore(incomplete, "c", "k1").open(8, blank));
  EXPECT_FALSE(RecordStore(disk, "c", "k2").open(8, blank));
  EXPECT_FALSE(RecordStore(disk, "d", "k1").open(8, blank));
  EXPECT_TRUE(RecordStore(disk, "c", "k1").open(8, blank));
}

TEST(RecordStore, newer_record_format_is_refused) {
  FakeDisk disk;
  bool blank = false;
  RecordStore store(disk, "c", "k1");
  Result<wire::RecordT> opened = store.open(7, blank);
  ASSERT_TRUE(opened);
  opened.value().format = record_format + 1;
  ASSERT_TRUE(store.save(opened.value()));
  EXPECT_FALSE(RecordStore(disk, "c", "k1").open(8, blank));
}

// A power cut at any step of the writes, and a second one at any early step after the restart.
TEST(RecordStore, synced_record_survives_two_power_cuts_at_any_steps) {
  for (std::uint64_t first_loss = 0; first_loss < 40; ++first_loss)
    for (std::uint64_t second_loss = 0; second_loss < 14; ++second_loss)
      for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        SCOPED_TRACE("power cuts after " + std::to_string(first_loss) + " and " + std::to_string(second_loss) +
                     " steps, seed " + std::to_string(seed));
        RandomSource random(seed * 1000003 + first_loss * 101 + second_loss);
        SimulatedDisk disk;
        std::uint64_t disk_id = 0;
        std::uint64_t synced = 0;
        for (std::uint64_t const loss : {first_loss, second_loss, std::uint64_t{UINT64_MAX}}) {
          disk.die_after(loss);
          if (!write_records(disk, disk_id, synced)) break;
          disk.lose_power(random, seed % 3 == 0);
        }
        if (HasFailure()) return;
      }
}

// The disk is full for some time from any step on; later the process dies and the power fails.
TEST(RecordStore, synced_record_survives_a_full_disk_and_a_power_cut) {
  for (std::uint64_t full_from = 0; full_from < 40; ++full_from)
    for (std::uint64_t loss = 0; loss < 16; ++loss)
      for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        SCOPED_TRACE("full after " + std::to_string(full_from) + " steps, power cut " + std::to_string(loss) +
                     " later, seed " + std::to_string(seed));
        RandomSource random(seed * 1000003 + full_from * 101 + loss);
        SimulatedDisk disk;
        disk.die_after(full_from);
        bool blank = false;
        std::uint64_t synced = 0;
        RecordStore store(disk, "c", "k1", small_file);
        bool opened = static_cast<bool>(store.open(first_disk_id, blank));
        while (opened && !disk.died() && synced < last_serial && store.save(record(synced + 1))) ++synced;
        // The same process continues and retries the failed operation, first on the full disk, then with free space.
        disk.revive();
        for (bool const full : {true, true, false}) {
          disk.full(full);
          if (!opened) opened = static_cast<bool>(store.open(first_disk_id, blank));
          if (opened && store.save(record(synced + 1))) ++synced;
        }
        disk.die_after(loss);
        while (opened && !disk.died() && synced < last_serial + 3 && store.save(record(synced + 1))) ++synced;
        disk.lose_power(random, seed % 3 == 0);
        RecordStore reopened(disk, "c", "k1", small_file);
        Result<wire::RecordT> const recovered = reopened.open(first_disk_id + 1, blank);
        ASSERT_TRUE(recovered) << recovered.error().what;
        std::uint64_t const serial = recovered.value().value ? recovered.value().value->serial : 0;
        ASSERT_GE(serial, synced);
        ASSERT_LE(serial, synced + 1);
        if (synced > 0) {
          ASSERT_EQ(recovered.value().disk, first_disk_id);
        }
      }
}

// The marker file was created but its directory entry was not synced. The folder must not count as blank.
TEST(RecordStore, used_folder_is_not_blank_without_its_marker) {
  for (std::uint64_t death = 0; death < 40; ++death)
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      SCOPED_TRACE("killed after " + std::to_string(death) + " steps, seed " + std::to_string(seed));
      RandomSource random(seed * 1000003 + death);
      SimulatedDisk disk;
      std::uint64_t disk_id = 0;
      std::uint64_t synced = 0;
      disk.die_after(death);
      write_records(disk, disk_id, synced);
      // The process is killed without a power cut; a second process continues with the same files.
      disk.revive();
      ASSERT_TRUE(write_records(disk, disk_id, synced));
      disk.lose_power(random, false);
      ASSERT_TRUE(write_records(disk, disk_id, synced));
      if (HasFailure()) return;
    }
}

}  // namespace pipit
