// Deltas of other zones' entries. An entry lists each gateway with its load, so it is large and
// changes all the time, while most of its content stays the same. Nodes get only the changes, in
// the order of their zone's feed.
#pragma once

#include "protocol/zone_messages.hpp"

#include <optional>

namespace banktide {

/// Makes the delta from `before` to `after`, two entries of one zone; none if no delta gives exactly `after`.
std::optional<ZoneEntryDelta> make_entry_delta(ZoneEntry const& before, ZoneEntry const& after);

/// Whether the delta changes nothing but loads.
bool changes_loads_only(ZoneEntryDelta const& delta);

/// Applies a delta to the entry that it was made from. Indexes that don't exist there are ignored.
void apply_entry_delta(ZoneEntry& entry, ZoneEntryDelta const& delta);

}  // namespace banktide
