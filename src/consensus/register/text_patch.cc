#include "consensus/register/text_patch.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "config/description/description.h"

namespace pipit {

namespace {
// Texts with more chunks are compared by common prefix and suffix only; a description of 5 MiB has about 200,000.
constexpr std::size_t max_chunks = 1u << 20;
// Bytes. A copy entry takes 12 bytes of the patch; shorter ranges are sent as inserted bytes instead.
constexpr std::size_t min_copy_length = 24;
constexpr char chunk_end = ',';

// A part of a text up to and including a comma.
struct Chunk {
  std::size_t offset = 0;
  std::size_t length = 0;
};

// A part of the next text: bytes copied from the base, followed by inserted bytes. Lengths in bytes.
struct Segment {
  std::size_t base_offset = 0;
  std::size_t copied = 0;
  std::size_t inserted = 0;
};

std::vector<Chunk> chunks_of(std::string_view text) {
  std::vector<Chunk> out;
  std::size_t begin = 0;
  while (begin < text.size()) {
    std::size_t const comma = text.find(chunk_end, begin);
    std::size_t const end = comma == std::string_view::npos ? text.size() : comma + 1;
    out.push_back(Chunk{begin, end - begin});
    begin = end;
  }
  return out;
}

std::size_t chunk_count(std::string_view text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), chunk_end)) + 1;
}

std::string_view chunk_text(std::string_view text, Chunk const& chunk) {
  return text.substr(chunk.offset, chunk.length);
}

// Finds the occurrences of a chunk in a text by its hash. The text must outlive the index.
class ChunkIndex {
 public:
  explicit ChunkIndex(std::string_view text) : text_(text), chunks_(chunks_of(text)) {
    occurrences_.reserve(chunks_.size());
    for (std::size_t n = 0; n < chunks_.size(); ++n)
      occurrences_.emplace_back(digest_of(chunk_text(text_, chunks_[n])).low, n);
    std::sort(occurrences_.begin(), occurrences_.end());
  }

  // The number of the chunk that equals `bytes`: the first at or after the chunk number `expected`, otherwise the last
  // before it; `none` if there is no such chunk.
  std::size_t find(std::string_view bytes, std::size_t expected) const {
    std::uint64_t const hash = digest_of(bytes).low;
    std::vector<Occurrence>::const_iterator position =
        std::lower_bound(occurrences_.begin(), occurrences_.end(), Occurrence(hash, expected));
    bool const after = position != occurrences_.end() && position->first == hash;
    if (!after && position == occurrences_.begin()) return none;
    if (!after) --position;
    if (position->first != hash || chunk_text(text_, chunks_[position->second]) != bytes) return none;
    return position->second;
  }

  std::size_t offset(std::size_t chunk) const { return chunks_[chunk].offset; }
  static constexpr std::size_t none = SIZE_MAX;

 private:
  using Occurrence = std::pair<std::uint64_t, std::size_t>;
  std::string_view const text_;
  std::vector<Chunk> const chunks_;
  std::vector<Occurrence> occurrences_;
};

// Appends a segment, merged into the last one if the two are contiguous.
void append_segment(std::vector<Segment>& out, Segment const& segment) {
  if (segment.copied == 0 && segment.inserted == 0) return;
  if (out.empty()) {
    out.push_back(segment);
    return;
  }
  Segment& last = out.back();
  if (segment.copied == 0) {
    last.inserted += segment.inserted;
  } else if (last.inserted == 0 && last.copied > 0 && last.base_offset + last.copied == segment.base_offset) {
    last.copied += segment.copied;
    last.inserted = segment.inserted;
  } else {
    out.push_back(segment);
  }
}

// Finds the chunks of `next` in `base`, each near the position of the previous match.
std::vector<Segment> matched_chunks(std::string_view base, std::string_view next) {
  std::vector<Segment> out;
  if (base.empty() || chunk_count(base) > max_chunks || chunk_count(next) > max_chunks) {
    append_segment(out, Segment{0, 0, next.size()});
    return out;
  }
  ChunkIndex const index(base);
  std::size_t expected = 0;
  for (Chunk const& chunk : chunks_of(next)) {
    std::size_t const found = index.find(chunk_text(next, chunk), expected);
    if (found == ChunkIndex::none) {
      append_segment(out, Segment{0, 0, chunk.length});
      continue;
    }
    append_segment(out, Segment{index.offset(found), chunk.length, 0});
    expected = found + 1;
  }
  return out;
}

// Turns copies shorter than `min_copy_length` into inserted bytes.
std::vector<Segment> without_short_copies(std::vector<Segment> const& segments) {
  std::vector<Segment> out;
  for (Segment const& segment : segments) {
    bool const long_enough = segment.copied >= min_copy_length;
    append_segment(out, long_enough ? segment : Segment{0, 0, segment.copied + segment.inserted});
  }
  return out;
}

std::size_t common_prefix_length(std::string_view a, std::string_view b) {
  return static_cast<std::size_t>(std::mismatch(a.begin(), a.end(), b.begin(), b.end()).first - a.begin());
}

std::size_t common_suffix_length(std::string_view a, std::string_view b) {
  return static_cast<std::size_t>(std::mismatch(a.rbegin(), a.rend(), b.rbegin(), b.rend()).first - a.rbegin());
}

std::vector<Segment> diff_segments(std::string_view base, std::string_view next) {
  std::size_t const head = common_prefix_length(base, next);
  std::string_view const base_rest = base.substr(head);
  std::string_view const next_rest = next.substr(head);
  std::size_t const tail = common_suffix_length(base_rest, next_rest);
  std::string_view const base_middle = base_rest.substr(0, base_rest.size() - tail);
  std::string_view const next_middle = next_rest.substr(0, next_rest.size() - tail);
  std::vector<Segment> out;
  append_segment(out, Segment{0, head, 0});
  for (Segment segment : matched_chunks(base_middle, next_middle)) {
    segment.base_offset += head;
    append_segment(out, segment);
  }
  append_segment(out, Segment{base.size() - tail, tail, 0});
  return without_short_copies(out);
}
}  // namespace

std::unique_ptr<wire::TextPatchT> make_text_patch(std::string_view base, std::string_view next) {
  std::unique_ptr<wire::TextPatchT> out = std::make_unique<wire::TextPatchT>();
  std::size_t done = 0;
  for (Segment const& segment : diff_segments(base, next)) {
    out->copied_ranges.emplace_back(static_cast<std::uint32_t>(segment.base_offset),
                                    static_cast<std::uint32_t>(segment.copied),
                                    static_cast<std::uint32_t>(segment.inserted));
    out->fresh += next.substr(done + segment.copied, segment.inserted);
    done += segment.copied + segment.inserted;
  }
  Digest const digest = digest_of(next);
  out->digest_high = digest.high;
  out->digest_low = digest.low;
  return out;
}

std::optional<std::string> apply_text_patch(std::string_view base, wire::TextPatchT const& patch) {
  std::string out;
  std::size_t used = 0;
  for (wire::TextCopy const& copy : patch.copied_ranges) {
    std::size_t const from = copy.from();
    std::size_t const length = copy.length();
    std::size_t const fresh = copy.fresh();
    bool const fits = from + length <= base.size() && used + fresh <= patch.fresh.size();
    if (!fits || out.size() + length + fresh > description_limit) return std::nullopt;
    out += base.substr(from, length);
    out += std::string_view(patch.fresh).substr(used, fresh);
    used += fresh;
  }
  if (used != patch.fresh.size() || !(digest_of(out) == Digest{patch.digest_high, patch.digest_low}))
    return std::nullopt;
  return out;
}

}  // namespace pipit
