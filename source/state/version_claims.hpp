// Which content was acknowledged under each of the latest version numbers. Operators
// choose the numbers, so two of them may choose the same one; only one content may ever
// be acknowledged under it. The claims are kept in the register with the value itself,
// as its `requests`, so every change of them is agreed on like the value.
#pragma once

#include "protocol/register_messages.hpp"

#include <string_view>

namespace banktide {

/// How many of the latest numbers are remembered, at 24 bytes each. A number that was
/// claimed before them can't be told from one that never was.
inline constexpr std::size_t max_claims = 256;

/// What is known of a version number and a content.
enum class VersionClaim {
  free,           // nobody has claimed the number, as far as is remembered
  same_content,   // it was claimed with this content
  other_content,  // it was claimed with another one
};

VersionClaim find_claim(RegisterValue const& held, Revision const version, std::string_view const content);

/// The value after an operator has sent `content` under `version`, given the newest value
/// `now`: the new one if its number is higher, else `now` with the claim noted.
/// `bytes` is how the content is kept.
RegisterValue claim_version(RegisterValue const& now, Revision const version, std::string_view const content,
                            std::string const& bytes);

}  // namespace banktide
