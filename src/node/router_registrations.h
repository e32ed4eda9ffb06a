// Registrations of router nodes in the register (§5.9): maintains this node's own registration, and decides by those of
// other nodes whether an acknowledged drain of a zone must wait for a node and whether an operator may evict it.
//
// Owns the progress of this node's own registration: whether a request for it is in flight, when it took effect, and
// whether an earlier incarnation was registered. This node places work only while its incarnation is registered. The
// registrations themselves are read from the learner's value and applied to the mesh's member table.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include <optional>
#include <string>

#include "base/micros.h"
#include "consensus/register/change.h"
#include "consensus/register/learner.h"
#include "mesh/mesh.h"

namespace pipit {

// Fixed for one incarnation of the node.
struct RouterRegistrationOptions {
  std::string name;     // of this node
  std::string address;  // of this node in the mesh, IP:port
  bool is_router = true;
  bool required = true;  // false where workers register themselves: nodes need no registration there
};

// This node's registration and its view of the registrations of other router nodes.
class RouterRegistrations {
 public:
  // The mesh and the learner must outlive this object.
  RouterRegistrations(RouterRegistrationOptions options, Mesh& mesh, Learner const& learner);

  // Whether this incarnation of the node is registered, or needs no registration, so that it may place work.
  bool is_registered() const;
  // Whether this node registered so recently that other nodes may still divide the limits of cold workers among fewer
  // nodes.
  bool is_newcomer(Micros now) const;
  // Whether the register evicted this incarnation, and it has not registered again.
  bool is_evicted() const;

  // The change that registers this node, if it is time to propose it and none is in flight. It counts as in flight
  // until finish_registration() is called.
  std::optional<Change> next_registration(Micros now);
  // Reports that the change returned by next_registration() has ended, with whatever outcome.
  void finish_registration() { is_pending_ = false; }

  // Applies the register's registrations and evictions to the member table, and raises this node's incarnation above an
  // earlier one whose clock was ahead. True when the node's own registration took effect or was lost.
  bool apply_register(Micros now, ConnectionEffects& out);

  // Whether an acknowledged drain of a zone must wait for the confirmation of this router node.
  bool must_confirm(std::string const& name) const;
  // The error for an operator who asks to evict this router node; nothing when it may be evicted.
  std::optional<Error> eviction_refusal(std::string const& name) const;

 private:
  // Raises this node's incarnation if the register holds a higher one for its name.
  void raise_incarnation(ConnectionEffects& out);
  // Records the start or the loss of this node's registration; true when either happened.
  bool update_own_registration(Micros now);

  RouterRegistrationOptions const options_;
  Mesh& mesh_;
  Learner const& learner_;
  bool is_pending_ = false;       // a request to register this node is in flight
  bool was_registered_ = false;   // at the last call of apply_register()
  bool had_predecessor_ = false;  // an earlier incarnation was registered, so this one changes no other node's share
  Micros next_request_at_ = 0;
  Micros registered_at_ = -1;  // -1: not since the start, or not since the last eviction
};

}  // namespace pipit
