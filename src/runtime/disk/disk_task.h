// Disk I/O on a separate thread, so that the main loop never waits for a sync (§5.6).
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "storage/record_store.h"

using GAsyncQueue = struct _GAsyncQueue;

namespace pipit {

// Files of one data directory. Errors: bad_disk with the failed operation, the file and the system's error text.
class PosixDisk : public Disk {
 public:
  explicit PosixDisk(std::string folder) : folder_(std::move(folder)) {}
  bool exists(std::string const& name) override;
  Result<std::string> read(std::string const& name) override;
  Result<void> write(std::string const& name, std::string const& bytes) override;
  Result<void> allocate(std::string const& name, std::size_t size) override;
  // Locks the directory until the process ends. Error: another process holds the lock.
  Result<void> lock();

 private:
  Result<void> sync_folder();
  std::string const folder_;
};

// Saves records in order on a thread of its own.
class DiskTask {
 public:
  // 'on_saved' is called on the main loop after each save with its success and error text. If 'retries_failed_writes',
  // a failed save is repeated until it succeeds, so that only successes are reported.
  DiskTask(std::unique_ptr<PosixDisk> disk, std::unique_ptr<RecordStore> store,
           std::function<void(bool, std::string)> on_saved, bool retries_failed_writes = false);
  // Waits until all queued records are saved.
  ~DiskTask();
  // Queues a record; returns at once.
  void save(wire::RecordT record);

 private:
  void run();
  std::unique_ptr<PosixDisk> disk_;
  std::unique_ptr<RecordStore> store_;
  std::function<void(bool, std::string)> on_saved_;
  bool const retries_failed_writes_;
  GAsyncQueue* backlog_;
  std::thread thread_;
};

}  // namespace pipit
