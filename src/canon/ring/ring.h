// A ring of preallocated, checksummed files that holds one record: the keeper's state (§5.6).
#pragma once
#include <array>
#include <string>

#include "ground/kinds.h"
#include "wire_generated.h"

namespace pipit {

// What the ring needs of a disk. The real one is POSIX files; the simulator has its own, with power cuts.
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
constexpr std::uint32_t record_format = 2;

class RingLog {
 public:
  static constexpr std::size_t slots = 4;
  static constexpr std::size_t slot_size = 6u << 20;

  // 'room_' is what each file is given at the first start; a larger record makes its file grow, up to slot_size.
  RingLog(Disk& disk_, std::string cluster_, std::string name_, std::size_t room_ = slot_size)
      : disk(disk_), cluster(std::move(cluster_)), name(std::move(name_)), room(room_) {}

  // Recovers the last synced record; formats a blank folder with a disk id. 'blank' tells which.
  Result<wire::RecordT> open(std::uint64_t fresh_id, bool& blank);
  // Each record is written to two slots in turn, so that one rotten copy loses nothing.
  Result<void> save(wire::RecordT const& record);

 private:
  struct Slot {
    bool whole = false;
    bool empty = false;
    std::uint64_t seq = 0;
    std::string body;
  };
  Slot inspect(std::string const& bytes) const;
  static std::string file(std::size_t slot) { return "ring-" + std::to_string(slot); }

  Disk& disk;
  std::string const cluster;
  std::string const name;
  std::size_t const room;
  std::uint64_t seq = 0;
};

}  // namespace pipit
