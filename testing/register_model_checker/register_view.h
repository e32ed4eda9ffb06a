// All that the checker knows of how the register's classes look inside: the hash of their states, and what a value
// says. A change of their members or of the schema's values is met here alone.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "consensus/register/acceptor.h"
#include "consensus/register/learner.h"
#include "consensus/register/proposer.h"
#include "testing/register_model_checker/print.h"

namespace pipit::register_checker {

// --- states
Print print_of(Acceptor const& acceptor, Symmetry const& symmetry);
Print print_of(Proposer const& proposer, Symmetry const& symmetry);
Print print_of(Learner const& learner, Symmetry const& symmetry);
Print print_of(wire::RecordT const& record, Symmetry const& symmetry);
Print print_of(wire::BodyUnion const& body, Symmetry const& symmetry);

// Whether the proposer waits for the end of a round or of a pause.
bool has_timer(Proposer const& proposer);
// Whether an answer can never again count in this incarnation of the proposer: it belongs to a round that is over.
bool is_late(Proposer const& proposer, wire::BodyUnion const& body);
// Whether an answer belongs to a poll that is over.
bool is_late(Learner const& learner, wire::BodyUnion const& body);

// --- members
// What a node does after every frame that may have brought a newer set.
void tell_members(Proposer& proposer, Learner const& learner);
// A node's first knowledge.
void start_with(Proposer& proposer, Learner& learner, wire::ValueT const& value);

// --- values
// What was made of the register: everything but what only the change of members needs on its way.
std::uint64_t content_of(wire::ValueT const& value);
std::uint64_t members_of(wire::ValueT const& value);
std::uint64_t serial_of_change(wire::ValueT const& value, std::string const& id);
// The order of values: each is written over one of a lower revision.
std::uint64_t revision_of(wire::ValueT const& value);
// Whether the disks that are there now, by replica, hold a quorum of the value's set.
bool is_quorum(wire::ValueT const& value, std::vector<std::uint64_t> const& disks);
// What the proposer writes in round two.
wire::ValueT const& draft_of(Proposer const& proposer);
wire::ValueT first_value(std::vector<std::size_t> const& members);

// The number of the ballot that a request is made at; 0 for other messages.
std::uint64_t round_of(wire::BodyUnion const& body);
std::string words_of(wire::BodyUnion const& body);
std::string words_of(wire::ValueT const& value);
std::string words_of(wire::Ballot const& ballot);

}  // namespace pipit::register_checker
