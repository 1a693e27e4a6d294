// Limits extra tries to a share of the first tries in a sliding window of ten seconds, plus a margin
// so small that its sum over all nodes stays small. Every try after a call's first one counts,
// failovers included. As each node keeps to a share of its own first tries, all nodes together keep
// to that share without coordination.
#pragma once

#include "transport/result.hpp"

#include <array>

namespace banktide {

class RetryBudget {
 public:
  static constexpr std::size_t slots = 100;
  static constexpr std::uint64_t margin = 1;
  static constexpr std::uint64_t default_percent = 20;

  /** Allows `percent` of the first tries, plus `extra_margin`, as extra tries. */
  explicit RetryBudget(std::uint64_t const percent = default_percent, std::uint64_t const extra_margin = margin)
      : percent_(percent), margin_(extra_margin) {}

  void record_first(Instant const now) {
    advance(now);
    ++first_tries_[current_];
    ++first_total_;
  }
  /** Counts an extra try if the budget allows it; returns whether it does. */
  bool try_extra(Instant const now) {
    advance(now);
    if (extra_total_ + 1 > first_total_ * percent_ / 100 + margin_) return false;
    ++extra_tries_[current_];
    ++extra_total_;
    return true;
  }
  std::uint64_t first_tries() const { return first_total_; }
  std::uint64_t extra_tries() const { return extra_total_; }

 private:
  void advance(Instant const now) {
    std::int64_t const tick = as_ms(now.time_since_epoch()) / 100;
    for (std::size_t steps = 0; tick_ < tick && steps < slots; ++tick_, ++steps) {
      current_ = (current_ + 1) % slots;
      first_total_ -= first_tries_[current_];
      extra_total_ -= extra_tries_[current_];
      first_tries_[current_] = extra_tries_[current_] = 0;
    }
    tick_ = std::max(tick_, tick);
  }

  std::uint64_t percent_;
  std::uint64_t margin_;
  std::array<std::uint64_t, slots> first_tries_{};
  std::array<std::uint64_t, slots> extra_tries_{};
  std::uint64_t first_total_ = 0, extra_total_ = 0;
  std::size_t current_ = 0;
  std::int64_t tick_ = 0;
};

}  // namespace banktide
