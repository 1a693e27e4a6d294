// The timing requirements that a deployment sets for the product. All waits, renewals and timeouts
// are derived from them.
#pragma once

#include "transport/result.hpp"

#include <cstdint>
#include <optional>

namespace banktide {

/// The bounds of a deployment, with their defaults.
struct TimingBounds {
  /// How out of date the operators' list of processes may be.
  Duration seed_list_lag = 3s;
  /// How long after a backend's end another service may reuse its address.
  Duration address_reuse_after = 2s;
  /// How long a machine must have been free of faults before the bounds apply to it.
  Duration contact_window = 3s;
  /// The time within which a valid configuration or the leave of a backend must be acknowledged.
  Duration acknowledgement_limit = 4s;
  /// How long a machine still counts as lost after it has come back.
  Duration replica_catch_up = 4s;
  /// How long requests may still reach a backend after its leave was acknowledged.
  Duration drain_limit = 2s;
  /// How long a process may go on running after it was told to end.
  Duration shutdown_grace = 6s;
  /// How long after a request's last byte its connection may be closed without an answer.
  Duration loss_slack = 200ms;
  /// The time within which an acknowledged configuration must be in effect everywhere.
  Duration configuration_effect = 2s;
  /// How long an older version may still be seen in effect after a newer one was.
  Duration revert_slack = 250ms;
  /// Added to `configuration_effect` while the machines of voters are unstable.
  Duration unsettled_stretch = 5s;
  /// The share of the requests in `retry_window` that may be retries.
  double retry_ratio = 0.2;
  /// The sliding window in which retries are counted.
  Duration retry_window = 10s;
  /// Retries allowed on top of `retry_ratio` in each window.
  std::uint64_t retry_slack = 60;
  /// The time within which service must be restored after a total outage.
  Duration recovery_limit = 15s;
  /// The longest time for which keys may be granted to a backend.
  Duration hold_limit = 10s;
  /// How long a request with a removed access key may still run at any process, even a partitioned one, after the
  /// configuration that removes the key was acknowledged. No value: a removal takes effect like any other change.
  std::optional<Duration> revocation_limit;
  /// How long grants are ignored that arrive after their sender was frozen or cut off.
  Duration thaw_slack = 300ms;
};

}  // namespace banktide
