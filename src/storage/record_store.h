// The record store: the state of a replica as one record in preallocated, checksummed files that are written
// alternately (§5.6).
#pragma once
#include <array>
#include <cstdint>
#include <string>

#include "base/error.h"
#include "wire_generated.h"

namespace pipit {

// The file operations that the record store needs. Implemented by POSIX files, and by a simulated disk with power cuts.
// All errors have the code `bad_disk`.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual bool exists(std::string const& name) = 0;
  virtual Result<std::string> read(std::string const& name) = 0;
  // Writes at offset 0 of a file that allocate() created, then syncs it.
  virtual Result<void> write(std::string const& name, std::string const& bytes) = 0;
  // Creates a file of `size` zero bytes.
  virtual Result<void> allocate(std::string const& name, std::size_t size) = 0;
};

// The record format that this program writes. Format 1 remembered 64 orders by name (register/orders.h).
constexpr std::uint32_t record_format = 3;

// Stores the record of one replica. Files come in pairs: each record is written to both files of one pair and the next
// record to the other pair, so that an interrupted write leaves the previous record intact.
//
// State: the sequence number of the newest record and which files may be corrupt. Called from the thread of the disk
// task, or from the simulator's loop.
//
// Invariant: open() recovers the last record that save() reported as written, or a newer one, unless both files of its
// pair are corrupt; then open() fails.
class RecordStore {
 public:
  static constexpr std::size_t file_count = 4;
  static constexpr std::size_t files_per_record = 2;      // copies of each record, in adjacent files
  static constexpr std::size_t max_file_size = 6u << 20;  // bytes

  // Each file is allocated with `reserved_size` bytes at the first start; a larger record extends its file up to
  // `max_file_size`. `disk` must outlive the store.
  RecordStore(Disk& disk, std::string cluster, std::string node, std::size_t reserved_size = max_file_size)
      : disk_(disk), cluster_(std::move(cluster)), node_(std::move(node)), reserved_size_(reserved_size) {}

  // Recovers the last synced record. A folder that was never used is formatted with `new_disk_id` in its first record,
  // and `blank` is set to true, otherwise to false. Fails if files are missing, if the record belongs to another node
  // or cluster or has a newer format, or if both copies of a record are corrupt. A folder with the record of a member
  // is not blank even if its marker file was lost in a power failure.
  Result<wire::RecordT> open(std::uint64_t new_disk_id, bool& blank);
  // Writes and syncs both copies, one after the other, so that the record survives one corrupt copy. A copy that may be
  // corrupt is written before an intact one. After an error the caller may save the record again.
  Result<void> save(wire::RecordT const& record);

 private:
  // The contents of one file.
  struct RecordFile {
    bool intact = false;  // the checksum matches
    bool empty = false;   // never written: the header is all zeros
    std::uint64_t sequence = 0;
    std::string body;
  };
  using RecordFiles = std::array<RecordFile, file_count>;

  // File names and magic number are those of the first format.
  static std::string file_name(std::size_t index) { return "ring-" + std::to_string(index); }
  static RecordFile inspect(std::string const& bytes);
  static RecordFile const* newest_intact(RecordFiles const& files);
  Result<wire::RecordT> format(std::uint64_t new_disk_id);
  Result<RecordFiles> read_files();
  Result<wire::RecordT> decode(std::string const& body) const;
  // Whether a file has an intact record of a replica that belongs to a membership or has promised a ballot, or an
  // intact record that cannot be decoded.
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
