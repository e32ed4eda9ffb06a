#include "testing/control_plane_simulator/disk.h"

namespace pipit::control_plane_simulator {

namespace {
Error refused(std::string const& what) { return Error{ErrorCode::bad_disk, what, ""}; }
}  // namespace

// One step of the disk; false when the process is dead by then.
bool SimulatedDisk::step() {
  if (dead || steps_left == 0) {
    dead = true;
    return false;
  }
  --steps_left;
  ++done_steps;
  return true;
}

void SimulatedDisk::revive() {
  dead = false;
  steps_left = UINT64_MAX;
}

void SimulatedDisk::put(std::string& content, Write const& write) {
  if (write.truncates) content.clear();
  if (content.size() < write.offset + write.bytes.size()) content.resize(write.offset + write.bytes.size(), '\0');
  content.replace(write.offset, write.bytes.size(), write.bytes);
}

void SimulatedDisk::write_to(File& file, Write write) {
  put(file.content, write);
  file.unsynced.push_back(std::move(write));
}

void SimulatedDisk::sync(File& file) {
  file.synced = file.content;
  file.unsynced.clear();
}

bool SimulatedDisk::exists(std::string const& name) { return files.count(name) > 0; }

Result<std::string> SimulatedDisk::read(std::string const& name) {
  std::map<std::string, File>::const_iterator const position = files.find(name);
  if (dead || position == files.end()) return refused("cannot read " + name);
  return position->second.content;
}

Result<void> SimulatedDisk::write_and_sync(File& file, std::string const& bytes) {
  if (is_full) return refused("the disk is full");
  if (!step()) return refused("the process is dead");
  write_to(file, Write{0, bytes, false});
  if (!step()) return refused("the process is dead");
  sync(file);
  return boost::outcome_v2::success();
}

Result<void> SimulatedDisk::write(std::string const& name, std::string const& bytes) {
  std::map<std::string, File>::iterator const position = files.find(name);
  if (position == files.end()) return refused("there is no file " + name);
  return write_and_sync(position->second, bytes);
}

Result<void> SimulatedDisk::allocate(std::string const& name, std::size_t size) {
  // A name can be made on a full disk; what is written under it can't.
  if (!step()) return refused("the process is dead");
  File& file = files[name];
  write_to(file, Write{0, "", true});
  Result<void> const written = write_and_sync(file, std::string(size, '\0'));
  if (!written) return written;
  if (!step()) return refused("the process is dead");
  for (std::pair<std::string const, File>& item : files) item.second.name_synced = true;
  return boost::outcome_v2::success();
}

void SimulatedDisk::lose_power(RandomSource& random, bool all_lost) {
  revive();
  for (std::map<std::string, File>::iterator it = files.begin(); it != files.end();) {
    File& file = it->second;
    if (!file.name_synced && (all_lost || random.chance(0.5))) {
      it = files.erase(it);
      continue;
    }
    file.content = file.synced;
    for (Write write : file.unsynced) {
      std::uint64_t const outcome = all_lost ? 0 : random.below(3);
      if (outcome == 0) continue;
      if (outcome == 2 && !write.bytes.empty()) {
        std::size_t const from = random.below(write.bytes.size());
        bool const head = random.chance(0.5);
        if (!head) write.offset += from;
        write.bytes = head ? write.bytes.substr(0, from) : write.bytes.substr(from);
      }
      put(file.content, write);
    }
    sync(file);
    file.name_synced = true;
    ++it;
  }
}

}  // namespace pipit::control_plane_simulator
