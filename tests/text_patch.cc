// Text and value patches: applying a patch yields exactly the patched text or nothing; a patch is larger than the text
// by at most a constant, and takes a bounded time for any texts.
#include <gtest/gtest.h>

#include <ctime>

#include "base/random.h"
#include "config/description/description.h"
#include "consensus/register/text_patch.h"
#include "consensus/register/value_patch.h"
#include "mesh/frame.h"

namespace pipit {

namespace {
constexpr std::size_t frame_overhead = 512;

std::size_t size_of(wire::TextPatchT const& patch) {
  wire::ForwardedChangeT request;
  request.patch = std::make_unique<wire::TextPatchT>(patch);
  return encode_message(std::move(request)).size();
}

// A text of random letters, with a comma at each position with the probability `commas`.
std::string random_text(RandomSource& random, std::size_t length, std::size_t alphabet, double commas) {
  std::string out;
  for (std::size_t n = 0; n < length; ++n)
    out += random.chance(commas) ? ',' : static_cast<char>('a' + random.below(alphabet));
  return out;
}

// Inserts, erases, duplicates or moves a random piece of the text.
void edit(RandomSource& random, std::string& text) {
  std::size_t const from = random.below(text.size() + 1);
  std::size_t const length = std::min<std::size_t>(random.below(60), text.size() - from);
  std::string const piece = text.substr(from, length);
  switch (random.below(4)) {
    case 0:
      text.insert(from, random_text(random, random.below(60), 26, 0.1));
      break;
    case 1:
      text.erase(from, length);
      break;
    case 2:
      text.insert(random.below(text.size() + 1), piece);
      break;
    default:
      text.erase(from, length);
      text.insert(random.below(text.size() + 1), piece);
      break;
  }
}

void expect_patch(std::string const& base, std::string const& next, std::string const& description) {
  std::unique_ptr<wire::TextPatchT> const patch = make_text_patch(base, next);
  std::optional<std::string> const result = apply_text_patch(base, *patch);
  ASSERT_TRUE(result) << description;
  ASSERT_EQ(*result, next) << description;
  EXPECT_LE(size_of(*patch), next.size() + frame_overhead) << description;
}

double processor_seconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::string repeated(std::string const& piece, std::size_t size) {
  std::string out;
  while (out.size() < size) out += piece;
  out.resize(size);
  return out;
}

std::string numbered(std::size_t size, std::size_t step) {
  std::string out;
  for (std::size_t n = 0; out.size() < size; ++n) out += "\"field-" + std::to_string(n * step) + "\":1,";
  out.resize(size);
  return out;
}
}  // namespace

TEST(TextPatch, patch_reproduces_any_edited_text) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    RandomSource random(seed);
    std::string const base =
        random_text(random, random.below(1500), 1 + random.below(26), 0.1 * static_cast<double>(random.below(6)));
    std::string next = base;
    for (std::size_t n = random.below(12); n > 0; --n) edit(random, next);
    expect_patch(base, next, "seed " + std::to_string(seed));
    if (::testing::Test::HasFatalFailure()) return;
  }
}

TEST(TextPatch, patch_for_another_base_is_rejected) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    RandomSource random(seed);
    std::string const base = random_text(random, 800, 26, 0.1);
    std::string next = base;
    edit(random, next);
    std::string other = base;
    other[random.below(other.size())] ^= 1;
    std::optional<std::string> const result = apply_text_patch(other, *make_text_patch(base, next));
    EXPECT_TRUE(!result || *result == next) << seed;
  }
}

TEST(TextPatch, malformed_patch_is_rejected) {
  std::string const base = repeated("route,", 600);
  std::unique_ptr<wire::TextPatchT> const good = make_text_patch(base, base + "more");
  ASSERT_TRUE(apply_text_patch(base, *good));
  std::vector<wire::TextCopy> const bad[] = {
      {wire::TextCopy(0, 601, 0)},
      {wire::TextCopy(601, 0, 0)},
      {wire::TextCopy(UINT32_MAX, UINT32_MAX, 0)},
      {wire::TextCopy(0, 600, UINT32_MAX)},
      {wire::TextCopy(0, 600, 3)},
      {wire::TextCopy(0, 600, 5)},
      {},
      // The result would be far above the size limit of a description.
      std::vector<wire::TextCopy>(100000, wire::TextCopy(0, 600, 0)),
  };
  for (std::vector<wire::TextCopy> const& copies : bad) {
    wire::TextPatchT patch = *good;
    patch.copied_ranges = copies;
    EXPECT_FALSE(apply_text_patch(base, patch)) << copies.size();
  }
  wire::TextPatchT other = *good;
  ++other.digest_low;
  EXPECT_FALSE(apply_text_patch(base, other)) << "a patch with another digest was applied";
}

TEST(TextPatch, largest_texts_take_a_bounded_time) {
  std::size_t const size = description_limit;
  RandomSource random(7);
  std::string const texts[] = {
      repeated(",", size),
      repeated("a", size),
      repeated("a,", size),
      repeated("ab,ba,,", size),
      random_text(random, size, 2, 0.5),
      numbered(size, 1),
      numbered(size, 3),
      random_text(random, size, 26, 0.04),
  };
  for (std::string const& base : texts)
    for (std::string const& next : texts) {
      double const before = processor_seconds();
      std::unique_ptr<wire::TextPatchT> const patch = make_text_patch(base, next);
      std::optional<std::string> const result = apply_text_patch(base, *patch);
      EXPECT_LT(processor_seconds() - before, 3.0);
      ASSERT_TRUE(result);
      EXPECT_TRUE(*result == next);
      EXPECT_LE(size_of(*patch), next.size() + frame_overhead);
    }
}

// The size of a patch for 100 edits of a text near the size limit depends on the edits, not on the text.
TEST(TextPatch, patch_size_depends_on_the_edits_only) {
  RandomSource random(11);
  std::string const base = numbered(description_limit - 65536, 7);
  std::string next = base;
  for (int n = 0; n < 100; ++n) edit(random, next);
  std::unique_ptr<wire::TextPatchT> const patch = make_text_patch(base, next);
  ASSERT_EQ(apply_text_patch(base, *patch), next);
  EXPECT_LT(size_of(*patch), 40000u);
}

// The revision does not identify a value: two values that were never chosen may have the same revision.
TEST(ValuePatch, patch_applies_to_its_base_only) {
  wire::ValueT base;
  base.revision = 5;
  base.serial = 4;
  base.label = 40;
  base.change = "base";
  base.text = numbered(2000, 1);
  base.orders.emplace_back(1, 2, 40);
  wire::ValueT next = base;
  next.revision = 6;
  next.serial = 5;
  next.label = 41;
  next.orders.emplace_back(3, 4, 41);
  std::unique_ptr<wire::ValuePatchT> const patch = make_value_patch(base, next);
  ASSERT_TRUE(apply_value_patch(base, *patch));
  wire::ValueT other_text = base;
  other_text.text[100] ^= 1;
  EXPECT_FALSE(apply_value_patch(other_text, *patch));
  wire::ValueT other_orders = base;
  other_orders.orders[0] = wire::Order(1, 3, 40);
  EXPECT_FALSE(apply_value_patch(other_orders, *patch));
  wire::ValueT other_members = base;
  other_members.epoch = 9;
  EXPECT_FALSE(apply_value_patch(other_members, *patch));
}

}  // namespace pipit
