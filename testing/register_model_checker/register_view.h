// The only part of the model checker that depends on private members of the register's classes and on the fields of its
// messages and values: fingerprints of states, and properties and descriptions of values.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "consensus/register/acceptor.h"
#include "consensus/register/learner.h"
#include "consensus/register/proposer.h"
#include "testing/register_model_checker/fingerprint.h"

namespace pipit::register_checker {

// --- fingerprints of states
Fingerprint fingerprint_of(Acceptor const& acceptor, Symmetry const& symmetry);
Fingerprint fingerprint_of(Proposer const& proposer, Symmetry const& symmetry);
Fingerprint fingerprint_of(Learner const& learner, Symmetry const& symmetry);
Fingerprint fingerprint_of(wire::RecordT const& record, Symmetry const& symmetry);
Fingerprint fingerprint_of(wire::BodyUnion const& body, Symmetry const& symmetry);

// Whether the proposer has a timer: for the timeout of a round, or for the end of the pause after it.
bool has_pending_timer(Proposer const& proposer);
// Whether this incarnation of the proposer will ignore the message, since it is a reply to a round that has ended.
bool is_stale(Proposer const& proposer, wire::BodyUnion const& body);
// Whether the learner will ignore this message, since it is a reply to a poll that has ended.
bool is_stale(Learner const& learner, wire::BodyUnion const& body);

// --- membership
// Passes the learner's membership to the proposer, as a node does after each frame that may contain a newer one.
void adopt_learned_membership(Proposer& proposer, Learner const& learner);
// Gives a fresh node its initial value and membership.
void adopt_initial_value(Proposer& proposer, Learner& learner, wire::ValueT const& value);

// --- values
// Hash of a value; the order of the replicas in its memberships does not count.
std::uint64_t content_hash(wire::ValueT const& value);
// Hash of the current and the former membership.
std::uint64_t membership_hash(wire::ValueT const& value);
// The serial at which the change with this id was applied; 0 if the value does not contain it.
std::uint64_t serial_of_change(wire::ValueT const& value, std::string const& id);
// The revision orders the values: each value replaces one of a lower revision.
std::uint64_t revision_of(wire::ValueT const& value);
// Whether the present disks hold a quorum of the value's membership. `disks` has the id of each replica's disk.
bool is_quorum(wire::ValueT const& value, std::vector<std::uint64_t> const& disks);
// The value that the proposer sends in its accept requests.
wire::ValueT const& proposed_value(Proposer const& proposer);
// The value that the initial members hold at the start; `members` has their indices.
wire::ValueT initial_value(std::vector<std::size_t> const& members);

// The ballot number of a prepare or accept request; 0 for other messages.
std::uint64_t ballot_number_of(wire::BodyUnion const& body);
// Short descriptions for the table of a trace and for violations.
std::string describe(wire::BodyUnion const& body);
std::string describe(wire::ValueT const& value);
std::string describe(wire::Ballot const& ballot);

}  // namespace pipit::register_checker
