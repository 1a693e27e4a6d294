// Limits how long a node may admit requests by the access keys that it knows. A quorum-confirmed reading of the
// configuration reflects every key removal before its request was sent, so the keys known then stay valid for as long
// as a removed key may still be used. A node without a newer reading (partitioned, or without a control plane) must
// admit no request with a key after that.
#pragma once

#include "transport/result.hpp"

#include <algorithm>
#include <optional>

namespace banktide {

class AccessLease {
 public:
  /// `revocation_limit`: how long a removed key may still be used; none: known keys are always valid.
  explicit AccessLease(std::optional<Duration> const revocation_limit) : limit_(revocation_limit) {}

  /// Confirms that the configuration in force is the newest one chosen before `asked`.
  void confirm(Instant const asked) { confirmed_at_ = std::max(confirmed_at_.value_or(asked), asked); }

  /// Whether requests that have arrived by now may be admitted by the keys known here.
  bool valid(Instant const now) const {
    if (!limit_) return true;
    return confirmed_at_ && now - *confirmed_at_ < *limit_ - *limit_ / margin_divisor;
  }

 private:
  static constexpr int margin_divisor = 20;  // a safety margin, as clocks of machines run at slightly different speeds

  std::optional<Duration> const limit_;
  std::optional<Instant> confirmed_at_;
};

}  // namespace banktide
