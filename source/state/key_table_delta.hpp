// What turns one version of the table of keys into a later one: a few rows, where
// the whole table has hundreds. It names holders by their place in the version
// before and the new ones by their records, so that a row whose holder was merely
// renumbered is not part of it. Whoever applies one proves the result by the digest
// of the later version's bytes, as a register's value carries it.
#pragma once

#include "state/key_table.hpp"

namespace banktide {

/// The delta between two values of the register of keys. None if one of them is no
/// table or if the whole value is as small. What the values say of requests that
/// made them is left out: only the register's voters need it.
std::optional<KeyDelta> make_key_delta(RegisterValue const& base, RegisterValue const& target);

/// The value after a chain of deltas, each of which begins at the revision where
/// the one before ends; those that end at the base or before it are skipped. A
/// mishap if the chain doesn't begin at the base's revision, if its bytes are spoilt,
/// or if the result isn't the value that the last delta was made for.
Result<RegisterValue> apply_key_deltas(RegisterValue const& base, std::vector<KeyDelta> const& deltas);

}  // namespace banktide
