// Patches between texts: ranges copied from the base text, and the inserted bytes between them. A description also
// contains the operator's original text, so one edit changes the description in several distant places.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "wire_generated.h"

namespace pipit {

// The patch that turns `base` into `next`. Takes O(n log n) steps for any texts; the patch is larger than `next` by at
// most a constant.
std::unique_ptr<wire::TextPatchT> make_text_patch(std::string_view base, std::string_view next);
// The patched text; nullopt if the patch is malformed or was made for another base (checked by the digest of the
// result), or if the text would exceed `description_limit`.
std::optional<std::string> apply_text_patch(std::string_view base, wire::TextPatchT const& patch);

}  // namespace pipit
