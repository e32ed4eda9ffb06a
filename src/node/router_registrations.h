// Registrations of router nodes in the register (§5.9): this node's own, and what those of others mean for an
// acknowledged drain of a zone and for an operator who forgets a node.
//
// Owns the progress of this node's own registration: whether a request for it is under way, since when it is held, and
// whether an earlier incarnation held one. This node places work only while its incarnation is registered. The
// registrations themselves are read from the learner's value and brought to the mesh's table of members.
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

struct RouterRegistrationOptions {
  std::string name;  // of this node
  std::string address;
  bool is_router = true;
  bool required = true;  // false where workers register themselves: no node needs a registration there
};

class RouterRegistrations {
 public:
  // The mesh and the learner must outlive this object.
  RouterRegistrations(RouterRegistrationOptions options, Mesh& mesh, Learner const& learner);

  // Whether this incarnation of the node may place work as far as registrations go.
  bool is_registered() const;
  // Whether this node registered so lately, in microseconds, that others still divide the bounds of cold workers among
  // fewer nodes.
  bool is_newcomer(Micros now) const;
  // Whether the register evicted this incarnation, and it has not registered again.
  bool is_evicted() const;

  // The change that registers this node, when it is time to propose it and none is under way; it is under way from
  // then on until finish_registration().
  std::optional<Change> next_registration(Micros now);
  void finish_registration() { is_pending_ = false; }

  // Applies the register's registrations to the members, and raises this node's incarnation where a former one had a
  // later clock. True when the node's own registration began or was lost.
  bool apply_register(Micros now, ConnectionEffects& out);

  // Whether an acknowledged drain of a zone must wait for the confirmation of this router node.
  bool must_confirm(std::string const& name) const;
  // Why an operator cannot have this router node forgotten; nothing when it can.
  std::optional<Error> eviction_refusal(std::string const& name) const;

 private:
  // Keeps this node's incarnation above those that the register knows of it.
  void raise_incarnation(ConnectionEffects& out);
  bool update_own_registration(Micros now);

  RouterRegistrationOptions const options_;
  Mesh& mesh_;
  Learner const& learner_;
  bool is_pending_ = false;       // a request for it is under way
  bool was_registered_ = false;   // when the register was last applied
  bool had_predecessor_ = false;  // a former incarnation was registered: nobody's share changes with this one
  Micros next_request_at_ = 0;
  Micros registered_at_ = -1;  // -1: not since the start, or since an eviction
};

}  // namespace pipit
