#include "mesh/frame.h"

#include <cstdint>

namespace pipit {

std::string encode_frame(wire::FrameT const& frame) {
  flatbuffers::FlatBufferBuilder space(512);
  space.FinishSizePrefixed(wire::Frame::Pack(space, &frame));
  return std::string(reinterpret_cast<char const*>(space.GetBufferPointer()), space.GetSize());
}

std::size_t announced_length(std::string_view head) {
  if (head.size() < 4) return 0;
  std::size_t size = 0;
  for (int i = 3; i >= 0; --i) size = (size << 8) | static_cast<unsigned char>(head[static_cast<std::size_t>(i)]);
  return size >= 8 && size <= max_frame_bytes ? size : 0;
}

wire::Body body_type_of(std::string_view bytes) {
  return flatbuffers::GetSizePrefixedRoot<wire::Frame>(bytes.data())->body_type();
}

Result<std::unique_ptr<wire::FrameT>> decode_frame(std::string_view bytes) {
  std::size_t const size = announced_length(bytes);
  if (size == 0 || size + 4 != bytes.size())
    return fail(ErrorCode::bad_request, "the frame's length prefix does not match its size");
  // A frame that follows another in a buffer may start at any address, but FlatBuffers reads numbers at their natural
  // alignment.
  std::string aligned;
  if (reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(std::uint64_t) != 0) {
    aligned.assign(bytes);
    bytes = aligned;
  }
  flatbuffers::Verifier check(reinterpret_cast<std::uint8_t const*>(bytes.data()), bytes.size(), 16, 2000000);
  if (!check.VerifySizePrefixedBuffer<wire::Frame>(nullptr))
    return fail(ErrorCode::bad_request, "the frame is not a valid FlatBuffers message");
  std::unique_ptr<wire::FrameT> frame(flatbuffers::GetSizePrefixedRoot<wire::Frame>(bytes.data())->UnPack());
  if (frame->body.type == wire::Body::NONE || frame->body.value == nullptr)
    return fail(ErrorCode::bad_request, "the frame has no body");
  return frame;
}

}  // namespace pipit
