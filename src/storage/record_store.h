// The record store: a replica's state as one record in preallocated, checksummed files written alternately (§5.6).
#pragma once
#include <array>
#include <cstdint>
#include <string>

#include "base/error.h"
#include "wire_generated.h"

namespace pipit {

// What the store needs of a disk. The real one is POSIX files; the simulator has its own, with power cuts. Errors have
// the kind bad_disk.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual bool exists(std::string const& name) = 0;
  virtual Result<std::string> read(std::string const& name) = 0;
  // Writes at offset 0 of a file that allocate() made, then syncs it.
  virtual Result<void> write(std::string const& name, std::string const& bytes) = 0;
  virtual Result<void> allocate(std::string const& name, std::size_t size) = 0;
};

// The version of the record that this program writes. Format 1 remembered 64 orders by name (register/orders.h).
constexpr std::uint32_t record_format = 3;

// Keeps the record of one replica. RecordFiles come in pairs; each record is written to both files of a pair, and the
// next one to the other pair, so that a write that is cut short leaves the record before it intact.
//
// State: the sequence number of the newest record and which files may be corrupt. Called from the thread of the disk
// task, or from the simulator's loop.
//
// Invariant: a record that save() reported as written is what open() recovers, or a newer one, unless both files of its
// pair are corrupt; then open() refuses.
class RecordStore {
 public:
  static constexpr std::size_t file_count = 4;
  static constexpr std::size_t files_per_record = 2;  // of each record, in neighbouring files
  static constexpr std::size_t max_file_size = 6u << 20;

  // Each file is given `reserved_size` bytes at the first start; a larger record makes its file grow, up to
  // max_file_size. `disk` must outlive the store.
  RecordStore(Disk& disk, std::string cluster, std::string node, std::size_t reserved_size = max_file_size)
      : disk_(disk), cluster_(std::move(cluster)), node_(std::move(node)), reserved_size_(reserved_size) {}

  // Recovers the last synced record. A folder that was never used is formatted, with `new_disk_id` in its first record;
  // `blank` says which. Refused: missing files, a record of another node or cluster, and both copies corrupt. A folder
  // whose marker was lost with the power, but that holds a record of a member, is not blank.
  Result<wire::RecordT> open(std::uint64_t new_disk_id, bool& blank);
  // Writes and syncs both copies, one after the other, so that one corrupt copy loses nothing. A copy that may be
  // corrupt is written before an intact one. After an error the record may be saved again.
  Result<void> save(wire::RecordT const& record);

 private:
  // What one file holds.
  struct RecordFile {
    bool intact = false;
    bool empty = false;
    std::uint64_t sequence = 0;
    std::string body;
  };
  using RecordFiles = std::array<RecordFile, file_count>;

  // The names on disk, and the magic within, stay those of the first format.
  static std::string file_name(std::size_t index) { return "ring-" + std::to_string(index); }
  static RecordFile inspect(std::string const& bytes);
  static RecordFile const* newest_intact(RecordFiles const& files);
  Result<wire::RecordT> format(std::uint64_t new_disk_id);
  Result<RecordFiles> read_files();
  Result<wire::RecordT> decode(std::string const& body) const;
  // Whether some file holds the record of a member of a set: an intact one that has voted.
  bool has_member_record();
  Result<void> write_file(std::size_t index, std::string const& bytes);

  Disk& disk_;
  std::string const cluster_;
  std::string const node_;
  std::size_t const reserved_size_;
  std::uint64_t sequence_ = 0;                 // of the newest record
  std::array<bool, file_count> corrupt_ = {};  // files that may hold a torn record
};

}  // namespace pipit
