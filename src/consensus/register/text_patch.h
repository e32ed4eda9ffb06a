// A text as its difference to another: stretches that are copied from the base, and the bytes between them. A
// description holds the operator's own words as well, so one edit changes it at several places far apart.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "wire_generated.h"

namespace pipit {

// Takes O(n log n) steps whatever the texts are. The patch is larger than 'next' by no more than a constant.
std::unique_ptr<wire::TextPatchT> make_text_patch(std::string_view base, std::string_view next);
// The patched text; nothing when the patch is malformed, or was made for another base: the result's digest is checked.
std::optional<std::string> apply_text_patch(std::string_view base, wire::TextPatchT const& patch);

}  // namespace pipit
