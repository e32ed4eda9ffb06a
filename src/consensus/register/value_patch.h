// A value of the register as its difference to another one, so that a change costs what differs and not the
// description with all that is remembered (docs/control.md, "What a change costs").
#pragma once
#include <memory>
#include <optional>

#include "wire_generated.h"

namespace pipit {

// The patch that makes `next` of `base`.
std::unique_ptr<wire::ValuePatchT> make_value_patch(wire::ValueT const& base, wire::ValueT const& next);
// The patched value; nothing when the patch was made for another base: the digest of the result is checked.
std::optional<wire::ValueT> apply_value_patch(wire::ValueT const& base, wire::ValuePatchT const& patch);

}  // namespace pipit
