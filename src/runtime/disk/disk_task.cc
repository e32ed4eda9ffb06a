#include "runtime/disk/disk_task.h"

#include <fcntl.h>
#include <gio/gio.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "base/events.h"
#include "base/fault_points.h"

namespace pipit {

namespace {
constexpr std::size_t max_zero_filled_bytes = 1u << 20;  // larger files are reserved without writing them

std::string system_error(std::string const& what, std::string const& name) {
  return what + " " + name + ": " + std::strerror(errno);
}
struct FileDescriptor {
  int fd;
  ~FileDescriptor() {
    if (fd >= 0) ::close(fd);
  }
};
struct SaveJob {
  wire::RecordT record;
  bool stops = false;
};
struct SaveResult {
  std::function<void(bool, std::string)> call;
  bool good;
  std::string text;
};
}  // namespace

bool PosixDisk::exists(std::string const& name) {
  struct stat info;
  return ::stat((folder_ + "/" + name).c_str(), &info) == 0;
}

Result<void> PosixDisk::lock() {
  // The descriptor stays open until the process ends, so that two replicas never share a directory.
  int const fd = ::open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (fd < 0) return fail(ErrorCode::bad_disk, system_error("cannot open", "lock"));
  if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
    ::close(fd);
    return fail(ErrorCode::bad_disk, "another process has locked the data directory");
  }
  return boost::outcome_v2::success();
}

Result<std::string> PosixDisk::read(std::string const& name) {
  FileDescriptor const file{::open((folder_ + "/" + name).c_str(), O_RDONLY | O_CLOEXEC)};
  if (file.fd < 0) return fail(ErrorCode::bad_disk, system_error("cannot open", name));
  struct stat info;
  if (::fstat(file.fd, &info) != 0) return fail(ErrorCode::bad_disk, system_error("cannot stat", name));
  std::string out(static_cast<std::size_t>(info.st_size), '\0');
  std::size_t at = 0;
  while (at < out.size()) {
    ssize_t const n = ::pread(file.fd, out.data() + at, out.size() - at, static_cast<off_t>(at));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return fail(ErrorCode::bad_disk, system_error("cannot read", name));
    at += static_cast<std::size_t>(n);
  }
  return out;
}

Result<void> PosixDisk::write(std::string const& name, std::string const& bytes) {
  if (fault_fires(FaultPoint::end_before_sync)) ::_exit(41);
  if (fault_fires(FaultPoint::disk_slow))
    g_usleep(static_cast<gulong>(std::stoll("0" + fault_arg(FaultPoint::disk_slow)) * 1000));
  FileDescriptor const file{::open((folder_ + "/" + name).c_str(), O_WRONLY | O_CLOEXEC)};
  if (file.fd < 0) return fail(ErrorCode::bad_disk, system_error("cannot open", name));
  if (fault_fires(FaultPoint::disk_full)) {
    errno = ENOSPC;
    return fail(ErrorCode::bad_disk, system_error("cannot write", name));
  }
  bool const torn = fault_fires(FaultPoint::disk_torn);
  std::size_t const size = torn ? bytes.size() / 2 : bytes.size();
  std::size_t at = 0;
  while (at < size) {
    ssize_t const n = ::pwrite(file.fd, bytes.data() + at, size - at, static_cast<off_t>(at));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return fail(ErrorCode::bad_disk, system_error("cannot write", name));
    at += static_cast<std::size_t>(n);
  }
  if (torn) ::_exit(42);
  if (fault_fires(FaultPoint::disk_fail)) return fail(ErrorCode::bad_disk, "cannot sync " + name + ": fault point 10");
  if (::fdatasync(file.fd) != 0) return fail(ErrorCode::bad_disk, system_error("cannot sync", name));
  return boost::outcome_v2::success();
}

Result<void> PosixDisk::sync_folder() {
  FileDescriptor const dir{::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
  if (dir.fd < 0 || ::fsync(dir.fd) != 0) return fail(ErrorCode::bad_disk, system_error("cannot sync", folder_));
  return boost::outcome_v2::success();
}

Result<void> PosixDisk::allocate(std::string const& name, std::size_t size) {
  FileDescriptor const file{::open((folder_ + "/" + name).c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)};
  if (file.fd < 0) return fail(ErrorCode::bad_disk, system_error("cannot create", name));
  // Small files are filled with zeros, which allocates their blocks on any file system. Large files are reserved with
  // posix_fallocate where possible, because writing them takes a busy disk seconds.
  bool const reserved = size > max_zero_filled_bytes && ::posix_fallocate(file.fd, 0, static_cast<off_t>(size)) == 0;
  std::string const zeros(reserved ? 0 : std::min<std::size_t>(size, 262144), '\0');
  for (std::size_t at = 0; at < size && !reserved;) {
    ssize_t const n = ::pwrite(file.fd, zeros.data(), std::min(zeros.size(), size - at), static_cast<off_t>(at));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return fail(ErrorCode::bad_disk, system_error("cannot allocate", name));
    at += static_cast<std::size_t>(n);
  }
  if (::fsync(file.fd) != 0) return fail(ErrorCode::bad_disk, system_error("cannot sync", name));
  return sync_folder();
}

DiskTask::DiskTask(std::unique_ptr<PosixDisk> disk, std::unique_ptr<RecordStore> store,
                   std::function<void(bool, std::string)> on_saved, bool retries_failed_writes)
    : disk_(std::move(disk)),
      store_(std::move(store)),
      on_saved_(std::move(on_saved)),
      retries_failed_writes_(retries_failed_writes),
      backlog_(g_async_queue_new()),
      thread_([this] { run(); }) {}

DiskTask::~DiskTask() {
  // NOLINTNEXTLINE(bugprone-unhandled-exception-at-new): without memory the process ends either way.
  g_async_queue_push(backlog_, new SaveJob{{}, true});
  thread_.join();
  g_async_queue_unref(backlog_);
}

void DiskTask::save(wire::RecordT record) { g_async_queue_push(backlog_, new SaveJob{std::move(record), false}); }

void DiskTask::run() {
  while (true) {
    std::unique_ptr<SaveJob> const job(static_cast<SaveJob*>(g_async_queue_pop(backlog_)));
    if (job->stops) return;
    Result<void> saved = store_->save(job->record);
    // §5.6: a retry is as safe as the first write, because the record has not been acknowledged to any peer and is
    // always written whole to a file that holds no newer record. Only the first failure is logged.
    for (int attempts = 0; !saved && retries_failed_writes_; ++attempts) {
      if (attempts == 0) log_event(Event::disk_write_retried, saved.error().what);
      g_usleep(100000);
      saved = store_->save(job->record);
    }
    if (saved && fault_fires(FaultPoint::end_after_sync)) ::_exit(43);
    SaveResult* const result = new SaveResult{on_saved_, static_cast<bool>(saved), saved ? "" : saved.error().what};
    g_idle_add_full(
        G_PRIORITY_HIGH,
        [](gpointer data) -> gboolean {
          std::unique_ptr<SaveResult> const item(static_cast<SaveResult*>(data));
          item->call(item->good, item->text);
          return G_SOURCE_REMOVE;
        },
        result, nullptr);
  }
}

}  // namespace pipit
