// Encoding and validation of frame headers.
#include "transport/frame.hpp"

#include <cstring>

namespace banktide {

void FrameHead::write(char* const p) const {
  std::memcpy(p, &length, 4);
  p[4] = static_cast<char>(version);
  p[5] = static_cast<char>(type);
  p[6] = static_cast<char>(kind);
  std::memcpy(p + 7, &id, 8);
}

Result<FrameHead> FrameHead::read(char const* const p) {
  FrameHead h;
  std::memcpy(&h.length, p, 4);
  h.version = static_cast<std::uint8_t>(p[4]);
  h.kind = static_cast<std::uint8_t>(p[6]);
  std::memcpy(&h.id, p + 7, 8);
  if (h.version != protocol_version) return make_error("read_frame", "", "wire number " + std::to_string(h.version));
  if (h.length > frame_limit) return make_error("read_frame", "", "frame of " + std::to_string(h.length) + " bytes");
  if (static_cast<std::uint8_t>(p[5]) > last_frame_type)
    return make_error("read_frame", "", "sort " + std::to_string(static_cast<int>(p[5])));
  h.type = static_cast<FrameType>(p[5]);
  return h;
}

}  // namespace banktide
