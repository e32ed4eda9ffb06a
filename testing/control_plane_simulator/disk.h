// A disk in memory for the product's record store: full, dead in the middle of an operation, and without power.
//
// As on the users' machines: a full disk refuses every write. When power goes, a file holds what its last sync covered,
// each later write is present, missing or torn, and a file that was made without a sync of its folder may be lost.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "storage/record_store.h"

namespace pipit::control_plane_simulator {

class SimulatedDisk : public Disk {
 public:
  bool exists(std::string const& name) override;
  Result<std::string> read(std::string const& name) override;
  Result<void> write(std::string const& name, std::string const& bytes) override;
  Result<void> allocate(std::string const& name, std::size_t size) override;

  // Writes are refused while the disk is full.
  void full(bool on) { is_full = on; }
  // The process dies after so many more steps (a write, a sync, the making of a name): nothing it asks later is done.
  void die_after(std::uint64_t steps) { steps_left = steps; }
  bool died() const { return dead; }
  // Another process opens the disk; what the last one wrote is there.
  void revive();
  // Power goes. `all_lost`: every unsynced write is gone.
  void lose_power(RandomSource& random, bool all_lost);
  // The steps that were done since the start.
  std::uint64_t steps() const { return done_steps; }

 private:
  struct Write {
    std::size_t offset = 0;
    std::string bytes;
    bool truncates = false;
  };
  struct File {
    std::string content;  // as processes see it
    std::string synced;   // as after the last sync
    std::vector<Write> unsynced;
    bool name_synced = false;
  };
  bool step();
  static void put(std::string& content, Write const& write);
  void write_to(File& file, Write write);
  static void sync(File& file);
  Result<void> write_and_sync(File& file, std::string const& bytes);

  std::map<std::string, File> files;
  std::uint64_t done_steps = 0;
  std::uint64_t steps_left = UINT64_MAX;
  bool dead = false;
  bool is_full = false;
};

}  // namespace pipit::control_plane_simulator
