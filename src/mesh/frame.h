// Encoding and decoding of mesh frames. A received frame's length and structure are verified before its content is used
// (§3.2).
#pragma once
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "wire_generated.h"

namespace pipit {

// The largest body of a frame, without the length prefix.
constexpr std::size_t max_frame_bytes = 8u << 20;
// The version of the frame format; processes with different versions do not connect (docs/control.md).
constexpr std::uint32_t frame_format_version = 4;

// Encodes a frame for a connection: four bytes of body length, little-endian, followed by the FlatBuffers body.
std::string encode_frame(wire::FrameT const& frame);
// Encodes a frame whose body is this message.
template <class T>
std::string encode_message(T&& body) {
  wire::FrameT frame;
  frame.body.Set(std::forward<T>(body));
  return encode_frame(frame);
}

// The body length given by the first four bytes; 0 when there are fewer bytes or the length is out of range.
std::size_t announced_length(std::string_view head);
// The body type of a complete frame with its length prefix. Not verified: only for frames that this process encoded or
// has already decoded.
wire::Body body_type_of(std::string_view bytes);
// Decodes one complete frame with its length prefix; ErrorCode::bad_request when it is malformed.
Result<std::unique_ptr<wire::FrameT>> decode_frame(std::string_view bytes);

}  // namespace pipit
