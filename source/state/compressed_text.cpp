#include "state/compressed_text.hpp"

#include <array>
#include <cstdint>
#include <zlib.h>

namespace banktide {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr int compression_level = 6;
// zlib's output is at most about a thousand times longer than its input.
constexpr std::size_t max_ratio = 1100;

std::size_t declared_length(std::string_view const bytes) {
  std::size_t length = 0;
  for (std::size_t i = length_bytes; i-- > 0;) length = length << 8 | static_cast<unsigned char>(bytes[i]);
  return length;
}

std::string compress_with_level(std::string_view const text, int const level) {
  uLongf size = compressBound(static_cast<uLong>(text.size()));
  std::string bytes(length_bytes + size, '\0');
  for (std::size_t i = 0; i < length_bytes; ++i) bytes[i] = static_cast<char>(text.size() >> (8 * i) & 0xff);
  compress2(reinterpret_cast<Bytef*>(bytes.data() + length_bytes), &size, reinterpret_cast<Bytef const*>(text.data()),
            static_cast<uLong>(text.size()), level);
  bytes.resize(length_bytes + size);
  bytes.shrink_to_fit();
  return bytes;
}

}  // namespace

std::string compress(std::string_view const text) { return compress_with_level(text, compression_level); }

std::string store_uncompressed(std::string_view const text) { return compress_with_level(text, Z_NO_COMPRESSION); }

Result<std::string> decompress(std::string_view const bytes, std::size_t const size_limit) {
  if (bytes.size() <= length_bytes) return make_error("decompress", "", "shorter than its header");
  std::size_t const length = declared_length(bytes);
  std::string_view const body = bytes.substr(length_bytes);
  if (length > size_limit) return make_error("decompress", "", "text of " + std::to_string(length) + " bytes");
  if (length / max_ratio > body.size())
    return make_error("decompress", "", "declared length is impossible for this many bytes");
  // One byte more, as an empty text still needs a buffer to point to.
  std::string text(length + 1, '\0');
  uLongf size = static_cast<uLongf>(text.size());
  uLong used = static_cast<uLong>(body.size());
  int const result =
      uncompress2(reinterpret_cast<Bytef*>(text.data()), &size, reinterpret_cast<Bytef const*>(body.data()), &used);
  if (result != Z_OK || size != length || used != body.size()) return make_error("decompress", "", "corrupt bytes");
  text.resize(length);
  return text;
}

}  // namespace banktide
