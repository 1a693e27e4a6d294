// Deltas between versions of a compressed text: a few bytes instead of thousands, as an operator changes one or two
// routes at a time. A delta is the later text compressed by zstd with the earlier one as its dictionary; zstd's
// checksum verifies the result.
#pragma once

#include "protocol/zone_messages.hpp"

namespace banktide {

/// Makes the delta between two values whose bytes are compressed texts (`compressed_text.hpp`). None if one of them
/// isn't a compressed text, or if the whole value is as small.
std::optional<TextDelta> make_text_delta(RegisterValue const& base, RegisterValue const& target);

/// Applies a chain of deltas, each of which begins at the revision where the one before ends; those that end at or
/// before the base's revision are skipped. The result's bytes decompress to the later text, but can differ from those
/// in the register. An error of the step "text delta" if the chain doesn't begin at the base's revision, or if the
/// result isn't the later text.
Result<RegisterValue> apply_text_deltas(RegisterValue const& base, std::vector<TextDelta> const& deltas);

}  // namespace banktide
