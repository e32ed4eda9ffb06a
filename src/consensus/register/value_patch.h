// Patches between values of the register. The size of a patch depends on the difference, not on the description and the
// remembered orders (docs/control.md, "What a change costs").
#pragma once
#include <memory>
#include <optional>

#include "wire_generated.h"

namespace pipit {

// The patch that turns `base` into `next`.
std::unique_ptr<wire::ValuePatchT> make_value_patch(wire::ValueT const& base, wire::ValueT const& next);
// The patched value; nullopt if the patch is malformed or was made for another base (checked by the digest of the
// result).
std::optional<wire::ValueT> apply_value_patch(wire::ValueT const& base, wire::ValuePatchT const& patch);

}  // namespace pipit
