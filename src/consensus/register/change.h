// What a node may ask the register to change, and what became of it.
#pragma once
#include <cstdint>
#include <string>

#include "base/error.h"
#include "wire_generated.h"

namespace pipit {

// Makes of the present value nothing (the value stays), a new value, or a refusal.
struct Change {
  enum class Type : std::uint8_t { read, apply, empty, refill, admit, dismiss, register_router, evict_router, replace };
  Type type = Type::read;
  std::string id;    // of an operator's order, so that a repetition of it is known; else empty
  std::string text;  // the description, or the zone's name
  // What the change builds on: for 'apply' the serial of the value, for changes of members the epoch.
  std::uint64_t expected = 0;
  // An 'apply' may name the operators' own numbers instead of serials: 'expected' is then the label that must be in
  // place, and 'label', which must be above it, takes its place (§12.4). 0: by serial.
  std::uint64_t label = 0;
  // Another node was asked to propose it and may have done so: without a quorum's word its outcome is unknown.
  bool proposed_elsewhere = false;
  wire::ReplicaT replica;                  // who is admitted or dismissed
  wire::ReplicaT replaced_replica;         // whose place the admitted one takes, in a 'replace'
  wire::RouterRegistrationT registration;  // a router node that takes its place, or is evicted
};

// What became of a change.
struct Outcome {
  enum class Type : std::uint8_t {
    chosen,     // it was chosen
    unchanged,  // no order was put in place: it changed nothing, or registrations only
    refused,    // it was not and will not be chosen; see 'error'
    unknown,    // nobody can say; see 'error'
  };
  Type type = Type::unknown;
  Error error;
  std::uint64_t serial = 0;  // of the change itself, when it was chosen; the value may be newer
  wire::ValueT value;        // the value chosen in the end, when one was
};

}  // namespace pipit
