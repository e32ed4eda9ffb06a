// A value of the register as its difference to another one, so that a change costs what differs and not the whole
// description with all that is remembered (docs/control.md, "What a change costs").
#pragma once
#include <memory>
#include <optional>

#include "wire_generated.h"

namespace pipit {

std::unique_ptr<wire::ValuePatchT> patch_between(wire::ValueT const& base, wire::ValueT const& next);
// The patched value; nothing when the patch does not fit this base.
std::optional<wire::ValueT> patched(wire::ValueT const& base, wire::ValuePatchT const& patch);

}  // namespace pipit
