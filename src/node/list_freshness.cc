#include "node/list_freshness.h"

#include <algorithm>

namespace pipit {

namespace {
constexpr Micros isolated_after = millis(1700);
constexpr Micros rejoin_span = millis(1500);  // for which a node that was isolated must hear half of all members
}  // namespace

void ListFreshness::note_reading(Micros began_at) { read_at_ = std::max(read_at_, began_at); }

void ListFreshness::note_peer_age(Micros age, Micros now) {
  if (age >= 0) read_at_ = std::max(read_at_, now - age);
}

bool ListFreshness::update_half_heard(Micros half_heard_at, Micros now) {
  bool const half = half_heard_at >= 0 && now - half_heard_at <= isolated_after;
  if (!half)
    half_heard_since_ = -1;
  else if (half_heard_since_ < 0)
    half_heard_since_ = now;
  return half;
}

// Where the list itself is down, nobody can have read any more: its own address says so, or half of all members know
// no later reading either. That holds on from what was known before; a node that was isolated must first hear from
// half of them for a while.
bool ListFreshness::update(Micros now) {
  Micros const half_heard_at = mesh_.last_contact_with_half(now);
  bool const half = update_half_heard(half_heard_at, now);
  up_to_date_at_ = std::max(up_to_date_at_, read_at_);
  Micros const unchanged_at = std::max(half_heard_at, source_failed_at_);
  bool const continuous = up_to_date_at_ >= 0 && unchanged_at - up_to_date_at_ <= isolated_after;
  bool const rejoined = half && now - half_heard_since_ > rejoin_span;
  if (continuous || rejoined) up_to_date_at_ = std::max(up_to_date_at_, unchanged_at);
  return now - up_to_date_at_ <= isolated_after;
}

}  // namespace pipit
