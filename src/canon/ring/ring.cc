#include "canon/ring/ring.h"

#include <cstring>

#include "ground/mix.h"

namespace pipit {

namespace {
constexpr char magic[8] = {'p', 'i', 'p', 'r', 'i', 'n', 'g', '1'};
struct Head {
  char magic[8];
  std::uint64_t seq;
  std::uint64_t size;
  std::uint64_t sum;
};
std::uint64_t sum_of(std::uint64_t seq, std::string_view body) { return mix(body, stir(seq + 1)); }
}  // namespace

RingLog::Slot RingLog::inspect(std::string const& bytes) const {
  Slot out;
  Head head;
  if (bytes.size() < sizeof head) return out;
  std::memcpy(&head, bytes.data(), sizeof head);
  static char const none[sizeof head] = {};
  if (std::memcmp(&head, none, sizeof head) == 0) {
    out.empty = true;
    return out;
  }
  if (std::memcmp(head.magic, magic, sizeof magic) != 0 || head.size > bytes.size() - sizeof head) return out;
  out.body = bytes.substr(sizeof head, head.size);
  out.seq = head.seq;
  out.whole = sum_of(head.seq, out.body) == head.sum;
  return out;
}

Result<wire::RecordT> RingLog::open(std::uint64_t fresh_id, bool& blank) {
  std::size_t there = 0;
  for (std::size_t i = 0; i < slots; ++i)
    if (disk.exists(file(i))) ++there;
  // "formed" is written last of all: without it the folder was never used.
  bool const formed = disk.exists("formed");
  blank = !formed;
  if (!formed) {
    for (std::size_t i = 0; i < slots; ++i) {
      Result<void> made = disk.allocate(file(i), room);
      if (!made) return made.as_failure();
    }
    wire::RecordT record;
    record.cluster = cluster;
    record.name = name;
    record.disk = fresh_id;
    record.format = record_format;
    for (int twice = 0; twice < 2; ++twice) {
      Result<void> saved = save(record);
      if (!saved) return saved.as_failure();
    }
    Result<void> made = disk.allocate("formed", 16);
    if (!made) return made.as_failure();
    return record;
  }
  if (there != slots)
    return fail(Kind::bad_disk,
                "the ring has " + std::to_string(there) + " of its " + std::to_string(slots) + " files");
  std::array<Slot, slots> all;
  Slot const* best = nullptr;
  for (std::size_t i = 0; i < slots; ++i) {
    Result<std::string> bytes = disk.read(file(i));
    if (!bytes) return bytes.as_failure();
    all[i] = inspect(bytes.value());
    if (all[i].whole && (best == nullptr || all[i].seq > best->seq)) best = &all[i];
  }
  if (best == nullptr) return fail(Kind::bad_disk, "no record of the ring is whole");
  // A power cut tears the one file that was being written. Both files of a pair torn is rot, and what was in
  // them may have been answered for: then the keeper must not go on with something older.
  for (std::size_t pair = 0; pair < slots; pair += 2)
    if (!all[pair].whole && !all[pair + 1].whole && !(all[pair].empty && all[pair + 1].empty))
      return fail(Kind::bad_disk, "both copies of a record are corrupt (ring-" + std::to_string(pair) + ")");
  flatbuffers::Verifier check(reinterpret_cast<std::uint8_t const*>(best->body.data()), best->body.size(), 16, 2000000);
  if (!check.VerifyBuffer<wire::Record>(nullptr)) return fail(Kind::bad_disk, "the record does not verify");
  wire::RecordT record;
  flatbuffers::GetRoot<wire::Record>(best->body.data())->UnPackTo(&record);
  if (record.cluster != cluster || record.name != name)
    return fail(Kind::bad_disk, "the data folder belongs to " + record.name + " of cluster " + record.cluster);
  if (record.format > record_format)
    return fail(Kind::bad_disk, "the record has format " + std::to_string(record.format) + ", this program reads up to " +
                                    std::to_string(record_format));
  record.format = record_format;
  seq = best->seq;
  return record;
}

Result<void> RingLog::save(wire::RecordT const& record) {
  flatbuffers::FlatBufferBuilder space(1024);
  space.Finish(wire::Record::Pack(space, &record));
  std::string_view const body(reinterpret_cast<char const*>(space.GetBufferPointer()), space.GetSize());
  Head head;
  std::memcpy(head.magic, magic, sizeof magic);
  head.seq = ++seq;
  head.size = body.size();
  head.sum = sum_of(seq, body);
  if (sizeof head + body.size() > slot_size) return fail(Kind::bad_disk, "the record is larger than a ring file");
  std::string bytes(reinterpret_cast<char const*>(&head), sizeof head);
  bytes += body;
  std::size_t const pair = (seq % (slots / 2)) * 2;
  for (std::size_t i = 0; i < 2; ++i) {
    Result<void> done = disk.write(file(pair + i), bytes);
    if (!done) return done;
  }
  return boost::outcome_v2::success();
}

}  // namespace pipit
