// The framing of messages between peers: a header (length, protocol version, frame
// type, kind, id) followed by the payload.
#pragma once

#include "transport/result.hpp"

#include <cstddef>

namespace banktide {

inline constexpr std::uint8_t protocol_version = 1;
inline constexpr std::size_t frame_limit = 72u << 20;

/** Handled by the transport itself, which replies at once with an empty payload. */
inline constexpr std::uint8_t ping_kind = 0;

/** A request, its response, a one-way message, the cancellation of a request, or the rejection of a request. */
enum class FrameType : std::uint8_t { ask = 0, reply = 1, tell = 2, cancel = 3, refused = 4 };
inline constexpr std::uint8_t last_frame_type = 4;

struct FrameHead {
  std::uint32_t length = 0;
  std::uint8_t version = protocol_version;
  FrameType type = FrameType::tell;
  std::uint8_t kind = 0;
  std::uint64_t id = 0;
  static constexpr std::size_t size = 15;

  /** Writes `size` bytes. */
  void write(char* p) const;
  /** Reads `size` bytes; returns an error for a header that this version can't read. */
  static Result<FrameHead> read(char const* p);
};

}  // namespace banktide
