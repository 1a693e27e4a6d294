// The periods by which a zone's registry and its nodes keep in touch. All
// processes of a fleet are given the same ones.
#pragma once

#include "transport/result.hpp"

namespace banktide {

/// Longer periods cost less while nothing happens; shorter ones tell sooner of
/// what has died. `suspect_after` should be several times `beat_every`, and
/// `pulse_missed` several times `pulse_every`.
struct FeedTiming {
  Duration pulse_every = 150ms;     // news of a registry, also when there are none
  Duration pulse_missed = 600ms;    // a node without a vouched pulse for so long asks around
  Duration beat_every = 200ms;      // of each member to its watchers
  Duration suspect_after = 1200ms;  // of a member that is silent
  Duration dead_after = 2500ms;     // of a member that is suspected and doesn't refute it
  Duration leave_after = 5s;        // of a leaving member that joins no more
  Duration join_every = 1s;         // of each node, when nothing has changed
  Duration warm_up = 1500ms;        // of a feed, from the first join: nothing is told before
  Duration moved_warm_up = 2500ms;  // the same, where nodes come from another registry
  Duration entry_every = 250ms;     // to other zones, when the entry has changed
  Duration entry_repeat = 1s;       // to other zones, when it hasn't
  Duration registry_meet_every = 500ms;
  Duration node_meet_every = 2s;
  Duration read_every = 200ms;      // of a registry, from a majority of the register's voters
  Duration drop_empty_after = 30s;  // of an adopted zone's feed
};

}  // namespace banktide
