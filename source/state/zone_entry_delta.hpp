// What has changed of another zone's entry. Entries name each gateway with its load, so
// they are large and change all the time, while most of what they hold stays; nodes get
// the changes, in the order of their zone's feed.
#pragma once

#include "protocol/zone_messages.hpp"

#include <optional>

namespace banktide {

/// What turns `before` into `after`, which are entries of one zone; nothing if no delta leads there exactly.
std::optional<ZoneEntryDelta> make_entry_delta(ZoneEntry const& before, ZoneEntry const& after);

/// Whether the delta changes nothing but loads.
bool changes_loads_only(ZoneEntryDelta const& delta);

/// Applies a delta to the very entry that it was made from. Indexes that don't exist there are passed over.
void apply_entry_delta(ZoneEntry& entry, ZoneEntryDelta const& delta);

}  // namespace banktide
