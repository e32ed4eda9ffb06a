#include "node/list_freshness.h"

#include <algorithm>

namespace pipit {

namespace {
constexpr Micros isolation_timeout = millis(1700);
constexpr Micros rejoin_duration = millis(1500);  // of contact with half of all members, after isolation
}  // namespace

void ListFreshness::note_reading(Micros began_at) { read_at_ = std::max(read_at_, began_at); }

void ListFreshness::note_peer_age(Micros age, Micros now) {
  if (age >= 0) read_at_ = std::max(read_at_, now - age);
}

bool ListFreshness::update_half_heard(Micros half_heard_at, Micros now) {
  bool const half = half_heard_at >= 0 && now - half_heard_at <= isolation_timeout;
  if (!half)
    half_heard_since_ = -1;
  else if (half_heard_since_ < 0)
    half_heard_since_ = now;
  return half;
}

// While the list itself is down, no node can have read anything newer: its own address refuses, or half of all members
// know of no later reading either. Knowledge that was up to date then stays so. A node that was isolated must first be
// in contact with half of all members for 'rejoin_duration'.
bool ListFreshness::update(Micros now) {
  Micros const half_heard_at = mesh_.last_contact_with_half(now);
  bool const half = update_half_heard(half_heard_at, now);
  up_to_date_at_ = std::max(up_to_date_at_, read_at_);
  Micros const unchanged_at = std::max(half_heard_at, source_failed_at_);
  bool const continuous = up_to_date_at_ >= 0 && unchanged_at - up_to_date_at_ <= isolation_timeout;
  bool const rejoined = half && now - half_heard_since_ > rejoin_duration;
  if (continuous || rejoined) up_to_date_at_ = std::max(up_to_date_at_, unchanged_at);
  return now - up_to_date_at_ <= isolation_timeout;
}

}  // namespace pipit
