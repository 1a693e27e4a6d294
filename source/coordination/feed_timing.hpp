// Periods and timeouts of the messages between a zone's registry and its nodes. All processes of a fleet use the same
// values.
#pragma once

#include "transport/result.hpp"

namespace banktide {

/// Longer periods cost less while nothing changes; shorter ones detect failures sooner. `suspect_after` should be
/// several times `heartbeat_every`, and `pulse_timeout` several times `pulse_every`.
struct FeedTiming {
  Duration pulse_every = 150ms;      // updates from a registry, sent even without changes
  Duration pulse_timeout = 600ms;    // a node without a confirmed pulse for this long asks the registries
  Duration heartbeat_every = 200ms;  // from each member to its watchers
  Duration suspect_after = 1200ms;   // for a silent member
  Duration dead_after = 2500ms;      // for a suspected member that doesn't refute the suspicion
  Duration leave_after = 5s;         // for a leaving member that no longer joins
  Duration join_every = 1s;          // by each node, when nothing has changed
  Duration warm_up = 1500ms;         // of a feed, from the first join; it publishes nothing before
  Duration moved_warm_up = 2500ms;   // the same, when the nodes move from another registry
  Duration entry_every = 250ms;      // to other zones, when the entry has changed
  Duration entry_repeat = 1s;        // to other zones, when it hasn't
  Duration registry_exchange_every = 500ms;
  Duration node_exchange_every = 2s;
  Duration read_every = 200ms;      // by a registry, from a majority of the voters
  Duration drop_empty_after = 30s;  // for the feed of an adopted zone
};

}  // namespace banktide
