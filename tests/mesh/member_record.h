// Builds member records for tests of the mesh's classes.
#pragma once
#include <string>

#include "wire_generated.h"

namespace pipit {

// The record of a member's first incarnation, with the address "NAME:1".
inline wire::MemberT member(std::string const& name) {
  wire::MemberT out;
  out.name = name;
  out.address = name + ":1";
  out.incarnation = 1;
  return out;
}

}  // namespace pipit
