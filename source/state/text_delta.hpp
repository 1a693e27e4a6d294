// What turns one version of a compressed text into a later one: a few bytes where the whole has thousands, as an
// operator changes a route or two at a time. A delta is the later text compressed with the earlier one as its
// dictionary (zstd), and proves what it leads to by a checksum.
#pragma once

#include "protocol/zone_messages.hpp"

namespace banktide {

/// The delta between two values whose bytes are compressed texts (`compressed_text.hpp`). None if one of them isn't, or
/// if the whole value is as small.
std::optional<TextDelta> make_text_delta(RegisterValue const& base, RegisterValue const& target);

/// The value after a chain of deltas, each of which begins at the revision where the one before ends; those that end at
/// the base or before it are skipped. Its bytes give the later text, and need not be those of the register. A mishap
/// of the step "text delta" if the chain doesn't begin at the base's revision, or leads to another text than was meant.
Result<RegisterValue> apply_text_deltas(RegisterValue const& base, std::vector<TextDelta> const& deltas);

}  // namespace banktide
