#include "storage/record_store.h"

#include <cstring>

#include "base/hash.h"

namespace pipit {

namespace {

constexpr char magic[8] = {'p', 'i', 'p', 'r', 'i', 'n', 'g', '1'};
// Created last when a folder is formatted. A folder without it was never used, unless has_member_record().
constexpr char const* formatted_marker = "formed";
constexpr std::size_t marker_size = 16;
// Limits for the FlatBuffers verifier.
constexpr std::size_t max_table_depth = 16;
constexpr std::size_t max_tables = 2000000;

struct Header {
  char magic[8];
  std::uint64_t sequence;
  std::uint64_t size;
  std::uint64_t checksum;
};

std::uint64_t checksum_of(std::uint64_t sequence, std::string_view body) {
  return hash_text(body, hash_bits(sequence + 1));
}

}  // namespace

RecordStore::RecordFile RecordStore::inspect(std::string const& bytes) {
  RecordFile out;
  Header header;
  if (bytes.size() < sizeof header) return out;
  std::memcpy(&header, bytes.data(), sizeof header);
  static char const zeros[sizeof header] = {};
  if (std::memcmp(&header, zeros, sizeof header) == 0) {
    out.empty = true;
    return out;
  }
  if (std::memcmp(header.magic, magic, sizeof magic) != 0) return out;
  if (header.size > bytes.size() - sizeof header) return out;
  out.body = bytes.substr(sizeof header, header.size);
  out.sequence = header.sequence;
  out.intact = checksum_of(header.sequence, out.body) == header.checksum;
  return out;
}

RecordStore::RecordFile const* RecordStore::newest_intact(RecordFiles const& files) {
  RecordFile const* best = nullptr;
  for (RecordFile const& file : files)
    if (file.intact && (best == nullptr || file.sequence > best->sequence)) best = &file;
  return best;
}

Result<wire::RecordT> RecordStore::format(std::uint64_t new_disk_id) {
  for (std::size_t i = 0; i < file_count; ++i) {
    Result<void> made = disk_.allocate(file_name(i), reserved_size_);
    if (!made) return made.as_failure();
  }
  wire::RecordT record;
  record.cluster = cluster_;
  record.name = node_;
  record.disk = new_disk_id;
  record.format = record_format;
  // Save once per pair of files, so that no file stays empty.
  for (std::size_t pair = 0; pair < file_count / files_per_record; ++pair) {
    Result<void> saved = save(record);
    if (!saved) return saved.as_failure();
  }
  Result<void> made = disk_.allocate(formatted_marker, marker_size);
  if (!made) return made.as_failure();
  return record;
}

Result<RecordStore::RecordFiles> RecordStore::read_files() {
  std::size_t existing = 0;
  for (std::size_t i = 0; i < file_count; ++i)
    if (disk_.exists(file_name(i))) ++existing;
  if (existing != file_count)
    return fail(ErrorCode::bad_disk, "the record store has " + std::to_string(existing) + " of its " +
                                         std::to_string(file_count) + " files");
  RecordFiles files;
  for (std::size_t i = 0; i < file_count; ++i) {
    Result<std::string> bytes = disk_.read(file_name(i));
    if (!bytes) return bytes.as_failure();
    files[i] = inspect(bytes.value());
  }
  return files;
}

Result<wire::RecordT> RecordStore::decode(std::string const& body) const {
  flatbuffers::Verifier check(reinterpret_cast<std::uint8_t const*>(body.data()), body.size(), max_table_depth,
                              max_tables);
  if (!check.VerifyBuffer<wire::Record>(nullptr))
    return fail(ErrorCode::bad_disk, "the record is not a valid FlatBuffers table");
  wire::RecordT record;
  flatbuffers::GetRoot<wire::Record>(body.data())->UnPackTo(&record);
  if (record.cluster != cluster_ || record.name != node_)
    return fail(ErrorCode::bad_disk, "the data folder belongs to " + record.name + " of cluster " + record.cluster);
  if (record.format > record_format)
    return fail(ErrorCode::bad_disk, "the record has format " + std::to_string(record.format) +
                                         ", this program reads up to " + std::to_string(record_format));
  record.format = record_format;
  return record;
}

bool RecordStore::has_member_record() {
  for (std::size_t i = 0; i < file_count; ++i) {
    if (!disk_.exists(file_name(i))) continue;
    Result<std::string> const bytes = disk_.read(file_name(i));
    if (!bytes) continue;
    RecordFile const file = inspect(bytes.value());
    if (!file.intact) continue;
    Result<wire::RecordT> const record = decode(file.body);
    if (!record || record.value().formed || record.value().promised.n() != 0) return true;
  }
  return false;
}

Result<wire::RecordT> RecordStore::open(std::uint64_t new_disk_id, bool& blank) {
  bool const formatted = disk_.exists(formatted_marker);
  blank = !formatted && !has_member_record();
  if (blank) return format(new_disk_id);
  // The marker file was created but its directory entry was never synced. has_member_record() identifies the folder
  // without the marker, so a failure to create it again does no harm.
  if (!formatted) static_cast<void>(disk_.allocate(formatted_marker, marker_size));
  Result<RecordFiles> const read = read_files();
  if (!read) return read.as_failure();
  RecordFiles const& files = read.value();
  RecordFile const* const last = newest_intact(files);
  if (last == nullptr) return fail(ErrorCode::bad_disk, "no record of the store is intact");
  // A power cut tears only the file that is being written. If both copies are corrupt, the disk has failed, and replies
  // may have been sent for the lost record: the replica must not continue with an older one.
  for (std::size_t first = 0; first < file_count; first += files_per_record) {
    RecordFile const& one = files[first];
    RecordFile const& other = files[first + 1];
    if (!one.intact && !other.intact && !(one.empty && other.empty))
      return fail(ErrorCode::bad_disk, "both copies of a record are corrupt (" + file_name(first) + ")");
  }
  Result<wire::RecordT> record = decode(last->body);
  if (!record) return record;
  sequence_ = last->sequence;
  for (std::size_t i = 0; i < file_count; ++i) corrupt_[i] = !files[i].intact;
  return record;
}

Result<void> RecordStore::write_file(std::size_t index, std::string const& bytes) {
  corrupt_[index] = true;
  Result<void> done = disk_.write(file_name(index), bytes);
  if (done) corrupt_[index] = false;
  return done;
}

Result<void> RecordStore::save(wire::RecordT const& record) {
  flatbuffers::FlatBufferBuilder builder(1024);
  builder.Finish(wire::Record::Pack(builder, &record));
  std::string_view const body(reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize());
  Header header;
  std::memcpy(header.magic, magic, sizeof magic);
  header.sequence = ++sequence_;
  header.size = body.size();
  header.checksum = checksum_of(sequence_, body);
  if (sizeof header + body.size() > max_file_size)
    return fail(ErrorCode::bad_disk,
                "the record of " + std::to_string(body.size()) + " bytes is larger than its file may be");
  std::string bytes(reinterpret_cast<char const*>(&header), sizeof header);
  bytes += body;
  std::size_t const first = (sequence_ % (file_count / files_per_record)) * files_per_record;
  std::size_t const second = first + 1;
  // Write the corrupt copy first: otherwise a second interruption could tear the only intact copy.
  bool const second_before = corrupt_[second] && !corrupt_[first];
  Result<void> done = write_file(second_before ? second : first, bytes);
  if (done) done = write_file(second_before ? first : second, bytes);
  return done;
}

}  // namespace pipit
