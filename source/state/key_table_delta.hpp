// Deltas between versions of the key table: a few rows instead of hundreds. A delta refers to known
// holders by their index in the earlier version and contains the records of new ones, so rows
// whose holder merely got another index are not part of it. The result is verified by the digest
// of the later version's bytes, which the register value contains.
#pragma once

#include "state/key_table.hpp"

namespace banktide {

/// Makes the delta between two values of the register `keys`. None if one of them is not a valid
/// table or if the whole value is as small. `requests` of the values are left out: only the
/// register's voters need them.
std::optional<KeyDelta> make_key_delta(RegisterValue const& base, RegisterValue const& target);

/// Applies a chain of deltas, each of which begins at the revision where the one before ends; those
/// that end at or before the base's revision are skipped. An error if the chain doesn't begin at the
/// base's revision, if its bytes are corrupt, or if the result isn't the value that the last delta
/// was made for.
Result<RegisterValue> apply_key_deltas(RegisterValue const& base, std::vector<KeyDelta> const& deltas);

}  // namespace banktide
