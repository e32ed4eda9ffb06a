// Guards: rules that the tests switch off one at a time, to show that the checkers notice (§10.4).
// In the product they are all on: nothing outside the simulator can change them.
#pragma once
#include <cstdint>
#include <string>

namespace pipit {

// GUARD(name, the promise that breaks without it, sentence)
#define PIPIT_GUARDS(GUARD)                                                                         \
  GUARD(never_repeat, "N1", "an attempt that may not repeat is not sent again")                     \
  GUARD(honest_execution_status, "N2", "an attempt that may have left is not said not to have run") \
  GUARD(local_veto, "N5", "an end marked in the list stops placing here")                           \
  GUARD(tombstone, "N5", "no entry revives a worker whose incarnation ended")                       \
  GUARD(zone_veto, "N6", "a drained zone gets nothing")                                             \
  GUARD(confirm_all, "N6", "an acknowledged drain of a zone waits for every node")                  \
  GUARD(fresh_start, "N6", "a jumped clock holds placing until all is read again")                  \
  GUARD(spread, "N7", "chosen values are pushed and polled")                                        \
  GUARD(expected, "N8", "a change is made against its expected serial")                             \
  GUARD(promise, "N9", "an acceptor refuses older ballots")                                         \
  GUARD(sync_first, "N9", "an acceptor answers after its sync")                                     \
  GUARD(disk_id, "N9", "a replica that lost its disk has no vote")                                  \
  GUARD(joint, "N9", "a joint replica set needs a majority of either part")                         \
  GUARD(found_set, "N9", "round one counts at a quorum of the set that it found")                   \
  GUARD(joint_chosen, "N9", "a joint set is settled only after it was chosen")                      \
  GUARD(bucket, "N10", "re-sends are paid from first sends")                                        \
  GUARD(cold_share, "N11", "a cold worker gets each node's share")                                  \
  GUARD(ask_first, "N11", "a worker is asked before it is sent more than a share")                  \
  GUARD(registrations, "N6", "who serves is registered, and a drain of a zone asks it")             \
  GUARD(isolation, "N5", "who knows no late reading of the list places nothing")                    \
  GUARD(redial, "N12", "DOWN peers and seeds are dialled on")                                       \
  GUARD(lease, "keys", "keys are taken only under a lease on the configuration")                    \
  GUARD(quota_handover, "quota", "a new owner of limits waits until the former stops")

enum class Guard : std::uint8_t {
#define GUARD(name, point, text) name,
  PIPIT_GUARDS(GUARD)
#undef GUARD
      none
};

// One row of the table above.
struct GuardRow {
  char const* name;
  char const* point;
  char const* text;
};
// The first row; 'count' is set to their number.
GuardRow const* guard_rows(std::size_t& count);

// The guard that is switched off in this thread; Guard::none in the product.
Guard& disabled_guard();
// Whether a guard is on.
inline bool guard_enabled(Guard item) { return disabled_guard() != item; }

}  // namespace pipit
