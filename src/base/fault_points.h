// Numbered fault points, at which tests inject failures (§9.2). They have no effect unless the settings allow faults
// and a point is armed. All functions are thread-safe.
#pragma once
#include <cstdint>
#include <string>

namespace pipit {

// FAULT(number, name, sentence)
#define PIPIT_FAULTS(FAULT)                                                                                \
  FAULT(1, cut_in, "frames from the named nodes are dropped")                                              \
  FAULT(2, cut_out, "frames to the named nodes are dropped")                                               \
  FAULT(3, cut_workers, "no connection is opened to the named workers, and open ones break")               \
  FAULT(4, list_fail, "a read of the platform's worker list fails")                                        \
  FAULT(5, list_torn, "a read of the platform's worker list is cut short")                                 \
  FAULT(6, health_check_fail, "a worker's health cannot be read")                                          \
  FAULT(7, attempt_unreached, "the connection of an attempt cannot be opened")                             \
  FAULT(8, attempt_break_sent, "the connection of an attempt breaks after the request may have been sent") \
  FAULT(9, attempt_break_begun, "the connection of an attempt breaks after the first chunk of the answer") \
  FAULT(10, disk_fail, "a sync of the record store fails")                                                 \
  FAULT(11, disk_slow, "a sync of the record store takes this many milliseconds")                          \
  FAULT(12, disk_torn, "a write of the record store stops half way and the process exits")                 \
  FAULT(13, end_before_sync, "the replica process exits before its sync")                                  \
  FAULT(14, end_after_sync, "the replica process exits after its sync, before it replies")                 \
  FAULT(15, spread_lost, "a chosen value is not pushed to peers")                                          \
  FAULT(16, confirm_lost, "a confirmation is not sent")                                                    \
  FAULT(17, delta_lost, "a batch of deltas is not sent")                                                   \
  FAULT(18, page_lost, "a page of a prefix tree is not sent")                                              \
  FAULT(19, entries_lost, "a batch of entries is not sent")                                                \
  FAULT(20, frame_corrupted, "a frame is corrupted before it is sent")                                     \
  FAULT(21, disk_full, "a write of the record store finds the disk full")                                  \
  FAULT(22, promise_lost, "a Promise of the register (phase 1) is not sent")                               \
  FAULT(23, accepted_lost, "an Accepted of the register (phase 2) is not sent")

// The fault points of the table above; the value is the number.
enum class FaultPoint : std::uint8_t {
#define FAULT(number, name, text) name = number,
  PIPIT_FAULTS(FAULT)
#undef FAULT
};

// One row of the table above.
struct FaultRow {
  unsigned number;
  char const* name;
  char const* text;
};
// Returns the first row of the table and sets 'count' to the number of rows.
FaultRow const* fault_rows(std::size_t& count);

// Arms a point with an argument, to fire 'times' times (0: until it is disarmed). Returns false if the number is
// unknown.
bool arm_fault(unsigned number, std::string const& arg, std::uint64_t times);
// Disarms a point. Returns false if it was never armed.
bool disarm_fault(unsigned number);
// Returns whether the point fires now. Each firing is counted and uses up one of the 'times' it was armed for.
bool fault_fires(FaultPoint point);
// As fault_fires(), for points whose argument is a list of names with commas between: fires only if 'name' is listed.
bool fault_fires_for(FaultPoint point, std::string const& name);
// Returns the argument with which the point was last armed; empty if it was never armed.
std::string fault_arg(FaultPoint point);
// Returns the number of firings since the point was last armed.
std::uint64_t fault_count(FaultPoint point);

}  // namespace pipit
