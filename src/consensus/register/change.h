// Changes that a node proposes to the register, and their outcomes.
#pragma once
#include <cstdint>
#include <string>

#include "base/error.h"
#include "base/micros.h"
#include "wire_generated.h"

namespace pipit {

// A change to the register's value. Applied to the present value it yields a new value, the same value, or a refusal.
struct Change {
  enum class Type : std::uint8_t { read, apply, empty, refill, admit, dismiss, register_router, evict_router, replace };
  Type type = Type::read;
  std::string id;    // of an operator's order, to recognize a repetition; otherwise empty
  std::string text;  // the description of an `apply`, or the zone of an `empty` or `refill`
  // The version that the change is based on: the value's serial for an `apply`, the epoch for a membership change.
  std::uint64_t expected = 0;
  // An `apply` may use the operators' own numbers (labels) instead of serials: `expected` is then the label that the
  // value must have, and `label`, which must be higher, replaces it (§12.4). 0 if the change goes by serial.
  std::uint64_t label = 0;
  // The change was forwarded to another node, which may have proposed it. Without a quorum its outcome is unknown.
  bool proposed_elsewhere = false;
  Micros forward_lost = 0;                 // time that a node to which it was forwarded left it unanswered
  wire::ReplicaT replica;                  // admitted or dismissed
  wire::ReplicaT replaced_replica;         // removed by a `replace`, in favour of `replica`
  wire::RouterRegistrationT registration;  // of the router node to register or evict
};

// Where the time of a change went at the node that proposed it.
struct ChangeStages {
  Micros queued = 0;    // behind other changes of the same proposer
  Micros proposed = 0;  // in the rounds of the register
  Micros spread = 0;    // until other nodes confirmed the chosen value, or the wait for them ended
  unsigned rounds = 0;  // of the register, each with a ballot of its own
};

// The outcome of a change.
struct Outcome {
  enum class Type : std::uint8_t {
    chosen,     // the change was chosen
    unchanged,  // no order was applied: the value is the same, or only registrations changed
    refused,    // the change was not chosen and never will be; see `error`
    unknown,    // the change may or may not have been chosen; see `error`
  };
  Type type = Type::unknown;
  Error error;
  std::uint64_t serial = 0;  // of the change itself, if it was chosen; the value may be newer
  wire::ValueT value;        // the value that was chosen, if one was
  ChangeStages stages;
};

}  // namespace pipit
