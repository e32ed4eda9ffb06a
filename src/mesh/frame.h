// Frames: encoded, bounded and checked before anything looks inside (§3.2).
#pragma once
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "wire_generated.h"

namespace pipit {

constexpr std::size_t max_frame_bytes = 8u << 20;
// The version of the frames between processes; processes of two versions do not talk (docs/control.md).
constexpr std::uint32_t frame_format_version = 4;

// A frame as it crosses a connection: four bytes of length, little end first, then the FlatBuffers body.
std::string encode_frame(wire::FrameT const& frame);
template <class T>
std::string encode_message(T&& body) {
  wire::FrameT frame;
  frame.body.Set(std::forward<T>(body));
  return encode_frame(frame);
}

// The length that the first four bytes announce, or 0 when it is not to be believed.
std::size_t announced_length(std::string_view head);
// The kind of a whole frame with its four bytes of length that this process encoded or that was decoded already.
wire::Body body_type_of(std::string_view bytes);
// Takes one whole frame with its four bytes of length.
Result<std::unique_ptr<wire::FrameT>> decode_frame(std::string_view bytes);

}  // namespace pipit
