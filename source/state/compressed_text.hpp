// Texts of operators as they are stored and sent between processes: compressed
// once by whoever takes them, read by whoever needs them, and never trusted to
// be as long as they claim.
#pragma once

#include "transport/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace banktide {

/// The longest text that `decompress` will make, in bytes.
inline constexpr std::size_t max_decompressed_size = 64u << 20;

/// The text in zlib's format, behind its length (4 bytes, little endian).
std::string compress(std::string_view text);

/// The same form without compression, for a process that keeps a text to itself.
std::string store_uncompressed(std::string_view text);

/// The text again, byte for byte. Bytes that `compress` can't have made, and texts
/// over `longest`, are an error of the step "decompress".
Result<std::string> decompress(std::string_view bytes, std::size_t size_limit = max_decompressed_size);

}  // namespace banktide
