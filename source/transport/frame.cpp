// How a frame's head is written and checked.
#include "transport/frame.hpp"

#include <cstring>

namespace banktide {

void FrameHead::write(char* const p) const {
  std::memcpy(p, &length, 4);
  p[4] = static_cast<char>(wire);
  p[5] = static_cast<char>(sort);
  p[6] = static_cast<char>(kind);
  std::memcpy(p + 7, &id, 8);
}

Result<FrameHead> FrameHead::read(char const* const p) {
  FrameHead h;
  std::memcpy(&h.length, p, 4);
  h.wire = static_cast<std::uint8_t>(p[4]);
  h.kind = static_cast<std::uint8_t>(p[6]);
  std::memcpy(&h.id, p + 7, 8);
  if (h.wire != wire_number) return make_error("read_frame", "", "wire number " + std::to_string(h.wire));
  if (h.length > frame_limit) return make_error("read_frame", "", "frame of " + std::to_string(h.length) + " bytes");
  if (static_cast<std::uint8_t>(p[5]) > last_sort)
    return make_error("read_frame", "", "sort " + std::to_string(static_cast<int>(p[5])));
  h.sort = static_cast<Sort>(p[5]);
  return h;
}

}  // namespace banktide
