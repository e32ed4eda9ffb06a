#include "testing/platform_fleet_test/schedule.h"

#include <algorithm>
#include <cstdio>
#include <vector>

#include "base/hash.h"
#include "base/random.h"

namespace pipit::platform_fleet {

namespace {
constexpr double first_fault_at = 0.5;
constexpr double max_fault_span = 5;
// The faults of one group start within this many seconds of each other.
constexpr double max_overlap = 1.5;

// A fault that lasts up to `max_fault_span` seconds, with its range of durations in seconds.
struct FaultTemplate {
  char const* text;  // AT, FOR and X stand for the start, the duration and x
  double min_span;
  double max_span;
  bool loses_disk;
};
FaultTemplate const fault_templates[] = {
    {"kill@AT:on=core,for=FOR", 0.3, 3, false},
    {"kill@AT:on=plain,for=FOR", 0.3, 3, false},
    {"kill@AT:count=3,for=FOR", 0.3, 2, false},
    {"term@AT:on=core,for=FOR,gap=1", 0.5, 2, false},
    {"term@AT:count=2,for=FOR,gap=0.5", 0.5, 2, false},
    {"freeze@AT:on=core,for=FOR", 0.5, 5, false},
    {"freeze@AT:count=2,for=FOR", 0.5, 4, false},
    {"restart@AT:for=FOR", 0.3, 1.5, false},
    {"blackout@AT:for=FOR", 0.3, 2, false},
    {"blackout@AT:for=FOR,x=1", 0.3, 2, true},
    {"blackout@AT:on=core,share=1,for=FOR", 0.3, 2, false},
    {"wipe@AT:on=core,for=FOR", 0.5, 2, true},
    {"replace@AT:on=core,for=FOR", 0.5, 2, true},
    {"cut@AT:on=core,for=FOR", 1, 5, false},
    {"cut@AT:on=plain,for=FOR", 1, 5, false},
    {"cut@AT:for=FOR,x=1", 1, 5, false},
    {"cut@AT:count=3,for=FOR", 1, 4, false},
    {"deaf@AT:on=core,for=FOR", 1, 5, false},
    {"deaf@AT:for=FOR,x=1", 1, 5, false},
    {"halves@AT:on=core,for=FOR", 1, 5, false},
    {"delay@AT:for=FOR,x=X", 1, 4, false},
    {"reset@AT:share=X", 0, 0, false},
    {"lost@AT:share=X,for=FOR", 1, 4, false},
    {"mute@AT:share=0.1,for=FOR", 1, 3, false},
    {"crash@AT:count=1,for=FOR", 1, 3, false},
    {"dark@AT:count=1,for=FOR", 1, 3, false},
    {"surplus@AT:share=0.5,x=0.2,for=FOR", 1, 4, false},
    {"garble@AT:share=0.5,x=0.1,for=FOR", 1, 4, false},
    {"release@AT:share=0.5,gap=0.6", 0, 0, false},
    {"farewell@AT:share=0.4,gap=0.6", 0, 0, false},
    {"reload@AT:share=1", 0, 0, false},
    {"rude@AT:count=20,gap=0.1", 0, 0, false},
    {"burst@AT:x=2,for=FOR", 1, 3, false},
    {"race@AT:count=3,gap=0.4", 0, 0, false},
    {"storm@AT:for=FOR,gap=0.1", 1, 3, false},
    {"bad@AT:count=4,gap=0.2", 0, 0, false},
};

std::string two_decimals(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", value);
  return text;
}

void fill_placeholder(std::string& text, std::string const& token, double value) {
  std::size_t const at = text.find(token);
  if (at != std::string::npos) text.replace(at, token.size(), two_decimals(value));
}

double random_between(RandomSource& random, double least, double most) {
  return least + (most - least) * static_cast<double>(random.below(1001)) / 1000;
}
}  // namespace

std::string soak_schedule(std::uint64_t seed, double seconds, double calm) {
  RandomSource random(hash_bits(seed) ^ 0x50a4);
  double const end = std::max(first_fault_at, seconds - calm - max_fault_span);
  // Configuration changes go on during the faults.
  std::string out = "change@0.40:count=" + std::to_string(4 + random.below(12)) +
                    ",gap=" + two_decimals(random_between(random, 0.3, 1.2));
  bool disk_lost = false;
  for (double group_start = random_between(random, first_fault_at, first_fault_at + 2); group_start <= end;
       group_start += random_between(random, 2, 7)) {
    std::uint64_t const fault_count = 2 + random.below(2);
    for (std::uint64_t n = 0; n < fault_count; ++n) {
      FaultTemplate const& fault_template = fault_templates[random.below(std::size(fault_templates))];
      if (fault_template.loses_disk && disk_lost) continue;
      disk_lost = disk_lost || fault_template.loses_disk;
      std::string text = fault_template.text;
      fill_placeholder(text, "AT", std::min(end, group_start + random_between(random, 0, max_overlap)));
      fill_placeholder(text, "FOR", random_between(random, fault_template.min_span, fault_template.max_span));
      fill_placeholder(text, "X", random_between(random, 0.05, 0.7));
      out += "; " + text;
    }
  }
  return out;
}

}  // namespace pipit::platform_fleet
