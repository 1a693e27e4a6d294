// The frame in which peers exchange messages: a head (length, wire number, sort,
// kind, id) and the payload after it.
#pragma once

#include "transport/result.hpp"

#include <cstddef>

namespace banktide {

inline constexpr std::uint8_t protocol_version = 1;
inline constexpr std::size_t frame_limit = 72u << 20;

/** Handled by the transport itself: answered with nothing at once. */
inline constexpr std::uint8_t ping_kind = 0;

/**
 * A request, its response, a one-way message, word that the response to a request is of no more use, or word that a
 * request was not taken.
 */
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
  /** Reads `size` bytes; a head that this version can't read is a mishap. */
  static Result<FrameHead> read(char const* p);
};

}  // namespace banktide
