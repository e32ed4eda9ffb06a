// A member's record, for tests of the mesh's parts.
#pragma once
#include <string>

#include "wire_generated.h"

namespace pipit {

// The first incarnation of a member, which is reached at "NAME:1".
inline wire::MemberT member(std::string const& name) {
  wire::MemberT out;
  out.name = name;
  out.address = name + ":1";
  out.incarnation = 1;
  return out;
}

}  // namespace pipit
