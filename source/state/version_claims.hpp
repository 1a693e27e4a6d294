// Records which content was acknowledged under each of the latest version numbers. Operators choose
// the numbers, so two operators may choose the same one; only one content may ever be acknowledged
// under it. The claims are stored in the register with the value, as its `requests`, so each change
// of them is agreed on like the value.
#pragma once

#include "protocol/register_messages.hpp"

#include <string_view>

namespace banktide {

/// The number of claims kept, at 24 bytes each. An older claim can't be distinguished from a number
/// that was never claimed.
inline constexpr std::size_t max_claims = 256;

/// The state of a version number with regard to a content.
enum class VersionClaim {
  free,           // no claim of the number is kept
  same_content,   // it was claimed with this content
  other_content,  // it was claimed with other content
};

VersionClaim find_claim(RegisterValue const& value, Revision const version, std::string_view const content);

/// Returns the value after an operator has sent `content` under `version`, given the newest value
/// `now`: the new value if its number is higher, else `now` with the claim added. `bytes` is the
/// stored form of the content.
RegisterValue claim_version(RegisterValue const& now, Revision const version, std::string_view const content,
                            std::string const& bytes);

}  // namespace banktide
