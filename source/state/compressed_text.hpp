// The compressed form in which operators' texts are stored and sent between processes. The process
// that accepts a text compresses it once. The declared length is checked when it is decompressed.
#pragma once

#include "transport/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace banktide {

/// The longest text that `decompress` returns, in bytes.
inline constexpr std::size_t max_decompressed_size = 64u << 20;

/// Compresses a text: its length (4 bytes, little endian), followed by the text in zlib's format.
std::string compress(std::string_view text);

/// Encodes a text in the same format without compression, for a process that doesn't send it on.
std::string store_uncompressed(std::string_view text);

/// Restores a text. Bytes that `compress` can't have made, and texts longer than `size_limit`, are an error of the
/// step "decompress".
Result<std::string> decompress(std::string_view bytes, std::size_t size_limit = max_decompressed_size);

}  // namespace banktide
