// Guards: safety rules that tests disable one at a time, to show that the checkers detect the resulting fault (§10.4).
// In the product all guards are enabled: nothing outside the simulator can change them.
#pragma once
#include <cstdint>
#include <string>

namespace pipit {

// GUARD(name, the promise that is broken without it, sentence)
#define PIPIT_GUARDS(GUARD)                                                                             \
  GUARD(never_repeat, "N1", "an attempt that may not repeat is not retried")                            \
  GUARD(honest_execution_status, "N2", "an attempt that may have been sent is not reported as not run") \
  GUARD(local_veto, "N5", "a worker marked as ended in the list receives no requests")                  \
  GUARD(tombstone, "N5", "no entry revives a worker whose incarnation ended")                           \
  GUARD(zone_veto, "N6", "a drained zone receives no requests")                                         \
  GUARD(confirm_all, "N6", "the acknowledgement of a zone drain waits for every node")                  \
  GUARD(fresh_start, "N6", "after a clock jump, placement stops until all state is read again")         \
  GUARD(spread, "N7", "chosen values are pushed and polled")                                            \
  GUARD(expected, "N8", "a change applies only to its expected serial")                                 \
  GUARD(promise, "N9", "an acceptor rejects older ballots")                                             \
  GUARD(sync_first, "N9", "an acceptor replies only after its sync")                                    \
  GUARD(disk_id, "N9", "a replica that lost its disk has no vote")                                      \
  GUARD(joint, "N9", "a joint replica set needs a majority of both parts")                              \
  GUARD(found_set, "N9", "phase 1 needs a quorum of the replica set that it reads")                     \
  GUARD(joint_chosen, "N9", "a joint set is settled only after it is chosen")                           \
  GUARD(bucket, "N10", "the retry budget is earned by first attempts")                                  \
  GUARD(cold_share, "N11", "each node sends a cold worker only its own share")                          \
  GUARD(ask_first, "N11", "a worker is probed before it is sent more than a share")                     \
  GUARD(registrations, "N6", "routers are registered, and a zone drain waits for those registered")     \
  GUARD(isolation, "N5", "a node with a stale worker list places no requests")                          \
  GUARD(redial, "N12", "DOWN peers and seeds are still dialled")                                        \
  GUARD(lease, "keys", "keys are accepted only under a lease on the configuration")                     \
  GUARD(quota_handover, "quota", "a new quota owner waits until the former one stops")

// The guards of the table above.
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
// Returns the first row of the table and sets 'count' to the number of rows.
GuardRow const* guard_rows(std::size_t& count);

// The guard that is disabled in this thread; Guard::none in the product.
Guard& disabled_guard();
// Returns whether a guard is enabled in this thread.
inline bool guard_enabled(Guard item) { return disabled_guard() != item; }

}  // namespace pipit
