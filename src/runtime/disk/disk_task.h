// Disk I/O on a task of its own; the loop never waits for a sync (§5.6).
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "storage/record_store.h"

using GAsyncQueue = struct _GAsyncQueue;

namespace pipit {

class PosixDisk : public Disk {
 public:
  explicit PosixDisk(std::string folder) : folder_(std::move(folder)) {}
  bool exists(std::string const& name) override;
  Result<std::string> read(std::string const& name) override;
  Result<void> write(std::string const& name, std::string const& bytes) override;
  Result<void> allocate(std::string const& name, std::size_t size) override;
  Result<void> lock();

 private:
  Result<void> sync_folder();
  std::string const folder_;
};

class DiskTask {
 public:
  DiskTask(std::unique_ptr<PosixDisk> disk, std::unique_ptr<RecordStore> store,
           std::function<void(bool, std::string)> on_saved, bool retries_failed_writes = false);
  ~DiskTask();
  void save(wire::RecordT record);

 private:
  void run();
  std::unique_ptr<PosixDisk> disk_;
  std::unique_ptr<RecordStore> store_;
  std::function<void(bool, std::string)> on_saved_;
  bool const retries_failed_writes_;  // a record that the disk refused is written again, whole and to the next files,
                                      // until it holds
  GAsyncQueue* backlog_;
  std::thread thread_;
};

}  // namespace pipit
