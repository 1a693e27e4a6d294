// The digest used for ring positions, slices of keys and checks of content.
#pragma once

#include <cstdint>
#include <string_view>

namespace banktide {

inline std::uint64_t digest_of(std::string_view const bytes) {
  std::uint64_t h = 14695981039346656037ull;
  for (char const c : bytes) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdull;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ull;
  return h ^ (h >> 33);
}

}  // namespace banktide
